"""Starts the tasks that may crash their workers alone, one at a time on a worker.

Nothing else starts on such a worker until it has survived the task's probation. The
worker with the fewest runs is chosen, since a crash ends all of them. If very many
tasks wait, those that are suspected for one crash only start in groups.
"""

from collections.abc import Container, Mapping, Sequence
from dataclasses import dataclass, field
from math import ceil, sqrt

from ..ids import ServiceName, TaskId, WorkerId
from ..jobs.model import Resources
from . import lifecycle
from .assignment import Assignment
from .crashes import (
    is_isolating,
    is_on_probation,
    may_start_in_group,
    suspect_ranks,
)
from .placement import (
    StepRequirements,
    choose_gang_workers,
    has_capacity,
    has_place,
    meets_constraints,
)
from .runs import Job, Worker

# Share of a service's workers that may be kept from other tasks for suspected ones.
MAX_ISOLATING_SHARE = 0.5
# Suspected tasks for each of these workers up to which all start alone.
MAX_ALONE_PER_WORKER = 4
# Size of a group relative to the square root of the number of tasks that wait, which
# balances the groups with the tasks of one group, which start alone if it crashes.
GROUP_FACTOR = 1.0


@dataclass(frozen=True, slots=True)
class SuspectedTasks:
    """A waiting suspected task, or a gang of which a member is suspected."""

    job: Job
    requirements: StepRequirements
    positions: list[int]
    # The only worker of some positions.
    bound: Mapping[int, WorkerId] = field(default_factory=dict)
    # The task may start beside others for which this holds.
    groupable: bool = False


@dataclass(slots=True)
class SuspectGroup:
    """A worker on which suspected tasks start together in one pass."""

    worker: Worker
    places: int


