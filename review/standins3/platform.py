"""The platform of a small deployment on loopback: store, cloud, minions and nodes.

It starts the entry processes with the command of ``deploy/system.toml`` and writes a
record of what was sent, answered and run.
"""

import asyncio
import base64
import os
import random
import shlex
import socket
import subprocess
import tempfile
import time
import tomllib
import traceback
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from .http import Answer, Request, Server, call
from .minion import STEP_SECONDS, Minion
from .proxy import Proxy
from .store import Store

ROOT = Path(__file__).resolve().parents[2]
FRONT_PORT, READY_PORT, CONTROL_PORT = 8624, 8622, 8623
STORE_PORT, CLOUD_PORT, ADVISOR_PORT, MINION_PORT = 8621, 8620, 8619, 8700
HEARTBEAT_SECONDS = 1.5
MOVE_SECONDS, UPKEEP_SECONDS = 1.5, 2.0
CAPACITY = {"Cpu": 32000, "MemMb": 65536, "Gpu": 0}
# Rejected starts that have a line of their own; the result tells their number.
MAX_REJECTED_LINES = 30
DECISION_MS, PER_ITEM_MS, VALIDITY_MS = 50, 1, 3000
ZONES = ("ke-central-a", "ke-central-b", "ke-central-c")

SETTINGS = """Node: "{name}"
Role: "entry"
MachineClass: "front"
Serves:
  - "front"
Ip: "{ip}"
Zone: "{zone}"
Region: "ke-central"
Zones:
  ke-central-a: "ke-central"
  ke-central-b: "ke-central"
  ke-central-c: "ke-central"
Listen:
  Front: "{ip}:8624"
  Ready: "{ip}:8622"
  Control: "{ip}:8623"
InternalPortRange:
  - 7060
  - 7075
Seeds: []
Bootstrap: true
LossCounts: false
Limits:
  CpuShare: 0.537
  Cores: 2
  MemoryMb: 300
  FileDescriptors: 4100
  LinkMbps: 1000.0
  DiskMb: 0
DataDirectory: null
Discovery: "platform"
Entry: "vip"
HeartbeatMs: 1500
Contracts: ["base", "drain", "config", "cost", "recover", "sched", "platform",
  "advice", "upkeep", "sharing"]
FaultTolerance: {{Machines: 1, Zones: 0, Regions: 0}}
Bounds: {{SeedLagS: 3, AddressReuseS: 2, ContactMs: 3000, AckTimeoutMs: 4000,
  CatchUpS: 4, DrainMs: 2000, GraceS: 6, LossSlackMs: 200, ConfigApplyMs: 2000,
  RollbackSlackMs: 250, MaxStretchMs: 5000, RecoveryS: 12, MaxHoldMs: 10000,
  StopTimeoutMs: 400, GangTimeoutMs: 3000, cancel_ms: 3000, visible_ms: 3000,
  early_ms: 250, finish_s: 14, status_s: 120, RemotePenalty: 3,
  CheckpointIntervalS: 1, RestoreMs: 600, NoticeMs: 4500, MigrationS: 1.5,
  MaintenanceS: 2, RequireFencing: true, LeaseMs: 3000, ThawSlackMs: 300,
  PaceMs: 100, HarmMs: 4000}}
Orders: "call"
PlacementAdvisor: "{advisor}"
platform:
  Address: "{store}"
  form: "kv"
  WritesPerS: 400
  ReadsPerS: 2000
  HistoryS: 20
  ValueBytes: 1048576
  MinTtlMs: 1000
Cloud:
  Address: "{cloud}"
  RatePerS: 64.0
  Duties: []
  DutyPerS: 64.0
"""


@dataclass
class Machine:
    """A machine of the cloud; ``state`` as ``GET /machines`` shows it."""

    name: str
    pool: str
    rack: str
    zone: str
    address: str
    state: str = "up"
    token: int = 0
    waves: set[int] = field(default_factory=set)
    minion: Minion | None = None
    server: Server | None = None


@dataclass
class Node:
    """An entry process."""

    name: str
    ip: str
    settings: Path
    process: subprocess.Popen[bytes] | None = None
    proxy: Proxy | None = None


