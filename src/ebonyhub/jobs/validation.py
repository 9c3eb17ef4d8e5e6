"""Checks of stored job records that their types alone do not express."""

import re
from collections.abc import Iterable

from ..decoding import MAX_INTEGER
from ..ids import JobId
from .model import AcceptedJob, AdvisorPolicy, JobSpec, StepSpec, spec_problem
from .records import LeftRun, ProgressRecord, StepProgress

# Callers use 16 hexadecimal digits; a dot would be ambiguous in the names of tasks.
_JOB_ID = re.compile(r"[0-9A-Za-z_-]{1,64}")
MAX_NAME_LENGTH = 256
MAX_ATTEMPTS = 1_000_000
# Limit of a workspace in each kind of resource; the configuration allows as much.
MAX_LIMIT = 10**12


def is_job_id(text: str) -> bool:
    """Return whether a text can be the id of a job."""
    return _JOB_ID.fullmatch(text) is not None


def accepted_problem(record: AcceptedJob, job_id: JobId) -> str | None:
    """Return why a submission record under the key of a job is invalid, else None."""
    if record.job != job_id:
        return "the record is that of another job"
    names = (record.queue, record.service, record.workspace)
    if max(map(len, names)) > MAX_NAME_LENGTH:
        return "the name of the queue, service or workspace is too long"
    limit = record.workspace_limit
    if not _within((limit.cpu, limit.memory, limit.accelerators), MAX_LIMIT):
        return "the limit of the workspace is out of range"
    if not 0 <= record.max_attempts <= MAX_ATTEMPTS:
        return "the number of attempts is out of range"
    if not 0 <= record.accepted_ms <= MAX_INTEGER:
        return "the time is out of range"
    if record.advisor is not None and not _is_sound(record.advisor):
        return "a time limit of the placement advisor is out of range"
    if not record.spec.steps:
        return "the job has no steps"
    return spec_problem(record.spec)


def progress_problem(record: ProgressRecord, spec: JobSpec) -> str | None:
    """Return why a progress record does not fit the job, None if it does."""
    total = spec.repeat_count or 1
    if not 0 <= record.next_occurrence <= total:
        return "the next occurrence is out of range"
    if not 0 <= record.finished_ms <= MAX_INTEGER:
        return "the time is out of range"
    for occurrence, steps in record.occurrences.items():
        if not 0 <= occurrence < total:
            return f"occurrence {occurrence} is out of range"
        if not steps:
            continue
        if len(steps) != len(spec.steps):
            return f"{len(steps)} steps instead of {len(spec.steps)}"
        for number, (progress, step) in enumerate(zip(steps, spec.steps, strict=True)):
            if not _fits(progress, step):
                return f"a position or number in step {number} is out of range"
    if not all(_left_run_fits(left, spec) for left in record.left_runs or ()):
        return "a position or number of a left run is out of range"
    if not all(spec.has_task(*index) for index in record.open_starts):
        return "the task of an open start is out of range"
    return None


def _fits(progress: StepProgress, step: StepSpec) -> bool:
    counts = (
        progress.failures, progress.last_run_numbers, progress.crash_evidence,
        progress.late_crashes,
    )  # fmt: skip
    by_position = (
        progress.done, progress.runs, progress.checkpoints,
        progress.unanswered_starts, *counts,
    )  # fmt: skip
    # Most fields are empty, and a job may have thousands of steps.
    for positions in by_position:
        if positions and not _within(positions, step.count - 1):
            return False
    for values in counts:
        if values and not _within(values.values(), MAX_INTEGER):
            return False
    if not progress.runs:
        return True
    runs = progress.runs.values()
    return all(1 <= run.number <= MAX_INTEGER for run in runs) and _within(
        [run.born_ms for run in runs], MAX_INTEGER
    )


def _left_run_fits(left: LeftRun, spec: JobSpec) -> bool:
    return (
        spec.has_task(left.occurrence, left.step, left.position)
        and 1 <= left.run.number <= MAX_INTEGER
        and 0 <= left.run.born_ms <= MAX_INTEGER
    )


def _is_sound(policy: AdvisorPolicy) -> bool:
    return all(
        0 <= seconds <= MAX_INTEGER
        for seconds in (
            policy.decision_seconds, policy.seconds_per_worker, policy.validity_seconds
        )
    )  # fmt: skip


def _within(values: Iterable[int], highest: int) -> bool:
    return min(values, default=0) >= 0 and max(values, default=0) <= highest
