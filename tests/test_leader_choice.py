"""Choice of the leader among entries on VMs of different size.

Guards against a leader that stays on a VM too small for its work, and against pointless
hand-overs between entries that are equally suitable.
"""

import random
from dataclasses import dataclass, field

import pytest
from expression import Ok

from ebonyhub.clock import SystemClock
from ebonyhub.cluster.leadership import Term
from ebonyhub.cluster.mirror import JobMirror
from ebonyhub.entry.leadership_manager import LeadershipManager
from ebonyhub.ids import DataCentre, EntryId, LeaderToken, StoreLease
from ebonyhub.node_settings import NodeSettings
from standins.memory_store import MemoryStore, StoreCore


def settings(cores, link_mbps):
    return NodeSettings(
        EntryId("e"), "127.0.0.1", DataCentre("a"), "127.0.0.1:1", "127.0.0.1:2",
        (7060, 7075), "127.0.0.1:3", "", "", 120.0, cores, link_mbps,
    )  # fmt: skip


@dataclass(eq=False)
class Peer:
    """A connected entry that accepts each request to take over."""

    peer_effective_cores: float
    peer_started_ms: int = 0
    is_open: bool = True
    calls: list = field(default_factory=list)

    async def call(self, method, argument):
        self.calls.append((method, argument))
        return Ok((0, None))


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
