"""Applies workers' reports: running tasks, ended runs and missing runs."""

from collections.abc import Iterable
from functools import partial

from ..events import Event, log_event
from ..ids import JobId, TaskId
from ..jobs.model import Resources, StepSpec
from . import lifecycle
from .crashes import LostRun, is_crash
from .listed_ends import EndGroup
from .losses import LossCause, youngest_runs
from .model import (
    EndedTask,
    RunningTask,
    RunOutcome,
    WorkerReport,
)
from .orders import RaiseToken, ThrottleRun
from .overdue import record_duration
from .run_speed import FULL_PERCENT
from .runs import Job, Run, RunPhase, StopReason, Worker
from .state import short_name
from .throttling import (
    MIN_CHANGE_INTERVAL_SECONDS,
    highest_latency_ratio,
    throttle_changes,
)
from .worker_monitor import WorkerMonitor

# The most ends that a worker lists in one report; a full list may be incomplete.
MAX_ENDS_PER_REPORT = 500
# Ends that a worker may list before those of unreadable jobs are acknowledged.
MAX_HELD_ENDS = 400
# The confirmed runs of each task.
ConfirmedRuns = dict[TaskId, list[Run]]
# Ends that the task itself brought about, so that the worker has survived it.
_OWN_ENDS = frozenset({RunOutcome.DONE, RunOutcome.FAILED})


