"""Runs, workers and jobs as the scheduler tracks them."""

from dataclasses import dataclass, field
from enum import Enum

from ..ids import JobId, LeaderToken, QueueName, ServiceName, TaskId, WorkerId
from ..jobs.model import AcceptedJob, Resources, StepSpec
from ..jobs.progress_parts import PartLayout
from ..jobs.records import JobState, ProgressRecord
from .model import WorkerEntry
from .run_speed import RunSpeed
from .starts_under_way import StartsUnderWay
from .worker_process import NO_TOKEN, WorkerProcess


class RunPhase(Enum):
    """How far the start of a run is known to have progressed."""

    # The job's record with the run is not yet stored, so no order has been sent.
    PLANNED = "planned"
    # The start was ordered and the worker has not answered yet.
    ORDERED = "ordered"
    # The worker confirmed the start or listed the run.
    CONFIRMED = "confirmed"
    # The answer was lost, or an earlier leader sent the order: the run may exist.
    UNCERTAIN = "uncertain"


class StopReason(Enum):
    """Why a run is being stopped."""

    CANCELLED = "cancelled"
    # The start order got no answer; the stop keeps it from taking effect later.
    UNANSWERED = "unanswered"
    # The worker lists a run that the job's record does not contain.
    UNKNOWN_RUN = "unknown_run"
    # The worker drains or its VM is cordoned.
    WORKER_LEAVES = "worker_leaves"
    NO_PROGRESS = "no_progress"
    JOB_ENDED = "job_ended"
    # An earlier run of the task, which was taken for lost, is done.
    TASK_DONE = "task_done"


@dataclass(eq=False, slots=True)
class Run:
    """One execution of a task on a worker; times are monotonic seconds."""

    task: TaskId
    # Counts the runs of a task from 1; all members of a gang have the same number.
    number: int
    worker: WorkerId
    # Start of the worker process in ms since 1970.
    born_ms: int
    reserved: Resources
    step: StepSpec
    phase: RunPhase
    # First version of the job's record that contains the run.
    job_version: int = 0
    # Started by an earlier leader, whose pending orders the worker's fencing rejects.
    inherited: bool = False
    # Fencing token of the start order.
    token: LeaderToken = NO_TOKEN
    # When it was found that this start order, or an earlier one of the task, got no
    # answer; None if each got one.
    unanswered_at: float | None = None
    # A start order was sent that has neither an answer nor run into its time limit.
    answer_pending: bool = False
    planned_at: float = 0.0
    confirmed_at: float = 0.0
    stop_reason: StopReason | None = None
    stop_sent_at: float = float("-inf")
    # When the worker confirmed the stop order; the run cannot start after that.
    stop_confirmed_at: float | None = None
    checkpoint: str = ""
    progress_percent: float = 0.0
    progress_changed_at: float = 0.0
    # When the worker last reported the same progress as before.
    unchanged_until: float = 0.0
    # Tail latency in ms for a serving task, thousandths of a core for others.
    usage: float = 0.0
    # To which a best-effort run is throttled.
    speed: RunSpeed = field(default_factory=RunSpeed)
    # A report was requested because the start order got no answer.
    report_requested: bool = False
    # The task may crash its workers: for so many seconds from its start nothing else
    # starts on the worker. None for other tasks.
    probation_seconds: float | None = None
    # A crash of its worker was attributed already, although the run is kept.
    crash_attributed: bool = False

    @property
    def key(self) -> tuple[TaskId, int]:
        """Return task and run number, which identify the run on its worker."""
        return (self.task, self.number)

    def may_start_late(self, now: float, process: WorkerProcess) -> bool:
        """Return whether the next process under the worker's id may still run it.

        Its start order has no answer yet, or got none, so it may be carried out when
        the present process has ended, even if that has listed the run. So may that of
        an earlier run of the task.
        """
        if self.phase is RunPhase.ORDERED:
            return True
        return self.unanswered_at is not None and process.next_may_start(
            self.unanswered_at, now
        )


