"""Scheduler of all services: jobs, workers and the runs that connect them.

The class is driven with events and a time; it returns orders through ``outbox`` and
names the jobs whose records must be stored in ``dirty``. A start is ordered only once
the record that contains it is stored, so that a successor knows every run that may
exist.
"""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass

from ..configuration import Configuration, Queue
from ..events import Event, log_event
from ..fleet.demand import ArrivalMeter, Demand
from ..fleet.model import Vm, VmState
from ..fleet.planner import VmLoad
from ..ids import JobId, PoolName, QueueName, ServiceName, TaskId, VmId, WorkerId
from ..jobs.model import AcceptedJob, Resources, StepSpec
from ..jobs.records import JobState, ProgressRecord
from . import lifecycle
from .health import Pace, WorkerHealth, is_stuck
from .model import (
    EndedTask,
    EndKind,
    OrderFailure,
    RunningTask,
    WorkerEntry,
    WorkerReport,
)
from .orders import LookAtWorker, Order, PaceRun, StartRun, StopRun
from .pacing import CHANGE_SECONDS, paces, worst_load
from .placement import StepNeeds, allows, choose_gang_workers, choose_worker
from .priority import urgency
from .runs import Job, Run, RunPhase, StopReason, Worker

# Seconds without an answer after which a worker gets no new tasks. Holds are long
# polls of one second.
CONTACT_LIMIT_SECONDS = 1.8
# Seconds until an unconfirmed stop is ordered again.
STOP_REPEAT_SECONDS = 0.6
# Seconds without new tasks for a worker that refused one.
REFUSAL_PAUSE_SECONDS = 0.5
# A worker returns this many ends at once at most; a full list may hide others.
ENDS_PER_REPORT = 500
# Seconds in which tasks that wait for a worker are to be worked off.
BACKLOG_SECONDS = 1.0


StepKey = tuple[JobId, int, int]


@dataclass(frozen=True, slots=True)
class Advice:
    """Workers that may run a step, with their tickets; times are monotonic seconds."""

    tickets: dict[WorkerId, str]
    expires_at: float

    def is_useless(self, workers: Iterable[Worker], now: float) -> bool:
        """Return whether it has expired or names no worker that takes tasks."""
        if now >= self.expires_at:
            return True
        return not any(worker.worker_id in self.tickets for worker in workers)


