"""Stand-ins and processes that the scripts of the second review share.

The entry processes are started with the command of ``deploy/system.toml``. The store,
the minions and the cloud run in the script's own process, on loopback addresses of
their own. They use the project's stand-ins where these follow the users' pages.
"""

import asyncio
import json
import logging
import os
import random
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from blacksheep import Request, Response

from ebonyhub.http_client import (
    RequestHead,
    open_connection,
    request_once,
    send_and_receive,
)
from ebonyhub.ids import RackId
from ebonyhub.jobs.model import Resources
from ebonyhub.platform.workers import task_name
from ebonyhub.scheduling.model import RunOutcome
from ebonyhub.servers import build_server, run_server
from ebonyhub.settings import Listener
from soak.proxy import LinkMode, Proxy
from standins.fake_worker import FakeWorker
from standins.job_platform import (
    Handler,
    JsonApp,
    StoreServer,
    WorkerServer,
    reply,
)
from standins.memory_store import StoreCore
from standins.network import claim_network

ROOT = Path(__file__).resolve().parent.parent
SERVICE = "plans"
HOST = "plans.example"
PREFIX = "/plans/"
HEARTBEAT_SECONDS = 1.5
# A store entry lapses after three heartbeats of silence.
ENTRY_LAPSE_SECONDS = 3 * HEARTBEAT_SECONDS
STORE_PORT = 8621
CLOUD_PORT = 8620
FRONT_PORT = 8624
MINION_PORT = 8700
READY_PORT = 8622
INTERNAL_PORTS = [7060, 7075]
ZONES = ("ke-central-a", "ke-central-b", "ke-central-c")
# The bounds of kengele-hub as the users' page gives them.
BOUNDS: dict[str, Any] = {
    "SeedLagS": 3,
    "AddressReuseS": 2,
    "ContactMs": 3000,
    "AckTimeoutMs": 4000,
    "CatchUpS": 4,
    "DrainMs": 2000,
    "GraceS": 6,
    "LossSlackMs": 200,
    "ConfigApplyMs": 2000,
    "RollbackSlackMs": 250,
    "MaxStretchMs": 5000,
    "RecoveryS": 12,
    "MaxHoldMs": 10000,
    "StopTimeoutMs": 400,
    "GangTimeoutMs": 3000,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "early_ms": 250,
    "finish_s": 14,
    "status_s": 120,
    "RemotePenalty": 3,
    "CheckpointIntervalS": 1,
    "RestoreMs": 600,
    "NoticeMs": 4500,
    "MigrationS": 1.5,
    "MaintenanceS": 2,
    "RequireFencing": True,
    "LeaseMs": 3000,
    "ThawSlackMs": 300,
    "PaceMs": 100,
    "HarmMs": 4000,
}
CONTRACTS = [
    "base", "drain", "config", "cost", "recover", "sched", "platform", "advice",
    "upkeep", "sharing",
]  # fmt: skip
# Clock of a minion's life when it begins.
FIRST_CLOCK_MS = 1000
# Longer than any caller waits, so the answer is lost to it.
LOST_ANSWER_SECONDS = 8.0
# Capacity of a minion in thousandths of a core and in MB.
CAPACITY_CPU = 32000
CAPACITY_MB = 65536
# Rule LOST: for so long a job has nothing running.
IDLE_SECONDS = 3.0
# Time budget of a requester.
CALL_SECONDS = 3.0
RULE_HELD, RULE_BROKEN, NOT_RUN = 0, 1, 2


class Run:
    """One start of a work item as its minion saw it; times are monotonic seconds."""

    def __init__(self, minion: str, task: str, number: int, started: float) -> None:
        self.minion = minion
        self.task = task
        self.number = number
        self.started = started
        self.ended: float | None = None
        self.how = ""

    @property
    def job(self) -> str:
        """Return the id of the job."""
        return self.task.partition(".")[0]

    def runs_at(self, moment: float) -> bool:
        """Return whether the run existed at a time."""
        return self.started <= moment and (self.ended is None or self.ended > moment)


class Job:
    """A job that was accepted; ``items`` are the names of its work items."""

    def __init__(self, job: str, items: list[str], cpu: int) -> None:
        self.job = job
        self.items = items
        self.cpu = cpu


