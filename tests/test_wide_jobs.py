"""Jobs of thousands of tasks beside small ones.

Guards against a leader that loses its lease since the cost of each event grows with the
tasks of a job, and against wide jobs that take all starts from the others.
"""

import asyncio
from dataclasses import dataclass

import msgspec
import pytest

from ebonyhub.ids import JobId, WorkerId
from ebonyhub.jobs.model import (
    MAX_GANG_TASKS,
    MAX_TASKS,
    AcceptedJob,
    JobSpec,
    Resources,
    StepSpec,
)
from ebonyhub.jobs.records import JobState, accepted_key
from ebonyhub.platform.submissions import decode_submission
from ebonyhub.scheduling.model import EndedTask, OrderFailure, RunOutcome
from ebonyhub.scheduling.order_queue import (
    MAX_ORDERS,
    MAX_ORDERS_PER_WORKER,
    OrderQueue,
)
from ebonyhub.scheduling.orders import StartRun, StopRun
from ebonyhub.scheduling.placement import (
    MAX_RUNS_PER_WORKER,
    StepRequirements,
    choose_gang_workers,
)
from ebonyhub.scheduling.planning import MAX_STARTS_PER_PASS
from ebonyhub.scheduling.runs import Worker
from ebonyhub.scheduling.starts_under_way import MAX_STARTS, MAX_STARTS_OF_JOB
from standins.emulator import MAX_ATTEMPTS, QUEUE, SERVICE
from tests.test_scheduler import Driver, entry
from tests.virtual_network import Fate, FateRule
from tests.worker_process_driver import run_virtually

SMALL = Resources(1, 1)
LONGEST = 60.0


class CountingSet(set):
    """A set that counts the look-ups."""

    lookups = 0

    def __contains__(self, value):
        CountingSet.lookups += 1
        return super().__contains__(value)


def wide_spec(count, **fields):
    return JobSpec("t", (StepSpec(count, SMALL, 1000, **fields),))


def start_some(driver, job):
    """Plan and store; return the starts that are ordered."""
    driver.scheduler.plan(driver.now)
    driver.scheduler.mark_stored(job, job.version)
    driver.scheduler.release_starts(driver.now)
    return [order.run for order in driver.orders(StartRun)]


@pytest.mark.parametrize("count", [1000, MAX_TASKS])
def test_discarded_starts_cost_the_same_with_many_tasks(count):
    """Each discard went through all tasks of the job, so n of them cost n * n."""
    driver = Driver()
    job = driver.submit(wide_spec(count))
    runs = start_some(driver, job)
    assert runs
    step = job.progress.occurrences[0][0]
    step.done = CountingSet(step.done)
    CountingSet.lookups = 0
    for run in runs:
        driver.scheduler.handle_start_result(run, OrderFailure.REFUSED, driver.now)
    assert CountingSet.lookups <= 4 * len(runs)
    assert len(job.pending[(0, 0)]) == count


def test_ends_cost_the_same_with_many_tasks():
    """The end of a task that was taken for lost went through all tasks."""
    driver = Driver()
    job = driver.submit(wide_spec(MAX_TASKS))
    runs = start_some(driver, job)
    for run in runs:
        driver.scheduler.handle_start_result(run, None, driver.now)
    step = job.progress.occurrences[0][0]
    step.done = CountingSet(step.done)
    CountingSet.lookups = 0
    (name, *_) = {run.worker for run in runs}
    ends = [
        EndedTask(number, run.task, run.number, RunOutcome.DONE, "")
        for number, run in enumerate([r for r in runs if r.worker == name], 1)
    ]
    driver.report(name, ended=ends)
    assert CountingSet.lookups <= 4 * len(ends)
    assert len(step.done) == len(ends)


@pytest.mark.parametrize("wide_jobs", [1, 4])
def test_wide_jobs_leave_starts_to_others(wide_jobs):
    """All tasks were ordered at once, so that those of other jobs waited behind."""
    driver = Driver()
    for number in range(wide_jobs):
        driver.submit(wide_spec(MAX_TASKS), name=f"wide{number}")
    driver.scheduler.plan(driver.now)
    small = driver.submit(wide_spec(2), name="small")
    driver.scheduler.plan(driver.now)
    for worker in driver.scheduler.workers.values():
        counts = worker.starting.counts
        assert len(worker.starting.jobs) <= MAX_STARTS
        assert max(counts.values()) <= MAX_STARTS_OF_JOB
    assert not small.pending


