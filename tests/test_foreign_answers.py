"""Answers of workers, the cloud and the advisor that do not follow the protocol.

Guards against a malformed answer that raises an exception, which ended a worker's polls
or a leader's term, or that makes a running task count as gone, which starts it twice.
"""

import asyncio
import json
import random

import msgspec
import pytest
from expression import Error, Ok
from prometheus_client import CollectorRegistry

from ebonyhub import http_session
from ebonyhub.clock import SystemClock
from ebonyhub.errors import ErrorKind
from ebonyhub.fleet.model import VmState
from ebonyhub.http_client import ExchangeError, SmallResponse, open_connection
from ebonyhub.http_session import HttpSession
from ebonyhub.ids import EntryId, JobId, LeaderToken, TaskId, VmId, WaveId, WorkerId
from ebonyhub.metrics import Metrics
from ebonyhub.platform.cloud import AdvisorClient, CloudClient, CloudFailure
from ebonyhub.platform.workers import WorkerClient
from ebonyhub.scheduling.losses import loss_by_vm
from ebonyhub.scheduling.model import OrderFailure, StartOrder
from ebonyhub.scheduling.worker_link import WorkerLink
from tests.test_worker_judgement import worker

DEEP = b"[" * 100_000
JOB = "0123456789abcdef"
NAME = f"{JOB}.0.0.1"
TOKEN = LeaderToken(1)
TASK = TaskId(JobId(JOB), 0, 0, 1)


class PresetSession:
    """An HTTP session that returns one answer after another, the last for ever."""

    def __init__(self, *bodies, status=200):
        self.bodies = list(bodies)
        self.status = status
        self.targets = []

    async def call(self, method, target, *_):
        self.targets.append(target)
        if len(self.targets) > 5000:
            return Error(ExchangeError(ErrorKind.BACKEND_CLOSED, True))
        body = self.bodies.pop(0) if len(self.bodies) > 1 else self.bodies[0]
        return Ok(SmallResponse(self.status, (), body))

    def has_idle_connection(self):
        return True


def new_metrics():
    return Metrics(CollectorRegistry())


def worker_client(body, status=200):
    client = WorkerClient(WorkerId("w"), "127.0.0.1:1", SystemClock())
    client.session = client.poll_session = PresetSession(body, status=status)
    return client


def hold(**changes):
    answer = {"ClockMs": 5, "born": 7, "Running": [], "Finished": []}
    return json.dumps({**answer, **changes}).encode()


def running(*fields):
    return hold(Running=[[NAME, 1, "", 40, 3], list(fields)])


def ended(*rows):
    return hold(Finished=list(rows))


async def poll(body):
    return await worker_client(body).poll(TOKEN, 0, None, 0.0)


@pytest.mark.parametrize(
    "body",
    [
        pytest.param(DEEP, id="deep"),
        pytest.param(b'{"ClockMs":5,"Running":' + DEEP, id="deep rows"),
        pytest.param(b'{"ClockMs":5,"x":' + DEEP, id="deep unknown field"),
        pytest.param(b"", id="empty"),
        pytest.param(b"\xff\xfe", id="not UTF-8"),
        pytest.param(b"null", id="null"),
        pytest.param(hold(ClockMs=2**70), id="clock over 64 bits"),
        pytest.param(hold(ClockMs=-1), id="negative clock"),
        pytest.param(hold(ClockMs=None), id="no clock"),
        pytest.param(hold(born=2**64), id="start over 64 bits"),
        pytest.param(hold(born=-5), id="negative start"),
        pytest.param(hold(born=1.5), id="fractional start"),
        pytest.param(hold(Running={}), id="rows in an object"),
    ],
)
async def test_unreadable_report_counts_as_lost(body):
    assert (await poll(body)).error is OrderFailure.UNKNOWN
    fetched = await worker_client(body).fetch_report(TOKEN)
    assert fetched.error is OrderFailure.UNKNOWN


