"""Documents of other writers beside sound ones.

Guards against one odd entry under servers/, op/ or eb/ that ends a term, a watch or a
process, or that hides the sound documents beside it.
"""

import json

import msgspec
import pytest
from expression import Ok
from prometheus_client import CollectorRegistry

from ebonyhub.clock import SystemClock
from ebonyhub.cluster.metadata_store import Transaction
from ebonyhub.http_client import SmallResponse
from ebonyhub.ids import Revision, StoreLease
from ebonyhub.metrics import Metrics
from ebonyhub.platform.config import (
    decode_configuration,
    decode_wave,
    decode_worker,
)
from ebonyhub.platform.store import PlatformStore
from standins.job_platform import demo_configuration

DEEP = b"[" * 100_000 + b"]" * 100_000
WORKER = {
    "Service": "plans", "Address": "10.0.0.1:80", "Zone": "a", "State": "ready",
    "born": 5, "Capacity": {"Cpu": 8000, "MemMb": 100, "Gpu": 1},
    "Labels": ["kind", "r1-2"], "Machine": "m-1", "Slots": 8, "Version": "v1",
    "ColdRemainingMs": 0, "Sequence": 4, "ClockMs": 482113,
}  # fmt: skip
WAVE = {"Wave": 3, "Machines": ["m-1"], "DurationS": 20, "Maximum": 2}
# Values of no use in any field; some are not valid JSON.
ODD = [
    b"NaN",
    b"-1e999",
    b"1e400",
    b"9" * 5000,
    b"{}",
    b"[[]]",
    b'"\\ud800"',
    b'"\xff"',
]


def with_field(document, field, raw):
    """Encode a document with the raw bytes of one field."""
    rest = {key: value for key, value in document.items() if key != field}
    head = json.dumps(rest).encode()[:-1] + (b"," if rest else b"")
    return head + json.dumps(field).encode() + b":" + raw + b"}"


def encoded(document, **changes):
    return json.dumps({**document, **changes}).encode()


@pytest.mark.parametrize("raw", [*ODD, b"-1", str(2**63).encode(), DEEP])
@pytest.mark.parametrize("field", [*WORKER, "RemainingMs"])
def test_worker_with_an_odd_field_is_refused_or_usable(field, raw):
    decoded = decode_worker("servers/w", with_field(WORKER, field, raw))
    if decoded.is_ok():
        entry = decoded.ok
        assert hash(entry) is not None
        msgspec.msgpack.encode([entry.born_ms, entry.capacity, entry.leaves_in])


@pytest.mark.parametrize(
    ("field", "raw"),
    [
        *[(field, DEEP) for field in (*WORKER, "Unknown")],
        *[(field, b"[1]") for field in WORKER],
        *[("Address", f'"10.0.0.1:{port}"'.encode()) for port in
          ("\u00b2", "99999", "0", "", "-1", "+80", "8_0", "9" * 5000)],
        *[("Address", f'"{host}:80"'.encode()) for host in
          ("", "host", "10.0.0.256", "10.0.0", "::1", "a..b", "010.0.0.1")],
        ("Service", b'""'), ("Service", b'"' + b"s" * 5000 + b'"'),
        ("born", str(2**64).encode()), ("born", b"-1"),
        ("Capacity", b'{"Cpu":-1}'), ("Capacity", b'{"MemMb":1e300}'),
        ("Capacity", b'{"Cpu":true}'), ("Labels", b'"kr"'), ("Labels", b"[1]"),
        ("Slots", b"-1"), ("RemainingMs", b"1e308"), ("Version", b"5"),
    ],
)  # fmt: skip
def test_worker_with_a_wrong_field_is_refused(field, raw):
    value = with_field(WORKER, field, raw)
    assert decode_worker("servers/w", value).is_error()


@pytest.mark.parametrize(
    "key", ["servers/", "servers/a/b", "servers/a b", "servers/a\r\nX: y",
            "servers/\u00e9", "servers/\ud800", "servers/" + "a" * 300, "op/config"]
)  # fmt: skip
def test_worker_with_an_odd_key_is_refused(key):
    assert decode_worker(key, encoded(WORKER)).is_error()


@pytest.mark.parametrize(
    ("changes", "attribute", "expected"),
    [
        ({"Capacity": None, "Labels": None, "Machine": None}, "labels", ()),
        ({"State": "draining", "RemainingMs": 1500.5}, "leaves_in", 1.5005),
        ({"State": "draining", "RemainingMs": -3}, "leaves_in", 0.0),
        ({"Unknown": [1, {"a": None}]}, "zone", "a"),
        ({"born": 5.0}, "born_ms", 5),
    ],
)
def test_sound_worker_entries_stay_usable(changes, attribute, expected):
    decoded = decode_worker("servers/i-7f3a91c2", encoded(WORKER, **changes))
    assert getattr(decoded.ok, attribute) == expected


