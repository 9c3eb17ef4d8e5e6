"""Runs that a job's record names although its tasks no longer wait for them.

A run may exist for some time after its job has ended, or after an earlier run of its
task, which was taken for lost, turned out to be done. A new leader must count it all
the same, also if its worker has no entry in the store any more.
"""

from collections.abc import Iterable, Iterator

from ..ids import TaskId
from ..jobs.records import LeftRun, RunRecord
from . import lifecycle
from .runs import Job, RunPhase, Worker


def left_runs_of(job: Job, workers: Iterable[Worker]) -> list[LeftRun]:
    """Return the job's runs on ``workers`` that are not those of its tasks.

    Workers may list tasks that the job does not have. A record with these would be
    invalid.
    """
    left: list[LeftRun] = []
    for worker in workers:
        for run in worker.runs.values():
            job_id, occurrence, step, position = run.task
            if (
                job_id == job.job_id
                and run.number >= 1
                and job.accepted.spec.has_task(occurrence, step, position)
                and not lifecycle.is_current(job, run.task, run.number)
            ):
                vm = worker.entry.vm
                answered = run.phase is RunPhase.CONFIRMED and run.unanswered_at is None
                record = RunRecord(
                    run.number, run.worker, run.born_ms, vm=vm, answered=answered
                )
                left.append(LeftRun(occurrence, step, position, record))
    return left


def update_left_runs(job: Job, tracked: int, workers: Iterable[Worker]) -> None:
    """Name the runs on ``workers`` in the record of a job that goes on.

    ``tracked`` is the number of the job's runs. The runs of its tasks are among them,
    so equal numbers spare the search.
    """
    recorded = sum(
        len(step.runs) for steps in job.progress.occurrences.values() for step in steps
    )
    job.progress.left_runs = left_runs_of(job, workers) if tracked != recorded else []


def recorded_runs(job: Job) -> Iterator[tuple[TaskId, RunRecord]]:
    """Yield all runs that the job's record names, with their tasks."""
    for occurrence, steps in job.progress.occurrences.items():
        for number, step in enumerate(steps):
            for position, record in step.runs.items():
                yield TaskId(job.job_id, occurrence, number, position), record
    for left in job.progress.left_runs or ():
        yield TaskId(job.job_id, left.occurrence, left.step, left.position), left.run