@pytest.mark.parametrize(
    "body",
    [
        pytest.param(hold(Running=[7]), id="row is a number"),
        pytest.param(hold(Running=[[]]), id="empty row"),
        pytest.param(running("x", 1, "", 0, 0), id="name without parts"),
        pytest.param(running("1.-1.0.0", 1, "", 0, 0), id="negative occurrence"),
        pytest.param(running("1.0.-1.0", 1, "", 0, 0), id="negative step"),
        pytest.param(running("1.²0.0.0", 1, "", 0, 0), id="superscript"),
        pytest.param(running("1.٣.0.0", 1, "", 0, 0), id="other digits"),
        pytest.param(running("1.1_0.0.0", 1, "", 0, 0), id="underscore"),
        pytest.param(running("1.0.0." + "9" * 4000, 1, "", 0, 0), id="huge position"),
        pytest.param(running("..0.0", 1, "", 0, 0), id="no job"),
        pytest.param(running(NAME, 0, "", 0, 0), id="run 0"),
        pytest.param(running(NAME, 2**70, "", 0, 0), id="run over 64 bits"),
        pytest.param(running(NAME, -1, "", 0, 0), id="negative run"),
        pytest.param(ended([2**70, NAME, 1, "done", ""]), id="sequence over 64 bits"),
        pytest.param(ended([2**40, NAME, 1, "done", ""]), id="sequence too high"),
        pytest.param(ended([0, NAME, 1, "done", ""]), id="sequence 0"),
        pytest.param(ended([1, NAME, 1, "melted", ""]), id="unknown end"),
        pytest.param(ended([1, "x", 1, "done", ""]), id="end without a task"),
        pytest.param(
            ended([9, NAME, 1, "done", ""], [3, NAME, 2, "done", ""]), id="falling"
        ),
    ],
)
async def test_report_with_an_unreadable_row_is_incomplete(body):
    """Otherwise the run of the row would count as gone, see ``decode_report``."""
    assert not (await poll(body)).ok.complete
    assert not (await worker_client(body).fetch_report(TOKEN)).ok.complete


async def test_ends_are_used_up_to_the_first_that_cannot_be_read():
    """A later one would be acknowledged together with it."""
    rows = [
        [1, NAME, 1, "done", ""],
        [2, NAME, 1, "melted", ""],
        [3, NAME, 1, "done", ""],
    ]
    assert [end.sequence for end in (await poll(ended(*rows))).ok.ended] == [1]
    rows[1] = [1, NAME, 1, "done", ""]
    assert [end.sequence for end in (await poll(ended(*rows))).ok.ended] == [1]


async def test_incomplete_report_counts_as_a_failed_poll():
    """The worker's lease must run out, or its lost runs would never start again."""
    client = worker_client(running("x", 1))
    target, reports = worker("w"), []
    link = WorkerLink(
        target, client, SystemClock(), random.Random(1), new_metrics(),
        lambda _, report, __: reports.append(report), lambda _: None,
    )  # fmt: skip
    await link.poll_once(0.0)
    assert [report.complete for report in reports] == [False]
    assert target.silent_since is not None
    assert not link.reachable


@pytest.mark.parametrize(
    ("fields", "expected"),
    [
        (("", 40, 3), ("", 40, 3)),
        (("c",), ("c", 0, 0)),
        ((), ("", 0, 0)),
        ((None, 40, 3), ("", 40, 3)),
        (("x" * 100_000, 40, 3), ("", 40, 3)),
        ((["c"], "x", {}), ("", 0, 0)),
        (("c", -1, -2), ("c", 0, 0)),
        (("c", 101, 10**40), ("c", 0, 0)),
        (("c", 40, 3, "a later field"), ("c", 40, 3)),
    ],
)
async def test_row_that_names_its_run_is_used(fields, expected):
    """One odd field must not cost the report, and with it the worker's lease."""
    report = (await poll(running(NAME, 2, *fields))).ok
    assert report.complete
    row = report.running[1]
    assert (row.task, row.number) == (TASK, 2)
    assert (row.checkpoint, row.percent, row.usage) == expected
    msgspec.json.encode(report)
    msgspec.msgpack.encode(report)


