"""Stand-ins for the cases of this review: store, minions, cloud, advisor, entries.

They use the standard library only, and follow the users' PROTOCOL.md. All addresses are
loopback addresses of one network 127.N, which is claimed for the run.
"""

import asyncio
import base64
import json
import os
import random
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
STORE_PORT, CLOUD_PORT, ADVISOR_PORT, MINION_PORT = 8621, 8620, 8619, 8700
# Bound on the last address of a network while a run uses it.
LOCK_PORT = 10009
FRONT_PORT, READY_PORT, PEER_PORTS = 8624, 8622, [7060, 7075]
HEARTBEAT_S, STOP_S, STARTUP_S, MAX_HOLD_MS = 1.5, 0.2, 0.3, 10_000
CONTACT_S, CANCEL_S, VISIBLE_S, FINISH_S, MAINTENANCE_S = 3.0, 3.0, 3.0, 14.0, 2.0
Answer = tuple[int, Any] | None
Handler = Callable[[str, str, dict[str, str], Any], Awaitable[Answer]]


class Record:
    """The file record.txt: what was sent, answered and run, by seconds of the run."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("w")
        self.began = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start of the run."""
        return time.monotonic() - self.began

    def write(self, text: str) -> None:
        """Write a line with the present time."""
        self.file.write(f"{self.now():8.3f}  {text}\n")
        self.file.flush()


