"""The configuration on entries that the store refuses, and its age.

Guards against a removed key that stays in force at one entry, an entry that goes back
to an older version, and keys that one entry keeps or sends to another.
"""

import asyncio
import json
import random
from dataclasses import replace

import msgspec
import pytest
from expression import Error, Ok
from prometheus_client import CollectorRegistry

from ebonyhub.cluster.leadership import LEADER_KEY, LeaderRecord
from ebonyhub.cluster.metadata_store import Batch, Item
from ebonyhub.cluster.peers import MessageKind, PeerFailure, PeerServer, connect
from ebonyhub.entry.process import PlatformEntry
from ebonyhub.entry.workspaces import replica as replica_module
from ebonyhub.entry.workspaces.replica import (
    FETCH_METHOD,
    MAX_FIRST_AGE_SECONDS,
    UNUSABLE_SECONDS,
    ConfigurationReplica,
)
from ebonyhub.ids import DataCentre, EntryId, Revision
from ebonyhub.metrics import Metrics
from ebonyhub.node_settings import NodeSettings
from ebonyhub.platform.config import decode_configuration
from ebonyhub.platform.tenants import digest_keys
from ebonyhub.rejections import Rejections
from standins.network import claim_network
from tests.test_api_keys import LogLines, keyed_world
from tests.test_cancel_state_machine import FakeClock
from tests.test_job_scopes import ROUTES
from tests.test_peers import wait_until

REVOKE_SECONDS = 5.0


def document(version, *keys, **fields):
    """Return a configuration of the store; by default its key names the version."""
    routes = [ROUTES[0], {**ROUTES[1], "AllowAnonymous": True}]
    data = {
        "Version": version, "Routes": routes, "Services": [{"Name": "s"}],
        "Tenants": [
            {"Name": "x", "ApiKeys": list(keys) or [f"key-{version}"], "Weight": 2.5,
             "Priority": 3, "Maximum": {"Cpu": 4000, "Gpu": 1}},
            {"Name": "y", "ApiKeys": ["key-y", "key-shared"]},
            {"Name": "z", "ApiKeys": ["key-shared"], "Weight": "bad"},
            {"Name": "z", "ApiKeys": ["key-shared"]},
        ],
    }  # fmt: skip
    return json.dumps({**data, **fields}).encode()


def settings(ip="127.0.0.1", strict=True, has_workspaces=True):
    return NodeSettings(
        EntryId("e"), ip, DataCentre("a"), f"{ip}:1", f"{ip}:2", (7060, 7075),
        "127.0.0.1:3", "", "", 120.0, 1.0, 1000.0, has_workspaces=has_workspaces,
        strict_revocation=strict, revocation_seconds=REVOKE_SECONDS,
    )  # fmt: skip


class Stream:
    """A stream to a peer that answers fetches at once."""

    def __init__(self, peer):
        self.peer, self.transfer, self.calls, self.reply = peer, None, 0, None

    async def call(self, method, argument, timeout_seconds):
        self.calls += 1
        assert method == FETCH_METHOD
        return self.reply or Ok(self.peer.answer_fetch())


class World:
    """Replicas of several entries and their links."""

    def __init__(self, entries=2, **changes):
        self.clock = FakeClock()
        self.metrics = [Metrics(CollectorRegistry()) for _ in range(entries)]
        self.checked_at = [float("-inf")] * entries
        self.replicas = [self.replica(n, **changes) for n in range(entries)]
        self.applied = [[] for _ in range(entries)]

    def replica(self, number, **changes):
        return ConfigurationReplica(
            settings(**changes), self.clock, Rejections(self.metrics[number]),
            lambda: self.checked_at[number],
            lambda found: self.applied[number].append(found.version),
            lambda message: None,
        )  # fmt: skip

    def store(self, number, value):
        """Let the store deliver a document to an entry."""
        self.checked_at[number] = self.clock.now
        self.replicas[number].apply_stored(value)

    async def announce(self, sender, receiver, stream=None):
        """Deliver an announcement, and let the receiver fetch the document."""
        stream = stream or Stream(self.replicas[sender])
        message = self.replicas[sender].announcement()
        if message is not None:
            assert message[0] == MessageKind.CONFIGURATION
            self.replicas[receiver].on_announcement(stream, *message[1:])
        if self.replicas[receiver].fetching is not None:
            await asyncio.wait([self.replicas[receiver].fetching])
            await asyncio.sleep(0)
        return stream

    def rejected(self, number):
        counter = self.metrics[number].inputs_rejected
        return counter.labels("configuration")._value.get()


