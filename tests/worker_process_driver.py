"""Runs the real controller in virtual time, with workers that restart under their ids.

Calls pass through the real worker client. A test decides for each whether it is
answered, lost, carried out late or carried out twice, and by which process.
"""

import asyncio
import json
import random
import selectors
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from math import inf

import msgspec
from expression import Error, Ok
from prometheus_client import CollectorRegistry

from ebonyhub.cluster.leadership import (
    ENTRY_ADDRESS_PREFIX,
    LEADER_KEY,
    LeaderRecord,
    Term,
)
from ebonyhub.cluster.mirror import JobMirror
from ebonyhub.errors import ErrorKind
from ebonyhub.fleet.model import Vm
from ebonyhub.http_client import ExchangeError, SmallResponse
from ebonyhub.ids import (
    EntryId,
    JobId,
    LeaderToken,
    RackId,
    Revision,
    StoreLease,
    TaskId,
    WorkerId,
)
from ebonyhub.jobs.model import AcceptedJob, JobSpec, Resources, StepSpec
from ebonyhub.jobs.records import JobState, accepted_key, cancelled_key
from ebonyhub.metrics import Metrics
from ebonyhub.platform.workers import parse_task_name, task_name
from ebonyhub.scheduling.controller import Controller
from ebonyhub.scheduling.model import OrderFailure, RunOutcome, StartOrder
from ebonyhub.scheduling.runs import Run
from standins.emulator import MAX_ATTEMPTS, QUEUE, SERVICE, one_queue_configuration
from standins.fake_worker import FakeWorker
from standins.memory_store import MemoryStore, StoreCore
from standins.oracle import GuaranteeViolation, Oracle

# Unix time in seconds at the origin of the virtual clock.
EPOCH_SECONDS = 1_700_000_000
# Least difference of two readings of the virtual clock.
CLOCK_STEP_SECONDS = 1e-7
# Time of a call to its worker, and of the answer.
TRANSIT_SECONDS = 0.001
# Interval in which workers end runs that are due.
WORKER_STEP_SECONDS = 0.01
VM_LIST_INTERVAL_SECONDS = 0.5
LEADER_LEASE_SECONDS = 1.2
REASONS = {
    OrderFailure.FENCED: "fence",
    OrderFailure.OLD_RUN: "old",
    OrderFailure.LATE: "late",
}


class SkippingSelector(selectors.SelectSelector):
    """Advances the virtual time of its loop instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 1000.0

    def select(self, timeout=None):
        """Return what is ready; without anything, the timeout has passed."""
        ready = super().select(0)
        if not ready and timeout:
            self.now += timeout
        return ready


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop on which sleeping takes no time."""

    def __init__(self) -> None:
        self.skipping = SkippingSelector()
        super().__init__(self.skipping)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self.skipping.now


class VirtualClock:
    """The clock of a virtual loop; no two readings are equal, as on a real one."""

    def __init__(self, loop: VirtualTimeLoop) -> None:
        self.loop = loop
        self.last = 0.0

    def monotonic(self) -> float:
        """Return the virtual time."""
        self.last = max(self.loop.time(), self.last + CLOCK_STEP_SECONDS)
        return self.last

    def wall(self) -> float:
        """Return the virtual time as Unix time."""
        return EPOCH_SECONDS + self.loop.time()


class Fate(Enum):
    """What becomes of a call."""

    ANSWERED = "answered"
    # Carried out at once, the answer is lost.
    LOST = "lost"
    # Unanswered, and carried out later by the process that is there then.
    LATE = "late"
    # Carried out at once and once more later, without an answer.
    DOUBLED = "doubled"
    # Never carried out.
    DROPPED = "dropped"


@dataclass
class FateRule:
    """Decides the fate of calls to ``target`` from now on, ``count`` of them."""

    target: str
    fate: Fate
    delay: float = 0.0
    count: float = inf
    # Worker to which the calls go; any if empty.
    worker: str = ""