@dataclass(eq=False, slots=True)
class Worker:
    """The latest known state of one worker; times are monotonic seconds.

    What holds for one process only is in ``process``; the rest holds for the worker's
    id and address, also across restarts.
    """

    entry: WorkerEntry
    process: WorkerProcess = field(default_factory=WorkerProcess)
    # The process that announced that it drains, by its start time; 0 if none has.
    draining_born_ms: int = 0
    # Service in which a later worker of the same VM has registered.
    successor_service: ServiceName | None = None
    # The worker's entry has disappeared from the store.
    deregistered: bool = False
    # Its VM is about to be moved or put into maintenance, so it gets no new tasks. A
    # change that has ended may have replaced the worker, until it responds again.
    cordoned: bool = False
    # It was discovered during such a change, so the change has not replaced it.
    discovered_cordoned: bool = False
    runs: dict[tuple[TaskId, int], Run] = field(default_factory=dict)
    # Those of ``runs`` that have a probation.
    isolated_runs: dict[tuple[TaskId, int], Run] = field(default_factory=dict)
    # Those of ``runs`` whose start has been planned or ordered and not answered yet.
    starting: StartsUnderWay = field(default_factory=StartsUnderWay)
    # Number of runs of each step, by job, occurrence and step.
    step_counts: dict[tuple[JobId, int, int], int] = field(default_factory=dict)
    used: Resources = field(default_factory=Resources)
    discovered_at: float = 0.0
    # Time after which the worker's entry was written; each heartbeat writes it.
    entry_seen_at: float = float("-inf")
    # When a poll first failed since the last report; None if none has.
    silent_since: float | None = None
    # Time of the last response to this leader; None before the first.
    last_response_at: float | None = None
    # Whether its reports name the start of the process.
    reports_born: bool = False
    # Its runs were discarded because its lease had ended or its VM was gone.
    expired: bool = False
    # Capacity that no run has reserved.
    free: Resources = field(default_factory=Resources)

    def __post_init__(self) -> None:
        """Compute the free capacity."""
        self.free = self.entry.capacity - self.used

    @property
    def worker_id(self) -> WorkerId:
        """Return the id under which the worker is registered in the store."""
        return self.entry.worker

    @property
    def born_ms(self) -> int:
        """Return the start of the present process in ms since 1970."""
        return self.process.born_ms

    @property
    def entry_is_of_process(self) -> bool:
        """Return whether the present process wrote the entry.

        Another process under the id may have another capacity and other labels.
        """
        return 0 in (self.entry.born_ms, self.born_ms) or (
            self.entry.born_ms == self.born_ms
        )

    @property
    def poll_failed(self) -> bool:
        """Return whether the last poll got no response."""
        return self.silent_since is not None

    @property
    def is_overcommitted(self) -> bool:
        """Return whether the runs have reserved more than the worker's capacity."""
        return not Resources().fits_into(self.free)

    def update_entry(self, entry: WorkerEntry) -> None:
        """Replace the entry; its capacity may differ."""
        self.entry = entry
        self.free = entry.capacity - self.used

    def lease_has_ended(self, now: float, inherited_until: float) -> bool:
        """Return whether every lease of the worker has certainly ended.

        ``inherited_until`` bounds the leases granted by earlier leaders. It applies to
        a worker that has not yet responded to this leader.
        """
        if self.last_response_at is None:
            return now > inherited_until
        return self.process.lease_has_ended(now)

    def add(self, run: Run) -> None:
        """Reserve capacity for a run, in place of an earlier entry of it."""
        earlier = self.runs.get(run.key)
        if earlier is not None:
            self.remove(earlier)
        self.runs[run.key] = run
        if run.probation_seconds is not None:
            self.isolated_runs[run.key] = run
        if run.phase is RunPhase.PLANNED:
            self.starting.add(run.key, run.task.job)
        key = run.task[:3]
        self.step_counts[key] = self.step_counts.get(key, 0) + 1
        self._set_used(self.used + run.reserved)

    def remove(self, run: Run) -> None:
        """Release the capacity of a run; does nothing if it is not tracked here."""
        self.isolated_runs.pop(run.key, None)
        self.starting.discard(run.key)
        if self.runs.pop(run.key, None) is None:
            return
        key = run.task[:3]
        self.step_counts[key] -= 1
        if not self.step_counts[key]:
            del self.step_counts[key]
        self._set_used(self.used - run.reserved)

    def _set_used(self, used: Resources) -> None:
        self.used = used
        self.free = self.entry.capacity - used

    def has_run_of(self, task: TaskId) -> bool:
        """Return whether the worker may have a run of the task."""
        return any(other == task for other, _ in self.runs)

    def count_runs_of_step(self, job: JobId, occurrence: int, step: int) -> int:
        """Return the number of the step's runs on this worker."""
        return self.step_counts.get((job, occurrence, step), 0)


