"""Shares, rates and demand of workspaces in the scheduler.

Guards against a workspace that delays others by more than its share or rate, against
lent capacity that does not come back, and against VMs that are moved for work that may
not start.
"""

import pytest
from absl import logging
from hypothesis import given, settings
from hypothesis import strategies as st

from ebonyhub.configuration import Workspace
from ebonyhub.ids import (
    PoolName,
    WorkspaceName,
)
from ebonyhub.jobs.model import Resources
from ebonyhub.jobs.records import (
    JobState,
)
from ebonyhub.scheduling.priority import Rank
from ebonyhub.scheduling.workspaces.status import Standing
from standins.emulator import SERVICE
from tests.test_scheduler import listed
from tests.workspace_driver import (
    A,
    B,
    WorkspaceDriver,
    end_of,
    limited,
    spec,
)


def test_work_beyond_the_limit_is_no_demand_for_vms():
    driver = WorkspaceDriver(limited(3))
    for _ in range(5):
        driver.submit(spec(4))
    demand = driver.scheduler.demands(driver.now)[PoolName(SERVICE)]
    assert demand.waiting_cores == 3.0
    assert demand.over_rate_cores == 0.0
    driver.start_all()
    demand = driver.scheduler.demands(driver.now)[PoolName(SERVICE)]
    assert (demand.running_cores, demand.waiting_cores) == (3.0, 0.0)


def test_long_running_work_beyond_the_limit_is_no_demand_for_vms():
    driver = WorkspaceDriver(limited(3))
    long_running = spec(8, long_running=True, max_per_worker=1)
    driver.submit(long_running)
    demand = driver.scheduler.demands(driver.now)[PoolName(SERVICE)]
    assert demand.long_running_cores == 3.0


def test_work_beyond_the_limit_is_not_arriving():
    """A rising rate of arrivals makes the planner move VMs ahead of the demand."""
    driver = WorkspaceDriver(limited(3))
    for _ in range(30):
        driver.submit(spec(1))
    free = WorkspaceDriver(limited(0))
    for _ in range(30):
        free.submit(spec(1))
    arriving = [
        d.scheduler.demands(d.now)[PoolName(SERVICE)].arriving_cores
        for d in (driver, free)
    ]
    assert arriving[0] == pytest.approx(arriving[1] / 10)


def test_jobs_beyond_the_rate_are_lendable_demand_only():
    driver = WorkspaceDriver(Workspace(A, weight=1.0))
    for _ in range(8):
        driver.submit(spec(2))
    demand = driver.scheduler.demands(driver.now)[PoolName(SERVICE)]
    # The bucket holds five jobs.
    assert (demand.waiting_cores, demand.over_rate_cores) == (10.0, 6.0)


def test_work_beyond_the_limit_does_not_make_the_service_oversubscribed():
    """Least work first would make jobs of others late for nothing."""
    driver = WorkspaceDriver(limited(1), limited(0, B))
    for _ in range(20):
        driver.submit(spec(4))
    driver.submit(spec(2), B)
    driver.scheduler.plan(driver.now)
    assert not driver.policy.is_oversubscribed(SERVICE, Standing.WITHIN_SHARE)
    unlimited = WorkspaceDriver(limited(0), limited(0, B))
    for _ in range(20):
        unlimited.submit(spec(4))
    unlimited.scheduler.plan(unlimited.now)
    assert unlimited.policy.is_oversubscribed(SERVICE, Standing.WITHIN_SHARE)


def test_jobs_over_the_rate_come_after_those_of_others():
    driver = WorkspaceDriver(Workspace(A, weight=1.0), limited(0, B))
    burst = [driver.submit(spec(4)) for _ in range(10)]
    other = driver.submit(spec(8), B)
    driver.scheduler.plan(driver.now)
    assert not other.pending
    assert [driver.policy.standing(job) for job in burst[5:]] == [
        Standing.OVER_RATE
    ] * 5
    assert all(job.pending for job in burst[5:])
    reason = driver.policy.held_back_by(burst[9], burst[9].accepted.spec.steps[0])
    assert reason.startswith("workspace a sent more than its 1 jobs per second")


def test_capacity_is_divided_by_weight_when_it_is_short():
    """Without shares the workspace with the smaller jobs would get everything."""
    heavy, light = limited(0, weight=300.0), limited(0, B, weight=100.0)
    driver = WorkspaceDriver(heavy, light)
    for _ in range(30):
        driver.submit(spec(1), B)
    for _ in range(10):
        driver.submit(spec(9))
    driver.scheduler.plan(driver.now)
    used = [driver.policy.ledger.used(name).cpu for name in (A, B)]
    assert used == [12_000, 4000]
    shares = {status.name: status.fair_share for status in driver.policy.overview()}
    assert shares == {A: pytest.approx(0.75), B: pytest.approx(0.25)}


def test_one_large_job_does_not_take_more_than_its_share():
    """A job is planned in one go, so its tasks have to be divided at the share."""
    driver = WorkspaceDriver(limited(0), limited(0, B))
    driver.submit(spec(40))
    driver.submit(spec(41), B)
    driver.scheduler.plan(driver.now)
    used = [driver.policy.ledger.used(name).cpu for name in (A, B)]
    assert used == [8000, 8000]