class Platform:
    """Everything around the entry processes."""

    def __init__(self, case: Path, pools: dict[str, int], nodes: int) -> None:
        self.case = case
        self.lines: list[str] = []
        # How often each event was noted.
        self.seen: dict[str, int] = {}
        self.began = time.monotonic()
        self.folder = tempfile.TemporaryDirectory()
        self.network, self.lock = _claim_network()
        self.store = Store()
        self.store_server = Server(self.store.handle)
        self.cloud_server = Server(self.cloud)
        self.advisor_server = Server(self.advise)
        # Prefixes of the paths whose steps need a ticket, and the tickets given: step
        # and minion, with the end of the ticket's validity.
        self.advised_jobs: set[str] = set()
        self.tickets: dict[str, tuple[str, str, float]] = {}
        self.machines: dict[str, Machine] = {}
        self.tasks: list[asyncio.Task[None]] = []
        self.observers: list[Callable[..., None]] = []
        self.counter = 0
        self.rng = random.Random(1)
        for pool, count in pools.items():
            for _ in range(count):
                number = len(self.machines)
                name = f"m-{number:02d}"
                self.machines[name] = Machine(
                    name, pool, f"r{number % 3 + 1}-{number // 12 + 1}",
                    ZONES[number % 3], f"{self.ip(2, number + 1)}:{MINION_PORT}",
                )  # fmt: skip
        self.nodes = [
            Node(
                f"front-{ZONES[n % 3]}-{n // 3 + 1}", self.ip(1, n + 1),
                Path(self.folder.name) / f"node-{n}.yaml",
            )
            for n in range(nodes)
        ]  # fmt: skip

    def ip(self, group: int, host: int) -> str:
        """Return a loopback address of this run."""
        return f"127.{self.network}.{group}.{host}"

    # Record

    def note(self, what: str, **details: Any) -> None:
        """Add a line to the record and tell the observers."""
        now = time.monotonic() - self.began
        text = " ".join(f"{key}={value}" for key, value in details.items())
        self.seen[what] = self.seen.get(what, 0) + 1
        if "rejected" not in what or self.seen[what] <= MAX_REJECTED_LINES:
            self.lines.append(f"{now:8.3f} s  {what}  {text}".rstrip())
        for observer in self.observers:
            observer(what, now, **details)

    def write_record(self) -> None:
        """Write the record into the folder of the case."""
        text = "\n".join(self.lines).replace(self.folder.name, "TEMP")
        (self.case / "record.txt").write_text(text + "\n")

    # Start and end

    async def start(self, config: dict[str, Any], proxied: bool = False) -> None:
        """Start the platform and the minions, write ``config``, start the nodes."""
        await self.store_server.start(self.ip(0, 1), STORE_PORT)
        await self.cloud_server.start(self.ip(0, 1), CLOUD_PORT)
        await self.advisor_server.start(self.ip(0, 1), ADVISOR_PORT)
        for machine in self.machines.values():
            await self.boot(machine)
        self.tasks.append(asyncio.create_task(self._heartbeats()))
        self.tasks.append(asyncio.create_task(self._advance()))
        self.configure(config)
        for number, node in enumerate(self.nodes):
            store = f"{self.ip(0, 1)}:{STORE_PORT}"
            if proxied:
                node.proxy = Proxy((self.ip(0, 1), STORE_PORT))
                await node.proxy.start(self.ip(3, number + 1), STORE_PORT)
                store = f"{self.ip(3, number + 1)}:{STORE_PORT}"
            text = SETTINGS.format(
                name=node.name, ip=node.ip, zone=ZONES[number % 3], store=store,
                cloud=f"{self.ip(0, 1)}:{CLOUD_PORT}",
                advisor=f"{self.ip(0, 1)}:{ADVISOR_PORT}",
            )  # fmt: skip
            node.settings.write_text(text)
            self.start_node(node)

    def start_node(self, node: Node) -> None:
        """Start an entry process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        (role,) = deploy["roles"].values()
        environment = {
            **os.environ,
            "EBONYHUB_NODE_FILE": str(node.settings),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        log = (Path(self.folder.name) / f"{node.name}.log").open("ab")
        node.process = subprocess.Popen(
            shlex.split(role["run"]), cwd=ROOT, env=environment, stdout=log, stderr=log
        )
        log.close()
        self.note("node started", node=node.name)

    def log_of(self, node: Node) -> str:
        """Return what an entry process has logged."""
        return (Path(self.folder.name) / f"{node.name}.log").read_text()

    def leader(self) -> str:
        """Return the name of the node in the leader's key, empty without one."""
        item = self.store.items.get("eb/n/leader")
        if item is None:
            return ""
        raw = base64.b64decode(item.value)
        names = [node.name for node in self.nodes if node.name.encode() in raw]
        return names[0] if names else ""

    async def wait_ready(self, seconds: float = 30.0) -> bool:
        """Wait until all nodes are ready."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            answers = [
                await call(f"{node.ip}:{READY_PORT}", "GET", "/readiness", timeout=1.0)
                for node in self.nodes
            ]
            if all(answer is not None and answer[0] == 200 for answer in answers):
                self.note("all nodes are ready")
                return True
            await asyncio.sleep(0.2)
        return False

    async def stop(self) -> None:
        """End all processes and servers, and write the record."""
        for node in self.nodes:
            if node.process is not None and node.process.poll() is None:
                node.process.kill()
        for node in self.nodes:
            if node.process is not None:
                node.process.wait()
        for task in self.tasks:
            task.cancel()
        self.store_server.stop()
        self.cloud_server.stop()
        self.advisor_server.stop()
        for machine in self.machines.values():
            if machine.server is not None:
                machine.server.stop()
        for node in self.nodes:
            if node.proxy is not None:
                node.proxy.stop()
        others = asyncio.all_tasks() - {asyncio.current_task()}
        for task in others:
            task.cancel()
        await asyncio.gather(*others, return_exceptions=True)
        self.write_record()
        self._keep_logs()
        self.folder.cleanup()
        self.lock.close()

    def _keep_logs(self) -> None:
        """Copy the nodes' logs to the folder that KEEP_LOGS names, if it is set."""
        folder = os.environ.get("KEEP_LOGS")
        for node in self.nodes if folder else []:
            Path(folder or "", f"{node.name}.log").write_text(self.log_of(node))

    # Operator

    def configure(self, config: dict[str, Any]) -> None:
        """Write a configuration; the store's answer is its ack."""
        self.store.put("op/config", config)
        self.note("operator: configuration acknowledged", version=config["Version"])

    # Minions and machines

    async def boot(self, machine: Machine, ident: str = "") -> Minion:
        """Start a minion on a machine and register it, under ``ident`` if given."""
        self.counter += 1
        ident = ident or f"i-{self.counter:04d}{self.rng.randrange(16**4):04x}"
        machine.minion = minion = Minion(
            ident, machine.pool, machine.name, machine.rack, machine.zone,
            machine.address, self._note_run, dict(CAPACITY),
        )  # fmt: skip
        minion.has_ticket = self.has_ticket
        machine.server = Server(minion.handle)
        host, _, port = machine.address.rpartition(":")
        await machine.server.start(host, int(port))
        machine.state = "up"
        self.store.put(f"servers/{ident}", minion.entry())
        return minion

    def _note_run(self, what: str, **details: Any) -> None:
        self.note(f"minion: {what}", **details)

    def crash(self, machine: Machine) -> None:
        """Crash the minion of a machine; its channels are reset."""
        minion = machine.minion
        assert minion is not None and machine.server is not None
        self.note("TROUBLE: minion crashes", minion=minion.ident, machine=machine.name)
        minion.crash()
        machine.server.stop()
        machine.state, machine.minion = "down", None
        self.tasks.append(asyncio.create_task(self._forget(minion.ident)))

    def crash_for(self, machine: Machine, seconds: float) -> None:
        """Crash the minion of a machine; a new one starts there afterwards."""
        self.crash(machine)
        self.tasks.append(asyncio.create_task(self._come_back(machine, seconds)))

    def go_dark(self, machine: Machine, seconds: float) -> None:
        """Crash the minion of a machine, which answers nothing for ``seconds``.

        A new minion starts on the machine afterwards.
        """
        minion = machine.minion
        assert minion is not None
        self.note(
            "TROUBLE: minion goes dark", minion=minion.ident, machine=machine.name,
            seconds=seconds,
        )  # fmt: skip
        minion.crash()
        machine.state, machine.minion = "down", None
        self.tasks.append(asyncio.create_task(self._forget(minion.ident)))
        self.tasks.append(asyncio.create_task(self._light_up(machine, seconds)))

    async def _light_up(self, machine: Machine, seconds: float) -> None:
        await asyncio.sleep(seconds)
        assert machine.server is not None
        machine.server.stop()
        await self.boot(machine)
        assert machine.minion is not None
        self.note("minion is back", minion=machine.minion.ident, machine=machine.name)

    async def _forget(self, ident: str) -> None:
        # An entry is removed after three status report intervals of silence.
        await asyncio.sleep(3 * HEARTBEAT_SECONDS)
        self.store.remove(f"servers/{ident}")

    async def _heartbeats(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_SECONDS)
            for machine in self.machines.values():
                minion = machine.minion
                if minion is not None and minion.up:
                    self.store.put(f"servers/{minion.ident}", minion.entry())

    async def _advance(self) -> None:
        while True:
            for machine in self.machines.values():
                if machine.minion is not None:
                    machine.minion.advance()
            await asyncio.sleep(STEP_SECONDS)

    # Cloud

    async def cloud(self, request: Request) -> Answer:
        """Answer a call to the cloud."""
        await asyncio.sleep(0.004)
        if request.path == "/machines":
            rows = [self._machine_row(m) for m in self.machines.values()]
            return 200, {"Machines": rows, "NextPageToken": None}
        body = request.body
        machine = self.machines.get(body["Machine"])
        if machine is None:
            return 400, {}
        token = int(request.headers.get("x-fencing-token", "0"))
        if token < machine.token:
            return 409, {"Reason": "fence"}
        machine.token = token
        wave, pool = body.get("Wave"), body.get("Pool")
        if (wave is not None and wave in machine.waves) or (
            pool is not None and pool == machine.pool
        ):
            return 200, {}
        if machine.state != "up" or machine.minion is None:
            return 409, {"Reason": "busy"}
        self.note(
            "cloud: change", machine=machine.name, pool=pool, wave=wave,
            holder=request.headers.get("x-lease-holder"),
        )  # fmt: skip
        if wave is not None:
            machine.waves.add(wave)
        machine.minion.crash()
        self.store.remove(f"servers/{machine.minion.ident}")
        assert machine.server is not None
        machine.server.stop()
        machine.minion = None
        machine.state = "moving" if pool else "upkeep"
        machine.pool = pool or machine.pool
        seconds = MOVE_SECONDS if pool else UPKEEP_SECONDS
        self.tasks.append(asyncio.create_task(self._come_back(machine, seconds)))
        return 200, {}

    async def _come_back(self, machine: Machine, seconds: float) -> None:
        await asyncio.sleep(seconds)
        await self.boot(machine)

    def _machine_row(self, machine: Machine) -> dict[str, Any]:
        minion = machine.minion
        return {
            "Machine": machine.name, "Pool": machine.pool, "State": machine.state,
            "Zone": machine.zone, "Labels": ["a", machine.rack],
            "Capacity": dict(CAPACITY), "Id": minion.ident if minion else "",
        }  # fmt: skip

    # Advisor

    async def advise(self, request: Request) -> Answer:
        """Answer a call for advice: each minion that is named may run the step."""
        step, names = request.body["Step"], request.body["Workers"]
        await asyncio.sleep((DECISION_MS + PER_ITEM_MS * len(names)) / 1000)
        rows = []
        for name in names:
            ticket = f"{step}-{name}-{len(self.tickets)}"
            end = time.monotonic() + VALIDITY_MS / 1000
            self.tickets[ticket] = (step, name, end)
            rows.append([name, ticket])
        self.note("advisor: asked", step=step, minions=len(names))
        return 200, {"Good": rows, "ValidityMs": VALIDITY_MS}

    def has_ticket(self, minion: Minion, body: dict[str, Any]) -> bool:
        """Return whether a start carries a valid ticket, if its step demands one."""
        step = body["Task"].rpartition(".")[0]
        if step.partition(".")[0] not in self.advised_jobs:
            return True
        known = self.tickets.get(body.get("Ticket", ""))
        return (
            known is not None
            and known[:2] == (step, minion.ident)
            and time.monotonic() < known[2]
        )

    # Requesters

    async def request(
        self, node: Node, method: str, path: str, body: Any = None, quiet: bool = False
    ) -> tuple[int, Any] | None:
        """Make a requester's call to a node and record it."""
        sent = time.monotonic() - self.began
        answer = await call(f"{node.ip}:{FRONT_PORT}", method, path, HOST, body)
        if not quiet:
            status, data = answer if answer is not None else ("no answer", "")
            self.note(
                f"requester: {method}", path=path, node=node.name,
                sent=f"{sent:.3f}", answer=status, data=data,
            )  # fmt: skip
        return answer


