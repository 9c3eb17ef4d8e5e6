"""The configuration on entries that the store refuses, and its age.

Guards against a removed key that stays in force at one entry, an entry that goes back
to an older version, and keys that one entry keeps or sends to another.
"""

import asyncio
import json
import random
from dataclasses import replace
from types import SimpleNamespace

import msgspec
import pytest
from expression import Error, Ok
from prometheus_client import CollectorRegistry

from ebonyhub.cluster.leadership import LEADER_KEY, LeaderRecord
from ebonyhub.cluster.metadata_store import Batch, Item
from ebonyhub.cluster.peers import MessageKind, PeerFailure, connect
from ebonyhub.entry import process
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
from tests.test_api_keys import build_configuration
from tests.test_cancel_state_machine import FakeClock
from tests.test_job_scopes import ROUTES
from tests.test_job_scopes import World as Calls
from tests.test_peers import wait_until

PORT = 7060


def document(version, *keys, **fields):
    """Return a configuration of the store; by default its key names the version."""
    tenants = [
        {"Name": "x", "ApiKeys": list(keys) or [f"key-{version}"], "Weight": 2.5,
         "Priority": 3, "Maximum": {"Cpu": 4000, "Gpu": 1}},
        {"Name": "y", "ApiKeys": ["key-y", "key-shared"]},
        {"Name": "z", "ApiKeys": ["key-shared"]},
    ]  # fmt: skip
    data = {"Version": version, "Routes": ROUTES, "Services": [{"Name": "s"}]}
    return json.dumps({**data, "Tenants": tenants, **fields}).encode()


def settings(ip="127.0.0.1", strict=True, has_workspaces=True):
    return NodeSettings(
        EntryId("e"), ip, DataCentre("a"), f"{ip}:1", f"{ip}:2", (PORT, 7075),
        "127.0.0.1:3", "", "", 120.0, 1.0, 1000.0, has_workspaces=has_workspaces,
        strict_revocation=strict, revocation_seconds=5.0,
    )  # fmt: skip


class Stream:
    """A stream to a peer that answers fetches at once."""

    def __init__(self, peer, reply=None):
        self.peer, self.reply, self.transfer, self.calls = peer, reply, None, 0

    async def call(self, method, argument, timeout_seconds):
        self.calls += 1
        return self.reply or Ok(self.peer.answer_fetch())


class World:
    """Replicas of several entries and their links."""

    def __init__(self, *versions, **changes):
        self.clock = FakeClock()
        self.metrics = Metrics(CollectorRegistry())
        self.checked_at = [float("-inf")] * len(versions)
        self.applied = [[] for _ in versions]
        self.replicas = [self.replica(n, changes) for n in range(len(versions))]
        for number, version in enumerate(versions):
            if version:
                self.store(number, document(version))

    def replica(self, number, changes):
        return ConfigurationReplica(
            settings(**changes), self.clock, Rejections(self.metrics),
            lambda: self.checked_at[number],
            lambda found: self.applied[number].append(found.version),
            lambda message: None,
        )  # fmt: skip

    def store(self, number, value):
        """Let the store deliver a document to an entry."""
        self.checked_at[number] = self.clock.now
        self.replicas[number].apply_stored(value)

    def version(self, number):
        current = self.replicas[number].current
        return current and current.version

    async def announce(self, sender, receiver, reply=None):
        """Deliver an announcement, and let the receiver fetch the document."""
        stream = Stream(self.replicas[sender], reply)
        message = self.replicas[sender].announcement()
        if message is not None:
            self.replicas[receiver].on_announcement(stream, *message[1:])
        await self.fetched(receiver)
        return stream.calls

    async def fetched(self, number):
        if self.replicas[number].fetching is not None:
            await asyncio.wait([self.replicas[number].fetching])
            await asyncio.sleep(0)


@pytest.fixture(autouse=True)
def no_delay(monkeypatch):
    """Pauses wait on the real clock."""
    monkeypatch.setattr(replica_module, "FETCH_DELAY_SECONDS", 0.0)