class Scheduler:
    """Owns jobs, workers and runs; one task drives it."""

    def __init__(self) -> None:
        # Also queues that were dropped, since their jobs go on.
        self.queues: dict[QueueName, Queue] = {}
        self.jobs: dict[JobId, Job] = {}
        self.active: dict[JobId, Job] = {}
        self.workers: dict[WorkerId, Worker] = {}
        self.dirty: dict[JobId, Job] = {}
        self.outbox: deque[Order] = deque()
        # Runs whose record is not yet stored.
        self.planned: list[Run] = []
        # Until then leases of earlier leaders may hold on workers that do not answer.
        self.inherited_leases_until = 0.0
        # What the advisor said of each step, and the steps to ask it about.
        self.advice: dict[StepKey, Advice] = {}
        self.steps_without_advice: dict[StepKey, QueueName] = {}
        # How long tasks take against their estimates, on all workers.
        self.usual_pace = Pace()
        self.arrivals: dict[ServiceName, ArrivalMeter] = {}

    # Configuration and jobs

    def configure(self, configuration: Configuration) -> None:
        """Take over a newer configuration."""
        self.queues.update(configuration.queues)

    def load(
        self,
        accepted: AcceptedJob,
        progress: ProgressRecord | None,
        cancelled: bool,
        now: float,
        wall_ms: int,
    ) -> None:
        """Add a job from its records, with the runs that an earlier leader ordered."""
        if accepted.job in self.jobs:
            if cancelled:
                self.cancel(accepted.job, now, wall_ms)
            return
        queue = self.queues.get(accepted.queue)
        age = max(0.0, (wall_ms - accepted.accepted_ms) / 1000)
        job = Job(
            accepted=accepted,
            progress=progress or ProgressRecord(),
            queue=accepted.queue,
            service=queue.service if queue else accepted.service,
            arrived_at=now - min(age, 60.0),
        )
        self.jobs[accepted.job] = job
        if job.final:
            return
        job.next_due = job.progress.next_occurrence
        self.active[accepted.job] = job
        if not accepted.spec.long_running:
            meter = self.arrivals.setdefault(self.service_of(job), ArrivalMeter())
            work = sum(step.core_seconds for step in accepted.spec.steps)
            meter.add(job.arrived_at, work)
        for number, steps in job.progress.occurrences.items():
            if steps:
                self._adopt_runs(job, number, now)
                lifecycle.refresh_pending(job, number)
        lifecycle.activate_due(job, wall_ms)
        if cancelled:
            self.cancel(accepted.job, now, wall_ms)

    def _adopt_runs(self, job: Job, occurrence: int, now: float) -> None:
        """Track the runs of a record until their workers tell what became of them."""
        for step_number, state in enumerate(job.progress.occurrences[occurrence]):
            step = job.accepted.spec.steps[step_number]
            for index, record in state.runs.items():
                task = TaskId(job.job_id, occurrence, step_number, index)
                run = Run(
                    task, record.number, record.worker, record.born_ms, step.reserved,
                    step, RunPhase.UNCERTAIN, inherited=True, planned_at=now,
                    checkpoint=record.checkpoint,
                )  # fmt: skip
                self._worker_of_record(run, job).add(run)

    def _worker_of_record(self, run: Run, job: Job) -> Worker:
        """Return the worker of an inherited run, also if the store lost its entry."""
        worker = self.workers.get(run.worker)
        if worker is None:
            entry = WorkerEntry(
                worker=run.worker, service=job.service, address="", zone="", labels=(),
                rack=job.accepted.spec.steps[0].data_rack, capacity=Resources(),
                draining=True, leaves_in=None, born_ms=run.born_ms, vm="",  # type: ignore[arg-type]
            )  # fmt: skip
            worker = Worker(entry, born_ms=run.born_ms, departed=True)
            self.workers[run.worker] = worker
        return worker

    def cancel(self, job_id: JobId, now: float, wall_ms: int) -> None:
        """End a job and stop its runs."""
        job = self.jobs.get(job_id)
        if job is None or job.final or job.cancelled:
            return
        job.cancelled = True
        self._finish(job, JobState.CANCELLED, StopReason.CANCELLED, now, wall_ms)

    def _finish(
        self, job: Job, state: JobState, reason: StopReason, now: float, wall_ms: int
    ) -> None:
        if not job.final:
            lifecycle.finish(job, state, wall_ms)
        self._close(job, now, reason)

    def _close(self, job: Job, now: float, reason: StopReason) -> None:
        """Clean up after a job that has its final state."""
        self.active.pop(job.job_id, None)
        self._mark_dirty(job)
        for key in [k for k in self.advice if k[0] == job.job_id]:
            del self.advice[key]
        for key in [k for k in self.steps_without_advice if k[0] == job.job_id]:
            del self.steps_without_advice[key]
        log_event(
            Event.JOB_ENDED,
            job=job.job_id,
            state=job.progress.state.name.lower(),
            after=round(now - job.arrived_at, 3),
        )
        for worker in self.workers.values():
            for run in list(worker.runs.values()):
                if run.task.job == job.job_id:
                    self._stop(run, reason, now)

    def forget(self, job_id: JobId) -> None:
        """Drop a finished job whose records were removed."""
        self.jobs.pop(job_id, None)
        self.dirty.pop(job_id, None)

    def _mark_dirty(self, job: Job) -> None:
        self.dirty[job.job_id] = job

    # Records in the store

    def stored(self, job: Job, version: int) -> None:
        """Note that a version of the job's record is stored."""
        job.stored_version = max(job.stored_version, version)
        if job.stored_version >= job.version:
            self.dirty.pop(job.job_id, None)

    def release_starts(self, now: float) -> None:
        """Order the starts whose records are stored."""
        waiting: list[Run] = []
        for run in self.planned:
            job = self.jobs.get(run.task.job)
            worker = self.workers.get(run.worker)
            if job is None or worker is None or run.key not in worker.runs:
                continue
            if run.stop is not None:
                worker.remove(run)
                continue
            if job.stored_version < run.job_version:
                waiting.append(run)
                continue
            run.phase = RunPhase.ORDERED
            key = (run.task.job, run.task.occurrence, run.task.step)
            advice = self.advice.get(key)
            ticket = advice.tickets.get(run.worker, "") if advice else ""
            self.outbox.append(StartRun(run, ticket))
        self.planned = waiting

    def advance_acknowledgements(self, worker: Worker) -> None:
        """Acknowledge the ends whose records are stored."""
        while worker.unstored_ends:
            sequence, versions = worker.unstored_ends[0]
            for job_id, version in versions.items():
                job = self.jobs.get(job_id)
                if job is not None and job.stored_version < version:
                    return
            worker.acknowledged = sequence
            worker.unstored_ends.pop(0)

    # Workers

    def see_worker(self, entry: WorkerEntry, now: float) -> None:
        """Take over what a worker says of itself in the store."""
        worker = self.workers.get(entry.worker)
        if worker is None:
            worker = Worker(entry, born_ms=entry.born_ms, found_at=now)
            self.workers[entry.worker] = worker
            log_event(
                Event.WORKER_FOUND, worker=entry.worker, service=entry.service,
                address=entry.address, rack=entry.rack, draining=entry.draining,
            )  # fmt: skip
        if entry.draining and not worker.entry.draining:
            log_event(
                Event.WORKER_DRAINS, worker=entry.worker, leaves_in=entry.leaves_in
            )
        if entry.leaves_in is not None:
            worker.leaves_at = now + entry.leaves_in
        worker.entry = entry
        worker.departed = False

    def lose_worker(self, worker_id: WorkerId) -> None:
        """Note that the store has no entry of the worker any more.

        Its runs may go on until its lease ends, since it may only be cut off from the
        store.
        """
        worker = self.workers.get(worker_id)
        if worker is not None and not worker.departed:
            worker.departed = True
            log_event(Event.WORKER_GONE, worker=worker_id, runs=len(worker.runs))

    def see_vms(self, vms: Iterable[Vm], now: float) -> None:
        """Give up the runs of silent workers whose life the cloud's list denies.

        A VM that moves, has its upkeep, is down or is not listed any more has ended
        everything that ran on it.
        """
        by_id = {vm.vm: vm for vm in vms}
        for worker in self.silent_workers(now):
            vm = by_id.get(worker.entry.vm)
            alive = vm is not None and vm.state is VmState.UP
            if vm is not None and alive and vm.worker == worker.worker_id:
                continue
            state = vm.state.value if vm is not None else "gone"
            self._expire(worker, f"vm_{state}", now)

    def silent_workers(self, now: float) -> list[Worker]:
        """Return the workers with runs that do not answer.

        A worker that was found a moment ago may not have been asked yet.
        """
        return [
            worker
            for worker in self.workers.values()
            if worker.runs
            and not worker.expired
            and worker.entry.vm
            and now - worker.found_at > CONTACT_LIMIT_SECONDS
            and (worker.failing or not self.is_answering(worker, now))
        ]

    def _expire(self, worker: Worker, cause: str, now: float) -> None:
        worker.expired = True
        log_event(
            Event.WORKER_EXPIRED, worker=worker.worker_id, cause=cause,
            runs=len(worker.runs),
        )  # fmt: skip
        for run in list(worker.runs.values()):
            self._give_up(run, worker)

    def _give_up(self, run: Run, worker: Worker) -> None:
        """Forget a run that does not exist any more, and let its task start again."""
        worker.remove(run)
        job = self.jobs.get(run.task.job)
        if job is None or not lifecycle.is_current(job, run.task, run.number):
            return
        lifecycle.drop_run(job, run.task, run.checkpoint)
        self._mark_dirty(job)

    def is_answering(self, worker: Worker, now: float) -> bool:
        """Return whether the worker answered this leader a moment ago."""
        contact = worker.contact_at
        return contact is not None and now - contact < CONTACT_LIMIT_SECONDS

    def eligible(self, worker: Worker, now: float) -> bool:
        """Return whether the worker may get new tasks."""
        return (
            not worker.departed
            and not worker.entry.draining
            and not worker.cordoned
            and not worker.expired
            and self.is_answering(worker, now)
            and not worker.health.is_quarantined(now)
        )

    # Answers of workers

    def handle_report(
        self,
        worker: Worker,
        report: WorkerReport,
        sent_at: float,
        now: float,
        wall_ms: int,
    ) -> None:
        """Take over both lists of a worker; ``sent_at`` is when they were asked for."""
        if report.born_ms and worker.born_ms and report.born_ms != worker.born_ms:
            self._handle_rebirth(worker, report, now)
        if report.born_ms:
            worker.born_ms = report.born_ms
        worker.contact_at = now
        worker.failing = False
        worker.clock_ms, worker.clock_at = report.clock_ms, now
        worker.expired = False
        self._handle_ends(worker, report.ended, now, wall_ms)
        listed = set()
        for row in report.running:
            listed.add((row.task, row.number))
            self._handle_running(worker, row, now)
        if len(report.ended) < ENDS_PER_REPORT:
            self._handle_missing(worker, listed, sent_at, now)
        self._pace_fillers(worker, now)
        self.advance_acknowledgements(worker)

    def _pace_fillers(self, worker: Worker, now: float) -> None:
        """Slow down or speed up the tasks that fill what serving tasks leave."""
        if now - worker.paced_at < CHANGE_SECONDS:
            return
        for run, percent in paces(worker):
            worker.paced_at = now
            run.pace = percent
            log_event(
                Event.RUN_PACED,
                job=run.task.job,
                task=_short(run.task),
                worker=worker.worker_id,
                percent=percent,
                load=round(worst_load(worker), 2),
            )
            order = PaceRun(worker.worker_id, run.task, run.number, percent)
            self.outbox.append(order)

    def _handle_rebirth(self, worker: Worker, report: WorkerReport, now: float) -> None:
        """Forget what an earlier life under the same id listed.

        Its runs are missing from the new life's lists. A start that is under way may
        reach the new life, so it is not given up here.
        """
        log_event(
            Event.WORKER_REBORN, worker=worker.worker_id, born=report.born_ms,
            runs=len(worker.runs),
        )  # fmt: skip
        worker.seen_sequence = 0
        worker.acknowledged = 0
        worker.unstored_ends.clear()
        worker.lease_ms = 0
        worker.health = WorkerHealth()

    def _handle_ends(
        self, worker: Worker, ended: Iterable[EndedTask], now: float, wall_ms: int
    ) -> None:
        touched: dict[JobId, int] = {}
        last = 0
        for end in ended:
            if end.sequence <= worker.seen_sequence:
                continue
            worker.seen_sequence = last = end.sequence
            job = self._handle_end(worker, end, now, wall_ms)
            if job is not None:
                touched[job.job_id] = job.version
        if last:
            worker.unstored_ends.append((last, touched))

    def _handle_end(
        self, worker: Worker, end: EndedTask, now: float, wall_ms: int
    ) -> Job | None:
        """Apply one end; returns the job whose record must be stored."""
        run = worker.runs.get((end.task, end.number))
        if run is not None:
            worker.remove(run)
        job = self.jobs.get(end.task.job)
        if job is None:
            return None
        log_event(
            Event.RUN_ENDED, job=end.task.job, task=_short(end.task), run=end.number,
            worker=worker.worker_id, how=end.kind.value,
            after=round(now - run.planned_at, 3) if run else None,
        )  # fmt: skip
        if job.final or not lifecycle.is_current(job, end.task, end.number):
            return job if job.version > job.stored_version else None
        step = lifecycle.step_of(job, end.task)
        self._judge_worker(worker, end, run, step, now)
        if end.kind is EndKind.DONE and not step.long_running:
            lifecycle.record_done(job, end.task, wall_ms)
        elif end.kind is EndKind.FAILED and not step.long_running:
            job.avoid.setdefault(end.task, set()).add(worker.worker_id)
            attempts = self._max_attempts(job)
            lifecycle.record_failure(job, end.task, attempts, wall_ms)
        else:
            if end.kind is EndKind.FAILED:
                job.avoid.setdefault(end.task, set()).add(worker.worker_id)
            checkpoint = "" if end.kind is EndKind.FAILED else end.checkpoint
            lifecycle.drop_run(job, end.task, checkpoint)
        self._mark_dirty(job)
        if job.final:
            self._close(job, now, StopReason.JOB_ENDED)
        return job

    def _max_attempts(self, job: Job) -> int:
        queue = self.queues.get(job.queue)
        return queue.max_attempts if queue else job.accepted.max_attempts

    def _judge_worker(
        self,
        worker: Worker,
        end: EndedTask,
        run: Run | None,
        step: StepSpec,
        now: float,
    ) -> None:
        """Learn from an end how well the worker does."""
        if step.long_running:
            return
        if end.kind is EndKind.DONE:
            if run is not None and not run.inherited:
                seconds = now - (run.confirmed_at or run.planned_at)
                estimate = step.estimate_ms / 1000
                worker.health.note_success(
                    end.task.job, seconds, estimate, self.usual_pace
                )
                self._check_pace(worker, now)
        elif end.kind is EndKind.FAILED and worker.health.note_failure(
            end.task.job, now
        ):
            self._log_quarantine(worker, "failures")

    def _check_pace(self, worker: Worker, now: float) -> None:
        """Set a slow worker aside; its pace is learnt anew afterwards."""
        if worker.health.is_slow(self.usual_pace):
            worker.health.quarantine(now)
            worker.health.forget_pace()
            self._log_quarantine(worker, "slow")

    def _log_quarantine(self, worker: Worker, cause: str) -> None:
        log_event(Event.WORKER_QUARANTINED, worker=worker.worker_id, cause=cause)

    def _check_progress(self, run: Run, worker: Worker, now: float) -> None:
        """Stop a task that stands still, and set its worker aside.

        Only time for which the worker was heard counts.
        """
        heard_at = worker.contact_at
        if heard_at is None or run.phase is not RunPhase.CONFIRMED or run.pace < 100:
            return
        if is_stuck(max(run.percent_changed_at, run.confirmed_at), heard_at):
            job = self.jobs.get(run.task.job)
            if job is not None and not job.final:
                job.avoid.setdefault(run.task, set()).add(worker.worker_id)
            self._stop(run, StopReason.NO_PROGRESS, now)
            if not worker.health.is_quarantined(now):
                worker.health.quarantine(now)
                self._log_quarantine(worker, "no_progress")

    def _handle_running(self, worker: Worker, row: RunningTask, now: float) -> None:
        run = worker.runs.get((row.task, row.number))
        if run is None:
            run = self._track_unknown(worker, row, now)
        if run.phase is not RunPhase.CONFIRMED:
            run.phase = RunPhase.CONFIRMED
            run.confirmed_at = now
            run.percent_changed_at = now
        if row.percent != run.percent:
            run.percent = row.percent
            run.percent_changed_at = now
        run.checkpoint = row.checkpoint or run.checkpoint
        run.usage = row.usage
        job = self.jobs.get(row.task.job)
        if job is None or job.final:
            self._stop(run, StopReason.JOB_ENDED, now)
        elif not lifecycle.is_current(job, row.task, row.number):
            self._stop(run, StopReason.UNKNOWN_RUN, now)

    def _track_unknown(self, worker: Worker, row: RunningTask, now: float) -> Run:
        """Count a run that no record names, so that its capacity is not given out."""
        job = self.jobs.get(row.task.job)
        steps = job.accepted.spec.steps if job else ()
        if row.task.step < len(steps):
            step = steps[row.task.step]
        else:
            step = StepSpec(1, Resources())
        run = Run(
            row.task, row.number, worker.worker_id, worker.born_ms, step.reserved,
            step, RunPhase.CONFIRMED, planned_at=now, confirmed_at=now,
        )  # fmt: skip
        worker.add(run)
        return run

    def _handle_missing(
        self,
        worker: Worker,
        listed: set[tuple[TaskId, int]],
        sent_at: float,
        now: float,
    ) -> None:
        """Give up runs that are proved not to exist, and bar those that might start."""
        for key, run in list(worker.runs.items()):
            if key in listed or run.phase in (RunPhase.PLANNED, RunPhase.ORDERED):
                continue
            if run.phase is RunPhase.CONFIRMED:
                gone = run.confirmed_at < sent_at
            else:
                barred = run.barred_at is not None and run.barred_at < sent_at
                gone = run.inherited or barred
            if gone:
                log_event(
                    Event.RUN_LOST, job=run.task.job, task=_short(run.task),
                    run=run.number, worker=worker.worker_id, phase=run.phase.value,
                )  # fmt: skip
                self._give_up(run, worker)
            elif run.phase is RunPhase.UNCERTAIN and run.look_requested:
                self._stop(run, StopReason.UNANSWERED, now)

    def _stop(self, run: Run, reason: StopReason, now: float) -> None:
        """Order a stop, again after a while if it is not confirmed."""
        if run.stop is None:
            run.stop = reason
            log_event(
                Event.RUN_STOPPED, job=run.task.job, task=_short(run.task),
                run=run.number, worker=run.worker, reason=reason.value,
            )  # fmt: skip
        if run.phase is RunPhase.PLANNED:
            worker = self.workers[run.worker]
            worker.remove(run)
            return
        if run.barred_at is None and now - run.stop_sent_at >= STOP_REPEAT_SECONDS:
            run.stop_sent_at = now
            self.outbox.append(StopRun(run.worker, run.task, run.number))

    def handle_start_result(
        self, run: Run, failure: OrderFailure | None, now: float
    ) -> None:
        """Apply the answer to a start; None means that the run is there."""
        worker = self.workers.get(run.worker)
        if worker is None or run.key not in worker.runs:
            return
        if run.phase is not RunPhase.ORDERED:
            return
        if failure is None:
            run.phase = RunPhase.CONFIRMED
            run.confirmed_at = run.percent_changed_at = now
            worker.contact_at = max(worker.contact_at or now, now)
            log_event(
                Event.RUN_STARTED,
                job=run.task.job,
                task=_short(run.task),
                run=run.number,
                worker=run.worker,
                contact_age=round(now - worker.clock_at, 3),
            )
            return
        log_event(
            Event.START_FAILED, job=run.task.job, task=_short(run.task),
            run=run.number, worker=run.worker, reason=failure.value,
        )  # fmt: skip
        if failure is OrderFailure.UNKNOWN:
            run.phase = RunPhase.UNCERTAIN
            run.look_requested = True
            self.outbox.append(LookAtWorker(run.worker))
            return
        if failure is OrderFailure.TICKET:
            key = (run.task.job, run.task.occurrence, run.task.step)
            self.advice.pop(key, None)
        if failure in (OrderFailure.REFUSED, OrderFailure.NOT_SENT):
            worker.health.quarantine(now, REFUSAL_PAUSE_SECONDS)
        self._give_up(run, worker)

    def handle_stop_result(
        self, order: StopRun, failure: OrderFailure | None, now: float
    ) -> None:
        """Note that a run can not start any more; its end is listed if it ran."""
        worker = self.workers.get(order.worker)
        run = worker.runs.get((order.task, order.number)) if worker else None
        if run is None or failure is not None:
            return
        run.barred_at = now
        if run.phase is not RunPhase.CONFIRMED:
            run.phase = RunPhase.UNCERTAIN
            self.outbox.append(LookAtWorker(order.worker))

    # Time

    def tick(self, now: float, wall_ms: int) -> None:
        """Do what depends on time alone; call it several times a second."""
        for job in list(self.active.values()):
            if job.accepted.spec.repeat_count and lifecycle.activate_due(job, wall_ms):
                self._mark_dirty(job)
        for worker in list(self.workers.values()):
            self._check_worker(worker, now)

    def _check_worker(self, worker: Worker, now: float) -> None:
        silent = not self.is_answering(worker, now)
        open_runs = worker.runs and not worker.expired
        if (
            silent
            and open_runs
            and worker.lease_has_ended(now, self.inherited_leases_until)
        ):
            self._expire(worker, "lease_ended", now)
        if worker.departed and not worker.runs and (silent or worker.expired):
            del self.workers[worker.worker_id]
            return
        for run in list(worker.runs.values()):
            if run.stop is not None:
                self._stop(run, run.stop, now)
            elif run.step.long_running and (worker.entry.draining or worker.cordoned):
                self._evacuate(run, worker, now)
            elif not run.step.long_running:
                self._check_progress(run, worker, now)

    def _evacuate(self, run: Run, worker: Worker, now: float) -> None:
        """Stop a long-running task, so that it starts again on another worker.

        Planned work keeps to the number of tasks that may be unavailable at once. A
        worker that drains ends its tasks anyway.
        """
        if run.phase is not RunPhase.CONFIRMED:
            return
        if worker.entry.draining or self._may_interrupt(run, now):
            self._stop(run, StopReason.WORKER_LEAVES, now)

    def _may_interrupt(self, run: Run, now: float) -> bool:
        """Return whether the step can do without the run and has room elsewhere."""
        job = self.jobs.get(run.task.job)
        if job is None or job.final:
            return True
        at_work = 0
        for worker in self.workers.values():
            for other in worker.runs.values():
                same = other.task[:3] == run.task[:3] and other is not run
                if same and is_at_work(other) and self.is_answering(worker, now):
                    at_work += 1
        away = run.step.count - 1 - at_work
        if away >= max(1, run.step.max_unavailable):
            return False
        needs = StepNeeds(job.job_id, run.task.occurrence, run.task.step, run.step)
        service = self.service_of(job)
        others = [
            worker
            for worker in self.workers.values()
            if worker.entry.service == service and self.eligible(worker, now)
        ]
        others = [worker for worker in others if allows(needs, worker)]
        return choose_worker(needs, others) is not None

    # Planning

    def plan(self, now: float) -> None:
        """Choose workers for ready tasks."""
        by_service: dict[ServiceName, list[Job]] = {}
        for job in self.active.values():
            if job.pending:
                by_service.setdefault(self.service_of(job), []).append(job)
        for service, jobs in by_service.items():
            workers = [
                worker
                for worker in self.workers.values()
                if worker.entry.service == service and self.eligible(worker, now)
            ]
            if not workers:
                continue
            jobs.sort(key=lambda job: urgency(job, self.queues.get(job.queue), now).key)
            for job in jobs:
                self._plan_job(job, workers, now)

    def service_of(self, job: Job) -> ServiceName:
        """Return the service that runs the job under the present configuration."""
        queue = self.queues.get(job.queue)
        return queue.service if queue else job.service

    def _plan_job(self, job: Job, workers: list[Worker], now: float) -> None:
        for (occurrence, number), waiting in list(job.pending.items()):
            step = job.accepted.spec.steps[number]
            queue = self.queues.get(job.queue)
            tickets: dict[WorkerId, str] | None = None
            if queue is not None and queue.advisor is not None:
                key = (job.job_id, occurrence, number)
                advice = self.advice.get(key)
                if advice is None or advice.is_useless(workers, now):
                    self.steps_without_advice[key] = job.queue
                    continue
                tickets = advice.tickets
            needs = StepNeeds(job.job_id, occurrence, number, step, tickets)
            allowed = [worker for worker in workers if allows(needs, worker)]
            if step.gang:
                self._plan_gang(job, needs, allowed, sorted(waiting), now)
                continue
            for index in sorted(waiting):
                task = TaskId(job.job_id, occurrence, number, index)
                worker = choose_worker(needs, allowed, job.avoid.get(task, ()))
                if worker is None:
                    break
                self._assign(job, task, worker, now)

    def _plan_gang(
        self,
        job: Job,
        needs: StepNeeds,
        workers: list[Worker],
        indexes: list[int],
        now: float,
    ) -> None:
        chosen = choose_gang_workers(needs, workers, indexes)
        if chosen is None:
            return
        state = job.progress.occurrences[needs.occurrence][needs.step_number]
        number = max(state.numbers.values(), default=0) + 1
        checkpoint = max(state.checkpoints.values(), default="")
        for index, worker in chosen.items():
            task = TaskId(job.job_id, needs.occurrence, needs.step_number, index)
            self._assign(job, task, worker, now, number, checkpoint)

    def _assign(
        self,
        job: Job,
        task: TaskId,
        worker: Worker,
        now: float,
        number: int | None = None,
        checkpoint: str | None = None,
    ) -> None:
        state = lifecycle.progress_of(job, task)
        assert state is not None
        if number is None:
            number = state.numbers.get(task.position, 0) + 1
        if checkpoint is None:
            checkpoint = state.checkpoints.get(task.position, "")
        step = lifecycle.step_of(job, task)
        run = Run(
            task, number, worker.worker_id, worker.born_ms, step.reserved, step,
            RunPhase.PLANNED, planned_at=now, checkpoint=checkpoint,
        )  # fmt: skip
        worker.add(run)
        lifecycle.record_start(job, run)
        run.job_version = job.version
        self.planned.append(run)
        self._mark_dirty(job)

    def waiting_by_queue(self) -> dict[QueueName, int]:
        """Return the number of jobs of each queue for which nothing has started."""
        counts: dict[QueueName, int] = {}
        for job in self.active.values():
            if not job.started:
                counts[job.queue] = counts.get(job.queue, 0) + 1
        return counts

    # What the planner of the fleet asks

    def set_cordoned(self, vms: set[VmId]) -> None:
        """Keep new tasks away from the workers on these VMs."""
        for worker in self.workers.values():
            worker.cordoned = worker.entry.vm in vms

    def loads(self) -> dict[VmId, VmLoad]:
        """Return what runs on each VM."""
        loads: dict[VmId, VmLoad] = {}
        for worker in self.workers.values():
            if worker.expired or not worker.entry.vm:
                continue
            serving = [
                run.reserved.cpu / 1000
                for run in worker.runs.values()
                if run.step.long_running
            ]
            loads[worker.entry.vm] = VmLoad(
                worker.used.cpu / 1000, len(worker.runs), len(serving), sum(serving)
            )
        return loads

    def demands(self, now: float) -> dict[PoolName, Demand]:
        """Return the demand of each service."""
        serving: dict[ServiceName, float] = {}
        running: dict[ServiceName, float] = {}
        waiting: dict[ServiceName, float] = {}
        for job in self.active.values():
            service = self.service_of(job)
            for step in job.accepted.spec.steps:
                if step.long_running:
                    cores = step.count * step.reserved.cpu / 1000
                    serving[service] = serving.get(service, 0.0) + cores
            wanted = _waiting_cores(job)
            waiting[service] = waiting.get(service, 0.0) + wanted
        for worker in self.workers.values():
            cores = sum(
                run.reserved.cpu / 1000
                for run in worker.runs.values()
                if not run.step.long_running
            )
            service = worker.entry.service
            running[service] = running.get(service, 0.0) + cores
        found: dict[PoolName, Demand] = {}
        for service in {*serving, *running, *waiting, *self.arrivals}:
            meter = self.arrivals.get(service)
            recent, before = meter.rates(now) if meter else (0.0, 0.0)
            found[PoolName(service)] = Demand(
                serving.get(service, 0.0),
                running.get(service, 0.0),
                waiting.get(service, 0.0),
                recent,
                before,
            )
        return found


def _waiting_cores(job: Job) -> float:
    """Return the cores that the job's ready tasks want at once.

    A task that is shorter than the time allowed for a backlog needs only a part of a
    core's time.
    """
    cores = 0.0
    for (_, number), indexes in job.pending.items():
        step = job.accepted.spec.steps[number]
        if not step.long_running:
            share = min(1.0, step.estimate_ms / 1000 / BACKLOG_SECONDS)
            cores += len(indexes) * step.reserved.cpu / 1000 * share
    return cores


def is_at_work(run: Run) -> bool:
    """Return whether a long-running task is serving."""
    return run.phase is RunPhase.CONFIRMED and run.stop is None and run.percent >= 100


def _short(task: TaskId) -> str:
    return f"{task.occurrence}.{task.step}.{task.position}"
