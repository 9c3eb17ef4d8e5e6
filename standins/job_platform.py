"""HTTP stand-in of the platform's store and workers, for the demo and tests.

``memory_store`` and ``fake_worker`` implement the behaviour; this module adds the wire
format.
"""

import asyncio
import base64
import json
import logging
import time
from collections.abc import Awaitable, Callable
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
from standins.late_calls import LateCalls
from standins.memory_store import StoreCore
from standins.platform_documents import PlatformOptions
from standins.platform_documents import demo_configuration as demo_configuration
from standins.platform_documents import node_settings_text as node_settings_text
from standins.run_log import RunLog

CONFIGURATION_KEY = "op/config"
# Interval at which a worker's runs and lease are checked.
WORKER_STEP_SECONDS = 0.02
# Run time of a task whose text is not a number.
DEFAULT_TASK_MS = 200
STOP_TIMEOUT_SECONDS = 5.0
# Longer than any caller waits, so the answer is lost to it.
LOST_ANSWER_DELAY_SECONDS = 8.0
# Text of a job whose tasks run until they are stopped.
LONG_RUNNING_TEXT = "lasts"
# A job with this text crashes each worker that starts a task of it, which is back after
# CRASH_SECONDS.
CRASHING_TEXT = "crash"
# Texts of jobs whose tasks fail: in every run, and in their first run only.
FAILING_TEXT = "fails"
FLAKY_TEXT = "fails once"
CRASH_SECONDS = 1.0

_REASON_BY_FAILURE = {
    OrderFailure.FENCED: "fence",
    OrderFailure.OLD_RUN: "old",
    OrderFailure.LATE: "late",
}

Handler = Callable[[Request], Any]
# Handler of a call to a worker, which gets the decoded body.
WorkerHandler = Callable[[dict[str, Any]], Awaitable[Response]]


def reply(status: int, data: Any) -> Response:
    """Return a response with ``data`` as its JSON body."""
    return Response(
        status, content=Content(b"application/json", json.dumps(data).encode())
    )


class JsonApp(Application):
    """Selects the handler by method and first path segment; 404 if there is none."""

    def __init__(self, handlers: dict[str, Handler]) -> None:
        super().__init__(router=Router())
        self.handlers = handlers

    async def handle(self, request: Request) -> Response:
        """Run the handler of a request, which may be a coroutine."""
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
    """Return an item or watch event in the wire format."""
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
    """HTTP interface of the store, with switchable faults."""

    def __init__(self, core: StoreCore, listener: Listener) -> None:
        self.core = core
        self.down = False
        # Addresses of the clients whose calls are refused.
        self.refused_clients: set[str] = set()
        # Delay before each call is handled.
        self.answer_delay_seconds = 0.0
        # Whether commits take effect but their answers are lost.
        self.loses_answers = False
        # Delay before each commit; it takes effect even if its caller has given up.
        self.commit_delay_seconds = 0.0
        handlers: dict[str, Handler] = {
            "GET /kv-key": self.get,
            "GET /kv-range": self.list,
            "GET /kv-watch": self.watch,
            "POST /kv-txn": self.commit,
            "POST /kv-lease": self.grant,
            "POST /kv-keep": self.renew,
            "DELETE /kv-lease-end": self.end,
        }
        wrapped_handlers = {
            name: self._with_faults(handler) for name, handler in handlers.items()
        }
        self.server = build_server(JsonApp(wrapped_handlers), listener)

    def _with_faults(self, handler: Handler) -> Handler:
        async def with_faults(request: Request) -> Any:
            if self._refuses(request):
                return reply(503, {})
            if self.answer_delay_seconds:
                await asyncio.sleep(self.answer_delay_seconds)
            result = handler(request)
            return await result if asyncio.iscoroutine(result) else result

        return with_faults

    def _refuses(self, request: Request) -> bool:
        return self.down or request.client_ip in self.refused_clients

    def get(self, request: Request) -> Response:
        """Answer with the item of one key."""
        item = self.core.items.get(request.query["Key"][0])
        return reply(404, {}) if item is None else reply(200, item_row(item))

    def list(self, request: Request) -> Response:
        """Answer with all items below a prefix."""
        rows = [
            item_row(i) for i in self.core.list_prefix(request.query["PathPrefix"][0])
        ]
        body = {"items": rows, "HasMore": False, "AtRevision": self.core.revision}
        return reply(200, body)

    async def watch(self, request: Request) -> Response:
        """Answer a watch at the first change, or without one when its time is over."""
        prefix = request.query["PathPrefix"][0]
        after = int(request.query["After"][0])
        deadline = time.monotonic() + int(request.query["WaitMs"][0]) / 1000
        while True:
            if request.client_ip in self.refused_clients:
                return reply(503, {})
            changes = self.core.changes_after(prefix, after)
            if changes.is_error():
                return reply(410, {})
            if changes.ok or time.monotonic() >= deadline or self.down:
                rows = [item_row(item) for item in changes.ok]
                return reply(200, {"events": rows, "AtRevision": self.core.revision})
            await asyncio.sleep(0.005)

    async def commit(self, request: Request) -> Response:
        """Commit a transaction; 412 on a conflict, 404 if its lease has ended."""
        data = await request.json()
        if self.commit_delay_seconds:
            await asyncio.sleep(self.commit_delay_seconds)
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
            await asyncio.sleep(LOST_ANSWER_DELAY_SECONDS)
        if result.is_ok():
            return reply(200, {"Revision": result.ok})
        items = [item_row(item) for item in result.error.current.values()]
        status = 412 if result.error.kind.value == "conflict" else 404
        return reply(status, {"items": items, "AtRevision": self.core.revision})

    async def grant(self, request: Request) -> Response:
        """Grant a lease."""
        ttl = (await request.json())["TtlMs"]
        return reply(200, {"Lease": self.core.grant_lease(ttl / 1000), "TtlMs": ttl})

    def renew(self, request: Request) -> Response:
        """Renew a lease; 404 if it has ended."""
        lease = int(request.url.path.decode().rpartition("/")[2])
        return reply(200 if self.core.renew_lease(lease) else 404, {})

    def end(self, request: Request) -> Response:
        """End a lease and remove its keys."""
        self.core.end_lease(int(request.url.path.decode().rpartition("/")[2]))
        return reply(200, {})


