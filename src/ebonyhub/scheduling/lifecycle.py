"""State transitions of one job: due occurrences, run starts and ends, final states.

Each transition of the progress record increments ``Job.version``.
"""

from collections.abc import Container

from ..ids import TaskId, VmId
from ..jobs.model import StepSpec
from ..jobs.records import (
    JobState,
    ProgressRecord,
    RunRecord,
    StepProgress,
    UnansweredStart,
)
from .crashes import CrashEvidence, is_suspected
from .runs import Job, Run

# Ready steps up to which the smallest reservation is computed exactly. With more it may
# be that of a step which is done, so that a job is looked at in vain.
MAX_COMPARED_STEPS = 64


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
    for number in range(len(job.accepted.spec.steps)):
        _refresh_step(job, occurrence, number)
    refresh_min_pending_cpu(job)


def _refresh_step(job: Job, occurrence: int, number: int) -> None:
    """Recompute the ready tasks of one step that have no run."""
    key = (occurrence, number)
    job.pending.pop(key, None)
    steps = job.progress.occurrences.get(occurrence)
    if not steps or not is_ready(job, occurrence, number):
        return
    step, step_progress = job.accepted.spec.steps[number], steps[number]
    if step.gang and step_progress.runs:
        # The members of a gang restart together, after the last one has ended.
        return
    waiting = set(range(step.count))
    if step_progress.done or step_progress.runs:
        waiting.difference_update(step_progress.done, step_progress.runs)
    if waiting:
        job.pending[key] = waiting


def refresh_min_pending_cpu(job: Job) -> None:
    """Recompute the smallest reservation of a ready task."""
    job.min_pending_cpu = min(
        (job.accepted.spec.steps[step].reserved.cpu for _, step in job.pending),
        default=0,
    )


def _make_ready(job: Job, task: TaskId) -> None:
    """Let a task start again that has just lost its run.

    Takes constant time, except for the last run of a gang.
    """
    step = step_of(job, task)
    if step.gang:
        _refresh_step(job, task.occurrence, task.step)
    elif is_ready(job, task.occurrence, task.step):
        step_progress = job.progress.occurrences[task.occurrence][task.step]
        if task.position not in step_progress.done:
            key = (task.occurrence, task.step)
            job.pending.setdefault(key, set()).add(task.position)
    _lower_min_pending_cpu(job, task.occurrence, task.step)


def _lower_min_pending_cpu(job: Job, occurrence: int, number: int) -> None:
    """Count a step that may have ready tasks in the smallest reservation."""
    if (occurrence, number) in job.pending:
        cpu = job.accepted.spec.steps[number].reserved.cpu
        is_only = len(job.pending) == 1
        job.min_pending_cpu = cpu if is_only else min(job.min_pending_cpu, cpu)


def _start_dependents(job: Job, occurrence: int, number: int) -> None:
    """Make the tasks of steps ready that have waited for a step which is now done."""
    job.pending.pop((occurrence, number), None)
    for dependent in job.dependents(number):
        if (occurrence, dependent) not in job.pending:
            _refresh_step(job, occurrence, dependent)
            _lower_min_pending_cpu(job, occurrence, dependent)
    if len(job.pending) <= MAX_COMPARED_STEPS:
        refresh_min_pending_cpu(job)


def is_ready(job: Job, occurrence: int, step: int) -> bool:
    """Return whether all steps that the step depends on are done."""
    after = job.accepted.spec.steps[step].after
    if not after:
        return True
    steps, specs = job.progress.occurrences[occurrence], job.accepted.spec.steps
    return all(len(steps[before].done) >= specs[before].count for before in after)


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
    job.note_change(run.task)
    key = (run.task.occurrence, run.task.step)
    waiting = job.pending.get(key)
    if waiting is not None:
        waiting.discard(position)
        if not waiting:
            del job.pending[key]
    job.has_planned_run = True
    job.version += 1


def record_begin(job: Job) -> bool:
    """Record that a run of the job has begun; return whether it is the first one.

    A planned run may have no answer or be refused, so that its job still waits.
    """
    if job.progress.state is not JobState.QUEUED:
        return False
    job.progress.state = JobState.RUNNING
    job.version += 1
    return True


def record_answer(job: Job, run: Run) -> None:
    """Record that the start of the task's present run was answered."""
    record = current_run(job, run.task)
    if record is not None and record.number == run.number:
        record.answered = True
        job.note_change(run.task)


def note_progress_interval(job: Job, run: Run) -> None:
    """Note for how long a run that goes on was seen without progress."""
    interval = run.unchanged_until - max(run.progress_changed_at, run.confirmed_at)
    if interval > job.progress_intervals.get(run.task.step, 0.0):
        job.progress_intervals[run.task.step] = interval


def note_crash(job: Job, run: Run, counted: bool) -> bool:
    """Note whether a crash under a run has counted; return whether this is new."""
    if run.crash_attributed == counted:
        return False
    run.crash_attributed = counted
    record = current_run(job, run.task)
    if record is not None and record.number == run.number:
        record.crash_counted = counted
        job.note_change(run.task)
        job.version += 1
    return True


