"""Faults of limits and shares that a review found.

Those that are not corrected yet are listed in KNOWN-RED.txt.
"""

import pytest

from ebonyhub.configuration import Workspace
from ebonyhub.ids import TaskId
from ebonyhub.jobs.model import JobSpec, Resources, StepSpec
from ebonyhub.jobs.validation import progress_problem
from ebonyhub.scheduling.crashes import CrashEvidence
from ebonyhub.scheduling.lifecycle import add_crash_evidence
from ebonyhub.scheduling.model import RunningTask
from standins.emulator import SERVICE
from tests.test_scheduler import listed
from tests.test_workspace_holds import Stream
from tests.workspace_driver import (
    CORE,
    A,
    B,
    WorkspaceDriver,
    end_of,
    limited,
    spec,
)

LEADING = Workspace(B, weight=100.0)
OVER_RATE = Workspace(A, weight=0.0)


def report_all(driver):
    for name in ("w1", "w2"):
        runs = driver.worker(name).runs.values()
        driver.report(name, running=[listed(run) for run in runs])


def test_cancelled_job_counts_on_a_worker_without_an_entry():
    """After a take-over the workspace ran more than its limit."""
    driver = WorkspaceDriver(limited(8), names=("w1", "w2"))
    first = driver.submit(spec(8))
    driver.start_all()
    holder = driver.runs()[0].worker
    assert {run.worker for run in driver.runs()} == {holder}
    driver.scheduler.handle_worker_entry_removed(holder)
    driver.scheduler.cancel(first.job_id, driver.now, int(driver.now * 1000))
    driver.submit(spec(8))
    successor = driver.successor()
    # Its entry is gone, so a new leader doesn't list it; its lease is still valid.
    del successor.scheduler.workers[holder]
    successor.scheduler.inherited_leases_until = successor.now + 12.0
    (other,) = {"w1", "w2"} - {str(holder)}
    successor.report(other)
    assert len(driver.runs()) == 8
    assert len(successor.start_all()) == 0


def test_task_above_the_limit_starts_in_the_end():
    """Smaller tasks of its workspace passed it for good."""
    driver = WorkspaceDriver(limited(4), names=("w1", "w2"))
    driver.submit(spec(2))
    driver.start_all()
    large = driver.submit(spec(1, Resources(6000, 10)))
    sequence = {"w1": 0, "w2": 0}
    for _ in range(200):
        driver.submit(spec(1))
        driver.wait(0.5)
        for name in ("w1", "w2"):
            mine = list(driver.worker(name).runs.values())
            ended = []
            for run in mine:
                if driver.now - run.planned_at >= 0.9:
                    sequence[name] += 1
                    ended.append(end_of(run, sequence[name]))
            rest = [listed(r) for r in mine if r.task not in {e.task for e in ended}]
            driver.report(name, running=rest, ended=ended)
        driver.start_all()
        if not large.pending:
            return
    raise AssertionError(f"waits after {driver.now:.0f} s")


def test_copy_of_a_done_task_counts_after_a_take_over():
    """Its record no longer names the run, and it is not among the ended jobs."""
    driver = WorkspaceDriver(limited(1))
    job = driver.submit(spec(1))
    (first,) = driver.start_all()
    (other,) = {"w1", "w2"} - {str(first.worker)}
    # The first run is taken for lost, its task starts again elsewhere, and then the
    # end of the first run arrives.
    lost = driver.worker(str(first.worker))
    driver.scheduler.discard_run(first, lost)
    lost.process.health.quarantine(driver.now)
    (second,) = driver.start_all()
    assert str(second.worker) == other
    driver.report(str(first.worker), ended=[end_of(first)])
    assert job.is_final
    assert len(driver.runs()) == 1
    driver.submit(spec(1))
    successor = driver.successor()
    successor.report(str(first.worker))
    assert successor.start_all() == []


def test_copy_of_a_done_task_counts_while_its_job_goes_on():
    """A new leader counted only the run of the other task."""
    driver = WorkspaceDriver(limited(2))
    job = driver.submit(spec(2))
    first, second = driver.start_all()
    assert first.worker == second.worker
    holder = driver.worker(str(first.worker))
    driver.scheduler.discard_run(first, holder)
    holder.process.health.quarantine(driver.now)
    (copy,) = driver.start_all()
    driver.report(str(first.worker), running=[listed(second)], ended=[end_of(first)])
    assert not job.is_final
    waiting = driver.submit(spec(1))
    successor = driver.successor()
    successor.report(str(first.worker), running=[listed(second)])
    assert successor.start_all() == []
    successor.report(str(copy.worker), ended=[end_of(copy)])
    assert [run.task.job for run in successor.start_all()] == [waiting.job_id]


