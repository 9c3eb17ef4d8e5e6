"""Runs whose end is overdue: their worker is asked for a report beside the long poll.

Load pattern: workers leave calls unanswered. The leader learns of an end by the long
poll of the worker; while an unanswered poll runs into its timeout, the capacity of the
ended run stays reserved, its job does not go on, and the job's next step cannot start.
"""

from collections.abc import Iterable

from .runs import Job, Run, RunPhase, Worker

# A run is overdue once it takes this many times as long as the other runs of its step,
# or as its estimate while none of them has ended. Estimates are less precise.
OVERDUE_FACTOR = 1.4
OVERDUE_ESTIMATE_FACTOR = 1.8
# Seconds added to both, for the report of an end to arrive.
REPORT_MARGIN_SECONDS = 0.1
# Seconds between two reports that are requested from one worker for this reason.
MIN_REQUEST_INTERVAL_SECONDS = 0.5


def record_duration(job: Job, run: Run, seconds: float) -> None:
    """Add the duration of a successful run to those of its step."""
    key = (run.task.occurrence, run.task.step)
    count, total = job.run_durations.get(key, (0, 0.0))
    job.run_durations[key] = (count + 1, total + seconds)


def expected_seconds(job: Job, run: Run) -> float:
    """Return after how many seconds the run is overdue."""
    count, total = job.run_durations.get((run.task.occurrence, run.task.step), (0, 0.0))
    if count:
        return total / count * OVERDUE_FACTOR + REPORT_MARGIN_SECONDS
    estimate = run.step.estimate_ms / 1000
    return estimate * OVERDUE_ESTIMATE_FACTOR + REPORT_MARGIN_SECONDS


def is_report_overdue(
    worker: Worker, runs: Iterable[tuple[Run, Job]], now: float
) -> bool:
    """Return whether a run should have ended since the worker's last report."""
    if now - worker.report_requested_at < MIN_REQUEST_INTERVAL_SECONDS:
        return False
    for run, job in runs:
        if run.phase is not RunPhase.CONFIRMED or run.stop_reason is not None:
            continue
        due_at = run.confirmed_at + expected_seconds(job, run)
        if worker.clock_read_at < due_at <= now:
            return True
    return False
