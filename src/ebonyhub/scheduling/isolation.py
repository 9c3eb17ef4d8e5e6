"""Starts the tasks that may crash their workers alone, one at a time on a worker.

Nothing else starts on such a worker until it has survived the task's probation. The
worker with the fewest runs is chosen, since a crash ends all of them.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from math import ceil

from ..ids import ServiceName
from ..jobs.model import Resources
from . import lifecycle
from .assignment import Assignment
from .crashes import is_isolating, is_on_probation, suspect_ranks
from .placement import (
    StepRequirements,
    choose_gang_workers,
    has_capacity,
    meets_constraints,
)
from .runs import Job, Worker

# Share of a service's workers that may be kept from other tasks for suspected ones.
MAX_ISOLATING_SHARE = 0.5


@dataclass(frozen=True, slots=True)
class SuspectedTasks:
    """A waiting suspected task, or a gang of which a member is suspected."""

    job: Job
    requirements: StepRequirements
    positions: list[int]


class IsolatedStarts(Assignment):
    """Plans suspected tasks before all others."""

    def plan_suspects(
        self, service: ServiceName, jobs: list[Job], workers: list[Worker], now: float
    ) -> list[Worker]:
        """Assign suspected tasks; return the workers on which other tasks may start.

        While suspected tasks wait, workers are held: nothing starts there, so that the
        runs on them pass their probation and one can be started alone.
        """
        open_workers = [w for w in workers if not is_isolating(w, now)]
        limit = max(1, ceil(len(workers) * MAX_ISOLATING_SHARE))
        unused = limit - (len(workers) - len(open_workers))
        held_before = self.held_workers.pop(service, set())
        suspected = self._suspected_tasks(jobs, workers, now)
        if not suspected:
            return open_workers
        waiting: list[SuspectedTasks] = []
        for tasks in suspected:
            if unused <= 0:
                assigned = False
            elif tasks.requirements.step.gang:
                assigned = self._assign_gang_alone(tasks, open_workers, now)
            else:
                assigned = self._assign_alone(tasks, open_workers, now)
            if not assigned:
                waiting.append(tasks)
            unused -= sum(is_isolating(worker, now) for worker in open_workers)
            open_workers = [w for w in open_workers if not is_isolating(w, now)]
        held = {
            worker.worker_id
            for worker in _workers_to_hold(waiting, open_workers, held_before, now)[
                : max(0, unused)
            ]
        }
        if held:
            self.held_workers[service] = held
        return [worker for worker in open_workers if worker.worker_id not in held]

    def _suspected_tasks(
        self, jobs: list[Job], workers: list[Worker], now: float
    ) -> list[SuspectedTasks]:
        """Return the waiting suspected tasks, the youngest in their crash first.

        Once the cause of a crash is found, the other suspects need not start alone.
        """
        ranks = suspect_ranks(self.crashes)
        found: list[tuple[int, SuspectedTasks]] = []
        for job in [job for job in jobs if job.has_suspects]:
            for (occurrence, number), waiting in list(job.pending.items()):
                suspects = lifecycle.suspects_among(job, occurrence, number, waiting)
                if not suspects:
                    continue
                requirements = self.requirements_of(
                    job, occurrence, number, workers, now
                )
                if requirements is None:
                    continue
                rank_of = {
                    position: ranks.get(requirements.task(position), len(ranks))
                    for position in sorted(suspects)
                }
                if requirements.step.gang:
                    gang = SuspectedTasks(job, requirements, sorted(waiting))
                    found.append((min(rank_of.values()), gang))
                    continue
                found += [
                    (rank, SuspectedTasks(job, requirements, [position]))
                    for position, rank in rank_of.items()
                ]
        found.sort(key=lambda pair: pair[0])
        return [tasks for _, tasks in found]

    def _assign_alone(
        self, tasks: SuspectedTasks, workers: list[Worker], now: float
    ) -> bool:
        """Assign a task to a worker of its own; return whether there was one."""
        requirements = tasks.requirements
        free = [
            worker
            for worker in _quiet_workers(requirements, workers, now)
            if has_capacity(requirements, worker)
        ]
        if not free:
            return False
        (position,) = tasks.positions
        task = requirements.task(position)
        avoid = tasks.job.workers_to_avoid.get(task, set())
        rack = requirements.step.data_rack
        worker = min(
            free,
            key=lambda worker: (
                worker.worker_id in avoid,
                bool(rack) and worker.entry.rack != rack,
                len(worker.runs),
            ),
        )
        self.assign(tasks.job, task, worker, now)
        return True

    def _assign_gang_alone(
        self, tasks: SuspectedTasks, workers: list[Worker], now: float
    ) -> bool:
        """Assign a gang to workers of its own; return whether it was assigned."""
        quiet = _quiet_workers(tasks.requirements, workers, now)
        chosen = choose_gang_workers(tasks.requirements, quiet, tasks.positions)
        if chosen is None:
            return False
        self.assign_gang(tasks.job, tasks.requirements, chosen, now)
        return True


def _quiet_workers(
    requirements: StepRequirements, workers: Iterable[Worker], now: float
) -> list[Worker]:
    """Return the workers that may run the step and have no run on probation."""
    return [
        worker
        for worker in workers
        if meets_constraints(requirements, worker)
        and not _count_on_probation(worker, now)
    ]


def _count_on_probation(worker: Worker, now: float) -> int:
    return sum(is_on_probation(run, worker, now) for run in worker.runs.values())


def _workers_to_hold(
    waiting: list[SuspectedTasks],
    workers: list[Worker],
    held_before: Iterable[object],
    now: float,
) -> list[Worker]:
    """Return the workers to hold for waiting suspected tasks, one for each task.

    Workers that were held before come first, then those with the fewest runs that have
    to pass their probation.
    """
    held_before = set(held_before)
    ranked = sorted(
        workers,
        key=lambda worker: (
            worker.worker_id not in held_before,
            _count_on_probation(worker, now),
            -worker.free.cpu,
        ),
    )
    chosen: list[Worker] = []
    for tasks in waiting:
        for _ in tasks.positions:
            for worker in ranked:
                if worker not in chosen and _can_ever_fit(tasks.requirements, worker):
                    chosen.append(worker)
                    break
    return chosen


def _can_ever_fit(requirements: StepRequirements, worker: Worker) -> bool:
    """Return whether a task fits once all but the long-running runs have ended."""
    kept = Resources()
    for run in worker.runs.values():
        if run.step.long_running:
            kept = kept + run.reserved
    room = worker.entry.capacity - kept
    return meets_constraints(
        requirements, worker
    ) and requirements.step.reserved.fits_into(room)
