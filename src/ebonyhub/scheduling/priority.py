"""Order in which waiting jobs get capacity."""

from dataclasses import dataclass

from ..configuration import Queue
from .runs import Job


@dataclass(frozen=True, slots=True)
class Urgency:
    """Sort key of a waiting job; lower is served first."""

    rank: int
    priority: int
    slack_seconds: float

    @property
    def key(self) -> tuple[int, int, float]:
        """Return the sort key."""
        return (self.rank, self.priority, self.slack_seconds)


def remaining_chain_seconds(job: Job) -> float:
    """Return the estimated time of the longest chain of steps still to run."""
    if job.chain_left is None or job.chain_left[0] != job.version:
        job.chain_left = (job.version, _remaining_chain_seconds(job))
    return job.chain_left[1]


def _remaining_chain_seconds(job: Job) -> float:
    longest: dict[int, float] = {}
    steps = job.accepted.spec.steps
    occurrences = job.progress.occurrences
    first = next(iter(occurrences), None)
    progress = occurrences[first] if first is not None else None
    for number, step in enumerate(steps):
        before = max((longest.get(i, 0.0) for i in step.after), default=0.0)
        done = progress is not None and len(progress[number].done) >= step.count
        longest[number] = before + (0.0 if done else step.estimate_ms / 1000)
    return max(longest.values(), default=0.0)


def whole_chain_seconds(job: Job) -> float:
    """Return the estimated time of the longest chain of all steps."""
    if job.chain_seconds is None:
        job.chain_seconds = _whole_chain_seconds(job)
    return job.chain_seconds


def _whole_chain_seconds(job: Job) -> float:
    longest: dict[int, float] = {}
    for number, step in enumerate(job.accepted.spec.steps):
        before = max((longest.get(i, 0.0) for i in step.after), default=0.0)
        longest[number] = before + step.estimate_ms / 1000
    return max(longest.values(), default=0.0)


def urgency(job: Job, queue: Queue | None, now: float) -> Urgency:
    """Return how urgent a job is.

    Long-running jobs come first, since every second without them counts. Jobs that can
    still be on time come before those that can not; among them the least slack first.
    """
    priority = queue.priority if queue else 0
    if job.accepted.spec.long_running:
        return Urgency(0, priority, job.arrived_at - now)
    objective = 0.0
    if queue is not None:
        objective = queue.stretch * whole_chain_seconds(job) + queue.target_seconds
    left = job.arrived_at + objective - now
    slack = left - remaining_chain_seconds(job)
    if slack >= 0.0:
        return Urgency(1, priority, slack)
    return Urgency(2, priority, job.arrived_at - now)
