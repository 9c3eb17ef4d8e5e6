"""The platform over HTTP on loopback: store, workers and cloud, for demo and tests.

The rules are those of ``memory_store`` and ``fake_worker``; this module only speaks the
wire's format.
"""

import asyncio
import base64
import json
import logging
import time
from collections.abc import Callable
from typing import Any

from blacksheep import Application, Content, Request, Response, Router

from ebonyhub.cluster.metadata_store import Transaction, Write
from ebonyhub.ids import LeaderToken, RackId, Revision, ServiceName, WorkerId
from ebonyhub.jobs.model import Resources
from ebonyhub.platform.workers import parse_task_name, task_name
from ebonyhub.scheduling.model import OrderFailure, RunOutcome, StartOrder
from ebonyhub.servers import HttpServer, build_server, run_server
from ebonyhub.settings import Listener
from standins.fake_worker import FakeWorker
from standins.memory_store import StoreCore

# Seconds between two steps of a worker's time.
WORKER_STEP_SECONDS = 0.02
DEFAULT_TASK_MS = 200
STOP_SECONDS = 5.0
# Seconds after which nobody waits for an answer any more.
LOST_ANSWER_SECONDS = 8.0
# Text of a job whose tasks run until they are stopped.
LASTING_TEXT = "lasts"

_REASONS = {
    OrderFailure.FENCED: "fence",
    OrderFailure.OLD_RUN: "old",
    OrderFailure.LATE: "late",
}

Handler = Callable[[Request], Any]


def reply(status: int, data: Any) -> Response:
    """Return a JSON answer."""
    return Response(
        status, content=Content(b"application/json", json.dumps(data).encode())
    )


class JsonApp(Application):
    """Finds the handler by method and first path segment."""

    def __init__(self, handlers: dict[str, Handler]) -> None:
        super().__init__(router=Router())
        self.handlers = handlers

    async def handle(self, request: Request) -> Response:
        """Answer one request."""
        path = request.url.path.decode()
        handler = self.handlers.get(f"{request.method} /{path.split('/')[1]}")
        if handler is None:
            return reply(404, {})
        result = handler(request)
        if asyncio.iscoroutine(result):
            result = await result
        assert isinstance(result, Response)
        return result


def item_row(item: Any) -> dict[str, Any]:
    """Return an item or event as the wire has it."""
    if item.value is None:
        return {"Key": item.key, "Revision": item.revision, "Deleted": True}
    value = base64.b64encode(item.value).decode()
    return {
        "Key": item.key,
        "Value": value,
        "Revision": item.revision,
        "Created": item.revision,
        "Lease": item.lease,
    }


class StoreServer:
    """The store's HTTP interface."""

    def __init__(self, core: StoreCore, listener: Listener) -> None:
        self.core = core
        self.down = False
        # Seconds that each answer takes.
        self.delay = 0.0
        # Whether transactions are carried out without an answer.
        self.loses_answers = False
        handlers: dict[str, Handler] = {
            "GET /kv-key": self.get,
            "GET /kv-range": self.list,
            "GET /kv-watch": self.watch,
            "POST /kv-txn": self.commit,
            "POST /kv-lease": self.grant,
            "POST /kv-keep": self.renew,
            "DELETE /kv-lease-end": self.end,
        }
        guarded = {name: self._guard(handler) for name, handler in handlers.items()}
        self.server = build_server(JsonApp(guarded), listener)

    def _guard(self, handler: Handler) -> Handler:
        async def guarded(request: Request) -> Any:
            if self.down:
                return reply(503, {})
            if self.delay:
                await asyncio.sleep(self.delay)
            result = handler(request)
            return await result if asyncio.iscoroutine(result) else result

        return guarded

    def get(self, request: Request) -> Response:
        """Answer a read of one key."""
        item = self.core.items.get(request.query["Key"][0])
        return reply(404, {}) if item is None else reply(200, item_row(item))

    def list(self, request: Request) -> Response:
        """Answer a read of a prefix."""
        rows = [item_row(i) for i in self.core.below(request.query["PathPrefix"][0])]
        body = {"items": rows, "HasMore": False, "AtRevision": self.core.revision}
        return reply(200, body)

    async def watch(self, request: Request) -> Response:
        """Answer a watch once there is a change."""
        prefix = request.query["PathPrefix"][0]
        after = int(request.query["After"][0])
        end = time.monotonic() + int(request.query["WaitMs"][0]) / 1000
        while True:
            found = self.core.changes(prefix, after)
            if found.is_error():
                return reply(410, {})
            if found.ok or time.monotonic() >= end or self.down:
                rows = [item_row(item) for item in found.ok]
                return reply(200, {"events": rows, "AtRevision": self.core.revision})
            await asyncio.sleep(0.005)

    async def commit(self, request: Request) -> Response:
        """Answer a transaction."""
        data = await request.json()
        result = self.core.commit(
            Transaction(
                {row["Key"]: Revision(row["Revision"]) for row in data["Expect"]},
                [
                    Write(row["Key"], base64.b64decode(row["Value"]), row["Lease"])
                    for row in data["Puts"]
                ],
                data["Remove"],
            )
        )
        if self.loses_answers:
            await asyncio.sleep(LOST_ANSWER_SECONDS)
        if result.is_ok():
            return reply(200, {"Revision": result.ok})
        items = [item_row(item) for item in result.error.current.values()]
        status = 412 if result.error.kind.value == "conflict" else 404
        return reply(status, {"items": items, "AtRevision": self.core.revision})

    async def grant(self, request: Request) -> Response:
        """Answer the grant of a lease."""
        ttl = (await request.json())["TtlMs"]
        return reply(200, {"Lease": self.core.grant(ttl / 1000), "TtlMs": ttl})

    def renew(self, request: Request) -> Response:
        """Answer the renewal of a lease."""
        lease = int(request.url.path.decode().rpartition("/")[2])
        return reply(200 if self.core.renew(lease) else 404, {})

    def end(self, request: Request) -> Response:
        """Answer the end of a lease."""
        self.core.end_lease(int(request.url.path.decode().rpartition("/")[2]))
        return reply(200, {})