def test_document_for_peers_has_the_same_workspaces_and_no_key():
    value = document(3, "key-x", "ключ", Later={"a": [1.5, None]})
    stored = decode_configuration(value, True).ok
    shared = digest_keys(value, stored.workspaces)
    assert b"key-" not in shared
    received = decode_configuration(shared, True, True).ok
    assert received == replace(stored, rejected_rows=())
    assert received.workspace_of_key("ключ".encode()) == "x"
    assert received.workspace_of_key(b"key-shared") == "y"
    # Digests in a document of the store are no keys.
    assert decode_configuration(shared, True).ok.workspaces_by_digest == {}


async def test_entry_without_the_store_learns_of_added_and_removed_keys(log_lines):
    world = World(1, 1, 1)
    world.store(0, document(2))
    await world.announce(0, 1)
    # The second entry passes on what it has never read from the store.
    await world.announce(1, 2)
    for replica in world.replicas:
        assert replica.current.workspace_of_key(b"key-2") == "x"
        assert replica.current.workspace_of_key(b"key-1") is None
        assert b"key-" not in replica.shared
    assert [line for line in log_lines if line.startswith("E2601")]
    assert "key-" not in "".join(log_lines)


async def test_document_that_the_store_delivers_in_time_is_not_fetched():
    world = World(2, 1)
    stream = Stream(world.replicas[0])
    world.replicas[1].on_announcement(stream, *world.replicas[0].announcement()[1:])
    world.store(1, document(2))
    await world.fetched(1)
    assert stream.calls == 0


@pytest.mark.parametrize(
    ("reply", "rejected"),
    [((0, b"\xc1"), 1), ((0, b"{}"), 1), ((0, "text"), 0), ((0, None), 0),
     ((0, document(9, "key-secret")), 1), ((0, document(9, Tenants=None)), 1)],
)  # fmt: skip
async def test_unusable_document_of_a_peer_is_refused_and_not_fetched_at_once(
    reply,
    rejected,
    log_lines,
):
    """A document in the store's format has keys, which no entry sends to another."""
    world = World(2, 1)
    assert [await world.announce(0, 1, Ok(reply)) for _ in range(3)] == [1, 0, 0]
    counter = world.metrics.inputs_rejected.labels("configuration")
    assert counter._value.get() == rejected
    assert world.version(1) == 1
    assert "key-" not in "".join(log_lines)
    world.clock.now += UNUSABLE_SECONDS
    await world.announce(0, 1)
    assert world.version(1) == 2


@pytest.mark.parametrize(
    "reply", [Error(PeerFailure.UNKNOWN), Error(PeerFailure.NOT_SENT), Ok((1, None))]
)
async def test_failed_fetch_is_repeated_with_the_next_announcement(reply):
    world = World(2, 1)
    await world.announce(0, 1, reply)
    assert world.version(1) == 1
    await world.announce(0, 1)
    assert world.version(1) == 2


async def test_older_document_of_a_peer_is_not_applied():
    world = World(1, 3)
    world.replicas[1].on_announcement(Stream(world.replicas[0]), 4, 0)
    await world.fetched(1)
    assert world.applied[1] == [3]


@pytest.mark.parametrize(
    ("age", "version"), [(0.0, 1), (2.5, 1), (MAX_FIRST_AGE_SECONDS + 0.1, None)]
)
async def test_first_configuration_comes_from_a_peer_that_knows_the_newest(
    age, version
):
    """A restarted entry could otherwise go back to a version that it had left."""
    world = World(1, None)
    world.clock.now += age
    await world.announce(0, 1)
    assert world.version(1) == version


async def test_nothing_is_announced_or_fetched_without_workspaces():
    world = World(2, None, has_workspaces=False)
    assert world.replicas[0].announcement() is None
    assert world.replicas[0].shared == b""
    world.replicas[1].on_announcement(Stream(world.replicas[0]), 2, 0)
    assert world.replicas[1].fetching is None
    world.clock.now += 100.0
    assert not world.replicas[0].is_stale()
    with pytest.raises(ValueError):
        await PlatformEntry(settings(has_workspaces=False), 1).on_peer_call(
            FETCH_METHOD, []
        )