@dataclass(eq=False, slots=True)
class Job:
    """A job with its progress; ``arrived_at`` is in monotonic seconds."""

    accepted: AcceptedJob
    progress: ProgressRecord
    queue: QueueName
    service: ServiceName
    arrived_at: float
    cancelled: bool = False
    # Incremented with each change of the progress record.
    version: int = 0
    stored_version: int = 0
    # Parts of the record with changes that no commit contains yet, with the version in
    # which the first of these was made.
    changed_parts: dict[int, int] = field(default_factory=dict)
    # Positions of ready tasks without a run, by occurrence and step.
    pending: dict[tuple[int, int], set[int]] = field(default_factory=dict)
    # Steps of each occurrence that are not done; counted when the first one is.
    steps_left: dict[int, int] = field(default_factory=dict)
    # Smallest reservation of a ready task in thousandths of a core; 0 if none is ready.
    min_pending_cpu: int = 0
    # Workers on which a task has failed or got stuck; used again only as a last resort.
    workers_to_avoid: dict[TaskId, set[WorkerId]] = field(default_factory=dict)
    # How often each task has been stopped as stuck.
    stuck_verdicts: dict[TaskId, int] = field(default_factory=dict)
    # Longest time without progress that a run of each step has got over, in seconds.
    progress_intervals: dict[int, float] = field(default_factory=dict)
    # Tasks of the job may be suspected of crashing their workers.
    has_suspects: bool = False
    # A run was planned, by this leader or an earlier one.
    has_planned_run: bool = False
    # First scheduled occurrence that has not been started.
    next_due_occurrence: int = 0
    # Estimated critical path over all steps; None until first computed.
    critical_path_seconds: float | None = None
    # Number and total seconds of successful runs, by occurrence and step.
    run_durations: dict[tuple[int, int], tuple[int, float]] = field(
        default_factory=dict
    )
    # Where the next planning pass begins, of a job with very many ready steps.
    next_step_to_plan: int = 0
    # Cache: see ``layout``.
    part_layout: PartLayout | None = None
    # Cache: the steps that depend on each step.
    dependents_by_step: dict[int, list[int]] | None = None
    # Cache: version, and for that version the remaining critical path in seconds and
    # the remaining work in core-seconds.
    remaining_estimate: tuple[int, float, float] | None = None

    # The job runs until it is cancelled.
    long_running: bool = field(init=False)

    def __post_init__(self) -> None:
        """Look at the steps once; a job may have very many."""
        self.long_running = self.accepted.spec.long_running

    @property
    def job_id(self) -> JobId:
        """Return the id under which the job was accepted."""
        return self.accepted.job

    @property
    def layout(self) -> PartLayout:
        """Return which part of the record has which tasks."""
        if self.part_layout is None:
            self.part_layout = PartLayout(self.accepted.spec)
        return self.part_layout

    def note_change(self, task: TaskId) -> None:
        """Note that the progress of a task changes with the next version."""
        if self.layout.is_split:
            part = self.layout.part_of(task.occurrence, task.step, task.position)
            self.changed_parts.setdefault(part, self.version + 1)

    def note_change_of_step(self, occurrence: int, step: int) -> None:
        """Note that the progress of all tasks of a step changes."""
        if self.layout.is_split:
            for part in self.layout.parts_of_step(occurrence, step):
                self.changed_parts.setdefault(part, self.version + 1)

    def dependents(self, number: int) -> list[int]:
        """Return the steps that start after a step."""
        if self.dependents_by_step is None:
            self.dependents_by_step = {}
            for dependent, step in enumerate(self.accepted.spec.steps):
                for earlier in step.after:
                    self.dependents_by_step.setdefault(earlier, []).append(dependent)
        return self.dependents_by_step.get(number, [])

    @property
    def is_final(self) -> bool:
        """Return whether the job has completed, failed or been cancelled."""
        return self.progress.state.is_final

    @property
    def started(self) -> bool:
        """Return whether a run of the job has begun or was planned."""
        return self.has_planned_run or self.progress.state is not JobState.QUEUED