def run_time_ms(text: str) -> int | None:
    """Return the run time that a job's text names, None for tasks that last."""
    if text == LASTING_TEXT:
        return None
    return int(text) if text.isdigit() else DEFAULT_TASK_MS


class WorkerServer:
    """The HTTP interface of one worker; records every start."""

    def __init__(
        self, name: str, service: str, listener: Listener, core: StoreCore
    ) -> None:
        self.fake = FakeWorker(
            worker=WorkerId(name),
            service=ServiceName(service),
            capacity=Resources(8000, 32000, 0),
            rack=RackId("r1"),
            born_ms=int(time.time() * 1000),
        )
        self.core = core
        self.listener = listener
        # Address that the entry in the store names.
        self.advertised = f"{listener.address}:{listener.port}"
        self.starts: list[str] = []
        self.done: list[str] = []
        self.fake.on_end = self._note_end
        handlers: dict[str, Handler] = {
            "POST /run-start": self.start,
            "POST /run-stop": self.stop,
            "POST /hold": self.hold,
        }
        guarded = {name: self._guard(handler) for name, handler in handlers.items()}
        self.server = build_server(JsonApp(guarded), listener)

    def _guard(self, handler: Handler) -> Handler:
        """Leave a call without an answer if the worker's life ends meanwhile."""

        async def guarded(request: Request) -> Any:
            born = self.fake.born_ms
            response = await handler(request) if self.fake.up else None
            if response is None or not self.fake.up or self.fake.born_ms != born:
                await asyncio.sleep(LOST_ANSWER_SECONDS)
            return response or reply(503, {})

        return guarded

    def _note_end(
        self, _: FakeWorker, task: Any, number: int, kind: RunOutcome
    ) -> None:
        if kind is RunOutcome.DONE:
            self.done.append(task_name(task))

    def register(self) -> None:
        """Write the worker's entry into the store."""
        entry = {
            "Service": self.fake.service,
            "Address": self.advertised,
            "Zone": "a",
            "Version": "v1",
            "Slots": 8,
            "State": "ready",
            "Sequence": 1,
            "ColdRemainingMs": 0,
            "born": self.fake.born_ms,
            "Capacity": {"Cpu": 8000, "MemMb": 32000, "Gpu": 0},
            "Labels": ["a", self.fake.rack],
            "Machine": f"m-{self.fake.worker}",
        }
        key = f"servers/{self.fake.worker}"
        self.core.put(key, json.dumps(entry).encode())

    async def live(self) -> None:
        """Let the worker's time pass."""
        while True:
            self.fake.advance(time.monotonic())
            await asyncio.sleep(WORKER_STEP_SECONDS)

    def _answer(self, failure: OrderFailure | None) -> Response:
        clock = self.fake.clock_ms(time.monotonic())
        if failure is None:
            return reply(200, {"ClockMs": clock})
        return reply(409, {"ClockMs": clock, "Reason": _REASONS[failure]})

    async def start(self, request: Request) -> Response:
        """Answer a start; the job's text names the run time in ms."""
        data = await request.json()
        order = StartOrder(
            task=parse_task_name(data["Task"]),
            number=data["Run"],
            text=data["Spec"],
            deadline_ms=data["DeadlineMs"],
            token=LeaderToken(data["FencingToken"]),
        )
        duration = run_time_ms(order.text)
        failure = self.fake.start(order, time.monotonic(), duration, RunOutcome.DONE)
        if failure is None:
            self.starts.append(data["Task"])
        return self._answer(failure)

    async def stop(self, request: Request) -> Response:
        """Answer a stop."""
        data = await request.json()
        task = parse_task_name(data["Task"])
        token = LeaderToken(data["FencingToken"])
        now = time.monotonic()
        return self._answer(self.fake.stop(task, data["Run"], token, now))

    async def hold(self, request: Request) -> Response:
        """Answer a hold, at once or with the next end."""
        data = await request.json()
        token = LeaderToken(data["FencingToken"])
        end = time.monotonic() + data.get("WaitMs", 0) / 1000
        born = self.fake.born_ms
        while True:
            now = time.monotonic()
            if not self.fake.up or self.fake.born_ms != born:
                return reply(503, {})
            report = self.fake.hold(
                token, data["AckCursor"], data.get("DeadlineMs"), now
            )
            if isinstance(report, OrderFailure):
                return self._answer(report)
            if report.ended or now >= end:
                break
            await asyncio.sleep(WORKER_STEP_SECONDS)
        running = [
            [task_name(r.task), r.number, r.checkpoint, r.percent, r.usage]
            for r in report.running
        ]
        ended = [
            [e.sequence, task_name(e.task), e.number, e.outcome.value, e.checkpoint]
            for e in report.ended
        ]
        body = {
            "ClockMs": report.clock_ms,
            "born": report.born_ms,
            "Running": running,
            "Finished": ended,
        }
        return reply(200, body)