@dataclass
class Call:
    """A call that a worker process has carried out."""

    at: float
    worker: str
    born_ms: int
    target: str
    body: dict
    status: int
    late: bool = False


@dataclass
class Host:
    """The address of a worker, and the process that listens there."""

    fake: FakeWorker
    address: str
    # Counts the processes; a connection leads to one of them.
    epoch: int = 0
    # The machine answers nothing and closes no connection.
    dark: bool = False
    # Packets of the leader do not arrive, while the worker goes on.
    cut: bool = False

    @property
    def name(self) -> WorkerId:
        """Return the worker's id."""
        return self.fake.worker


@dataclass(eq=False)
class Connection:
    """A connection to one process of a host."""

    epoch: int


class Network:
    """Carries calls to the hosts, each with its fate."""

    def __init__(self, loop: VirtualTimeLoop, oracle: Oracle) -> None:
        self.loop = loop
        self.oracle = oracle
        self.hosts: dict[str, Host] = {}
        self.rules: list[FateRule] = []
        self.calls: list[Call] = []
        self.violations: list[str] = []
        # Called after each call that a process has carried out.
        self.on_call: Callable[[Call], None] = lambda _: None

    def guard(self, check: Callable[..., object]) -> Callable[..., None]:
        """Return a check that notes violations instead of raising them."""

        def guarded(*args) -> None:
            try:
                check(*args)
            except GuaranteeViolation as violation:
                self.violations.append(f"{self.loop.time() - 1000:.3f} {violation}")

        return guarded

    def take_rule(self, host: Host, target: str) -> FateRule:
        """Return the fate of the next call to a target."""
        for rule in self.rules:
            fits = rule.target == target and rule.worker in ("", host.name)
            if fits and rule.count > 0:
                rule.count -= 1
                return rule
        return FateRule(target, Fate.ANSWERED)

    def carry_out(self, host: Host, target: str, body: dict, late: bool = False):
        """Let the present process carry out a call; return status and answer."""
        fake, now = host.fake, self.loop.time()
        if not fake.up:
            return None
        token = LeaderToken(body["FencingToken"])
        if target == "/hold":
            report = fake.poll(token, body["AckCursor"], body.get("DeadlineMs"), now)
            if not isinstance(report, OrderFailure):
                self.guard(self.oracle.record_acknowledgement)(
                    fake, fake.acknowledged_sequence
                )
            result = _hold_answer(fake, report, now)
        elif target == "/run-start":
            order = StartOrder(
                parse_task_name(body["Task"]), body["Run"], body["Spec"],
                body["DeadlineMs"], token,
            )  # fmt: skip
            duration = int(body["Spec"])
            failure = fake.start(order, now, duration, RunOutcome.DONE)
            result = _order_answer(fake, failure, now)
        else:
            task = parse_task_name(body["Task"])
            failure = fake.stop(task, body["Run"], token, now)
            result = _order_answer(fake, failure, now)
        call = Call(now, host.name, fake.born_ms, target, body, result[0], late)
        self.calls.append(call)
        self.on_call(call)
        return result

    def carry_out_later(self, delay: float, host: Host, target: str, body: dict):
        """Let whichever process is there after a delay carry out a call."""
        self.loop.call_later(delay, self.carry_out, host, target, body, True)


def _order_answer(fake, failure, now):
    answer = {"ClockMs": fake.clock_ms(now)}
    if failure is None:
        return 200, answer
    return 409, answer | {"Reason": REASONS[failure]}


def _hold_answer(fake, report, now):
    if isinstance(report, OrderFailure):
        return _order_answer(fake, report, now)
    running = [
        [task_name(r.task), r.number, r.checkpoint, r.percent, r.usage]
        for r in report.running
    ]
    ended = [
        [e.sequence, task_name(e.task), e.number, e.outcome.value, e.checkpoint]
        for e in report.ended
    ]
    answer = {"ClockMs": report.clock_ms, "born": report.born_ms}
    return 200, answer | {"Running": running, "Finished": ended}


