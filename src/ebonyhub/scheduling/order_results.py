"""Orders starts whose records are stored, and applies the results of orders."""

from ..events import Event, log_event
from . import lifecycle
from .model import OrderFailure
from .orders import FetchReport, StopRun, ThrottleRun
from .runs import Run, RunPhase, StopReason, Worker
from .start_refusals import PAUSE_SECONDS
from .state import SchedulerState, short_name

# After these no task starts on the worker for a moment. A start that is late on its
# arrival was sent with the clock of another process.
_FAILURES_OF_WORKERS = frozenset(
    {
        OrderFailure.REFUSED,
        OrderFailure.NOT_SENT,
        OrderFailure.LATE,
        OrderFailure.NO_CAPACITY,
        OrderFailure.OTHER_WORKER,
    }
)
# Other steps may start on the worker.
_FAILURES_OF_STEPS = frozenset({OrderFailure.OLD_RUN, OrderFailure.INVALID})
# The next report shows the clock of the worker, or what occupies it.
_FAILURES_TO_REPORT = frozenset({OrderFailure.LATE, OrderFailure.NO_CAPACITY})


class OrderResults(SchedulerState):
    """Releases planned starts, and applies the results of start and stop orders."""

    def release_starts(self, now: float) -> None:
        """Order the planned starts whose records are stored.

        The decision may be seconds old by then, so the worker is checked again: it may
        be leaving, or its capacity may have shrunk. So may the limit of the workspace.
        """
        waiting: list[Run] = []
        for run in self.planned_runs:
            job = self.jobs.get(run.task.job)
            worker = self.workers.get(run.worker)
            if job is None or worker is None or run.key not in worker.runs:
                continue
            is_current = lifecycle.is_current(job, run.task, run.number)
            if run.stop_reason is not None or not is_current:
                self.release_run(run, worker)
                continue
            if job.stored_version < run.job_version:
                waiting.append(run)
                continue
            may_start = self.is_eligible(worker, now) and self.workspaces.may_order(run)
            if not may_start or worker.is_overcommitted:
                self.discard_run(run, worker)
                continue
            self.order_start(run, worker)
        self.planned_runs = waiting

    def handle_start_result(
        self, run: Run, failure: OrderFailure | None, now: float
    ) -> None:
        """Apply the result of a start order; ``failure`` is None if the run exists."""
        run.answer_pending = False
        if failure is OrderFailure.UNKNOWN:
            self._note_unanswered(run, now)
        else:
            self.acknowledgements.open_starts.handle_answer(run.task)
        if failure is None:
            self.note_begin(self.active.get(run.task.job))
        worker = self.workers.get(run.worker)
        if worker is None or run.key not in worker.runs:
            return
        if run.phase is not RunPhase.ORDERED:
            # A report has shown the run, or it is being stopped.
            if failure is None and run.phase is RunPhase.CONFIRMED:
                self._record_answer(run)
            return
        self.end_start(run, worker)
        if failure is None:
            run.phase = RunPhase.CONFIRMED
            run.confirmed_at = run.progress_changed_at = now
            worker.last_response_at = max(worker.last_response_at or now, now)
            worker.expired = False
            self._record_answer(run)
            job = self.active.get(run.task.job)
            if job is not None and lifecycle.note_crash(job, run, counted=False):
                self.mark_dirty(job)
            log_event(
                Event.RUN_STARTED,
                job=run.task.job,
                task=short_name(run.task),
                run=run.number,
                worker=run.worker,
                contact_age=round(now - worker.process.clock_read_at, 3),
            )
            return
        log_event(
            Event.RUN_START_FAILED, job=run.task.job, task=short_name(run.task),
            run=run.number, worker=run.worker, reason=failure.value,
        )  # fmt: skip
        if failure is OrderFailure.UNKNOWN:
            run.phase = RunPhase.UNCERTAIN
            run.report_requested = True
            self.outbox.append(FetchReport(run.worker))
            return
        self._pause_starts(run, worker, failure, now)
        if run.report_requested:
            self._handle_refused_repetition(run, worker, failure, now)
            return
        self.discard_run(run, worker)

    def _pause_starts(
        self, run: Run, worker: Worker, failure: OrderFailure, now: float
    ) -> None:
        """Let the next start wait for as long as it would most likely fail, too."""
        step = (run.task.job, run.task.occurrence, run.task.step)
        if failure is OrderFailure.TICKET:
            self.advice.pop(step, None)
            self.start_refusals.add_ticket(step, now)
        if failure in _FAILURES_OF_WORKERS:
            worker.process.health.quarantine(now, PAUSE_SECONDS)
        if failure in _FAILURES_OF_STEPS:
            self.start_refusals.add(step, run.worker, now)
        if failure in _FAILURES_TO_REPORT:
            self.outbox.append(FetchReport(run.worker))

    def _note_unanswered(self, run: Run, now: float) -> None:
        """Reckon with a late start, also if a report has shown the run or its end.

        A task that waits for its next run is bound to the worker; its record says so.
        """
        run.unanswered_at = now
        if run.step.allows_duplicates:
            return
        self.acknowledgements.open_starts.add(run.task, now)
        worker, job = self.workers.get(run.worker), self.active.get(run.task.job)
        if worker is None or job is None or lifecycle.is_done(job, run.task):
            return
        current = lifecycle.current_run(job, run.task)
        if current is not None and current.worker != run.worker:
            return
        self.late_starts.add(
            run.task, run.worker, worker.entry.vm, now, run.step.long_running
        )
        if current is None:
            self.record_late_start(job, run.task)
            job.version += 1
            self.dirty[job.job_id] = job

    def handle_throttle_result(
        self, order: ThrottleRun, failure: OrderFailure | None, now: float
    ) -> None:
        """Apply the result of a speed order; ``failure`` is None on success."""
        worker = self.workers.get(order.worker)
        run = worker.runs.get((order.task, order.number)) if worker else None
        if run is not None:
            run.speed.handle_result(failure, now)

    def _record_answer(self, run: Run) -> None:
        """Record that a start was answered, unless an earlier one was not.

        The answer is a change of its own, so that it is stored at once: of a start that
        the record does not name as answered, a successor has to assume that it may
        still be carried out. It makes no task ready, so nothing is planned for it.
        """
        job = self.active.get(run.task.job)
        if job is None or run.unanswered_at is not None:
            return
        lifecycle.record_answer(job, run)
        job.version += 1
        self.dirty[job.job_id] = job

    def _handle_refused_repetition(
        self, run: Run, worker: Worker, failure: OrderFailure, now: float
    ) -> None:
        """Apply the refusal of a start that was sent again.

        The order that had no answer may still be carried out, or has been by now, so
        the run is stopped before it is discarded.
        """
        run.phase = RunPhase.UNCERTAIN
        if failure in (OrderFailure.NOT_SENT, OrderFailure.WITHDRAWN):
            self.outbox.append(FetchReport(worker.worker_id))
        else:
            self.stop_run(run, StopReason.UNANSWERED, now)

    def handle_stop_result(
        self, order: StopRun, failure: OrderFailure | None, now: float
    ) -> None:
        """Record a confirmed stop: the process does not start the run any more.

        If it was running, the worker reports its end.
        """
        worker = self.workers.get(order.worker)
        run = worker.runs.get((order.task, order.number)) if worker else None
        if worker is None or run is None or failure is not None:
            return
        if order.born_ms != worker.born_ms:
            return
        run.stop_confirmed_at = now
        if run.phase is not RunPhase.CONFIRMED:
            run.phase = RunPhase.UNCERTAIN
            self.outbox.append(FetchReport(order.worker))
