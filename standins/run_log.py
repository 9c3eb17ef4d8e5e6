"""Records what the workers ran, and finds finished tasks that started again."""

from collections.abc import Callable
from dataclasses import dataclass, field

from ebonyhub.ids import LeaderToken, TaskId, WorkerId
from ebonyhub.platform.workers import task_name
from ebonyhub.scheduling.model import EndedTask, RunOutcome
from standins.fake_worker import FakeWorker


@dataclass(slots=True)
class LoggedRun:
    """One run of a task; times are in seconds of the log's clock."""

    task: TaskId
    number: int
    worker: WorkerId
    token: LeaderToken
    started_at: float
    ended_at: float | None = None
    outcome: RunOutcome | None = None
    # When the end was acknowledged, and by the leader with which token.
    acknowledged_at: float | None = None
    acknowledged_by: LeaderToken | None = None

    def describe(self) -> str:
        """Return the run in one line."""
        text = f"{task_name(self.task)} run {self.number} on {self.worker}"
        text += f" by token {self.token} at {self.started_at:.3f}"
        if self.ended_at is not None and self.outcome is not None:
            text += f", {self.outcome.value} at {self.ended_at:.3f}"
        if self.acknowledged_at is not None:
            text += f", acknowledged by token {self.acknowledged_by}"
            text += f" at {self.acknowledged_at:.3f}"
        return text

    @property
    def is_finished(self) -> bool:
        """Return whether the run ended as done and its end was acknowledged."""
        return self.outcome is RunOutcome.DONE and self.acknowledged_at is not None


@dataclass
class RunLog:
    """All runs on all workers, in the order of their starts."""

    clock: Callable[[], float]
    runs: list[LoggedRun] = field(default_factory=list)
    # By worker: when its lease was last seen to have expired.
    lease_expired_at: dict[WorkerId, float] = field(default_factory=dict)

    def observe(self, worker: FakeWorker) -> None:
        """Record the starts, ends, acknowledgements and lost leases of a worker."""
        previous_on_end = worker.on_end

        def record_end(
            source: FakeWorker, task: TaskId, number: int, outcome: RunOutcome
        ) -> None:
            previous_on_end(source, task, number, outcome)
            self._record_end(source, task, number, outcome)

        worker.on_start = self._record_start
        worker.on_end = record_end
        worker.on_acknowledge = self._record_acknowledgement
        worker.on_lease_expired = self._record_lease_expiry

    def _record_start(self, worker: FakeWorker, task: TaskId, number: int) -> None:
        run = LoggedRun(task, number, worker.worker, worker.token, self.clock())
        self.runs.append(run)

    def _find(self, worker: FakeWorker, task: TaskId, number: int) -> LoggedRun:
        return next(
            run
            for run in reversed(self.runs)
            if (run.task, run.number, run.worker) == (task, number, worker.worker)
        )

    def _record_end(
        self, worker: FakeWorker, task: TaskId, number: int, outcome: RunOutcome
    ) -> None:
        run = self._find(worker, task, number)
        run.ended_at, run.outcome = self.clock(), outcome

    def _record_acknowledgement(
        self, worker: FakeWorker, end: EndedTask, token: LeaderToken
    ) -> None:
        run = self._find(worker, end.task, end.number)
        expired_at = self.lease_expired_at.get(worker.worker, float("-inf"))
        if run.ended_at is not None and expired_at < run.ended_at:
            run.acknowledged_at, run.acknowledged_by = self.clock(), token

    def _record_lease_expiry(self, worker: FakeWorker) -> None:
        self.lease_expired_at[worker.worker] = self.clock()

    def finished(self, job: str) -> list[LoggedRun]:
        """Return the job's runs that are done and whose ends were acknowledged."""
        return [run for run in self.runs if run.is_finished and run.task.job == job]

    def repeated_starts(self) -> list[str]:
        """Return the starts of tasks that were finished or still running."""
        problems: list[str] = []
        earlier: dict[TaskId, list[LoggedRun]] = {}
        for run in self.runs:
            for first in earlier.setdefault(run.task, []):
                is_running = first.ended_at is None or first.ended_at > run.started_at
                if is_running or first.is_finished:
                    problems.append(f"{run.describe()} AFTER {first.describe()}")
            earlier[run.task].append(run)
        return problems
