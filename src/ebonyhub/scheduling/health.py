"""Detects faulty workers by the outcome of their tasks.

A worker may report good health and yet fail, stall or slow down every task. It is
quarantined for some seconds and then gets new tasks as a probe.
"""

from dataclasses import dataclass, field
from math import exp, log

from ..ids import JobId

# Consecutive failures, of as many different jobs, after which a worker is quarantined.
FAILURES_BEFORE_QUARANTINE = 2
# Seconds of quarantine before the worker gets new tasks.
QUARANTINE_SECONDS = 4.0
# Seconds without progress after which a task is stuck, at least. Workers report once a
# second.
STUCK_SECONDS = 1.6
# Progress is reported in percent, perhaps in whole ones: a task is not stuck before
# this share of its estimate has passed without progress, nor before this multiple of
# the longest time without progress that a task of its step has got over.
STUCK_ESTIMATE_SHARE = 0.04
STUCK_INTERVAL_FACTOR = 4.0
# Doublings of the time for a task that was stopped as stuck before: its estimate may be
# far too low, and it must get done all the same.
MAX_STUCK_DOUBLINGS = 12
# A run of this age is stopped only if it can start elsewhere at once, or after a longer
# time without progress: it has more to lose.
OLD_RUN_SECONDS = 10.0
OLD_RUN_FACTOR = 4.0
# A worker is slow if its tasks, relative to their estimates, take this many times as
# long as the average over all workers.
SLOW_FACTOR = 3.0
# Jobs needed to judge a worker's speed. The estimate of a job can be wrong by half and
# more, equally for all its tasks, so many tasks of one job do not suffice.
MIN_JOBS_FOR_SLOWDOWN = 4
# Weights of a new sample in the averages of one worker and of all workers.
WORKER_AVERAGE_WEIGHT = 0.25
FLEET_AVERAGE_WEIGHT = 0.02


@dataclass(slots=True)
class SlowdownAverage:
    """Exponential moving average of log(run time / estimate)."""

    weight: float = WORKER_AVERAGE_WEIGHT
    average: float = 0.0
    samples: int = 0

    def add(self, ratio: float) -> None:
        """Add a sample of run time / estimate; the first ones are weighted equally."""
        self.samples += 1
        weight = max(self.weight, 1 / self.samples)
        self.average += (log(max(ratio, 0.01)) - self.average) * weight


@dataclass(slots=True)
class WorkerHealth:
    """Recent task outcomes of one worker; times are monotonic seconds."""

    failures_in_row: int = 0
    failed_jobs: set[JobId] = field(default_factory=set)
    quarantined_until: float = float("-inf")
    slowdown: SlowdownAverage = field(default_factory=SlowdownAverage)
    measured_jobs: set[JobId] = field(default_factory=set)

    def is_quarantined(self, now: float) -> bool:
        """Return whether the worker must get no new tasks at ``now``."""
        return now < self.quarantined_until

    def quarantine(self, now: float, seconds: float = QUARANTINE_SECONDS) -> None:
        """Quarantine the worker for at least ``seconds`` from ``now``."""
        self.quarantined_until = max(self.quarantined_until, now + seconds)

    def count_failure(self, job: JobId, now: float) -> bool:
        """Count a failed task; return whether this put the worker in quarantine."""
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
        """Count a completed task, with its run time and estimate in seconds.

        Only the first task of each job is a sample of the worker's speed, since the
        tasks of a job share the error of its estimate.
        """
        self.failures_in_row = 0
        self.failed_jobs.clear()
        if estimate <= 0 or job in self.measured_jobs:
            return
        self.measured_jobs.add(job)
        self.slowdown.add(seconds / estimate)
        fleet_average.add(seconds / estimate)

    def reset_slowdown(self) -> None:
        """Discard the samples of the worker's speed."""
        self.slowdown = SlowdownAverage()
        self.measured_jobs.clear()

    def is_slow(self, fleet_average: SlowdownAverage) -> bool:
        """Return whether tasks take much longer here than on all workers on average."""
        if self.slowdown.samples < MIN_JOBS_FOR_SLOWDOWN:
            return False
        return exp(self.slowdown.average - fleet_average.average) > SLOW_FACTOR


def stuck_after_seconds(
    estimate: float = 0.0, longest_interval: float = 0.0, earlier_verdicts: int = 0
) -> float:
    """Return the seconds without progress after which a task counts as stuck.

    ``estimate`` is that of its run time, ``longest_interval`` the longest time without
    progress of tasks of its step that went on; both in seconds.
    """
    allowed = max(
        STUCK_SECONDS,
        STUCK_ESTIMATE_SHARE * estimate,
        STUCK_INTERVAL_FACTOR * longest_interval,
    )
    return float(allowed * 2 ** min(earlier_verdicts, MAX_STUCK_DOUBLINGS))


def is_stuck(
    progress_at: float, now: float, allowed_seconds: float = STUCK_SECONDS
) -> bool:
    """Return whether a task's last progress is longer ago than it may be."""
    return now - progress_at > allowed_seconds
