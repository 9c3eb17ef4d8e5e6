"""Cancels of ids under which no job is known yet.

Guards against a cancel that is answered 410 while a write of the submission is still
under way: the job was there seconds later and ran for good.
"""

import asyncio
import random

import msgpack
import pytest
from expression import Error, Ok
from prometheus_client import CollectorRegistry

from ebonyhub.cluster.metadata_store import CommitFailure, StoreFailure
from ebonyhub.cluster.mirror import JobMirror
from ebonyhub.cluster.peers import PeerFailure
from ebonyhub.entry.job_service import MAX_SUBMISSION_SECONDS, JobService
from ebonyhub.entry.withdrawals import (
    CLEANUP_INTERVAL_SECONDS,
    MAX_IDS,
    MAX_IDS_PER_COMMIT,
    WITHDRAWAL_SECONDS,
    WITHDRAWALS_KEY,
    ScopedId,
    Withdrawal,
    Withdrawals,
)
from ebonyhub.errors import ERROR_RESPONSES, ErrorKind
from ebonyhub.ids import JobId, Revision
from ebonyhub.jobs.records import JobState, accepted_key, cancelled_key
from ebonyhub.metrics import Metrics
from ebonyhub.scheduling.overload import ForecastCache
from standins.memory_store import MemoryStore, StoreCore
from tests.test_cancel_state_machine import FakeClock
from tests.test_job_service import JOB, QUEUE, SCOPE, SPEC


class RecordingStore(MemoryStore):
    """Counts calls, and holds back writes or answers as a test says."""

    def __init__(self, core):
        super().__init__(core)
        self.calls = []
        # What happens to the next commits; "" or nothing if they are sound.
        self.fates = []
        self.late = []
        self.before_commit = None

    async def get(self, key):
        self.calls.append("get")
        return await super().get(key)

    async def commit(self, transaction):
        self.calls.append("commit")
        if self.before_commit is not None:
            action, self.before_commit = self.before_commit, None
            action()
        fate = self.fates.pop(0) if self.fates else ""
        if fate == "late":
            self.late.append(transaction)
        elif fate == "lost":
            self.core.commit(transaction)
        elif fate == "refused":
            return Error(CommitFailure(StoreFailure.REFUSED))
        elif fate == "unreadable conflict":
            return Error(CommitFailure(StoreFailure.CONFLICT))
        else:
            return await super().commit(transaction)
        return Error(CommitFailure(StoreFailure.UNKNOWN))

    def carry_out_late_writes(self):
        """Carry out the late writes, twice each."""
        for transaction in self.late:
            self.core.commit(transaction)
            self.core.commit(transaction)


class Entry:
    def __init__(self, core, clock, peer=None):
        self.mirror = JobMirror()
        self.store = RecordingStore(core)
        self.peer = peer
        rng = random.Random(1)
        self.withdrawals = Withdrawals(self.store, clock, rng, self.apply)
        self.service = JobService(
            self.store, self.mirror, clock, Metrics(CollectorRegistry()),
            self.call_peer, self.apply, ForecastCache(), rng, self.withdrawals,
        )  # fmt: skip
        self.service.synced_at = clock.monotonic()

    def apply(self, items):
        for item in items:
            self.mirror.apply(item)

    async def call_peer(self, method, argument):
        if self.peer is None:
            return Error(PeerFailure.NOT_SENT)
        return Ok(await self.peer.service.handle_peer_call(method, argument))

    async def submit(self, job=JOB):
        return await self.service.submit(QUEUE, job, SPEC, SCOPE)

    async def cancel(self, job=JOB):
        return await self.service.cancel(job, SCOPE)


class World:
    """A store and two entries that have loaded the withdrawn ids."""

    def __init__(self):
        self.clock = FakeClock()
        self.core = StoreCore(self.clock.monotonic)
        self.entries = [Entry(self.core, self.clock) for _ in range(2)]

    async def load(self):
        for entry in self.entries:
            assert await entry.withdrawals._load()
            entry.store.calls.clear()
        return self


@pytest.fixture
async def world():
    return await World().load()


@pytest.mark.parametrize("fates", [["late"], ["late", "late"], ["late", "refused"]])
@pytest.mark.parametrize("canceller", [0, 1])
@pytest.mark.parametrize("cancel_fates", [[], ["lost"], ["late"]])
@pytest.mark.parametrize("event", ["none", "entry killed", "take-over"])
async def test_job_whose_cancel_was_answered_never_starts(
    world, fates, canceller, cancel_fates, event
):
    submitter = world.entries[0]
    submitter.store.fates = [*fates, "late", "late"]
    assert (await submitter.submit()).error is ErrorKind.STORE_OUTCOME_UNKNOWN
    submitter.store.fates = []
    if event == "entry killed":
        world.entries[0] = Entry(world.core, world.clock)
        await world.entries[0].withdrawals._load()
    entry = world.entries[canceller]
    entry.store.fates = cancel_fates
    answer = await entry.cancel()
    assert answer.error is ErrorKind.UNKNOWN_JOB
    entry.store.carry_out_late_writes()
    submitter.store.carry_out_late_writes()
    assert accepted_key(JOB) not in world.core.items
    if event == "take-over":
        leader = JobMirror()
        leader.retain_records(True)
        listed = world.core.list_prefix("eb/jobs/")
        leader.apply_listing(listed, Revision(world.core.revision))
        assert leader.jobs == {}