class Record:
    """The file that tells what was sent, answered and run."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("w")
        self.began = time.monotonic()
        self.runs: list[Run] = []

    def now(self) -> float:
        """Return the seconds since the start of the script."""
        return time.monotonic() - self.began

    def write(self, text: str) -> None:
        """Add a line with the time."""
        self.file.write(f"{self.now():9.3f} {text}\n")
        self.file.flush()

    def run_began(self, minion: str, task: str, number: int) -> None:
        """Note a start."""
        self.runs.append(Run(minion, task, number, time.monotonic()))
        self.write(f"minion {minion}: starts {task} run {number}")

    def run_ended(self, minion: str, task: str, number: int, how: str) -> None:
        """Note an end."""
        for run in reversed(self.runs):
            same = (run.minion, run.task, run.number) == (minion, task, number)
            if same and run.ended is None:
                run.ended, run.how = time.monotonic(), how
                break
        self.write(f"minion {minion}: ends {task} run {number} {how}")

    def stuck(self, jobs: list[Job], begin: float, end: float) -> list[Job]:
        """Return the jobs that rule LOST finds without a run from begin to end.

        Each has work items that have not ended ``done`` by then, and no run of the job
        existed in that time. The items of these jobs wait for no step or time.
        """
        found = []
        for job in jobs:
            runs = [run for run in self.runs if run.job == job.job]
            done = {
                run.task
                for run in runs
                if run.how == "done" and run.ended is not None and run.ended <= end
            }
            ran = any(
                run.started < end and (run.ended is None or run.ended > begin)
                for run in runs
            )
            if not ran and not done.issuperset(job.items):
                found.append(job)
        return found

    def overlaps(self, job: str) -> list[tuple[Run, Run, float]]:
        """Return the pairs of runs of one work item at the same time, and for how long.

        Both runs exist on minions that are up: a crash ends the runs of its minion.
        """
        now = time.monotonic()
        runs = [run for run in self.runs if run.job == job]
        found = []
        for index, first in enumerate(runs):
            for second in runs[index + 1 :]:
                together = min(first.ended or now, second.ended or now) - max(
                    first.started, second.started
                )
                if first.task == second.task and together > 0:
                    found.append((first, second, together))
        return found

    def most_used(self, jobs: list[Job], begin: float, end: float) -> int:
        """Return the highest use of the service from begin to end, in milli-cores."""
        cpu = {job.job: job.cpu for job in jobs}
        moments = [begin, end]
        moments += [run.started for run in self.runs if begin <= run.started <= end]
        return max(
            sum(cpu.get(run.job, 0) for run in self.runs if run.runs_at(moment))
            for moment in moments
        )


class Minion(WorkerServer):
    """A minion of the project's stand-in with a rack, a machine and heartbeats."""

    def __init__(
        self,
        name: str,
        rack: str,
        zone: str,
        listener: Listener,
        core: StoreCore,
        record: Record,
    ) -> None:
        super().__init__(name, SERVICE, listener, core)
        self.name = name
        self.zone = zone
        self.rack = rack
        self.machine = f"m-{name}"
        self.record = record
        # Entries reach the minion through a proxy, which ends or cuts its connections.
        self.proxy = Proxy((listener.address, listener.port))
        self.sequence = 0
        self.late_starts: list[asyncio.Task[None]] = []
        # Delay of a start that gets no answer; None to answer.
        self.late_seconds: float | None = None
        self.fake.capacity = Resources(CAPACITY_CPU, CAPACITY_MB, 0)
        self.fake.rack = RackId(rack)
        self.fake.on_start = self._note_start
        self.fake.on_end = self._note_end

    def _note_start(self, _: FakeWorker, task: Any, number: int) -> None:
        self.record.run_began(self.name, task_name(task), number)

    def _note_end(
        self, fake: FakeWorker, task: Any, number: int, outcome: RunOutcome
    ) -> None:
        how = outcome.value if fake.up else "crash"
        self.record.run_ended(self.name, task_name(task), number, how)

    def register(self) -> None:
        """Write the minion's entry into the store."""
        self.sequence += 1
        entry = {
            "Service": SERVICE,
            "Address": self.advertised,
            "Zone": self.zone,
            "Version": "v1",
            "Slots": 8,
            "State": "ready",
            "Sequence": self.sequence,
            "ColdRemainingMs": 0,
            "born": self.fake.born_ms,
            "Capacity": {"Cpu": CAPACITY_CPU, "MemMb": CAPACITY_MB, "Gpu": 0},
            "Labels": ["a", self.rack],
            "Machine": self.machine,
        }
        self.core.put(f"servers/{self.name}", json.dumps(entry).encode())

    async def beat(self) -> None:
        """Write the entry at each heartbeat while the process is up."""
        while True:
            await asyncio.sleep(HEARTBEAT_SECONDS)
            if self.fake.up:
                self.register()

    def start_clock(self) -> None:
        """Let the minion's clock begin anew, as in each life of a minion."""
        self.fake.clock_offset_ms = FIRST_CLOCK_MS - int(time.monotonic() * 1000)

    async def start(self, data: dict[str, Any]) -> Response:
        """Start a run, or leave the order unanswered and carry it out late."""
        late = self.late_seconds
        if late is None:
            return await super().start(data)
        self.late_seconds = None
        name = f"{data['Task']} run {data['Run']}"
        self.record.write(f"minion {self.name}: leaves the start of {name} unanswered")
        self.late_starts.append(asyncio.create_task(self._start_late(late, data)))
        await asyncio.sleep(LOST_ANSWER_SECONDS)
        return reply(503, {})

    async def _start_late(self, seconds: float, data: dict[str, Any]) -> None:
        await asyncio.sleep(seconds)
        self.record.write(
            f"minion {self.name}: carries out the start of {data['Task']} "
            f"run {data['Run']}, {seconds} s late; up: {self.fake.up}"
        )
        if self.fake.up:
            answer = await super().start(data)
            self.record.write(
                f"minion {self.name}: would have answered {answer.status}"
            )

    async def open(self, address: str) -> None:
        """Listen on the address that the entry of the minion gives."""
        self.advertised = f"{address}:{MINION_PORT}"
        await self.proxy.start(address, MINION_PORT)

    async def end(self, seconds: float, silent: bool = False) -> None:
        """Crash, and start again under the same id after so many seconds.

        A silent minion, whose machine is down, does not close its connections.
        """
        how = "silent" if silent else "its connections are reset"
        self.record.write(f"minion {self.name}: crashes for {seconds} s, {how}")
        if silent:
            self.proxy.set_mode(LinkMode.SILENT)
        else:
            await self.proxy.stop()
        self.crash()
        lapse = min(seconds, ENTRY_LAPSE_SECONDS)
        # Its store entry lapses after three heartbeats.
        await asyncio.sleep(lapse)
        if lapse < seconds:
            self.core.delete(f"servers/{self.name}")
            await asyncio.sleep(seconds - lapse)
        self.fake.restart(int(time.time() * 1000))
        self.start_clock()
        if silent:
            self.proxy.reset()
            self.proxy.set_mode(LinkMode.PASS)
        else:
            await self.proxy.start(self.advertised.partition(":")[0], MINION_PORT)
        self.register()
        self.record.write(f"minion {self.name}: is up again")

    async def crash_behind_cut(self, seconds: float) -> None:
        """Crash while the minion is cut off, and start again under the same id."""
        self.record.write(f"minion {self.name}: crashes behind the cut")
        self.crash()
        await asyncio.sleep(seconds)
        self.fake.restart(int(time.time() * 1000))
        self.start_clock()
        self.register()
        self.record.write(f"minion {self.name}: is up again behind the cut")

    def cut(self) -> None:
        """Cut the minion off from all entries; it runs on."""
        self.record.write(f"minion {self.name}: is cut off from the entries")
        self.proxy.set_mode(LinkMode.SILENT)

    def heal(self) -> None:
        """End the cut; connections that lost bytes stay silent."""
        self.record.write(f"minion {self.name}: is reached again")
        self.proxy.set_mode(LinkMode.PASS)