def test_lent_capacity_returns_to_its_owner():
    driver = WorkspaceDriver(limited(0), limited(0, B))
    borrowed = driver.submit(spec(40))
    runs = driver.start_all()
    assert len(runs) == 16
    driver.wait(0.2)
    owner = driver.submit(spec(40), B)
    sequence = dict.fromkeys(("w1", "w2"), 0)
    running = list(runs)
    for run in runs:
        running.remove(run)
        sequence[run.worker] += 1
        own = [listed(r, 50) for r in running if r.worker == run.worker]
        ended = [end_of(run, sequence[run.worker])]
        driver.report(run.worker, running=own, ended=ended)
        running += driver.start_all()
    count = {job.job_id: 0 for job in (borrowed, owner)}
    for run in running:
        count[run.task.job] += 1
    assert count == {borrowed.job_id: 8, owner.job_id: 8}
    reason = driver.policy.held_back_by(borrowed, borrowed.accepted.spec.steps[0])
    assert reason.startswith("workspace a uses its fair share of 50.0% of service")


def test_large_task_is_not_passed_by_small_ones_beyond_the_rate():
    """They took each core that became free, and the large task never fitted."""
    driver = WorkspaceDriver(limited(0, weight=1.0), limited(0, B), names=("w1",))
    for number in range(12):
        # The bucket holds the first five.
        driver.submit(spec(1 if number < 5 else 4))
    running = driver.start_all()
    assert len(running) == 8
    driver.wait(0.3)
    large = driver.submit(spec(1, Resources(4000, 10)), B)
    for sequence in range(1, 5):
        run = running.pop(0)
        own = [listed(r, 50) for r in running]
        driver.report("w1", running=own, ended=[end_of(run, sequence)])
        running += driver.start_all()
        driver.wait(0.2)
    assert not large.pending


def test_few_workers_are_kept_for_work_beyond_a_limit():
    """Lent capacity would stay unused beside work that may not start anyway."""
    names = ("w1", "w2", "w3", "w4")
    driver = WorkspaceDriver(limited(4), limited(0, B, weight=1.0), names=names)
    for number in range(12):
        # The bucket holds the first five.
        driver.submit(spec(1 if number < 5 else 8), B)
    driver.start_all()
    for _ in range(9):
        driver.submit(spec(1, Resources(4000, 10)))
    driver.wait(0.3)
    for name in names:
        rows = [r for r in driver.runs(B) if r.worker == name]
        over = [r for r in rows if driver.policy.rates.is_over(r.task.job)]
        rows.remove(over[0])
        ended = [end_of(over[0])]
        driver.report(name, running=[listed(r, 50) for r in rows], ended=ended)
    driver.start_all()
    kept = driver.scheduler.kept_workers[SERVICE]
    assert len(kept.kept_from(Standing.OVER_RATE, Rank.LATE)) == 2


def test_changes_are_logged_once(caplog):
    logging.set_verbosity(logging.INFO)
    driver = WorkspaceDriver(limited(1))
    for _ in range(5):
        driver.submit(spec(2))
        driver.wait(1.1)
        driver.report("w1", running=[listed(r) for r in driver.runs()])
        driver.start_all()
    lines = [r.getMessage() for r in caplog.records if "E262" in r.getMessage()]
    assert len([line for line in lines if line.startswith("E2620")]) == 1


def test_overview_names_what_waits():
    driver = WorkspaceDriver(limited(2, weight=1.0, priority=3))
    for _ in range(7):
        driver.submit(spec(1))
    driver.scheduler.plan(driver.now)
    (status,) = driver.policy.overview()
    assert (status.name, status.weight, status.priority) == (A, 1.0, 3)
    assert status.used == Resources(2000, 20)
    assert (status.waiting_jobs, status.over_rate_jobs) == (5, 2)


@settings(max_examples=60, deadline=None, derandomize=True)
@given(st.lists(st.tuples(st.integers(1, 6), st.booleans()), max_size=12))
def test_plan_without_workspaces_is_that_of_a_scheduler_without_them(jobs):
    """A deployment without workspaces must be scheduled as before."""
    placed = []
    for enforced in (False, True):
        driver = WorkspaceDriver(enforced=enforced)
        for tasks, gang in jobs:
            driver.submit(spec(tasks, gang=gang), WorkspaceName(""))
        runs = driver.start_all()
        placed.append([(run.task, run.worker) for run in runs])
        assert not driver.policy.is_active
    assert placed[0] == placed[1]


def test_state_of_ended_jobs_is_dropped():
    """A leader that keeps something of each job runs out of memory in the end."""
    driver = WorkspaceDriver(limited(0, weight=1.0))
    for number in range(9):
        job = driver.submit(spec(1))
        (run,) = driver.start_all()
        assert driver.policy.standing(job) is (
            Standing.WITHIN_SHARE if number < 5 else Standing.OVER_RATE
        )
        worker = driver.worker(run.worker)
        sequence = worker.process.last_seen_sequence + 1
        driver.report(run.worker, ended=[end_of(run, sequence)])
        assert job.progress.state is JobState.COMPLETED
    assert driver.policy.ledger._runs == {}
    assert driver.policy._jobs == {A: {}}
    assert driver.policy.rates._over_rate == set()
