"""Checks the documented guarantees against what the workers run."""

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from math import inf

from ebonyhub.ids import JobId, TaskId, WorkspaceName
from ebonyhub.jobs.model import JobSpec, Resources
from ebonyhub.scheduling.model import RunOutcome
from standins.fake_worker import FakeWorker
from standins.workspace_limits import WorkspaceLimits

# Time in which a cancelled job's tasks have ended on reachable workers.
CANCEL_TIMEOUT_SECONDS = 3.5


# Time after which a capacity that has shrunk counts: the platform's ContactMs and one
# heartbeat.
SHRUNK_CAPACITY_SECONDS = 4.5
# Time after a job was shown as completed from which none of its tasks may start.
SHOWN_COMPLETED_SECONDS = 1.0

# Shortest run of a long-running task that fails.
MIN_LONG_RUN_MS = 300

# Worker process, and sequence number of an end on it.
EndKey = tuple[str, int]


class GuaranteeViolation(AssertionError):
    """A documented guarantee does not hold; the message starts with its code."""


@dataclass(slots=True)
class TaskHistory:
    """Runs, completions and failures of one task on all workers."""

    running: dict[str, int] = field(default_factory=dict)
    completed_on: dict[str, int] = field(default_factory=dict)
    completion_acknowledged: bool = False
    # Completions without an acknowledgement yet, and those of them after which the task
    # was started again.
    unacknowledged: set[EndKey] = field(default_factory=set)
    restarted_after: set[EndKey] = field(default_factory=set)
    failures: int = 0
    starts: int = 0
    # Worker processes that have crashed under the task, and starts after the third.
    crashes: int = 0
    starts_after_third_crash: int = 0


