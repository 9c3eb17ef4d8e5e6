"""Choice of the leader among entries on VMs of different size.

Guards against a leader that stays on a VM too small for its work, and against pointless
hand-overs between entries that are equally suitable.
"""

import random
from dataclasses import dataclass, field

import pytest
from expression import Error, Ok

from ebonyhub.clock import SystemClock
from ebonyhub.cluster.leadership import Term
from ebonyhub.cluster.mirror import JobMirror
from ebonyhub.cluster.peers import PeerFailure
from ebonyhub.entry.leadership_manager import LeadershipManager
from ebonyhub.ids import DataCentre, EntryId, LeaderToken, Revision, StoreLease
from ebonyhub.node_settings import NodeSettings
from standins.memory_store import MemoryStore, StoreCore


def settings(cores, link_mbps):
    return NodeSettings(
        EntryId("e"), "127.0.0.1", DataCentre("a"), "127.0.0.1:1", "127.0.0.1:2",
        (7060, 7075), "127.0.0.1:3", "", "", 120.0, cores, link_mbps,
    )  # fmt: skip


@dataclass(eq=False)
class Peer:
    """A connected entry that answers each request to take over, if it answers."""

    peer_effective_cores: float
    peer_started_ms: int = 0
    is_open: bool = True
    # Status of its answer, 0 if it now leads; None for no answer.
    status: int | None = 0
    calls: list = field(default_factory=list)

    async def call(self, method, argument):
        self.calls.append((method, argument))
        if self.status is None:
            return Error(PeerFailure.UNKNOWN)
        return Ok((self.status, None))


def build_manager(cores, link_mbps, peers):
    clock = SystemClock()
    manager = LeadershipManager(
        settings(cores, link_mbps), MemoryStore(StoreCore(clock.monotonic)),
        JobMirror(), clock, random.Random(1), None, lambda: True, lambda term: None,
    )  # fmt: skip
    manager.peer_server.streams = set(peers)
    return manager


@pytest.mark.parametrize(
    ("cores", "link_mbps", "effective_cores"),
    [(1.07, 1000.0, 1.07), (2.15, 5.0, 0.2), (0.5, 100.0, 0.5), (2.0, 25.0, 1.0)],
)
def test_slow_link_reduces_effective_cores(cores, link_mbps, effective_cores):
    assert settings(cores, link_mbps).effective_cores == pytest.approx(effective_cores)


@pytest.mark.parametrize(
    ("cores", "link_mbps", "peers", "hands_over"),
    [
        (1.07, 1000.0, [1.07, 2.0], False),
        (0.5, 1000.0, [1.07], True),
        (0.5, 1000.0, [0.5, 0.7], False),
        (2.0, 5.0, [1.0], True),
        (0.5, 1000.0, [], False),
    ],
)
def test_leader_with_too_few_cores_hands_over_to_a_larger_entry(
    cores, link_mbps, peers, hands_over
):
    manager = build_manager(
        cores, link_mbps, [Peer(effective_cores) for effective_cores in peers]
    )
    assert manager.handover.is_due() == hands_over


async def test_last_started_entry_with_enough_cores_is_asked_to_take_over():
    peers = [Peer(2.0, 5), Peer(1.07, 9), Peer(0.3, 20), Peer(3.0, 7, is_open=False)]
    manager = build_manager(0.5, 1000.0, peers)
    term = Term(LeaderToken(7), StoreLease(1), 0.0)
    assert await manager.handover.request(term)
    assert [bool(peer.calls) for peer in peers] == [False, True, False, False]


@pytest.mark.parametrize(
    ("statuses", "asked", "hands_over"),
    [
        ([0, 0], 1, True),
        ([1, 0], 2, True),
        ([1, 1, 0], 3, True),
        ([1, 1, 1, 0], 3, False),
        # It may have taken over.
        ([None, 0], 1, False),
        ([1, None, 0], 2, False),
    ],
)
async def test_next_entry_is_asked_if_one_declines(statuses, asked, hands_over):
    peers = [Peer(2.0, 9 - n, status=status) for n, status in enumerate(statuses)]
    manager = build_manager(0.5, 1000.0, peers)
    term = Term(LeaderToken(7), StoreLease(1), 0.0)
    assert await manager.handover.request(term) == hands_over
    assert [len(peer.calls) for peer in peers] == [1] * asked + [0] * (
        len(peers) - asked
    )


@pytest.mark.parametrize(
    ("led_ago", "takes_over"),
    [(None, True), (0.1, False), (2.9, False), (3.0, True), (60.0, True)],
)
async def test_entry_that_has_just_led_does_not_take_over(led_ago, takes_over):
    """Two leaders took turns at ordering the same VM changes within LeaseMs."""
    manager = build_manager(2.0, 1000.0, [])
    if led_ago is not None:
        manager.backoff.record_term(1.0, failed=False)
        manager.backoff.term_ended_at -= led_ago
    status, _ = await manager.take_over(Revision(0))
    assert (status == 0) == takes_over
    if manager.term_task is not None:
        manager.end_term("shutdown")
        await manager.term_task
