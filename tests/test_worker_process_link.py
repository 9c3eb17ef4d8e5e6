"""The link to a worker that restarts, over HTTP against the stand-in worker.

Guards against a call on a new connection that names the clock or ends of the former
process, and against an answer of the next process that counts as one of the former.
"""

import random
import time

import pytest
from prometheus_client import CollectorRegistry

from ebonyhub.clock import SystemClock
from ebonyhub.ids import LeaderToken, WorkerId
from ebonyhub.jobs.model import JobSpec, Resources, StepSpec
from ebonyhub.metrics import Metrics
from ebonyhub.platform.workers import WorkerClient
from ebonyhub.scheduling.model import OrderFailure
from ebonyhub.scheduling.worker_link import WorkerLink
from standins.job_platform import WorkerServer
from standins.memory_store import StoreCore
from tests.test_platform_clients import ServedStandin
from tests.test_scheduler import Driver

TASK = JobSpec("60000", (StepSpec(1, Resources(1000, 1), 60_000),))
DAY_MS = 86_400_000
CLOCKS = pytest.mark.parametrize(
    "clock_change_ms", [-DAY_MS, 0, DAY_MS], ids=["behind", "equal", "ahead"]
)


class LinkedWorker:
    """A scheduler with one worker, which a link polls over HTTP."""

    def __init__(self, address, standin):
        self.standin = standin
        self.fake = standin.fake
        self.fake.clock_offset_ms = 2 * DAY_MS
        self.clock = SystemClock()
        self.driver = Driver(())
        self.driver.now = self.clock.monotonic()
        self.scheduler = self.driver.scheduler
        self.scheduler.token = LeaderToken(5)
        self.scheduler.handle_worker_entry(self.fake.entry, self.clock.monotonic())
        self.worker = self.scheduler.workers[WorkerId("w")]
        client = WorkerClient(WorkerId("w"), address, self.clock)
        self.link = WorkerLink(
            self.worker, client, self.clock, random.Random(1),
            Metrics(CollectorRegistry()), self._apply, lambda _: None,
        )  # fmt: skip
        # Acknowledged number and lease end of each poll.
        self.polls = []
        carry_out = self.fake.poll

        def poll(token, acknowledged, lease_end_ms, now):
            self.polls.append((acknowledged, lease_end_ms))
            return carry_out(token, acknowledged, lease_end_ms, now)

        standin.fake = RecordingWorker(self.fake, poll)

    def _apply(self, worker, report, sent_at):
        now = self.clock.monotonic()
        self.scheduler.handle_report(worker, report, sent_at, now, 0)

    async def poll(self):
        """Poll once; return the acknowledged number and the lease end."""
        await self.link.poll_once(0.0)
        return self.polls[-1]

    def restart(self, clock_change_ms):
        """Start the next process; the connections to the former one are closed."""
        offset = self.fake.clock_offset_ms
        self.fake.crash()
        self.fake.restart(self.fake.born_ms + 5)
        self.fake.clock_offset_ms = offset + clock_change_ms
        self.link.client.session.pool.close()
        self.link.client.poll_session.pool.close()

    def remaining_ms(self, lease_end_ms):
        return lease_end_ms - self.fake.clock_ms(time.monotonic())


class RecordingWorker:
    """A worker whose polls are recorded."""

    def __init__(self, fake, poll):
        object.__setattr__(self, "fake", fake)
        object.__setattr__(self, "poll", poll)

    def __getattr__(self, name):
        return getattr(self.fake, name)


@pytest.fixture
async def linked():
    holder = ServedStandin()
    core = StoreCore(time.monotonic)
    standin = await holder.start(WorkerServer("w", "service", holder.listener, core))
    linked = LinkedWorker(holder.address, standin)
    yield linked
    linked.link.client.close()
    await holder.stop()


@CLOCKS
async def test_poll_on_a_new_connection_names_nothing_of_the_former_process(
    linked, clock_change_ms
):
    assert await linked.poll() == (0, None)
    linked.worker.process.acknowledged_sequence = 57
    acknowledged, lease_end_ms = await linked.poll()
    assert acknowledged == 57
    assert 5_500 < linked.remaining_ms(lease_end_ms) < 6_500
    linked.restart(clock_change_ms)
    assert linked.link._wait_seconds() == 0.0
    assert await linked.poll() == (0, None)
    assert linked.fake.acknowledged_sequence == 0
    acknowledged, lease_end_ms = await linked.poll()
    assert acknowledged == 0
    assert 5_500 < linked.remaining_ms(lease_end_ms) < 6_500


async def test_poll_names_an_acknowledgement_only_until_it_is_answered(linked):
    """The next process could carry out the poll late, and forget ends of its own."""
    await linked.poll()
    linked.worker.process.acknowledged_sequence = 3
    assert [(await linked.poll())[0] for _ in range(3)] == [3, 0, 0]
    linked.worker.process.acknowledged_sequence = 4
    assert [(await linked.poll())[0] for _ in range(2)] == [4, 0]


@CLOCKS
async def test_report_beside_the_polls_renews_no_lease(linked, clock_change_ms):
    await linked.poll()
    await linked.poll()
    linked.restart(clock_change_ms)
    await linked.link.fetch_report()
    assert linked.polls[-1] == (0, None)
    assert linked.worker.born_ms == linked.fake.born_ms
    assert linked.fake.lease_end_ms == 0


async def start(linked):
    """Order a start; return the run and the result that counts."""
    driver = linked.driver
    driver.now = linked.clock.monotonic()
    job = driver.submit(TASK)
    driver.scheduler.plan(driver.now)
    driver.scheduler.mark_stored(job, job.version)
    driver.scheduler.release_starts(driver.now)
    (run,) = linked.worker.runs.values()
    return run, await linked.link.start(run, TASK.text, "")


@pytest.mark.parametrize(
    ("clock_change_ms", "expected"),
    [(-DAY_MS, OrderFailure.UNKNOWN), (0, None), (DAY_MS, OrderFailure.LATE)],
    ids=["behind", "equal", "ahead"],
)
async def test_start_that_the_next_process_answers(linked, clock_change_ms, expected):
    """With the same clock, deadline and lease are as they were meant to be."""
    await linked.poll()
    await linked.poll()
    linked.restart(clock_change_ms)
    run, failure = await start(linked)
    assert failure is expected
    is_there = run.task in linked.fake.runs
    assert is_there is (expected is not OrderFailure.LATE)
    if expected is None:
        assert linked.remaining_ms(linked.fake.lease_end_ms) <= 1_900


async def test_start_that_the_present_process_answers(linked):
    await linked.poll()
    await linked.poll()
    run, failure = await start(linked)
    assert failure is None
    assert run.task in linked.fake.runs


async def test_raised_token_is_in_each_call_from_then_on(linked):
    """Calls of the former token are refused once one of them was answered."""
    await linked.poll()
    linked.restart(-DAY_MS)
    await linked.poll()
    assert linked.fake.token == 5
    now = linked.clock.monotonic()
    linked.scheduler.set_process_token(WorkerId("w"), LeaderToken(9), now)
    assert not linked.worker.process.is_fenced
    await linked.poll()
    assert linked.worker.process.is_fenced
    # Starts wait for the entry of the process.
    linked.scheduler.handle_worker_entry(linked.fake.entry, now)
    _, failure = await start(linked)
    assert failure is None
    former = await linked.link.client.fetch_report(LeaderToken(5))
    assert former.error is OrderFailure.FENCED
