"""What is kept of a worker from one of its processes to the next, decision by decision.

Guards against clocks, leases, tickets, entries, stops and evidence of crashes of one
process that count for another one under the same id.
"""

from dataclasses import replace

import pytest

from ebonyhub.fleet.model import Vm, VmState
from ebonyhub.ids import LeaderToken, PoolName, RackId, WorkerId
from ebonyhub.jobs.model import JobSpec, Resources, StepSpec
from ebonyhub.scheduling.model import OrderFailure
from ebonyhub.scheduling.orders import RaiseToken, StartRun, StopRun
from ebonyhub.scheduling.runs import RunPhase
from ebonyhub.scheduling.state import Advice
from ebonyhub.scheduling.worker_process import (
    LATE_CALL_SECONDS,
    SLOW_CLOCK_FACTOR,
    WORKER_LEASE_SECONDS,
    WorkerProcess,
)
from standins.emulator import SERVICE
from tests.test_scheduler import JOB, Driver, entry, listed

TERM, RAISED = LeaderToken(5), LeaderToken(9)
LONG_TASK = JobSpec("t", (StepSpec(1, Resources(1000, 1), 20_000),))
MAX_LEASE = 10.0
CLOCKS = pytest.mark.parametrize(
    "clock_ms", [0, 900_000, 50_000_000], ids=["behind", "equal", "ahead"]
)


def former_process():
    """Return a process with the clock 900,000 at 900 s, and a lease from 900 s on."""
    process = WorkerProcess(1, TERM)
    process.read_clock(900_000, 899.9, 900.0)
    process.grant_lease(900.0)
    return process


def ends_between(process, before, after):
    assert not process.lease_has_ended(before)
    assert process.lease_has_ended(after)


def test_lease_that_a_predecessor_may_have_granted_is_the_longest_one():
    process = former_process()
    slowest = 900.0 + MAX_LEASE * SLOW_CLOCK_FACTOR
    ends_between(process, slowest, slowest + 0.2)


def test_lease_of_a_fenced_process_ends_with_the_last_renewal():
    process = former_process()
    process.read_clock(1_000_000, 999.9, 1000.0)
    process.grant_lease(1000.0)
    slowest = 1000.0 + WORKER_LEASE_SECONDS * SLOW_CLOCK_FACTOR
    ends_between(process, slowest, slowest + 0.2)


@CLOCKS
def test_renewal_names_the_clock_of_the_next_process(clock_ms):
    process = former_process().successor(2, 900.0)
    process.read_clock(clock_ms, 899.9, 900.0)
    assert process.grant_lease(901.0) == clock_ms + 1000 + 6000
    assert process.grant_start(901.0) == clock_ms + 1000 + 1800


@CLOCKS
def test_late_calls_extend_the_lease_of_a_process_without_a_fence(clock_ms):
    process = former_process().successor(2, 900.0)
    process.read_clock(clock_ms, 899.9, 900.0)
    latest = 900.0 + LATE_CALL_SECONDS + MAX_LEASE * SLOW_CLOCK_FACTOR
    ends_between(process, latest - 0.1, latest + 0.1)


@CLOCKS
@pytest.mark.parametrize(("sent_at", "fenced"), [(900.1, False), (900.3, True)])
def test_only_calls_with_the_raised_token_are_a_fence(sent_at, fenced, clock_ms):
    process = former_process().successor(2, 900.0)
    process.read_clock(clock_ms, 899.9, 900.0)
    process.set_token(RAISED, 900.2)
    process.read_clock(clock_ms + 1000, sent_at, 901.0)
    assert process.is_fenced is fenced
    assert process.refuses_token(TERM, sent_at) is fenced
    assert not process.refuses_token(RAISED, sent_at)
    slowest = 901.0 + MAX_LEASE * SLOW_CLOCK_FACTOR
    assert process.lease_has_ended(slowest + 0.2) is fenced


def test_second_restart_needs_another_token():
    process = former_process().successor(2, 900.0)
    process.set_token(RAISED, 900.2)
    process.read_clock(5, 900.3, 900.4)
    third = process.successor(3, 901.0)
    assert not third.is_fenced
    assert not third.has_own_token
    assert not third.refuses_token(TERM, 901.5)
    third.read_clock(7, 901.5, 901.6)
    assert not third.is_fenced


def restart(driver, name, born, running=(), fence=True):
    """Let the next process report, and answer a call with a raised token."""
    driver.report(name, born=born, running=running)
    if fence:
        driver.wait(0.01)
        token = LeaderToken(100 + born)
        driver.scheduler.set_process_token(WorkerId(name), token, driver.now)
        driver.wait(0.01)
        driver.report(name, born=born, running=running)