async def test_end_with_an_odd_checkpoint_is_used():
    report = (await poll(ended([1, NAME, 1, "done", 7], [2, NAME, 2, "failed"]))).ok
    assert [(end.sequence, end.checkpoint) for end in report.ended] == [
        (1, ""),
        (2, ""),
    ]


@pytest.mark.parametrize(
    "body",
    [DEEP, b"", b"\xff", b"null", b"[]", b'{"Reason":7}', b'{"Reason":["fence"]}',
     b'{"Reason":"other"}', b'{"x":' + DEEP],
)  # fmt: skip
async def test_refusal_without_a_readable_reason_is_a_refusal(body):
    worker = worker_client(body, 409)
    order = StartOrder(TASK, 1, "", 5, TOKEN)
    assert (await worker.start(order)).error is OrderFailure.REFUSED
    assert await worker.stop(TASK, 1, TOKEN) is OrderFailure.REFUSED
    cloud = cloud_client(body, status=409)
    result = await cloud.start_maintenance(VmId("m"), WaveId(1), TOKEN)
    assert result.error is CloudFailure.BUSY


async def test_rejected_answers_are_counted():
    metrics = new_metrics()
    client = WorkerClient(WorkerId("w"), "127.0.0.1:1", SystemClock(), metrics)
    client.poll_session = PresetSession(DEEP)
    for _ in range(3):
        await client.poll(TOKEN, 0, None, 0.0)
    name = "ebonyhub_inputs_rejected_total"
    assert metrics.registry.get_sample_value(name, {"source": "worker"}) == 3


# The cloud's VM listing


def cloud_client(*bodies, status=200):
    client = CloudClient("127.0.0.1:1", EntryId("e"), SystemClock(), new_metrics())
    client.session = PresetSession(*bodies, status=status)
    return client


def vm_row(name, **changes):
    row = {"Machine": name, "Pool": "p", "State": "up", "Zone": "z", "Id": f"w-{name}"}
    return {**row, "Labels": ["k", "r"], "Capacity": {"Cpu": 1}, **changes}


def page(*rows, **fields):
    return json.dumps({"Machines": list(rows), **fields}).encode()


@pytest.mark.parametrize(
    "bodies",
    [
        pytest.param([DEEP], id="deep"),
        pytest.param([b'{"Machines":[' + DEEP], id="deep row"),
        pytest.param([b"{}"], id="no list"),
        pytest.param([page(vm_row("m"), NextPageToken=5)], id="repeated token"),
        pytest.param(
            [page(NextPageToken=str(n)) for n in range(4000)], id="endless tokens"
        ),
        pytest.param([page(NextPageToken="x" * 10**6)], id="huge token"),
        pytest.param([page(NextPageToken=[1])], id="token of another type"),
    ],
)
async def test_listing_that_is_not_whole_is_refused(bodies):
    """VMs that a listing does not name count as gone, and their runs as ended."""
    cloud = cloud_client(*bodies)
    assert (await cloud.list_vms()).error is CloudFailure.REFUSED
    assert len(cloud.session.targets) < 2000


async def test_page_token_cannot_change_the_request():
    cloud = cloud_client(page(NextPageToken="a b\r\nX: 1&c"), page(vm_row("m")))
    assert [vm.vm_id for vm in (await cloud.list_vms()).ok.vms] == ["m"]
    assert cloud.session.targets[1] == b"/machines?PageToken=a%20b%0D%0AX%3A%201%26c"