class IsolatedStarts(Assignment):
    """Plans suspected tasks before all others, except those that shares put last."""

    def plan_suspects(
        self, service: ServiceName, jobs: list[Job], workers: list[Worker], now: float
    ) -> list[Worker]:
        """Assign suspected tasks; return the workers on which other tasks may start.

        While suspected tasks wait, workers are held: nothing starts there, so that the
        runs on them pass their probation and one can be started alone.
        """
        open_workers = [w for w in workers if not is_isolating(w, now)]
        unused = _most_isolating(workers) - (len(workers) - len(open_workers))
        held_before = self.held_workers.pop(service, set())
        suspected = self._suspected_tasks(jobs, workers, now)
        if not suspected:
            return open_workers
        held = self._start_or_hold(suspected, open_workers, held_before, unused, now)
        if held:
            self.held_workers[service] = held
        return [
            worker
            for worker in open_workers
            if not is_isolating(worker, now) and worker.worker_id not in held
        ]

    def plan_later_suspects(
        self,
        service: ServiceName,
        jobs: list[Job],
        workers: list[Worker],
        kept: Container[WorkerId],
        now: float,
    ) -> None:
        """Assign suspected tasks that come after those for which workers are kept.

        To be called after other tasks were assigned.
        """
        held_before = self.held_for_later.pop(service, set())
        suspected = self._suspected_tasks(jobs, workers, now)
        if not suspected:
            return
        held_first = self.held_workers.get(service, set())
        usable = [
            worker
            for worker in workers
            if not is_isolating(worker, now)
            and worker.worker_id not in held_first
            and worker.worker_id not in kept
        ]
        isolating = sum(is_isolating(worker, now) for worker in workers)
        unused = _most_isolating(workers) - isolating - len(held_first)
        held = self._start_or_hold(suspected, usable, held_before, unused, now)
        if held:
            self.held_for_later[service] = held

    def workers_held_for_later(
        self, service: ServiceName, workers: list[Worker], now: float
    ) -> list[Worker]:
        """Return the workers that are held for later suspects only."""
        held = self.held_for_later.get(service, set())
        held = held - self.held_workers.get(service, set())
        return [
            worker
            for worker in workers
            if worker.worker_id in held and not is_isolating(worker, now)
        ]

    def _start_or_hold(
        self,
        suspected: list[SuspectedTasks],
        workers: list[Worker],
        held_before: set[WorkerId],
        limit: int,
        now: float,
    ) -> set[WorkerId]:
        """Assign tasks alone; return the workers to hold for those that wait.

        At most ``limit`` workers run one alone or are held.
        """
        waiting = self._assign_suspects(suspected, workers, limit, now)
        still_open = [w for w in workers if not is_isolating(w, now)]
        limit -= len(workers) - len(still_open)
        return _workers_to_hold(waiting, still_open, held_before, limit, now)

    def _assign_suspects(
        self,
        suspected: list[SuspectedTasks],
        workers: list[Worker],
        limit: int,
        now: float,
    ) -> list[SuspectedTasks]:
        """Assign tasks until ``limit`` workers isolate one; return those that wait.

        Long-running tasks that wait take up these workers before others, so that one
        can be held for each: others would use them for as long as there are any.
        """
        quiet = [worker for worker in workers if not _count_on_probation(worker, now)]
        count = len(quiet)
        reserved = 0
        size = _group_size(suspected, limit)
        groups: list[SuspectGroup] = []
        waiting: list[SuspectedTasks] = []
        for tasks in suspected:
            wanted = len(tasks.positions)
            step = tasks.requirements.step
            if not self.workspaces.tasks_allowed(tasks.job, step, wanted):
                # Reserving a worker for it would only block other tasks.
                continue
            if tasks.groupable and self._assign_to_group(tasks, groups, now):
                continue
            usable = limit if step.long_running else limit - reserved
            assigned = count - len(quiet) < usable and self._assign_alone(
                tasks, quiet, now
            )
            if assigned:
                before = quiet
                quiet = [w for w in quiet if not _count_on_probation(w, now)]
                if tasks.groupable and size > 1:
                    groups += [
                        SuspectGroup(w, size - 1) for w in before if w not in quiet
                    ]
            else:
                waiting.append(tasks)
                reserved += step.long_running and _can_be_held_for(tasks, workers)
        return waiting

    def _suspected_tasks(
        self, jobs: list[Job], workers: list[Worker], now: float
    ) -> list[SuspectedTasks]:
        """Return the waiting suspected tasks, by the age of their runs at the crash.

        Once the cause of a crash is found, the other suspects need not start alone.
        Long-running tasks come first, since seconds without one are an outage.
        """
        ranks = suspect_ranks(self.crashes)
        found: list[tuple[bool, int, SuspectedTasks]] = []
        for job in [job for job in jobs if job.has_suspects]:
            for (occurrence, number), waiting in list(job.pending.items()):
                suspects = self._due_suspects(job, occurrence, number, waiting, now)
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
                bound = self.bound_positions(requirements, waiting)
                if requirements.step.gang:
                    gang = SuspectedTasks(job, requirements, sorted(waiting), bound)
                    found.append((True, min(rank_of.values()), gang))
                    continue
                # Those that are bound keep their places on their workers.
                unbound = requirements.beside(bound)
                is_batch = not requirements.step.long_running
                progress = job.progress.occurrences[occurrence][number]
                for position, rank in rank_of.items():
                    own = requirements if position in bound else unbound
                    groupable = is_batch and may_start_in_group(progress, position)
                    task = SuspectedTasks(job, own, [position], bound, groupable)
                    found.append((is_batch, rank, task))
        found.sort(key=lambda item: item[:2])
        return [tasks for _, _, tasks in found]

    def _due_suspects(
        self, job: Job, occurrence: int, number: int, waiting: set[int], now: float
    ) -> set[int]:
        """Return the positions of suspected tasks that need not wait any longer.

        A gang waits for each of its members.
        """
        suspects = lifecycle.suspects_among(job, occurrence, number, waiting)
        delayed = {
            position
            for position in suspects
            if self.crash_delays.remaining(
                TaskId(job.job_id, occurrence, number, position), now
            )
        }
        if delayed and job.accepted.spec.steps[number].gang:
            return set()
        return suspects - delayed

    def _assign_alone(
        self, tasks: SuspectedTasks, quiet: list[Worker], now: float
    ) -> bool:
        """Assign a task or a gang to workers without runs on probation, if it fits."""
        requirements = tasks.requirements
        allowed = [
            worker for worker in quiet if meets_constraints(requirements, worker)
        ]
        if requirements.step.gang:
            chosen = choose_gang_workers(
                requirements, allowed, tasks.positions, tasks.bound
            )
            if chosen is not None:
                self.assign_gang(tasks.job, requirements, chosen, now)
            return chosen is not None
        return self._assign_task(tasks, allowed, now)

    def _assign_to_group(
        self, tasks: SuspectedTasks, groups: list[SuspectGroup], now: float
    ) -> bool:
        """Assign a task to one of the groups of this pass, if it fits.

        Groups that are complete are removed, and those without room for the task.
        """
        for group in list(groups):
            if not meets_constraints(tasks.requirements, group.worker):
                continue
            assigned = self._assign_task(tasks, [group.worker], now)
            group.places -= assigned
            if not group.places or not has_capacity(tasks.requirements, group.worker):
                groups.remove(group)
            if assigned:
                return True
        return False

    def _assign_task(
        self, tasks: SuspectedTasks, workers: list[Worker], now: float
    ) -> bool:
        """Assign a task to the best of the workers, if one has room."""
        requirements = tasks.requirements
        (position,) = tasks.positions
        task = requirements.task(position)
        avoid = tasks.job.workers_to_avoid.get(task, set())
        allowed = self.workers_for(task, workers, avoid)
        free = [worker for worker in allowed if has_capacity(requirements, worker)]
        if not free:
            return False
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


