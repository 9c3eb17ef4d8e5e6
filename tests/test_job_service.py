"""Callers' operations against a store with faults.

Guards against a submission that is refused as not run and runs nevertheless, a repeated
submission that becomes a second job, and an accepted job reported as unknown.
"""

import random

import msgspec
import pytest
from expression import Error, Ok
from prometheus_client import CollectorRegistry

from ebonyhub.clock import SystemClock
from ebonyhub.cluster.mirror import JobMirror
from ebonyhub.cluster.peers import PeerFailure
from ebonyhub.configuration import Queue
from ebonyhub.entry.job_service import (
    JobAnswer,
    JobService,
    decode_peer_answer,
    encode_peer_answer,
)
from ebonyhub.entry.withdrawals import Withdrawals
from ebonyhub.errors import ErrorKind
from ebonyhub.ids import JobId, QueueName, ServiceName
from ebonyhub.jobs.model import JobScope, JobSpec, Resources, StepSpec
from ebonyhub.jobs.records import (
    JobState,
    ProgressRecord,
    accepted_key,
    cancelled_key,
    progress_key,
)
from ebonyhub.metrics import Metrics
from ebonyhub.scheduling.overload import BacklogJob, ForecastCache, build_forecast
from standins.memory_store import MemoryStore, StoreCore

QUEUE = Queue(QueueName("q"), "h", "/q/", ServiceName("s"), 0, 3, 2.0, 0.5, 3.0)
SPEC = JobSpec("text", (StepSpec(1, Resources(100, 1)),))
JOB = JobId("0123456789abcdef")
SCOPE = JobScope(QUEUE.name)


class Entry:
    """A job service with its own mirror and its own connection to the store."""

    def __init__(self, core, peer=None):
        self.mirror = JobMirror()
        self.store = MemoryStore(core)
        self.peer = peer
        self.service = JobService(
            self.store, self.mirror, SystemClock(), Metrics(CollectorRegistry()),
            self.call_peer, self.apply_records, ForecastCache(), random.Random(1),
            Withdrawals(
                self.store, SystemClock(), random.Random(2), self.apply_records
            ),
        )  # fmt: skip
        self.service.synced_at = SystemClock().monotonic()

    async def call_peer(self, method, argument):
        if self.peer is None:
            return Error(PeerFailure.NOT_SENT)
        return Ok(await self.peer.service.handle_peer_call(method, argument))

    def apply_records(self, items):
        for item in items:
            self.mirror.apply(item)


@pytest.fixture
def core():
    return StoreCore(SystemClock().monotonic)


async def test_accepted_job_is_stored(core):
    entry = Entry(core)
    assert (await entry.service.submit(QUEUE, JOB, SPEC, SCOPE)).error is None
    assert accepted_key(JOB) in core.items
    assert (await entry.service.read(JOB, SCOPE)).state is JobState.QUEUED


def overload(entry):
    forecast = build_forecast(1.0, [BacklogJob(1.0, 500.0, True)])
    entry.service.admission.update({QUEUE.service: forecast}, SystemClock().monotonic())


async def test_job_that_would_end_too_late_is_refused_before_it_is_stored(core):
    entry = Entry(core)
    overload(entry)
    answer = await entry.service.submit(QUEUE, JOB, SPEC, SCOPE)
    assert answer.error is ErrorKind.OVERLOADED
    assert answer.retry_after is not None
    assert core.items == {}


async def test_repeat_of_an_accepted_job_is_not_refused_as_not_run(core):
    """The answer to the first submission was lost, and another entry is overloaded."""
    assert (await Entry(core).service.submit(QUEUE, JOB, SPEC, SCOPE)).error is None
    other = Entry(core)
    overload(other)
    assert (await other.service.submit(QUEUE, JOB, SPEC, SCOPE)).error is None


