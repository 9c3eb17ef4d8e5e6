"""The platform in fake time and without sockets, around the real scheduler.

A seeded random source decides which orders are lost, late or refused. The oracle sees
what the workers do, as the users' own accounting does.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heappop, heappush

import msgspec

from ebonyhub.configuration import (
    Configuration,
    ConfigurationLimits,
    Queue,
    Service,
    build_configuration,
)
from ebonyhub.ids import (
    JobId,
    LeaderToken,
    QueueName,
    RackId,
    ServiceName,
    TaskId,
    WorkerId,
)
from ebonyhub.jobs.model import AcceptedJob, JobSpec, Resources
from ebonyhub.jobs.records import JobState, ProgressRecord
from ebonyhub.scheduling.model import OrderFailure, StartOrder
from ebonyhub.scheduling.orders import FetchReport, StartRun, StopRun
from ebonyhub.scheduling.scheduler import Scheduler
from standins.fake_worker import FakeWorker
from standins.oracle import Oracle

STEP_SECONDS = 0.05
WORKER_LEASE_SECONDS = 6.0
HOLD_INTERVAL_SECONDS = 0.5
START_VALID_MS = 1800
LEASE_EXTENSION_SECONDS = 5.0
QUEUE = QueueName("queue")
SERVICE = ServiceName("service")
MAX_ATTEMPTS = 3


def one_queue_configuration() -> Configuration:
    """Return a configuration with one queue and one service."""
    queue = Queue(
        name=QUEUE,
        host="h",
        prefix="/p/",
        service=SERVICE,
        priority=0,
        max_attempts=MAX_ATTEMPTS,
        stretch=2.0,
        target_seconds=0.5,
        timeout_seconds=3.0,
    )
    service = Service(SERVICE, False, False, 64)
    return build_configuration(
        1, {QUEUE: queue}, {SERVICE: service}, ConfigurationLimits()
    )


@dataclass(slots=True)
class Faults:
    """Shares of calls that go wrong."""

    lost_answer: float = 0.0
    late_order: float = 0.0
    failed_commit: float = 0.0
    late_commit: float = 0.0


@dataclass
class Emulator:
    """One service with its workers, the store's records and the present leader."""

    seed: int
    worker_count: int = 4
    faults: Faults = field(default_factory=Faults)
    now: float = 100.0
    store_up: bool = True
    # Seconds by which the leader's time of day is ahead of the true time.
    clock_error: float = 0.0

    def __post_init__(self) -> None:
        """Create workers and the first leader."""
        self.rng = random.Random(self.seed)
        self.oracle = Oracle(lambda: self.now, MAX_ATTEMPTS)
        self.accepted: dict[JobId, AcceptedJob] = {}
        self.cancelled: set[JobId] = set()
        self.records: dict[JobId, tuple[int, bytes]] = {}
        self.revision = 1
        self.token = LeaderToken(0)
        self.late: list[tuple[float, int, Callable[[], object]]] = []
        self.counter = 0
        self.workers = {
            name: self._new_worker(name, number)
            for number in range(self.worker_count)
            for name in [WorkerId(f"w{number}")]
        }
        self.scheduler: Scheduler | None = None
        self.valid_until = 0.0
        self.next_hold: dict[WorkerId, float] = {}
        self.connected: dict[WorkerId, tuple[int, LeaderToken]] = {}
        self.elect()

    def _new_worker(self, name: WorkerId, number: int) -> FakeWorker:
        worker = FakeWorker(
            worker=name,
            service=SERVICE,
            capacity=Resources(8000, 8000, 0),
            rack=RackId(f"r{number % 2}"),
            born_ms=int(self.now * 1000) + number,
            clock_rate=self.rng.choice([1.0, 0.98]),
            clock_offset_ms=self.rng.randrange(10**6),
        )
        worker.on_start = self.oracle.started
        worker.on_end = self.oracle.ended
        worker.on_lapse = self.oracle.lapsed
        return worker

    # Leadership

    def elect(self) -> None:
        """Let a new leader take over from the records."""
        self.revision += 1
        self.token = LeaderToken(self.revision)
        scheduler = Scheduler()
        scheduler.configure(one_queue_configuration())
        scheduler.inherited_leases_until = (
            self.now + LEASE_EXTENSION_SECONDS + WORKER_LEASE_SECONDS * 1.03 + 0.5
        )
        for worker in self.workers.values():
            if worker.registered:
                scheduler.handle_worker_entry(worker.entry, self.now)
        self.scheduler = scheduler
        self.next_hold = dict.fromkeys(self.workers, self.now)
        self.revisions = {job: revision for job, (revision, _) in self.records.items()}
        for job in self.accepted:
            self._load(job)

    def _load(self, job: JobId) -> None:
        assert self.scheduler is not None
        record = self.records.get(job)
        progress = None
        if record is not None:
            progress = msgspec.msgpack.decode(record[1], type=ProgressRecord)
        self.scheduler.load_job(
            self.accepted[job],
            progress,
            job in self.cancelled,
            self.now,
            self._wall_ms(),
        )

    def kill_leader(self) -> None:
        """End the leader's process."""
        self.scheduler = None

    def _wall_ms(self) -> int:
        """Return the leader's time of day, which may be off."""
        return int((self.now + self.clock_error) * 1000)

    def jump_clock(self, seconds: float) -> None:
        """Set the time of day of the leader's machine off by some seconds."""
        self.clock_error = seconds

    # Callers

    def submit(self, spec: JobSpec) -> JobId:
        """Accept a job into the store."""
        job = JobId(f"{len(self.accepted):016x}")
        self.accepted[job] = AcceptedJob(
            job, QUEUE, SERVICE, MAX_ATTEMPTS, self._wall_ms(), spec
        )
        self.oracle.submitted(job, spec)
        if self.scheduler is not None:
            self._load(job)
        return job

    def cancel(self, job: JobId) -> None:
        """Store the cancel of a job."""
        if self.state(job).is_final:
            return
        self.cancelled.add(job)
        self.oracle.cancelled(job)
        if self.scheduler is not None:
            self.scheduler.cancel(job, self.now, self._wall_ms())

    def state(self, job: JobId) -> JobState:
        """Return the state that the store's record shows."""
        record = self.records.get(job)
        if record is None:
            return JobState.QUEUED
        return msgspec.msgpack.decode(record[1], type=ProgressRecord).state

    # Time

    def run(self, seconds: float) -> None:
        """Let time pass."""
        end = self.now + seconds
        while self.now < end:
            self.step()

    def step(self) -> None:
        """Let one step of time pass."""
        self.now += STEP_SECONDS
        while self.late and self.late[0][0] <= self.now:
            heappop(self.late)[2]()
        for worker in self.workers.values():
            worker.advance(self.now)
        if self.scheduler is not None:
            self._lead(self.scheduler)
        self.oracle.check_cancels(self.workers.values())

    def _lead(self, scheduler: Scheduler) -> None:
        for name, worker in self.workers.items():
            if not worker.registered:
                scheduler.handle_worker_entry_removed(name)
            elif name not in scheduler.workers or (
                scheduler.workers[name].entry != worker.entry
            ):
                scheduler.handle_worker_entry(worker.entry, self.now)
            if self.now >= self.next_hold.get(name, 0.0):
                self._hold(scheduler, name)
        scheduler.tick(self.now, self._wall_ms())
        if self.store_up:
            scheduler.plan(self.now)
            self._commit(scheduler)
        while scheduler.outbox:
            self._carry_out(scheduler, scheduler.outbox.popleft())

    def _hold(self, scheduler: Scheduler, name: WorkerId) -> None:
        self.next_hold[name] = self.now + HOLD_INTERVAL_SECONDS
        worker = scheduler.workers.get(name)
        fake = self.workers[name]
        if worker is None or not worker.entry.address:
            # A leader does not know where a worker is that only a record names.
            return
        lease = None
        if (
            worker.last_response_at is not None
            and self.now - worker.last_response_at < 1.6
        ):
            lease = worker.clock_now_ms(self.now) + int(WORKER_LEASE_SECONDS * 1000)
            worker.lease_end_ms = max(worker.lease_end_ms, lease)
        if not fake.up or fake.cut:
            return
        # Nothing is acknowledged on the first call to a new life.
        same_life = self.connected.get(name) == (fake.born_ms, self.token)
        acknowledged = worker.acknowledged_sequence if same_life else 0
        self.connected[name] = (fake.born_ms, self.token)
        report = fake.hold(self.token, acknowledged, lease, self.now)
        if isinstance(report, OrderFailure):
            self.scheduler = None
            return
        self.oracle.acknowledged(fake, fake.acknowledged)
        if self.rng.random() < self.faults.lost_answer:
            return
        scheduler.handle_report(worker, report, self.now, self.now, self._wall_ms())

    def _commit(self, scheduler: Scheduler) -> None:
        for job in list(scheduler.dirty.values()):
            draw = self.rng.random()
            if draw < self.faults.failed_commit:
                continue
            value = msgspec.msgpack.encode(job.progress)
            expected = self.revisions.get(job.job_id, 0)
            token = self.token
            if draw < self.faults.failed_commit + self.faults.late_commit:
                self._write_later(job.job_id, expected, value, token)
                continue
            if self._write(job.job_id, expected, value, token):
                self.revisions[job.job_id] = self.revision
                scheduler.mark_stored(job, job.version)
            else:
                self.revisions[job.job_id] = self.records[job.job_id][0]
        scheduler.release_starts(self.now)
        for worker in scheduler.workers.values():
            scheduler.acknowledge_stored_ends(worker)

    def _write_later(
        self, job: JobId, expected: int, value: bytes, token: LeaderToken
    ) -> None:
        """Carry a commit out after its answer was lost."""

        def write() -> None:
            self._write(job, expected, value, token)

        self.later(self.rng.uniform(1, 6), write)

    def _write(
        self, job: JobId, expected: int, value: bytes, token: LeaderToken
    ) -> bool:
        """Write a record if its revision and the leader are as expected."""
        current = self.records.get(job, (0, b""))[0]
        if current != expected or token != self.token:
            return False
        self.revision += 1
        self.records[job] = (self.revision, value)
        return True

    def later(self, seconds: float, action: Callable[[], object]) -> None:
        """Do something after a while."""
        self.counter += 1
        heappush(self.late, (self.now + seconds, self.counter, action))

    # Orders

    def _carry_out(self, scheduler: Scheduler, order: object) -> None:
        match order:
            case StartRun():
                self._start(scheduler, order)
            case StopRun():
                self._stop(scheduler, order)
            case FetchReport():
                self.next_hold[order.worker] = self.now

    def _start(self, scheduler: Scheduler, order: StartRun) -> None:
        run = order.run
        worker = scheduler.workers.get(run.worker)
        if worker is None:
            return
        deadline = worker.clock_now_ms(self.now) + START_VALID_MS
        worker.lease_end_ms = max(worker.lease_end_ms, deadline)
        start = StartOrder(run.task, run.number, "", deadline, self.token)
        self._send(
            run.worker,
            lambda: self._do_start(run.worker, start),
            lambda failure: scheduler.handle_start_result(run, failure, self.now),
        )

    def _do_start(self, name: WorkerId, order: StartOrder) -> OrderFailure | None:
        duration, outcome = self.oracle.behaviour(order.task, self.rng)
        return self.workers[name].start(order, self.now, duration, outcome)

    def _stop(self, scheduler: Scheduler, order: StopRun) -> None:
        token = self.token
        self._send(
            order.worker,
            lambda: self.workers[order.worker].stop(
                order.task, order.number, token, self.now
            ),
            lambda failure: scheduler.handle_stop_result(order, failure, self.now),
        )

    def _send(
        self,
        name: WorkerId,
        action: Callable[[], OrderFailure | None],
        answer: Callable[[OrderFailure | None], None],
    ) -> None:
        """Deliver an order: at once, late, or with a lost answer."""
        fake = self.workers[name]
        if not fake.up or fake.cut:
            answer(OrderFailure.UNKNOWN)
            return
        draw = self.rng.random()
        if draw < self.faults.late_order:
            self._order_later(fake, action)
            answer(OrderFailure.UNKNOWN)
            return
        result = action()
        if draw < self.faults.late_order + self.faults.lost_answer:
            answer(OrderFailure.UNKNOWN)
            return
        if result is OrderFailure.FENCED:
            self.scheduler = None
        answer(result)

    def _order_later(
        self, fake: FakeWorker, action: Callable[[], OrderFailure | None]
    ) -> None:
        """Carry an order out late, if the worker still lives its life."""
        born = fake.born_ms

        def carry_out() -> None:
            if fake.up and fake.born_ms == born:
                action()

        self.later(self.rng.uniform(2, 12), carry_out)

    # Faults

    def crash(self, name: WorkerId) -> None:
        """End a worker's life."""
        self.workers[name].crash()
        self.workers[name].registered = False

    def reborn(self, name: WorkerId) -> None:
        """Start a crashed worker again under its id."""
        if not self.workers[name].up:
            self.workers[name].rebirth(int(self.now * 1000) + 7)

    def running(self, task: TaskId) -> list[WorkerId]:
        """Return the workers on which a task runs."""
        return [name for name, fake in self.workers.items() if task in fake.runs]
