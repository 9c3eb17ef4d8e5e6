"""Order in which waiting jobs get capacity.

While all waiting jobs can be on time, the least slack comes first. In a surge that asks
for more than its pool holds until VMs have moved, that order spends the room on large
jobs that end late all the same, while many small ones become late behind them. Under
such pressure, among the jobs that can still be on time, those that have begun come
first, and then those with the least work left: each core-second then ends the most
jobs. Late jobs use what is left over, the ones with the least work first; each second
of lateness makes up for some work, so that a large one does not wait for ever.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import IntEnum

from ..configuration import Queue
from .runs import Job

# Seconds that the waiting work takes on all cores that a service has or gets by moves
# under way, from which on not all of it can be on time. The objectives of the users'
# queues leave about as much.
MAX_BACKLOG_SECONDS = 1.0
# Core-seconds of work that one second of lateness makes up for.
AGEING_CORE_SECONDS_PER_SECOND = 20.0


class Rank(IntEnum):
    """Groups of waiting jobs; the lowest is served first."""

    # Every second without a long-running task counts.
    LONG_RUNNING = 0
    # Can still end within the objective.
    IN_TIME = 1
    LATE = 2


@dataclass(frozen=True, slots=True)
class Urgency:
    """Sort key of a waiting job; lower is served first."""

    rank: Rank
    priority: int
    not_started: bool
    # Core-seconds under pressure or once late, less what lateness makes up for; else
    # seconds.
    value: float

    @property
    def key(self) -> tuple[int, int, bool, float]:
        """Return the sort key."""
        return (self.rank, self.priority, self.not_started, self.value)


def remaining_critical_path_seconds(job: Job) -> float:
    """Return the estimated time of the longest chain of steps still to run."""
    return _remaining(job)[0]


def remaining_core_seconds(job: Job) -> float:
    """Return the estimated work of the tasks that have no run yet."""
    return _remaining(job)[1]


def _remaining(job: Job) -> tuple[float, float]:
    """Return chain and work that are left, computed once for each version."""
    if job.remaining_estimate is None or job.remaining_estimate[0] != job.version:
        job.remaining_estimate = (job.version, *_compute_remaining(job))
    return job.remaining_estimate[1:]


def _compute_remaining(job: Job) -> tuple[float, float]:
    chains: list[float] = []
    work = 0.0
    progress = next(iter(job.progress.occurrences.values()), None)
    for number, step in enumerate(job.accepted.spec.steps):
        before = max((chains[i] for i in step.after), default=0.0)
        state = progress[number] if progress else None
        done = len(state.done) if state else 0
        taken = done + len(state.runs) if state else 0
        chains.append(before + (step.estimate_ms / 1000 if done < step.count else 0.0))
        work += (step.count - taken) / step.count * step.core_seconds
    return max(chains, default=0.0), work


def critical_path_seconds(job: Job) -> float:
    """Return the estimated time of the longest chain of all steps."""
    if job.critical_path_seconds is None:
        job.critical_path_seconds = job.accepted.spec.critical_path_seconds
    return job.critical_path_seconds


def is_oversubscribed(jobs: Iterable[Job], cores: float) -> bool:
    """Return whether the waiting jobs ask for more than these cores serve in time."""
    work = sum(remaining_core_seconds(job) for job in jobs)
    return work > cores * MAX_BACKLOG_SECONDS


def urgency(job: Job, queue: Queue | None, now: float, oversubscribed: bool) -> Urgency:
    """Return how urgent a job is; ``oversubscribed`` if not all can be on time."""
    priority = queue.priority if queue else 0
    if job.accepted.spec.long_running:
        return Urgency(Rank.LONG_RUNNING, priority, False, job.arrived_at - now)
    objective = 0.0
    if queue is not None:
        objective = queue.stretch * critical_path_seconds(job) + queue.target_seconds
    left = job.arrived_at + objective - now
    slack = left - remaining_critical_path_seconds(job)
    work = remaining_core_seconds(job)
    if slack >= 0.0 and not oversubscribed:
        return Urgency(Rank.IN_TIME, priority, False, slack)
    if slack >= 0.0:
        return Urgency(Rank.IN_TIME, priority, not job.started, work)
    return Urgency(
        Rank.LATE, priority, False, work + slack * AGEING_CORE_SECONDS_PER_SECOND
    )