async def test_repeat_at_another_entry_is_one_job(core):
    first, second = Entry(core), Entry(core)
    await first.service.submit(QUEUE, JOB, SPEC, SCOPE)
    revision = core.items[accepted_key(JOB)].revision
    assert (await second.service.submit(QUEUE, JOB, SPEC, SCOPE)).error is None
    assert core.items[accepted_key(JOB)].revision == revision


async def test_commit_with_lost_answer_is_retried(core):
    entry = Entry(core)
    entry.store.answers_to_lose = 1
    assert (await entry.service.submit(QUEUE, JOB, SPEC, SCOPE)).error is None


async def test_unknown_outcome_is_not_reported_as_not_run(core):
    entry = Entry(core)
    entry.store.answers_to_lose = 2
    answer = await entry.service.submit(QUEUE, JOB, SPEC, SCOPE)
    assert answer.error is ErrorKind.STORE_OUTCOME_UNKNOWN
    assert accepted_key(JOB) in core.items


async def test_entry_without_store_forwards_calls_to_a_peer(core):
    peer = Entry(core)
    entry = Entry(core, peer)
    entry.store.down = True
    assert (await entry.service.submit(QUEUE, JOB, SPEC, SCOPE)).error is None
    assert accepted_key(JOB) in core.items
    assert (await entry.service.read(JOB, SCOPE)).state is JobState.QUEUED
    assert (await entry.service.cancel(JOB, SCOPE)).error is None
    assert cancelled_key(JOB) in core.items


async def test_without_store_and_peer_nothing_is_stored(core):
    peer = Entry(core)
    peer.store.down = True
    for entry in (Entry(core), Entry(core, peer)):
        entry.store.down = True
        answer = await entry.service.submit(QUEUE, JOB, SPEC, SCOPE)
        assert answer.error is ErrorKind.STORE_UNAVAILABLE
    assert core.items == {}


async def test_job_of_another_entry_is_found_in_the_store(core):
    await Entry(core).service.submit(QUEUE, JOB, SPEC, SCOPE)
    assert (await Entry(core).service.read(JOB, SCOPE)).state is JobState.QUEUED
    unknown = await Entry(core).service.read(JobId("f" * 16), SCOPE)
    assert unknown.error is ErrorKind.UNKNOWN_JOB


async def test_cancelled_job_is_reported_as_cancelled_at_once(core):
    entry = Entry(core)
    await entry.service.submit(QUEUE, JOB, SPEC, SCOPE)
    assert entry.service.waiting_count(QUEUE.name) == 1
    await entry.service.cancel(JOB, SCOPE)
    assert (await entry.service.read(JOB, SCOPE)).state is JobState.CANCELLED
    assert entry.service.waiting_count(QUEUE.name) == 0


@pytest.mark.parametrize(
    "answer",
    [JobAnswer(JobState.RUNNING), JobAnswer(error=ErrorKind.UNKNOWN_JOB)],
)
def test_peer_answers_round_trip(answer):
    assert decode_peer_answer(*encode_peer_answer(answer)) == answer


async def test_record_read_for_an_unknown_job_reaches_on_records(core):
    """Guards against a leader that reads a new job for a caller but never starts it."""
    first, second = Entry(core), Entry(core)
    await first.service.submit(QUEUE, JOB, SPEC, SCOPE)
    received = []
    second.service.on_records = lambda items: (
        received.extend(items),
        second.apply_records(items),
    )
    assert (await second.service.read(JOB, SCOPE)).state is JobState.QUEUED
    assert [item.key for item in received] == [accepted_key(JOB)]


async def test_unconfirmed_state_is_read_from_the_store(core):
    first, second = Entry(core), Entry(core)
    await first.service.submit(QUEUE, JOB, SPEC, SCOPE)
    second.mirror.apply(core.items[accepted_key(JOB)])
    value = msgspec.msgpack.encode(ProgressRecord(JobState.COMPLETED))
    core.put(progress_key(JOB), value)
    assert (await second.service.read(JOB, SCOPE)).state is JobState.COMPLETED
