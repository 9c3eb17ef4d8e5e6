"""Specification of a job: steps, each of which is a number of identical tasks.

The types are msgspec structs, as they are also stored and sent to peers.
"""

from dataclasses import dataclass
from typing import NamedTuple

import msgspec

from ..ids import JobId, QueueName, RackId, ServiceName, WorkspaceName


class Resources(msgspec.Struct, frozen=True, array_like=True):
    """CPU (thousandths of a core), memory (MB) and number of accelerators."""

    cpu: int = 0
    memory: int = 0
    accelerators: int = 0

    def __add__(self, other: "Resources") -> "Resources":
        """Return the sum of each kind of resource."""
        return Resources(
            self.cpu + other.cpu,
            self.memory + other.memory,
            self.accelerators + other.accelerators,
        )

    def __sub__(self, other: "Resources") -> "Resources":
        """Return the difference of each kind of resource, which may be negative."""
        return Resources(
            self.cpu - other.cpu,
            self.memory - other.memory,
            self.accelerators - other.accelerators,
        )

    def times(self, count: int) -> "Resources":
        """Return what ``count`` equal tasks need."""
        return Resources(
            self.cpu * count, self.memory * count, self.accelerators * count
        )

    def fits_into(self, free: "Resources") -> bool:
        """Return whether ``free`` has enough of every kind of resource."""
        return (
            self.cpu <= free.cpu
            and self.memory <= free.memory
            and self.accelerators <= free.accelerators
        )


class StepSpec(msgspec.Struct, frozen=True, array_like=True):
    """A number of identical tasks of a job."""

    count: int
    # Resources and estimated run time of one task.
    demand: Resources
    estimate_ms: int = 0
    # Indexes of earlier steps that must be complete before this one starts.
    after: tuple[int, ...] = ()
    supports_checkpoints: bool = False
    # All tasks of the step start together.
    gang: bool = False
    same_rack: bool = False
    required_label: str = ""
    # Rack that holds the input data; empty if it does not matter.
    data_rack: RackId = RackId("")
    # Upper limit of tasks of this step on one worker; 0 means no limit.
    max_per_worker: int = 0
    allows_duplicates: bool = False
    long_running: bool = False
    image: str = ""
    # Target for the tail latency of a task that serves requests; 0 if it serves none.
    target_ms: int = 0
    # Best effort: a task reserves no CPU and uses what other tasks leave idle.
    uses_spare_cpu: bool = False
    # Upper limit of tasks of a long-running step that maintenance and moves may make
    # unavailable at the same time; 0 counts as 1.
    max_unavailable: int = 0

    @property
    def reserved(self) -> Resources:
        """Return the resources that one task reserves on its worker."""
        if self.uses_spare_cpu:
            return Resources(0, self.demand.memory, self.demand.accelerators)
        return self.demand

    @property
    def core_seconds(self) -> float:
        """Return the estimated work of all tasks of the step."""
        return self.count * self.demand.cpu * self.estimate_ms / 1e6


class JobSpec(msgspec.Struct, frozen=True, array_like=True):
    """A submitted job.

    ``text`` is passed to the workers unread.
    """

    text: str
    steps: tuple[StepSpec, ...]
    # Number of occurrences of a scheduled job; 0 for a job that runs once, at once.
    repeat_count: int = 0
    # Start of the first occurrence in ms since 1970, and time between two starts.
    first_run_ms: int = 0
    interval_ms: int = 0

    @property
    def long_running(self) -> bool:
        """Return whether the job runs until it is cancelled."""
        return any(step.long_running for step in self.steps)

    @property
    def critical_path_seconds(self) -> float:
        """Return the estimated time of the longest path through the steps."""
        ends: list[float] = []
        for step in self.steps:
            start = max(ends[i] for i in step.after) if step.after else 0.0
            ends.append(start + step.estimate_ms / 1000)
        return max(ends, default=0.0)

    def has_task(self, occurrence: int, step: int, position: int) -> bool:
        """Return whether the job has this task."""
        return (
            0 <= occurrence < (self.repeat_count or 1)
            and 0 <= step < len(self.steps)
            and 0 <= position < self.steps[step].count
        )

    def due_ms(self, occurrence: int) -> int:
        """Return the start of an occurrence in ms since 1970, 0 to start at once."""
        if not self.repeat_count:
            return 0
        return self.first_run_ms + occurrence * self.interval_ms


