"""A scheduler's belief about runs and workers."""

from dataclasses import dataclass, field
from enum import Enum

from ..ids import JobId, QueueName, ServiceName, TaskId, WorkerId
from ..jobs.model import AcceptedJob, Resources, StepSpec
from ..jobs.records import JobState, ProgressRecord
from .health import WorkerHealth
from .model import WorkerEntry

# A worker's steady clock may be slow by 2%; the margin covers the answer's way.
SLOW_CLOCK_FACTOR = 1.03
CLOCK_MARGIN_MS = 100


class RunPhase(Enum):
    """What is known about a run."""

    # Its record is not yet in the store, so no order has been given.
    PLANNED = "planned"
    # A start was ordered and its answer is outstanding.
    ORDERED = "ordered"
    # The worker confirmed the start or listed the run.
    CONFIRMED = "confirmed"
    # The answer was lost, or a predecessor gave the order.
    UNCERTAIN = "uncertain"


class StopReason(Enum):
    """Why a run is being stopped."""

    CANCELLED = "cancelled"
    # A start without an answer, which must not be carried out later.
    UNANSWERED = "unanswered"
    UNKNOWN_RUN = "unknown_run"
    WORKER_LEAVES = "worker_leaves"
    NO_PROGRESS = "no_progress"
    JOB_ENDED = "job_ended"


@dataclass(eq=False, slots=True)
class Run:
    """One start of a task; times are monotonic seconds."""

    task: TaskId
    number: int
    worker: WorkerId
    born_ms: int
    reserved: Resources
    step: StepSpec
    phase: RunPhase
    # Version of the job whose record contains the run.
    job_version: int = 0
    # Left by an earlier leader: the fencing token keeps its orders from acting.
    inherited: bool = False
    planned_at: float = 0.0
    confirmed_at: float = 0.0
    stop_reason: StopReason | None = None
    stop_sent_at: float = float("-inf")
    # When the worker confirmed the stop; the run can not start after it.
    stop_confirmed_at: float | None = None
    checkpoint: str = ""
    progress_percent: float = 0.0
    progress_changed_at: float = 0.0
    usage: float = 0.0
    speed_percent: int = 100
    report_requested: bool = False

    @property
    def key(self) -> tuple[TaskId, int]:
        """Return what identifies the run on its worker."""
        return (self.task, self.number)


@dataclass(eq=False, slots=True)
class Worker:
    """A scheduler's belief about one worker; times are monotonic seconds."""

    entry: WorkerEntry
    born_ms: int = 0
    # The store has no entry of it any more.
    deregistered: bool = False
    # Planned work is about to end it; it gets no new tasks.
    cordoned: bool = False
    runs: dict[tuple[TaskId, int], Run] = field(default_factory=dict)
    used: Resources = field(default_factory=Resources)
    discovered_at: float = 0.0
    # The last hold had no answer.
    poll_failed: bool = False
    # Last answer under this leader's token; None before the first.
    last_response_at: float | None = None
    clock_ms: int = 0
    clock_read_at: float = 0.0
    # Highest lease end that was sent, on the worker's clock.
    lease_end_ms: int = 0
    last_seen_sequence: int = 0
    acknowledged_sequence: int = 0
    # Ends whose records are not yet stored: sequence and the job versions to wait for.
    unstored_ends: list[tuple[int, dict[JobId, int]]] = field(default_factory=list)
    health: WorkerHealth = field(default_factory=WorkerHealth)
    throttled_at: float = float("-inf")
    # Its runs were given up after its lease had ended.
    expired: bool = False
    # Capacity that no run holds.
    free: Resources = field(default_factory=Resources)

    def __post_init__(self) -> None:
        """Begin with all of the capacity free."""
        self.free = self.entry.capacity - self.used

    @property
    def worker_id(self) -> WorkerId:
        """Return the worker's id."""
        return self.entry.worker

    def update_entry(self, entry: WorkerEntry) -> None:
        """Take over a newer entry, whose capacity may differ."""
        self.entry = entry
        self.free = entry.capacity - self.used

    def clock_now_ms(self, now: float) -> int:
        """Return the most that the worker's clock can show."""
        return self.clock_ms + int((now - self.clock_read_at) * 1000)

    def lease_has_ended(self, now: float, inherited_until: float) -> bool:
        """Return whether every lease that was ever given has surely ended.

        ``inherited_until`` bounds the leases of earlier leaders, for a worker that
        has not yet answered this one.
        """
        if self.last_response_at is None:
            return now > inherited_until
        elapsed_ms = (now - self.clock_read_at) * 1000 / SLOW_CLOCK_FACTOR
        return self.clock_ms + elapsed_ms > self.lease_end_ms + CLOCK_MARGIN_MS

    def add(self, run: Run) -> None:
        """Reserve capacity for a run."""
        self.runs[run.key] = run
        self._hold(self.used + run.reserved)

    def remove(self, run: Run) -> None:
        """Free the capacity of a run."""
        if self.runs.pop(run.key, None) is not None:
            self._hold(self.used - run.reserved)

    def _hold(self, used: Resources) -> None:
        self.used = used
        self.free = self.entry.capacity - used

    def count_runs_of_step(self, job: JobId, occurrence: int, step: int) -> int:
        """Return how many runs of a step are here."""
        return sum(
            1
            for task, _ in self.runs
            if task.job == job and task.occurrence == occurrence and task.step == step
        )


@dataclass(eq=False, slots=True)
class Job:
    """A job with its progress; ``arrived_at`` is monotonic seconds."""

    accepted: AcceptedJob
    progress: ProgressRecord
    queue: QueueName
    service: ServiceName
    arrived_at: float
    cancelled: bool = False
    version: int = 0
    stored_version: int = 0
    # Ready tasks without a run, by occurrence and step.
    pending: dict[tuple[int, int], set[int]] = field(default_factory=dict)
    # Least that a waiting task takes (thousandths of a core); 0 if unknown.
    min_pending_cpu: int = 0
    workers_to_avoid: dict[TaskId, set[WorkerId]] = field(default_factory=dict)
    next_due_occurrence: int = 0
    # Estimated seconds of the longest chain of all steps.
    critical_path_seconds: float | None = None
    # Version of the record, with the chain (seconds) and the work (core-seconds) that
    # are left according to it.
    remaining_estimate: tuple[int, float, float] | None = None

    @property
    def job_id(self) -> JobId:
        """Return the job's id."""
        return self.accepted.job

    @property
    def final(self) -> bool:
        """Return whether the job has ended."""
        return self.progress.state.is_final

    @property
    def started(self) -> bool:
        """Return whether a task of the job has started."""
        return self.progress.state is not JobState.QUEUED