def record_unanswered_start(job: Job, task: TaskId, start: UnansweredStart) -> None:
    """Record a start without an answer, for a task that is about to have no run."""
    step_progress = step_progress_of(job, task)
    if step_progress is not None:
        step_progress.unanswered_starts[task.position] = start
        job.note_change(task)


def drop_unanswered_start(job: Job, task: TaskId) -> None:
    """Drop the record of a start that no process carries out any more."""
    step_progress = step_progress_of(job, task)
    if step_progress is not None:
        step_progress.unanswered_starts.pop(task.position, None)


def record_open_start(job: Job, task: TaskId, open_tasks: Container[TaskId]) -> None:
    """Record that a start may be open of a task that is done or has failed the job.

    Of the tasks that are recorded so already, those in ``open_tasks`` remain.
    """
    kept = [
        index
        for index in job.progress.open_starts
        if TaskId(job.job_id, *index) in open_tasks and index != task[1:]
    ]
    job.progress.open_starts = [*kept, (task.occurrence, task.step, task.position)]


def is_done(job: Job, task: TaskId) -> bool:
    """Return whether the task needs no further runs."""
    step_progress = step_progress_of(job, task)
    return step_progress is None or task.position in step_progress.done


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
    _make_ready(job, task)
    job.note_change(task)
    job.version += 1


def record_done(job: Job, task: TaskId, wall_ms: int) -> None:
    """Record a completed task; one completed member completes its whole gang."""
    step_progress = step_progress_of(job, task)
    if step_progress is None or job.is_final:
        return
    step = step_of(job, task)
    if step.gang:
        job.note_change_of_step(task.occurrence, task.step)
        step_progress.done.update(range(step.count))
        step_progress.runs.clear()
    else:
        step_progress.done.add(task.position)
        step_progress.runs.pop(task.position, None)
        # A task that is done never starts again, so its number is not needed.
        step_progress.last_run_numbers.pop(task.position, None)
    job.note_change(task)
    step_progress.checkpoints.pop(task.position, None)
    step_progress.crash_evidence.pop(task.position, None)
    step_progress.late_crashes.pop(task.position, None)
    step_progress.unanswered_starts.pop(task.position, None)
    job.version += 1
    ready = job.pending.get((task.occurrence, task.step))
    if len(step_progress.done) >= step.count:
        _start_dependents(job, task.occurrence, task.step)
        if _count_done_step(job, task.occurrence) == 0:
            _close_occurrence(job, task.occurrence, wall_ms)
    elif ready is not None and task.position in ready:
        ready.discard(task.position)
        if not ready:
            del job.pending[(task.occurrence, task.step)]
            refresh_min_pending_cpu(job)


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
    job.note_change(task)
    job.version += 1
    step = step_of(job, task)
    if not step.long_running and step_progress.failures[task.position] >= max_attempts:
        finish(job, JobState.FAILED, wall_ms)
        return
    _make_ready(job, task)


def suspects_among(
    job: Job, occurrence: int, number: int, positions: set[int]
) -> set[int]:
    """Return the positions whose tasks may crash their workers."""
    progress = job.progress.occurrences[occurrence][number]
    if not progress.crash_evidence and not progress.late_crashes:
        return set()
    return {
        position
        for position in (*progress.crash_evidence, *progress.late_crashes)
        if position in positions and is_suspected(progress, position)
    }


def add_crash_evidence(job: Job, task: TaskId, evidence: CrashEvidence) -> None:
    """Add evidence that the task crashes its workers."""
    progress = step_progress_of(job, task)
    if progress is None or job.is_final:
        return
    position = task.position
    _add(progress.crash_evidence, position, evidence.at_start)
    _add(progress.late_crashes, position, evidence.late)
    job.has_suspects = True
    job.note_change(task)
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
    if found:
        job.note_change(task)
        job.version += 1
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
        open_starts=job.progress.open_starts,
    )
    job.pending.clear()
    job.changed_parts.clear()
    job.workers_to_avoid.clear()
    job.stuck_verdicts.clear()
    job.version += 1


def _count_done_step(job: Job, occurrence: int) -> int:
    """Return how many steps of an occurrence are left after one that is now done."""
    left = job.steps_left.get(occurrence)
    if left is None:
        steps = job.progress.occurrences[occurrence]
        pairs = zip(steps, job.accepted.spec.steps, strict=True)
        left = sum(len(progress.done) < step.count for progress, step in pairs)
    else:
        left -= 1
    job.steps_left[occurrence] = left
    return left


def _close_occurrence(job: Job, occurrence: int, wall_ms: int) -> None:
    """Drop the progress of a complete occurrence; the last one completes the job."""
    job.progress.occurrences[occurrence] = []
    job.steps_left.pop(occurrence, None)
    total = job.accepted.spec.repeat_count or 1
    while job.progress.occurrences.get(job.progress.next_occurrence) == []:
        del job.progress.occurrences[job.progress.next_occurrence]
        job.progress.next_occurrence += 1
    if job.progress.next_occurrence >= total:
        finish(job, JobState.COMPLETED, wall_ms)
