"""Runs whose end is overdue: their worker is asked for a report beside the long poll.

Load pattern: workers leave calls unanswered. The leader learns of an end by the long
poll of the worker; while an unanswered poll runs into its timeout, the capacity of the
ended run stays reserved, its job does not go on, and the job's next step cannot start.
"""

from collections.abc import Mapping

from ..ids import JobId
from .runs import Job, Run, RunPhase, Worker

# A run is overdue once it takes this many times as long as the other runs of its step,
# or as its estimate while none of them has ended. Estimates are less precise.
OVERDUE_FACTOR = 1.4
OVERDUE_ESTIMATE_FACTOR = 1.8
# Seconds added to both, for the report of an end to arrive.
REPORT_MARGIN_SECONDS = 0.1
# A worker that has reported more recently is not asked: a busy one reports each end.
MIN_SILENCE_SECONDS = 0.25
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


def is_report_overdue(worker: Worker, jobs: Mapping[JobId, Job], now: float) -> bool:
    """Return whether a run of the worker should have ended since its last report."""
    silent_for = now - worker.process.clock_read_at
    if silent_for < MIN_SILENCE_SECONDS:
        return False
    if now - worker.process.report_requested_at < MIN_REQUEST_INTERVAL_SECONDS:
        return False
    for run in worker.runs.values():
        # A run that was due before the last report is known to go on.
        elapsed = now - run.confirmed_at
        if run.phase is not RunPhase.CONFIRMED or run.step.long_running:
            continue
        job = jobs.get(run.task.job)
        if job is None or run.stop_reason is not None:
            continue
        if elapsed - silent_for < expected_seconds(job, run) <= elapsed:
            return True
    return False
