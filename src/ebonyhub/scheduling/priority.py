"""Order in which waiting jobs get capacity.

While all waiting jobs can meet their objectives, the job with the least slack is served
first. When a service is oversubscribed, least slack first would spend the capacity on
large jobs that end late anyway, and many small jobs would become late behind them.
Then, among the jobs that can still be on time, started jobs come first, and after them
the jobs with the least remaining work, which completes the most jobs per core-second.
Late jobs get the remaining capacity, least work first; ageing reduces the work that
counts with each second of lateness, so that large jobs are not starved.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import IntEnum

from ..configuration import Queue
from .runs import Job
from .workspaces.status import Standing

# A service is oversubscribed if its waiting work would take longer than this on all its
# cores. The objectives of the users' queues allow about this much waiting.
MAX_BACKLOG_SECONDS = 1.0
# Core-seconds by which each second of lateness reduces the work that counts.
AGEING_CORE_SECONDS_PER_SECOND = 20.0
# Steps of a job for each version that may use the estimate of an earlier one.
STEPS_PER_VERSION = 32


class Rank(IntEnum):
    """Classes of waiting jobs; the lowest is served first."""

    # Each second without a long-running task is an outage of what it serves.
    LONG_RUNNING = 0
    # Can still end within the queue's objective.
    IN_TIME = 1
    LATE = 2


@dataclass(frozen=True, slots=True)
class Urgency:
    """Sort key of a waiting job; lower is served first."""

    rank: Rank
    priority: int
    not_started: bool
    # Slack in seconds; remaining core-seconds if oversubscribed or late, reduced by
    # ageing once late.
    value: float

    @property
    def key(self) -> tuple[int, int, bool, float]:
        """Return the fields as a tuple for sorting."""
        return (self.rank, self.priority, self.not_started, self.value)


def order_key(
    urgency: Urgency, standing: Standing, lending_priority: int
) -> tuple[bool, bool, int, int, bool, int, bool, float]:
    """Return the sort key of a job in a deployment with workspaces.

    Long-running jobs come first, then jobs within the rate of their workspace. A share
    decides among jobs of equal rank and queue priority; what is left of it goes to the
    workspace with the highest ``lending_priority``. If all jobs are within their
    share, the order is that of ``Urgency.key``.
    """
    lent = standing is not Standing.WITHIN_SHARE
    return (
        urgency.rank is not Rank.LONG_RUNNING,
        standing is Standing.OVER_RATE,
        urgency.rank,
        urgency.priority,
        lent,
        lending_priority if lent else 0,
        urgency.not_started,
        urgency.value,
    )


def remaining_critical_path_seconds(job: Job) -> float:
    """Return the estimated seconds of the critical path over the remaining steps."""
    return _remaining(job)[0]


def remaining_core_seconds(job: Job) -> float:
    """Return the estimated core-seconds of the tasks that have no run yet."""
    return _remaining(job)[1]


def _remaining(job: Job) -> tuple[float, float]:
    """Return remaining critical path and work, cached per version of the job.

    With very many steps, some versions share an estimate, so that computing it costs
    each of them a constant time.
    """
    known = job.remaining_estimate
    shared = len(job.accepted.spec.steps) // STEPS_PER_VERSION
    if known is None or not known[0] <= job.version <= known[0] + shared:
        known = job.remaining_estimate = (job.version, *_compute_remaining(job))
    return known[1:]


def _compute_remaining(job: Job) -> tuple[float, float]:
    path_ends: list[float] = []
    work = 0.0
    progress = next(iter(job.progress.occurrences.values()), None)
    for number, step in enumerate(job.accepted.spec.steps):
        path_start = 0.0
        if step.after:
            path_start = max(path_ends[earlier] for earlier in step.after)
        step_progress = progress[number] if progress else None
        done = len(step_progress.done) if step_progress else 0
        done_or_running = done + len(step_progress.runs) if step_progress else 0
        path_ends.append(
            path_start + (step.estimate_ms / 1000 if done < step.count else 0.0)
        )
        work += (step.count - done_or_running) / step.count * step.core_seconds
    return max(path_ends, default=0.0), work


def critical_path_seconds(job: Job) -> float:
    """Return the estimated seconds of the critical path over all steps."""
    if job.critical_path_seconds is None:
        job.critical_path_seconds = job.accepted.spec.critical_path_seconds
    return job.critical_path_seconds


def is_oversubscribed(jobs: Iterable[Job], cores: float) -> bool:
    """Return whether the waiting jobs need more than these cores serve in time."""
    work = sum(remaining_core_seconds(job) for job in jobs)
    return work > cores * MAX_BACKLOG_SECONDS


def urgency(job: Job, queue: Queue | None, now: float, oversubscribed: bool) -> Urgency:
    """Return a job's urgency at ``now``, in monotonic seconds.

    ``oversubscribed`` tells whether not all jobs of the service can be on time.
    """
    priority = queue.priority if queue else 0
    if job.long_running:
        return Urgency(Rank.LONG_RUNNING, priority, False, job.arrived_at - now)
    objective = 0.0
    if queue is not None:
        objective = queue.stretch * critical_path_seconds(job) + queue.target_seconds
    time_left = job.arrived_at + objective - now
    slack = time_left - remaining_critical_path_seconds(job)
    work = remaining_core_seconds(job)
    if slack >= 0.0 and not oversubscribed:
        return Urgency(Rank.IN_TIME, priority, False, slack)
    if slack >= 0.0:
        return Urgency(Rank.IN_TIME, priority, not job.started, work)
    return Urgency(
        Rank.LATE, priority, False, work + slack * AGEING_CORE_SECONDS_PER_SECOND
    )
