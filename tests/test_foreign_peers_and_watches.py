"""Foreign data that reaches watches, the leader key and the streams between entries.

Guards against one odd value that ends a watch, the search for the leader or a process,
and against a watch that goes past changes that were not applied.
"""

import asyncio
import random
from math import inf, nan

import msgpack
import msgspec
import pytest
from prometheus_client import CollectorRegistry

from ebonyhub.clock import SystemClock
from ebonyhub.cluster.leadership import (
    ENTRY_ADDRESS_PREFIX,
    LEADER_KEY,
    LeaderRecord,
    decode_leader,
)
from ebonyhub.cluster.mirror import JobMirror
from ebonyhub.cluster.peers import PROTOCOL_VERSION, PeerServer, PeerStream, connect
from ebonyhub.cluster.watches import PrefixWatch
from ebonyhub.entry.job_service import (
    OUTCOME_UNKNOWN,
    JobService,
    decode_peer_answer,
)
from ebonyhub.entry.leadership_manager import LeadershipManager
from ebonyhub.entry.withdrawals import Withdrawals
from ebonyhub.errors import ErrorKind
from ebonyhub.ids import DataCentre, EntryId
from ebonyhub.jobs.model import AcceptedJob, JobScope, JobSpec, Resources, StepSpec
from ebonyhub.jobs.records import accepted_key
from ebonyhub.metrics import Metrics
from ebonyhub.node_settings import NodeSettings
from ebonyhub.rejections import Rejections
from ebonyhub.scheduling.overload import SIZE_CLASSES, ForecastCache, decode_forecasts
from standins.memory_store import MemoryStore, StoreCore
from standins.network import claim_network

DEEP = b"\x91" * 100_000 + b"\x01"
JOB = "0123456789abcdef"
PORT = 7060


def rejections():
    return Rejections(Metrics(CollectorRegistry()))


def count(counted, source):
    return counted.metrics.inputs_rejected.labels(source)._value.get()


# Watches


class Handler:
    """Keeps the present keys; raises for the key a/bad, and while ``broken``."""

    def __init__(self):
        self.keys, self.broken = set(), False

    def on_batch(self, batch, full):
        if full:
            self.keys = set()
        for item in batch.items:
            if self.broken or (item.key, item.value) == ("a/bad", b"x"):
                raise RuntimeError(item.key)
            (self.keys.discard if item.value is None else self.keys.add)(item.key)


def watched():
    core = StoreCore(SystemClock().monotonic)
    handler, counted = Handler(), rejections()
    watch = PrefixWatch(
        MemoryStore(core), "a/", SystemClock(), handler.on_batch, 0.0,
        rejections=counted,
    )  # fmt: skip
    return core, handler, watch, counted


@pytest.mark.parametrize("odd_first", [True, False])
async def test_watch_applies_the_others_of_a_batch(odd_first):
    """The batch counted as applied, and the watch ended with the exception."""
    core, handler, watch, counted = watched()
    core.put("a/old", b"x")
    await watch.poll_once()
    keys = ["a/1", "a/bad", "a/2"] if not odd_first else ["a/bad", "a/1", "a/2"]
    for key in keys:
        core.put(key, b"x")
    core.delete("a/old")
    assert await watch.poll_once()
    assert handler.keys == {"a/1", "a/2"}
    assert watch.revision == core.revision
    assert count(counted, "batch") == 1


async def test_full_listing_with_an_odd_item_still_removes_what_is_gone():
    core, handler, watch, _ = watched()
    handler.keys = {"a/gone"}
    core.put("a/1", b"x")
    core.put("a/bad", b"x")
    assert await watch.poll_once()
    # The odd item is not gone.
    assert handler.keys == {"a/1", "a/bad"}


