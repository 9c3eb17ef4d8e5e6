"""Limits of workspaces in the scheduler.

Guards against starts beyond a limit: by several starts in one pass, by orders that got
no answer, by a new leader that does not know of a run, and by limits that change.
"""

import random

import msgspec
import pytest
from prometheus_client import CollectorRegistry

from ebonyhub.clock import SystemClock
from ebonyhub.cluster.leadership import Term
from ebonyhub.cluster.metadata_store import Item
from ebonyhub.cluster.mirror import JobMirror
from ebonyhub.configuration import Workspace
from ebonyhub.ids import (
    JobId,
    LeaderToken,
    Revision,
    StoreLease,
    TaskId,
    WorkspaceName,
)
from ebonyhub.jobs.model import AcceptedJob, Resources
from ebonyhub.jobs.records import (
    accepted_key,
    progress_key,
)
from ebonyhub.metrics import Metrics
from ebonyhub.scheduling.controller import Controller
from ebonyhub.scheduling.crashes import CrashEvidence
from ebonyhub.scheduling.lifecycle import add_crash_evidence
from ebonyhub.scheduling.model import (
    OrderFailure,
    RunningTask,
    RunOutcome,
)
from ebonyhub.scheduling.orders import StartRun, StopRun
from ebonyhub.scheduling.runs import RunPhase
from ebonyhub.scheduling.workspaces.policy import WorkspaceRules
from ebonyhub.scheduling.workspaces.status import Standing
from standins.emulator import QUEUE, SERVICE
from standins.memory_store import MemoryStore, StoreCore
from tests.test_scheduler import entry, listed
from tests.workspace_driver import (
    A,
    B,
    WorkspaceDriver,
    configuration,
    end_of,
    limited,
    spec,
)


def test_one_pass_starts_no_more_than_the_limit():
    driver = WorkspaceDriver(limited(5))
    for _ in range(4):
        driver.submit(spec(3))
    free = driver.submit(spec(6), B)
    assert len(driver.start_all()) == 11
    assert driver.policy.ledger.used(A) == Resources(5000, 50)
    assert not free.pending
    driver.scheduler.plan(driver.now)
    assert len(driver.runs()) == 5


def test_memory_and_accelerators_are_limited_too():
    workspace = Workspace(A, weight=100.0, limit=Resources(0, 25))
    driver = WorkspaceDriver(workspace)
    driver.submit(spec(4))
    assert len(driver.start_all()) == 2


def test_best_effort_task_counts_with_its_full_cpu():
    driver = WorkspaceDriver(limited(2))
    driver.submit(spec(4, uses_spare_cpu=True))
    assert len(driver.start_all()) == 2


def test_limits_apply_only_if_they_are_enforced():
    driver = WorkspaceDriver(limited(2), enforced=False)
    job = driver.submit(spec(4))
    assert len(driver.start_all()) == 4
    assert driver.policy.standing(job) is Standing.WITHIN_SHARE
    (status,) = driver.policy.overview()
    assert status.used == Resources(4000, 40)


def test_jobs_without_a_workspace_are_never_limited():
    driver = WorkspaceDriver(limited(2))
    job = driver.submit(spec(12), WorkspaceName(""))
    assert driver.policy.standing(job) is Standing.WITHIN_SHARE
    assert len(driver.start_all()) == 12