class Session:
    """Takes the place of HttpSession: connections to the hosts of a network."""

    def __init__(self, network: Network, address: str, max_connections: int) -> None:
        self.network = network
        self.host = network.hosts[address]
        self.idle: list[Connection] = []

    def has_idle_connection(self) -> bool:
        """Return whether a connection is open, as far as this end knows."""
        return any(self._seems_open(connection) for connection in self.idle)

    def _seems_open(self, connection: Connection) -> bool:
        # A machine that goes dark closes no connection. The next process resets one
        # only when something arrives on it.
        return connection.epoch == self.host.epoch or self.host.dark

    def close(self) -> None:
        """Close all idle connections."""
        self.idle.clear()

    async def call(self, method, target, body, timeout_seconds, headers=()):
        """Make a call; its fate is that of the network's rules."""
        name = target.decode()
        self.idle = [c for c in self.idle if self._seems_open(c)]
        connection = self.idle.pop() if self.idle else None
        await asyncio.sleep(TRANSIT_SECONDS)
        if connection is None:
            if self.host.dark or self.host.cut:
                return await self._unanswered(timeout_seconds, False)
            if not self.host.fake.up:
                return Error(ExchangeError(ErrorKind.CONNECT_FAILED, False))
            connection = Connection(self.host.epoch)
        data = json.loads(body)
        rule = self.network.take_rule(self.host, name)
        if rule.fate in (Fate.LATE, Fate.DOUBLED):
            self.network.carry_out_later(rule.delay, self.host, name, data)
        if self.host.cut or self.host.dark or rule.fate in (Fate.LATE, Fate.DROPPED):
            return await self._unanswered(timeout_seconds, True)
        if connection.epoch != self.host.epoch:
            return Error(ExchangeError(ErrorKind.CONNECT_FAILED, True))
        result = await self._carry_out(connection, name, data)
        lost = rule.fate in (Fate.LOST, Fate.DOUBLED) or self.host.cut
        if lost or self.host.dark:
            return await self._unanswered(timeout_seconds, True)
        if result is None or connection.epoch != self.host.epoch:
            return Error(ExchangeError(ErrorKind.CONNECT_FAILED, True))
        await asyncio.sleep(TRANSIT_SECONDS)
        self.idle.append(connection)
        return Ok(SmallResponse(result[0], (), json.dumps(result[1]).encode()))

    async def _carry_out(self, connection: Connection, name: str, data: dict):
        """Let the process carry out a call; a poll waits there for an end."""
        host, loop = self.host, self.network.loop
        end = loop.time() + data.get("WaitMs", 0) / 1000
        while True:
            if connection.epoch != host.epoch:
                return None
            result = self.network.carry_out(host, name, data)
            ended = result is None or result[1].get("Finished") or result[0] != 200
            if ended or loop.time() >= end:
                return result
            await asyncio.sleep(WORKER_STEP_SECONDS)

    @staticmethod
    async def _unanswered(timeout_seconds: float, written: bool):
        await asyncio.sleep(timeout_seconds)
        return Error(ExchangeError(ErrorKind.BACKEND_TIMEOUT, written))


class SlowStore(MemoryStore):
    """A store whose commits take a while."""

    commit_seconds = 0.0

    async def commit(self, transaction):
        """Apply a transaction after a while."""
        await asyncio.sleep(self.commit_seconds)
        return await super().commit(transaction)


