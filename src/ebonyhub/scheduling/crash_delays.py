"""Delays the next start of long-running tasks that crash their workers.

A long-running job ends only when it is cancelled, so that such a task is not given up
as others are: it alone waits, longer after each crash, and the rest of its job runs on.
The record keeps the crashes, and a new leader counts the delay anew.
"""

from ..ids import TaskId
from ..jobs.records import StepProgress
from .crashes import (
    CONFIRMED_START_EVIDENCE,
    GIVE_UP_EVIDENCE,
    GIVE_UP_LATE_CRASHES,
)

# Delay after the crash that makes a task the cause, and the factor of each further one
# that is certain. The first is short, since a task may be blamed by chance.
FIRST_DELAY_SECONDS = 4.0
DELAY_FACTOR = 16.0
MAX_DELAY_SECONDS = 300.0


def delay_seconds(progress: StepProgress, position: int) -> float:
    """Return how long a task waits after its last crash, 0 if it is not the cause."""
    at_start = progress.crash_evidence.get(position, 0) - GIVE_UP_EVIDENCE
    late = progress.late_crashes.get(position, 0) - GIVE_UP_LATE_CRASHES
    further = max(at_start / CONFIRMED_START_EVIDENCE, late)
    if further < 0:
        return 0.0
    # Counts in a record may be as large as its decoder allows.
    growth: float = DELAY_FACTOR ** min(further, 8.0)
    return min(MAX_DELAY_SECONDS, FIRST_DELAY_SECONDS * growth)


class CrashDelays:
    """The delayed tasks of one term; times are monotonic seconds."""

    def __init__(self) -> None:
        self.until: dict[TaskId, float] = {}

    def add(self, task: TaskId, until: float, now: float) -> None:
        """Delay a task; forget the delays that have ended."""
        self.until = {t: end for t, end in self.until.items() if now < end}
        self.until[task] = until

    def remaining(self, task: TaskId, now: float) -> float:
        """Return the seconds for which the task must not start."""
        return max(0.0, self.until.get(task, now) - now)