def test_optional_fields_of_a_worker_have_defaults():
    required = {key: WORKER[key] for key in ("Service", "Address", "Zone", "State")}
    entry = decode_worker("servers/w", encoded(required)).ok
    assert (entry.vm, entry.rack, entry.born_ms, entry.capacity.cpu) == ("", "", 0, 0)


@pytest.mark.parametrize(
    ("field", "raw"),
    [
        *[(field, DEEP) for field in ("Priority", "Kind", "PlacementAdvisor")],
        *[(field, b"[]") for field in
          ("Name", "Host", "PathPrefix", "Service", "Priority", "MaxAttempts")],
        ("Stretch", b"1e400"), ("Stretch", b"-1"), ("TimeoutMs", b"1e308"),
        ("MaxAttempts", b"9" * 30), ("TargetLatencyMs", b"null"),
        ("PlacementAdvisor", b'{"DecisionMs":"x"}'),
    ],
)  # fmt: skip
def test_malformed_queue_or_service_does_not_cost_the_others(field, raw):
    """One bad row made the whole configuration unusable, or raised."""
    data = demo_configuration()
    bad = with_field({**data["Routes"][0], "Name": "bad"}, field, raw)
    sound = json.dumps(data["Routes"][0]).encode()
    services = with_field({"Name": "s"}, "MaxConnections", b"[]")
    services = b"[" + services + b"," + json.dumps(data["Services"][0]).encode() + b"]"
    value = b'{"Version":2,"Routes":[%s,%s],"Services":%s}' % (bad, sound, services)
    if raw is DEEP:
        # The nesting limit holds for the whole document.
        assert decode_configuration(value).is_error()
        return
    configuration = decode_configuration(value).ok
    assert list(configuration.queues) == ["r-plans"]
    assert list(configuration.services) == ["plans"]
    assert len(configuration.rejected_rows) == 2


@pytest.mark.parametrize("raw", [*ODD, b"-1", str(2**63).encode(), DEEP, b'"2"'])
@pytest.mark.parametrize("field", ["Version", "Routes", "Services", "Limits"])
def test_malformed_configuration_is_refused(field, raw):
    decoded = decode_configuration(with_field(demo_configuration(), field, raw))
    assert decoded.is_error() or (field, raw) == ("Limits", b"{}")


def test_configuration_without_any_readable_queue_is_refused():
    value = encoded(demo_configuration(), Routes=[{"Name": 1}])
    assert decode_configuration(value).is_error()


@pytest.mark.parametrize(
    ("field", "raw"),
    [
        *[(field, raw) for field in WAVE for raw in (*ODD, DEEP, b"-1", b"null")],
        ("Maximum", b"0"), ("Machines", b'["a",1]'), ("Machines", b'"abc"'),
        ("Machines", json.dumps(["m"] * 20_001).encode()), ("DurationS", b"1e308"),
        ("Wave", b'"3"'), ("Wave", b"4"), ("Extra", DEEP),
    ],
)  # fmt: skip
def test_malformed_wave_is_refused(field, raw):
    assert decode_wave(with_field(WAVE, field, raw), "op/wave/3").is_error()


@pytest.mark.parametrize(
    "key", ["op/wave/x", "op/wave/", "op/wave/\u00b2", "op/wave/4"]
)
def test_wave_under_a_key_of_another_number_is_refused(key):
    assert decode_wave(encoded(WAVE), key).is_error()


def test_vm_named_twice_in_a_wave_counts_once():
    wave = decode_wave(encoded(WAVE, Machines=["a", "b", "a"]), "op/wave/3").ok
    assert wave.vms == ("a", "b")


def store_with_answer(body, status=200):
    metrics = Metrics(CollectorRegistry())
    store = PlatformStore("127.0.0.1:1", SystemClock(), metrics)
    store.session = RepeatedAnswer(body, status)
    return store


class RepeatedAnswer:
    """Gives the same answer to each call, up to a limit on the calls of one test."""

    def __init__(self, body, status):
        self.answer = SmallResponse(status, (), body)
        self.calls_left = 5000

    async def call(self, *_):
        self.calls_left -= 1
        assert self.calls_left, "paging does not end"
        return Ok(self.answer)


