"""State transitions of one job: due occurrences, run starts and ends, final states.

Each transition of the progress record increments ``Job.version``.
"""

from ..ids import TaskId, VmId, WorkerId
from ..jobs.model import StepSpec
from ..jobs.records import JobState, ProgressRecord, RunRecord, StepProgress
from .crashes import CrashEvidence, is_suspected
from .runs import Job, Run


def step_of(job: Job, task: TaskId) -> StepSpec:
    """Return the specification of the task's step."""
    return job.accepted.spec.steps[task.step]


def step_progress_of(job: Job, task: TaskId) -> StepProgress | None:
    """Return the progress of the task's step, None once its occurrence is complete.

    Workers may list tasks that the job does not have; these have no progress either.
    """
    steps = job.progress.occurrences.get(task.occurrence)
    return steps[task.step] if steps and task.step < len(steps) else None


def start_due_occurrences(job: Job, wall_ms: int) -> bool:
    """Start the occurrences that are due; return whether there were any."""
    if job.is_final or job.cancelled:
        return False
    spec = job.accepted.spec
    total = spec.repeat_count or 1
    any_started = False
    while (
        job.next_due_occurrence < total
        and spec.due_ms(job.next_due_occurrence) <= wall_ms
    ):
        number = job.next_due_occurrence
        job.next_due_occurrence += 1
        if number < job.progress.next_occurrence:
            continue
        if number not in job.progress.occurrences:
            job.progress.occurrences[number] = [StepProgress() for _ in spec.steps]
        refresh_pending(job, number)
        any_started = True
    return any_started


def refresh_pending(job: Job, occurrence: int) -> None:
    """Recompute the ready tasks of an occurrence that have no run."""
    steps = job.progress.occurrences.get(occurrence)
    for number, step in enumerate(job.accepted.spec.steps):
        key = (occurrence, number)
        job.pending.pop(key, None)
        if not steps or not is_ready(job, occurrence, number):
            continue
        step_progress = steps[number]
        waiting = {
            position
            for position in range(step.count)
            if position not in step_progress.done and position not in step_progress.runs
        }
        if step.gang and step_progress.runs:
            # The members of a gang restart together, after the last one has ended.
            continue
        if waiting:
            job.pending[key] = waiting
    job.min_pending_cpu = min(
        (job.accepted.spec.steps[step].reserved.cpu for _, step in job.pending),
        default=0,
    )


def is_ready(job: Job, occurrence: int, step: int) -> bool:
    """Return whether all steps that the step depends on are done."""
    spec = job.accepted.spec
    steps = job.progress.occurrences[occurrence]
    return all(
        len(steps[before].done) >= spec.steps[before].count
        for before in spec.steps[step].after
    )


def record_start(job: Job, run: Run, vm: VmId) -> None:
    """Add a run on a worker of ``vm`` to the job's record, before it is ordered."""
    step_progress = step_progress_of(job, run.task)
    assert step_progress is not None
    position = run.task.position
    step_progress.last_run_numbers[position] = run.number
    step_progress.runs[position] = RunRecord(
        run.number, run.worker, run.born_ms, run.checkpoint, vm
    )
    # The record of the run names the same worker.
    step_progress.unanswered_starts.pop(position, None)
    key = (run.task.occurrence, run.task.step)
    waiting = job.pending.get(key)
    if waiting is not None:
        waiting.discard(position)
        if not waiting:
            del job.pending[key]
    if job.progress.state is JobState.QUEUED:
        job.progress.state = JobState.RUNNING
    job.version += 1


def record_answer(job: Job, run: Run) -> None:
    """Record that the start of the task's present run was answered."""
    record = current_run(job, run.task)
    if record is not None and record.number == run.number:
        record.answered = True


def record_unanswered_start(job: Job, task: TaskId, worker: WorkerId) -> None:
    """Record the worker of a start without an answer, for a task without a run."""
    step_progress = step_progress_of(job, task)
    if step_progress is not None:
        step_progress.unanswered_starts[task.position] = worker


def drop_unanswered_start(job: Job, task: TaskId) -> None:
    """Drop the record of a start that no process carries out any more."""
    step_progress = step_progress_of(job, task)
    if step_progress is not None:
        step_progress.unanswered_starts.pop(task.position, None)


def is_current(job: Job, task: TaskId, number: int) -> bool:
    """Return whether this run is the one that the record has for the task."""
    step_progress = step_progress_of(job, task)
    if step_progress is None:
        return False
    record = step_progress.runs.get(task.position)
    return record is not None and record.number == number


def current_run(job: Job, task: TaskId) -> RunRecord | None:
    """Return the run that the record has for the task, None if there is none."""
    step_progress = step_progress_of(job, task)
    return step_progress.runs.get(task.position) if step_progress else None


def is_completable(job: Job, task: TaskId, number: int) -> bool:
    """Return whether a recorded run of this number may complete the task."""
    step_progress = step_progress_of(job, task)
    return (
        step_progress is not None
        and not step_of(job, task).long_running
        and task.position not in step_progress.done
        and 0 < number <= step_progress.last_run_numbers.get(task.position, 0)
    )