@pytest.fixture(autouse=True)
def no_delay(monkeypatch):
    """Pauses wait on the real clock."""
    monkeypatch.setattr(replica_module, "FETCH_DELAY_SECONDS", 0.0)


@pytest.fixture
def log(monkeypatch):
    return LogLines(monkeypatch)


def test_document_for_peers_has_the_same_workspaces_and_no_key():
    value = document(3, "key-x", "ключ", Later={"a": [1.5, None]})
    stored = decode_configuration(value, True).ok
    shared = digest_keys(value, stored.workspaces)
    assert b"key-" not in shared
    assert b"ApiKeys" not in shared
    received = decode_configuration(shared, True, True).ok
    assert received == replace(stored, rejected_rows=())
    assert received.workspace_of_key("ключ".encode()) == "x"
    assert received.workspace_of_key(b"key-shared") == "y"
    # Digests in a document of the store are no keys.
    assert decode_configuration(shared, True).ok.workspaces_by_digest == {}


async def test_entry_without_the_store_learns_of_added_and_removed_keys(log):
    world = World(3)
    for number in range(3):
        world.store(number, document(1, "key-old"))
    world.store(0, document(2, "key-new"))
    await world.announce(0, 1)
    # The second entry passes on what it has never read from the store.
    await world.announce(1, 2)
    for replica in world.replicas:
        assert replica.current.version == 2
        assert replica.current.workspace_of_key(b"key-new") == "x"
        assert replica.current.workspace_of_key(b"key-old") is None
        assert b"key-" not in replica.shared
    assert [line for line in log.lines if line.startswith("E2601")]
    assert "key-" not in "".join(log.lines)


async def test_document_that_the_store_delivers_in_time_is_not_fetched():
    world = World()
    world.store(0, document(2))
    stream = Stream(world.replicas[0])
    world.replicas[1].on_announcement(stream, *world.replicas[0].announcement()[1:])
    world.store(1, document(2))
    await asyncio.wait([world.replicas[1].fetching])
    assert stream.calls == 0


@pytest.mark.parametrize(
    ("reply", "rejected"),
    [
        (Ok((0, b"\xc1")), 1), (Ok((0, b"{}")), 1), (Ok((0, "text")), 0),
        (Ok((0, None)), 0), (Ok((0, document(9, "key-secret"))), 1),
        (Ok((0, document(9, Tenants=None))), 1),
    ],
)  # fmt: skip
async def test_unusable_document_of_a_peer_is_refused_and_not_fetched_at_once(
    reply, rejected, log
):
    """A document in the store's format has keys, which no entry sends to another."""
    world = World()
    world.store(0, document(2))
    world.store(1, document(1))
    stream = Stream(world.replicas[0])
    stream.reply, before = reply, world.rejected(1)
    for _ in range(3):
        await world.announce(0, 1, stream)
    assert stream.calls == 1
    assert world.rejected(1) - before == rejected
    assert world.replicas[1].current.version == 1
    assert "key-" not in "".join(log.lines)
    world.clock.now += UNUSABLE_SECONDS
    stream.reply = None
    await world.announce(0, 1, stream)
    assert world.replicas[1].current.version == 2


@pytest.mark.parametrize(
    "reply", [Error(PeerFailure.UNKNOWN), Error(PeerFailure.NOT_SENT), Ok((1, None))]
)
async def test_failed_fetch_is_repeated_with_the_next_announcement(reply):
    world = World()
    world.store(0, document(2))
    world.store(1, document(1))
    stream = Stream(world.replicas[0])
    stream.reply = reply
    await world.announce(0, 1, stream)
    assert world.replicas[1].current.version == 1
    await world.announce(0, 1)
    assert world.replicas[1].current.version == 2


async def test_older_document_of_a_peer_is_not_applied():
    world = World()
    world.store(0, document(1))
    world.store(1, document(3))
    world.replicas[1].on_announcement(Stream(world.replicas[0]), 4, 0)
    await asyncio.wait([world.replicas[1].fetching])
    assert world.applied[1] == [3]


@pytest.mark.parametrize(
    ("age", "version"), [(0.0, 1), (2.5, 1), (MAX_FIRST_AGE_SECONDS + 0.1, None)]
)
async def test_first_configuration_comes_from_a_peer_that_knows_the_newest(
    age, version
):
    """A restarted entry could otherwise go back to a version that it had left."""
    world = World()
    world.store(0, document(1))
    world.clock.now += age
    await world.announce(0, 1)
    current = world.replicas[1].current
    assert (current and current.version) == version


async def test_nothing_is_announced_or_fetched_without_workspaces():
    world = World(has_workspaces=False)
    world.store(0, document(2))
    assert world.replicas[0].announcement() is None
    assert world.replicas[0].shared == b""
    world.replicas[1].on_announcement(Stream(world.replicas[0]), 2, 0)
    assert world.replicas[1].fetching is None
    world.clock.now += 100.0
    assert not world.replicas[0].is_stale()


