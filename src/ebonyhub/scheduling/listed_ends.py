"""Ends of runs that a worker process has listed and may not forget yet."""

from collections import deque
from dataclasses import dataclass, field

from ..ids import JobId, TaskId


@dataclass(slots=True)
class EndGroup:
    """Consecutive ends that a worker has listed; ``sequence`` is that of the last."""

    sequence: int
    count: int
    listed_at: float
    # Version of each job's record that has to be stored before the acknowledgement.
    versions: dict[JobId, int]
    # The task that the last end completes or fails, if a start of it may be open.
    held_for: TaskId | None = None
    is_gang: bool = False
    # May wait for longer than DELAY_SECONDS.
    may_be_delayed: bool = False

    def extend(self, later: "EndGroup") -> None:
        """Add the ends of a group that follows and is listed at the same time."""
        self.sequence = later.sequence
        self.count += later.count
        self.versions.update(later.versions)


@dataclass(slots=True)
class EndQueue:
    """The listed ends of one worker process that are not acknowledged yet."""

    # Those whose records are not stored, and those that only wait for open starts.
    unstored: deque[EndGroup] = field(default_factory=deque)
    held: deque[EndGroup] = field(default_factory=deque)

    def clear(self) -> None:
        """Forget all ends, which the worker will list again."""
        self.unstored.clear()
        self.held.clear()

    def concerns(self, job_id: JobId) -> bool:
        """Return whether an end of a job's task is waiting."""
        groups = (*self.unstored, *self.held)
        return any(job_id in group.versions for group in groups)
