"""Tasks that are judged stuck by their reported progress.

Guards against a long task whose progress in percent changes every few seconds: it was
stopped as stuck each time, and its job never got done.
"""

from dataclasses import dataclass

import pytest

from ebonyhub.jobs.model import JobSpec, Resources, StepSpec
from ebonyhub.jobs.records import JobState
from ebonyhub.scheduling.health import (
    OLD_RUN_FACTOR,
    OLD_RUN_SECONDS,
    STUCK_ESTIMATE_SHARE,
    STUCK_SECONDS,
    stuck_after_seconds,
)
from ebonyhub.scheduling.model import EndedTask, RunningTask, RunOutcome
from ebonyhub.scheduling.orders import StopRun
from tests.test_scheduler import Driver

REPORT_SECONDS = 0.5
STARTUP_REPORTS = 4


@dataclass
class Outcome:
    """What became of a task, in seconds from its first start."""

    done_at: float | None
    stops: list
    # Work that was thrown away, in seconds.
    lost: float


class Simulation:
    """One task on workers that report its progress in steps of some percent."""

    def __init__(self, work, estimate, resolution=1, hangs=None, workers=3):
        self.names = [f"w{number}" for number in range(workers)]
        self.driver = Driver(self.names)
        self.work, self.resolution = work, resolution
        # Seconds of work after which the task hangs, by worker.
        self.hangs = hangs or {}
        step = StepSpec(1, Resources(1000, 1), int(estimate * 1000))
        self.job = self.driver.submit(JobSpec("t", (step,)))
        self.sequence = dict.fromkeys(self.names, 0)
        self.stops = []
        self.lost = 0.0

    def run(self, limit):
        driver = self.driver
        began = driver.now
        run, started = None, 0.0
        while driver.now - began < limit:
            if run is None:
                for planned in driver.start_all():
                    run, started = planned, driver.now
            driver.wait(REPORT_SECONDS)
            for name in self.names:
                ended, running = [], []
                if run is not None and run.worker == name:
                    worked = driver.now - started
                    hang = self.hangs.get(name)
                    if hang is not None:
                        worked = min(worked, hang)
                    if worked >= self.work:
                        ended = [self.end(name, run, RunOutcome.DONE)]
                    else:
                        percent = int(100 * worked / self.work)
                        percent -= percent % self.resolution
                        running = [RunningTask(run.task, run.number, "", percent, 0.0)]
                driver.report(name, running, ended)
                if ended:
                    assert self.job.progress.state is JobState.COMPLETED
                    return Outcome(driver.now - began, self.stops, self.lost)
            driver.tick()
            for stop in driver.orders(StopRun):
                if run is not None and (stop.task, stop.number) == run.key:
                    self.stops.append(driver.now - began)
                    self.lost += driver.now - started
                    worker = run.worker
                    ended = [self.end(worker, run, RunOutcome.STOPPED)]
                    driver.report(worker, ended=ended)
                    run = None
        return Outcome(None, self.stops, self.lost)

    def end(self, name, run, outcome):
        self.sequence[name] += 1
        return EndedTask(self.sequence[name], run.task, run.number, outcome, "")


@pytest.mark.parametrize("work", [1.0, 10.0, 60.0, 161.0, 300.0, 600.0])
@pytest.mark.parametrize("workers", [1, 3])
def test_task_with_a_fair_estimate_is_never_stopped(work, workers):
    outcome = Simulation(work, work, workers=workers).run(2 * work + 10.0)
    assert outcome.stops == []
    assert outcome.done_at <= work + 2 * REPORT_SECONDS


@pytest.mark.parametrize(
    ("work", "estimate", "resolution", "most_stops"),
    [
        # An estimate that is far too low, and progress in coarse steps.
        (300.0, 1.0, 1, 1), (600.0, 1.0, 1, 2), (300.0, 0.0, 1, 1),
        (60.0, 60.0, 10, 2), (300.0, 300.0, 10, 2), (600.0, 600.0, 10, 2),
        (300.0, 10.0, 10, 5), (300.0, 1.0, 50, 7), (600.0, 600.0, 100, 5),
    ],
)  # fmt: skip
@pytest.mark.parametrize("workers", [1, 3])
def test_task_gets_done_although_its_progress_is_rarely_seen(
    work, estimate, resolution, most_stops, workers
):
    simulation = Simulation(work, estimate, resolution, workers=workers)
    outcome = simulation.run(8 * work)
    assert outcome.done_at is not None
    assert len(outcome.stops) <= most_stops
    assert outcome.lost <= 1.5 * work


@pytest.mark.parametrize("work", [1.0, 10.0, 60.0, 300.0, 600.0])
@pytest.mark.parametrize("hang_share", [0.0, 0.3, 0.9])
def test_hang_is_found_within_a_share_of_the_estimate(work, hang_share):
    hang = hang_share * work
    simulation = Simulation(work, work, hangs=dict.fromkeys(["w0"], hang))
    # Equal workers are chosen by name, so the hang may be on another one.
    simulation.hangs = dict.fromkeys(simulation.names[:1], hang)
    first = simulation.driver.scheduler
    outcome = simulation.run(4 * work + 30.0)
    assert first.workers
    assert outcome.done_at is not None
    if not outcome.stops:
        pytest.fail("the task never ran on the worker where it hangs")
    silent = outcome.stops[0] - hang
    percent_steps = work / 100
    allowed = max(STUCK_SECONDS, STUCK_ESTIMATE_SHARE * work, 4 * percent_steps)
    assert silent <= allowed + percent_steps + 2 * REPORT_SECONDS
    assert len(outcome.stops) == 1


def test_hang_where_nothing_else_has_room_is_found_later():
    work, hang = 100.0, 30.0
    simulation = Simulation(work, work, hangs={"w0": hang}, workers=1)
    outcome = simulation.run(60.0)
    allowed = stuck_after_seconds(work, work / 100)
    assert hang > OLD_RUN_SECONDS
    assert outcome.stops[0] - hang > allowed * OLD_RUN_FACTOR - 2 * REPORT_SECONDS


def test_second_verdict_on_a_task_does_not_quarantine_another_worker():
    simulation = Simulation(100.0, 1.0, resolution=20)
    simulation.run(30.0)
    workers = [simulation.driver.worker(name) for name in simulation.names]
    assert len(simulation.stops) > 1
    assert sum(w.process.health.quarantined_until > 0 for w in workers) == 1


@pytest.mark.parametrize(
    ("estimate", "interval", "verdicts", "seconds"),
    [
        (0.0, 0.0, 0, STUCK_SECONDS), (1.0, 0.2, 0, STUCK_SECONDS),
        (300.0, 0.0, 0, 12.0), (300.0, 3.0, 0, 12.0), (300.0, 30.0, 0, 120.0),
        (1.0, 0.0, 3, 8 * STUCK_SECONDS),
    ],
)  # fmt: skip
def test_time_after_which_a_task_counts_as_stuck(estimate, interval, verdicts, seconds):
    assert stuck_after_seconds(estimate, interval, verdicts) == seconds
