"""Orders of waiting jobs that replays compare with the scheduler's own."""

from collections.abc import Callable

from ebonyhub.configuration import Queue
from ebonyhub.scheduling.priority import (
    Rank,
    Urgency,
    critical_path_seconds,
    remaining_critical_path_seconds,
    urgency,
)
from ebonyhub.scheduling.runs import Job

OrderPolicy = Callable[[Job, Queue | None, float, bool], Urgency]

ORDERS: dict[str, OrderPolicy] = {"by-pressure": urgency}


def register_order(name: str) -> Callable[[OrderPolicy], OrderPolicy]:
    """Register an order under the name that ``bench.replay --policy`` takes."""

    def register(policy: OrderPolicy) -> OrderPolicy:
        ORDERS[name] = policy
        return policy

    return register


def slack_seconds(job: Job, queue: Queue | None, now: float) -> float:
    """Return how long a job can still wait and end within its objective."""
    objective = 0.0
    if queue is not None:
        objective = queue.stretch * critical_path_seconds(job) + queue.target_seconds
    return job.arrived_at + objective - now - remaining_critical_path_seconds(job)


@register_order("least-slack")
def least_slack(
    job: Job, queue: Queue | None, now: float, oversubscribed: bool
) -> Urgency:
    """Serve the job with the least slack first, then late jobs by their arrival."""
    priority = queue.priority if queue else 0
    if job.accepted.spec.long_running:
        return Urgency(Rank.LONG_RUNNING, priority, False, job.arrived_at - now)
    slack = slack_seconds(job, queue, now)
    if slack >= 0.0:
        return Urgency(Rank.IN_TIME, priority, False, slack)
    return Urgency(Rank.LATE, priority, False, job.arrived_at - now)


@register_order("arrival")
def arrival(job: Job, queue: Queue | None, now: float, oversubscribed: bool) -> Urgency:
    """Serve jobs by arrival, those that can still end in time first."""
    priority = queue.priority if queue else 0
    if job.accepted.spec.long_running:
        return Urgency(Rank.LONG_RUNNING, priority, False, job.arrived_at - now)
    in_time = slack_seconds(job, queue, now) >= 0.0
    rank = Rank.IN_TIME if in_time else Rank.LATE
    return Urgency(rank, priority, False, job.arrived_at - now)


@register_order("least-work")
def least_work(
    job: Job, queue: Queue | None, now: float, oversubscribed: bool
) -> Urgency:
    """Serve started jobs, then the least work first, also when not oversubscribed."""
    return urgency(job, queue, now, True)