async def test_pending_watch_call_is_not_taken_for_the_listing_asked_for_meanwhile():
    """What its answer does not contain would count as deleted."""
    core, handler, watch, _ = watched()
    core.put("a/1", b"x")
    await watch.poll_once()
    watch.wait_seconds = 5.0
    pending = asyncio.create_task(watch.poll_once())
    await asyncio.sleep(0)
    watch.has_listed = False
    core.put("a/2", b"x")
    assert await pending
    assert handler.keys == {"a/1", "a/2"}
    assert not watch.has_listed


async def test_listing_that_is_not_applied_is_read_again():
    core, handler, watch, _ = watched()
    core.put("a/1", b"x")
    handler.broken = True
    assert not await watch.poll_once()
    assert (watch.has_listed, watch.revision) == (False, 0)
    handler.broken = False
    assert await watch.poll_once()
    assert handler.keys == {"a/1"}


# The leader key and the entries' addresses

ODD_RECORDS = [
    b"", b"\xc1", b"\xff\xfe", DEEP, b"\x93" + DEEP, msgpack.packb(["e", "a", -1]),
    msgpack.packb(["e", "a", 2**63]), msgpack.packb([7, "a", 1]), msgpack.packb(["e"]),
]  # fmt: skip
ODD_ADDRESSES = [
    b"", b"\xff", b"127.0.0.1", b"127.0.0.1:", b"127.0.0.1:x", b"127.0.0.1:99999",
    "127.0.0.1:\u00b2".encode(), b"a..b:1", b"x" * 300 + b":1", b"127.0.0.1:0",
    b"127.0.0.1:" + b"9" * 5000,
]  # fmt: skip


def build_manager(core):
    clock = SystemClock()
    settings = NodeSettings(
        EntryId("e"), "127.0.0.1", DataCentre("a"), "127.0.0.1:1", "127.0.0.1:2",
        (7060, 7075), "127.0.0.1:3", "", "", 120.0, 1.0, 1000.0,
    )  # fmt: skip
    return LeadershipManager(
        settings, MemoryStore(core), JobMirror(rejections()), clock, random.Random(1),
        None, lambda: True, lambda term: None,
    )  # fmt: skip


def odd_leader_keys():
    addresses = [value.decode("latin-1") for value in ODD_ADDRESSES]
    return ODD_RECORDS + [msgpack.packb(["x", address, 1]) for address in addresses]


@pytest.mark.parametrize("value", odd_leader_keys())
async def test_odd_leader_key_is_replaced(value):
    """It ended the watch, or the search for the leader, until the process ended."""
    core = StoreCore(SystemClock().monotonic)
    core.put(LEADER_KEY, value)
    manager = build_manager(core)
    await manager.watch.poll_once()
    following = asyncio.create_task(manager.follow_leader())
    async with asyncio.timeout(5):
        while core.items.get(LEADER_KEY) and core.items[LEADER_KEY].value == value:
            await asyncio.sleep(0.01)
    assert not following.done()
    following.cancel()


@pytest.mark.parametrize("value", ODD_RECORDS)
def test_leader_key_of_a_peer_that_cannot_be_read_is_refused(value):
    manager = build_manager(StoreCore(SystemClock().monotonic))
    with pytest.raises(ValueError):
        manager.on_peer_leader(7, value)
    assert manager.leader is None


@pytest.mark.parametrize("value", ODD_ADDRESSES)
async def test_odd_address_of_an_entry_is_left_out(value):
    core = StoreCore(SystemClock().monotonic)
    core.put(ENTRY_ADDRESS_PREFIX + "a", value)
    core.put(ENTRY_ADDRESS_PREFIX + "b", b"127.0.0.1:7060")
    core.put(ENTRY_ADDRESS_PREFIX + "c", value)
    manager = build_manager(core)
    assert await manager.watch.poll_once()
    assert manager.entry_addresses == {"b": "127.0.0.1:7060"}
    assert count(manager.mirror.rejections, "entry_address") == 2
    assert (await manager._connect(value.decode("latin-1"))).is_error()


