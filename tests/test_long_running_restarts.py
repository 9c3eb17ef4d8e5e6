"""Long-running tasks run again within seconds after a start without an answer.

Guards against tasks that a late start binds to a worker which cannot take them: they
waited for 12 s, or 23 s if the worker was silent, although others had room.
"""

from dataclasses import dataclass, replace

import msgspec
import pytest

from ebonyhub.fleet.model import Vm, VmState
from ebonyhub.ids import PoolName, RackId, TaskId, VmId, WorkerId
from ebonyhub.jobs.model import JobSpec, Resources, StepSpec
from ebonyhub.jobs.records import ProgressRecord
from ebonyhub.scheduling.model import EndedTask, OrderFailure, RunOutcome
from ebonyhub.scheduling.orders import StartRun
from ebonyhub.scheduling.state import RESPONSE_MAX_AGE_SECONDS
from standins.emulator import SERVICE
from tests.test_scheduler import JOB, Driver, entry

TASK = TaskId(JOB, 0, 0, 0)
DEMAND = Resources(1000, 1)
SERVING = JobSpec("t", (StepSpec(1, DEMAND, long_running=True),))
BATCH = JobSpec("t", (StepSpec(1, DEMAND, 60_000),))
# Time in which a silent worker becomes unresponsive.
SILENT_SECONDS = RESPONSE_MAX_AGE_SECONDS + 0.1


def vm_list(state):
    return [
        Vm(
            VmId(f"vm-{name}"), PoolName(SERVICE), own_state, "z", RackId("r"),
            Resources(8000, 8000, 0), WorkerId(name),
        )
        for name, own_state in (("w1", state), ("w2", VmState.UP))
    ]  # fmt: skip


def nothing(driver):
    pass


def drain(driver):
    driver.scheduler.handle_worker_entry(entry("w1", draining=True), driver.now)


def cordon(driver):
    driver.scheduler.set_cordoned({VmId("vm-w1")})


def vm_down(driver):
    driver.wait(SILENT_SECONDS)
    driver.worker("w1").silent_since = driver.now - 0.1
    driver.scheduler.expire_workers_without_vm(
        vm_list(VmState.DOWN), driver.now, int(driver.now * 1000)
    )
    driver.report("w2")


def forgotten_and_vm_down(driver):
    """Forget the worker, whose entry is gone."""
    worker = driver.worker("w1")
    driver.scheduler.forget_worker(worker, driver.now)
    driver.wait(SILENT_SECONDS)
    driver.scheduler.expire_workers_without_vm(
        vm_list(VmState.DOWN), driver.now, int(driver.now * 1000)
    )
    driver.report("w2")


@dataclass(frozen=True)
class Row:
    """What becomes of the worker w1, to which a late start binds a task."""

    label: str
    change: object
    spec: JobSpec = SERVING
    # Worker on which the task starts again at once, None if it waits.
    expected: str | None = "w2"


ROWS = [
    Row("failed there", nothing, expected="w1"),
    Row("drains", drain),
    Row("cordoned", cordon),
    Row("VM down", vm_down),
    Row("forgotten, VM down", forgotten_and_vm_down),
]
# A second run of such a task would be worse than a wait.
BATCH_ROWS = [
    replace(row, label=f"batch, {row.label}", spec=BATCH, expected=None) for row in ROWS
]


def take_start(driver, failure):
    """Return the next ordered run, after its start got this result."""
    scheduler = driver.scheduler
    while True:
        order = scheduler.outbox.popleft()
        if isinstance(order, StartRun):
            scheduler.handle_start_result(order.run, failure, driver.now)
            return order.run


def plan_and_store(driver):
    driver.scheduler.plan(driver.now)
    driver.store_all()
    driver.scheduler.release_starts(driver.now)


def start_without_an_answer(driver, spec):
    """Start a task on w1; its start has no answer, and succeeds when it is repeated."""
    driver.submit(spec)
    driver.worker("w2").cordoned = True
    driver.tick()
    plan_and_store(driver)
    run = take_start(driver, OrderFailure.UNKNOWN)
    assert run.worker == "w1"
    driver.wait(0.1)
    driver.report("w1")
    take_start(driver, None)
    driver.worker("w2").cordoned = False
    driver.wait(0.5)
    return run


def fail(driver, run):
    driver.report("w1", ended=[EndedTask(1, TASK, run.number, RunOutcome.FAILED, "")])
    driver.report("w2")


def start_again(driver):
    """Return the worker on which the task starts, None if it waits."""
    driver.scheduler.outbox.clear()
    driver.tick()
    plan_and_store(driver)
    runs = [o.run for o in driver.scheduler.outbox if isinstance(o, StartRun)]
    assert all(run.task == TASK for run in runs)
    return runs[0].worker if runs else None


@pytest.mark.parametrize("row", [*ROWS, *BATCH_ROWS], ids=lambda row: row.label)
def test_failed_task_starts_again(row):
    driver = Driver()
    run = start_without_an_answer(driver, row.spec)
    fail(driver, run)
    row.change(driver)
    assert start_again(driver) == row.expected


@pytest.mark.parametrize("row", ROWS, ids=lambda row: row.label)
def test_failed_task_starts_again_after_a_take_over(row):
    """The record names the worker; the successor must not wait for it, either."""
    driver = Driver()
    run = start_without_an_answer(driver, row.spec)
    fail(driver, run)
    job = driver.scheduler.jobs[JOB]
    assert job.progress.occurrences[0][0].unanswered_starts
    successor = Driver()
    successor.now = driver.now
    successor.report("w1")
    successor.report("w2")
    accepted, progress = job.accepted, job.progress
    wall_ms = int(successor.now * 1000)
    successor.scheduler.load_job(accepted, progress, False, successor.now, wall_ms)
    assert successor.scheduler.late_starts.get(TASK) is not None
    row.change(successor)
    assert start_again(successor) == row.expected


@pytest.mark.parametrize("answered_during_commit", [0, 1, 2, 5])
def test_answer_during_a_commit_is_stored(answered_during_commit):
    """A successor bound the task, since the record did not tell of the answer."""
    driver = Driver()
    step = msgspec.structs.replace(SERVING.steps[0], count=5)
    job = driver.submit(JobSpec("t", (step,)))
    plan_and_store(driver)
    starts = [o for o in driver.scheduler.outbox if isinstance(o, StartRun)]
    during = len(starts) - answered_during_commit
    for order in starts[:during]:
        driver.scheduler.handle_start_result(order.run, None, driver.now)
    version, stored = job.version, msgspec.msgpack.encode(job.progress)
    for order in starts[during:]:
        driver.scheduler.handle_start_result(order.run, None, driver.now)
    driver.scheduler.mark_stored(job, version)
    if job.job_id in driver.scheduler.dirty:
        stored = msgspec.msgpack.encode(job.progress)
    record = msgspec.msgpack.decode(stored, type=ProgressRecord)
    runs = record.occurrences[0][0].runs.values()
    assert [run.answered for run in runs] == [True] * 5


@pytest.mark.parametrize("change", [drain, cordon])
def test_task_waits_while_the_leaving_worker_may_run_it(change):
    """A late run that the worker lists has to end before another one starts."""
    driver = Driver()
    run = start_without_an_answer(driver, SERVING)
    fail(driver, run)
    worker = driver.worker("w1")
    worker.add(run)
    change(driver)
    assert start_again(driver) is None
    worker.remove(run)
    assert start_again(driver) == "w2"
