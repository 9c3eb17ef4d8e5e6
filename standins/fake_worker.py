"""In-memory worker that follows the platform's rules for leases, fencing and runs."""

import random
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

# Upper bound of a lease from now; the worker shortens longer ones.
MAX_LEASE_MS = 10_000
# Clock of the first process at time 0; the clocks of later ones may be behind it.
FIRST_CLOCK_MS = 6 * 3_600_000
# Largest differences of the clock of a next process from that of the former one: less
# than a lease, a few leases, minutes, hours.
CLOCK_CHANGES_MS = (6_000, 30_000, 600_000, 5 * 3_600_000)
NO_TOKEN = LeaderToken(0)
NO_VM = VmId("")

AcknowledgementHook = Callable[["FakeWorker", EndedTask, LeaderToken], None]


@dataclass(slots=True)
class FakeRun:
    """A run on a worker; times are milliseconds of the worker's clock."""

    number: int
    started_ms: int
    duration_ms: int | None
    outcome: RunOutcome
    stop_at_ms: int | None = None

    def progress_percent(self, clock_ms: int) -> int:
        """Return the progress; a long-running task reports 100 from its start."""
        if self.duration_ms is None:
            return 100
        return min(99, (clock_ms - self.started_ms) * 100 // max(1, self.duration_ms))


@dataclass(slots=True)
class FakeWorker:
    """A worker process; with ``clock_rate`` below 1 its clock runs slow."""

    worker: WorkerId
    service: ServiceName
    capacity: Resources
    rack: RackId
    born_ms: int
    clock_rate: float = 1.0
    up: bool = True
    # The leader's calls do not arrive, while the worker keeps running its tasks.
    partitioned: bool = False
    registered: bool = True
    draining: bool = False
    clock_offset_ms: int = FIRST_CLOCK_MS
    # Draws the origin of the clock of each next process.
    clock_rng: random.Random = field(default_factory=lambda: random.Random(1))
    token: LeaderToken = NO_TOKEN
    lease_end_ms: int = 0
    runs: dict[TaskId, FakeRun] = field(default_factory=dict)
    # Highest run number that has ended or was stopped, also before its start arrived;
    # starts up to it are refused.
    highest_closed_run: dict[TaskId, int] = field(default_factory=dict)
    ended: list[EndedTask] = field(default_factory=list)
    sequence: int = 0
    # Highest number that a call has acknowledged, and highest one of a forgotten end.
    acknowledged_sequence: int = 0
    forgotten_sequence: int = 0
    # VM that hosts the worker; if empty, ``vm-`` and the worker's id.
    vm: VmId = NO_VM
    on_start: Callable[["FakeWorker", TaskId, int], None] = lambda *_: None
    on_lease_expired: Callable[["FakeWorker"], None] = lambda *_: None
    on_end: Callable[["FakeWorker", TaskId, int, RunOutcome], None] = lambda *_: None
    on_stop: Callable[["FakeWorker", TaskId], None] = lambda *_: None
    # Called with each end that a leader acknowledges, and that leader's token.
    on_acknowledge: AcknowledgementHook = lambda *_: None

    @property
    def entry(self) -> WorkerEntry:
        """Return the entry that the worker registers in the store."""
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
        """Return the worker's monotonic clock in ms, with its offset and rate error."""
        return int(now * 1000 * self.clock_rate) + self.clock_offset_ms

    def advance(self, now: float) -> None:
        """End the runs that are due at ``now``: completed, stopped or lease expired."""
        if not self.up:
            return
        clock = self.clock_ms(now)
        if clock > self.lease_end_ms:
            for task in list(self.runs):
                self._end(task, RunOutcome.LEASE_EXPIRED)
            self.on_lease_expired(self)
            return
        for task, run in list(self.runs.items()):
            if run.stop_at_ms is not None and clock >= run.stop_at_ms:
                self._end(task, RunOutcome.STOPPED)
            elif (
                run.duration_ms is not None
                and clock >= run.started_ms + run.duration_ms
            ):
                self._end(task, run.outcome)

    def _end(self, task: TaskId, outcome: RunOutcome) -> None:
        run = self.runs.pop(task)
        self.sequence += 1
        self.ended.append(EndedTask(self.sequence, task, run.number, outcome, ""))
        self.highest_closed_run[task] = max(
            self.highest_closed_run.get(task, 0), run.number
        )
        self.on_end(self, task, run.number, outcome)

    def end_gang(self, tasks: set[TaskId]) -> None:
        """End the runs of tasks whose gang has lost a member on another worker."""
        for task in tasks & self.runs.keys():
            self._end(task, RunOutcome.GANG_MEMBER_ENDED)

    def start(
        self,
        order: StartOrder,
        now: float,
        duration_ms: int | None,
        outcome: RunOutcome,
    ) -> OrderFailure | None:
        """Start a run unless it is fenced, outdated or late; None means success."""
        if order.token < self.token:
            return OrderFailure.FENCED
        self.token = order.token
        clock = self.clock_ms(now)
        running = self.runs.get(order.task)
        if running is not None and running.number == order.number:
            return None
        if (
            order.number <= self.highest_closed_run.get(order.task, 0)
            or running is not None
        ):
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
        """Stop a run; it ends 200 ms later."""
        if token < self.token:
            return OrderFailure.FENCED
        self.token = token
        run = self.runs.get(task)
        if run is not None and run.number == number:
            self.on_stop(self, task)
            run.stop_at_ms = run.stop_at_ms or self.clock_ms(now) + 200
        elif run is None:
            self.highest_closed_run[task] = max(
                self.highest_closed_run.get(task, 0), number
            )
        return None

    def poll(
        self,
        token: LeaderToken,
        acknowledged_sequence: int,
        lease_end_ms: int | None,
        now: float,
    ) -> WorkerReport | OrderFailure:
        """Extend the lease, drop acknowledged ends and return the current report.

        Only ends that are there when the call is carried out are dropped; later ones
        are not, even if their numbers are lower than that of the call.
        """
        if token < self.token:
            return OrderFailure.FENCED
        self.token = token
        clock = self.clock_ms(now)
        if lease_end_ms is not None:
            self._extend(lease_end_ms, clock)
        self.acknowledged_sequence = max(
            self.acknowledged_sequence, acknowledged_sequence
        )
        while self.ended and self.ended[0].sequence <= acknowledged_sequence:
            end = self.ended.pop(0)
            self.forgotten_sequence = end.sequence
            self.on_acknowledge(self, end, token)
        running = tuple(
            RunningTask(task, run.number, "", run.progress_percent(clock), 0.0)
            for task, run in self.runs.items()
        )
        return WorkerReport(clock, self.born_ms, running, tuple(self.ended[:500]))

    def _extend(self, lease_end_ms: int, clock: int) -> None:
        self.lease_end_ms = max(
            self.lease_end_ms, min(lease_end_ms, clock + MAX_LEASE_MS)
        )

    def crash(self) -> None:
        """End the worker process and all of its runs."""
        self.up = False
        for task, run in list(self.runs.items()):
            self.on_end(self, task, run.number, RunOutcome.LEASE_EXPIRED)
        self.runs.clear()

    def restart(self, born_ms: int) -> None:
        """Start a new worker process under the same id, without the old one's state.

        Its clock is behind that of the old one or ahead of it, by up to hours.
        """
        self.up, self.partitioned, self.draining, self.registered = (
            True,
            False,
            False,
            True,
        )
        self.born_ms = born_ms
        self.token = LeaderToken(0)
        self.lease_end_ms = 0
        self.highest_closed_run.clear()
        self.ended.clear()
        self.sequence = self.acknowledged_sequence = self.forgotten_sequence = 0
        self._draw_clock_origin()

    def _draw_clock_origin(self) -> None:
        change = self.clock_rng.randint(1, self.clock_rng.choice(CLOCK_CHANGES_MS))
        is_behind = self.clock_rng.random() < 0.5
        # The clock stays positive.
        if is_behind and change <= self.clock_offset_ms:
            change = -change
        self.clock_offset_ms += change