def test_restart_asks_for_a_token_and_nothing_starts_before_it():
    driver = Driver(("w1",))
    restart(driver, "w1", 2, fence=False)
    driver.scheduler.handle_worker_entry(entry("w1", born=2), driver.now)
    assert [order.worker for order in driver.orders(RaiseToken)] == ["w1"]
    driver.submit(LONG_TASK)
    assert driver.start_all() == []
    restart(driver, "w1", 2)
    assert [run.worker for run in driver.start_all()] == ["w1"]


def test_tickets_hold_for_one_process():
    """The first start of each step was refused for its ticket."""
    driver = Driver()
    names = [WorkerId("w1"), WorkerId("w2")]
    advice = Advice(dict.fromkeys(names, "ticket"), driver.now + 60)
    driver.scheduler.advice[JOB, 0, 0] = advice
    restart(driver, "w1", 2)
    assert set(driver.scheduler.advice[JOB, 0, 0].tickets) == {WorkerId("w2")}


@pytest.mark.parametrize(
    ("capacity", "starts"), [(Resources(500, 8000), 0), (Resources(8000, 8000), 1)]
)
def test_capacity_of_the_former_process_starts_nothing_on_the_next(capacity, starts):
    driver = Driver(("w1",))
    restart(driver, "w1", 2)
    driver.submit(LONG_TASK)
    assert driver.start_all() == []
    present = replace(entry("w1", born=2), capacity=capacity)
    driver.scheduler.handle_worker_entry(present, driver.now)
    assert len(driver.start_all()) == starts
    # An entry of the former process that arrives only now allows no start either.
    driver.scheduler.handle_worker_entry(entry("w1"), driver.now)
    assert driver.start_all() == []


def confirmed_on(driver, name):
    """Start a task and let its worker list it; return the run."""
    (run,) = driver.start_all()
    driver.wait(0.1)
    driver.report(name, running=[listed(run, 1)], born=driver.worker(name).born_ms)
    driver.wait(0.1)
    return run


def evidence(job):
    return dict(job.progress.occurrences[0][0].crash_evidence)


@pytest.mark.parametrize(
    ("entries", "expected"),
    [
        pytest.param([], {0: 2}, id="crash"),
        pytest.param([(1, True), (2, False)], {}, id="drain"),
        pytest.param([(1, True)], {}, id="drain, next entry not seen yet"),
        pytest.param([(2, False)], {0: 2}, id="crash, next entry seen"),
        pytest.param([(2, True)], {0: 2}, id="crash, the next process drains"),
    ],
)
def test_drain_of_one_process_explains_no_crash_of_another(entries, expected):
    driver = Driver(("w1",))
    job = driver.submit(LONG_TASK)
    confirmed_on(driver, "w1")
    for born, draining in entries:
        seen = entry("w1", draining, born)
        driver.scheduler.handle_worker_entry(seen, driver.now)
    restart(driver, "w1", 2)
    assert evidence(job) == expected


def test_late_entry_of_a_drained_process_explains_no_crash_of_the_next():
    driver = Driver(("w1",))
    restart(driver, "w1", 2)
    driver.scheduler.handle_worker_entry(entry("w1", born=2), driver.now)
    job = driver.submit(LONG_TASK)
    confirmed_on(driver, "w1")
    driver.scheduler.handle_worker_entry(entry("w1", True, 1), driver.now)
    restart(driver, "w1", 3)
    assert evidence(job) == {0: 2}


def unanswered(driver):
    """Order a start that gets no answer; return its run."""
    scheduler = driver.scheduler
    scheduler.plan(driver.now)
    for job in list(scheduler.dirty.values()):
        scheduler.mark_stored(job, job.version)
    scheduler.release_starts(driver.now)
    (order,) = driver.orders(StartRun)
    scheduler.handle_start_result(order.run, OrderFailure.UNKNOWN, driver.now)
    return order.run


def list_as_down(driver, name):
    driver.worker(name).silent_since = driver.now
    driver.wait(0.2)
    vm = Vm(
        driver.worker(name).entry.vm, PoolName(SERVICE), VmState.DOWN, "z",
        RackId("r"), Resources(), WorkerId(""),
    )  # fmt: skip
    driver.scheduler.expire_workers_without_vm([vm], driver.now, 0, driver.now)


def test_crash_under_an_unanswered_start_counts_once():
    """It counted when the VM was listed as down, and again when it was back."""
    driver = Driver(("w1",))
    job = driver.submit(LONG_TASK)
    run = unanswered(driver)
    list_as_down(driver, "w1")
    assert run.key in driver.worker("w1").runs
    assert evidence(job) == {0: 1}
    driver.wait(1.0)
    restart(driver, "w1", 2)
    assert run.key not in driver.worker("w1").runs
    assert evidence(job) == {0: 1}