def test_orders_without_an_answer_count():
    driver = WorkspaceDriver(limited(2))
    driver.submit(spec(4))
    driver.scheduler.plan(driver.now)
    driver.store()
    orders = driver.orders(StartRun)
    assert len(orders) == 2
    for order in orders:
        driver.scheduler.handle_start_result(
            order.run, OrderFailure.UNKNOWN, driver.now
        )
    driver.scheduler.plan(driver.now)
    assert [run.phase for run in driver.runs()] == [RunPhase.UNCERTAIN] * 2
    # A report that does not list it leads to a second start, and if that is refused, to
    # a stop; only that makes it certain.
    driver.wait(0.1)
    name = orders[0].run.worker
    driver.report(name, sent_at=driver.now)
    repeated = driver.orders(StartRun)
    assert repeated
    driver.scheduler.plan(driver.now)
    assert len(driver.runs()) == 2
    for order in repeated:
        driver.scheduler.handle_start_result(
            order.run, OrderFailure.NO_CAPACITY, driver.now
        )
    stops = driver.orders(StopRun)
    assert stops
    driver.scheduler.plan(driver.now)
    assert len(driver.runs()) == 2
    for stop in stops:
        driver.scheduler.handle_stop_result(stop, None, driver.now)
    driver.wait(0.1)
    driver.report(name, sent_at=driver.now)
    driver.scheduler.plan(driver.now)
    assert len(driver.runs()) == 2
    assert all(
        run.phase is RunPhase.PLANNED for run in driver.runs() if run.number == 2
    )


def test_start_that_was_refused_frees_its_room():
    driver = WorkspaceDriver(limited(1))
    driver.submit(spec(2))
    driver.scheduler.plan(driver.now)
    driver.store()
    (order,) = driver.orders(StartRun)
    driver.scheduler.handle_start_result(order.run, OrderFailure.LATE, driver.now)
    assert driver.policy.ledger.used(A) == Resources()
    driver.scheduler.plan(driver.now)
    assert len(driver.runs()) == 1


def test_run_counts_until_its_end_is_reported():
    """A late end keeps the room: the run of a cancelled job still uses it."""
    driver = WorkspaceDriver(limited(2))
    first = driver.submit(spec(2))
    runs = driver.start_all()
    second = driver.submit(spec(2))
    driver.scheduler.cancel(first.job_id, driver.now, int(driver.now * 1000))
    driver.scheduler.plan(driver.now)
    assert second.pending
    for run in runs:
        driver.report(run.worker, ended=[end_of(run, 1, RunOutcome.STOPPED)])
        break
    driver.scheduler.plan(driver.now)
    assert len([run for run in driver.runs() if run.task.job == second.job_id]) == 1


def test_lowered_limit_stops_new_starts_only():
    driver = WorkspaceDriver(limited(6))
    driver.submit(spec(8))
    runs = driver.start_all()
    assert len(runs) == 6
    driver.scheduler.configure(configuration(limited(3)))
    driver.tick()
    assert driver.orders(StopRun) == []
    for number, run in enumerate(runs[:4]):
        own = [listed(r, 50) for r in runs[number + 1 :] if r.worker == run.worker]
        sequence = sum(r.worker == run.worker for r in runs[: number + 1])
        driver.report(run.worker, running=own, ended=[end_of(run, sequence)])
        driver.scheduler.plan(driver.now)
        assert len(driver.runs()) == max(3, 5 - number)


def test_start_that_was_planned_before_the_limit_was_lowered_is_not_ordered():
    driver = WorkspaceDriver(limited(6))
    job = driver.submit(spec(6))
    driver.scheduler.plan(driver.now)
    driver.scheduler.configure(configuration(limited(2)))
    driver.store()
    assert len(driver.orders(StartRun)) == 2
    assert len(job.pending[(0, 0)]) == 4


def test_raised_limit_applies_in_the_next_pass():
    driver = WorkspaceDriver(limited(2))
    driver.submit(spec(6))
    assert len(driver.start_all()) == 2
    driver.scheduler.configure(configuration(limited(5)))
    assert len(driver.start_all()) == 3


def test_task_that_alone_exceeds_the_limit_runs_alone():
    driver = WorkspaceDriver(limited(2))
    small = driver.submit(spec(1))
    (run,) = driver.start_all()
    large = driver.submit(spec(2, Resources(4000, 10)))
    driver.scheduler.plan(driver.now)
    assert len(driver.runs()) == 1
    assert "more than the limit of workspace a" in driver.policy.held_back_by(
        large, large.accepted.spec.steps[0]
    )
    driver.report(run.worker, ended=[end_of(run)])
    assert small.is_final
    started = driver.start_all()
    assert [r.reserved.cpu for r in started] == [4000]
    another = driver.submit(spec(1))
    driver.scheduler.plan(driver.now)
    assert another.pending
    assert len(driver.runs()) == 1