@pytest.mark.parametrize("seed", range(8))
async def test_versions_only_rise_and_reach_every_entry(seed):
    rng = random.Random(seed)
    world, newest = World(5), 0
    for _ in range(120):
        world.clock.now += rng.uniform(0.0, 1.0)
        sender, receiver = rng.sample(range(5), 2)
        match rng.randrange(4):
            case 0:
                newest += 1
            case 1 if newest:
                world.store(sender, document(newest))
            case _:
                await world.announce(sender, receiver)
    world.store(0, document(newest))
    for receiver in range(1, 5):
        await world.announce(0, receiver)
    for replica, applied in zip(world.replicas, world.applied, strict=True):
        assert replica.current.version == newest
        assert applied == sorted(set(applied))
        expected = replica.current.workspace_of_key(f"key-{newest}".encode())
        assert expected == "x"


# Age of the configuration

STALE = [
    # Strict, seconds since the store was reached, announcement and its age, stale.
    (True, 4.9, None, 0, False),
    (True, 5.1, None, 0, True),
    (False, 1e6, None, 0, False),
    (True, 60.0, 1, 0.4, False),
    (True, 60.0, 1, 5.1, True),
    # An older version of a peer says nothing about this entry's one.
    (True, 60.0, 0, 0.0, True),
    # A newer one says that this entry's is outdated.
    (True, 60.0, 2, 0.0, True),
    (True, 1.0, 1, 60.0, False),
]


@pytest.mark.parametrize(("strict", "age", "version", "sent_age", "stale"), STALE)
async def test_age_after_which_keys_are_refused(strict, age, version, sent_age, stale):
    world = World(strict=strict)
    world.store(1, document(1))
    world.clock.now += age
    stream = Stream(world.replicas[0])
    if version is not None:
        world.replicas[1].on_announcement(stream, version, int(sent_age * 1000))
    assert world.replicas[1].is_stale() is stale


async def test_age_adds_up_over_several_entries():
    """Two entries without the store must not take each other for current."""
    world = World(3)
    for number in range(3):
        world.store(number, document(1))
    for _ in range(100):
        world.clock.now += 0.1
        await world.announce(1, 2)
        await world.announce(2, 1)
    assert world.replicas[1].is_stale()
    assert world.replicas[2].is_stale()
    world.checked_at[0] = world.clock.now
    await world.announce(0, 1)
    await world.announce(1, 2)
    assert not world.replicas[2].is_stale()


async def test_fetched_version_is_as_old_as_its_announcement():
    world = World()
    world.store(0, document(2))
    world.store(1, document(1))
    world.clock.now += 4.0
    await world.announce(0, 1)
    world.clock.now += 2.0
    assert world.replicas[1].current.version == 2
    assert world.replicas[1].is_stale()


@pytest.mark.parametrize(
    ("scope", "stale", "status"),
    [("a key-1", False, 200), ("a key-1", True, 503), ("a key-z", True, 503),
     ("a", True, 401), ("b", True, 200), ("b key-1", True, 503)],
)  # fmt: skip
async def test_calls_with_a_stale_configuration(scope, stale, status, log):
    configuration = decode_configuration(document(1), True).ok
    world = keyed_world(configuration)
    entry = world.first
    entry.api.is_configuration_stale = lambda: stale
    assert (await entry.call("POST", scope))[0] == status
    assert bool(world.core.items) == (status == 200)
    assert "key-" not in "".join(log.lines)


# Entries with streams


@pytest.fixture
def network():
    claimed = claim_network()
    yield claimed
    claimed.close()


async def test_entries_announce_and_fetch_over_their_streams(network):
    """Either side of a stream may have the newer version, at its start or later."""
    first, second = (
        PlatformEntry(settings(network.address(1, n)), 1) for n in range(1, 3)
    )
    first.replica.store_checked_at = first.clock.monotonic
    first.replica.apply_stored(document(1))
    serving = asyncio.create_task(first.leadership.peer_server.run())
    await asyncio.sleep(0.05)
    address = network.address(1, 1)
    stream = (await connect(address, 7060, EntryId("e"), 0, 1.0)).ok
    second.leadership.leader_stream = stream
    running = asyncio.create_task(stream.run(second))
    await wait_until(lambda: second.configuration is not None)
    big = [f"key-{number:040}" for number in range(9_000)]
    first.replica.apply_stored(document(2, *big, Text="x" * 600_000))
    await wait_until(lambda: second.configuration.version == 2)
    assert second.configuration.workspace_of_key(big[-1].encode()) == "x"
    second.replica.apply_stored(document(3))
    await wait_until(lambda: first.configuration.version == 3)
    (accepted,) = first.leadership.peer_server.streams
    first.replica.shared = b"\xc1"
    accepted.send([MessageKind.CONFIGURATION, 4, 0])
    await wait_until(lambda: second.replica.unusable_version == 4)
    assert second.configuration.version == 3
    assert stream.is_open
    for task in (running, serving):
        task.cancel()
    await asyncio.gather(running, serving, return_exceptions=True)


