"""Callers' calls against a store with faults.

Guards against a submission that is refused as not run and runs, a repeat that becomes a
second job, and an accepted job that an entry does not know.
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
from ebonyhub.errors import ErrorKind
from ebonyhub.ids import JobId, QueueName, ServiceName
from ebonyhub.jobs.model import JobSpec, Resources, StepSpec
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


class Entry:
    """A job service with its own mirror and view of the store."""

    def __init__(self, core, peer=None):
        self.mirror = JobMirror()
        self.store = MemoryStore(core)
        self.peer = peer
        self.service = JobService(
            self.store, self.mirror, SystemClock(), Metrics(CollectorRegistry()),
            self.call_peer, self.adopt, ForecastCache(), random.Random(1),
        )  # fmt: skip
        self.service.synced_at = SystemClock().monotonic()

    async def call_peer(self, method, argument):
        if self.peer is None:
            return Error(PeerFailure.NOT_SENT)
        return Ok(await self.peer.service.handle_peer_call(method, argument))

    def adopt(self, items):
        for item in items:
            self.mirror.apply(item)


@pytest.fixture
def core():
    return StoreCore(SystemClock().monotonic)


async def test_accepted_job_is_stored(core):
    entry = Entry(core)
    assert (await entry.service.submit(QUEUE, JOB, SPEC)).error is None
    assert accepted_key(JOB) in core.items
    assert (await entry.service.read(JOB)).state is JobState.QUEUED


def overload(entry):
    forecast = build_forecast(1.0, [BacklogJob(1.0, 500.0, True)])
    entry.service.forecast_cache.update(
        {QUEUE.service: forecast}, SystemClock().monotonic()
    )


async def test_job_of_no_use_is_refused_before_it_is_stored(core):
    entry = Entry(core)
    overload(entry)
    answer = await entry.service.submit(QUEUE, JOB, SPEC)
    assert answer.error is ErrorKind.OVERLOADED
    assert answer.retry_after is not None
    assert core.items == {}


async def test_repeat_of_an_accepted_job_is_not_called_not_run(core):
    """Its first answer was lost; another entry refused the repeat as not run."""
    assert (await Entry(core).service.submit(QUEUE, JOB, SPEC)).error is None
    other = Entry(core)
    overload(other)
    assert (await other.service.submit(QUEUE, JOB, SPEC)).error is None


async def test_repeat_at_another_entry_is_one_job(core):
    first, second = Entry(core), Entry(core)
    await first.service.submit(QUEUE, JOB, SPEC)
    revision = core.items[accepted_key(JOB)].revision
    assert (await second.service.submit(QUEUE, JOB, SPEC)).error is None
    assert core.items[accepted_key(JOB)].revision == revision


async def test_lost_answer_is_settled_by_a_second_commit(core):
    entry = Entry(core)
    entry.store.lose_answers = 1
    assert (await entry.service.submit(QUEUE, JOB, SPEC)).error is None


async def test_unknown_outcome_is_never_called_not_run(core):
    entry = Entry(core)
    entry.store.lose_answers = 2
    answer = await entry.service.submit(QUEUE, JOB, SPEC)
    assert answer.error is ErrorKind.STORE_OUTCOME_UNKNOWN
    assert accepted_key(JOB) in core.items


async def test_entry_without_store_passes_calls_to_a_peer(core):
    peer = Entry(core)
    entry = Entry(core, peer)
    entry.store.down = True
    assert (await entry.service.submit(QUEUE, JOB, SPEC)).error is None
    assert accepted_key(JOB) in core.items
    assert (await entry.service.read(JOB)).state is JobState.QUEUED
    assert (await entry.service.cancel(JOB)).error is None
    assert cancelled_key(JOB) in core.items


async def test_without_store_and_peer_nothing_is_stored(core):
    peer = Entry(core)
    peer.store.down = True
    for entry in (Entry(core), Entry(core, peer)):
        entry.store.down = True
        answer = await entry.service.submit(QUEUE, JOB, SPEC)
        assert answer.error is ErrorKind.STORE_UNAVAILABLE
    assert core.items == {}


async def test_job_of_another_entry_is_found_in_the_store(core):
    await Entry(core).service.submit(QUEUE, JOB, SPEC)
    assert (await Entry(core).service.read(JOB)).state is JobState.QUEUED
    unknown = await Entry(core).service.read(JobId("f" * 16))
    assert unknown.error is ErrorKind.UNKNOWN_JOB


async def test_cancelled_job_is_shown_so_at_once(core):
    entry = Entry(core)
    await entry.service.submit(QUEUE, JOB, SPEC)
    assert entry.service.waiting_count(QUEUE.name) == 1
    await entry.service.cancel(JOB)
    assert (await entry.service.read(JOB)).state is JobState.CANCELLED
    assert entry.service.waiting_count(QUEUE.name) == 0


@pytest.mark.parametrize(
    "answer",
    [JobAnswer(JobState.RUNNING), JobAnswer(error=ErrorKind.UNKNOWN_JOB)],
)
def test_peer_answers_are_read_back(answer):
    assert decode_peer_answer(*encode_peer_answer(answer)) == answer


async def test_record_of_an_unknown_job_is_handed_on(core):
    """Guards against a leader that reads a new job for a caller and never starts it."""
    first, second = Entry(core), Entry(core)
    await first.service.submit(QUEUE, JOB, SPEC)
    handed_on = []
    second.service.on_records = lambda items: (
        handed_on.extend(items),
        second.adopt(items),
    )
    assert (await second.service.read(JOB)).state is JobState.QUEUED
    assert [item.key for item in handed_on] == [accepted_key(JOB)]


async def test_state_of_a_job_known_by_its_submission_is_read_from_the_store(core):
    first, second = Entry(core), Entry(core)
    await first.service.submit(QUEUE, JOB, SPEC)
    second.mirror.apply(core.items[accepted_key(JOB)])
    value = msgspec.msgpack.encode(ProgressRecord(JobState.COMPLETED))
    core.put(progress_key(JOB), value)
    assert (await second.service.read(JOB)).state is JobState.COMPLETED
