"""A worker without sockets: leases, fencing, runs and ends as the platform has them."""

from collections.abc import Callable
from dataclasses import dataclass, field

from ebonyhub.ids import LeaderToken, RackId, ServiceName, TaskId, VmId, WorkerId
from ebonyhub.jobs.model import Resources
from ebonyhub.scheduling.model import (
    EndedTask,
    OrderFailure,
    RunningTask,
    RunOutcome,
    StartOrder,
    WorkerEntry,
    WorkerReport,
)

# A worker shortens longer leases to this.
MAX_HOLD_MS = 10_000
NO_TOKEN = LeaderToken(0)
NO_VM = VmId("")


@dataclass(slots=True)
class FakeRun:
    """A run on a worker; times are the worker's clock in ms."""

    number: int
    started_ms: int
    duration_ms: int | None
    outcome: RunOutcome
    stop_at_ms: int | None = None

    def percent(self, clock_ms: int) -> int:
        """Return the progress; a task that lasts is at work at once."""
        if self.duration_ms is None:
            return 100
        return min(99, (clock_ms - self.started_ms) * 100 // max(1, self.duration_ms))


@dataclass(slots=True)
class FakeWorker:
    """One VM's life; ``clock_rate`` below 1 is a slow clock."""

    worker: WorkerId
    service: ServiceName
    capacity: Resources
    rack: RackId
    born_ms: int
    clock_rate: float = 1.0
    up: bool = True
    # Calls of the leader do not arrive; the worker runs on.
    cut: bool = False
    registered: bool = True
    draining: bool = False
    clock_offset_ms: int = 0
    token: LeaderToken = NO_TOKEN
    lease_ms: int = 0
    runs: dict[TaskId, FakeRun] = field(default_factory=dict)
    # Highest run number that was stopped or ended, or barred before it began.
    barred: dict[TaskId, int] = field(default_factory=dict)
    ended: list[EndedTask] = field(default_factory=list)
    sequence: int = 0
    acknowledged: int = 0
    # VM on which it lives, one of its own if empty.
    vm: VmId = NO_VM
    on_start: Callable[["FakeWorker", TaskId, int], None] = lambda *_: None
    on_lapse: Callable[["FakeWorker"], None] = lambda *_: None
    on_end: Callable[["FakeWorker", TaskId, int, RunOutcome], None] = lambda *_: None
    on_stop: Callable[["FakeWorker", TaskId], None] = lambda *_: None

    @property
    def entry(self) -> WorkerEntry:
        """Return what the worker says of itself in the store."""
        return WorkerEntry(
            worker=self.worker,
            service=self.service,
            address="127.0.0.1:1",
            zone="z",
            labels=("a", self.rack),
            rack=self.rack,
            capacity=self.capacity,
            draining=self.draining,
            leaves_in=None,
            born_ms=self.born_ms,
            vm=self.vm or VmId(f"vm-{self.worker}"),
        )

    def clock_ms(self, now: float) -> int:
        """Return the worker's steady clock."""
        return int(now * 1000 * self.clock_rate) + self.clock_offset_ms

    def advance(self, now: float) -> None:
        """Let runs end, stops take effect and the lease run out."""
        if not self.up:
            return
        clock = self.clock_ms(now)
        if clock > self.lease_ms:
            for task in list(self.runs):
                self._end(task, RunOutcome.LEASE_EXPIRED)
            self.on_lapse(self)
            return
        for task, run in list(self.runs.items()):
            if run.stop_at_ms is not None and clock >= run.stop_at_ms:
                self._end(task, RunOutcome.STOPPED)
            elif (
                run.duration_ms is not None
                and clock >= run.started_ms + run.duration_ms
            ):
                self._end(task, run.outcome)

    def _end(self, task: TaskId, kind: RunOutcome) -> None:
        run = self.runs.pop(task)
        self.sequence += 1
        self.ended.append(EndedTask(self.sequence, task, run.number, kind, ""))
        self.barred[task] = max(self.barred.get(task, 0), run.number)
        self.on_end(self, task, run.number, kind)

    def start(
        self,
        order: StartOrder,
        now: float,
        duration_ms: int | None,
        outcome: RunOutcome,
    ) -> OrderFailure | None:
        """Carry out a start; None means success."""
        if order.token < self.token:
            return OrderFailure.FENCED
        self.token = order.token
        clock = self.clock_ms(now)
        running = self.runs.get(order.task)
        if running is not None and running.number == order.number:
            return None
        if order.number <= self.barred.get(order.task, 0) or running is not None:
            return OrderFailure.OLD_RUN
        if order.deadline_ms <= clock:
            return OrderFailure.LATE
        self._extend(order.deadline_ms, clock)
        self.runs[order.task] = FakeRun(order.number, clock, duration_ms, outcome)
        self.on_start(self, order.task, order.number)
        return None

    def stop(
        self, task: TaskId, number: int, token: LeaderToken, now: float
    ) -> OrderFailure | None:
        """Carry out a stop; it takes effect a little later."""
        if token < self.token:
            return OrderFailure.FENCED
        self.token = token
        run = self.runs.get(task)
        if run is not None and run.number == number:
            self.on_stop(self, task)
            run.stop_at_ms = run.stop_at_ms or self.clock_ms(now) + 200
        elif run is None:
            self.barred[task] = max(self.barred.get(task, 0), number)
        return None

    def hold(
        self, token: LeaderToken, acknowledged: int, lease_ms: int | None, now: float
    ) -> WorkerReport | OrderFailure:
        """Carry out a hold."""
        if token < self.token:
            return OrderFailure.FENCED
        self.token = token
        clock = self.clock_ms(now)
        if lease_ms is not None:
            self._extend(lease_ms, clock)
        self.acknowledged = max(self.acknowledged, acknowledged)
        self.ended = [end for end in self.ended if end.sequence > self.acknowledged]
        running = tuple(
            RunningTask(task, run.number, "", run.percent(clock), 0.0)
            for task, run in self.runs.items()
        )
        return WorkerReport(clock, self.born_ms, running, tuple(self.ended[:500]))

    def _extend(self, lease_ms: int, clock: int) -> None:
        self.lease_ms = max(self.lease_ms, min(lease_ms, clock + MAX_HOLD_MS))

    def crash(self) -> None:
        """End the life; everything on the worker is gone."""
        self.up = False
        for task, run in list(self.runs.items()):
            self.on_end(self, task, run.number, RunOutcome.LEASE_EXPIRED)
        self.runs.clear()

    def rebirth(self, born_ms: int) -> None:
        """Start a new life under the same id, which knows nothing of before."""
        self.up, self.cut, self.draining, self.registered = True, False, False, True
        self.born_ms = born_ms
        self.token = LeaderToken(0)
        self.lease_ms = 0
        self.barred.clear()
        self.ended.clear()
        self.sequence = self.acknowledged = 0
        self.clock_offset_ms += 1234