@pytest.mark.parametrize(
    "row",
    [
        vm_row("m", State="melting"),
        vm_row("m", State=None),
        vm_row("m", Pool=7),
        vm_row("m", Labels="k"),
        vm_row("m", Labels=[1, 2]),
        vm_row("m", Capacity={"Cpu": 2**70}),
        vm_row("m", Capacity={"Cpu": -5}),
        vm_row("m", Id=5),
        {"Machine": "m"},
        {},
        7,
        None,
        {"Machine": 5, "Pool": "p", "State": "up"},
    ],
)
async def test_unreadable_row_is_no_evidence_that_a_vm_is_gone(row):
    """An unresponsive worker's runs started a second time while it still ran them."""
    cloud = cloud_client(page(vm_row("n"), vm_row("m")), page(vm_row("n"), row))
    await cloud.list_vms()
    listing = (await cloud.list_vms()).ok
    vms = {vm.vm_id: vm for vm in listing.vms}
    assert vms[VmId("n")].state is VmState.UP
    assert vms[VmId("m")].state is VmState.UNKNOWN
    assert vms[VmId("m")].pool == "p"
    has_name = isinstance(row, dict) and isinstance(row.get("Machine"), str)
    assert listing.complete is has_name
    assert loss_by_vm(worker("w"), vms[VmId("m")]) is None


async def test_contradicting_rows_of_a_vm_are_no_evidence():
    rows = [vm_row("m"), vm_row("m", State="down"), vm_row("n"), vm_row("n")]
    vms = (await cloud_client(page(*rows)).list_vms()).ok.vms
    assert [(vm.vm_id, vm.state) for vm in vms] == [
        ("m", VmState.UNKNOWN),
        ("n", VmState.UP),
    ]


# The placement advisor


def advisor_client(body):
    client = AdvisorClient("127.0.0.1:1", SystemClock(), new_metrics())
    client.session = PresetSession(body)
    return client


@pytest.mark.parametrize(
    ("good", "expected"),
    [
        ([["w", "t"], ["v", "t"]], {"w": "t", "v": "t"}),
        ([["w", "t"], 7, [], ["v"], ["v", 5], [["v"], "t"]], {"w": "t"}),
        ([["w", "t"], ["not asked about", "t"]], {"w": "t"}),
        ([["w", "t" * 10**6], ["v", "t"]], {"v": "t"}),
        ([["w", "t", "later field"]], {"w": "t"}),
        (7, None),
        ({"w": "t"}, None),
        (None, None),
    ],
)
async def test_rows_of_the_advisor(good, expected):
    advisor = advisor_client(json.dumps({"Good": good}).encode())
    workers = [WorkerId("w"), WorkerId("v")]
    result = await advisor.advise(JobId("j"), 0, 0, workers, 0.1)
    assert (result.ok if result.is_ok() else None) == expected
    advisor.session = PresetSession(DEEP)
    result = await advisor.advise(JobId("j"), 0, 0, workers, 0.1)
    assert result.error is CloudFailure.REFUSED


# HTTP


@pytest.mark.parametrize(
    "address",
    ["127.0.0.1:99999", "127.0.0.1:0", "127.0.0.1:-1", "nowhere", "", ":80", "a:²",
     "127.0.0.1:1\r\nX: 1", "\u0000:1", "x" * 300 + ":1", "ü:1",
     "127.0.0.1:" + "9" * 5000],
)  # fmt: skip
async def test_call_to_an_impossible_address_fails(address):
    """An entry with such an address ended the leader's term when it was opened."""
    session = HttpSession(address, SystemClock(), 1)
    result = await session.call(b"GET", b"/", None, 0.5)
    assert result.error.kind is ErrorKind.CONNECT_FAILED
    assert not result.error.any_bytes_written
    session.close()
    host, port = address[:300], 99_999
    assert (await open_connection(host, port, 0.5)).is_error()