def refuse_repetition(driver):
    """Refuse a start that was sent again; return the stop that follows."""
    (repeated,) = driver.orders(StartRun)
    failure = OrderFailure.NO_CAPACITY
    driver.scheduler.handle_start_result(repeated.run, failure, driver.now)
    (stop,) = driver.orders(StopRun)
    return stop


def test_run_planned_before_a_restart_is_one_of_the_next_process():
    """Its task was suspected of the crash of a process on which it never was."""
    driver = Driver(("w1",))
    job = driver.submit(LONG_TASK)
    driver.scheduler.plan(driver.now)
    restart(driver, "w1", 2)
    driver.scheduler.handle_worker_entry(entry("w1", born=2), driver.now)
    driver.scheduler.mark_stored(job, job.version)
    driver.scheduler.release_starts(driver.now)
    (order,) = driver.orders(StartRun)
    driver.scheduler.handle_start_result(order.run, OrderFailure.UNKNOWN, driver.now)
    driver.wait(0.1)
    driver.report("w1", born=2)
    stop = refuse_repetition(driver)
    driver.scheduler.handle_stop_result(stop, None, driver.now)
    driver.wait(0.1)
    driver.report("w1", born=2)
    assert driver.worker("w1").runs == {}
    assert evidence(job) == {}


@pytest.mark.parametrize("answered", ["before the restart", "after it"])
def test_stop_confirmed_by_the_former_process(answered):
    """The next process takes the start all the same, until it is fenced."""
    driver = Driver(("w1",))
    driver.submit(LONG_TASK)
    run = unanswered(driver)
    driver.wait(0.1)
    driver.report("w1")
    stop = refuse_repetition(driver)
    driver.wait(0.1)
    if answered == "before the restart":
        driver.scheduler.handle_stop_result(stop, None, driver.now)
    driver.wait(0.1)
    restart(driver, "w1", 2, fence=False)
    if answered == "after it":
        driver.scheduler.handle_stop_result(stop, None, driver.now)
    driver.wait(0.1)
    driver.report("w1", born=2)
    assert run.key in driver.worker("w1").runs
    driver.tick()
    (repeated,) = driver.orders(StopRun)
    driver.scheduler.handle_stop_result(repeated, None, driver.now)
    driver.wait(0.1)
    driver.report("w1", born=2)
    assert run.key not in driver.worker("w1").runs


def test_renewals_after_an_unanswered_start_extend_the_time_it_is_kept():
    """The next process carries them out, too, and its lease then ends later."""
    driver = Driver(("w1",))
    driver.submit(LONG_TASK)
    run = unanswered(driver)
    started_at = driver.now
    driver.wait(1.5)
    driver.worker("w1").process.grant_lease(driver.now)
    renewed_at = driver.now
    driver.worker("w1").silent_since = started_at
    latest = LATE_CALL_SECONDS + MAX_LEASE * SLOW_CLOCK_FACTOR
    driver.wait(started_at + latest + 0.5 - driver.now)
    driver.tick()
    assert run.key in driver.worker("w1").runs
    driver.wait(renewed_at + latest + 0.1 - driver.now)
    driver.tick()
    assert run.key not in driver.worker("w1").runs


@pytest.mark.parametrize("born", [1, 2], ids=["same process", "next process"])
def test_worker_made_anew_gets_another_token(born):
    driver = Driver(("w1",))
    name = WorkerId("w1")
    driver.scheduler.set_process_token(name, RAISED, driver.now)
    driver.scheduler.handle_worker_entry_removed(name)
    driver.wait(3.0)
    driver.tick()
    assert name not in driver.scheduler.workers
    driver.scheduler.outbox.clear()
    driver.scheduler.handle_worker_entry(entry("w1", born=born), driver.now)
    assert [order.worker for order in driver.orders(RaiseToken)] == ["w1"]
    driver.report("w1", born=born)
    driver.submit(LONG_TASK)
    assert driver.start_all() == []
    restart(driver, "w1", born)
    assert len(driver.start_all()) == 1


@pytest.mark.parametrize("phase", [RunPhase.ORDERED, RunPhase.UNCERTAIN])
@pytest.mark.parametrize(
    ("state", "kept"),
    [(VmState.DOWN, True), (VmState.MOVING, False), (VmState.MAINTENANCE, False)],
    ids=["down", "moving", "maintenance"],
)
def test_start_without_an_answer_is_kept_if_its_id_may_be_back(phase, state, kept):
    driver = Driver(("w1",))
    driver.submit(LONG_TASK)
    run = unanswered(driver)
    run.phase = phase
    worker = driver.worker("w1")
    worker.silent_since = driver.now
    driver.wait(0.2)
    vm = Vm(
        worker.entry.vm, PoolName(SERVICE), state, "z", RackId("r"), Resources(),
        WorkerId(""),
    )  # fmt: skip
    driver.scheduler.expire_workers_without_vm([vm], driver.now, 0, driver.now)
    assert (run.key in worker.runs) is kept
