"""Order of waiting jobs where there are workspaces, and the workers they may use."""

from collections.abc import Iterator
from heapq import heapify, heappop, heappush

from ..events import Event, log_event
from ..ids import ServiceName, WorkerId, WorkspaceName
from ..jobs.model import StepSpec
from .isolation import IsolatedStarts
from .kept_workers import (
    KeptWorkers,
    OpenWorkers,
    Precedence,
    WaitingTasks,
    can_be_placed,
    choose_kept_workers,
)
from .placement import StepRequirements
from .priority import Rank, Urgency, order_key
from .runs import Job, Worker
from .workspaces.assessment import ServiceLoad
from .workspaces.holds import CanBePlaced
from .workspaces.limits import Room
from .workspaces.status import Standing

# Sort key of a job, see ``order_key``.
Key = tuple[bool, bool, int, int, bool, int, bool, float]


class ShareOrder(IsolatedStarts):
    """Yields waiting jobs by rate, rank and share."""

    def assess_service(
        self,
        service: ServiceName,
        jobs: list[Job],
        workers: list[Worker],
        cores: float,
        now: float,
    ) -> None:
        """Let the workspaces' shares of the service be computed when they are due."""
        if self.workspaces.is_assessed(service, now):
            return
        available = {worker.worker_id for worker in workers}
        unavailable = [
            worker
            for worker in self.workers.values()
            if worker.runs
            and worker.entry.service == service
            and worker.worker_id not in available
        ]
        load = ServiceLoad(service, jobs, workers, unavailable, cores)
        self.workspaces.assess(load, now)

    def later_suspects(self, service: ServiceName, jobs: list[Job]) -> list[Job]:
        """Return the jobs with suspected tasks that come after other workspaces' jobs.

        Those of the others are planned before all other tasks.
        """
        return [
            job
            for job in jobs
            if job.has_suspects and not self._comes_first(job, service)
        ]

    def _comes_first(self, job: Job, service: ServiceName) -> bool:
        """Return whether a job comes before lent work and work over the rate."""
        return (
            job.long_running
            or self.workspaces.standing(job, service) is Standing.WITHIN_SHARE
        )

    def plan_first_suspects(
        self,
        service: ServiceName,
        jobs: list[Job],
        later: list[Job],
        workers: list[Worker],
        now: float,
    ) -> list[Worker]:
        """Assign the suspected tasks of all but the ``later`` jobs.

        Returns the workers on which tasks that are not suspected may start.
        """
        if not later:
            self.held_for_later.pop(service, None)
            return self.plan_suspects(service, jobs, workers, now)
        later_ids = {job.job_id for job in later}
        first = [j for j in jobs if j.has_suspects and j.job_id not in later_ids]
        open_workers = self.plan_suspects(service, first, workers, now)
        held = self.held_for_later.get(service, set())
        return [w for w in open_workers if w.worker_id not in held]

    def before_later_suspects(
        self, service: ServiceName, jobs: list[Job], held: OpenWorkers, now: float
    ) -> Iterator[Job]:
        """Yield the jobs that may use workers held for later suspects, in order.

        These are the jobs that come first whose tasks have found no other worker.
        """
        starts = len(self.planned_runs)
        waiting = [
            (self._order_key(service, job, Standing.WITHIN_SHARE, now), number, job)
            for number, job in enumerate(jobs)
            if job.pending
            and job.min_pending_cpu <= held.max_free(starts)
            and self._comes_first(job, service)
        ]
        for _, _, job in sorted(waiting, key=lambda item: item[:2]):
            if job.min_pending_cpu > held.max_free(len(self.planned_runs)):
                continue
            if self._comes_first(job, service):
                yield job

    def kept_from_suspects(
        self, service: ServiceName, jobs: list[Job], workers: list[Worker], now: float
    ) -> frozenset[WorkerId]:
        """Return the workers that are kept for tasks before the later suspects."""
        choice = self._kept_workers(service, jobs, workers, now)
        return choice.kept_from(Standing.OVER_RATE, Rank.LATE)

    def end_limit_holds(self, now: float) -> None:
        """Hold tasks back no longer for those that have started or waited enough."""
        for ended in self.workspaces.holds.end_finished(now):
            passed = ended.hold.passed
            log_event(
                Event.WORKSPACE_HOLD_ENDED, workspace=ended.workspace,
                job=passed.job.job_id, started=passed.has_started_a_task,
                after=round(ended.seconds, 3),
            )  # fmt: skip

    def begin_limit_holds(self, now: float) -> None:
        """Hold tasks back for larger ones of their workspaces that they have passed."""
        for name, hold in self.workspaces.begin_holds(self._placement_check(now), now):
            step = hold.passed.step
            log_event(
                Event.WORKSPACE_HOLD_BEGUN, workspace=name,
                job=hold.passed.job.job_id, step=hold.passed.number,
                cpu=step.demand.cpu, memory=step.demand.memory,
                most=round(hold.ends_at - now, 3),
            )  # fmt: skip

    def _placement_check(self, now: float) -> CanBePlaced:
        """Return a check whether workers can run tasks once other runs have ended."""
        workers: dict[ServiceName, list[Worker]] = {}
        known: dict[tuple[ServiceName, StepSpec, int], bool] = {}

        def check(job: Job, occurrence: int, number: int) -> bool:
            service, step = self.service_of(job), job.accepted.spec.steps[number]
            if service not in workers:
                workers[service] = [
                    worker
                    for worker in self.workers.values()
                    if worker.entry.service == service and self.is_eligible(worker, now)
                ]
            members = len(job.pending[occurrence, number]) if step.gang else 1
            # Equal steps of many jobs are checked once.
            key = (service, step, members)
            if key not in known:
                requirements = StepRequirements(job.job_id, occurrence, number, step)
                known[key] = can_be_placed(requirements, members, workers[service])
            return known[key]

        return check

    def in_order_of_shares(
        self,
        service: ServiceName,
        jobs: list[Job],
        candidates: list[Job],
        workers: OpenWorkers,
        now: float,
    ) -> Iterator[tuple[Job, OpenWorkers]]:
        """Yield the candidates that limits let start, each with its workers.

        Jobs over the rate are examined only if workers that are not kept for others
        have free capacity. Under overload nearly all waiting jobs are over the rate.
        """
        is_over = self.workspaces.rates.is_over
        within_rate: list[Job] = []
        over_rate: list[Job] = []
        for job in candidates:
            is_last = is_over(job.job_id) and not job.long_running
            (over_rate if is_last else within_rate).append(job)
        yield from self._by_share(service, jobs, within_rate, workers, now)
        starts = len(self.planned_runs)
        least = min((job.min_pending_cpu for job in over_rate), default=0)
        if not over_rate or workers.max_free(starts) < least:
            return
        choice = self._kept_workers(service, jobs, workers.workers, now)
        unkept = _without(workers, choice.kept_from(Standing.OVER_RATE, Rank.LATE))
        if unkept.max_free(starts) >= least:
            yield from self._by_share(service, jobs, over_rate, workers, now)

    def _by_share(
        self,
        service: ServiceName,
        jobs: list[Job],
        candidates: list[Job],
        workers: OpenWorkers,
        now: float,
    ) -> Iterator[tuple[Job, OpenWorkers]]:
        """Yield candidates in the order of ``order_key``.

        The starts of the pass use up shares, so a job whose workspace has none left
        takes its new place in the order, also if some of its tasks were started.
        """
        policy = self.workspaces
        waiting = self._candidate_keys(service, candidates, now)
        heapify(waiting)
        open_workers: dict[frozenset[WorkerId], OpenWorkers] = {frozenset(): workers}
        while waiting:
            key, number, standing, job = heappop(waiting)
            if not policy.may_start(job, policy.room_of(job.accepted.workspace)):
                continue
            if policy.standing(job, service) is standing:
                kept: frozenset[WorkerId] = frozenset()
                rank = Rank(key[2])
                if (
                    standing is not Standing.WITHIN_SHARE
                    and rank is not Rank.LONG_RUNNING
                ):
                    choice = self._kept_workers(service, jobs, workers.workers, now)
                    kept = choice.kept_from(standing, rank)
                if kept not in open_workers:
                    open_workers[kept] = _without(workers, kept)
                yield job, open_workers[kept]
                if not job.pending or policy.standing(job, service) is standing:
                    continue
            standing = policy.standing(job, service)
            key = self._order_key(service, job, standing, now)
            heappush(waiting, (key, number, standing, job))

    def _candidate_keys(
        self, service: ServiceName, candidates: list[Job], now: float
    ) -> list[tuple[Key, int, Standing, Job]]:
        """Return the candidates that limits let start, with their sort keys."""
        policy, is_over = self.workspaces, self.workspaces.rates.is_over
        known: dict[WorkspaceName, tuple[Room | None, Standing]] = {}
        waiting: list[tuple[Key, int, Standing, Job]] = []
        for number, job in enumerate(candidates):
            name = job.accepted.workspace
            if name not in known:
                room = policy.room_of(name)
                known[name] = (room, policy.share_standing(name, service))
            room, standing = known[name]
            if not policy.may_start(job, room):
                continue
            if is_over(job.job_id):
                standing = Standing.OVER_RATE
            key = self._order_key(service, job, standing, now)
            waiting.append((key, number, standing, job))
        return waiting

    def _order_key(
        self, service: ServiceName, job: Job, standing: Standing, now: float
    ) -> Key:
        urgency = self._urgency(service, job, standing, now)
        return order_key(urgency, standing, self._lending_priority(job, standing))

    def _lending_priority(self, job: Job, standing: Standing) -> int:
        if standing is Standing.WITHIN_SHARE:
            return 0
        return self.workspaces.lending_priority(job.accepted.workspace)

    def _urgency(
        self, service: ServiceName, job: Job, standing: Standing, now: float
    ) -> Urgency:
        oversubscribed = self.workspaces.is_oversubscribed(service, standing)
        return self.urgency(job, self.queues.get(job.queue), now, oversubscribed)

    def _kept_workers(
        self, service: ServiceName, jobs: list[Job], workers: list[Worker], now: float
    ) -> KeptWorkers:
        """Return the workers that are kept for jobs that come before others."""
        kept = self.kept_workers.get(service)
        if kept is None or not kept.is_recent(now):
            waiting = self._waiting_tasks(service, jobs, workers, now)
            kept = KeptWorkers(now, len(jobs), choose_kept_workers(waiting, workers))
            self.kept_workers[service] = kept
        return kept

    def _waiting_tasks(
        self, service: ServiceName, jobs: list[Job], workers: list[Worker], now: float
    ) -> dict[Precedence, list[WaitingTasks]]:
        """Return the ready tasks of jobs within their rates that limits let start.

        Ends early once they need all workers.
        """
        policy, claims = self.workspaces, self.workspaces.waiting_claims()
        waiting: dict[Precedence, list[WaitingTasks]] = {}
        most = sum(worker.entry.capacity.cpu for worker in workers)
        needed = dict.fromkeys(Precedence, 0)
        standings: dict[WorkspaceName, Standing] = {}
        is_over = policy.rates.is_over
        for job in jobs:
            if is_over(job.job_id) or not job.pending:
                continue
            if policy.holds.holds_back_job(job):
                continue
            name = job.accepted.workspace
            if name not in standings:
                standings[name] = policy.share_standing(name, service)
            precedence = Precedence.LENT
            if standings[name] is Standing.WITHIN_SHARE:
                rank = self._urgency(service, job, standings[name], now).rank
                precedence = Precedence.of(standings[name], rank)
            if needed[precedence] > most:
                continue
            room = claims.room(name)
            for (occurrence, number), positions in job.pending.items():
                step = job.accepted.spec.steps[number]
                count = len(positions)
                if room is not None:
                    count = room.take(step.demand, count)
                if not count or (step.gang and count < len(positions)):
                    continue
                requirements = self.requirements_of(
                    job, occurrence, number, workers, now
                )
                if requirements is not None:
                    tasks = WaitingTasks(requirements, count)
                    waiting.setdefault(precedence, []).append(tasks)
                    needed[precedence] += count * step.reserved.cpu
            if needed[Precedence.WITHIN_SHARE_IN_TIME] > most:
                break
        return waiting


def _without(workers: OpenWorkers, kept: frozenset[WorkerId]) -> OpenWorkers:
    """Return the workers that are not kept for other jobs."""
    return OpenWorkers([w for w in workers.workers if w.worker_id not in kept])