def test_gang_starts_whole_or_not_at_all():
    driver = WorkspaceDriver(limited(4))
    driver.submit(spec(2))
    (run, _) = driver.start_all()
    gang = driver.submit(spec(3, gang=True))
    driver.scheduler.plan(driver.now)
    assert len(gang.pending[(0, 0)]) == 3
    reason = driver.policy.held_back_by(gang, gang.accepted.spec.steps[0])
    assert reason == (
        "the gang needs 3 cores, and workspace a uses 2 cores of its limit of 4 cores"
    )
    others = [listed(r, 50) for r in driver.runs() if r is not run]
    driver.report(run.worker, running=others, ended=[end_of(run)])
    assert len(driver.start_all()) == 3


def test_gang_beyond_the_limit_waits_and_the_reason_says_so():
    driver = WorkspaceDriver(limited(2))
    gang = driver.submit(spec(3, gang=True))
    driver.scheduler.plan(driver.now)
    assert gang.pending
    assert driver.policy.held_back_by(gang, gang.accepted.spec.steps[0]) == (
        "the gang needs 3 cores, more than the limit of workspace a, 2 cores; "
        "it cannot start"
    )


def test_suspected_tasks_are_limited_and_hold_no_worker_meanwhile():
    """Nothing could start on a worker held for a task that may not start."""
    driver = WorkspaceDriver(limited(1))
    driver.submit(spec(1))
    driver.start_all()
    suspect = driver.submit(spec(2))
    for position in range(2):
        task = TaskId(suspect.job_id, 0, 0, position)
        add_crash_evidence(suspect, task, CrashEvidence(1, 0))
    driver.scheduler.plan(driver.now)
    assert len(driver.runs()) == 1
    assert not driver.scheduler.held_workers
    driver.scheduler.configure(configuration(limited(2)))
    driver.scheduler.plan(driver.now)
    assert len(driver.runs()) == 2
    (alone,) = [run for run in driver.runs() if run.task.job == suspect.job_id]
    assert alone.probation_seconds is not None


def test_workspace_removed_from_the_configuration_keeps_its_limit():
    driver = WorkspaceDriver(limited(2))
    driver.submit(spec(4), stored_limit=Resources(3000))
    driver.scheduler.configure(configuration())
    assert len(driver.start_all()) == 2


def test_new_leader_uses_the_limit_stored_with_the_newest_job():
    driver = WorkspaceDriver()
    driver.submit(spec(9), stored_limit=Resources(7000))
    driver.wait(1.0)
    driver.submit(spec(9), stored_limit=Resources(3000))
    assert len(driver.start_all()) == 3


def test_take_over_counts_recorded_runs_before_their_workers_report():
    driver = WorkspaceDriver(limited(4))
    driver.submit(spec(8))
    driver.start_all()
    successor = driver.successor()
    assert successor.policy.ledger.used(A) == Resources(4000, 40)
    successor.report("w2")
    successor.scheduler.plan(successor.now)
    missing = [run for run in driver.runs() if run.worker == "w2"]
    assert len(successor.runs()) == 4
    assert sum(r.phase is RunPhase.PLANNED for r in successor.runs()) == len(missing)


def test_run_that_is_recorded_and_reported_counts_once():
    driver = WorkspaceDriver(limited(4))
    driver.submit(spec(4))
    runs = driver.start_all()
    successor = driver.successor()
    for name in ("w1", "w2"):
        own = [listed(run, 50) for run in runs if run.worker == name]
        successor.report(name, running=own)
    assert successor.policy.ledger.used(A) == Resources(4000, 40)


# Records of earlier versions do not name the runs that a job leaves.
LEFT_RUNS_ARE_NAMED = pytest.mark.parametrize(
    "named", [True, False], ids=["named", "earlier-version"]
)