class ReportHandling(WorkerMonitor):
    """Reconciles workers' reports with the runs that were ordered."""

    def handle_report(
        self,
        worker: Worker,
        report: WorkerReport,
        sent_at: float,
        now: float,
        wall_ms: int,
    ) -> None:
        """Apply a worker's report; ``sent_at`` is when it was requested."""
        if self._is_of_unknown_process(worker, report, sent_at):
            return
        # The latest time at which an earlier process under this id may have ended.
        silent_since = worker.silent_since or worker.last_response_at or now
        if report.born_ms and worker.born_ms and report.born_ms != worker.born_ms:
            self._handle_restart(worker, report, now)
        if report.born_ms:
            worker.process.born_ms = report.born_ms
        if not report.complete:
            # Only its ends are certain. For everything else, the worker did not answer.
            self._handle_ends(worker, report.ended, now, wall_ms)
            self.acknowledge_stored_ends(worker, now)
            return
        if worker.last_response_at is None:
            self.mark_predecessors(worker)
        if worker.last_response_at is None or worker.poll_failed:
            self.services_to_plan.add(worker.entry.service)
        worker.last_response_at = now
        worker.silent_since = None
        self.end_cordon(worker)
        worker.successor_service = None
        worker.process.read_clock(report.clock_ms, sent_at, now)
        worker.expired = False
        worker.process.listed_ends = len(report.ended)
        self._handle_ends(worker, report.ended, now, wall_ms)
        listed = set()
        for row in report.running:
            listed.add((row.task, row.number))
            self._handle_running(worker, row, now)
        if len(report.ended) < MAX_ENDS_PER_REPORT:
            missing = self._discard_missing(worker, listed, sent_at, now)
            self._attribute_restart(worker, missing, silent_since, now, wall_ms)
        self.clear_survivors(worker)
        self._throttle_best_effort_runs(worker, now)
        self.acknowledge_stored_ends(worker, now)

    def _is_of_unknown_process(
        self, worker: Worker, report: WorkerReport, sent_at: float
    ) -> bool:
        """Return whether a report may not be of the worker's present process.

        It was overtaken by one of a later process, or does not name its process any
        more. The numbers of its ends would acknowledge ends of another process.
        """
        if not report.born_ms:
            return worker.reports_born
        worker.reports_born = True
        return report.born_ms != worker.born_ms and sent_at <= worker.process.found_at

    def _handle_restart(self, worker: Worker, report: WorkerReport, now: float) -> None:
        """Reset the report state of a worker that restarted under the same id.

        Its earlier runs are found missing from the new report. A start that is under
        way may still reach the new process until that refuses the token of the start,
        so no run is discarded here.
        """
        former = worker.process
        log_event(
            Event.WORKER_RESTARTED, worker=worker.worker_id, vm=worker.entry.vm,
            born=report.born_ms, clock=report.clock_ms,
            former_clock=former.clock_now_ms(now) if former.clock_known else None,
            runs=len(worker.runs), youngest=youngest_runs(worker, now),
        )  # fmt: skip
        self.on_worker_lost(LossCause.RESTARTED, len(worker.runs))
        worker.process = former.successor(report.born_ms, now)
        for run in worker.runs.values():
            # The former process confirmed the stop, and the next one knows nothing.
            run.stop_confirmed_at, run.stop_sent_at = None, float("-inf")
        for advice in self.advice.values():
            # A ticket holds for one process.
            advice.tickets.pop(worker.worker_id, None)
        self.outbox.append(RaiseToken(worker.worker_id))

    def _handle_ends(
        self, worker: Worker, ended: Iterable[EndedTask], now: float, wall_ms: int
    ) -> None:
        groups: list[EndGroup] = []
        for end in ended:
            if end.sequence <= worker.process.last_seen_sequence:
                continue
            worker.process.last_seen_sequence = end.sequence
            self._handle_end(worker, end, now, wall_ms)
            job = self.jobs.get(end.task.job)
            group = EndGroup(
                end.sequence, 1, now, {end.task.job: job.version if job else 0}
            )
            if job is not None and self._record_if_open(job, end, now):
                group.held_for = end.task
                group.is_gang = lifecycle.step_of(job, end.task).gang
                groups.append(group)
            elif groups and groups[-1].held_for is None:
                groups[-1].extend(group)
            else:
                groups.append(group)
        for group in groups:
            self.acknowledgements.add_group(worker.process.ends, group)
            self.workers_with_unstored_ends.add(worker.worker_id)

    def _record_if_open(self, job: Job, end: EndedTask, now: float) -> bool:
        """Record for a successor that a late start may follow the last end of a task.

        Returns whether one may.
        """
        is_last = end.outcome is RunOutcome.DONE or (
            end.outcome is RunOutcome.FAILED and job.is_final
        )
        if not is_last or not self._has_task(job, end.task):
            return False
        step = lifecycle.step_of(job, end.task)
        if step.allows_duplicates or step.long_running:
            return False
        open_starts = self.acknowledgements.open_starts
        if not open_starts.is_open(end.task, now, in_gang=step.gang):
            return False
        open_tasks = open_starts.of_job(job.job_id, now)
        lifecycle.record_open_start(job, end.task, open_tasks)
        log_event(
            Event.RUN_END_HELD, job=end.task.job, task=short_name(end.task),
            run=end.number,
        )  # fmt: skip
        return True

    @staticmethod
    def _has_task(job: Job, task: TaskId) -> bool:
        return job.accepted.spec.has_task(task.occurrence, task.step, task.position)

    def _handle_end(
        self, worker: Worker, end: EndedTask, now: float, wall_ms: int
    ) -> None:
        """Apply a run's end."""
        run = worker.runs.get((end.task, end.number))
        if run is not None:
            self.release_run(run, worker)
            if run.answer_pending and not run.step.allows_duplicates:
                self.acknowledgements.open_starts.await_answer(run.task, now)
            if run.probation_seconds is not None and end.outcome in _OWN_ENDS:
                self.clear_suspect(run, worker)
        job = self.jobs.get(end.task.job)
        if job is None:
            log_event(
                Event.RUN_END_UNKNOWN, job=end.task.job, task=short_name(end.task),
                run=end.number, worker=worker.worker_id, how=end.outcome.value,
                jobs=len(self.jobs),
            )  # fmt: skip
            return
        log_event(
            Event.RUN_ENDED, job=end.task.job, task=short_name(end.task),
            run=end.number, worker=worker.worker_id, how=end.outcome.value,
            after=round(now - run.planned_at, 3) if run else None,
        )  # fmt: skip
        if job.is_final:
            return
        if end.outcome is not RunOutcome.STOPPED:
            self.note_begin(job)
        if not lifecycle.is_current(job, end.task, end.number):
            if end.outcome is RunOutcome.DONE:
                self._handle_late_completion(job, end, now, wall_ms)
            return
        step = lifecycle.step_of(job, end.task)
        self._update_health(worker, end, run, step, now)
        if end.outcome is not RunOutcome.DONE or step.long_running:
            self.record_late_start(job, end.task)
        if end.outcome is RunOutcome.DONE and not step.long_running:
            lifecycle.record_done(job, end.task, wall_ms)
        elif end.outcome is RunOutcome.FAILED and not step.long_running:
            job.workers_to_avoid.setdefault(end.task, set()).add(worker.worker_id)
            attempts = self._max_attempts(job)
            lifecycle.record_failure(job, end.task, attempts, wall_ms)
        else:
            if end.outcome is RunOutcome.FAILED:
                job.workers_to_avoid.setdefault(end.task, set()).add(worker.worker_id)
            checkpoint = "" if end.outcome is RunOutcome.FAILED else end.checkpoint
            lifecycle.clear_run(job, end.task, checkpoint)
        self.mark_dirty(job)
        if job.is_final:
            self.close_job(job, now, StopReason.JOB_ENDED)

    def _handle_late_completion(
        self, job: Job, end: EndedTask, now: float, wall_ms: int
    ) -> None:
        """Record the completion of a run that was taken for lost.

        Its task must not start again, so a later run of it is stopped.
        """
        if not lifecycle.is_completable(job, end.task, end.number):
            return
        later_run = lifecycle.current_run(job, end.task)
        lifecycle.record_done(job, end.task, wall_ms)
        self.mark_dirty(job)
        if job.is_final:
            self.close_job(job, now, StopReason.JOB_ENDED)
        worker = self.workers.get(later_run.worker) if later_run else None
        if later_run is None or worker is None:
            return
        run = worker.runs.get((end.task, later_run.number))
        if run is not None:
            self.stop_run(run, StopReason.TASK_DONE, now)

    def _max_attempts(self, job: Job) -> int:
        queue = self.queues.get(job.queue)
        return queue.max_attempts if queue else job.accepted.max_attempts

    def _update_health(
        self,
        worker: Worker,
        end: EndedTask,
        run: Run | None,
        step: StepSpec,
        now: float,
    ) -> None:
        """Update the worker's health with the outcome of a run."""
        if step.long_running:
            return
        if end.outcome is RunOutcome.DONE:
            if run is not None and not run.inherited:
                seconds = now - (run.confirmed_at or run.planned_at)
                record_duration(self.jobs[end.task.job], run, seconds)
                estimate = step.estimate_ms / 1000
                worker.process.health.count_success(
                    end.task.job, seconds, estimate, self.fleet_slowdown
                )
                self._check_slowdown(worker, now)
        elif end.outcome is RunOutcome.FAILED and worker.process.health.count_failure(
            end.task.job, now
        ):
            self.log_quarantine(worker, "failures")

    def _check_slowdown(self, worker: Worker, now: float) -> None:
        """Quarantine a slow worker; its speed is measured anew afterwards."""
        if worker.process.health.is_slow(self.fleet_slowdown):
            worker.process.health.quarantine(now)
            worker.process.health.reset_slowdown()
            self.log_quarantine(worker, "slow")

    def _handle_running(self, worker: Worker, row: RunningTask, now: float) -> None:
        run = worker.runs.get((row.task, row.number))
        if run is None:
            run = self._track_unrecorded_run(worker, row, now)
        if run.phase is not RunPhase.CONFIRMED:
            run.phase = RunPhase.CONFIRMED
            run.confirmed_at = now
            run.progress_changed_at = now
            self.end_start(run, worker)
            self.note_begin(self.jobs.get(row.task.job))
        if run.born_ms != worker.born_ms:
            # A late start; the process runs it at full speed.
            run.born_ms, run.speed.percent = worker.born_ms, FULL_PERCENT
        job = self.jobs.get(row.task.job)
        if job is not None and lifecycle.note_crash(job, run, counted=False):
            # The next process has started it, which may crash as well.
            self.mark_dirty(job)
        if row.percent == run.progress_percent:
            run.unchanged_until = now
        else:
            if job is not None:
                lifecycle.note_progress_interval(job, run)
            run.progress_percent = row.percent
            run.progress_changed_at = now
        run.checkpoint = row.checkpoint or run.checkpoint
        run.usage = row.usage
        if job is None:
            if self.may_stop_runs_of(row.task.job):
                self.stop_run(run, StopReason.JOB_ENDED, now)
        elif job.is_final:
            self.stop_run(run, StopReason.JOB_ENDED, now)
        elif not lifecycle.is_current(job, row.task, row.number):
            self.stop_run(run, StopReason.UNKNOWN_RUN, now)

    def _track_unrecorded_run(
        self, worker: Worker, row: RunningTask, now: float
    ) -> Run:
        """Track a run that no record contains, so that its capacity stays reserved."""
        job = self.jobs.get(row.task.job)
        self.note_begin(job)
        unreadable = self.unreadable_jobs.get(row.task.job)
        spec = job.accepted.spec if job else unreadable and unreadable.spec
        steps = spec.steps if spec else ()
        if row.task.step < len(steps):
            step = steps[row.task.step]
        else:
            step = StepSpec(1, Resources())
        reserved = step.reserved
        if not steps and not self.is_removed(row.task.job):
            # What the run needs is not known, so nothing else starts beside it.
            reserved = worker.entry.capacity
        run = Run(
            row.task, row.number, worker.worker_id, worker.born_ms, reserved,
            step, RunPhase.CONFIRMED, planned_at=now, confirmed_at=now,
        )  # fmt: skip
        if step.uses_spare_cpu:
            run.speed.repeat_at = now
        self.reserve_for_run(run, worker)
        return run

    def _attribute_restart(
        self,
        worker: Worker,
        missing: Iterable[Run],
        silent_since: float,
        now: float,
        wall_ms: int,
    ) -> None:
        """Attribute the crash of an earlier process under this id, if there was one."""
        lost = [
            run
            for run in missing
            if run.born_ms not in (0, worker.born_ms) and not run.crash_attributed
        ]
        if lost and is_crash(LossCause.RESTARTED, worker, lost[0].born_ms):
            aged = [
                LostRun(run, silent_since - (run.confirmed_at or run.planned_at))
                for run in lost
            ]
            self.attribute_crash(aged, now, wall_ms)

    def _discard_missing(
        self,
        worker: Worker,
        listed: set[tuple[TaskId, int]],
        sent_at: float,
        now: float,
    ) -> list[Run]:
        """Discard runs that certainly do not exist, and stop those that may yet start.

        Returns the discarded runs.

        A missing run is gone if the report was requested after the run or its stop was
        confirmed. It is gone in any case if the process refuses its start by now: it
        was sent by an earlier leader, or to an earlier process under the id.
        """
        missing: list[Run] = []
        confirmed: dict[JobId, ConfirmedRuns] = {}
        for key, run in list(worker.runs.items()):
            if key in listed or run.phase in (RunPhase.PLANNED, RunPhase.ORDERED):
                continue
            refused = worker.process.refuses_token(run.token, sent_at)
            if run.phase is RunPhase.CONFIRMED:
                is_gone = run.confirmed_at < sent_at and (
                    refused
                    or run.born_ms == worker.born_ms
                    or not run.may_start_late(now, worker.process)
                )
            else:
                stop_confirmed = (
                    run.stop_confirmed_at is not None
                    and run.stop_confirmed_at < sent_at
                )
                is_gone = run.inherited or refused or stop_confirmed
            if is_gone and not self._is_run_beside(run, confirmed):
                log_event(
                    Event.RUN_LOST, job=run.task.job, task=short_name(run.task),
                    run=run.number, worker=worker.worker_id, phase=run.phase.value,
                )  # fmt: skip
                missing.append(run)
                self.discard_run(run, worker)
            elif run.phase is RunPhase.UNCERTAIN and run.report_requested:
                if self._may_repeat_start(run, worker, now):
                    log_event(
                        Event.RUN_START_REPEATED, job=run.task.job,
                        task=short_name(run.task), run=run.number,
                        worker=worker.worker_id,
                    )  # fmt: skip
                    self.order_start(run, worker)
                else:
                    self.stop_run(run, StopReason.UNANSWERED, now)
        return missing

    def _may_repeat_start(self, run: Run, worker: Worker, now: float) -> bool:
        """Return whether a start without an answer is sent to its process again.

        The process answers the repetition even if it has carried out the start by then,
        so nothing needs to be stopped, and no other worker starts the task.
        """
        return (
            run.stop_reason is None
            and run.token == worker.process.token
            and run.task.job in self.active
            and lifecycle.is_current(self.active[run.task.job], run.task, run.number)
            and self.is_eligible(worker, now)
            and not worker.is_overcommitted
            and self.workspaces.may_order(run)
        )

    def _is_run_beside(self, run: Run, confirmed: dict[JobId, ConfirmedRuns]) -> bool:
        """Return whether a worker lists another run of the task.

        A next process may have carried out an earlier start late. The task must not
        start again before that run has been stopped. ``confirmed`` keeps the confirmed
        runs of each job for all runs of one report.
        """
        job_id = run.task.job
        runs = confirmed.get(job_id)
        if runs is None:
            runs = confirmed[job_id] = self._confirmed_runs(job_id)
        return any(other is not run for other in runs.get(run.task, ()))

    def _confirmed_runs(self, job_id: JobId) -> "ConfirmedRuns":
        """Return the confirmed runs of each task of a job."""
        runs: ConfirmedRuns = {}
        for worker_id in self.workers_of_job.get(job_id, ()):
            worker = self.workers.get(worker_id)
            for run in worker.runs.values() if worker is not None else ():
                if run.task.job == job_id and run.phase is RunPhase.CONFIRMED:
                    runs.setdefault(run.task, []).append(run)
        return runs

    def _throttle_best_effort_runs(self, worker: Worker, now: float) -> None:
        """Adapt the speed of best-effort runs to the latency of serving tasks."""
        if now - worker.process.throttled_at < MIN_CHANGE_INTERVAL_SECONDS:
            return
        for run, percent in throttle_changes(worker, now):
            worker.process.throttled_at = now
            run.speed.order(percent)
            log_event(
                Event.RUN_THROTTLED,
                job=run.task.job,
                task=short_name(run.task),
                worker=worker.worker_id,
                percent=percent,
                load=round(highest_latency_ratio(worker), 2),
            )
            order = ThrottleRun(worker.worker_id, run.task, run.number, percent)
            self.outbox.append(order)

    def acknowledge_stored_ends(self, worker: Worker, now: float) -> None:
        """Advance the acknowledged sequence over ends whose records are stored.

        It stops at an end that may still be followed by a late start of its task.
        """
        process = worker.process
        last = self.acknowledgements.last_acknowledged(
            process.ends, partial(self._is_stored, worker), process.listed_ends, now
        )
        process.acknowledged_sequence = max(process.acknowledged_sequence, last)
        if not process.ends.unstored:
            self.workers_with_unstored_ends.discard(worker.worker_id)

    def _is_stored(self, worker: Worker, job_id: JobId, version: int) -> bool:
        """Return whether a version of a job's record is stored, or has been removed.

        The worker forgets an end once it is acknowledged. An end of a job that is not
        loaded must therefore stay on the worker for a leader that knows the job. An
        unreadable job gives way before the worker's list is full, since ends of other
        jobs would not be listed any more.
        """
        job = self.jobs.get(job_id)
        if job is None:
            holds_up_others = worker.process.listed_ends > MAX_HELD_ENDS
            return self.is_removed(job_id) or (
                holds_up_others and job_id in self.unreadable_jobs
            )
        return job.stored_version >= version