async def test_cancel_without_an_answer_of_the_store_is_not_answered_with_410(world):
    submitter, other = world.entries
    submitter.store.fates = ["late", "late"]
    await submitter.submit()
    other.store.fates = ["late", "late"]
    assert (await other.cancel()).error is ErrorKind.STORE_OUTCOME_UNKNOWN
    submitter.store.carry_out_late_writes()
    assert (await other.cancel()).error is None
    assert cancelled_key(JOB) in world.core.items


async def test_job_that_is_accepted_while_it_is_cancelled_is_cancelled(world):
    """The write of the submission arrives after the cancel has read the store."""
    submitter, other = world.entries
    submitter.store.fates = ["late", "late"]
    await submitter.submit()
    other.store.before_commit = submitter.store.carry_out_late_writes
    assert (await other.cancel()).error is None
    assert cancelled_key(JOB) in world.core.items
    assert other.mirror.jobs[JOB].visible_state is JobState.CANCELLED


@pytest.mark.parametrize("submitter", [0, 1])
async def test_withdrawn_id_is_refused_at_once_until_it_expires(world, submitter):
    assert (await world.entries[0].cancel()).error is ErrorKind.UNKNOWN_JOB
    entry = world.entries[submitter]
    entry.store.calls.clear()
    for seconds in (0.0, 10.0):
        world.clock.now += seconds
        answer = await entry.submit()
        assert answer.error is ErrorKind.JOB_WITHDRAWN
        assert ERROR_RESPONSES[answer.error].status == 429
        assert 0 < answer.retry_after <= WITHDRAWAL_SECONDS
    # The other entry hears of it with its first write.
    assert len(entry.store.calls) == submitter
    world.clock.now += answer.retry_after
    assert (await entry.submit()).error is None
    assert (await entry.cancel()).error is None


async def test_expiry_at_another_entry_does_not_let_a_submission_pass(world):
    """An id that is new to one entry may be about to expire at the other one."""
    first, second = world.entries
    await first.cancel()
    world.clock.now += WITHDRAWAL_SECONDS - 0.5
    assert (await second.submit()).error is ErrorKind.JOB_WITHDRAWN
    world.clock.now += 1.0
    first.store.fates = ["late", "late"]
    assert (await first.submit()).error is ErrorKind.STORE_OUTCOME_UNKNOWN
    assert (await second.cancel()).error is ErrorKind.UNKNOWN_JOB
    first.store.carry_out_late_writes()
    assert accepted_key(JOB) not in world.core.items


async def test_suspended_submission_is_not_stored_after_the_id_has_expired(world):
    submitter, other = world.entries
    await other.cancel(JobId("f" * 16))

    def suspend():
        world.core.put(WITHDRAWALS_KEY, world.core.items[WITHDRAWALS_KEY].value)
        world.clock.now += MAX_SUBMISSION_SECONDS + 1.0

    submitter.store.before_commit = suspend
    assert (await submitter.submit()).error is ErrorKind.STORE_OUTCOME_UNKNOWN
    assert accepted_key(JOB) not in world.core.items


async def test_conflict_with_an_unreadable_record_is_not_reported_as_not_run(world):
    entry = world.entries[0]
    world.core.delete(WITHDRAWALS_KEY)
    entry.withdrawals.observe(None)
    entry.store.fates = ["unreadable conflict"]
    assert (await entry.submit()).error is ErrorKind.STORE_OUTCOME_UNKNOWN


async def test_store_calls_of_the_common_path(world):
    entry, other = world.entries
    await entry.submit()
    assert entry.store.calls == ["commit"]
    entry.mirror.jobs[JOB].state_confirmed = True
    await entry.cancel()
    assert entry.store.calls == ["commit", "commit"]
    await other.cancel(JobId("f" * 16))
    assert other.store.calls == ["get", "commit"]
    await other.cancel(JobId("f" * 16))
    assert other.store.calls == ["get", "commit", "get"]
    entry.store.calls.clear()
    # The first submission after a change hears of it; later ones wait for nothing.
    for number, calls in ((1, 2), (2, 3)):
        await entry.submit(JobId(f"{number:016x}"))
        assert entry.store.calls == ["commit"] * calls


def unknown_ids(count, start=1 << 40):
    return [JobId(f"{start + number:016x}") for number in range(count)]