def test_sound_leader_key_is_decoded():
    core = StoreCore(SystemClock().monotonic)
    record = LeaderRecord(EntryId("e"), "127.0.0.1:7060", 5)
    core.put(LEADER_KEY, msgspec.msgpack.encode(record))
    assert decode_leader(core.items[LEADER_KEY]).record == record


# Streams between entries

ODD_MESSAGES = [
    b"\xc1", DEEP, b"\xff" * 100, b"\xdd\xff\xff\xff\xff", b"\x81\x01\x02", b"\xa3abc",
    *[msgpack.packb(message) for message in (
        [], 7, None, "x", [[1]], [{}], [None, 1], [1], [1, 7], [1, [["k", 3]]],
        [1, [["k", -1, b""]]], [1, [["k", 2**63, b""]]], [1, [["k", 3, "text"]]],
        [1, [[None, 3, b""]]], [1, [["k" * 5000, 3, b""]]], [1, [["k", 3, None]]],
        [1, [["k", 3, b"", 4]]], [2], [2, -1, "read", []], [2, 1, 7, []],
        [3, [], 0, 0], [3, 1, "x", 0], [4, "x", b""], [4, 2**64 - 1, b""], [4, 1, 5],
        [5, 1, [["j", "q", False, 9, ""]], True], [5, 1, [["j", "q", False, 1]], True],
        [5, 1, [["j", [], False, 1, ""]], True],
        [5, 1, [[[], "q", False, 1, ""]], True],
        [5, 1, [["j", "q", False, 1, 7]], True],
        [5, 2**63, [], True], [5, 1.5, [], True], [5, 1, [], "yes"], [5, 1, 7, False],
        [6, 7], [6], [7], [7, 1], [7, -1, 0], [7, 1, "x"], [7, 1, -1], [7, 1.5, 0],
    )],
]  # fmt: skip
ODD_HANDSHAKES = [
    [PROTOCOL_VERSION, "e", inf, 1.0], [PROTOCOL_VERSION, "e", 0, inf],
    [PROTOCOL_VERSION, "e", 0, nan], [PROTOCOL_VERSION, "e", 0, "x"],
    [PROTOCOL_VERSION, [], 0, 1.0], [PROTOCOL_VERSION, "e", -1, 1.0],
    [PROTOCOL_VERSION, "e", 0, -1.0], {}, [[]],
]  # fmt: skip


class PeerHandler:
    """Ignores all messages, and echoes calls."""

    def initial_states_message(self):
        return None

    def on_peer_states(self, revision, rows, full):
        """Ignore the states."""

    on_peer_records = on_peer_leader = on_peer_forecasts = lambda self, *_: None
    on_stream_started = on_peer_configuration = lambda self, *_: None
    on_peer_overload = on_peer_forecasts

    async def on_peer_call(self, method, argument):
        return 0, argument


async def test_odd_bytes_close_only_their_stream():
    """Each stream is closed with one event; the server goes on."""
    loop, failures = asyncio.get_running_loop(), []
    loop.set_exception_handler(lambda _, context: failures.append(context))
    network, counted = claim_network(), rejections()
    address = network.address(0, 1)
    server = PeerServer(address, PORT, PeerHandler(), counted)
    serving = asyncio.create_task(server.run())
    await asyncio.sleep(0.05)
    sound = (await connect(address, PORT, EntryId("e"), 5, 1.5)).ok
    running = asyncio.create_task(sound.run(PeerHandler()))
    greeting = msgpack.packb([PROTOCOL_VERSION, "e", 0, 1.0])
    streams = [greeting + message for message in ODD_MESSAGES]
    streams += [msgpack.packb(handshake) for handshake in ODD_HANDSHAKES]
    for number, data in enumerate(streams):
        reader, writer = await asyncio.open_connection(address, PORT)
        writer.write(data)
        async with asyncio.timeout(5):
            while True:
                try:
                    if not await reader.read(4096):
                        break
                except ConnectionResetError:
                    break
        writer.close()
        assert count(counted, "peer") == number + 1, data[:60]
    assert (await sound.call("read", [JOB])).ok == (0, [JOB])
    assert not failures
    for task in (running, serving):
        task.cancel()
    await asyncio.gather(running, serving, return_exceptions=True)
    network.close()