async def test_configuration_is_not_sent_without_workspaces():
    entry = PlatformEntry(settings(has_workspaces=False), 1)
    entry.replica.apply_stored(document(1))
    with pytest.raises(ValueError):
        await entry.on_peer_call(FETCH_METHOD, [])


async def test_peers_hear_of_a_new_leader_on_streams_that_are_open(network):
    """A restarted leader kept an entry without the store, which knew no other one."""
    former, cut_off = (
        PlatformEntry(settings(network.address(1, n)), 1) for n in range(1, 3)
    )
    serving = asyncio.create_task(former.leadership.peer_server.run())
    await asyncio.sleep(0.05)
    stream = (await connect(network.address(1, 1), 7060, EntryId("e"), 0, 1.0)).ok
    running = asyncio.create_task(stream.run(cut_off))
    await wait_until(lambda: former.leadership.peer_server.streams)
    unreadable = Item(LEADER_KEY, b"\xc1", Revision(8))
    former.leadership.on_cluster_batch(Batch([unreadable], Revision(8)), True)
    record = LeaderRecord(EntryId("new"), "127.0.0.1:7060", 5)
    value = msgspec.msgpack.encode(record)
    former.leadership.update_leader(Item(LEADER_KEY, value, Revision(9)))
    await wait_until(lambda: cut_off.leadership.leader is not None)
    assert cut_off.leadership.leader.record == record
    assert stream.is_open
    for task in (running, serving):
        task.cancel()
    await asyncio.gather(running, serving, return_exceptions=True)


@pytest.mark.parametrize("store_failing", [True, False])
async def test_entry_with_neither_store_nor_leader_asks_another_entry(
    network, store_failing
):
    """It tried the address of a dead leader until the store was back."""
    entry = PlatformEntry(settings(network.address(1, 1)), 1)
    if store_failing:
        entry.store.last_failure_at = entry.clock.monotonic() + 100.0
    peer = PeerServer(network.address(1, 2), 7060, SlowPeer())
    record = LeaderRecord(EntryId("new"), f"{network.address(1, 2)}:7060", 5)
    peer.leader = (9, msgspec.msgpack.encode(record))
    serving = asyncio.create_task(peer.run())
    await asyncio.sleep(0.05)
    former = LeaderRecord(EntryId("old"), f"{network.address(1, 3)}:7060", 5)
    leadership = entry.leadership
    leadership.entry_addresses = {EntryId("new"): record.address}
    value = msgspec.msgpack.encode(former)
    leadership.update_leader(Item(LEADER_KEY, value, Revision(8)))
    leadership.leader_changed.clear()
    await leadership.connect_to_leader(leadership.leader)
    assert leadership.leader.record == (record if store_failing else former)
    serving.cancel()
    await asyncio.gather(serving, return_exceptions=True)


class SlowPeer:
    """Answers calls only when told to."""

    def __init__(self):
        self.may_answer = asyncio.Event()

    def initial_states_message(self):
        return None

    on_stream_started = on_peer_configuration = lambda self, *_: None

    async def on_peer_call(self, method, argument):
        await self.may_answer.wait()
        return 0, argument


async def test_stream_to_any_peer_stays_open_during_a_fetch(network):
    """On a slow link the document never arrived: the stream was closed before."""
    peer = SlowPeer()
    server = PeerServer(network.address(1, 1), 7060, peer)
    serving = asyncio.create_task(server.run())
    await asyncio.sleep(0.05)
    entry = PlatformEntry(settings(network.address(1, 2)), 1)
    stream = (await connect(network.address(1, 1), 7060, EntryId("e"), 0, 1.0)).ok
    fetch = asyncio.create_task(stream.call("configuration", [7], 60.0))
    stream.transfer = fetch
    holding = asyncio.create_task(entry.leadership._run_stream(stream, 0.01))
    await asyncio.sleep(0.1)
    peer.may_answer.set()
    assert (await fetch).ok == (0, [7])
    await asyncio.wait_for(holding, 5)
    assert not stream.is_open
    serving.cancel()
    await asyncio.gather(serving, return_exceptions=True)
