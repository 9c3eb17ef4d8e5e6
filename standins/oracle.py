"""Checks the users' promises on what workers do."""

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from ebonyhub.ids import JobId, TaskId
from ebonyhub.jobs.model import JobSpec, Resources
from ebonyhub.scheduling.model import RunOutcome
from standins.fake_worker import FakeWorker

# A cancelled job's tasks are gone after this, with calm workers.
CANCEL_SECONDS = 3.5


class PromiseBroken(AssertionError):
    """A promise of the pages does not hold."""


@dataclass(slots=True)
class TaskHistory:
    """What the workers did with one task."""

    running: dict[str, int] = field(default_factory=dict)
    done_on: dict[str, int] = field(default_factory=dict)
    done_noted: bool = False
    failures: int = 0
    starts: int = 0


@dataclass
class Oracle:
    """Sees submissions, starts, ends and acknowledgements."""

    clock: Callable[[], float]
    max_attempts: int
    specs: dict[JobId, JobSpec] = field(default_factory=dict)
    cancels: dict[JobId, float] = field(default_factory=dict)
    tasks: dict[TaskId, TaskHistory] = field(default_factory=dict)
    # Seconds that a task may start before its time; more where clocks jump.
    early_seconds: float = 0.25
    # Share of runs that end as failed, and jobs that always fail.
    failure_share: float = 0.0
    poisoned: set[JobId] = field(default_factory=set)
    pending_done: dict[tuple[str, int], list[tuple[TaskId, int]]] = field(
        default_factory=dict
    )

    def submitted(self, job: JobId, spec: JobSpec) -> None:
        """Note a submission."""
        self.specs[job] = spec

    def cancelled(self, job: JobId) -> None:
        """Note the acknowledgement of a cancel."""
        self.cancels[job] = self.clock()

    def behaviour(
        self, task: TaskId, rng: random.Random
    ) -> tuple[int | None, RunOutcome]:
        """Return how long a run takes (ms; None: for ever) and how it ends."""
        step = self.specs[task.job].steps[task.step]
        if step.long_running:
            return None, RunOutcome.FAILED
        duration = int(step.estimate_ms * rng.uniform(0.5, 2.0))
        fails = task.job in self.poisoned or rng.random() < self.failure_share
        return duration, RunOutcome.FAILED if fails else RunOutcome.DONE

    def started(self, worker: FakeWorker, task: TaskId, number: int) -> None:
        """Check a start."""
        if task.job not in self.specs:
            raise PromiseBroken(f"UNASKED: {task} was never submitted")
        history = self.tasks.setdefault(task, TaskHistory())
        history.starts += 1
        if history.running:
            raise PromiseBroken(f"TWICE: {task} run {number} beside {history.running}")
        if history.done_noted:
            raise PromiseBroken(f"TWICE: {task} run {number} after its noted end")
        if history.failures >= self.max_attempts and not self._step(task).long_running:
            raise PromiseBroken(f"BUDGET: {task} run {number}")
        self._check_order(task)
        self._check_due(task)
        self._check_capacity(worker)
        self._check_spread(worker, task)
        cancelled_at = self.cancels.get(task.job)
        if cancelled_at is not None and self.clock() > cancelled_at + CANCEL_SECONDS:
            raise PromiseBroken(f"UNASKED: {task} starts after the cancel")
        history.running[worker.worker] = number

    def _step(self, task: TaskId):  # type: ignore[no-untyped-def]
        return self.specs[task.job].steps[task.step]

    def _check_order(self, task: TaskId) -> None:
        for before in self._step(task).after:
            count = self.specs[task.job].steps[before].count
            for index in range(count):
                earlier = TaskId(task.job, task.occurrence, before, index)
                history = self.tasks.get(earlier)
                if history is None or not history.done_on:
                    raise PromiseBroken(f"ORDER: {task} before {earlier}")

    def _check_due(self, task: TaskId) -> None:
        due = self.specs[task.job].due_ms(task.occurrence) / 1000
        if due and self.clock() < due - self.early_seconds:
            raise PromiseBroken(
                f"ORDER: {task} starts {due - self.clock():.2f} s early"
            )

    def _check_capacity(self, worker: FakeWorker) -> None:
        used = Resources()
        for task in worker.runs:
            used = used + self._step(task).reserved
        if not used.fits_into(worker.capacity):
            raise PromiseBroken(f"LIMIT: {worker.worker} holds {used}")

    def _check_spread(self, worker: FakeWorker, task: TaskId) -> None:
        limit = self._step(task).max_per_worker
        same = sum(1 for other in worker.runs if other[:3] == task[:3])
        if limit and same > limit:
            raise PromiseBroken(f"ROUTE: {same} of {task[:3]} on {worker.worker}")

    def ended(
        self, worker: FakeWorker, task: TaskId, number: int, kind: RunOutcome
    ) -> None:
        """Note an end; it counts for the promises once it is acknowledged."""
        history = self.tasks[task]
        history.running.pop(worker.worker, None)
        if kind is RunOutcome.DONE:
            history.done_on[worker.worker] = number
            self._note_later(worker, task, number)
        elif kind is RunOutcome.FAILED:
            history.failures += 1

    def _note_later(self, worker: FakeWorker, task: TaskId, number: int) -> None:
        key = (f"{worker.worker}/{worker.born_ms}", worker.sequence)
        self.pending_done.setdefault(key, []).append((task, number))

    def acknowledged(self, worker: FakeWorker, sequence: int) -> None:
        """Note that ends up to a number were taken note of."""
        life = f"{worker.worker}/{worker.born_ms}"
        for key in [k for k in self.pending_done if k[0] == life]:
            if key[1] <= sequence:
                for task, _ in self.pending_done.pop(key):
                    self.tasks[task].done_noted = True

    def lapsed(self, worker: FakeWorker) -> None:
        """Forget the ends that were listed before the worker's lease ran out.

        Those never count as taken note of.
        """
        life = f"{worker.worker}/{worker.born_ms}"
        for key in [k for k in self.pending_done if k[0] == life]:
            del self.pending_done[key]

    def check_cancels(self, workers: Iterable[FakeWorker]) -> None:
        """Check that nothing of a cancelled job runs on after a while.

        Workers that can not be reached are left out.
        """
        for worker in workers:
            if worker.cut or not worker.up:
                continue
            for task in worker.runs:
                at = self.cancels.get(task.job)
                if at is not None and self.clock() > at + 3 * CANCEL_SECONDS:
                    raise PromiseBroken(f"UNASKED: {task} runs on after the cancel")