def build_service(core):
    clock, metrics = SystemClock(), Metrics(CollectorRegistry())
    mirror, store, rng = JobMirror(), MemoryStore(core), random.Random(1)

    def apply(items):
        for item in items:
            mirror.apply(item)

    return JobService(
        store, mirror, clock, metrics, None, apply, ForecastCache(), rng,
        Withdrawals(store, clock, rng, apply),
    )  # fmt: skip


SPEC = JobSpec("t", (StepSpec(1, Resources(1, 1)),))
RECORD = msgspec.msgpack.encode(AcceptedJob(JOB, "q", "s", 1, 1, SPEC))


@pytest.mark.parametrize(
    ("method", "argument"),
    [
        ("read", None), ("read", []), ("read", [7, "q", ""]), ("read", {}),
        ("read", ["a/b", "q", ""]), ("read", [JOB]), ("read", [JOB, "q", 1]),
        ("cancel", [JOB, "q"]), ("nothing", [JOB, "q", ""]), ("cancel", [["x"]]),
        ("submit", [JOB]),
        ("submit", [JOB, "text"]), ("submit", [JOB, b"\xc1"]), ("submit", [JOB, DEEP]),
        ("submit", ["f" * 16, RECORD]), ("submit", 7),
    ],
)  # fmt: skip
async def test_odd_call_of_a_peer_is_refused_and_stores_nothing(method, argument):
    """A record that no leader can read was stored, and the call counted as accepted."""
    core = StoreCore(SystemClock().monotonic)
    with pytest.raises(ValueError):
        await build_service(core).handle_peer_call(method, argument)
    assert not core.items


async def test_sound_call_of_a_peer_is_carried_out():
    core = StoreCore(SystemClock().monotonic)
    service = build_service(core)
    assert await service.handle_peer_call("submit", [JOB, RECORD]) == (0, 0)
    assert await service.handle_peer_call("read", [JOB, "q", ""]) == (0, 0)
    assert core.items[accepted_key(JOB)].value == RECORD


async def test_job_with_unreadable_records_has_no_state():
    core = StoreCore(SystemClock().monotonic)
    core.put(accepted_key(JOB), b"\xc1")
    answer = await build_service(core).read_store(JOB, JobScope("q"))
    assert answer.error is ErrorKind.STORE_UNAVAILABLE


@pytest.mark.parametrize("payload", [None, 9, "x", [], {}, 1.5, b"x", "unknown"])
@pytest.mark.parametrize("status", [0, 1])
def test_odd_reply_of_a_peer_leaves_the_outcome_unknown(status, payload):
    assert decode_peer_answer(status, payload) is OUTCOME_UNKNOWN


@pytest.mark.parametrize(
    "change",
    [(0, []), (0, 7), (1, nan), (1, inf), (2, "x"), (3, [0.0]), (3, None), (4, nan),
     (3, [nan] * len(SIZE_CLASSES)), (5, 1.5), (5, "x")],
)  # fmt: skip
def test_odd_forecasts_are_refused(change):
    row = ["s", 10.0, 5.0, [0.0] * len(SIZE_CLASSES), 1.0, 5]
    assert decode_forecasts([row])
    row[change[0]] = change[1]
    with pytest.raises(ValueError):
        decode_forecasts([row])
    with pytest.raises(ValueError):
        decode_forecasts(7)


def build_stream():
    """Return a stream without a connection, for tests of its messages."""
    return PeerStream(None, Writer(), rejections())


class Writer:
    """Takes the place of a connection."""

    def get_extra_info(self, name):
        return None

    def is_closing(self):
        return True