def clear_run(job: Job, task: TaskId, checkpoint: str = "") -> None:
    """Remove the task's run from the record, so that the task may start again."""
    step_progress = step_progress_of(job, task)
    if step_progress is None:
        return
    step_progress.runs.pop(task.position, None)
    if checkpoint:
        step_progress.checkpoints[task.position] = checkpoint
    refresh_pending(job, task.occurrence)
    job.version += 1


def record_done(job: Job, task: TaskId, wall_ms: int) -> None:
    """Record a completed task; one completed member completes its whole gang."""
    step_progress = step_progress_of(job, task)
    if step_progress is None or job.is_final:
        return
    step = step_of(job, task)
    if step.gang:
        step_progress.done.update(range(step.count))
        step_progress.runs.clear()
    else:
        step_progress.done.add(task.position)
        step_progress.runs.pop(task.position, None)
    step_progress.checkpoints.pop(task.position, None)
    step_progress.crash_evidence.pop(task.position, None)
    step_progress.late_crashes.pop(task.position, None)
    step_progress.unanswered_starts.pop(task.position, None)
    job.version += 1
    ready = job.pending.get((task.occurrence, task.step), ())
    if len(step_progress.done) >= step.count or task.position in ready:
        refresh_pending(job, task.occurrence)
    if _occurrence_done(job, task.occurrence):
        _close_occurrence(job, task.occurrence, wall_ms)


def record_failure(job: Job, task: TaskId, max_attempts: int, wall_ms: int) -> None:
    """Record a failed run; the job fails after ``max_attempts`` failures of one task.

    Long-running tasks are restarted without limit.
    """
    step_progress = step_progress_of(job, task)
    if step_progress is None or job.is_final:
        return
    step_progress.runs.pop(task.position, None)
    step_progress.failures[task.position] = (
        step_progress.failures.get(task.position, 0) + 1
    )
    job.version += 1
    step = step_of(job, task)
    if not step.long_running and step_progress.failures[task.position] >= max_attempts:
        finish(job, JobState.FAILED, wall_ms)
        return
    refresh_pending(job, task.occurrence)


def suspects_among(
    job: Job, occurrence: int, number: int, positions: set[int]
) -> set[int]:
    """Return the positions whose tasks may crash their workers."""
    progress = job.progress.occurrences[occurrence][number]
    if not progress.crash_evidence and not progress.late_crashes:
        return set()
    return {position for position in positions if is_suspected(progress, position)}


def add_crash_evidence(job: Job, task: TaskId, evidence: CrashEvidence) -> None:
    """Add evidence that the task crashes its workers."""
    progress = step_progress_of(job, task)
    if progress is None or job.is_final:
        return
    position = task.position
    _add(progress.crash_evidence, position, evidence.at_start)
    _add(progress.late_crashes, position, evidence.late)
    job.has_suspects = True
    job.version += 1


def withdraw_crash_evidence(job: Job, task: TaskId, evidence: CrashEvidence) -> None:
    """Withdraw evidence that another task's crash has explained."""
    add_crash_evidence(job, task, CrashEvidence(-evidence.at_start, -evidence.late))


def clear_crash_evidence(job: Job, task: TaskId) -> bool:
    """Drop all evidence against the task; return whether there was any."""
    progress = step_progress_of(job, task)
    if progress is None:
        return False
    found = progress.crash_evidence.pop(task.position, 0)
    found += progress.late_crashes.pop(task.position, 0)
    job.version += bool(found)
    return bool(found)


def _add(counts: dict[int, int], position: int, amount: int) -> None:
    """Add to a count, which stays above 0 or is removed."""
    count = counts.get(position, 0) + amount
    if count > 0:
        counts[position] = count
    else:
        counts.pop(position, None)


def finish(job: Job, state: JobState, wall_ms: int) -> None:
    """Give the job its final state; the caller stops runs that remain."""
    job.progress = ProgressRecord(
        state=state,
        next_occurrence=job.progress.next_occurrence,
        finished_ms=wall_ms,
        left_runs=[],
    )
    job.pending.clear()
    job.workers_to_avoid.clear()
    job.stuck_verdicts.clear()
    job.version += 1


def _occurrence_done(job: Job, occurrence: int) -> bool:
    steps = job.progress.occurrences[occurrence]
    return all(
        len(step_progress.done) >= step.count
        for step_progress, step in zip(steps, job.accepted.spec.steps, strict=True)
    )


def _close_occurrence(job: Job, occurrence: int, wall_ms: int) -> None:
    """Drop the progress of a complete occurrence; the last one completes the job."""
    job.progress.occurrences[occurrence] = []
    total = job.accepted.spec.repeat_count or 1
    while job.progress.occurrences.get(job.progress.next_occurrence) == []:
        del job.progress.occurrences[job.progress.next_occurrence]
        job.progress.next_occurrence += 1
    if job.progress.next_occurrence >= total:
        finish(job, JobState.COMPLETED, wall_ms)
