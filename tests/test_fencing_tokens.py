"""Fencing tokens that a leader issues for the processes of its workers.

Guards against a token that does not exceed those that calls under way may carry, and
against one that an entry issues after it has lost leadership.
"""

import asyncio
import time

import pytest

from ebonyhub.cluster.fencing import FENCE_KEY, TermTokens
from ebonyhub.cluster.leadership import LEADER_KEY, Term
from ebonyhub.cluster.metadata_store import StoreFailure
from ebonyhub.ids import LeaderToken, StoreLease
from standins.memory_store import MemoryStore, StoreCore


@pytest.fixture
def core():
    core = StoreCore(time.monotonic)
    core.put(LEADER_KEY, b"first")
    return core


class RemoteStore(MemoryStore):
    """A store whose answers take some time, as over a network."""

    async def commit(self, transaction):
        result = await super().commit(transaction)
        await asyncio.sleep(0.01)
        return result


def tokens_of_leader(core):
    term = Term(LeaderToken(core.revision), StoreLease(1), time.monotonic() + 99)
    return TermTokens(RemoteStore(core), term)


async def test_each_token_exceeds_the_earlier_ones_and_that_of_the_term(core):
    tokens = tokens_of_leader(core)
    issued = [(await tokens.issue()).ok for _ in range(3)]
    assert tokens.term.token < issued[0] < issued[1] < issued[2]


async def test_token_of_a_later_leader_exceeds_those_of_earlier_ones(core):
    earlier = tokens_of_leader(core)
    issued = (await earlier.issue()).ok
    core.put(LEADER_KEY, b"second")
    later = tokens_of_leader(core)
    assert later.term.token > issued
    assert (await earlier.issue()).error is StoreFailure.CONFLICT


async def test_tokens_that_are_requested_together_share_a_commit(core):
    tokens = tokens_of_leader(core)
    before = core.revision
    issued = await asyncio.gather(*(tokens.issue() for _ in range(40)))
    assert all(result.is_ok() for result in issued)
    assert core.revision - before <= 2


async def test_request_does_not_share_a_commit_that_had_begun_before_it(core):
    """Its answer may be the token of calls that the new one has to exceed."""
    tokens = tokens_of_leader(core)
    first = asyncio.create_task(tokens.issue())
    while FENCE_KEY not in core.items:
        await asyncio.sleep(0)
    second = asyncio.create_task(tokens.issue())
    assert (await first).ok < (await second).ok
    assert core.items[FENCE_KEY].value == b""
