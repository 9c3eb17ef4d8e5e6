"""A term of leadership beside documents of other writers.

Guards against an odd entry that ends the term of each leader, and against a wave whose
progress cannot be read and that then takes more VMs down than it may.
"""

import asyncio
import json
import random
import zlib

import msgpack
import pytest
from expression import Error
from prometheus_client import CollectorRegistry

from ebonyhub.clock import SystemClock
from ebonyhub.cluster.leadership import LEADER_KEY, Term
from ebonyhub.cluster.metadata_store import Batch, Item
from ebonyhub.cluster.mirror import JobMirror
from ebonyhub.config_store import decode_config
from ebonyhub.documents import decode_document
from ebonyhub.entry.process import PlatformEntry
from ebonyhub.fleet.controller import (
    LATE_REQUEST_SECONDS,
    WAVE_PROGRESS_PREFIX,
    FleetController,
)
from ebonyhub.fleet.model import FleetLoad, Wave
from ebonyhub.http_client import SmallResponse
from ebonyhub.ids import (
    DataCentre,
    EntryId,
    LeaderToken,
    Revision,
    StoreLease,
    VmId,
    WaveId,
)
from ebonyhub.metrics import Metrics
from ebonyhub.node_settings import NodeSettings
from ebonyhub.platform.cloud import CloudFailure
from ebonyhub.rejections import Rejections
from ebonyhub.scheduling.controller import Controller
from ebonyhub.store import decode_versioned
from standins.job_platform import demo_configuration
from standins.memory_store import MemoryStore, StoreCore

DEEP = b"[" * 100_000 + b"]" * 100_000
DEEP_MSGPACK = b"\x91" * 100_000 + b"\x01"
WORKER = {
    "Service": "s", "Address": "127.0.0.1:9", "Zone": "a", "State": "ready",
    "Capacity": {"Cpu": 8000}, "Labels": ["k", "r"], "born": 5, "Machine": "m",
}  # fmt: skip
ODD_WORKERS = {
    "deep": DEEP, "truncated": b'{"Service"', "bytes": b"\xff\xfe", "array": b"[]",
    "list": json.dumps({**WORKER, "Service": ["s"]}).encode(),
    "machine": json.dumps({**WORKER, "Machine": {}}).encode(),
    "port": json.dumps({**WORKER, "Address": "127.0.0.1:99999"}).encode(),
    "digit": json.dumps({**WORKER, "Address": "127.0.0.1:\u00b2"}).encode(),
    "born": json.dumps({**WORKER, "born": 2**70}).encode(),
    "a b": json.dumps(WORKER).encode(), "": json.dumps(WORKER).encode(),
    "unroutable": json.dumps({**WORKER, "Address": "255.255.255.255:9"}).encode(),
}  # fmt: skip


def new_term(core):
    core.put(LEADER_KEY, b"x")
    return Term(
        LeaderToken(core.revision), StoreLease(1), SystemClock().monotonic() + 99
    )


async def wait_until(condition, *tasks):
    async with asyncio.timeout(10):
        while not condition():
            assert not any(task.done() for task in tasks)
            await asyncio.sleep(0.01)


@pytest.mark.parametrize("listed", [True, False])
async def test_term_goes_on_beside_odd_entries(listed):
    """Each of these ended the term while the entry was listed, and while watched."""
    core = StoreCore(SystemClock().monotonic)
    term = new_term(core)
    clock, metrics = SystemClock(), Metrics(CollectorRegistry())
    controller = Controller(
        term, MemoryStore(core), JobMirror(), None, clock, random.Random(1), metrics,
        None, 120.0, 1e9, lambda: None,
    )  # fmt: skip
    if listed:
        for name, value in ODD_WORKERS.items():
            core.put(f"servers/{name}", value)
    core.put("servers/first", json.dumps(WORKER).encode())
    running = asyncio.create_task(controller.run())
    await wait_until(lambda: "first" in controller.workers.links, running)
    if not listed:
        for name, value in ODD_WORKERS.items():
            core.put(f"servers/{name}", value)
    core.put("servers/zlast", json.dumps(WORKER).encode())
    await wait_until(lambda: "zlast" in controller.workers.links, running)
    await asyncio.sleep(0.3)
    assert set(controller.workers.links) <= {"first", "zlast", "unroutable"}
    assert not running.done()
    assert not any(task.done() for task in controller.workers.link_tasks.values())
    running.cancel()
    await asyncio.gather(running, return_exceptions=True)


class UnreachableCloud:
    """Refuses all calls."""

    async def list_vms(self):
        return Error(CloudFailure.REFUSED)


class FakeClock:
    def __init__(self):
        self.now = 100.0

    def monotonic(self):
        return self.now

    def wall(self):
        return self.now


def build_fleet(core):
    clock, counted = FakeClock(), Rejections(Metrics(CollectorRegistry()))
    term = new_term(core)
    fleet = FleetController(
        term, MemoryStore(core), UnreachableCloud(), clock, FleetLoad, dict,
        lambda vms: None, lambda vms: None, lambda: False, counted,
    )  # fmt: skip
    for number in (1, 2):
        fleet.add_wave(Wave(WaveId(number), (VmId("a"), VmId("b")), 60.0, 1))
    return fleet, clock


