"""Judges workers by what becomes of the tasks that they run.

A worker may report good health and yet fail, stall or slow down everything. It is set
aside for some seconds and then probed with new tasks.
"""

from dataclasses import dataclass, field
from math import exp, log

from ..ids import JobId

# Failures in a row, of different jobs, after which a worker is set aside.
FAILURES_BEFORE_QUARANTINE = 2
# Seconds for which it is set aside before tasks probe it again.
QUARANTINE_SECONDS = 4.0
# Seconds without any progress after which a task counts as stuck. Progress comes in
# hundredths of the work, and reports at least once a second.
STUCK_SECONDS = 1.6
# A worker is slow if its tasks take this many times as long as elsewhere, in proportion
# to their estimates.
SLOW_FACTOR = 3.0
# Jobs needed before a worker's pace is judged; the estimate of a job is off by half and
# more, for all tasks of the job alike.
MIN_JOBS_FOR_SLOWDOWN = 4
# Weight of a new end in the average of one worker, and of all workers.
WORKER_AVERAGE_WEIGHT = 0.25
FLEET_AVERAGE_WEIGHT = 0.02


@dataclass(slots=True)
class SlowdownAverage:
    """Average of the logarithm of run time over estimate."""

    weight: float = WORKER_AVERAGE_WEIGHT
    average: float = 0.0
    ends: int = 0

    def add(self, ratio: float) -> None:
        """Take one end into the average."""
        self.ends += 1
        weight = max(self.weight, 1 / self.ends)
        self.average += (log(max(ratio, 0.01)) - self.average) * weight


@dataclass(slots=True)
class WorkerHealth:
    """What is known about one worker; times are monotonic seconds."""

    failures_in_row: int = 0
    failed_jobs: set[JobId] = field(default_factory=set)
    quarantined_until: float = float("-inf")
    slowdown: SlowdownAverage = field(default_factory=SlowdownAverage)
    measured_jobs: set[JobId] = field(default_factory=set)

    def is_quarantined(self, now: float) -> bool:
        """Return whether the worker is set aside."""
        return now < self.quarantined_until

    def quarantine(self, now: float, seconds: float = QUARANTINE_SECONDS) -> None:
        """Set the worker aside."""
        self.quarantined_until = max(self.quarantined_until, now + seconds)

    def count_failure(self, job: JobId, now: float) -> bool:
        """Count a failed task; return whether the worker is set aside for it."""
        self.failures_in_row += 1
        self.failed_jobs.add(job)
        enough = len(self.failed_jobs) >= FAILURES_BEFORE_QUARANTINE
        if not enough or self.failures_in_row < FAILURES_BEFORE_QUARANTINE:
            return False
        self.quarantine(now)
        return True

    def count_success(
        self,
        job: JobId,
        seconds: float,
        estimate: float,
        fleet_average: SlowdownAverage,
    ) -> None:
        """Count a task that ended well, with its run time and estimate in seconds.

        Only the first task of each job tells something about the worker's pace.
        """
        self.failures_in_row = 0
        self.failed_jobs.clear()
        if estimate <= 0 or job in self.measured_jobs:
            return
        self.measured_jobs.add(job)
        self.slowdown.add(seconds / estimate)
        fleet_average.add(seconds / estimate)

    def reset_slowdown(self) -> None:
        """Learn the pace anew."""
        self.slowdown = SlowdownAverage()
        self.measured_jobs.clear()

    def is_slow(self, fleet_average: SlowdownAverage) -> bool:
        """Return whether tasks take much longer here than on the other workers."""
        if self.slowdown.ends < MIN_JOBS_FOR_SLOWDOWN:
            return False
        return exp(self.slowdown.average - fleet_average.average) > SLOW_FACTOR


def is_stuck(progress_at: float, now: float) -> bool:
    """Return whether a task made no progress for too long."""
    return now - progress_at > STUCK_SECONDS