SOUND_ROW = b'{"Key":"a/1","Value":"AQ==","Revision":3,"Created":3,"Lease":0}'
# Rows of which neither key nor value can be used, and rows without a readable value.
KEYLESS_ROWS = [
    b'{"Value":"AQ==","Revision":3}', b"7", b'{"Key":7,"Revision":3}',
    b'{"Key":"a/\xff","Value":"AQ==","Revision":3}', b'{"Key":"b/1","Revision":3}',
]  # fmt: skip
VALUELESS_ROWS = [
    b'{"Key":"a/2","Value":"%","Revision":3}', b'{"Key":"a/2","Value":[],"Revision":3}',
    b'{"Key":"a/2","Value":"AQ","Revision":3}',
    b'{"Key":"a/2","Value":"AQ==","Lease":"x","Revision":3}',
    b'{"Key":"a/2","Revision":-1}', b'{"Key":"a/2","Revision":%d}' % 2**64,
]  # fmt: skip


@pytest.mark.parametrize("operation", ["list", "watch"])
@pytest.mark.parametrize("odd", [*KEYLESS_ROWS, *VALUELESS_ROWS])
async def test_odd_item_does_not_hide_the_others(odd, operation):
    """One value that is not base64 made all answers that contain it unusable."""
    body = b'{"AtRevision":9,"%s":[%s,%s]}'
    body %= (b"items" if operation == "list" else b"events", odd, SOUND_ROW)
    store = store_with_answer(body)
    result = await (
        store.list("a/") if operation == "list" else store.watch("a/", Revision(1), 0.0)
    )
    found = {item.key: item.value for item in result.ok.items}
    # An item whose value is lost is still there; leaving it out would mean deleted.
    expected = {"a/2": b""} if odd in VALUELESS_ROWS else {}
    assert found == {"a/1": b"\x01", **expected}


@pytest.mark.parametrize(
    "body",
    [
        DEEP, b"[]", b'{"AtRevision":-1,"items":[]}', b'{"AtRevision":1,"items":7}',
        b'{"AtRevision":%d,"items":[]}' % 2**64, b'{"AtRevision":1e400,"items":[]}',
        b'{"AtRevision":9,"HasMore":true,"items":[%s]}' % SOUND_ROW,
        b'{"AtRevision":9,"HasMore":true,"items":[]}',
        b'{"AtRevision":9,"HasMore":true,"items":[7]}',
        b'{"AtRevision":9,"items":[{"Key":"a/1","Revision":3,"X":%s}]}' % DEEP,
    ],
)  # fmt: skip
async def test_unusable_listing_is_an_error(body):
    """A page that repeats was requested without end; an empty one ended the list."""
    assert (await store_with_answer(body).list("a/")).is_error()


@pytest.mark.parametrize("status", [200, 400, 403, 500])
async def test_commit_without_a_revision_has_not_succeeded(status):
    """Any answer that is an object, also a refusal, was taken as success."""
    result = await store_with_answer(b"{}", status).commit(Transaction({}))
    assert result.is_error()


@pytest.mark.parametrize("status", [400, 403])
async def test_refused_renewal_is_an_error(status):
    store = store_with_answer(b"{}", status)
    assert (await store.renew_lease(StoreLease(7))).is_error()


async def test_item_of_another_key_is_not_the_answer():
    assert (await store_with_answer(SOUND_ROW).get("a/2")).is_error()


@pytest.mark.parametrize("lease", [b"-1", b"0", b"%d" % 2**64, b"[]"])
async def test_odd_lease_is_an_error(lease):
    store = store_with_answer(b'{"Lease":%s}' % lease)
    assert (await store.grant_lease(1.0)).is_error()


async def test_each_odd_row_of_a_listing_is_logged_once(monkeypatch):
    lines = []
    monkeypatch.setattr(
        "ebonyhub.rejections.log_event", lambda event, **fields: lines.append(fields)
    )
    body = b'{"AtRevision":9,"items":[7,8,%s]}' % SOUND_ROW
    store = store_with_answer(body)
    for _ in range(5):
        assert (await store.list("a/")).is_ok()
    assert len(lines) == 2
    assert store.metrics.inputs_rejected.labels("store")._value.get() == 10


@pytest.mark.parametrize(
    ("row", "complete"), [(SOUND_ROW, True), (b"7", False), (b"{}", False)]
)
async def test_listing_with_a_row_that_names_no_key_is_not_complete(row, complete):
    """A job whose record is left out would count as removed, or as new."""
    store = store_with_answer(b'{"AtRevision":9,"items":[%s,%s]}' % (SOUND_ROW, row))
    assert (await store.list("a/")).ok.complete is complete
