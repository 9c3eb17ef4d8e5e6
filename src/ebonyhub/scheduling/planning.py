"""Chooses workers for ready tasks."""

from collections.abc import Container, Iterator, Mapping
from heapq import heapify, heappop, heappush

from ..events import log_event
from ..ids import ServiceName
from . import lifecycle
from .isolation import IsolatedStarts
from .placement import (
    StepRequirements,
    best_fit_order,
    choose_gang_workers,
    choose_worker,
    has_capacity,
    meets_constraints,
)
from .priority import is_oversubscribed, order_key
from .runs import Job, Worker
from .waiting import Waiting, waiting_of
from .workspaces.assessment import ServiceLoad
from .workspaces.status import Standing

# Sort key of a job in the order of waiting jobs, see ``order_key``.
Key = tuple[bool, bool, int, int, bool, int, bool, float]


class Planning(IsolatedStarts):
    """Assigns ready tasks to workers, the most urgent jobs first."""

    def plan_changed(self, now: float) -> None:
        """Plan the services in which tasks became ready or capacity was freed.

        Planning all services on each event would cost too much: most events affect one
        service, and confirmed starts affect none.
        """
        services = self.services_to_plan
        if services:
            self.services_to_plan = set()
            self.plan(now, services)

    def plan(self, now: float, services: Container[ServiceName] | None = None) -> None:
        """Assign ready tasks to workers in ``services``, in all if it is None."""
        if self.workspaces.ledger.holds_any and self.runs_are_known(now):
            self.workspaces.ledger.release_held()
        by_service: dict[ServiceName, list[Job]] = {}
        for job in self.active.values():
            if not job.pending:
                continue
            service = self.service_of(job)
            if services is None or service in services:
                by_service.setdefault(service, []).append(job)
        for service, jobs in by_service.items():
            workers = [
                worker
                for worker in self.workers.values()
                if worker.entry.service == service and self.is_eligible(worker, now)
            ]
            if not workers:
                continue
            self._plan_service(jobs, workers, now)
        for event, name in self.workspaces.take_changes(now):
            log_event(event, workspace=name)

    def _plan_service(self, jobs: list[Job], workers: list[Worker], now: float) -> None:
        """Assign the ready tasks of one service.

        Jobs whose smallest task fits on no worker are skipped before the sort. Under
        overload that is nearly all of them.
        """
        service = workers[0].entry.service
        eligible_cores = sum(worker.entry.capacity.cpu for worker in workers) / 1000
        cores = max(eligible_cores, self.pool_cores.get(service, 0.0))
        oversubscribed = False
        if self.workspaces.is_active:
            self._assess(service, jobs, workers, cores, now)
        else:
            oversubscribed = is_oversubscribed(jobs, cores)
        workers = self.plan_suspects(service, jobs, workers, now)
        max_free_millicores = max_free_cpu(workers)
        candidates = [job for job in jobs if job.min_pending_cpu <= max_free_millicores]
        smallest = min((job.min_pending_cpu for job in candidates), default=0)
        for job in self._in_order(service, candidates, oversubscribed, now):
            if smallest > max_free_millicores:
                break
            if job.min_pending_cpu <= max_free_millicores:
                planned_before = len(self.planned_runs)
                self._plan_job(job, workers, now)
                if len(self.planned_runs) > planned_before:
                    max_free_millicores = max_free_cpu(workers)

    def _assess(
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

    def _in_order(
        self,
        service: ServiceName,
        candidates: list[Job],
        oversubscribed: bool,
        now: float,
    ) -> Iterator[Job]:
        """Yield the candidates among the service's jobs, the most urgent first."""
        if self.workspaces.is_active:
            yield from self._in_order_of_shares(service, candidates, now)
            return
        candidates.sort(
            key=lambda job: (
                self.urgency(job, self.queues.get(job.queue), now, oversubscribed).key
            )
        )
        yield from candidates

    def _in_order_of_shares(
        self, service: ServiceName, candidates: list[Job], now: float
    ) -> Iterator[Job]:
        """Yield the jobs that limits let start, in the order of ``order_key``.

        The starts of the pass use up shares, so a job whose workspace has none left
        takes its new place in the order, also if some of its tasks were started.
        """
        policy = self.workspaces
        waiting: list[tuple[Key, int, Standing, Job]] = []
        for number, job in enumerate(candidates):
            if policy.may_start(job):
                standing = policy.standing(job, service)
                key = self._order_key(service, job, standing, now)
                waiting.append((key, number, standing, job))
        heapify(waiting)
        while waiting:
            _, number, standing, job = heappop(waiting)
            if not policy.may_start(job):
                continue
            if policy.standing(job, service) is standing:
                yield job
                if not job.pending or policy.standing(job, service) is standing:
                    continue
            standing = policy.standing(job, service)
            key = self._order_key(service, job, standing, now)
            heappush(waiting, (key, number, standing, job))

    def _order_key(
        self, service: ServiceName, job: Job, standing: Standing, now: float
    ) -> Key:
        policy = self.workspaces
        oversubscribed = policy.is_oversubscribed(service, standing)
        urgency = self.urgency(job, self.queues.get(job.queue), now, oversubscribed)
        return order_key(urgency, standing, policy.lending_priority(job))

    def _plan_job(self, job: Job, workers: list[Worker], now: float) -> None:
        service = self.service_of(job)
        standing = self.workspaces.standing(job, service)
        for (occurrence, number), waiting in list(job.pending.items()):
            step = job.accepted.spec.steps[number]
            allowed_tasks = self.workspaces.tasks_allowed(job, step, len(waiting))
            if allowed_tasks and standing is Standing.WITHIN_SHARE:
                allowed_tasks = self.workspaces.tasks_within_share(
                    job, service, step, allowed_tasks
                )
            if not allowed_tasks:
                continue
            requirements = self.requirements_of(job, occurrence, number, workers, now)
            if requirements is None:
                continue
            suspects = lifecycle.suspects_among(job, occurrence, number, waiting)
            if step.gang and suspects:
                continue
            allowed = [
                worker for worker in workers if meets_constraints(requirements, worker)
            ]
            if step.gang:
                chosen = choose_gang_workers(requirements, allowed, sorted(waiting))
                if chosen is not None:
                    self.assign_gang(job, requirements, chosen, now)
                continue
            positions = sorted(waiting - suspects)[:allowed_tasks]
            self._plan_tasks(job, requirements, allowed, positions, now)

    def _plan_tasks(
        self,
        job: Job,
        requirements: StepRequirements,
        workers: list[Worker],
        positions: list[int],
        now: float,
    ) -> None:
        """Assign equal tasks until no worker has capacity for another."""
        workers_by_fit = best_fit_order(requirements, workers)
        next_worker = 0
        for position in positions:
            task = requirements.task(position)
            workers_to_avoid = job.workers_to_avoid.get(task)
            worker: Worker | None
            if workers_by_fit is None or workers_to_avoid:
                worker = choose_worker(requirements, workers, workers_to_avoid or ())
            else:
                while next_worker < len(workers_by_fit) and not has_capacity(
                    requirements, workers_by_fit[next_worker]
                ):
                    next_worker += 1
                worker = (
                    workers_by_fit[next_worker]
                    if next_worker < len(workers_by_fit)
                    else None
                )
            if worker is None:
                break
            self.assign(job, task, worker, now)

    def waiting(
        self, now: float, can_start: bool, vms_on_way: Mapping[ServiceName, int]
    ) -> dict[ServiceName, Waiting]:
        """Return why ready tasks wait, for each service that has any."""
        jobs: dict[ServiceName, list[Job]] = {}
        for job in self.active.values():
            if job.pending:
                jobs.setdefault(self.service_of(job), []).append(job)
        workers: dict[ServiceName, list[Worker]] = {}
        for worker in self.workers.values():
            if worker.entry.service in jobs and self.is_eligible(worker, now):
                workers.setdefault(worker.entry.service, []).append(worker)
        return {
            service: waiting_of(
                service_jobs,
                workers.get(service, []),
                can_start,
                vms_on_way.get(service, 0),
            )
            for service, service_jobs in jobs.items()
        }


def max_free_cpu(workers: list[Worker]) -> int:
    """Return the most free CPU of one worker in thousandths of a core, -1 for none."""
    return max((worker.free.cpu for worker in workers), default=-1)