class HttpStandin:
    """A small HTTP/1.1 server; a handler that returns None leaves a call unanswered."""

    def __init__(self, address: str, port: int, handler: Handler) -> None:
        self.address, self.port, self.handler = address, port, handler
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def open(self) -> None:
        """Listen."""
        self.server = await asyncio.start_server(
            self._serve, self.address, self.port, reuse_address=True
        )

    def close(self) -> None:
        """Stop listening and reset all channels, as the end of a process does."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.writers.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                lines = head.split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    name, _, value = line.partition(":")
                    headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                data = json.loads(body) if body else {}
                answer = await self.handler(method, target, headers, data)
                if answer is None:
                    await asyncio.sleep(60)
                    return
                text = json.dumps(answer[1]).encode()
                writer.write(
                    f"HTTP/1.1 {answer[0]} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(text)}\r\n\r\n".encode()
                    + text
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            return
        finally:
            self.writers.discard(writer)
            writer.transport.abort()


class Store:
    """The platform's metadata store."""

    def __init__(self, address: str, record: Record) -> None:
        self.record = record
        self.http = HttpStandin(address, STORE_PORT, self._handle)
        self.revision = 1
        self.items: dict[str, dict[str, Any]] = {}
        self.history: list[tuple[int, str, dict[str, Any] | None]] = []
        self.leases: dict[int, tuple[float, float]] = {}
        self.next_lease = 100
        self.changed = asyncio.Condition()
        # Decides for each write call whether its answer is lost, and if so, after how
        # many seconds it is carried out; None to answer normally.
        self.lose: Callable[[dict[str, Any]], float | None] = lambda _: None
        self.late: set[asyncio.Task[None]] = set()

    def put(self, key: str, value: bytes, lease: int = 0) -> None:
        """Write a key, as operators and minions do."""
        self.revision += 1
        self._set(key, base64.b64encode(value).decode(), lease)

    def delete(self, key: str) -> None:
        """Remove a key."""
        if key in self.items:
            self.revision += 1
            self._drop(key)

    def value(self, key: str) -> bytes | None:
        """Return the value of a key."""
        item = self.items.get(key)
        return None if item is None else base64.b64decode(item["Value"])

    def _set(self, key: str, value: str, lease: int) -> None:
        old = self.items.get(key)
        item = {
            "Key": key,
            "Value": value,
            "Revision": self.revision,
            "Created": old["Created"] if old else self.revision,
            "Lease": lease,
        }
        self.items[key] = item
        self.history.append((self.revision, key, item))

    def _drop(self, key: str) -> None:
        if self.items.pop(key, None) is not None:
            self.history.append((self.revision, key, None))

    def end_lease(self, lease: int) -> None:
        """End a lease and remove its keys."""
        if self.leases.pop(lease, None) is None:
            return
        keys = [k for k, item in self.items.items() if item["Lease"] == lease]
        if keys:
            self.revision += 1
        for key in keys:
            self._drop(key)

    def expire(self) -> None:
        """End the leases whose time is over."""
        now = time.monotonic()
        for lease in [k for k, (end, _) in self.leases.items() if end <= now]:
            self.end_lease(lease)

    async def _handle(
        self, method: str, target: str, headers: dict[str, str], data: Any
    ) -> Answer:
        del headers
        self.expire()
        await asyncio.sleep(0.002)
        url = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(url.query).items()}
        match url.path.split("/")[1], method:
            case "kv-key", "GET":
                item = self.items.get(query["Key"])
                if item is None:
                    return 404, {"AtRevision": self.revision}
                return 200, {**item, "AtRevision": self.revision}
            case "kv-range", "GET":
                return 200, self._range(query)
            case "kv-watch", "GET":
                return 200, await self._watch(query)
            case "kv-txn", "POST":
                delay = self.lose(data)
                if delay is None:
                    return self.commit(data)
                self.late.add(asyncio.create_task(self._commit_late(data, delay)))
                return None
            case "kv-lease", "POST":
                self.next_lease += 1
                seconds = max(1.0, data["TtlMs"] / 1000)
                self.leases[self.next_lease] = (time.monotonic() + seconds, seconds)
                return 200, {"Lease": self.next_lease, "TtlMs": int(seconds * 1000)}
            case "kv-keep", "POST":
                lease = int(url.path.rpartition("/")[2])
                if lease not in self.leases:
                    return 404, {}
                seconds = self.leases[lease][1]
                self.leases[lease] = (time.monotonic() + seconds, seconds)
                return 200, {"Lease": lease, "TtlMs": int(seconds * 1000)}
            case "kv-lease-end", "DELETE":
                self.end_lease(int(url.path.rpartition("/")[2]))
                return 200, {}
        return 404, {}

    def _range(self, query: dict[str, str]) -> dict[str, Any]:
        prefix, after = query["PathPrefix"], query.get("After", "")
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        rows = [self.items[key] for key in keys[:500]]
        return {
            "items": rows,
            "HasMore": len(keys) > len(rows),
            "AtRevision": self.revision,
        }

    async def _watch(self, query: dict[str, str]) -> dict[str, Any]:
        prefix, after = query["PathPrefix"], int(query["After"])
        end = time.monotonic() + int(query["WaitMs"]) / 1000
        while True:
            self.expire()
            events = [
                item or {"Key": key, "Revision": revision, "Deleted": True}
                for revision, key, item in self.history
                if revision > after and key.startswith(prefix)
            ]
            if events or time.monotonic() >= end:
                return {"events": events, "AtRevision": self.revision}
            await asyncio.sleep(0.005)

    def commit(self, data: dict[str, Any]) -> tuple[int, Any]:
        """Apply a transaction."""
        for row in data["Expect"]:
            item = self.items.get(row["Key"])
            if (item["Revision"] if item else 0) != row["Revision"]:
                keys = [r["Key"] for r in data["Expect"]]
                found = [self.items[key] for key in keys if key in self.items]
                return 412, {"items": found, "AtRevision": self.revision}
        if any(w["Lease"] and w["Lease"] not in self.leases for w in data["Puts"]):
            return 404, {}
        self.revision += 1
        for row in data["Puts"]:
            self._set(row["Key"], row["Value"], row["Lease"])
        for key in data["Remove"]:
            self._drop(key)
        return 200, {"Revision": self.revision}

    async def _commit_late(self, data: dict[str, Any], delay: float) -> None:
        await asyncio.sleep(delay)
        self.expire()
        status, _ = self.commit(data)
        keys = [row["Key"] for row in data["Puts"]]
        self.record.write(
            f"store: a write without an answer is carried out {delay:.1f} s late: "
            f"{keys} -> {status}"
        )


@dataclass
class MinionRun:
    """A run on a minion; times are in ms of its clock."""

    number: int
    began_ms: int
    duration_ms: int | None
    checkpoint: str = ""
    stop_at_ms: int | None = None
    interval: "Interval | None" = None


@dataclass
class Interval:
    """A run as the checks see it, in seconds of the test."""

    task: str
    number: int
    minion: str
    began: float
    ended: float | None = None
    how: str = ""
    listed_at: float | None = None


