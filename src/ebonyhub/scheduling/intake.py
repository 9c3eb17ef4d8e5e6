"""Loads jobs from their stored records, cancels them and ends them."""

from ..events import Event, log_event
from ..fleet.demand import ArrivalMeter
from ..ids import JobId, ServiceName, TaskId, VmId
from ..jobs.model import AcceptedJob, Resources
from ..jobs.records import JobState, ProgressRecord
from . import lifecycle
from .crash_delays import delay_seconds
from .crashes import probation_seconds
from .left_runs import left_runs_of, recorded_runs
from .model import WorkerEntry
from .runs import Job, Run, RunPhase, StopReason, Worker
from .state import Arrival, SchedulerState, short_name

# A job that ended longer ago has no runs that an earlier leader failed to stop: their
# leases of 6 s have ended.
LEFT_RUNS_MAX_AGE_MS = 30_000


# Stops of a job's runs that have a log line each; one more tells how many follow.
MAX_LOGGED_STOPS = 100


class JobIntake(SchedulerState):
    """Loads, cancels and finishes jobs."""

    def load_job(
        self,
        accepted: AcceptedJob,
        progress: ProgressRecord | None,
        cancelled: bool,
        now: float,
        wall_ms: int,
    ) -> None:
        """Load a job from its records, with the runs that an earlier leader started.

        A job that is already loaded is only cancelled if ``cancelled`` is set.
        """
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
        for index in job.progress.open_starts:
            task = TaskId(job.job_id, *index)
            self.acknowledgements.open_starts.add(task, now)
        self.workspaces.job_accepted(job)
        if job.is_final:
            self._count_left_runs(job, now, wall_ms)
            return
        job.next_due_occurrence = job.progress.next_occurrence
        self.active[accepted.job] = job
        self.services_to_plan.add(self.service_of(job))
        for steps in job.progress.occurrences.values():
            if steps:
                job.has_suspects |= any(
                    s.crash_evidence or s.late_crashes for s in steps
                )
                job.has_planned_run |= any(s.last_run_numbers for s in steps)
        if job.has_suspects and job.long_running:
            self._adopt_delays(job, now)
        self._adopt_late_starts(job, now)
        self._adopt_runs(job, now)
        lifecycle.start_due_occurrences(job, wall_ms)
        for number in job.progress.occurrences:
            if number >= job.next_due_occurrence:
                # Due by the clock of an earlier leader only.
                lifecycle.refresh_pending(job, number)
        if not accepted.spec.long_running:
            self._note_arrival(job)
        if cancelled:
            self.cancel(accepted.job, now, wall_ms)

    def _count_left_runs(self, job: Job, now: float, wall_ms: int) -> None:
        """Count what a job that ended recently may still run for its workspace.

        Records of earlier versions do not name these runs, so all tasks of the job are
        counted, unless it is completed: no workspace could start anything after a
        change of leader until the last worker has reported.
        """
        if wall_ms - job.progress.finished_ms >= LEFT_RUNS_MAX_AGE_MS:
            return
        if job.progress.left_runs is not None:
            self._adopt_runs(job, now)
        elif job.progress.state is not JobState.COMPLETED:
            accepted = job.accepted
            self.workspaces.hold_for_unknown_runs(
                accepted.job, accepted.workspace, accepted.spec
            )

    def _note_arrival(self, job: Job) -> None:
        """Count the job's work as arriving, except what is beyond a limit."""
        service = self.service_of(job)
        work = sum(step.core_seconds for step in job.accepted.spec.steps)
        meter = self.arrival_meters.setdefault(service, ArrivalMeter())
        if not job.accepted.workspace:
            meter.add(job.arrived_at, work)
            return
        work *= self.workspaces.arriving_part(job)
        arrival = Arrival(job.job_id, service, job.arrived_at, work)
        self.uncounted_arrivals.append(arrival)

    def _adopt_runs(self, job: Job, now: float) -> None:
        """Track the recorded runs until their workers report on them."""
        for task, record in recorded_runs(job):
            step = lifecycle.step_of(job, task)
            progress = lifecycle.step_progress_of(job, task)
            probation = probation_seconds(progress, task.position) if progress else None
            run = Run(
                task, record.number, record.worker, record.born_ms, step.reserved,
                step, RunPhase.UNCERTAIN, inherited=True, planned_at=now,
                checkpoint=record.checkpoint, probation_seconds=probation,
                crash_attributed=record.crash_counted,
            )  # fmt: skip
            if not record.answered and not step.allows_duplicates:
                run.unanswered_at = now
                self.acknowledgements.open_starts.add(task, now)
                if lifecycle.is_current(job, task, record.number):
                    self.late_starts.add(
                        task, record.worker, record.vm, now, step.long_running
                    )
            if step.uses_spare_cpu:
                run.speed.repeat_at = now
            worker = self._worker_of_record(run, record.vm, job, now)
            self.reserve_for_run(run, worker)

    def _adopt_delays(self, job: Job, now: float) -> None:
        """Delay the tasks that have crashed workers under earlier leaders."""
        for occurrence, steps in job.progress.occurrences.items():
            for number, step in enumerate(steps):
                for position in {*step.crash_evidence, *step.late_crashes}:
                    task = TaskId(job.job_id, occurrence, number, position)
                    self.delay_start(job, task, now)

    def delay_start(self, job: Job, task: TaskId, now: float) -> None:
        """Delay a task for the crashes that its record holds."""
        progress = lifecycle.step_progress_of(job, task)
        if progress is None or not job.accepted.spec.steps[task.step].long_running:
            return
        seconds = delay_seconds(progress, task.position)
        if not seconds:
            return
        self.crash_delays.add(task, now + seconds, now)
        log_event(
            Event.TASK_DELAYED, job=job.job_id, task=short_name(task), seconds=seconds,
            evidence=progress.crash_evidence.get(task.position, 0),
            late=progress.late_crashes.get(task.position, 0),
        )  # fmt: skip

    def _adopt_late_starts(self, job: Job, now: float) -> None:
        """Bind waiting tasks to the workers that may still carry out a start of theirs.

        An earlier leader sent the orders, the latest of them just before this term.
        """
        specs = job.accepted.spec.steps
        for occurrence, steps in job.progress.occurrences.items():
            for number, step in enumerate(steps):
                for position, start in step.unanswered_starts.items():
                    task = TaskId(job.job_id, occurrence, number, position)
                    self.acknowledgements.open_starts.add(task, now)
                    self.late_starts.add(
                        task, start.worker, start.vm, now, specs[number].long_running
                    )

    def _worker_of_record(self, run: Run, vm: VmId, job: Job, now: float) -> Worker:
        """Return the worker of an inherited run; a placeholder if its entry is gone."""
        worker = self.workers.get(run.worker)
        if worker is None:
            entry = WorkerEntry(
                worker=run.worker, service=job.service, address="", zone="", labels=(),
                rack=job.accepted.spec.steps[0].data_rack, capacity=Resources(),
                draining=False, leaves_in=None, born_ms=run.born_ms, vm=vm,
            )  # fmt: skip
            process = self.new_process(run.worker, run.born_ms, now)
            worker = Worker(entry, process, deregistered=True)
            worker.successor_service = self._successor_service(vm, run.born_ms)
            self.workers[run.worker] = worker
        return worker

    def _successor_service(self, vm: VmId, born_ms: int) -> ServiceName | None:
        """Return the service of a later worker on the VM, None if none has answered."""
        for worker in self.workers.values():
            same_vm = vm and worker.entry.vm == vm
            answered = worker.last_response_at is not None
            if same_vm and answered and worker.born_ms > born_ms:
                return worker.entry.service
        return None

    def cancel(self, job_id: JobId, now: float, wall_ms: int) -> None:
        """Give a job the state CANCELLED and stop its runs."""
        job = self.jobs.get(job_id)
        if job is None or job.is_final or job.cancelled:
            return
        job.cancelled = True
        self.finish_job(job, JobState.CANCELLED, StopReason.CANCELLED, now, wall_ms)

    def finish_job(
        self, job: Job, state: JobState, reason: StopReason, now: float, wall_ms: int
    ) -> None:
        """Give a job its final state, unless it has one, and stop its runs."""
        if not job.is_final:
            lifecycle.finish(job, state, wall_ms)
        self.close_job(job, now, reason)

    def close_job(self, job: Job, now: float, reason: StopReason) -> None:
        """Stop the runs of a job with a final state, and drop its scheduling state."""
        self.active.pop(job.job_id, None)
        self.late_starts.remove_job(job.job_id)
        self.workspaces.job_closed(job.accepted)
        holders = [
            worker
            for worker_id in self.workers_of_job.pop(job.job_id, ())
            if (worker := self.workers.get(worker_id)) is not None
        ]
        stopped = 0
        for worker in holders:
            for run in list(worker.runs.values()):
                if run.task.job == job.job_id:
                    self.stop_run(run, reason, now, stopped < MAX_LOGGED_STOPS)
                    stopped += 1
        if stopped > MAX_LOGGED_STOPS:
            log_event(
                Event.RUN_STOP_ORDERED, job=job.job_id, reason=reason.value,
                more=stopped - MAX_LOGGED_STOPS,
            )  # fmt: skip
        if job.accepted.workspace:
            # After the stops, which release the runs that have not been ordered.
            job.progress.left_runs = left_runs_of(job, holders)
        self.mark_dirty(job)
        for key in [k for k in self.advice if k[0] == job.job_id]:
            del self.advice[key]
        for key in [k for k in self.steps_without_advice if k[0] == job.job_id]:
            del self.steps_without_advice[key]
        self.start_refusals.forget_job(job.job_id)
        log_event(
            Event.JOB_ENDED,
            job=job.job_id,
            state=job.progress.state.name.lower(),
            after=round(now - job.arrived_at, 3),
        )