def test_member_of_a_done_gang_counts_while_its_job_goes_on():
    """One member that is done completes the gang before the others have ended."""
    driver = WorkspaceDriver(limited(2))
    gang = StepSpec(2, CORE, 1000, gang=True)
    driver.submit(JobSpec("t", (gang, StepSpec(2, CORE, 1000, after=(0,)))))
    first, second = driver.start_all()
    assert first.worker == second.worker
    driver.report(str(first.worker), running=[listed(second)], ended=[end_of(first)])
    successor = driver.successor()
    (other,) = {"w1", "w2"} - {str(first.worker)}
    successor.report(other)
    assert len(successor.start_all()) == 1


def test_listed_task_that_a_job_does_not_have_leaves_its_record_valid():
    """A new leader could not have read the record, nor started anything of the job."""
    driver = WorkspaceDriver(limited(9))
    job = driver.submit(spec(2))
    (run, _) = driver.start_all()
    odd = [run.task._replace(step=1), run.task._replace(position=2)]
    rows = [listed(run), *[RunningTask(task, 1, "", 0.0, 0.0) for task in odd]]
    driver.report(str(run.worker), running=rows)
    driver.scheduler.mark_dirty(job)
    assert progress_problem(job.progress, job.accepted.spec) is None
    driver.scheduler.cancel(job.job_id, driver.now, int(driver.now * 1000))
    assert len(job.progress.left_runs) == 2
    assert progress_problem(job.progress, job.accepted.spec) is None


def test_suspected_tasks_over_the_rate_hold_no_workers_of_others():
    driver = WorkspaceDriver(LEADING, OVER_RATE)
    job = driver.submit(spec(2), A)
    (run, _) = driver.start_all()
    add_crash_evidence(job, run.task, CrashEvidence(1, 0))
    driver.scheduler.discard_run(run, driver.worker(str(run.worker)))
    report_all(driver)
    waiting = driver.submit(spec(16), B)
    driver.start_all()
    assert len(waiting.pending.get((0, 0), ())) <= 1


def suspected_job(driver):
    """Return a job over the rate of which a task has to start alone."""
    job = driver.submit(spec(1), A)
    add_crash_evidence(job, TaskId(job.job_id, 0, 0, 0), CrashEvidence(1, 0))
    return job


def test_worker_held_for_a_suspected_task_opens_for_tasks_that_come_first():
    """It was held until the runs on it had passed their probation."""
    driver = WorkspaceDriver(LEADING, OVER_RATE)
    driver.submit(spec(2, Resources(4000, 10)), B)
    assert len({run.worker for run in driver.start_all()}) == 1
    driver.submit(spec(1, Resources(7000, 10)), B)
    driver.start_all()
    suspect = suspected_job(driver)
    driver.start_all()
    (held,) = driver.scheduler.held_for_later[SERVICE]
    assert driver.worker(str(held)).free.cpu == 1000
    driver.wait(0.2)
    report_all(driver)
    first = driver.submit(spec(1), B)
    driver.start_all()
    assert not first.pending
    assert suspect.pending


@pytest.mark.parametrize("within_rate", [0, 1])
def test_suspected_task_over_the_rate_starts_alone_beside_a_backlog(within_rate):
    """Other tasks over the rate must not take its worker for good."""
    stream = Stream(OVER_RATE, LEADING, rate=5)
    stream.run(3.0)
    suspect = suspected_job(stream.driver)
    for _ in range(40):
        if within_rate:
            stream.driver.submit(spec(within_rate), B)
        stream.step()
        if not suspect.pending:
            break
    (run,) = [r for r in stream.started if r.task.job == suspect.job_id]
    assert run.probation_seconds is not None
    beside = stream.driver.worker(str(run.worker)).runs.values()
    assert all(r is run or r.planned_at <= run.planned_at - 0.5 for r in beside)
    stream.step()
    beside = stream.driver.worker(str(run.worker)).runs.values()
    assert all(r is run or r.planned_at < run.planned_at for r in beside)
