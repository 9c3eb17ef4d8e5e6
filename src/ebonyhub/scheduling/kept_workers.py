"""Keeps workers for waiting tasks that come first, until these fit (pure).

Small tasks would otherwise take all capacity that becomes free, and a larger
task of a workspace that is within its share would wait for as long as others have
small ones.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from enum import IntEnum

from ..ids import WorkerId
from ..jobs.model import MAX_TASKS, Resources
from .placement import StepRequirements, meets_constraints
from .priority import Rank
from .runs import Worker
from .workspaces.assessment import valid_seconds
from .workspaces.status import Standing

# Capacity of the kept workers relative to what the waiting tasks need. The runs that
# occupy them end one after the other, so with more workers the tasks start sooner.
KEPT_FACTOR = 3.0


class Precedence(IntEnum):
    """Classes of jobs for which workers are kept; the lowest comes first."""

    WITHIN_SHARE_IN_TIME = 0
    WITHIN_SHARE_LATE = 1
    LENT = 2
    OVER_RATE = 3

    @classmethod
    def of(cls, standing: Standing, rank: Rank) -> "Precedence":
        """Return the class of a waiting job."""
        if standing is Standing.OVER_RATE:
            return cls.OVER_RATE
        if standing is Standing.LENT:
            return cls.LENT
        return cls.WITHIN_SHARE_LATE if rank is Rank.LATE else cls.WITHIN_SHARE_IN_TIME


@dataclass(frozen=True, slots=True)
class WaitingTasks:
    """Ready tasks of one step that have found no worker."""

    requirements: StepRequirements
    count: int


@dataclass(slots=True)
class OpenWorkers:
    """Workers that a class of jobs may use."""

    workers: list[Worker]
    _max_free: int = -1
    _counted_at: int = -1

    def max_free(self, starts: int) -> int:
        """Return the most free CPU of one worker, counted anew after each start."""
        if starts != self._counted_at:
            self._counted_at = starts
            self._max_free = max_free_cpu(self.workers)
        return self._max_free


@dataclass(frozen=True, slots=True)
class KeptWorkers:
    """The workers of a service that are kept for each class and those before it."""

    chosen_at: float
    # Number of waiting jobs that the choice was computed from.
    waiting_jobs: int
    by_class: dict[Precedence, frozenset[WorkerId]] = field(default_factory=dict)

    def is_recent(self, now: float) -> bool:
        """Return whether the choice may still be used."""
        return 0.0 <= now - self.chosen_at < valid_seconds(self.waiting_jobs)

    def kept_from(self, standing: Standing, rank: Rank) -> frozenset[WorkerId]:
        """Return the workers on which a job must not start."""
        if standing is Standing.WITHIN_SHARE:
            return frozenset()
        before = Precedence.LENT
        if standing is Standing.LENT:
            late = rank is Rank.LATE
            before = (
                Precedence.WITHIN_SHARE_LATE
                if late
                else Precedence.WITHIN_SHARE_IN_TIME
            )
        return self.by_class.get(before, frozenset())


def max_free_cpu(workers: Iterable[Worker]) -> int:
    """Return the most free CPU of one worker in thousandths of a core, -1 for none."""
    return max((worker.free.cpu for worker in workers), default=-1)


def choose_kept_workers(
    waiting: dict[Precedence, list[WaitingTasks]], workers: Sequence[Worker]
) -> dict[Precedence, frozenset[WorkerId]]:
    """Choose workers for the waiting tasks, those with the most free capacity first.

    The workers of a class include those of the classes before it.
    """
    ranked = sorted(workers, key=lambda worker: -worker.free.cpu)
    rooms = {w.worker_id: _room_beside_long_runs(w) for w in workers}
    unused = {worker_id: room.cpu for worker_id, room in rooms.items()}
    kept: set[WorkerId] = set()
    by_class: dict[Precedence, frozenset[WorkerId]] = {}
    for precedence in Precedence:
        for tasks in waiting.get(precedence, ()):
            if len(kept) == len(ranked):
                break
            _keep_for(tasks, ranked, rooms, unused, kept)
        by_class[precedence] = frozenset(kept)
    return by_class


def _keep_for(
    tasks: WaitingTasks,
    workers: Sequence[Worker],
    rooms: dict[WorkerId, Resources],
    unused: dict[WorkerId, int],
    kept: set[WorkerId],
) -> None:
    """Add workers to ``kept`` and take what the tasks need from ``unused``.

    Nothing is kept for tasks that cannot start when other runs end: others would wait
    for good.
    """
    requirements = tasks.requirements
    if requirements.step.gang:
        pairs = ((worker, rooms[worker.worker_id]) for worker in workers)
        if not _members_fit(requirements, tasks.count, pairs):
            return
    cpu = max(1, requirements.step.reserved.cpu)
    missing = int(tasks.count * KEPT_FACTOR)
    for worker in workers:
        if missing <= 0:
            return
        fitting = unused[worker.worker_id] // cpu
        if fitting <= 0:
            continue
        room = rooms[worker.worker_id]
        fitting = min(fitting, _tasks_that_fit(requirements, worker, room))
        if fitting <= 0:
            continue
        taken = min(fitting, missing)
        missing -= taken
        unused[worker.worker_id] -= taken * cpu
        kept.add(worker.worker_id)


def can_be_placed(
    requirements: StepRequirements, members: int, workers: Iterable[Worker]
) -> bool:
    """Return whether the workers have room for tasks that start together.

    Runs that are not long-running are left out, since they end.
    """
    rooms = ((worker, _room_beside_long_runs(worker)) for worker in workers)
    return _members_fit(requirements, members, rooms)


def _members_fit(
    requirements: StepRequirements,
    members: int,
    rooms: Iterable[tuple[Worker, Resources]],
) -> bool:
    """Return whether so many tasks fit into these rooms of workers at the same time."""
    fitting = 0
    for worker, room in rooms:
        fitting += _tasks_that_fit(requirements, worker, room)
        if fitting >= members:
            return True
    return False


def _tasks_that_fit(
    requirements: StepRequirements, worker: Worker, room: Resources
) -> int:
    """Return how many tasks a worker can run in ``room`` at the same time."""
    step, reserved = requirements.step, requirements.step.reserved
    if not reserved.fits_into(room) or not meets_constraints(requirements, worker):
        return 0
    fitting = min(
        (
            available // needed
            for available, needed in (
                (room.cpu, reserved.cpu),
                (room.memory, reserved.memory),
                (room.accelerators, reserved.accelerators),
            )
            if needed
        ),
        default=MAX_TASKS,
    )
    if not step.max_per_worker:
        return fitting
    running = 0
    if step.long_running:
        running = worker.count_runs_of_step(
            requirements.job, requirements.occurrence, requirements.step_number
        )
    return min(fitting, step.max_per_worker - running)


def _room_beside_long_runs(worker: Worker) -> Resources:
    """Return the capacity of a worker that its long-running tasks leave."""
    long_runs = (run for run in worker.runs.values() if run.step.long_running)
    return worker.entry.capacity - sum(
        (run.reserved for run in long_runs), start=Resources()
    )
