"""Assigns a task to a worker: the run, its reservation and its record."""

from collections.abc import Container

from ..ids import TaskId, WorkerId
from . import lifecycle
from .crashes import probation_seconds
from .late_starts import bound_positions
from .placement import StepRequirements
from .runs import Job, Run, RunPhase, Worker
from .state import SchedulerState


class Assignment(SchedulerState):
    """Creates planned runs; their starts are ordered once the records are stored."""

    def requirements_of(
        self,
        job: Job,
        occurrence: int,
        number: int,
        workers: list[Worker],
        now: float,
    ) -> StepRequirements | None:
        """Return what a step requires, None while it waits for advice or a pause."""
        step = job.accepted.spec.steps[number]
        key = (job.job_id, occurrence, number)
        policy = self.advisor_of(job)
        tickets: dict[WorkerId, str] | None = None
        if policy is not None:
            advice = self.advice.get(key)
            if advice is None or advice.is_unusable(workers, now):
                self.steps_without_advice[key] = policy
                return None
            tickets = advice.tickets
        elif self.start_refusals.lacks_ticket(key, now):
            return None
        return StepRequirements(
            job.job_id, occurrence, number, step, tickets,
            refusing=self.start_refusals.refusing(key, now),
        )  # fmt: skip

    def bound_positions(
        self, requirements: StepRequirements, positions: Container[int]
    ) -> dict[int, WorkerId]:
        """Return the worker of each position that a late start binds to it."""
        starts = self.late_starts.of_job(requirements.job)
        return bound_positions(
            starts, requirements.occurrence, requirements.step_number, positions
        )

    def workers_for(
        self, task: TaskId, workers: list[Worker], avoid: Container[WorkerId]
    ) -> list[Worker]:
        """Return the workers on which a task may start, if a late start binds it.

        A worker that lists a late run of the task has to end that first. Where the task
        has failed before, it waits until it may start elsewhere. A long-running task
        does not wait, since its failures have no limit.
        """
        start = self.late_starts.get(task)
        if start is None:
            return workers
        if start.long_running:
            avoid = ()
        return [
            worker
            for worker in workers
            if worker.worker_id == start.worker
            and worker.worker_id not in avoid
            and not worker.has_run_of(task)
        ]

    def assign(
        self,
        job: Job,
        task: TaskId,
        worker: Worker,
        now: float,
        number: int | None = None,
        checkpoint: str | None = None,
    ) -> None:
        """Plan a run of the task on the worker."""
        step_progress = lifecycle.step_progress_of(job, task)
        assert step_progress is not None
        if number is None:
            number = step_progress.last_run_numbers.get(task.position, 0) + 1
        if checkpoint is None:
            checkpoint = step_progress.checkpoints.get(task.position, "")
        step = lifecycle.step_of(job, task)
        run = Run(
            task, number, worker.worker_id, worker.born_ms, step.reserved, step,
            RunPhase.PLANNED, planned_at=now, checkpoint=checkpoint,
            probation_seconds=probation_seconds(step_progress, task.position),
        )  # fmt: skip
        late_start = self.late_starts.get(task)
        if late_start is not None:
            run.unanswered_at = late_start.unanswered_at
        self.reserve_for_run(run, worker)
        lifecycle.record_start(job, run, worker.entry.vm)
        run.job_version = job.version
        self.planned_runs.append(run)
        self.mark_dirty(job)

    def assign_gang(
        self,
        job: Job,
        requirements: StepRequirements,
        chosen: dict[int, Worker],
        now: float,
    ) -> None:
        """Plan the runs of all members of a gang, given the worker of each."""
        step_progress = job.progress.occurrences[requirements.occurrence][
            requirements.step_number
        ]
        number = max(step_progress.last_run_numbers.values(), default=0) + 1
        checkpoint = max(step_progress.checkpoints.values(), default="")
        for position, worker in chosen.items():
            task = requirements.task(position)
            self.assign(job, task, worker, now, number, checkpoint)
