"""What a caller submits: a job with steps of equal tasks.

The types are msgspec structs, since the same types are stored and sent to peers.
"""

import msgspec

from ..ids import JobId, QueueName, RackId, ServiceName


class Resources(msgspec.Struct, frozen=True, array_like=True):
    """Processor (thousandths of a core), memory (MB) and accelerators."""

    cpu: int = 0
    memory: int = 0
    accelerators: int = 0

    def __add__(self, other: "Resources") -> "Resources":
        """Return the sum."""
        return Resources(
            self.cpu + other.cpu,
            self.memory + other.memory,
            self.accelerators + other.accelerators,
        )

    def __sub__(self, other: "Resources") -> "Resources":
        """Return the difference, which may be negative."""
        return Resources(
            self.cpu - other.cpu,
            self.memory - other.memory,
            self.accelerators - other.accelerators,
        )

    def fits_into(self, free: "Resources") -> bool:
        """Return whether every kind of resource is available."""
        return (
            self.cpu <= free.cpu
            and self.memory <= free.memory
            and self.accelerators <= free.accelerators
        )


class StepSpec(msgspec.Struct, frozen=True, array_like=True):
    """A number of equal tasks."""

    count: int
    demand: Resources
    estimate_ms: int = 0
    after: tuple[int, ...] = ()
    checkpoints: bool = False
    gang: bool = False
    same_rack: bool = False
    required_label: str = ""
    data_rack: RackId = RackId("")
    # Tasks of this step on one worker at most; 0 means no limit.
    max_per_worker: int = 0
    allows_duplicates: bool = False
    long_running: bool = False
    image: str = ""
    # Limit on the tail of the response times of a serving task, 0 if it serves none.
    target_ms: int = 0
    # Uses the processor time that other tasks leave over.
    uses_spare_cpu: bool = False
    # Tasks of a long-running step that planned work may make unavailable at once.
    max_unavailable: int = 0

    @property
    def reserved(self) -> Resources:
        """Return what one task takes from the capacity of a worker."""
        if self.uses_spare_cpu:
            return Resources(0, self.demand.memory, self.demand.accelerators)
        return self.demand

    @property
    def core_seconds(self) -> float:
        """Return the estimated work of the whole step."""
        return self.count * self.demand.cpu * self.estimate_ms / 1e6


class JobSpec(msgspec.Struct, frozen=True, array_like=True):
    """Everything that a submission says."""

    text: str
    steps: tuple[StepSpec, ...]
    # 0 for a job that runs once; otherwise the number of scheduled occurrences.
    repeat_count: int = 0
    first_run_ms: int = 0
    interval_ms: int = 0

    @property
    def long_running(self) -> bool:
        """Return whether the job runs until it is cancelled."""
        return any(step.long_running for step in self.steps)

    @property
    def critical_path_seconds(self) -> float:
        """Return the estimated time of the longest chain of steps."""
        ends: list[float] = []
        for step in self.steps:
            before = max((ends[i] for i in step.after), default=0.0)
            ends.append(before + step.estimate_ms / 1000)
        return max(ends, default=0.0)

    def due_ms(self, occurrence: int) -> int:
        """Return the start time of an occurrence in ms since 1970, 0 for at once."""
        if not self.repeat_count:
            return 0
        return self.first_run_ms + occurrence * self.interval_ms


# Tasks of one job and occurrences of a schedule at most, so that one submission can not
# fill the memory of the leader.
MAX_TASKS = 20_000
MAX_OCCURRENCES = 1_000_000


def spec_problem(spec: JobSpec) -> str | None:
    """Return why a job could never be scheduled, None if it can."""
    if not 0 <= spec.repeat_count <= MAX_OCCURRENCES or spec.interval_ms < 0:
        return "the schedule is out of range"
    if sum(step.count for step in spec.steps) > MAX_TASKS:
        return f"a job has at most {MAX_TASKS} tasks"
    for number, step in enumerate(spec.steps):
        demand = step.demand
        sizes = (demand.cpu, demand.memory, demand.accelerators, step.estimate_ms)
        if step.count < 1 or min(sizes) < 0 or step.max_per_worker < 0:
            return f"step {number} has a count or size out of range"
        if any(not 0 <= before < number for before in step.after):
            return f"step {number} does not come after earlier steps only"
    return None


class AcceptedJob(msgspec.Struct, frozen=True, array_like=True):
    """A job as it is stored when it is accepted; it never changes."""

    job: JobId
    queue: QueueName
    # Service and attempts of the queue at that time, used once the queue is dropped.
    service: ServiceName
    max_attempts: int
    accepted_ms: int
    spec: JobSpec