class Minion:
    """A minion: runs work items under a lease, and registers itself in the store."""

    def __init__(
        self, world: "World", name: str, service: str, address: str, **options: Any
    ) -> None:
        self.world, self.name, self.service = world, name, service
        self.machine: str = options.get("machine", f"m-{name}")
        self.capacity: dict[str, int] = options.get(
            "capacity", {"Cpu": 8000, "MemMb": 32000, "Gpu": 0}
        )
        self.labels: list[str] = options.get("labels", ["a", "r1"])
        self.needs_ticket: bool = options.get("needs_ticket", False)
        self.address = address
        self.http = HttpStandin(address, MINION_PORT, self._handle)
        self.up = False
        self.cut = False
        self.tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Begin a life: an empty process with a clock that starts anew."""
        self.born = int(time.time() * 1000)
        self.clock_zero = time.monotonic()
        self.fence = 0
        self.lease_end_ms = 0
        self.runs: dict[str, MinionRun] = {}
        self.closed: dict[str, int] = {}
        self.ended: list[list[Any]] = []
        self.sequence = 0
        self.beat = 0
        self.up = True
        await self.http.open()
        self.register()
        self.tasks = [
            asyncio.create_task(self._advance()),
            asyncio.create_task(self._heartbeat()),
        ]
        self.world.record.write(f"minion {self.name}: starts, born {self.born}")

    def crash(self) -> None:
        """End the process and all that it runs."""
        self.world.record.write(f"minion {self.name}: crashes with {list(self.runs)}")
        self.up = False
        self.http.close()
        for task in self.tasks:
            task.cancel()
        for run in self.runs.values():
            self._close(run, "crashed")
        self.runs.clear()

    def register(self) -> None:
        """Write the entry into the store."""
        self.beat += 1
        entry = {
            "Service": self.service,
            "Address": f"{self.address}:{MINION_PORT}",
            "Zone": "z1",
            "Version": "v1",
            "Slots": 8,
            "State": "ready",
            "ColdRemainingMs": 0,
            "Sequence": self.beat,
            "born": self.born,
            "Capacity": self.capacity,
            "Labels": self.labels,
            "Machine": self.machine,
        }
        self.world.store.put(f"servers/{self.name}", json.dumps(entry).encode())

    def clock_ms(self) -> int:
        """Return the time on the clock of this life."""
        return int((time.monotonic() - self.clock_zero) * 1000)

    async def _heartbeat(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self.register()

    async def _advance(self) -> None:
        while True:
            await asyncio.sleep(0.01)
            clock = self.clock_ms()
            for task, run in list(self.runs.items()):
                if clock > self.lease_end_ms:
                    self._end(task, "lapsed")
                elif run.stop_at_ms is not None and clock >= run.stop_at_ms:
                    self._end(task, "stopped")
                elif run.duration_ms is not None and (
                    clock >= run.began_ms + run.duration_ms
                ):
                    self._end(task, "done")

    def _close(self, run: MinionRun, how: str) -> None:
        assert run.interval is not None
        run.interval.ended, run.interval.how = self.world.record.now(), how
        self.world.record.write(
            f"minion {self.name}: {run.interval.task} run {run.number} ends: {how}"
        )

    def _end(self, task: str, how: str) -> None:
        run = self.runs.pop(task)
        self.sequence += 1
        self.ended.append([self.sequence, task, run.number, how, ""])
        self.closed[task] = max(self.closed.get(task, 0), run.number)
        self._close(run, how)

    async def _handle(
        self, method: str, target: str, headers: dict[str, str], data: Any
    ) -> Answer:
        del method
        if self.cut:
            return None
        if headers.get("x-expected-instance") not in (None, self.name):
            return 421, {"ClockMs": self.clock_ms()}
        lost = self.world.lose_order(self, target, data)
        if lost:
            self.world.record.write(f"minion {self.name}: no answer to {target}")
            return None
        match target:
            case "/run-start":
                answer = self._run_start(data)
                self._write_start(data, answer)
                return answer
            case "/run-stop":
                return self._run_stop(data)
            case "/hold":
                return await self._hold(data)
            case "/pace":
                return 200, {"ClockMs": self.clock_ms()}
        return 404, {}

    def _write_start(self, data: Any, answer: tuple[int, Any]) -> None:
        reason = answer[1].get("Reason", "")
        key = (data["Task"], reason)
        self.world.refused[key] = self.world.refused.get(key, 0) + bool(reason)
        # Of refusals that are repeated, only the first ones and some later ones.
        if self.world.refused[key] > 3 and self.world.refused[key] % 500:
            return
        self.world.record.write(
            f"minion {self.name}: start {data['Task']} run {data['Run']} token "
            f"{data['FencingToken']} deadline {data['DeadlineMs']} at clock "
            f"{self.clock_ms()} -> {answer[0]} {reason}"
        )

    def _refusal(self, reason: str) -> tuple[int, Any]:
        return 409, {"ClockMs": self.clock_ms(), "Reason": reason}

    def _fenced(self, data: Any) -> bool:
        token = data.get("FencingToken", 0)
        if token < self.fence:
            return True
        self.fence = token
        return False

    def _extend(self, deadline_ms: int) -> None:
        limit = self.clock_ms() + MAX_HOLD_MS
        self.lease_end_ms = max(self.lease_end_ms, min(deadline_ms, limit))

    def _run_start(self, data: Any) -> tuple[int, Any]:
        if self._fenced(data):
            return self._refusal("fence")
        task, number = data["Task"], data["Run"]
        present = self.runs.get(task)
        if present is not None and present.number == number:
            return 200, {"ClockMs": self.clock_ms()}
        if number <= self.closed.get(task, 0) or present is not None:
            self._extend(data["DeadlineMs"])
            return self._refusal("old")
        if data["DeadlineMs"] <= self.clock_ms():
            return self._refusal("late")
        if self.needs_ticket and not self.world.ticket_is_good(self, data):
            return self._refusal("ticket")
        self._extend(data["DeadlineMs"])
        text = data["Spec"]
        duration = None if text.startswith("lasts") else int(text.split()[0])
        interval = Interval(task, number, self.name, self.world.record.now())
        run = MinionRun(number, self.clock_ms(), duration, interval=interval)
        self.runs[task] = run
        self.world.intervals.append(interval)
        self.world.on_start(self, task)
        return 200, {"ClockMs": self.clock_ms()}

    def _run_stop(self, data: Any) -> tuple[int, Any]:
        if self._fenced(data):
            return self._refusal("fence")
        task, number = data["Task"], data["Run"]
        run = self.runs.get(task)
        if run is not None and run.number <= number and run.stop_at_ms is None:
            run.stop_at_ms = self.clock_ms() + int(STOP_S * 1000)
        if run is None:
            self.closed[task] = max(self.closed.get(task, 0), number)
        self.world.record.write(f"minion {self.name}: stop {task} run {number}")
        return 200, {"ClockMs": self.clock_ms()}

    async def _hold(self, data: Any) -> Answer:
        if self._fenced(data):
            return self._refusal("fence")
        if "DeadlineMs" in data:
            self._extend(data["DeadlineMs"])
        cursor = data.get("AckCursor", 0)
        self.ended = [row for row in self.ended if row[0] > cursor]
        born, end = self.born, time.monotonic() + data.get("WaitMs", 0) / 1000
        while not self.ended and time.monotonic() < end:
            await asyncio.sleep(0.01)
        if self.cut or not self.up or self.born != born:
            return None
        clock = self.clock_ms()
        running = []
        for task, run in self.runs.items():
            age = clock - run.began_ms
            if run.duration_ms is None:
                percent = 100 if age >= STARTUP_S * 1000 else 0
            else:
                percent = min(99, age * 100 // max(1, run.duration_ms))
            running.append([task, run.number, "", percent, 0])
        body = {"ClockMs": clock, "born": self.born, "Running": running}
        return 200, {**body, "Finished": self.ended[:500]}


@dataclass
class Sent:
    """A call of a requester and its answer."""

    method: str
    job: str
    entry: str
    at: float
    status: int | None = None
    state: str = ""
    answered: float = 0.0


@dataclass
class World:
    """A small deployment on loopback: entries, store, minions, cloud and advisor."""

    folder: Path
    entries: int = 3
    with_cloud: bool = False
    with_advisor: bool = False
    minions: list[Minion] = field(default_factory=list)
    intervals: list[Interval] = field(default_factory=list)
    calls: list[Sent] = field(default_factory=list)
    processes: dict[str, subprocess.Popen[bytes]] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Claim a network and create the store."""
        self.record = Record(self.folder / "record.txt")
        for number in random.sample(range(20, 240), 50):
            self.lock = socket.socket()
            try:
                self.lock.bind((f"127.{number}.254.253", LOCK_PORT))
            except OSError:
                self.lock.close()
                continue
            self.network = number
            break
        else:
            raise RuntimeError("no free loopback network")
        self.store = Store(self.address(0, 1), self.record)
        self.cloud = HttpStandin(self.address(0, 2), CLOUD_PORT, self._cloud)
        self.advisor = HttpStandin(self.address(0, 3), ADVISOR_PORT, self._advise)
        self.directory = tempfile.TemporaryDirectory()
        self.names = [f"front-{n}" for n in range(1, self.entries + 1)]
        self.restarts = 0
        # Number of refused starts by work item and reason.
        self.refused: dict[tuple[str, str], int] = {}
        self.machine_states: dict[str, str] = {}
        self.machine_fences: dict[str, int] = {}
        # The upkeeps that have begun: wave and machine.
        self.upkeeps: list[tuple[int, str]] = []
        self.keepers: set[asyncio.Task[None]] = set()
        self.tickets: dict[str, tuple[str, float]] = {}
        self.lose_order: Callable[[Minion, str, Any], bool] = lambda *_: False
        self.on_start: Callable[[Minion, str], None] = lambda *_: None

    def address(self, group: int, host: int) -> str:
        """Return an address of this run's loopback network."""
        return f"127.{self.network}.{group}.{host}"

    def add_minion(self, service: str, **options: Any) -> Minion:
        """Create a minion, which the caller starts."""
        number = len(self.minions) + 1
        minion = Minion(self, f"s{number}", service, self.address(2, number), **options)
        self.minions.append(minion)
        return minion

    def configure(
        self, version: int, routes: list[dict[str, Any]], services: list[str]
    ) -> None:
        """Write a version of the configuration, as the operator does."""
        config = {
            "Version": version,
            "Routes": routes,
            "Services": [{"Name": name, "MaxConnections": 64} for name in services],
            "Limits": {},
        }
        self.store.put("op/config", json.dumps(config).encode())
        self.record.write(f"operator: version {version} of the configuration is stored")

    async def open(self) -> None:
        """Start the platform's stand-ins and the minions."""
        await self.store.http.open()
        if self.with_cloud:
            await self.cloud.open()
        if self.with_advisor:
            await self.advisor.open()
        for minion in self.minions:
            await minion.start()

    def start_entry(self, name: str) -> None:
        """Start an entry process with the command of the deploy file."""
        ip = self.address(1, self.names.index(name) + 1)
        settings: dict[str, Any] = {
            "Node": name,
            "Role": "entry",
            "MachineClass": "front",
            "Serves": ["front"],
            "Ip": ip,
            "Zone": "z1",
            "Region": "z",
            "Zones": {"z1": "z"},
            "Listen": {"Front": f"{ip}:{FRONT_PORT}", "Ready": f"{ip}:{READY_PORT}"},
            "InternalPortRange": PEER_PORTS,
            "Bootstrap": True,
            "Limits": {
                "CpuShare": 0.537,
                "Cores": 2,
                "MemoryMb": 300,
                "FileDescriptors": 4100,
                "LinkMbps": 1000.0,
            },
            "HeartbeatMs": int(HEARTBEAT_S * 1000),
            "Bounds": {
                "ContactMs": int(CONTACT_S * 1000),
                "GraceS": 6,
                "MaxHoldMs": MAX_HOLD_MS,
                "cancel_ms": int(CANCEL_S * 1000),
                "visible_ms": int(VISIBLE_S * 1000),
                "finish_s": FINISH_S,
                "status_s": 120,
            },
            "Orders": "call",
            "platform": {
                "Address": f"{self.store.http.address}:{STORE_PORT}",
                "form": "kv",
                "WritesPerS": 400,
                "ReadsPerS": 2000,
                "HistoryS": 20,
                "ValueBytes": 1048576,
                "MinTtlMs": 1000,
            },
        }
        if self.with_cloud:
            settings["Cloud"] = {"Address": f"{self.cloud.address}:{CLOUD_PORT}"}
        if self.with_advisor:
            settings["PlacementAdvisor"] = f"{self.advisor.address}:{ADVISOR_PORT}"
        path = Path(self.directory.name) / f"{name}.yaml"
        path.write_text(json.dumps(settings))
        kept = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        environment = {
            **kept,
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "EBONYHUB_NODE_FILE": str(path),
        }
        with self.log_path(name).open("ab") as log:
            self.processes[name] = subprocess.Popen(
                ["python3", "deploy/entry.py"],
                cwd=ROOT, env=environment, stdout=log, stderr=log,
            )  # fmt: skip
        self.record.write(f"entry {name}: starts")

    def log_path(self, name: str) -> Path:
        """Return the path of an entry's log."""
        return Path(self.directory.name) / f"{name}.log"

    async def keep_entries(self) -> None:
        """Start an entry again a second after its process has ended by itself."""
        while True:
            await asyncio.sleep(0.2)
            for name, process in self.processes.items():
                if process.poll() is not None:
                    self.restarts += 1
                    self.record.write(f"entry {name}: has ended by itself")
                    await asyncio.sleep(1.0)
                    self.start_entry(name)

    async def wait_ready(self, seconds: float = 40.0) -> None:
        """Wait until all entries are ready and one of them leads."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            states = [await self.call(n, "READY", "", quiet=True) for n in self.names]
            led = self.store.value("eb/n/leader") is not None
            if all(sent.status == 200 for sent in states) and led:
                await asyncio.sleep(1.0)
                return
            await asyncio.sleep(0.2)
        raise RuntimeError("the entries are not ready")

    def leader(self) -> str:
        """Return the entry that is recorded as leader in the store."""
        value = self.store.value("eb/n/leader") or b""
        return next((n for n in self.names if n.encode() in value), "")

    async def call(
        self,
        entry: str,
        method: str,
        job: str,
        body: Any = None,
        prefix: str = "/plans/",
        quiet: bool = False,
        timeout: float = 3.0,
    ) -> Sent:
        """Make a requester's call on a new channel; READY asks for the readiness."""
        ready = method == "READY"
        ip = self.address(1, self.names.index(entry) + 1)
        sent = Sent(method, job, entry, self.record.now())
        target = "/readiness" if ready else f"{prefix}{job}"
        text = b"" if body is None else json.dumps(body).encode()
        verb = "GET" if ready else method
        request = (
            f"{verb} {target} HTTP/1.1\r\nHost: plans.example\r\n"
            f"Content-Type: application/json\r\nX-Deadline-Ms: 3000\r\n"
            f"Content-Length: {len(text)}\r\nConnection: close\r\n\r\n"
        ).encode() + text
        writer = None
        try:
            async with asyncio.timeout(timeout):
                reader, writer = await asyncio.open_connection(
                    ip, READY_PORT if ready else FRONT_PORT
                )
                writer.write(request)
                answer = await reader.read()
            head, _, rest = answer.partition(b"\r\n\r\n")
            sent.status = int(head.split()[1]) if head else None
            if rest and rest.startswith(b"{"):
                sent.state = json.loads(rest).get("State", "")
        except (OSError, TimeoutError, ValueError, IndexError):
            sent.status = None
        finally:
            if writer is not None:
                writer.transport.abort()
        sent.answered = self.record.now()
        if not quiet:
            self.calls.append(sent)
            self.record.write(
                f"requester: {method} {job} at {entry} -> {sent.status} {sent.state}"
            )
        return sent

    async def submit(self, job: str, body: Any, prefix: str = "/plans/") -> bool:
        """Hand a job in, with up to four attempts; return whether it was accepted."""
        for attempt in range(4):
            entry = self.names[attempt % len(self.names)]
            sent = await self.call(entry, "POST", job, body, prefix)
            if sent.status is not None and 200 <= sent.status < 300:
                return True
            await asyncio.sleep(0.5)
        return False

    def ticket_is_good(self, minion: Minion, data: Any) -> bool:
        """Return whether a start carries a valid ticket for this life of the minion."""
        step = data["Task"].rpartition(".")[0]
        known = self.tickets.get(data.get("Ticket", ""))
        wanted = f"{step}/{minion.name}/{minion.born}"
        return known is not None and known[0] == wanted and time.monotonic() < known[1]

    async def _advise(
        self, method: str, target: str, headers: dict[str, str], data: Any
    ) -> Answer:
        del method, target, headers
        await asyncio.sleep(0.02 + 0.002 * len(data["Workers"]))
        good = []
        for minion in self.minions:
            if minion.name in data["Workers"]:
                ticket = f"t{len(self.tickets) + 1}"
                wanted = f"{data['Step']}/{minion.name}/{minion.born}"
                self.tickets[ticket] = (wanted, time.monotonic() + 5.0)
                good.append([minion.name, ticket])
        self.record.write(f"advisor: {data['Step']} {data['Workers']} -> {len(good)}")
        return 200, {"Good": good}

    async def _cloud(
        self, method: str, target: str, headers: dict[str, str], data: Any
    ) -> Answer:
        await asyncio.sleep(0.004)
        if method == "GET":
            return 200, {"Machines": [self._machine_row(m) for m in self.minions]}
        minion = next((m for m in self.minions if m.machine == data["Machine"]), None)
        answer = self._change_machine(target, minion, headers, data)
        holder = headers.get("x-lease-holder")
        self.record.write(f"cloud: {holder} {target} {data} -> {answer}")
        return answer

    def _machine_row(self, minion: Minion) -> dict[str, Any]:
        state = self.machine_states.get(minion.machine, "up" if minion.up else "down")
        row = {
            "Machine": minion.machine,
            "Pool": minion.service,
            "State": state,
            "Zone": "z1",
            "Labels": minion.labels,
            "Capacity": minion.capacity,
        }
        return {**row, "Id": minion.name} if minion.up else row

    def _change_machine(
        self,
        target: str,
        minion: Minion | None,
        headers: dict[str, str],
        data: Any,
    ) -> tuple[int, Any]:
        if minion is None:
            return 400, {}
        token = int(headers.get("x-fencing-token", "0"))
        if token < self.machine_fences.get(minion.machine, 0):
            return 409, {"Reason": "fence"}
        self.machine_fences[minion.machine] = token
        if target != "/machine-upkeep":
            return 409, {"Reason": "busy"}
        wave = json.loads(self.store.value(f"op/wave/{data['Wave']}") or b"{}")
        if minion.machine not in wave.get("Machines", ()):
            return 409, {"Reason": "wave"}
        if (data["Wave"], minion.machine) in self.upkeeps:
            return 200, {}
        if not minion.up or minion.machine in self.machine_states:
            return 409, {"Reason": "busy"}
        self.upkeeps.append((data["Wave"], minion.machine))
        self.keepers.add(asyncio.create_task(self._upkeep(minion)))
        return 200, {}

    async def _upkeep(self, minion: Minion) -> None:
        self.machine_states[minion.machine] = "upkeep"
        minion.crash()
        self.store.delete(f"servers/{minion.name}")
        await asyncio.sleep(MAINTENANCE_S)
        minion.name += "u"
        await minion.start()
        del self.machine_states[minion.machine]

    def overlaps(self) -> list[tuple[Interval, Interval]]:
        """Return the pairs of runs of one work item that ran at the same time."""
        found = []
        by_task: dict[str, list[Interval]] = {}
        for run in self.intervals:
            by_task.setdefault(run.task, []).append(run)
        for runs in by_task.values():
            for position, first in enumerate(runs):
                for second in runs[position + 1 :]:
                    if first.ended is None or second.began < first.ended - 0.05:
                        found.append((first, second))
        return found

    def close(self) -> None:
        """End all processes that were started, and keep the entries' logs."""
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()
        logs = os.environ.get("KEEP_LOGS")
        for name in self.names:
            if logs and self.log_path(name).exists():
                target = Path(logs) / f"{name}.log"
                target.write_bytes(self.log_path(name).read_bytes())
        for server in (self.store.http, self.cloud, self.advisor):
            server.close()
        for minion in self.minions:
            minion.http.close()
        self.directory.cleanup()
        self.lock.close()


def route(name: str = "plans", prefix: str = "/plans/", **more: Any) -> dict[str, Any]:
    """Return a route of the configuration."""
    return {
        "Name": f"r-{name}",
        "Host": "plans.example",
        "PathPrefix": prefix,
        "TimeoutMs": 3000,
        "TargetLatencyMs": 600,
        "Priority": 0,
        "Service": "plans",
        "MaxAttempts": 3,
        "Stretch": 2.0,
        **more,
    }


def run_case(play: Callable[[World], Awaitable[bool]], **options: Any) -> None:
    """Play a case; exit with 1 if the rule was broken, 0 if it held, 2 if it failed."""
    folder = Path(sys.argv[0]).resolve().parent

    async def main() -> int:
        world = World(folder, **options)
        try:
            async with asyncio.timeout(115):
                broken = await play(world)
            world.record.write("result: " + ("BROKEN" if broken else "held"))
            return int(broken)
        except Exception as error:  # the case could not run
            world.record.write(f"result: could not run: {error!r}")
            return 2
        finally:
            world.close()

    code = asyncio.run(main())
    print({0: "held", 1: "BROKEN", 2: "could not run"}[code])
    sys.exit(code)
