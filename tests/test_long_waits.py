"""Log lines about long-running tasks that have no run."""

from dataclasses import dataclass

import pytest

from ebonyhub.ids import JobId, TaskId, WorkerId
from ebonyhub.jobs.model import JobSpec, Resources, StepSpec
from ebonyhub.scheduling import lifecycle
from ebonyhub.scheduling.crashes import CrashEvidence
from ebonyhub.scheduling.long_waits import LOGGED_AFTER_SECONDS, LongWaits
from tests.test_scheduler import JOB, Driver, entry

TASK = TaskId(JOB, 0, 0, 0)
SERVING = JobSpec("t", (StepSpec(1, Resources(1000, 1), long_running=True),))
BATCH = JobSpec("t", (StepSpec(1, Resources(1000, 1), 60_000),))


def full_workers(driver):
    step = StepSpec(2, Resources(8000, 1), 60_000)
    driver.submit(JobSpec("t", (step,)), "full")
    driver.start_all()


def draining_workers(driver):
    for name in ("w1", "w2"):
        driver.scheduler.handle_worker_entry(entry(name, draining=True), driver.now)


def bound_to_lost_worker(driver):
    worker = driver.worker("w1")
    driver.scheduler.late_starts.add(
        TASK, WorkerId("gone"), worker.entry.vm, driver.now
    )


def suspects_alone(driver):
    """Let a suspected task wait for each worker."""
    for name in ("s1", "s2"):
        job = driver.submit(BATCH, name)
        evidence = CrashEvidence(late=2)
        lifecycle.start_due_occurrences(job, int(driver.now * 1000))
        suspect = TaskId(JobId(name), 0, 0, 0)
        lifecycle.add_crash_evidence(job, suspect, evidence)
    driver.start_all()


@dataclass(frozen=True)
class Row:
    label: str
    prepare: object
    expected: str


ROWS = [
    Row("no room", full_workers, "workers=no_room:2"),
    Row("draining", draining_workers, "workers=not_eligible:2"),
    Row("bound", bound_to_lost_worker, "workers=bound:2 bound_to=gone"),
    Row("suspects", suspects_alone, "workers=kept_for_suspects:1,none:1"),
]


@pytest.mark.parametrize("row", ROWS, ids=lambda row: row.label)
def test_task_without_a_run_is_logged_once_with_its_obstacles(row, log_lines):
    driver = Driver()
    row.prepare(driver)
    driver.submit(SERVING)
    job = driver.scheduler.jobs[JOB]
    lifecycle.start_due_occurrences(job, int(driver.now * 1000))
    waits = LongWaits()
    for _ in range(4):
        waits.check(driver.scheduler, driver.now)
        for name in ("w1", "w2"):
            driver.worker(name).last_response_at = driver.now + LOGGED_AFTER_SECONDS
        driver.wait(LOGGED_AFTER_SECONDS)
    found = [line for line in log_lines if "E2217" in line]
    assert len(found) == 1
    assert row.expected in found[0]


def test_task_with_a_run_is_not_logged(log_lines):
    driver = Driver()
    driver.submit(SERVING)
    driver.start_all()
    waits = LongWaits()
    waits.check(driver.scheduler, driver.now)
    driver.wait(LOGGED_AFTER_SECONDS)
    waits.check(driver.scheduler, driver.now)
    assert not [line for line in log_lines if "E2217" in line]
