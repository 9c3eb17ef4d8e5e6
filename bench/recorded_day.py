"""Reads recorded days of jobs for replays."""

from pathlib import Path

import msgspec

from ebonyhub.configuration import Queue
from ebonyhub.ids import QueueName, RackId, ServiceName
from ebonyhub.jobs.model import Resources, StepSpec
from standins.recorded_jobs import RackOutage, RecordedDay, RecordedJob, RecordedStep

STANDBY = ServiceName("standby")
# Time-out of every queue in the recorded configurations.
CALL_TIMEOUT_SECONDS = 3.0
MAX_ATTEMPTS = 3


class QueueRow(msgspec.Struct):
    """A queue of the recorded configuration."""

    name: QueueName
    service: ServiceName
    stretch: float
    target_seconds: float
    priority: int


class StepRow(msgspec.Struct, omit_defaults=True):
    """A step and the run time (ms) of each task; empty if they are long-running."""

    count: int
    cpu: int
    memory: int
    estimate_ms: int
    after: tuple[int, ...] = ()
    max_per_worker: int = 0
    long_running: bool = False
    max_unavailable: int = 0
    task_ms: tuple[int, ...] = ()

    def step(self) -> RecordedStep:
        """Return the step as the scheduler's types have it."""
        spec = StepSpec(
            count=self.count,
            demand=Resources(self.cpu, self.memory),
            estimate_ms=self.estimate_ms,
            after=self.after,
            max_per_worker=self.max_per_worker,
            long_running=self.long_running,
            max_unavailable=self.max_unavailable,
        )
        return RecordedStep(spec, self.task_ms or (0,))


class RackOutageRow(msgspec.Struct):
    """Outage of all VMs of a rack, from the second ``at`` for ``seconds``."""

    at: float
    seconds: float
    rack: RackId


class DayFile(msgspec.Struct):
    """A recorded day; each job is a row (arrival second, queue, steps)."""

    queues: list[QueueRow]
    vms_per_pool: int
    vms_per_rack: int
    capacity: tuple[int, int, int]
    jobs: list[tuple[float, QueueName, list[StepRow]]]
    losses: list[RackOutageRow] = []


def read_recorded_day(path: Path) -> RecordedDay:
    """Read a recorded day; raises OSError or msgspec.MsgspecError."""
    data = msgspec.json.decode(path.read_bytes(), type=DayFile)
    queues = tuple(
        Queue(
            name=row.name,
            host="host",
            prefix=f"/{row.name}/",
            service=row.service,
            priority=row.priority,
            max_attempts=MAX_ATTEMPTS,
            stretch=row.stretch,
            target_seconds=row.target_seconds,
            timeout_seconds=CALL_TIMEOUT_SECONDS,
        )
        for row in data.queues
    )
    jobs = tuple(
        RecordedJob(at, queue, tuple(step.step() for step in steps))
        for at, queue, steps in data.jobs
    )
    rack_outages = tuple(
        RackOutage(row.at, row.seconds, row.rack) for row in data.losses
    )
    return RecordedDay(
        queues=queues,
        vms_per_pool=data.vms_per_pool,
        vms_per_rack=data.vms_per_rack,
        capacity=Resources(*data.capacity),
        standby=STANDBY,
        jobs=jobs,
        rack_outages=rack_outages,
    )