@dataclass
class Platform:
    """A store, workers and the controller of the present leader."""

    loop: VirtualTimeLoop
    worker_count: int = 2
    hosts: dict[str, Host] = field(default_factory=dict)
    jobs: dict[JobId, AcceptedJob] = field(default_factory=dict)
    # VMs that the cloud lists; None if the list is not read.
    vms: list[Vm] | None = None

    def __post_init__(self) -> None:
        """Create the workers; each writes its entry."""
        self.clock = VirtualClock(self.loop)
        self.oracle = Oracle(self.loop.time, MAX_ATTEMPTS)
        self.network = Network(self.loop, self.oracle)
        self.core = StoreCore(self.loop.time)
        self.store = SlowStore(self.core)
        self.controller: Controller | None = None
        self.background: list[asyncio.Task] = []
        for number in range(self.worker_count):
            self._add_host(f"w{number}", f"127.0.0.1:{1001 + number}")

    def _add_host(self, name: str, address: str) -> None:
        fake = FakeWorker(
            WorkerId(name), SERVICE, Resources(1000, 8000, 0), RackId("r"),
            self.wall_ms, clock_offset_ms=100_000_000,
        )  # fmt: skip
        oracle, guard = self.oracle, self.network.guard
        fake.on_start = guard(oracle.check_start)
        fake.on_end = guard(oracle.record_end)
        fake.on_lease_expired = guard(oracle.record_lease_expiry)
        self.hosts[name] = self.network.hosts[address] = Host(fake, address)
        self.write_entry(name)

    @property
    def wall_ms(self) -> int:
        """Return the Unix time in ms."""
        return int(self.clock.wall() * 1000)

    @property
    def now(self) -> float:
        """Return the virtual time in seconds."""
        return self.loop.time()

    def write_entry(self, name: str) -> None:
        """Write a worker's entry into the store."""
        host = self.hosts[name]
        entry = {
            "Service": SERVICE, "Address": host.address, "Zone": "z", "Version": "v1",
            "Slots": 8, "State": "ready", "Sequence": 1, "ColdRemainingMs": 0,
            "born": host.fake.born_ms, "Labels": ["a", "r"], "Machine": f"vm-{name}",
            "Capacity": {"Cpu": 1000, "MemMb": 8000, "Gpu": 0},
        }  # fmt: skip
        self.core.put(f"servers/{name}", json.dumps(entry).encode())

    def remove_entry(self, name: str) -> None:
        """Remove a worker's entry from the store."""
        self.core.delete(f"servers/{name}")

    # Leadership

    async def lead(self) -> None:
        """Begin a term with the records of the store."""
        record = LeaderRecord(EntryId("e"), "127.0.0.1:1", 1)
        self.core.put(LEADER_KEY, msgspec.msgpack.encode(record))
        token = LeaderToken(self.core.revision)
        mirror = JobMirror()
        mirror.retain_records(True)
        items = [
            item
            for item in self.core.list_prefix("eb/")
            if not item.key.startswith((LEADER_KEY, ENTRY_ADDRESS_PREFIX))
        ]
        mirror.apply_listing(items, Revision(self.core.revision))
        self.controller = Controller(
            Term(token, StoreLease(1), inf), self.store, mirror, None, self.clock,
            random.Random(1), Metrics(CollectorRegistry()), None, 120.0, inf,
            lambda: None,
        )  # fmt: skip
        self.controller.configure(one_queue_configuration())
        self.term_task = asyncio.create_task(self.controller.run())
        await asyncio.sleep(0.02)

    async def end_term(self) -> None:
        """Kill the leader; calls that it has sent are not taken back."""
        self.term_task.cancel()
        await asyncio.gather(self.term_task, return_exceptions=True)
        self.controller = None

    def set_store(self, up: bool) -> None:
        """Let the store go away for the leader, or come back."""
        self.store.down = not up
        if self.controller is not None:
            valid_until = inf if up else self.now + LEADER_LEASE_SECONDS
            self.controller.term.valid_until = valid_until

    # Workers

    def crash(self, name: str, dark: bool = False) -> None:
        """End a worker's process; a dark machine closes no connection."""
        host = self.hosts[name]
        self.oracle.record_crash(host.fake)
        host.fake.crash()
        host.dark = dark
        if not dark:
            host.epoch += 1

    def restart(self, name: str, clock_change_ms: int) -> None:
        """Start the next process, whose clock is ahead of the former one's."""
        host = self.hosts[name]
        offset = host.fake.clock_offset_ms
        host.fake.restart(self.wall_ms)
        host.fake.clock_offset_ms = offset + clock_change_ms
        host.epoch += 1
        host.dark = False

    async def advance_workers(self) -> None:
        """End the runs that are due."""
        while True:
            for host in self.hosts.values():
                host.fake.advance(self.now)
            await asyncio.sleep(WORKER_STEP_SECONDS)

    async def list_vms(self) -> None:
        """Pass the list of VMs to the leader, as the fleet controller does."""
        while True:
            requested_at = self.now
            await asyncio.sleep(VM_LIST_INTERVAL_SECONDS)
            if self.controller is not None and self.vms is not None:
                self.controller.scheduler.expire_workers_without_vm(
                    self.vms, self.now, self.wall_ms, requested_at
                )
                self.controller.wake.set()

    async def __aenter__(self) -> "Platform":
        """Start the workers and the first leader."""
        parts = [self.advance_workers(), self.list_vms()]
        self.background = [asyncio.create_task(part) for part in parts]
        await self.lead()
        await asyncio.sleep(1.0)
        return self

    async def __aexit__(self, *_) -> None:
        """End the leader and the workers."""
        if self.controller is not None:
            await self.end_term()
        for task in self.background:
            task.cancel()
        await asyncio.gather(*self.background, return_exceptions=True)

    # Jobs

    def submit(self, seconds: float, count: int = 1) -> JobId:
        """Accept a job of tasks that take ``seconds`` and a whole worker each."""
        job = JobId(f"{len(self.jobs) + 1:016x}")
        step = StepSpec(count, Resources(1000, 500), int(seconds * 1000))
        spec = JobSpec(str(int(seconds * 1000)), (step,))
        accepted = AcceptedJob(job, QUEUE, SERVICE, MAX_ATTEMPTS, self.wall_ms, spec)
        self.jobs[job] = accepted
        self.oracle.record_submission(job, spec)
        self.core.put(accepted_key(job), msgspec.msgpack.encode(accepted))
        self.controller.mirror.apply(self.core.items[accepted_key(job)])
        self.controller.handle_job_change(job)
        return job

    def cancel(self, job: JobId) -> None:
        """Cancel a job."""
        self.core.put(cancelled_key(job), b"\x01")
        self.controller.mirror.apply(self.core.items[cancelled_key(job)])
        self.controller.handle_job_change(job)

    def state(self, job: JobId) -> JobState:
        """Return the state of a job as the leader knows it."""
        return self.controller.scheduler.jobs[job].progress.state

    def starts(self, job: JobId, position: int = 0) -> list[Call]:
        """Return the starts of a task that a process has accepted."""
        name = task_name(TaskId(job, 0, 0, position))
        return [
            call
            for call in self.network.calls
            if call.target == "/run-start"
            and call.body["Task"] == name
            and call.status == 200
        ]

    def runs(self) -> list[Run]:
        """Return the runs that the leader tracks."""
        workers = self.controller.scheduler.workers.values()
        return [run for worker in workers for run in worker.runs.values()]

    def set_cut(self, name: str, cut: bool = True) -> None:
        """Keep packets of the leader from a worker, or no longer."""
        self.hosts[name].cut = cut

    async def sleep(self, seconds: float) -> None:
        """Let virtual time pass."""
        await asyncio.sleep(max(0.0, seconds))

    async def until(self, condition: Callable[[], object], seconds: float) -> float:
        """Wait until a condition holds; return after how many seconds."""
        begun = self.now
        while not condition():
            assert self.now - begun < seconds, "the condition did not come true"
            await asyncio.sleep(WORKER_STEP_SECONDS)
        return self.now - begun


def run_virtually(main, monkeypatch) -> None:
    """Run ``main(platform)`` in virtual time."""
    loop = VirtualTimeLoop()

    async def run() -> None:
        platform = Platform(loop)
        monkeypatch.setattr(
            "ebonyhub.platform.workers.HttpSession",
            lambda address, _clock, limit: Session(platform.network, address, limit),
        )
        monkeypatch.setattr("standins.memory_store.POLL_SECONDS", 0.02)
        async with platform:
            await main(platform)

    asyncio.set_event_loop(None)
    try:
        loop.run_until_complete(run())
    finally:
        loop.close()
