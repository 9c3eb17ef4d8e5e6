"""Decides at an entry which jobs are accepted when capacity is short."""

from dataclasses import dataclass
from math import inf

from ...configuration import Queue
from ...ids import ServiceName, WorkspaceName
from ...jobs.model import JobSpec
from .service_load import BacklogClass, ServiceLoad, size_class

# Seconds after which a load is ignored, since the leader may be gone.
LOAD_MAX_AGE_SECONDS = 1.5
# Share of the cores that serves a job at least, however much arrives before it.
MIN_DRAIN_SHARE = 0.1
# Share of the accepted work per second that goes on arriving while a job waits.
ARRIVAL_SHARE = 0.5
# A job is accepted if it is expected to end within this multiple of its objective. Its
# result is of use up to three times the objective; the rest is margin for estimates.
ACCEPTED_STRETCH = 2.0
# Time of task starts, beyond the age of the load, for which enough tasks must wait so
# that they and not a new job get the capacity that becomes free. A shorter time lets
# calls be refused beside free capacity, which starts in bursts.
ROOM_SECONDS = 1.2


@dataclass(frozen=True, slots=True)
class Candidate:
    """What the decision needs to know about a submitted job."""

    core_seconds: float
    critical_path_seconds: float
    objective_seconds: float
    # Least CPU of a task that is ready at once, in thousandths of a core.
    min_ready_cpu: int
    priority: int
    over_rate: bool = False


def candidate_of(queue: Queue, spec: JobSpec, over_rate: bool) -> Candidate:
    """Return the figures of a submitted job."""
    critical_path = spec.critical_path_seconds
    return Candidate(
        sum(step.core_seconds for step in spec.steps),
        critical_path,
        queue.stretch * critical_path + queue.target_seconds,
        min(step.reserved.cpu for step in spec.steps if not step.after),
        queue.priority,
        over_rate,
    )


def expected_end_seconds(job: Candidate, load: ServiceLoad, age: float) -> float:
    """Return after how many seconds a job accepted now is expected to end."""
    position = BacklogClass(
        job.over_rate, False, job.priority, False, size_class(job.core_seconds)
    )
    ahead = arriving = 0.0
    for backlog_class, work in load.work.items():
        if backlog_class <= position:
            ahead += work.waiting
            arriving += work.arriving
    ahead = max(0.0, ahead + (arriving - load.cores) * age)
    drain = max(load.cores * MIN_DRAIN_SHARE, load.cores - arriving * ARRIVAL_SHARE)
    if drain <= 0.0:
        return inf
    return (ahead + job.core_seconds) / drain + job.critical_path_seconds


def may_find_room(job: Candidate, load: ServiceLoad, age: float) -> bool:
    """Return whether a task of the job may start at once without passing others.

    Capacity that has become free since the load was measured goes to waiting tasks
    that fit. Only if enough of them need no more CPU than this job is it certain that
    none is left.
    """
    if job.min_ready_cpu <= load.free_cpu:
        return True
    freed = load.starting * (age + ROOM_SECONDS) + load.cores_on_way
    return load.waiting_cores_up_to(job.min_ready_cpu) <= freed


def refusal_seconds(job: Candidate, load: ServiceLoad, age: float) -> float:
    """Return after how many seconds a job is likely to be accepted, 0 to accept it."""
    if load.cores <= 0.0:
        return 0.0
    end = expected_end_seconds(job, load, age)
    overrun = end - ACCEPTED_STRETCH * job.objective_seconds
    if overrun <= 0.0 or may_find_room(job, load, age):
        return 0.0
    return overrun


class AdmissionPolicy:
    """An entry's decision about each submission, by the leader's latest loads."""

    def __init__(self) -> None:
        self.loads: dict[ServiceName, ServiceLoad] = {}
        self.updated_at = -inf

    def update(self, loads: dict[ServiceName, ServiceLoad], now: float) -> None:
        """Replace the loads; services that the leader leaves out have capacity."""
        self.loads = loads
        self.updated_at = now

    def refusal_seconds(
        self, queue: Queue, spec: JobSpec, workspace: WorkspaceName, now: float
    ) -> float:
        """Return after how many seconds a job is likely to be accepted, 0 to accept it.

        Long-running and scheduled jobs are always accepted, and so is every job
        without recent loads.
        """
        load = self.loads.get(queue.service)
        age = now - self.updated_at
        if load is None or age > LOAD_MAX_AGE_SECONDS:
            return 0.0
        if spec.long_running or spec.repeat_count:
            return 0.0
        over_rate = workspace in load.over_rate
        return refusal_seconds(candidate_of(queue, spec, over_rate), load, age)