async def test_wave_of_cancels_of_unknown_ids_adds_no_key(world):
    count, jobs = 2000, [JobId(f"{number:016x}") for number in range(40)]
    keys = set(world.core.items)
    answers = await asyncio.gather(
        *(world.entries[n % 2].cancel(i) for n, i in enumerate(unknown_ids(count))),
        *(world.entries[n % 2].submit(job) for n, job in enumerate(jobs)),
    )
    assert {a.error for a in answers[:count]} == {ErrorKind.UNKNOWN_JOB}
    assert {a.error for a in answers[count:]} == {None}
    assert set(world.core.items) == keys | {accepted_key(job) for job in jobs}
    commits = sum(entry.store.calls.count("commit") for entry in world.entries)
    assert commits < 4 * count / MAX_IDS_PER_COMMIT + 8 * len(jobs)
    assert len(world.core.items[WITHDRAWALS_KEY].value) < 16 * count


async def test_more_ids_than_the_limit_are_not_answered_with_410(world):
    entry = world.entries[0]
    known = unknown_ids(MAX_IDS)
    entry.withdrawals._apply(
        entry.withdrawals._record_with([ScopedId(job, SCOPE) for job in known]),
        entry.withdrawals.revision,
    )
    assert await entry.withdrawals.withdraw(JOB, SCOPE) is Withdrawal.TOO_MANY
    answer = await entry.cancel()
    assert answer.error is ErrorKind.STORE_UNAVAILABLE
    world.clock.now += WITHDRAWAL_SECONDS + 1.0
    assert (await entry.cancel()).error is ErrorKind.UNKNOWN_JOB


@pytest.mark.parametrize("cleaner", ["writer", "restarted"])
async def test_expired_ids_are_removed_without_a_further_cancel(world, cleaner):
    entry = world.entries[0]
    await entry.cancel()
    if cleaner == "restarted":
        entry = Entry(world.core, world.clock)
        await entry.withdrawals._load()
        entry.withdrawals.cleanup_at = entry.withdrawals._next_cleanup()
    size = len(world.core.items[WITHDRAWALS_KEY].value)
    for _ in range(int(3 * WITHDRAWAL_SECONDS / CLEANUP_INTERVAL_SECONDS)):
        world.clock.now += CLEANUP_INTERVAL_SECONDS
        await entry.withdrawals._remove_expired()
    assert len(world.core.items[WITHDRAWALS_KEY].value) < size
    assert entry.withdrawals.expiry == {}
    calls = len(entry.store.calls)
    world.clock.now += 10 * WITHDRAWAL_SECONDS
    await entry.withdrawals._remove_expired()
    assert len(entry.store.calls) == calls


@pytest.mark.parametrize(
    "value",
    [
        None, b"", b"\xc1", b"\x91" * 100_000, msgpack.packb(7),
        msgpack.packb([-1, []]), msgpack.packb([2**60, []]),
        msgpack.packb([0, [[0, "x"]]]), msgpack.packb([0, [[0, b"odd"]]]),
        msgpack.packb([0, [[0, b"12345678"]] * 5000]),
        msgpack.packb([0, [[0, b"a" * (8 * MAX_IDS + 8)]]]),
    ],
)  # fmt: skip
async def test_foreign_value_of_the_key_stops_neither_submission_nor_cancel(
    world, value
):
    if value is None:
        world.core.delete(WITHDRAWALS_KEY)
    else:
        world.core.put(WITHDRAWALS_KEY, value)
    first, second = world.entries
    assert (await first.submit()).error is None
    other = JobId("f" * 16)
    second.store.fates = ["late", "late"]
    await second.submit(other)
    assert (await first.cancel(other)).error is ErrorKind.UNKNOWN_JOB
    second.store.carry_out_late_writes()
    assert accepted_key(other) not in world.core.items


async def test_calls_forwarded_to_a_peer_respect_withdrawals(world):
    """The cancel of an unknown id used to be stored as that of a job."""
    peer = world.entries[0]
    entry = Entry(world.core, world.clock, peer)
    entry.store.down = True
    assert (await entry.cancel()).error is ErrorKind.UNKNOWN_JOB
    assert cancelled_key(JOB) not in world.core.items
    answer = await entry.submit()
    assert answer.error is ErrorKind.JOB_WITHDRAWN
    assert accepted_key(JOB) not in world.core.items


async def test_callers_that_leave_do_not_end_the_withdrawal_of_others(world):
    entry = world.entries[0]
    leaving = asyncio.create_task(entry.withdrawals.withdraw(JOB, SCOPE))
    staying = asyncio.create_task(entry.withdrawals.withdraw(JOB, SCOPE))
    await asyncio.sleep(0)
    leaving.cancel()
    assert await staying is Withdrawal.DONE
    assert entry.store.calls == ["commit"]


@pytest.mark.parametrize("refused", [0, 2])
async def test_key_is_created_once_when_entries_start(refused):
    clock = FakeClock()
    core = StoreCore(clock.monotonic)
    entries = [Entry(core, clock) for _ in range(3)]
    for entry in entries:
        entry.store.down = bool(refused)
        for _ in range(refused):
            assert not await entry.withdrawals._load()
        entry.store.down = False
    loaded = await asyncio.gather(*(entry.withdrawals._load() for entry in entries))
    assert loaded == [True] * 3
    assert len({entry.withdrawals.revision for entry in entries}) == 1
    assert list(core.items) == [WITHDRAWALS_KEY]