@dataclass
class Oracle:
    """Compares submissions and cancellations with the starts and ends on workers."""

    clock: Callable[[], float]
    max_attempts: int
    specs: dict[JobId, JobSpec] = field(default_factory=dict)
    cancellation_times: dict[JobId, float] = field(default_factory=dict)
    tasks: dict[TaskId, TaskHistory] = field(default_factory=dict)
    # Seconds that a task may start before its due time; tests whose clock jumps allow
    # more.
    early_start_tolerance_seconds: float = 0.25
    # Share of runs that end as failed.
    failure_rate: float = 0.0
    always_failing_jobs: set[JobId] = field(default_factory=set)
    # Mean time in seconds after which the runs of long-running tasks fail; 0 for never.
    long_running_seconds: float = 0.0
    # Tasks that crash each worker that starts them.
    crashing_tasks: set[TaskId] = field(default_factory=set)
    # Capacities that a worker had, each with the time until which it had it.
    earlier_capacities: dict[str, list[tuple[float, Resources]]] = field(
        default_factory=dict
    )
    # By worker process and sequence number of the end.
    unacknowledged_completions: dict[EndKey, list[tuple[TaskId, int]]] = field(
        default_factory=dict
    )
    unacknowledged_failures: dict[EndKey, TaskId] = field(default_factory=dict)
    # When a job was first shown as completed.
    shown_completed_times: dict[JobId, float] = field(default_factory=dict)
    # Workspaces of the jobs that have one.
    workspaces: dict[JobId, WorkspaceName] = field(default_factory=dict)
    workspace_limits: WorkspaceLimits = field(init=False)

    def __post_init__(self) -> None:
        """Create the limits of workspaces, of which none is set yet."""
        self.workspace_limits = WorkspaceLimits(self.clock)

    def record_submission(
        self, job: JobId, spec: JobSpec, workspace: WorkspaceName | None = None
    ) -> None:
        """Record the spec and the workspace of a submitted job."""
        self.specs[job] = spec
        if workspace:
            self.workspaces[job] = workspace

    def record_cancellation(self, job: JobId) -> None:
        """Record when the cancellation of a job was acknowledged to its caller."""
        self.cancellation_times[job] = self.clock()

    def record_shown_completed(self, job: JobId) -> None:
        """Record that a caller was shown a job as completed.

        Raises GuaranteeViolation if a task of the job has not completed.
        """
        self.shown_completed_times.setdefault(job, self.clock())
        for task in self.tasks_of(job):
            history = self.tasks.get(task)
            if history is None or not history.completed_on:
                raise GuaranteeViolation(
                    f"MIXED: job is shown as completed, {task} has not completed"
                )

    def record_earlier_completion(self, job: JobId) -> None:
        """Record that all tasks of a job had completed before the run."""
        self.shown_completed_times[job] = self.clock()
        for task in self.tasks_of(job):
            self.tasks[task] = TaskHistory(
                completed_on={"": 1}, completion_acknowledged=True
            )

    def tasks_of(self, job: JobId) -> Iterable[TaskId]:
        """Return the tasks of all occurrences of a submitted job."""
        spec = self.specs[job]
        for occurrence in range(max(1, spec.repeat_count)):
            for number, step in enumerate(spec.steps):
                for index in range(step.count):
                    yield TaskId(job, occurrence, number, index)

    def draw_run_result(
        self, task: TaskId, rng: random.Random
    ) -> tuple[int | None, RunOutcome]:
        """Return the duration of a run in ms (None: until stopped) and its outcome."""
        step = self.specs[task.job].steps[task.step]
        if step.long_running:
            if not self.long_running_seconds:
                return None, RunOutcome.FAILED
            seconds = rng.expovariate(1 / self.long_running_seconds)
            return MIN_LONG_RUN_MS + int(seconds * 1000), RunOutcome.FAILED
        duration = int(step.estimate_ms * rng.uniform(0.5, 2.0))
        fails = task.job in self.always_failing_jobs or rng.random() < self.failure_rate
        return duration, RunOutcome.FAILED if fails else RunOutcome.DONE

    def check_start(self, worker: FakeWorker, task: TaskId, number: int) -> None:
        """Raise GuaranteeViolation if a worker must not start this run."""
        if task.job not in self.specs:
            raise GuaranteeViolation(f"UNASKED: {task} was never submitted")
        history = self.tasks.setdefault(task, TaskHistory())
        history.starts += 1
        # Counted first, since a run that breaks another guarantee runs as well.
        excess = self._count_start(worker, task)
        if history.running:
            raise GuaranteeViolation(
                f"TWICE: {task} run {number} beside {history.running}"
            )
        if history.completion_acknowledged:
            raise GuaranteeViolation(
                f"TWICE: {task} run {number} after its end was acknowledged"
            )
        self._check_shown_completed(task, number)
        history.restarted_after |= history.unacknowledged
        if history.failures >= self.max_attempts and not self._step(task).long_running:
            raise GuaranteeViolation(f"BUDGET: {task} run {number}")
        self._check_crash_limit(task, number, history)
        self._check_dependencies(task)
        self._check_due_time(task)
        self._check_capacity(worker)
        self._check_max_per_worker(worker, task)
        if excess is not None:
            raise GuaranteeViolation(f"QUOTA: {task} run {number}: {excess}")
        cancelled_at = self.cancellation_times.get(task.job)
        if (
            cancelled_at is not None
            and self.clock() > cancelled_at + CANCEL_TIMEOUT_SECONDS
        ):
            raise GuaranteeViolation(
                f"UNASKED: {task} starts after its job was cancelled"
            )
        history.running[worker.worker] = number

    def _count_start(self, worker: FakeWorker, task: TaskId) -> str | None:
        """Count a run for its workspace; return how it exceeds the limit, if so."""
        workspace = self.workspaces.get(task.job)
        if workspace is None:
            return None
        demand = self._step(task).demand
        return self.workspace_limits.start(workspace, worker.worker, task, demand)

    def _check_shown_completed(self, task: TaskId, number: int) -> None:
        shown_at = self.shown_completed_times.get(task.job)
        if shown_at is None or self.clock() <= shown_at + SHOWN_COMPLETED_SECONDS:
            return
        raise GuaranteeViolation(
            f"TWICE: {task} run {number} after its job was shown as completed"
        )

    def _check_crash_limit(
        self, task: TaskId, number: int, history: TaskHistory
    ) -> None:
        """Raise for the third start of a crashing task after three crashes under it."""
        if task not in self.crashing_tasks or history.crashes < 3:
            return
        history.starts_after_third_crash += 1
        if history.starts_after_third_crash >= 3:
            raise GuaranteeViolation(
                f"BUDGET: {task} run {number} after {history.crashes} crashes"
            )

    def record_crash(self, worker: FakeWorker) -> None:
        """Record that a worker process crashes under the tasks that run on it."""
        for task in worker.runs:
            self.tasks[task].crashes += 1
        self._drop_unacknowledged_ends(worker)

    def _step(self, task: TaskId):  # type: ignore[no-untyped-def]
        return self.specs[task.job].steps[task.step]

    def _check_dependencies(self, task: TaskId) -> None:
        for before in self._step(task).after:
            count = self.specs[task.job].steps[before].count
            for index in range(count):
                earlier = TaskId(task.job, task.occurrence, before, index)
                history = self.tasks.get(earlier)
                if history is None or not history.completed_on:
                    raise GuaranteeViolation(
                        f"ORDER: {task} starts before {earlier} has completed"
                    )

    def _check_due_time(self, task: TaskId) -> None:
        due = self.specs[task.job].due_ms(task.occurrence) / 1000
        if due and self.clock() < due - self.early_start_tolerance_seconds:
            raise GuaranteeViolation(
                f"ORDER: {task} starts {due - self.clock():.2f} s early"
            )

    def _check_capacity(self, worker: FakeWorker) -> None:
        used = Resources()
        for task in worker.runs:
            used = used + self._step(task).reserved
        if not used.fits_into(self._counted_capacity(worker)):
            raise GuaranteeViolation(f"LIMIT: {worker.worker} has {used} reserved")

    def record_resize(self, worker: FakeWorker) -> None:
        """Record the capacity that a worker has until now, before it changes."""
        earlier = self.earlier_capacities.setdefault(worker.worker, [])
        earlier.append((self.clock(), worker.capacity))

    def _counted_capacity(self, worker: FakeWorker) -> Resources:
        """Return the capacity that starts must respect: the largest one of late."""
        counted = worker.capacity
        for until, capacity in self.earlier_capacities.get(worker.worker, []):
            if self.clock() < until + SHRUNK_CAPACITY_SECONDS:
                counted = Resources(
                    max(counted.cpu, capacity.cpu),
                    max(counted.memory, capacity.memory),
                    max(counted.accelerators, capacity.accelerators),
                )
        return counted

    def _check_max_per_worker(self, worker: FakeWorker, task: TaskId) -> None:
        limit = self._step(task).max_per_worker
        same = sum(1 for other in worker.runs if other[:3] == task[:3])
        if limit and same > limit:
            raise GuaranteeViolation(f"ROUTE: {same} of {task[:3]} on {worker.worker}")

    def record_end(
        self, worker: FakeWorker, task: TaskId, number: int, outcome: RunOutcome
    ) -> None:
        """Record an end; a completion counts once the leader has acknowledged it."""
        history = self.tasks[task]
        history.running.pop(worker.worker, None)
        workspace = self.workspaces.get(task.job)
        if workspace is not None:
            self.workspace_limits.end(workspace, worker.worker, task)
        if outcome is RunOutcome.DONE:
            history.completed_on[worker.worker] = number
            self._await_acknowledgement(worker, task, number)
        elif outcome is RunOutcome.FAILED:
            history.failures += 1
            self.unacknowledged_failures[_end_key(worker)] = task

    def _await_acknowledgement(
        self, worker: FakeWorker, task: TaskId, number: int
    ) -> None:
        key = _end_key(worker)
        self.unacknowledged_completions.setdefault(key, []).append((task, number))
        self.tasks[task].unacknowledged.add(key)

    def record_acknowledgement(self, worker: FakeWorker, sequence: int) -> list[TaskId]:
        """Mark ends up to a sequence number as acknowledged by the leader.

        Returns the tasks whose completion is acknowledged with it. Raises
        GuaranteeViolation if one of them was started again after its completion.
        """
        incarnation = f"{worker.worker}/{worker.born_ms}"
        for key in _keys_of(incarnation, self.unacknowledged_failures, sequence):
            del self.unacknowledged_failures[key]
        acknowledged: list[TaskId] = []
        restarted: list[TaskId] = []
        for key in _keys_of(incarnation, self.unacknowledged_completions, sequence):
            for task, _ in self.unacknowledged_completions.pop(key):
                history = self.tasks[task]
                history.completion_acknowledged = True
                history.unacknowledged.discard(key)
                acknowledged.append(task)
                if key in history.restarted_after:
                    restarted.append(task)
        if restarted:
            raise GuaranteeViolation(
                f"TWICE: {restarted} started again before their end was acknowledged"
            )
        return acknowledged

    def record_lease_expiry(self, worker: FakeWorker) -> None:
        """Drop the unacknowledged ends of a worker whose lease expired.

        These completions never count as acknowledged.
        """
        self._drop_unacknowledged_ends(worker)

    def _drop_unacknowledged_ends(self, worker: FakeWorker) -> None:
        """Drop ends that no leader has to know of: after a crash or a lapsed lease."""
        incarnation = f"{worker.worker}/{worker.born_ms}"
        for key in _keys_of(incarnation, self.unacknowledged_completions):
            for task, _ in self.unacknowledged_completions.pop(key):
                self.tasks[task].unacknowledged.discard(key)
        for key in _keys_of(incarnation, self.unacknowledged_failures):
            self.tasks[self.unacknowledged_failures.pop(key)].failures -= 1

    def check_cancelled_jobs(self, workers: Iterable[FakeWorker]) -> None:
        """Check that tasks of cancelled jobs end within three times the timeout.

        Workers that are down or cannot be reached are skipped.
        """
        for worker in workers:
            if worker.partitioned or not worker.up:
                continue
            for task in worker.runs:
                at = self.cancellation_times.get(task.job)
                if at is not None and self.clock() > at + 3 * CANCEL_TIMEOUT_SECONDS:
                    raise GuaranteeViolation(
                        f"UNASKED: {task} still runs after its job was cancelled"
                    )


def _end_key(worker: FakeWorker) -> EndKey:
    """Return the key of the worker's latest end."""
    return (f"{worker.worker}/{worker.born_ms}", worker.sequence)


def _keys_of(
    incarnation: str, keys: Iterable[EndKey], last: float = inf
) -> list[EndKey]:
    """Return the ends of a worker process up to a sequence number."""
    return [key for key in keys if key[0] == incarnation and key[1] <= last]