@pytest.mark.parametrize(
    ("target", "value"), [(b"/a b", b""), (b"/a\r\nX: 1", b""), (b"/", b"w\r\nX: 1")]
)
async def test_request_that_would_add_lines_is_not_sent(target, value):
    session = HttpSession("127.0.0.1:1", SystemClock(), 1)
    result = await session.call(b"GET", target, None, 0.5, ((b"X-Id", value),))
    assert not result.error.any_bytes_written
    assert "invalid character" in result.error.detail


OK = b"HTTP/1.1 200 OK\r\n"


async def call_server(parts, timeout_seconds, pause=0.0):
    """Make one call to a server that sends these bytes and keeps the connection."""

    async def serve(reader, writer):
        try:
            await reader.readuntil(b"\r\n\r\n")
            for part in parts:
                writer.write(part)
                await writer.drain()
                await asyncio.sleep(pause)
            await reader.read()
        except OSError:
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    session = HttpSession(f"127.0.0.1:{port}", SystemClock(), 1)
    result = await session.call(b"GET", b"/", None, timeout_seconds)
    assert session.pool.open_count == 0
    server.close()
    return result


@pytest.mark.parametrize(
    "parts",
    [
        pytest.param([b"\x00\xff garbage\r\n\r\n"], id="garbage"),
        pytest.param([b"HTTP/1.1 99999 x\r\n\r\n"], id="status"),
        pytest.param([b"HTTP/9.9 200 OK\r\n\r\n"], id="version"),
        pytest.param([OK + b"Content-Length: -5\r\n\r\n"], id="negative length"),
        pytest.param([OK + b"Content-Length: x\r\n\r\n"], id="odd length"),
        pytest.param([OK + b"Content-Length: 9" + b"9" * 30 + b"\r\n\r\n"], id="huge"),
        pytest.param([OK + b"Content-Length: 99999999\r\n\r\nx"], id="over the limit"),
        pytest.param(
            [OK + b"Content-Length: 1\r\nContent-Length: 2\r\n\r\nx"], id="two lengths"
        ),
        pytest.param(
            [OK + b"Transfer-Encoding: chunked\r\n\r\n", b"f" * 40 + b"\r\nx"],
            id="huge chunk",
        ),
        pytest.param(
            [OK + b"Transfer-Encoding: chunked\r\n\r\n", b"-1\r\nx"], id="odd chunk"
        ),
        pytest.param([OK] + [b"A: b\r\n" * 4000] * 50, id="header flood"),
        pytest.param([OK + b"A: "] + [b"x" * 65536] * 50, id="endless header"),
        pytest.param([b"HTTP/1.1 200 " + b"x" * 65536] * 50, id="endless status line"),
        pytest.param([b"HTTP/1.1 100 C\r\n\r\n" * 1000] * 50, id="endless interim"),
        pytest.param(
            [OK + b"Transfer-Encoding: chunked\r\n\r\n"]
            + [b"100000\r\n" + b"x" * 2**20 + b"\r\n"] * 40,
            id="body over the limit",
        ),
        pytest.param(
            [b"HTTP/1.1 101 S\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n"],
            id="upgrade",
        ),
    ],
)
async def test_response_that_breaks_the_rules_is_an_error(parts):
    """Neither memory without bound nor an exception in a callback of the event loop."""
    loop = asyncio.get_running_loop()
    unhandled = []
    loop.set_exception_handler(lambda _, context: unhandled.append(context))

    result = await call_server(parts, 20.0)
    assert result.error.kind is ErrorKind.BACKEND_MALFORMED
    assert unhandled == []


async def test_response_that_never_ends_is_given_up(monkeypatch):
    """Each byte extended the time limit, so that a worker was never polled again."""
    monkeypatch.setattr(http_session, "MAX_EXTENSION_SECONDS", 0.2, raising=False)
    head = OK + b"Content-Length: 9999\r\n\r\n"
    async with asyncio.timeout(60):
        result = await call_server([head] + [b"x"] * 9999, 0.1, pause=0.02)
    assert result.error.kind is ErrorKind.BACKEND_TIMEOUT