# Upper limits of the tasks of a job and the occurrences of a schedule, so that one
# submission cannot exhaust the memory of the leader.
MAX_TASKS = 20_000
MAX_OCCURRENCES = 1_000_000
# Upper limit of the tasks of a gang. All members have to start within the few seconds
# for which workers let the first of them wait.
MAX_GANG_TASKS = 2000
# Upper limits of a task's CPU, memory and accelerators, of its time estimate (a year in
# ms) and of a point in time in ms. Sums of them stay far below the 64 bits that records
# can hold.
MAX_SIZE = 10**9
MAX_ESTIMATE_MS = 366 * 24 * 3600 * 1000
MAX_TIME_MS = 2**53
# Upper limit of the text in characters; the platform's callers send up to 4,000 bytes.
MAX_TEXT_LENGTH = 4000
# Upper limit of labels and names in a step.
MAX_NAME_LENGTH = 1000


def spec_problem(spec: JobSpec) -> str | None:
    """Return why the specification is invalid, None if it is valid."""
    if len(spec.text) > MAX_TEXT_LENGTH:
        return f"the specification has more than {MAX_TEXT_LENGTH} characters"
    times = (spec.interval_ms, abs(spec.first_run_ms))
    if not 0 <= spec.repeat_count <= MAX_OCCURRENCES or spec.interval_ms < 0:
        return "the schedule is out of range"
    if max(*times, spec.due_ms(spec.repeat_count)) > MAX_TIME_MS:
        return "the schedule is out of range"
    if sum(step.count for step in spec.steps) > MAX_TASKS:
        return f"a job has at most {MAX_TASKS} tasks"
    for number, step in enumerate(spec.steps):
        if not _sizes_are_valid(step):
            return f"step {number} has a count or size out of range"
        if any(not 0 <= earlier < number for earlier in step.after):
            return f"step {number} does not come after earlier steps only"
    return None


def submission_problem(spec: JobSpec) -> str | None:
    """Return why a valid specification is not accepted, None if it is.

    Does not apply to jobs that were accepted by earlier versions.
    """
    for number, step in enumerate(spec.steps):
        if step.gang and step.count > MAX_GANG_TASKS:
            return f"step {number} is a gang of more than {MAX_GANG_TASKS} tasks"
    return None


def _sizes_are_valid(step: StepSpec) -> bool:
    demand = step.demand
    sizes = (demand.cpu, demand.memory, demand.accelerators, step.max_per_worker,
             step.max_unavailable, step.target_ms)  # fmt: skip
    return (
        step.count >= 1
        and min(sizes) >= 0
        and max(sizes) <= MAX_SIZE
        and 0 <= step.estimate_ms <= MAX_ESTIMATE_MS
    )


def due_tasks(spec: JobSpec, wall_ms: int) -> int:
    """Return how many tasks of a schedule are due at a time in ms since 1970."""
    tasks = sum(step.count for step in spec.steps)
    if not spec.repeat_count:
        return tasks
    elapsed = wall_ms - spec.first_run_ms
    if elapsed < 0:
        return 0
    due = elapsed // spec.interval_ms + 1 if spec.interval_ms else spec.repeat_count
    return tasks * min(due, spec.repeat_count)


class JobScope(NamedTuple):
    """Whom a job belongs to: its queue, and its workspace if it has one."""

    queue: QueueName
    workspace: WorkspaceName = WorkspaceName("")

    def is_visible_to(self, caller: "JobScope") -> bool:
        """Return whether a caller of a queue may see and cancel the job.

        A job without a workspace belongs to everyone who may use its queue.
        """
        same_workspace = self.workspace in ("", caller.workspace)
        return self.queue == caller.queue and same_workspace


@dataclass(frozen=True, slots=True)
class AdvisorPolicy:
    """Time limits of the placement advisor of a queue."""

    # A decision takes ``decision_seconds`` plus ``seconds_per_worker`` for each worker
    # that the call names.
    decision_seconds: float
    seconds_per_worker: float
    # Older advice must not be used.
    validity_seconds: float


class AcceptedJob(msgspec.Struct, frozen=True, array_like=True):
    """Stored record of an accepted job; it is never modified."""

    job: JobId
    queue: QueueName
    # Taken from the queue on acceptance, for use if the queue is removed later.
    service: ServiceName
    max_attempts: int
    accepted_ms: int
    spec: JobSpec
    # Empty in records of earlier versions and where callers need no API keys.
    workspace: WorkspaceName = WorkspaceName("")
    # Limit of the workspace on acceptance, for use if the workspace is removed later.
    workspace_limit: Resources = Resources()
    # Policy of the queue on acceptance, for use if the queue is removed later; None in
    # records of earlier versions.
    advisor: AdvisorPolicy | None = None

    @property
    def scope(self) -> JobScope:
        """Return whom the job belongs to."""
        return JobScope(self.queue, self.workspace)