@pytest.mark.parametrize("seed", range(8))
async def test_versions_only_rise_and_reach_every_entry(seed):
    rng = random.Random(seed)
    world, newest = World(1, 1, 1, 1, 1), 1
    for _ in range(120):
        world.clock.now += rng.uniform(0.0, 1.0)
        sender, receiver = rng.sample(range(5), 2)
        match rng.randrange(4):
            case 0:
                newest += 1
            case 1:
                world.store(sender, document(newest))
            case _:
                await world.announce(sender, receiver)
    world.store(0, document(newest))
    for number in range(5):
        await world.announce(0, number)
        assert world.version(number) == newest
        assert world.applied[number] == sorted(set(world.applied[number]))


@pytest.mark.parametrize(
    ("strict", "age", "version", "sent_age", "stale"),
    [
        (True, 4.9, None, 0, False), (True, 5.1, None, 0, True),
        (False, 1e6, None, 0, False), (True, 60.0, 1, 0.4, False),
        (True, 60.0, 1, 5.1, True), (True, 1.0, 1, 60.0, False),
        # Another version of a peer does not say that this entry's is the newest.
        (True, 60.0, 0, 0.0, True), (True, 60.0, 2, 0.0, True),
    ],
)  # fmt: skip
async def test_age_after_which_keys_are_refused(strict, age, version, sent_age, stale):
    """``age`` is the time since the store, ``sent_age`` that of an announcement."""
    world = World(1, 1, strict=strict)
    world.clock.now += age
    if version is not None:
        stream = Stream(world.replicas[0])
        world.replicas[1].on_announcement(stream, version, int(sent_age * 1000))
    assert world.replicas[1].is_stale() is stale


async def test_age_adds_up_over_several_entries():
    """Two entries without the store must not take each other for current."""
    world = World(2, 1, 1)
    world.clock.now += 4.0
    await world.announce(0, 1)
    for _ in range(20):
        world.clock.now += 0.1
        await world.announce(1, 2)
        await world.announce(2, 1)
    assert (world.version(2), world.replicas[2].is_stale()) == (2, True)
    world.checked_at[0] = world.clock.now
    await world.announce(0, 1)
    await world.announce(1, 2)
    assert not world.replicas[2].is_stale()


@pytest.mark.parametrize(
    ("scope", "stale", "status"),
    [("a key-x", False, 200), ("a key-x", True, 503), ("a key-z", True, 503),
     ("a", True, 401), ("b", True, 200), ("b key-x", True, 503)],
)  # fmt: skip
async def test_calls_with_a_stale_configuration(scope, stale, status):
    world = Calls("a", build_configuration(x=["key-x"]))
    world.first.api.is_configuration_stale = lambda: stale
    assert (await world.first.call("POST", scope))[0] == status
    assert bool(world.core.items) == (status == 200)


# Entries with streams


class Entries:
    """An entry that listens, and others that do not run."""

    def __init__(self):
        self.network, self.tasks, self.servers = claim_network(), [], []
        self.first, self.second = (
            PlatformEntry(settings(self.network.address(1, n)), 1) for n in (1, 2)
        )
        self.start(self.first.leadership.peer_server.run())

    def start(self, coroutine):
        self.tasks.append(asyncio.create_task(coroutine))

    async def connect(self):
        """Open a stream from the second entry to the first one."""
        await asyncio.sleep(0.05)
        address = self.network.address(1, 1)
        return (await connect(address, PORT, EntryId("e"), 0, 1.0)).ok


@pytest.fixture
async def entries():
    found = Entries()
    yield found
    for closing in found.servers:
        closing.close()
    for task in found.tasks:
        task.cancel()
    await asyncio.gather(*found.tasks, return_exceptions=True)
    found.network.close()