def test_planning_pass_ends_and_asks_for_another():
    names = [f"w{number}" for number in range(40)]
    driver = Driver(names)
    job = driver.submit(wide_spec(MAX_TASKS))
    driver.scheduler.plan_changed(driver.now)
    assert len(driver.scheduler.planned_runs) == MAX_STARTS_PER_PASS
    assert driver.scheduler.plan_again
    while driver.scheduler.plan_again:
        driver.scheduler.plan_changed(driver.now)
    planned = len(driver.scheduler.planned_runs)
    assert planned == len(names) * MAX_STARTS_OF_JOB
    # Answered starts make room for others.
    runs = start_some(driver, job)
    for run in runs:
        driver.scheduler.handle_start_result(run, None, driver.now)
    driver.scheduler.plan_changed(driver.now)
    assert driver.scheduler.planned_runs


def test_worker_has_no_more_runs_than_a_report_lists():
    """A report with more rows than are read made its worker unreachable."""
    driver = Driver(["w1"])
    job = driver.submit(wide_spec(3000))
    while runs := start_some(driver, job):
        for run in runs:
            driver.scheduler.handle_start_result(run, None, driver.now)
    assert len(driver.worker("w1").runs) == MAX_RUNS_PER_WORKER


@pytest.mark.parametrize("steps", [1000, MAX_TASKS])
def test_job_of_many_steps_is_planned_in_turns(steps):
    """A pass looked at all ready steps, and steps without a worker came first."""
    rows = [StepSpec(1, SMALL, 1000, required_label="none")] * (steps - 1)
    driver = Driver()
    job = driver.submit(JobSpec("t", (*rows, StepSpec(1, SMALL, 1000))))
    passes = 0
    while len(job.pending) == steps and passes < steps:
        driver.scheduler.plan(driver.now)
        passes += 1
    assert len(job.pending) == steps - 1
    assert passes <= steps // 512 + 1


def test_gang_is_placed_by_going_through_the_workers_once():
    """Each member went through all full workers again."""
    workers = []
    for number in range(50):
        workers.append(Worker(entry(f"w{number}")))
    step = StepSpec(400, Resources(1000, 1), gang=True)
    requirements = StepRequirements(JobId("j"), 0, 0, step)
    chosen = choose_gang_workers(requirements, workers, range(400))
    assert chosen is not None and len(chosen) == 400
    bound = {7: WorkerId("w3"), 8: WorkerId("w3")}
    chosen = choose_gang_workers(requirements, workers, range(400), bound)
    assert chosen is not None
    assert {chosen[position].worker_id for position in bound} == {"w3"}
    bound = dict.fromkeys(range(9), WorkerId("w3"))
    assert choose_gang_workers(requirements, workers, range(400), bound) is None


@pytest.mark.parametrize(
    ("count", "gang", "accepted"),
    [
        (MAX_TASKS, False, True),
        (MAX_TASKS + 1, False, False),
        (MAX_GANG_TASKS, True, True),
        (MAX_GANG_TASKS + 1, True, False),
    ],
)
def test_what_cannot_be_run_is_refused_at_the_hand_in(count, gang, accepted):
    """A gang too wide to start in time was accepted, and started again for ever."""
    body = msgspec.json.encode({"Steps": [{"Count": count, "Gang": gang}]})
    assert decode_submission(body).is_ok() is accepted


class Orders:
    """Collects what an order queue sends."""

    def __init__(self):
        self.sent = []
        self.queue = OrderQueue(lambda worker, order: self.sent.append((worker, order)))

    def add(self, worker, kind, number):
        order = StopRun(worker, number, 1, 1) if kind == "stop" else StartRun(number)
        self.queue.add(worker, order)


def test_orders_to_one_worker_leave_connections_to_others():
    orders = Orders()
    for number in range(1000):
        orders.add("w1", "start", number)
    orders.add("w2", "start", 0)
    orders.queue.send_waiting()
    assert [w for w, _ in orders.sent].count("w1") == MAX_ORDERS_PER_WORKER
    assert [w for w, _ in orders.sent].count("w2") == 1
    orders.add("w1", "stop", 5)
    orders.add("w1", "stop", 5)
    orders.queue.order_done("w1")
    orders.queue.order_done("w1")
    later = [order for _, order in orders.sent[MAX_ORDERS_PER_WORKER + 1 :]]
    assert [type(order) for order in later] == [StopRun, StartRun]