@pytest.mark.parametrize(
    "value",
    [
        b"", b"\xc1", DEEP_MSGPACK, msgpack.packb([]), msgpack.packb([["a"], 7]),
        msgpack.packb([[1], []]), b"\x93\x90\x90" + DEEP_MSGPACK,
    ],
)  # fmt: skip
async def test_wave_with_unreadable_progress_waits_for_late_requests(value):
    core = StoreCore(SystemClock().monotonic)
    core.put(f"{WAVE_PROGRESS_PREFIX}1", value)
    core.put(f"{WAVE_PROGRESS_PREFIX}2", msgpack.packb([["a", "x"], ["a", "b", "y"]]))
    for key in ("x", "", "\u00b2", "01", "9" * 5000):
        core.put(f"{WAVE_PROGRESS_PREFIX}{key}", msgpack.packb([["a"], ["a"]]))
    fleet, clock = build_fleet(core)
    await fleet._load_wave_progress()
    waves = fleet.planner.waves
    assert (waves[1].begun, waves[1].ordered) == (set(), set())
    assert (waves[2].begun, waves[2].ordered) == ({"a"}, {"a", "b"})
    await fleet._store_wave_progress()
    assert core.items[f"{WAVE_PROGRESS_PREFIX}1"].value == value
    clock.now += LATE_REQUEST_SECONDS
    await fleet._store_wave_progress()
    stored = msgpack.unpackb(core.items[f"{WAVE_PROGRESS_PREFIX}1"].value)
    assert stored == [[], [], [], 160_000, False]
    counter = fleet.rejections.metrics.inputs_rejected.labels("wave")
    assert counter._value.get() == 6


async def test_wave_that_becomes_known_late_resumes_its_stored_progress():
    """Begun anew, it would be stored without what the earlier leader has requested."""
    core = StoreCore(SystemClock().monotonic)
    key = f"{WAVE_PROGRESS_PREFIX}3"
    core.put(key, msgpack.packb([["a"], ["a", "b"]]))
    fleet, _ = build_fleet(core)
    await fleet._load_wave_progress()
    fleet.add_wave(Wave(WaveId(3), (VmId("a"), VmId("b"), VmId("c")), 60.0, 1))
    await fleet._store_wave_progress()
    assert fleet.planner.waves[3].begun == {"a"}
    begun, ordered, *_ = msgpack.unpackb(core.items[key].value)
    assert (begun, sorted(ordered)) == (["a"], ["a", "b"])


@pytest.mark.parametrize(
    "packed",
    [
        b"",
        b"\xc1",
        DEEP_MSGPACK,
        msgpack.packb([1]),
        msgpack.packb({"generation": "x"}),
    ],
)
def test_odd_document_of_the_request_frame_is_an_error(packed):
    assert decode_document(packed).is_error()
    assert decode_document(zlib.compress(packed)).is_error()


@pytest.mark.parametrize(
    "body", [7, [], {"resources": 7}, {"resources": [{"kind": []}]}]
)
def test_odd_configuration_of_the_request_frame_is_an_error(body):
    document = {"generation": 1, "change_id": "c", "writer": "w", "body": body}
    decoded = decode_document(zlib.compress(msgpack.packb(document))).bind(
        decode_config
    )
    assert decoded.is_error()


@pytest.mark.parametrize("version", [b"x", b"-1", b"\xb2", b"9" * 5000, b""])
def test_odd_version_of_a_stored_value_is_an_error(version):
    """ValueError ended the watch of the document."""
    response = SmallResponse(200, ((b"x-version", version),), b"value")
    decoded = decode_versioned(response)
    assert decoded.is_error() or (version == b"" and decoded.ok.version == 0)


def build_entry():
    """Return an entry process that does not run."""
    settings = NodeSettings(
        EntryId("e"), "127.0.0.1", DataCentre("a"), "127.0.0.1:1", "127.0.0.1:2",
        (7060, 7075), "127.0.0.1:3", "", "", 120.0, 1.0, 1000.0,
    )  # fmt: skip
    return PlatformEntry(settings, 1)


async def test_odd_documents_of_operators_leave_the_others_in_force():
    entry = build_entry()
    sound = json.dumps(demo_configuration()).encode()
    wave = b'{"Wave":3,"Machines":["m"],"DurationS":5,"Maximum":1}'
    values = {
        "op/config": sound, "op/wave/2": DEEP, "op/wave/3": wave, "op/wave/4": wave,
        "op/wave/x": wave, "op/\u00e9": b"\xff",
    }  # fmt: skip
    items = [Item(key, value, Revision(5)) for key, value in values.items()]
    entry.on_operator_batch(Batch(items, Revision(5)), True)
    for odd in (DEEP, b"{}", sound.replace(b'"Version": 1', b'"Version": 1e400')):
        item = Item("op/config", odd, Revision(6))
        entry.on_operator_batch(Batch([item], Revision(6)), False)
    assert entry.configuration.version == 1
    assert list(entry.waves) == [3]
    for _ in range(3):
        entry.on_operator_batch(Batch(items, Revision(5)), True)
    counter = entry.metrics.inputs_rejected
    assert counter.labels("configuration")._value.get() == 3
    assert counter.labels("wave")._value.get() == 12


@pytest.mark.parametrize("argument", [None, -1, 2**70, 1.5, "x", [], {}])
async def test_odd_request_to_take_over_is_refused(argument):
    with pytest.raises(ValueError):
        await build_entry().on_peer_call("take_over", argument)