def _group_size(suspected: list[SuspectedTasks], workers: int) -> int:
    """Return how many suspected tasks start together, on so many workers."""
    count = sum(tasks.groupable for tasks in suspected)
    if count <= MAX_ALONE_PER_WORKER * workers:
        return 1
    return ceil(GROUP_FACTOR * sqrt(count))


def _most_isolating(workers: Sequence[Worker]) -> int:
    """Return how many of a service's workers may be kept from other tasks."""
    return max(1, ceil(len(workers) * MAX_ISOLATING_SHARE))


def _count_on_probation(worker: Worker, now: float) -> int:
    return sum(is_on_probation(run, worker, now) for run in worker.runs.values())


def _workers_to_hold(
    waiting: list[SuspectedTasks],
    workers: list[Worker],
    held_before: set[WorkerId],
    limit: int,
    now: float,
) -> set[WorkerId]:
    """Return at most ``limit`` workers to hold, one for each waiting task.

    Workers that were held before come first, then those with the fewest runs that have
    to pass their probation.
    """
    ranked = sorted(
        workers,
        key=lambda worker: (
            worker.worker_id not in held_before,
            _count_on_probation(worker, now),
            -worker.free.cpu,
        ),
    )
    held: set[WorkerId] = set()
    for tasks in waiting:
        for position in tasks.positions:
            if len(held) >= limit:
                return held
            for worker in ranked:
                name = worker.worker_id
                unheld = name not in held and tasks.bound.get(position, name) == name
                if unheld and _can_ever_fit(tasks.requirements, worker):
                    held.add(worker.worker_id)
                    break
    return held


def _can_be_held_for(tasks: SuspectedTasks, workers: list[Worker]) -> bool:
    """Return whether each task fits on a worker that is held until others end."""
    return all(
        any(
            tasks.bound.get(position, worker.worker_id) == worker.worker_id
            and _can_ever_fit(tasks.requirements, worker)
            for worker in workers
        )
        for position in tasks.positions
    )


def _can_ever_fit(requirements: StepRequirements, worker: Worker) -> bool:
    """Return whether a task fits once all but the long-running runs have ended."""
    kept = Resources()
    for run in worker.runs.values():
        if run.step.long_running:
            kept = kept + run.reserved
    step = requirements.step
    if step.long_running and not has_place(requirements, worker):
        # The tasks of the step that take the places do not end.
        return False
    room = worker.entry.capacity - kept
    return meets_constraints(requirements, worker) and step.reserved.fits_into(room)