def test_orders_under_way_are_limited_and_all_are_sent():
    orders = Orders()
    for number in range(50):
        for worker in range(40):
            orders.add(f"w{worker}", "start", number)
    orders.queue.send_waiting()
    assert len(orders.sent) == MAX_ORDERS
    done = 0
    while done < len(orders.sent):
        orders.queue.order_done(orders.sent[done][0])
        done += 1
    assert done == 2000
    assert orders.queue.queues == {} and orders.queue.under_way == 0
    by_worker = [order.run for worker, order in orders.sent if worker == "w7"]
    assert by_worker == list(range(50))


def test_closed_queue_sends_nothing():
    orders = Orders()
    for number in range(20):
        orders.add("w1", "start", number)
    orders.queue.send_waiting()
    orders.queue.close()
    orders.queue.order_done("w1")
    assert len(orders.sent) == MAX_ORDERS_PER_WORKER


@dataclass(frozen=True)
class Row:
    """Wide jobs and what disturbs them; times are seconds since the submission."""

    label: str
    jobs: int = 1
    tasks: int = 900
    # Share of the calls that are lost or late.
    every: int = 0
    crash: float | None = None
    take_over: float | None = None
    store_away: tuple[float, float] | None = None


ROWS = [
    Row("one job"),
    Row("four jobs", jobs=4, tasks=600),
    Row("calls lost and late", every=40),
    Row("worker crashes", crash=0.5),
    Row("take-over", take_over=0.5),
    Row("four jobs, take-over, worker crashes", jobs=4, tasks=600, take_over=0.3,
        crash=0.2),
    Row("store away", store_away=(0.2, 2.0)),
]  # fmt: skip


def submit(platform, count, seconds):
    """Accept a job of small tasks."""
    job = JobId(f"{len(platform.jobs) + 1:016x}")
    spec = JobSpec(str(int(seconds * 1000)), (StepSpec(count, SMALL, 300),))
    accepted = AcceptedJob(job, QUEUE, SERVICE, MAX_ATTEMPTS, platform.wall_ms, spec)
    platform.jobs[job] = accepted
    platform.oracle.record_submission(job, spec)
    platform.core.put(accepted_key(job), msgspec.msgpack.encode(accepted))
    platform.controller.mirror.apply(platform.core.items[accepted_key(job)])
    platform.controller.handle_job_change(job)
    return job


def take_every(number):
    """Return a rule for the fate of calls: each ``number``-th start is disturbed."""
    count = 0

    def take_rule(host, target):
        nonlocal count
        count += target == "/run-start"
        if target == "/run-start" and count % number == 0:
            return FateRule(target, Fate.LATE, 2.5)
        if target == "/run-start" and count % number == 1:
            return FateRule(target, Fate.LOST)
        return FateRule(target, Fate.ANSWERED)

    return take_rule


@pytest.mark.parametrize("row", ROWS, ids=lambda row: row.label)
def test_wide_jobs_end_beside_small_ones(row, monkeypatch):
    """No task of them started any more once a leader had lost its lease."""

    async def main(platform):
        if row.every:
            platform.network.take_rule = take_every(row.every)
        wide = [submit(platform, row.tasks, 0.3) for _ in range(row.jobs)]
        small = [submit(platform, 2, 0.2) for _ in range(4)]
        begun = platform.now
        events = []
        if row.crash is not None:
            events += [
                (row.crash, lambda: platform.crash("w0")),
                (row.crash + 0.6, lambda: platform.restart("w0", -5000)),
                (row.crash + 0.7, lambda: platform.write_entry("w0")),
            ]
        if row.store_away is not None:
            away, back = row.store_away
            events += [
                (away, lambda: platform.set_store(False)),
                (back, lambda: platform.set_store(True)),
            ]
        if row.take_over is not None:
            events.append((row.take_over, platform.end_term))
            events.append((row.take_over + 1.3, platform.lead))
        for at, event in sorted(events, key=lambda event: event[0]):
            await platform.sleep(begun + at - platform.now)
            waiting = event()
            if asyncio.iscoroutine(waiting):
                await waiting
        for job in [*small, *wide]:
            await platform.until(
                lambda job=job: platform.state(job) is JobState.COMPLETED, LONGEST
            )
        assert platform.network.violations == []
        parts = [key for key in platform.core.items if "/progress/" in key]
        await platform.sleep(1.0)
        parts = [key for key in parts if key in platform.core.items]
        assert len(parts) == len(wide) + len(small), "parts of ended jobs are left"

    run_virtually(main, monkeypatch)
