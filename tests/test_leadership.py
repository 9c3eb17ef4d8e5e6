"""Leader election based on a leased key.

Guards against two leaders with the same fencing token, and against a leader that keeps
acting after its lease has expired.
"""

from ebonyhub.cluster.leadership import (
    LEADER_KEY,
    LEASE_SECONDS,
    LeaderElection,
    LeaderRecord,
    decode_leader,
)
from ebonyhub.cluster.metadata_store import ABSENT, StoreFailure
from ebonyhub.ids import EntryId, Revision
from standins.memory_store import MemoryStore, StoreCore


class FakeClock:
    def __init__(self):
        self.now = 50.0

    def monotonic(self):
        return self.now

    def wall(self):
        return self.now


def candidates(count):
    clock = FakeClock()
    core = StoreCore(clock.monotonic)
    entries = [
        LeaderElection(
            MemoryStore(core), clock, LeaderRecord(EntryId(f"e{number}"), "a:1", number)
        )
        for number in range(count)
    ]
    return clock, core, entries


async def test_only_one_candidate_wins():
    _, core, entries = candidates(3)
    results = [await entry.acquire() for entry in entries]
    assert [result.is_ok() for result in results] == [True, False, False]
    assert results[1].error is StoreFailure.CONFLICT
    leader = decode_leader(core.items[LEADER_KEY])
    assert leader.record.entry == "e0"
    assert int(leader.revision) == int(results[0].ok.token)


async def test_losing_candidate_leaves_no_lease():
    _, core, entries = candidates(2)
    await entries[0].acquire()
    await entries[1].acquire()
    assert len(core.leases) == 1


async def test_term_ends_with_the_lease():
    clock, _, entries = candidates(2)
    term = (await entries[0].acquire()).ok
    clock.now += LEASE_SECONDS - 0.1
    assert term.is_valid(clock.now)
    clock.now += 0.2
    assert not term.is_valid(clock.now)
    assert (await entries[0].renew(term)).error is StoreFailure.LEASE_ENDED
    successor = (await entries[1].acquire(ABSENT)).ok
    assert successor.token > term.token


async def test_renewed_lease_counts_from_sending_the_call():
    clock, _, entries = candidates(1)
    term = (await entries[0].acquire()).ok
    clock.now += 1.0
    assert (await entries[0].renew(term)).is_ok()
    assert term.valid_until == clock.now + LEASE_SECONDS


async def test_dead_leader_is_replaced_before_its_lease_expires():
    _, core, entries = candidates(2)
    first = (await entries[0].acquire()).ok
    second = (await entries[1].acquire(Revision(int(first.token)))).ok
    assert second.token > first.token
    late = await entries[0].acquire(Revision(int(first.token)))
    assert late.error is StoreFailure.CONFLICT
    assert decode_leader(core.items[LEADER_KEY]).record.entry == "e1"


async def test_resignation_frees_the_key():
    _, core, entries = candidates(1)
    term = (await entries[0].acquire()).ok
    await entries[0].resign(term)
    assert LEADER_KEY not in core.items
    assert not term.is_valid(0.0)