HOST = "pule25.example"


def route(name: str, prefix: str, service: str, **more: Any) -> dict[str, Any]:
    """Return a route of a configuration."""
    return {
        "Name": name, "Host": HOST, "PathPrefix": prefix, "Kind": "unsafe",
        "TimeoutMs": 3000, "TargetLatencyMs": 600, "Priority": 0, "Service": service,
        "MaxAttempts": 3, "Stretch": 1.6, **more,
    }  # fmt: skip


def configuration(
    version: int, routes: list[dict[str, Any]], services: list[str]
) -> dict[str, Any]:
    """Return a configuration."""
    rows = [
        {
            "Name": name, "HealthPath": "/health", "MaxConnections": 64,
            "Protocol": "h1", "Tls": False, "RejectsOverload": False,
            "Standby": False,
        }
        for name in services
    ]  # fmt: skip
    limits = {
        "MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000,
        "IdleTimeoutMs": 15000,
    }  # fmt: skip
    return {"Version": version, "Routes": routes, "Services": rows, "Limits": limits}


def run_case(main: Callable[[], Coroutine[Any, Any, int]]) -> int:
    """Run a case; return its exit code, 2 if it ended by an error of its own."""
    try:
        return asyncio.run(main())
    except (Exception, KeyboardInterrupt):
        traceback.print_exc()
        return 2


def _claim_network() -> tuple[int, socket.socket]:
    """Claim a loopback network 127.N that no other run uses."""
    numbers = list(range(20, 250))
    random.SystemRandom().shuffle(numbers)
    for number in numbers:
        lock = socket.socket()
        try:
            lock.bind((f"127.{number}.254.253", 9))
        except OSError:
            lock.close()
            continue
        return number, lock
    raise RuntimeError("all loopback networks are in use")
