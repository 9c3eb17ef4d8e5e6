"""Discards the runs of lost workers, and holds back tasks that crash their workers."""

from collections.abc import Iterable

from ..events import Event, log_event
from ..ids import TaskId
from ..jobs.records import JobState
from . import lifecycle
from .crashes import (
    Crash,
    LostRun,
    evidence_of,
    examine_crash,
    has_survived_probation,
    is_crash,
    must_be_given_up,
    suspects_of,
)
from .intake import JobIntake
from .late_starts import is_down_for_good
from .losses import LossCause, run_age, started_runs, youngest_runs
from .runs import Run, StopReason, Worker
from .state import short_name


class CrashAttribution(JobIntake):
    """Finds the tasks that crash their workers, and clears those that do not."""

    def expire_worker(
        self,
        worker: Worker,
        cause: LossCause,
        now: float,
        wall_ms: int,
        listed_at: float = float("-inf"),
    ) -> None:
        """Discard the runs of a worker whose lease has ended or whose VM is gone.

        Kept are the runs that the next process under the worker's id may still start.
        ``listed_at`` is when the list of VMs was requested that shows the loss.
        """
        worker.expired = True
        kept = self._runs_that_may_start(worker, cause, now, listed_at)
        log_event(
            Event.WORKER_EXPIRED, worker=worker.worker_id, vm=worker.entry.vm,
            cause=cause.value, runs=len(worker.runs), kept=len(kept),
            lease=worker.process.lease_end_ms - worker.process.clock_ms,
            last_report=round(now - worker.process.clock_read_at, 3),
            youngest=youngest_runs(worker, now),
        )  # fmt: skip
        self.on_worker_lost(cause, len(worker.runs))
        lost = [
            LostRun(run, run_age(run, worker, now))
            for run in started_runs(worker)
            if not run.crash_attributed
        ]
        for run in list(worker.runs.values()):
            if run not in kept:
                self.late_starts.remove_from(worker.worker_id, run.task)
                self.discard_run(run, worker)
        if is_crash(cause, worker, worker.born_ms):
            for run in kept:
                job = self.active.get(run.task.job)
                if job is not None and lifecycle.note_crash(job, run, counted=True):
                    self.mark_dirty(job)
            self.attribute_crash(lost, now, wall_ms)

    def _runs_that_may_start(
        self, worker: Worker, cause: LossCause | None, now: float, listed_at: float
    ) -> set[Run]:
        """Return the runs of a lost worker that a next process may still start."""
        if cause is not None and not cause.id_may_return:
            return set()
        is_down = cause is LossCause.VM_DOWN
        return {
            run
            for run in worker.runs.values()
            if not run.step.allows_duplicates
            and run.may_start_late(now, worker.process)
            and not (
                is_down
                and run.unanswered_at is not None
                and is_down_for_good(run.unanswered_at, listed_at)
            )
        }

    def discard_kept_runs(
        self,
        worker: Worker,
        cause: LossCause | None,
        now: float,
        listed_at: float = float("-inf"),
    ) -> None:
        """Discard the kept runs of a lost worker that do not have to wait any more.

        ``cause`` is what is known of the worker now, None if nothing is; ``listed_at``
        is as for ``expire_worker``.
        """
        kept = self._runs_that_may_start(worker, cause, now, listed_at)
        for run in [run for run in worker.runs.values() if run not in kept]:
            log_event(
                Event.RUN_LOST, job=run.task.job, task=short_name(run.task),
                run=run.number, worker=worker.worker_id, phase=run.phase.value,
            )  # fmt: skip
            self.late_starts.remove_from(worker.worker_id, run.task)
            self.discard_run(run, worker)

    def attribute_crash(
        self, lost: Iterable[LostRun], now: float, wall_ms: int
    ) -> None:
        """Record the suspects of a crash; give up or delay the task that caused it."""
        lost = [item for item in lost if self._is_active(item.run)]
        cause = self._find_cause(lost)
        if cause is not None and cause.run.step.long_running:
            self._delay(cause, now)
            return
        if cause is not None:
            self._give_up(cause.run, now, wall_ms)
            return
        crash = examine_crash(lost)
        if crash.evidence:
            self.crashes.append(crash)
            self._record_evidence(crash)

    def _is_active(self, run: Run) -> bool:
        return run.task.job in self.active

    def _find_cause(self, lost: list[LostRun]) -> LostRun | None:
        """Return the run that has crashed its worker for the last time, if it is sure.

        It must have been started alone. The members of a gang may share a worker, since
        they are given up together.
        """
        suspects = suspects_of(lost)
        if len(suspects) > 1 and not _are_of_one_gang(suspects):
            return None
        for item in suspects:
            run = item.run
            progress = lifecycle.step_progress_of(self.jobs[run.task.job], run.task)
            if run.probation_seconds is None or progress is None:
                continue
            if must_be_given_up(progress, run.task.position, evidence_of(item)):
                return item
        return None

    def _record_evidence(self, crash: Crash) -> None:
        for task, evidence in crash.evidence.items():
            job = self.active.get(task.job)
            if job is None:
                continue
            lifecycle.add_crash_evidence(job, task, evidence)
            self.mark_dirty(job)
            log_event(
                Event.TASK_SUSPECTED, job=task.job, task=short_name(task),
                evidence=evidence.at_start, late=evidence.late,
            )  # fmt: skip

    def _give_up(self, run: Run, now: float, wall_ms: int) -> None:
        """Fail the job of a run that crashes its workers; clear those it explains."""
        job = self.jobs[run.task.job]
        log_event(
            Event.JOB_GIVEN_UP, job=run.task.job, task=short_name(run.task),
            run=run.number, worker=run.worker,
        )  # fmt: skip
        self.on_job_given_up(job.queue)
        self.finish_job(job, JobState.FAILED, StopReason.JOB_ENDED, now, wall_ms)
        self._clear_explained(run.task)

    def _delay(self, cause: LostRun, now: float) -> None:
        """Delay a long-running task that crashes its workers."""
        run, job = cause.run, self.jobs[cause.run.task.job]
        lifecycle.add_crash_evidence(job, run.task, evidence_of(cause))
        self.mark_dirty(job)
        self.delay_start(job, run.task, now)
        self.on_task_delayed(job.queue)
        self._clear_explained(run.task)

    def _clear_explained(self, cause: TaskId) -> None:
        """Withdraw the evidence of the crashes that a task explains."""
        for crash in [c for c in self.crashes if cause in c.evidence]:
            self.crashes.remove(crash)
            self._withdraw(crash, cause)

    def _withdraw(self, crash: Crash, cause: TaskId) -> None:
        for task, evidence in crash.evidence.items():
            job = self.active.get(task.job)
            if job is None or task == cause:
                continue
            lifecycle.withdraw_crash_evidence(job, task, evidence)
            self.mark_dirty(job)
            log_event(
                Event.SUSPICION_ENDED, job=task.job, task=short_name(task),
                cause="explained",
            )  # fmt: skip

    def clear_survivors(self, worker: Worker) -> None:
        """Clear the suspected tasks that the worker has survived."""
        for run in list(worker.isolated_runs.values()):
            if has_survived_probation(run, worker):
                self.clear_suspect(run, worker)

    def clear_suspect(self, run: Run, worker: Worker) -> None:
        """Drop the evidence against a task, since the worker has survived its run."""
        worker.isolated_runs.pop(run.key, None)
        run.probation_seconds = None
        self.crash_delays.until.pop(run.task, None)
        for crash in self.crashes:
            if crash.evidence.pop(run.task, None) and not crash.evidence:
                crash.evidence, crash.deferred = crash.deferred, {}
                self._record_evidence(crash)
        job = self.active.get(run.task.job)
        if job is None or not lifecycle.clear_crash_evidence(job, run.task):
            return
        self.mark_dirty(job)
        log_event(
            Event.SUSPICION_ENDED, job=run.task.job, task=short_name(run.task),
            cause="survived",
        )  # fmt: skip


def _are_of_one_gang(items: Iterable[LostRun]) -> bool:
    runs = [item.run for item in items]
    return all(run.step.gang for run in runs) and len({r.task[:3] for r in runs}) == 1
