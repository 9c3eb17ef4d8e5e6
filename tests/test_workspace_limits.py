"""Limits of workspaces in the scheduler.

Guards against starts beyond a limit: by several starts in one pass, by orders that got
no answer, by a new leader that does not know of a run, and by limits that change. And
against VMs that are moved for work that may not start.
"""

import random
from dataclasses import replace

import msgspec
import pytest
from absl import logging
from hypothesis import given, settings
from hypothesis import strategies as st
from prometheus_client import CollectorRegistry

from ebonyhub.clock import SystemClock
from ebonyhub.cluster.leadership import Term
from ebonyhub.cluster.metadata_store import Item
from ebonyhub.cluster.mirror import JobMirror
from ebonyhub.configuration import Workspace
from ebonyhub.ids import (
    JobId,
    LeaderToken,
    PoolName,
    Revision,
    StoreLease,
    TaskId,
    WorkspaceName,
)
from ebonyhub.jobs.model import AcceptedJob, JobSpec, Resources, StepSpec
from ebonyhub.jobs.records import (
    JobState,
    ProgressRecord,
    accepted_key,
    progress_key,
)
from ebonyhub.metrics import Metrics
from ebonyhub.scheduling.controller import Controller
from ebonyhub.scheduling.crashes import CrashEvidence
from ebonyhub.scheduling.lifecycle import add_crash_evidence
from ebonyhub.scheduling.model import (
    EndedTask,
    OrderFailure,
    RunningTask,
    RunOutcome,
)
from ebonyhub.scheduling.orders import StartRun, StopRun
from ebonyhub.scheduling.runs import RunPhase
from ebonyhub.scheduling.scheduler import Scheduler
from ebonyhub.scheduling.workspaces.policy import WorkspaceRules
from ebonyhub.scheduling.workspaces.status import Standing
from standins.emulator import QUEUE, SERVICE, one_queue_configuration
from standins.memory_store import MemoryStore, StoreCore
from tests.test_scheduler import Driver, entry, listed

A, B = WorkspaceName("a"), WorkspaceName("b")
CORE = Resources(1000, 10)
NO_LIMIT = Resources()


def configuration(*workspaces):
    by_name = {workspace.name: workspace for workspace in workspaces}
    return replace(one_queue_configuration(), workspaces=by_name)


def limited(cores, name=A, weight=100.0, **fields):
    return Workspace(name, weight=weight, limit=Resources(cores * 1000), **fields)


def spec(tasks, demand=CORE, **fields):
    return JobSpec("t", (StepSpec(tasks, demand, 1000, **fields),))


class WorkspaceDriver(Driver):
    """Drives a scheduler with workspaces; each worker has 8 cores."""

    def __init__(self, *workspaces, names=("w1", "w2"), enforced=True):
        super().__init__(())
        self.scheduler = Scheduler(WorkspaceRules(enforced=enforced))
        self.scheduler.records_loaded = True
        self.scheduler.configure(configuration(*workspaces))
        self.policy = self.scheduler.workspaces
        self.numbers = 0
        for name in names:
            self.scheduler.handle_worker_entry(entry(name), self.now)
            self.report(name)

    def submit(self, job_spec, workspace=A, stored_limit=NO_LIMIT):
        self.numbers += 1
        accepted = AcceptedJob(
            JobId(f"j{self.numbers}"), QUEUE, SERVICE, 3, int(self.now * 1000),
            job_spec, workspace, stored_limit,
        )  # fmt: skip
        self.load(accepted)
        return self.scheduler.jobs[accepted.job]

    def load(self, accepted, progress=None):
        wall_ms = int(self.now * 1000)
        self.scheduler.load_job(accepted, progress, False, self.now, wall_ms)

    def store(self):
        for job in list(self.scheduler.dirty.values()):
            self.scheduler.mark_stored(job, job.version)
        self.scheduler.release_starts(self.now)

    def runs(self, workspace=A):
        return [
            run
            for worker in self.scheduler.workers.values()
            for run in worker.runs.values()
            if self.policy.ledger.workspace_of((run.worker, *run.key)) == workspace
        ]

    def successor(self):
        """Return a new leader that has loaded the stored records."""
        other = WorkspaceDriver(*self.policy._known.values(), names=())
        other.now = self.now
        for name in self.scheduler.workers:
            other.scheduler.handle_worker_entry(entry(str(name)), self.now)
        other.scheduler.inherited_leases_until = self.now + 12.0
        for job in self.scheduler.jobs.values():
            progress = msgspec.msgpack.decode(
                msgspec.msgpack.encode(job.progress), type=ProgressRecord
            )
            other.load(job.accepted, progress)
        return other


def end_of(run, sequence=1, outcome=RunOutcome.DONE):
    return EndedTask(sequence, run.task, run.number, outcome, "")


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
    # A report that does not list it leads to a stop; only that makes it certain.
    driver.wait(0.1)
    name = orders[0].run.worker
    driver.report(name, sent_at=driver.now)
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


def test_take_over_waits_for_runs_of_jobs_that_have_just_ended():
    """The record of a cancelled job names no runs, but they may not be stopped yet."""
    driver = WorkspaceDriver(limited(2))
    first = driver.submit(spec(2))
    runs = driver.start_all()
    driver.scheduler.cancel(first.job_id, driver.now, int(driver.now * 1000))
    second = driver.submit(spec(2))
    successor = driver.successor()
    holder = runs[0].worker
    (other,) = {"w1", "w2"} - {holder}
    successor.report(other)
    successor.scheduler.plan(successor.now)
    assert successor.runs() == []
    successor.report(holder, running=[listed(run, 50) for run in runs])
    successor.scheduler.plan(successor.now)
    assert {run.task.job for run in successor.runs()} == {first.job_id}
    ends = [end_of(r, n, RunOutcome.STOPPED) for n, r in enumerate(runs, 1)]
    successor.report(holder, ended=ends)
    successor.scheduler.plan(successor.now)
    assert {run.task.job for run in successor.runs()} == {second.job_id}


def test_what_is_held_for_unknown_runs_ends_with_the_inherited_leases():
    driver = WorkspaceDriver(limited(2))
    first = driver.submit(spec(2))
    driver.start_all()
    driver.scheduler.cancel(first.job_id, driver.now, int(driver.now * 1000))
    driver.submit(spec(2))
    successor = driver.successor()
    successor.wait(11.9)
    successor.report("w1")
    successor.scheduler.plan(successor.now)
    assert successor.runs() == []
    successor.wait(0.2)
    successor.report("w1")
    successor.scheduler.plan(successor.now)
    assert len(successor.runs()) == 2


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
        sequence = worker.last_seen_sequence + 1
        driver.report(run.worker, ended=[end_of(run, sequence)])
        assert job.progress.state is JobState.COMPLETED
    assert driver.policy.ledger._runs == {}
    assert driver.policy._jobs == {A: {}}
    assert driver.policy.rates._over_rate == set()
