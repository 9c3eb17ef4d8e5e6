"""Recorded days of jobs, and the results of replaying one."""

from collections.abc import Sequence
from dataclasses import dataclass

from ebonyhub.configuration import Queue
from ebonyhub.ids import QueueName, RackId, ServiceName, WorkspaceName
from ebonyhub.jobs.model import JobSpec, Resources, StepSpec

NO_WORKSPACE = WorkspaceName("")
# A result later than this multiple of the objective is of no use to the caller.
USEFULNESS_FACTOR = 3.0
WINDOW_SECONDS = 2.0


@dataclass(frozen=True, slots=True)
class RecordedStep:
    """A step with the time (ms) that each of its tasks took."""

    spec: StepSpec
    task_ms: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class RecordedJob:
    """A job and the second of the day at which it arrived."""

    at: float
    queue: QueueName
    steps: tuple[RecordedStep, ...]
    workspace: WorkspaceName = NO_WORKSPACE

    @property
    def spec(self) -> JobSpec:
        """Return the specification as a caller submits it."""
        return JobSpec("t", tuple(step.spec for step in self.steps))

    @property
    def shortest_seconds(self) -> float:
        """Return the time that the job takes with unlimited capacity."""
        ends: list[float] = []
        for step in self.steps:
            before = max((ends[i] for i in step.spec.after), default=0.0)
            ends.append(before + max(step.task_ms) / 1000)
        return max(ends)

    @property
    def critical_path_seconds(self) -> float:
        """Return the time of the longest path through the steps as recorded."""
        longest: list[float] = []
        for step in self.steps:
            before = max((longest[i] for i in step.spec.after), default=0.0)
            longest.append(before + sum(step.task_ms) / len(step.task_ms) / 1000)
        return max(longest)

    @property
    def core_seconds(self) -> float:
        """Return the recorded processor time of the job in core seconds."""
        return sum(s.spec.demand.cpu / 1000 * sum(s.task_ms) / 1000 for s in self.steps)


@dataclass(frozen=True, slots=True)
class RackOutage:
    """Outage of all VMs of a rack, from the second ``at`` for ``seconds``."""

    at: float
    seconds: float
    rack: RackId


@dataclass(frozen=True, slots=True)
class Silence:
    """Loss of contact with VMs that keep running, from ``at`` for ``seconds``.

    The VM list still shows them. ``share`` of the VMs of each pool are lost.
    """

    at: float
    seconds: float
    share: float


@dataclass(frozen=True, slots=True)
class RecordedDay:
    """The fleet, queues, jobs and rack outages of a recorded day."""

    queues: tuple[Queue, ...]
    vms_per_pool: int
    vms_per_rack: int
    capacity: Resources
    standby: ServiceName
    jobs: tuple[RecordedJob, ...]
    rack_outages: tuple[RackOutage, ...] = ()
    silences: tuple[Silence, ...] = ()
    # Share of the polls that workers leave unanswered.
    unanswered_poll_share: float = 0.0


@dataclass(slots=True)
class JobOutcome:
    """Result of one job."""

    job: RecordedJob
    objective_seconds: float
    # Seconds from the caller's first attempt.
    ended_after_seconds: float | None = None
    # Refused at each attempt.
    refused: bool = False
    # How often the caller was refused.
    refusals: int = 0

    @property
    def in_time(self) -> bool:
        """Return whether the job ended within its objective."""
        return (
            self.ended_after_seconds is not None
            and self.ended_after_seconds <= self.objective_seconds
        )

    @property
    def is_useful(self) -> bool:
        """Return whether the result came early enough to be of use to the caller."""
        if self.ended_after_seconds is None:
            return False
        return self.ended_after_seconds <= USEFULNESS_FACTOR * self.objective_seconds


@dataclass(slots=True)
class DayReport:
    """Results of a replayed day."""

    outcomes: list[JobOutcome]
    # Cores of one VM.
    vm_cores: float = 1.0
    paid_vm_seconds: float = 0.0
    used_core_seconds: float = 0.0
    moves: int = 0
    # Refusals while a worker had capacity for a task of the job.
    refused_with_capacity: int = 0

    @property
    def in_time_share(self) -> float:
        """Return the share of the work that ended within its objective."""
        return _share(self.outcomes, [o for o in self.outcomes if o.in_time])

    @property
    def accepted_not_useful(self) -> int:
        """Return how many jobs were accepted and ended too late to be of use."""
        return sum(1 for o in self.outcomes if not o.refused and not o.is_useful)

    @property
    def refused(self) -> int:
        """Return how many jobs were refused."""
        return sum(1 for o in self.outcomes if o.refused)

    def in_time_by_window(self) -> list[float]:
        """Return the share in time of the jobs that arrived in each window."""
        groups: dict[int, list[JobOutcome]] = {}
        for outcome in self.outcomes:
            groups.setdefault(int(outcome.job.at / WINDOW_SECONDS), []).append(outcome)
        return [
            _share(group, [o for o in group if o.in_time])
            for _, group in sorted(groups.items())
        ]

    def mean_of_worst_windows(self) -> float:
        """Return the mean of the two worst windows."""
        return sum(sorted(self.in_time_by_window())[:2]) / 2

    def largest_jobs_in_time_share(self) -> float:
        """Return the share in time of the tenth of the jobs with the most work."""
        ordered = sorted(self.outcomes, key=lambda o: -o.job.core_seconds)
        largest = ordered[: max(1, len(ordered) // 10)]
        return sum(o.in_time for o in largest) / len(largest)


def job_weight(job: RecordedJob, mean_work: float) -> float:
    """Return the weight of a job in the shares; a job of mean work weighs 1."""
    return min(4.0, 0.3 + 0.7 * job.core_seconds / mean_work)


def _share(all_jobs: Sequence[JobOutcome], subset: Sequence[JobOutcome]) -> float:
    if not all_jobs:
        return 1.0
    mean_work_by_queue: dict[QueueName, float] = {}
    for queue in {o.job.queue for o in all_jobs}:
        job_work = [o.job.core_seconds for o in all_jobs if o.job.queue == queue]
        mean_work_by_queue[queue] = sum(job_work) / len(job_work)
    total = sum(job_weight(o.job, mean_work_by_queue[o.job.queue]) for o in all_jobs)
    return (
        sum(job_weight(o.job, mean_work_by_queue[o.job.queue]) for o in subset) / total
    )