class Cloud:
    """The cloud's API: lists the machines; there is one pool, so nothing moves."""

    def __init__(self, listener: Listener, minions: list[Minion]) -> None:
        self.minions = minions
        handlers: dict[str, Handler] = {
            "GET /machines": self.list,
            "POST /machine-move": self.refuse,
            "POST /machine-upkeep": self.refuse,
        }
        self.server = build_server(JsonApp(handlers), listener)

    def list(self, request: Request) -> Response:
        """Answer with all machines on one page."""
        rows = [
            {
                "Machine": minion.machine,
                "Pool": SERVICE,
                "State": "up" if minion.fake.up else "down",
                "Zone": minion.zone,
                "Labels": ["a", minion.rack],
                "Capacity": {"Cpu": CAPACITY_CPU, "MemMb": CAPACITY_MB, "Gpu": 0},
                "Id": minion.name if minion.fake.up else "",
            }
            for minion in self.minions
        ]
        return reply(200, {"Machines": rows})

    def refuse(self, request: Request) -> Response:
        """Refuse a change, which a platform with one pool has no reason to get."""
        return reply(409, {"Reason": "busy"})


class Answer:
    """What a requester got: a status (0 for none) and a body."""

    def __init__(self, status: int, body: bytes) -> None:
        self.status = status
        try:
            self.data = json.loads(body) if body else {}
        except ValueError:
            self.data = {}