@LEFT_RUNS_ARE_NAMED
def test_take_over_waits_for_runs_of_jobs_that_have_just_ended(named):
    """The runs of a cancelled job may not be stopped yet."""
    driver = WorkspaceDriver(limited(2))
    first = driver.submit(spec(2))
    runs = driver.start_all()
    driver.scheduler.cancel(first.job_id, driver.now, int(driver.now * 1000))
    if not named:
        first.progress.left_runs = None
    second = driver.submit(spec(2))
    successor = driver.successor()
    holder = runs[0].worker
    (other,) = {"w1", "w2"} - {holder}
    successor.report(other)
    successor.scheduler.plan(successor.now)
    assert [r.key for r in successor.runs()] == [r.key for r in runs if named]
    successor.report(holder, running=[listed(run, 50) for run in runs])
    successor.scheduler.plan(successor.now)
    assert {run.task.job for run in successor.runs()} == {first.job_id}
    ends = [end_of(r, n, RunOutcome.STOPPED) for n, r in enumerate(runs, 1)]
    successor.report(holder, ended=ends)
    successor.scheduler.plan(successor.now)
    assert {run.task.job for run in successor.runs()} == {second.job_id}


@LEFT_RUNS_ARE_NAMED
def test_what_is_held_for_unknown_runs_ends_with_the_inherited_leases(named):
    driver = WorkspaceDriver(limited(2))
    first = driver.submit(spec(2))
    runs = driver.start_all()
    driver.scheduler.cancel(first.job_id, driver.now, int(driver.now * 1000))
    if not named:
        first.progress.left_runs = None
    second = driver.submit(spec(2))
    successor = driver.successor()
    # Only a worker without runs reports.
    (other,) = {"w1", "w2"} - {str(runs[0].worker)}
    successor.wait(11.9)
    successor.report(other)
    successor.scheduler.tick(successor.now, int(successor.now * 1000))
    successor.scheduler.plan(successor.now)
    assert [r.key for r in successor.runs()] == [r.key for r in runs if named]
    successor.wait(0.2)
    successor.report(other)
    successor.scheduler.tick(successor.now, int(successor.now * 1000))
    successor.scheduler.plan(successor.now)
    assert [r.task.job for r in successor.runs()] == [second.job_id] * 2


def test_unreadable_job_counts_for_the_workspace_of_its_submission():
    clock = SystemClock()
    mirror = JobMirror()
    mirror.retain_records(True)
    controller = Controller(
        Term(LeaderToken(5), StoreLease(1), clock.monotonic() + 99),
        MemoryStore(StoreCore(clock.monotonic)), mirror, None, clock,
        random.Random(1), Metrics(CollectorRegistry()), None, 120.0, 1e9,
        lambda: None, None, WorkspaceRules(enforced=True),
    )  # fmt: skip
    controller.configure(configuration(limited(2)))
    lost, waiting = (JobId(f"{number:016x}") for number in range(2))
    items = [
        Item(accepted_key(job), msgspec.msgpack.encode(record), Revision(2))
        for job in (lost, waiting)
        for record in [AcceptedJob(job, QUEUE, SERVICE, 3, 1, spec(2), A)]
    ]
    items.append(Item(progress_key(lost), b"\xc1", Revision(4)))
    mirror.apply_listing(items, Revision(5))
    scheduler = controller.scheduler
    driver = WorkspaceDriver(names=())
    driver.scheduler, driver.policy = scheduler, scheduler.workspaces
    driver.now = clock.monotonic()
    for name in ("w1", "w2"):
        scheduler.handle_worker_entry(entry(name), driver.now)
    for job in (lost, waiting):
        controller.handle_job_change(job)
    scheduler.records_loaded = True
    driver.report("w1")
    scheduler.plan(driver.now)
    assert driver.runs() == []
    unreported = RunningTask(TaskId(lost, 0, 0, 1), 7, "", 10.0, 0.0)
    driver.report("w2", running=[unreported])
    scheduler.plan(driver.now)
    assert {run.task.job for run in driver.runs()} == {lost, waiting}
    assert len(driver.runs()) == 2
