"""Orders of waiting jobs that replays compare with the one of the product."""

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


def order(name: str) -> Callable[[OrderPolicy], OrderPolicy]:
    """Register an order under a name."""

    def register(policy: OrderPolicy) -> OrderPolicy:
        ORDERS[name] = policy
        return policy

    return register


def slack_seconds(job: Job, queue: Queue | None, now: float) -> float:
    """Return the seconds that a job can still wait and end within its objective."""
    objective = 0.0
    if queue is not None:
        objective = queue.stretch * critical_path_seconds(job) + queue.target_seconds
    return job.arrived_at + objective - now - remaining_critical_path_seconds(job)


@order("least-slack")
def least_slack(
    job: Job, queue: Queue | None, now: float, oversubscribed: bool
) -> Urgency:
    """Serve the least slack first, and late jobs by their arrival."""
    priority = queue.priority if queue else 0
    if job.accepted.spec.long_running:
        return Urgency(Rank.LONG_RUNNING, priority, False, job.arrived_at - now)
    slack = slack_seconds(job, queue, now)
    if slack >= 0.0:
        return Urgency(Rank.IN_TIME, priority, False, slack)
    return Urgency(Rank.LATE, priority, False, job.arrived_at - now)


@order("arrival")
def arrival(job: Job, queue: Queue | None, now: float, oversubscribed: bool) -> Urgency:
    """Serve jobs as they came, the ones that can be on time first."""
    priority = queue.priority if queue else 0
    if job.accepted.spec.long_running:
        return Urgency(Rank.LONG_RUNNING, priority, False, job.arrived_at - now)
    in_time = slack_seconds(job, queue, now) >= 0.0
    rank = Rank.IN_TIME if in_time else Rank.LATE
    return Urgency(rank, priority, False, job.arrived_at - now)


@order("least-work")
def least_work(
    job: Job, queue: Queue | None, now: float, oversubscribed: bool
) -> Urgency:
    """Serve begun jobs and then the least work first, whether oversubscribed or not."""
    return urgency(job, queue, now, True)