async def test_entries_announce_and_fetch_over_their_streams(entries):
    """Either side of a stream may have the newer version, at its start or later."""
    first, second = entries.first, entries.second
    first.replica.store_checked_at = first.clock.monotonic
    first.replica.apply_stored(document(1))
    second.leadership.leader_stream = stream = await entries.connect()
    entries.start(stream.run(second))
    await wait_until(lambda: second.configuration is not None)
    big = [f"key-{number:040}" for number in range(9_000)]
    first.replica.apply_stored(document(2, *big, Text="x" * 600_000))
    await wait_until(lambda: second.configuration.version == 2)
    assert second.configuration.workspace_of_key(big[-1].encode()) == "x"
    second.replica.apply_stored(document(3))
    await wait_until(lambda: first.configuration.version == 3)
    first.replica.shared = b"\xc1"
    (accepted,) = first.leadership.peer_server.streams
    accepted.send([MessageKind.CONFIGURATION, 4, 0])
    await wait_until(lambda: second.replica.unusable_version == 4)
    assert (second.configuration.version, stream.is_open) == (3, True)


async def test_leader_announces_its_version_at_intervals(entries, monkeypatch):
    """Entries without the store would otherwise refuse keys after a while."""
    monkeypatch.setattr(process, "STATES_INTERVAL_SECONDS", 0.0)
    first, second = entries.first, entries.second
    for entry in (first, second):
        entry.replica.apply_stored(document(1))
    second.leadership.leader_stream = stream = await entries.connect()
    entries.start(stream.run(second))
    await wait_until(lambda: first.leadership.peer_server.streams)
    assert second.replica.is_stale()
    first.replica.store_checked_at = first.clock.monotonic
    first.leadership.term = SimpleNamespace(ended=False)
    entries.start(first.broadcast_periodically())
    await wait_until(lambda: not second.replica.is_stale())


def leader_item(entries, host, revision):
    """Return the leader key of an entry with an address of the network."""
    address = f"{entries.network.address(1, host)}:{PORT}"
    record = LeaderRecord(EntryId(f"e{host}"), address, 5)
    return Item(LEADER_KEY, msgspec.msgpack.encode(record), Revision(revision))


async def test_peers_hear_of_a_new_leader_on_streams_that_are_open(entries):
    """A restarted leader kept an entry without the store, which knew no other one."""
    first, second = entries.first.leadership, entries.second.leadership
    stream = await entries.connect()
    entries.start(stream.run(entries.second))
    await wait_until(lambda: first.peer_server.streams)
    unreadable = Item(LEADER_KEY, b"\xc1", Revision(8))
    first.on_cluster_batch(Batch([unreadable], Revision(8)), True)
    first.update_leader(leader_item(entries, 5, 9))
    await wait_until(lambda: second.leader is not None)
    assert (second.leader.record.entry, stream.is_open) == ("e5", True)


@pytest.mark.parametrize("store_failing", [True, False])
@pytest.mark.parametrize("listens", [True, False])
async def test_entry_with_neither_store_nor_leader_asks_another_entry(
    entries, store_failing, listens
):
    """It tried the address of a dead or frozen leader until the store was back."""
    first, second = entries.first.leadership, entries.second.leadership
    first.update_leader(leader_item(entries, 1, 9))
    second.update_leader(leader_item(entries, 3, 8))
    second.leader_changed.clear()
    second.entry_addresses = {EntryId("e1"): first.leader.record.address}
    if store_failing:
        entries.second.store.last_failure_at = second.clock.monotonic() + 100.0
    if listens:
        # Closes its streams without a word.
        address = entries.network.address(1, 3)
        entries.servers.append(
            await asyncio.start_server(lambda _, writer: writer.close(), address, PORT)
        )
    await asyncio.sleep(0.05)
    await second.connect_to_leader(second.leader)
    assert second.leader.record.entry == ("e1" if store_failing else "e3")


async def test_stream_to_any_peer_stays_open_during_a_fetch(entries):
    """On a slow link the document never arrived: the stream was closed before."""
    may_answer = asyncio.Event()

    async def answer(method, argument):
        await may_answer.wait()
        return 0, argument

    entries.first.on_peer_call = answer
    stream = await entries.connect()
    stream.transfer = asyncio.create_task(stream.call(FETCH_METHOD, [7], 60.0))
    entries.start(entries.second.leadership._run_stream(stream, 0.01))
    await asyncio.sleep(0.1)
    may_answer.set()
    assert (await stream.transfer).ok == (0, [7])
    await wait_until(lambda: not stream.is_open)
