"""Chooses workers for ready tasks."""

from collections.abc import Container, Iterable, Mapping
from itertools import islice

from ..events import log_event
from ..ids import ServiceName
from . import lifecycle
from .crashes import is_isolating
from .kept_workers import OpenWorkers
from .placement import (
    StepRequirements,
    best_fit_order,
    choose_gang_workers,
    choose_worker,
    has_capacity,
    meets_constraints,
)
from .priority import is_oversubscribed
from .runs import Job, Worker
from .share_order import ShareOrder
from .waiting import Waiting, waiting_of
from .workspaces.status import Standing

# Starts that one pass plans, and steps of one job that it looks at. A pass that places
# more would keep the event loop for too long.
MAX_STARTS_PER_PASS = 512
MAX_STEPS_PER_PASS = 512
# Workers that can be compared in the time that planning one start takes.
WORKERS_PER_START = 8


class Planning(ShareOrder):
    """Assigns ready tasks to workers, the most urgent jobs first."""

    def plan_changed(self, now: float) -> None:
        """Plan the services in which tasks became ready or capacity was freed.

        Planning all services on each event would cost too much: most events affect one
        service, and confirmed starts affect none.
        """
        services = self.services_to_plan
        self.plan_again = False
        if services:
            self.services_to_plan = set()
            self.plan(now, services)

    def plan(self, now: float, services: Container[ServiceName] | None = None) -> None:
        """Assign ready tasks to workers in ``services``, in all if it is None.

        A pass ends after MAX_STARTS_PER_PASS; ``plan_again`` then asks for another one.
        """
        self.starts_left = MAX_STARTS_PER_PASS
        if self.workspaces.ledger.holds_any and self.runs_are_known(now):
            self.workspaces.ledger.release_held()
        self.end_limit_holds(now)
        self.end_old_late_starts(now)
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
        if self.workspaces.is_active:
            # After the pass, which may have given the room to smaller tasks.
            self.begin_limit_holds(now)
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
        has_workspaces = self.workspaces.is_active
        if has_workspaces:
            self.assess_service(service, jobs, workers, cores, now)
            oversubscribed = False
        else:
            oversubscribed = is_oversubscribed(jobs, cores)
        if self._isolates_tasks(jobs, workers):
            self._plan_long_running(service, jobs, workers, oversubscribed, now)
        later_suspects = self.later_suspects(service, jobs) if has_workspaces else []
        everywhere = OpenWorkers(
            self.plan_first_suspects(service, jobs, later_suspects, workers, now)
        )
        self._plan_in_order(service, jobs, jobs, everywhere, oversubscribed, now)
        if self.starts_left <= 0:
            self.services_to_plan.add(service)
            self.plan_again = True
        if later_suspects:
            held = OpenWorkers(self.workers_held_for_later(service, workers, now))
            for job in self.before_later_suspects(service, jobs, held, now):
                self._plan_job(job, held.workers, now)
            kept = self.kept_from_suspects(service, jobs, workers, now)
            self.plan_later_suspects(service, later_suspects, workers, kept, now)

    def _isolates_tasks(self, jobs: list[Job], workers: list[Worker]) -> bool:
        """Return whether workers may be kept for tasks that have to start alone."""
        return any(job.has_suspects for job in jobs) or any(
            worker.isolated_runs for worker in workers
        )

    def _plan_long_running(
        self,
        service: ServiceName,
        jobs: list[Job],
        workers: list[Worker],
        oversubscribed: bool,
        now: float,
    ) -> None:
        """Assign long-running tasks before workers are kept for suspected tasks.

        Suspects would keep up to half of the workers for as long as any wait, while
        others fill the rest; seconds without a long-running task are an outage.
        """
        long_running = [job for job in jobs if job.long_running]
        if long_running:
            open_workers = [w for w in workers if not is_isolating(w, now)]
            self._plan_in_order(
                service, jobs, long_running, OpenWorkers(open_workers), oversubscribed,
                now,
            )  # fmt: skip

    def _plan_in_order(
        self,
        service: ServiceName,
        jobs: list[Job],
        chosen: list[Job],
        workers: OpenWorkers,
        oversubscribed: bool,
        now: float,
    ) -> None:
        """Assign the tasks of the ``chosen`` jobs of a service, the most urgent first.

        ``jobs`` are all jobs of the service with ready tasks.
        """
        max_free = workers.max_free(len(self.planned_runs))
        candidates = [job for job in chosen if job.min_pending_cpu <= max_free]
        smallest = min((job.min_pending_cpu for job in candidates), default=0)
        ordered: Iterable[tuple[Job, OpenWorkers]]
        if self.workspaces.is_active:
            ordered = self.in_order_of_shares(service, jobs, candidates, workers, now)
        else:
            in_order = self._in_order(candidates, oversubscribed, now)
            ordered = ((job, workers) for job in in_order)
        for job, allowed in ordered:
            starts = len(self.planned_runs)
            if smallest > workers.max_free(starts):
                break
            if job.min_pending_cpu <= allowed.max_free(starts):
                self._plan_job(job, allowed.workers, now)

    def _in_order(
        self, candidates: list[Job], oversubscribed: bool, now: float
    ) -> list[Job]:
        """Return the candidates, the most urgent first."""
        candidates.sort(
            key=lambda job: (
                self.urgency(job, self.queues.get(job.queue), now, oversubscribed).key
            )
        )
        return candidates

    def _plan_job(self, job: Job, workers: list[Worker], now: float) -> None:
        service = self.service_of(job)
        standing = self.workspaces.standing(job, service)
        for (occurrence, number), waiting in self._steps_to_plan(job):
            if self.starts_left <= 0:
                return
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
                chosen = choose_gang_workers(
                    requirements, allowed, sorted(waiting),
                    self.bound_positions(requirements, waiting),
                )  # fmt: skip
                if chosen is not None:
                    self.assign_gang(job, requirements, chosen, now)
                    self.starts_left -= len(chosen)
                continue
            bound = self.bound_positions(requirements, waiting)
            for position in sorted(bound.keys() - suspects)[:allowed_tasks]:
                allowed_tasks -= self._plan_bound(
                    job, requirements, allowed, position, now
                )
            # Those that still wait keep their places on their workers.
            bound = {n: name for n, name in bound.items() if n in waiting}
            requirements = requirements.beside(bound)
            open_positions = (
                position
                for position in waiting
                if position not in suspects and position not in bound
            )
            limit = max(0, min(allowed_tasks, self.starts_left))
            positions = sorted(islice(open_positions, limit))
            self._plan_tasks(job, requirements, allowed, positions, now)

    def _steps_to_plan(self, job: Job) -> list[tuple[tuple[int, int], set[int]]]:
        """Return the steps with ready tasks; in turns, if there are very many."""
        if len(job.pending) <= MAX_STEPS_PER_PASS:
            return list(job.pending.items())
        begin = job.next_step_to_plan % len(job.pending)
        job.next_step_to_plan = begin + MAX_STEPS_PER_PASS
        return list(islice(job.pending.items(), begin, begin + MAX_STEPS_PER_PASS))

    def _plan_bound(
        self,
        job: Job,
        requirements: StepRequirements,
        workers: list[Worker],
        position: int,
        now: float,
    ) -> bool:
        """Assign a task that is bound to a worker; return whether it has room."""
        task = requirements.task(position)
        avoid = job.workers_to_avoid.get(task, ())
        worker = choose_worker(requirements, self.workers_for(task, workers, avoid))
        if worker is not None:
            self.assign(job, task, worker, now)
        return worker is not None

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
            examined = 1 if workers_by_fit is not None else len(workers)
            self.starts_left -= 1 + examined // WORKERS_PER_START

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