class Rig:
    """Entry processes and stand-ins of a small deployment."""

    def __init__(self, record: Record, entries: int = 3, minions: int = 8) -> None:
        self.record = record
        self.network = claim_network()
        self.platform_ip = self.network.address(0, 1)
        self.core = StoreCore(time.monotonic)
        self.store = StoreServer(self.core, Listener(self.platform_ip, STORE_PORT))
        self.minions = [
            Minion(
                f"i-{number:02d}", f"r{number // 4 + 1}", ZONES[number % 3],
                Listener(self.network.address(2, number + 1), MINION_PORT),
                self.core, record,
            )
            for number in range(minions)
        ]  # fmt: skip
        self.cloud = Cloud(Listener(self.platform_ip, CLOUD_PORT), self.minions)
        self.names = [f"front-{number}" for number in range(1, entries + 1)]
        self.directory = tempfile.TemporaryDirectory()
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.tasks: list[asyncio.Task[Any]] = []
        # Longest time for which the stand-ins were busy with something else.
        self.longest_delay = 0.0
        self.route: dict[str, Any] = {
            "Name": "r-plans", "Host": HOST, "PathPrefix": PREFIX, "Kind": "unsafe",
            "TimeoutMs": 3000, "TargetLatencyMs": 600, "Priority": 0,
            "Service": SERVICE, "MaxAttempts": 3, "Stretch": 2.0,
        }  # fmt: skip

    def ip(self, name: str) -> str:
        """Return the address of an entry."""
        return self.network.address(1, self.names.index(name) + 1)

    def settings(self, name: str) -> dict[str, Any]:
        """Return the settings of an entry, as the users' page describes them."""
        ip, index = self.ip(name), self.names.index(name)
        return {
            "Node": name, "Role": "entry", "MachineClass": "front",
            "Serves": ["front"], "Ip": ip, "Zone": ZONES[index % 3],
            "Region": "ke-central", "Zones": dict.fromkeys(ZONES, "ke-central"),
            "Listen": {"Front": f"{ip}:{FRONT_PORT}", "Ready": f"{ip}:{READY_PORT}"},
            "InternalPortRange": INTERNAL_PORTS, "Seeds": [], "Bootstrap": True,
            "LossCounts": False,
            "Limits": {
                "CpuShare": 0.537, "Cores": 2, "MemoryMb": 300,
                "FileDescriptors": 4100, "LinkMbps": 1000.0, "DiskMb": 0,
            },
            "Discovery": "platform", "Entry": "vip", "HeartbeatMs": 1500,
            "Contracts": CONTRACTS,
            "FaultTolerance": {"Machines": 1, "Zones": 0, "Regions": 0},
            "Bounds": BOUNDS, "Orders": "call",
            "platform": {
                "Address": f"{self.platform_ip}:{STORE_PORT}", "form": "kv",
                "WritesPerS": 400, "ReadsPerS": 2000, "HistoryS": 20,
                "ValueBytes": 1048576, "MinTtlMs": 1000,
            },
            "Cloud": {
                "Address": f"{self.platform_ip}:{CLOUD_PORT}", "RatePerS": 64.0,
                "Duties": [], "DutyPerS": 64.0,
            },
        }  # fmt: skip

    async def start(self) -> None:
        """Start the stand-ins and the entries; wait until all entries are ready."""
        logging.getLogger("uvicorn.error").setLevel(logging.CRITICAL)
        servers = [self.store.server, self.cloud.server]
        servers += [minion.server for minion in self.minions]
        self.tasks = [asyncio.create_task(run_server(server)) for server in servers]
        async with asyncio.timeout(20):
            while not all(server.started for server in servers):
                await asyncio.sleep(0.01)
        for number, minion in enumerate(self.minions, start=1):
            minion.start_clock()
            await minion.open(self.network.address(3, number))
            minion.register()
            self.tasks.append(asyncio.create_task(minion.advance_clock()))
            self.tasks.append(asyncio.create_task(minion.beat()))
        self.tasks.append(asyncio.create_task(self._measure_delay()))
        self.configure(1)
        for name in self.names:
            self.start_entry(name)
        async with asyncio.timeout(30):
            while not all([await self.is_ready(name) for name in self.names]):
                await asyncio.sleep(0.1)
        self.record.write("all entries are ready")
        # The leader needs a moment to hear from all minions.
        await asyncio.sleep(4.0)

    async def _measure_delay(self) -> None:
        while True:
            before = time.monotonic()
            await asyncio.sleep(0.02)
            self.longest_delay = max(
                self.longest_delay, time.monotonic() - before - 0.02
            )

    def configure(self, version: int) -> None:
        """Write the operators' configuration."""
        service = {"Name": SERVICE, "MaxConnections": 64, "Standby": False}
        document = {
            "Version": version, "Routes": [self.route], "Services": [service],
            "Limits": {},
        }  # fmt: skip
        self.core.put("op/config", json.dumps(document).encode())

    def start_entry(self, name: str) -> None:
        """Start an entry with the command of the deploy file."""
        folder = Path(self.directory.name)
        path = folder / f"{name}.yaml"
        path.write_text(json.dumps(self.settings(name)))
        log = (folder / f"{name}.log").open("ab")
        self.processes[name] = subprocess.Popen(
            ["python3", "deploy/entry.py"],
            cwd=ROOT,
            env={**os.environ, "EBONYHUB_NODE_FILE": str(path)},
            stdout=log,
            stderr=log,
        )
        log.close()

    def log_of(self, name: str) -> str:
        """Return the log of an entry."""
        return (Path(self.directory.name) / f"{name}.log").read_text(errors="replace")

    def leader(self) -> str:
        """Return the entry that has logged the highest token of a leader."""
        newest = (0, self.names[0])
        for name in self.names:
            for line in self.log_of(name).splitlines():
                if "E2001" in line:
                    token = int(line.rpartition("token=")[2].split()[0])
                    newest = max(newest, (token, name))
        return newest[1]

    def note_events(self, *codes: str) -> None:
        """Copy log lines of the entries into the record, for the reader only."""
        for name in self.names:
            for line in self.log_of(name).splitlines():
                if any(code in line for code in codes):
                    self.record.write(f"log {name}: {line[:240]}")

    def signal_entry(self, name: str, number: signal.Signals) -> None:
        """Send a signal to an entry that this script has started."""
        self.record.write(f"entry {name}: gets {number.name}")
        self.processes[name].send_signal(number)

    async def is_ready(self, name: str) -> bool:
        """Return whether the entry says that it accepts callers."""
        answer = await request_once(
            self.ip(name), READY_PORT, "GET", "/readiness", timeout_seconds=1.0
        )
        return bool(answer.is_ok() and answer.ok.status == 200)

    async def ask(
        self, name: str, method: str, path: str, body: Any = None, quiet: bool = False
    ) -> Answer:
        """Send a requester's call to an entry; status 0 if it gets no answer."""
        encoded = b"" if body is None else json.dumps(body).encode()
        headers = [
            (b"Host", HOST.encode()),
            (b"Content-Type", b"application/json"),
            (b"Content-Length", str(len(encoded)).encode()),
            (b"X-Deadline-Ms", b"3000"),
            (b"Connection", b"close"),
        ]
        head = RequestHead(method.encode(), (PREFIX + path).encode(), headers)
        result: Any = None
        try:
            async with asyncio.timeout(CALL_SECONDS):
                opened = await open_connection(self.ip(name), FRONT_PORT, CALL_SECONDS)
                if opened.is_ok():
                    result = await send_and_receive(opened.ok, head, encoded)
                    opened.ok.close()
        except TimeoutError:
            result = None
        if result is None or result.is_error():
            answer = Answer(0, b"")
        else:
            answer = Answer(result.ok.status, result.ok.body)
        if not quiet:
            self.record.write(
                f"requester: {method} {path} at {name}: {answer.status} {answer.data}"
            )
        return answer

    async def submit(
        self, job: str, body: dict[str, Any], retries: int = 4
    ) -> Job | None:
        """Submit a job as a requester does, at another entry after each failure.

        Returns None if it was not accepted.
        """
        order = random.sample(self.names, len(self.names))
        for attempt in range(retries + 1):
            name = order[attempt % len(order)]
            answer = await self.ask(name, "POST", job, body)
            if 200 <= answer.status < 300:
                row = body["Steps"][0]
                items = [f"{job}.0.0.{index}" for index in range(row["Count"])]
                return Job(job, items, row["Cpu"])
            await asyncio.sleep(0.2)
        return None

    async def check_lost(self, jobs: list[Job], end_of_traffic: float) -> str:
        """Wait until finish_s after the traffic, watch 3 s, and apply rule LOST."""
        begin = end_of_traffic + BOUNDS["finish_s"]
        end = begin + IDLE_SECONDS
        while time.monotonic() < end + 0.2:
            await asyncio.sleep(0.05)
        stuck = self.record.stuck(jobs, begin, end)
        used = self.record.most_used(jobs, begin, end)
        up = [minion for minion in self.minions if minion.fake.up]
        room = CAPACITY_CPU * len(up)
        self.record.write(
            f"from finish_s on for {IDLE_SECONDS} s: {len(stuck)} of {len(jobs)} jobs "
            f"had nothing running; the service used {used} of {room} milli-cores"
        )
        for job in stuck[:5]:
            answer = await self.ask(self.names[0], "GET", job.job)
            if not answer.status:
                await self.ask(self.names[1], "GET", job.job)
        if not stuck or 2 * used >= room:
            return ""
        return (
            f"LOST: {len(stuck)} of {len(jobs)} accepted jobs had nothing running for "
            f"{IDLE_SECONDS} s, {BOUNDS['finish_s']} s after the end of the traffic"
        )

    async def close(self) -> None:
        """End all processes that were started, and the stand-ins."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        for minion in self.minions:
            await minion.proxy.stop()
        servers = [self.store.server, self.cloud.server]
        for server in [*servers, *(minion.server for minion in self.minions)]:
            server.should_exit = server.force_exit = True
        for task in self.tasks[len(servers) + len(self.minions) :]:
            task.cancel()
        await asyncio.wait(self.tasks, timeout=2.0)
        self.directory.cleanup()
        self.network.close()


def job_id(number: int) -> str:
    """Return the id of a job of this script, 16 hexadecimal digits."""
    return f"{number:016x}"


def step(
    count: int, milliseconds: int, cpu: int, memory: int, **fields: Any
) -> dict[str, Any]:
    """Return a job with one step of equal work items that take so long each."""
    row = {
        "Count": count, "Cpu": cpu, "MemMb": memory, "EstimatedMs": milliseconds,
        **fields,
    }  # fmt: skip
    return {"Spec": str(milliseconds), "Steps": [row]}


def has_trouble() -> bool:
    """Return whether the disruption is to be caused."""
    return os.environ.get("TROUBLE", "1") != "0"


def main(
    folder: str, case: Callable[[Rig, Record], Awaitable[str]], **shape: Any
) -> None:
    """Run a case; it returns what broke the rule, or an empty text.

    Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
    """
    record = Record(Path(folder) / "record.txt")
    record.write(f"disruption: {'yes' if has_trouble() else 'no'}")
    code = NOT_RUN
    try:
        code = asyncio.run(_run(record, case, shape))
    except Exception as error:
        record.write(f"the case could not run: {error!r}")
    record.write(f"exit {code}")
    record.file.close()
    print(f"exit {code}")
    sys.exit(code)


async def _run(
    record: Record, case: Callable[[Rig, Record], Awaitable[str]], shape: dict[str, Any]
) -> int:
    rig = Rig(record, **shape)
    try:
        async with asyncio.timeout(110):
            await rig.start()
            found = await case(rig, record)
    finally:
        await rig.close()
    record.write(f"longest delay of the stand-ins: {rig.longest_delay:.3f} s")
    record.write(f"rule broken: {found}" if found else "the rule held")
    print(f"rule broken: {found}" if found else "the rule held")
    return RULE_BROKEN if found else RULE_HELD
