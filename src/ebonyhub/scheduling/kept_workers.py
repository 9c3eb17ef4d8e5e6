"""Keeps workers for waiting tasks that come first, until these fit (pure).

Small tasks would otherwise take all capacity that becomes free, and a larger
task of a workspace that is within its share would wait for as long as others have
small ones.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from enum import IntEnum

from ..ids import WorkerId
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
    unused = {w.worker_id: _capacity_without_long_runs(w) for w in workers}
    kept: set[WorkerId] = set()
    by_class: dict[Precedence, frozenset[WorkerId]] = {}
    for precedence in Precedence:
        for tasks in waiting.get(precedence, ()):
            if len(kept) == len(ranked):
                break
            _keep_for(tasks, ranked, unused, kept)
        by_class[precedence] = frozenset(kept)
    return by_class


def _keep_for(
    tasks: WaitingTasks,
    workers: Sequence[Worker],
    unused: dict[WorkerId, int],
    kept: set[WorkerId],
) -> None:
    """Add workers to ``kept`` and take what the tasks need from ``unused``."""
    step = tasks.requirements.step
    cpu = max(1, step.reserved.cpu)
    missing = int(tasks.count * KEPT_FACTOR)
    for worker in workers:
        if missing <= 0:
            return
        fitting = unused[worker.worker_id] // cpu
        if step.max_per_worker:
            fitting = min(fitting, step.max_per_worker)
        if (
            fitting <= 0
            or not step.reserved.fits_into(worker.entry.capacity)
            or not meets_constraints(tasks.requirements, worker)
        ):
            continue
        taken = min(fitting, missing)
        missing -= taken
        unused[worker.worker_id] -= taken * cpu
        kept.add(worker.worker_id)


def _capacity_without_long_runs(worker: Worker) -> int:
    """Return the CPU of a worker that its long-running tasks leave."""
    held = sum(r.reserved.cpu for r in worker.runs.values() if r.step.long_running)
    return worker.entry.capacity.cpu - held