class JobPlatform:
    """Store and workers on loopback, with a configuration of one queue."""

    def __init__(self, address: str, store_port: int, worker_ports: list[int]) -> None:
        self.core = StoreCore(time.monotonic)
        self.store = StoreServer(self.core, Listener(address, store_port))
        self.workers = [
            WorkerServer(f"w{port}", "plans", Listener(address, port), self.core)
            for port in worker_ports
        ]
        self.tasks: list[asyncio.Task[None]] = []
        self.lives: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Serve, register the workers and write the configuration."""
        # Waiting watches are cancelled at the end, which the server reports as errors.
        logging.getLogger("uvicorn.error").setLevel(logging.CRITICAL)
        servers: list[HttpServer] = [self.store.server]
        servers += [worker.server for worker in self.workers]
        self.tasks = [asyncio.create_task(run_server(server)) for server in servers]
        while not all(server.started for server in servers):
            await asyncio.sleep(0.01)
        for worker in self.workers:
            worker.register()
            self.lives.append(asyncio.create_task(worker.live()))
        self.core.put("op/config", json.dumps(demo_configuration()).encode())

    async def stop(self) -> None:
        """Stop serving and free the ports."""
        for server in [self.store.server, *(w.server for w in self.workers)]:
            server.should_exit = server.force_exit = True
        for task in self.lives:
            task.cancel()
        await asyncio.wait([*self.tasks, *self.lives], timeout=STOP_SECONDS)


def demo_configuration() -> dict[str, Any]:
    """Return a configuration with one queue."""
    route = {
        "Name": "r-plans",
        "Host": "plans.example",
        "PathPrefix": "/plans/",
        "Kind": "unsafe",
        "TimeoutMs": 3000,
        "TargetLatencyMs": 600,
        "Priority": 0,
        "Service": "plans",
        "MaxAttempts": 3,
        "Stretch": 2.0,
    }
    service = {"Name": "plans", "MaxConnections": 64, "Standby": False}
    return {"Version": 1, "Routes": [route], "Services": [service], "Limits": {}}


def node_settings_text(name: str, ip: str, store: str, ports: tuple[int, int]) -> str:
    """Return the settings file of one entry in the platform's format."""
    return json.dumps(
        {
            "Node": name,
            "Ip": ip,
            "Zone": "a",
            "Listen": {"Front": f"{ip}:8624", "Ready": f"{ip}:8622"},
            "InternalPortRange": list(ports),
            "Limits": {"CpuShare": 0.5, "Cores": 2, "MemoryMb": 300},
            "Bounds": {"status_s": 120},
            "platform": {"Address": store},
        }
    )
