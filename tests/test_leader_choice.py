"""Which entry leads where entries are of unlike size.

Guards against a leader on a VM that is too small for its work, and a hand-over between
entries that are as good as each other.
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
    """A connected entry that takes over when it is asked."""

    peer_effective_cores: float
    peer_started_ms: int = 0
    is_open: bool = True
    calls: list = field(default_factory=list)

    async def call(self, method, argument):
        self.calls.append((method, argument))
        return Ok((0, None))


def role(cores, link_mbps, peers):
    clock = SystemClock()
    built = LeadershipManager(
        settings(cores, link_mbps), MemoryStore(StoreCore(clock.monotonic)),
        JobMirror(), clock, random.Random(1), None, lambda: True, lambda term: None,
    )  # fmt: skip
    built.peer_server.streams = set(peers)
    return built


@pytest.mark.parametrize(
    ("cores", "link_mbps", "strength"),
    [(1.07, 1000.0, 1.07), (2.15, 5.0, 0.2), (0.5, 100.0, 0.5), (2.0, 25.0, 1.0)],
)
def test_slow_links_weaken(cores, link_mbps, strength):
    assert settings(cores, link_mbps).effective_cores == pytest.approx(strength)


@pytest.mark.parametrize(
    ("cores", "link_mbps", "peers", "weak"),
    [
        (1.07, 1000.0, [1.07, 2.0], False),
        (0.5, 1000.0, [1.07], True),
        (0.5, 1000.0, [0.5, 0.7], False),
        (2.0, 5.0, [1.0], True),
        (0.5, 1000.0, [], False),
    ],
)
def test_weak_leader_knows_a_stronger_entry(cores, link_mbps, peers, weak):
    built = role(cores, link_mbps, [Peer(strength) for strength in peers])
    assert built.should_hand_over() == weak


async def test_strong_entry_that_started_last_is_asked_to_take_over():
    peers = [Peer(2.0, 5), Peer(1.07, 9), Peer(0.3, 20), Peer(3.0, 7, is_open=False)]
    built = role(0.5, 1000.0, peers)
    term = Term(LeaderToken(7), StoreLease(1), 0.0)
    assert await built._ask_to_take_over(term)
    assert [bool(peer.calls) for peer in peers] == [False, True, False, False]