def run_time_ms(text: str) -> int | None:
    """Return the run time that a job's text gives; None for long-running tasks."""
    if text == LONG_RUNNING_TEXT:
        return None
    return int(text) if text.isdigit() else DEFAULT_TASK_MS


def run_outcome(text: str, number: int) -> RunOutcome:
    """Return how a run ends that nothing interrupts."""
    fails = text == FAILING_TEXT or (text == FLAKY_TEXT and number == 1)
    return RunOutcome.FAILED if fails else RunOutcome.DONE


class WorkerServer:
    """HTTP interface of one worker; records started and completed tasks."""

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
        # Address in the worker's entry; the soak puts a proxy there.
        self.advertised = f"{listener.address}:{listener.port}"
        self.started_tasks: list[str] = []
        self.completed_tasks: list[str] = []
        self.restart_task: asyncio.Task[None] | None = None
        # Time until a draining worker leaves, in its entry.
        self.remaining_ms = 0
        self.fake.on_end = self._record_end
        # Called before the worker process crashes.
        self.on_crash: Callable[[FakeWorker], None] = lambda _: None
        # Body that is sent in place of a report, if not None.
        self.odd_report: bytes | None = None
        # Calls that no process answers, and a later one may carry out.
        self.late_calls = LateCalls()
        handlers: dict[str, WorkerHandler] = {
            "POST /run-start": self.start,
            "POST /run-stop": self.stop,
            "POST /hold": self.poll,
        }
        wrapped_handlers = {
            name: self._with_faults(name, handler) for name, handler in handlers.items()
        }
        self.server = build_server(JsonApp(wrapped_handlers), listener)

    def _with_faults(self, name: str, handler: WorkerHandler) -> Handler:
        """Leave a call unanswered if it is late, or the worker down or restarted."""

        async def with_faults(request: Request) -> Any:
            data = await request.json()
            if self.late_calls.active:
                self.late_calls.hold(
                    name, data, lambda: self._call_if_up(handler, data)
                )
                if self.late_calls.draw_doubled():
                    await self._call_if_up(handler, data)
                await asyncio.sleep(LOST_ANSWER_DELAY_SECONDS)
                return reply(503, {})
            born = self.fake.born_ms
            response = await self._call_if_up(handler, data)
            if response is None or not self.fake.up or self.fake.born_ms != born:
                await asyncio.sleep(LOST_ANSWER_DELAY_SECONDS)
            return response or reply(503, {})

        return with_faults

    async def _call_if_up(
        self, handler: WorkerHandler, data: dict[str, Any]
    ) -> Response | None:
        return await handler(data) if self.fake.up else None

    def _record_end(
        self, _: FakeWorker, task: Any, number: int, outcome: RunOutcome
    ) -> None:
        if outcome is RunOutcome.DONE:
            self.completed_tasks.append(task_name(task))

    def register(self) -> None:
        """Write the worker's entry into the store."""
        entry = {
            "Service": self.fake.service,
            "Address": self.advertised,
            "Zone": "a",
            "Version": "v1",
            "Slots": 8,
            "State": "draining" if self.fake.draining else "ready",
            "Sequence": 1,
            "ColdRemainingMs": 0,
            "born": self.fake.born_ms,
            "Capacity": {"Cpu": 8000, "MemMb": 32000, "Gpu": 0},
            "Labels": ["a", self.fake.rack],
            "Machine": f"m-{self.fake.worker}",
        }
        if self.fake.draining:
            entry["RemainingMs"] = self.remaining_ms
        key = f"servers/{self.fake.worker}"
        self.core.put(key, json.dumps(entry).encode())

    async def advance_clock(self) -> None:
        """Advance the worker's runs and lease with the monotonic clock."""
        while True:
            self.fake.advance(time.monotonic())
            await asyncio.sleep(WORKER_STEP_SECONDS)

    def _answer(self, failure: OrderFailure | None) -> Response:
        clock = self.fake.clock_ms(time.monotonic())
        if failure is None:
            return reply(200, {"ClockMs": clock})
        return reply(409, {"ClockMs": clock, "Reason": _REASON_BY_FAILURE[failure]})

    async def start(self, data: dict[str, Any]) -> Response:
        """Start a run; the job's text gives its run time in ms."""
        order = StartOrder(
            task=parse_task_name(data["Task"]),
            number=data["Run"],
            text=data["Spec"],
            deadline_ms=data["DeadlineMs"],
            token=LeaderToken(data["FencingToken"]),
        )
        duration = run_time_ms(order.text)
        outcome = run_outcome(order.text, order.number)
        failure = self.fake.start(order, time.monotonic(), duration, outcome)
        if failure is None:
            self.started_tasks.append(data["Task"])
            if order.text == CRASHING_TEXT:
                self.restart_task = asyncio.create_task(self._crash())
        return self._answer(failure)

    async def _crash(self) -> None:
        """Crash and come back under the same id."""
        self.crash()
        await asyncio.sleep(CRASH_SECONDS)
        self.fake.restart(int(time.time() * 1000))
        self.register()

    def crash(self) -> None:
        """End the worker process and all of its runs."""
        self.on_crash(self.fake)
        self.fake.crash()

    async def stop(self, data: dict[str, Any]) -> Response:
        """Stop a run."""
        task = parse_task_name(data["Task"])
        token = LeaderToken(data["FencingToken"])
        now = time.monotonic()
        return self._answer(self.fake.stop(task, data["Run"], token, now))

    async def poll(self, data: dict[str, Any]) -> Response:
        """Answer a poll once a run has ended or the waiting time is over.

        Its lease end and its cursor count when it arrives, not while it waits.
        """
        cursor, lease_end_ms = data["AckCursor"], data.get("DeadlineMs")
        token = LeaderToken(data["FencingToken"])
        deadline = time.monotonic() + data.get("WaitMs", 0) / 1000
        born = self.fake.born_ms
        while True:
            now = time.monotonic()
            if not self.fake.up or self.fake.born_ms != born:
                return reply(503, {})
            report = self.fake.poll(token, cursor, lease_end_ms, now)
            cursor, lease_end_ms = 0, None
            if isinstance(report, OrderFailure):
                return self._answer(report)
            if report.ended or now >= deadline:
                break
            await asyncio.sleep(WORKER_STEP_SECONDS)
        if self.odd_report is not None:
            return Response(200, content=Content(b"application/json", self.odd_report))
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
    """The store and the workers on loopback, with the operators' configuration."""

    def __init__(
        self,
        address: str,
        store_port: int,
        worker_ports: list[int],
        options: PlatformOptions | None = None,
    ) -> None:
        self.options = options or PlatformOptions()
        # By name; a change is in force once a configuration has been written.
        self.workspaces = {row.name: row for row in self.options.workspaces}
        self.configuration_version = 0
        self.core = StoreCore(time.monotonic)
        self.store = StoreServer(self.core, Listener(address, store_port))
        self.workers = [
            WorkerServer(f"w{port}", "plans", Listener(address, port), self.core)
            for port in worker_ports
        ]
        self.run_log = RunLog(time.monotonic)
        for worker in self.workers:
            self.run_log.observe(worker.fake)
        self.tasks: list[asyncio.Task[None]] = []
        self.clock_tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Start the servers, register the workers and write the configuration."""
        # Pending watches are cancelled at shutdown, which uvicorn logs as errors.
        logging.getLogger("uvicorn.error").setLevel(logging.CRITICAL)
        servers: list[HttpServer] = [self.store.server]
        servers += [worker.server for worker in self.workers]
        self.tasks = [asyncio.create_task(run_server(server)) for server in servers]
        while not all(server.started for server in servers):
            await asyncio.sleep(0.01)
        for worker in self.workers:
            worker.register()
            self.clock_tasks.append(asyncio.create_task(worker.advance_clock()))
        self.write_configuration()

    def write_configuration(self, *extra_routes: dict[str, Any]) -> None:
        """Write the next version, with the workspaces of now and more routes."""
        self.configuration_version += 1
        document = demo_configuration(
            self.options.has_second_queue, self.workspaces.values()
        )
        document["Version"] = self.configuration_version
        document["Routes"] += extra_routes
        self.core.put(CONFIGURATION_KEY, json.dumps(document).encode())

    async def stop(self) -> None:
        """Stop the servers and free their ports."""
        for worker in self.workers:
            worker.late_calls.close()
        for server in [self.store.server, *(w.server for w in self.workers)]:
            server.should_exit = server.force_exit = True
        for task in self.clock_tasks:
            task.cancel()
        await asyncio.wait(
            [*self.tasks, *self.clock_tasks], timeout=STOP_TIMEOUT_SECONDS
        )
