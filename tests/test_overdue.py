"""Reports that are requested because the end of a run is overdue.

Guards against capacity that stays reserved, and jobs that stand still, while a poll
that a worker left unanswered runs into its timeout.
"""

from dataclasses import replace

import pytest
from absl import logging

from bench.load_shapes import build_day
from ebonyhub.ids import JobId, QueueName, ServiceName, TaskId
from ebonyhub.jobs.model import AcceptedJob, JobSpec, Resources, StepSpec
from ebonyhub.jobs.records import ProgressRecord
from ebonyhub.scheduling import overdue
from ebonyhub.scheduling.overdue import is_report_overdue, record_duration
from ebonyhub.scheduling.runs import Job, Run, RunPhase, StopReason
from standins.replayed_fleet import ReplayedFleet

from .test_worker_judgement import worker

STEP = StepSpec(4, Resources(1000, 1), estimate_ms=1000)
CONFIRMED_AT = 10.0


def job_with(durations):
    accepted = AcceptedJob(
        JobId("j"), QueueName("q"), ServiceName("s"), 3, 0, JobSpec("t", (STEP,))
    )
    job = Job(accepted, ProgressRecord(), QueueName("q"), ServiceName("s"), 0.0)
    for position, seconds in enumerate(durations):
        record_duration(job, run_of(position), seconds)
    return job


def run_of(position, phase=RunPhase.CONFIRMED):
    return Run(
        TaskId(JobId("j"), 0, 0, position), 1, worker("w").worker_id, 1, STEP.reserved,
        STEP, phase, confirmed_at=CONFIRMED_AT,
    )  # fmt: skip


@pytest.mark.parametrize(
    ("durations", "reported_at", "now", "expected"),
    [
        # The estimate is 1 s; without ended runs of the step it counts loosely.
        ([], 10.0, 11.5, False),
        ([], 10.0, 12.0, True),
        # Two other runs of the step took 0.5 s.
        ([0.4, 0.6], 10.0, 10.7, False),
        ([0.4, 0.6], 10.0, 10.9, True),
        # The last report is from after the run was due, so it still runs.
        ([0.4, 0.6], 10.85, 11.2, False),
        # The last report is very recent.
        ([0.4, 0.6], 10.7, 10.9, False),
    ],
)
def test_report_is_overdue(durations, reported_at, now, expected):
    target = worker("w")
    target.process.clock_read_at = reported_at
    target.add(run_of(3))
    jobs = {JobId("j"): job_with(durations)}
    assert is_report_overdue(target, jobs, now) == expected


@pytest.mark.parametrize(
    ("phase", "stop_reason", "requested_at"),
    [
        (RunPhase.ORDERED, None, 0.0),
        (RunPhase.CONFIRMED, StopReason.CANCELLED, 0.0),
        (RunPhase.CONFIRMED, None, 19.8),
    ],
)
def test_no_report_is_requested(phase, stop_reason, requested_at):
    """Runs not confirmed or being stopped, and a request just made."""
    target = worker("w")
    target.process.report_requested_at = requested_at
    run = run_of(0, phase)
    run.stop_reason = stop_reason
    target.add(run)
    assert not is_report_overdue(target, {JobId("j"): job_with([])}, 20.0)


def served(day):
    return ReplayedFleet(day).play().in_time_share


def test_unanswered_polls_cost_less_than_half_with_requested_reports(monkeypatch):
    """Replays turns of surges while workers leave 4% of the polls unanswered."""
    logging.set_verbosity(logging.FATAL)
    days = [build_day("turns", seed) for seed in (1, 2, 3)]
    silent = [replace(day, unanswered_poll_share=0.04) for day in days]
    answered = sum(map(served, days))
    requested = sum(map(served, silent))
    monkeypatch.setattr(overdue, "OVERDUE_FACTOR", 1e6)
    monkeypatch.setattr(overdue, "OVERDUE_ESTIMATE_FACTOR", 1e6)
    waited = sum(map(served, silent))
    assert answered - requested < (answered - waited) / 2
