"""Emulates the platform around the real scheduler, in simulated time without sockets.

A seeded random source decides which orders are lost, late or refused. The oracle checks
every start and end on the workers.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from math import inf

import msgspec

from ebonyhub.configuration import Configuration
from ebonyhub.ids import (
    JobId,
    LeaderToken,
    RackId,
    TaskId,
    WorkerId,
    WorkspaceName,
)
from ebonyhub.jobs.model import AcceptedJob, JobSpec, Resources
from ebonyhub.jobs.records import JobState, ProgressRecord
from ebonyhub.scheduling.model import (
    OrderFailure,
    StartOrder,
    WorkerEntry,
    WorkerReport,
)
from ebonyhub.scheduling.orders import FetchReport, RaiseToken, StartRun, StopRun
from ebonyhub.scheduling.scheduler import Scheduler
from ebonyhub.scheduling.worker_process import (
    WORKER_LEASE_SECONDS,
    late_effects_end,
)
from ebonyhub.scheduling.workspaces.policy import WorkspaceRules
from standins.call_faults import CallFate
from standins.call_faults import Faults as Faults
from standins.emulated_configuration import MAX_ATTEMPTS as MAX_ATTEMPTS
from standins.emulated_configuration import QUEUE as QUEUE
from standins.emulated_configuration import SERVICE as SERVICE
from standins.emulated_configuration import EmulatedConfiguration
from standins.emulated_configuration import (
    one_queue_configuration as one_queue_configuration,
)
from standins.fake_worker import FIRST_CLOCK_MS, FakeWorker
from standins.oracle import Oracle

STEP_SECONDS = 0.05
POLL_INTERVAL_SECONDS = 0.5
NO_WORKSPACE = WorkspaceName("")
LEASE_EXTENSION_SECONDS = 5.0


@dataclass
class Emulator:
    """One service with its workers, the stored records and the current leader."""

    seed: int
    worker_count: int = 4
    faults: Faults = field(default_factory=Faults)
    now: float = 100.0
    store_up: bool = True
    # Seconds between two writes of a worker's entry; 0 if changes are written at once.
    heartbeat_seconds: float = 0.0
    # Seconds by which the leader's wall clock is ahead of the true time.
    clock_error: float = 0.0
    max_entry_age_seconds: float = inf

    def __post_init__(self) -> None:
        """Create workers and the first leader."""
        self.rng = random.Random(self.seed)
        # Draws which calls are lost, late or doubled, so that the other draws of a seed
        # stay as they are without these faults.
        self.call_rng = random.Random(f"{self.seed}/calls")
        self.oracle = Oracle(lambda: self.now, MAX_ATTEMPTS)
        self.configuration = EmulatedConfiguration()
        self.accepted: dict[JobId, AcceptedJob] = {}
        self.cancelled: set[JobId] = set()
        self.records: dict[JobId, tuple[int, bytes]] = {}
        self.revision = 1
        self.token = LeaderToken(0)
        self.delayed_actions: list[tuple[float, int, Callable[[], object]]] = []
        self.delayed_action_count = 0
        self.workers = {
            name: self._new_worker(name, number)
            for number in range(self.worker_count)
            for name in [WorkerId(f"w{number}")]
        }
        # The workers' entries in the store, when heartbeats write them.
        self.entries: dict[WorkerId, WorkerEntry] = {}
        self.entries_written_at: dict[WorkerId, float] = {}
        self.next_heartbeat_at: dict[WorkerId, float] = {}
        self.scheduler: Scheduler | None = None
        self.valid_until = 0.0
        self.next_poll_at: dict[WorkerId, float] = {}
        self.connected: dict[WorkerId, tuple[int, LeaderToken]] = {}
        self.elect_leader()

    def _new_worker(self, name: WorkerId, number: int) -> FakeWorker:
        worker = FakeWorker(
            worker=name,
            service=SERVICE,
            capacity=Resources(8000, 8000, 0),
            rack=RackId(f"r{number % 2}"),
            born_ms=int(self.now * 1000) + number,
            clock_rate=self.rng.choice([1.0, 0.98]),
            clock_offset_ms=FIRST_CLOCK_MS + self.rng.randrange(10**6),
            clock_rng=random.Random(f"{self.seed}/{name}/clock"),
        )
        worker.on_start = self.oracle.check_start
        worker.on_end = self.oracle.record_end
        worker.on_lease_expired = self.oracle.record_lease_expiry
        return worker

    # Leadership

    def elect_leader(self) -> None:
        """Elect a new leader, which loads the stored records."""
        self.revision += 1
        self.token = LeaderToken(self.revision)
        scheduler = Scheduler(WorkspaceRules(enforced=True))
        scheduler.records_loaded = True
        scheduler.token = self.token
        scheduler.configure(self.configuration.known)
        scheduler.inherited_leases_until = (
            self.now + LEASE_EXTENSION_SECONDS + WORKER_LEASE_SECONDS * 1.03 + 0.5
        )
        scheduler.inherited_starts_until = late_effects_end(
            self.now, scheduler.max_lease_seconds
        )
        scheduler.max_entry_age_seconds = self.max_entry_age_seconds
        for worker in self.workers.values():
            if worker.registered:
                entry = self.entries.get(worker.worker, worker.entry)
                written_at = self.entries_written_at.get(worker.worker, self.now)
                scheduler.handle_worker_entry(entry, self.now, written_at)
        self.scheduler = scheduler
        self.next_poll_at = dict.fromkeys(self.workers, self.now)
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
        """Kill the leader without electing another."""
        self.scheduler = None

    def _wall_ms(self) -> int:
        """Return the leader's wall clock in ms, with its error."""
        return int((self.now + self.clock_error) * 1000)

    def set_clock_error(self, seconds: float) -> None:
        """Set the error of the leader's wall clock."""
        self.clock_error = seconds

    # Operators

    def set_limit(
        self, workspace: WorkspaceName, limit: Resources, delay: float = 0.0
    ) -> None:
        """Change a workspace's limit; the entries learn of it after a delay."""
        configuration = self.configuration.set_limit(workspace, limit)
        self.oracle.workspace_limits.set_limit(workspace, limit)
        if delay:
            self.run_later(delay, lambda: self._announce(configuration))
        else:
            self._announce(configuration)

    def _announce(self, configuration: Configuration) -> None:
        if self.configuration.announce(configuration) and self.scheduler is not None:
            self.scheduler.configure(configuration)

    # Callers

    def submit(self, spec: JobSpec, workspace: WorkspaceName = NO_WORKSPACE) -> JobId:
        """Accept a job and pass it to the leader, if there is one."""
        job = JobId(f"{len(self.accepted):016x}")
        limit = self.configuration.limit_of(workspace)
        self.accepted[job] = AcceptedJob(
            job, QUEUE, SERVICE, MAX_ATTEMPTS, self._wall_ms(), spec, workspace, limit
        )
        self.oracle.record_submission(job, spec, workspace)
        if self.scheduler is not None:
            self._load(job)
        return job

    def cancel(self, job: JobId) -> None:
        """Store the cancellation of a job unless it has finished."""
        if self.state(job).is_final:
            return
        self.cancelled.add(job)
        self.oracle.record_cancellation(job)
        if self.scheduler is not None:
            self.scheduler.cancel(job, self.now, self._wall_ms())

    def state(self, job: JobId) -> JobState:
        """Return the job state of the stored record."""
        record = self.records.get(job)
        if record is None:
            return JobState.QUEUED
        return msgspec.msgpack.decode(record[1], type=ProgressRecord).state

    # Time

    def run(self, seconds: float) -> None:
        """Advance the simulated time by ``seconds``."""
        end = self.now + seconds
        while self.now < end:
            self.step()

    def step(self) -> None:
        """Advance by STEP_SECONDS: workers, leader, then the cancellation check."""
        self.now += STEP_SECONDS
        while self.delayed_actions and self.delayed_actions[0][0] <= self.now:
            heappop(self.delayed_actions)[2]()
        for worker in self.workers.values():
            worker.advance(self.now)
        if self.scheduler is not None:
            self._run_leader(self.scheduler)
        self.oracle.check_cancelled_jobs(self.workers.values())

    def _run_leader(self, scheduler: Scheduler) -> None:
        for name, worker in self.workers.items():
            known = scheduler.workers.get(name)
            if not worker.registered:
                scheduler.handle_worker_entry_removed(name)
            elif self.heartbeat_seconds:
                self._beat(scheduler, worker)
            elif known is None or known.deregistered or known.entry != worker.entry:
                scheduler.handle_worker_entry(worker.entry, self.now)
            if self.now >= self.next_poll_at.get(name, 0.0):
                self._poll(scheduler, name)
        scheduler.tick(self.now, self._wall_ms())
        if self.store_up:
            scheduler.plan(self.now)
            self._commit(scheduler)
        while scheduler.outbox:
            self._execute_order(scheduler, scheduler.outbox.popleft())

    def _beat(self, scheduler: Scheduler, worker: FakeWorker) -> None:
        """Write the worker's entry at its time, unless the store is down."""
        name = worker.worker
        first = self.now + self.rng.uniform(0, self.heartbeat_seconds)
        if self.now < self.next_heartbeat_at.setdefault(name, first) or not worker.up:
            return
        self.next_heartbeat_at[name] += self.heartbeat_seconds
        if not self.store_up:
            return
        self.entries[name] = worker.entry
        self.entries_written_at[name] = self.now
        scheduler.handle_worker_entry(worker.entry, self.now)

    def _poll(self, scheduler: Scheduler, name: WorkerId) -> None:
        self.next_poll_at[name] = self.now + POLL_INTERVAL_SECONDS
        worker = scheduler.workers.get(name)
        fake = self.workers[name]
        if worker is None or not worker.entry.address:
            # A worker known only from job records has no address.
            return
        # The first poll on a connection acknowledges nothing and renews no lease.
        born_ms, leader_token = self.connected.pop(name, (0, None))
        is_connected = leader_token == self.token
        lease = None
        if (
            is_connected
            and worker.last_response_at is not None
            and self.now - worker.last_response_at < 1.6
        ):
            lease = worker.process.grant_lease(self.now)
        cursor = worker.process.acknowledged_sequence if is_connected else 0
        token = worker.process.token
        # On a connection to a former process, no process answers.
        is_stale = is_connected and born_ms != fake.born_ms
        fate = self._draw_fate(fake, self.faults.late_poll_rate, is_stale)
        if fate.is_late:
            self._deliver_late(
                name, lambda: self._deliver_poll(name, token, cursor, lease)
            )
        if not fate.arrives:
            if worker.silent_since is None:
                worker.silent_since = self.now
            return
        report = self._deliver_poll(name, token, cursor, lease)
        if isinstance(report, OrderFailure):
            # This leader has raised the token meanwhile.
            return
        if self.rng.random() < self.faults.lost_answer_rate or fate.is_late:
            return
        self.connected[name] = (fake.born_ms, self.token)
        scheduler.handle_report(worker, report, self.now, self.now, self._wall_ms())

    def _deliver_poll(
        self,
        name: WorkerId,
        token: LeaderToken,
        acknowledged_sequence: int,
        lease_end_ms: int | None,
    ) -> WorkerReport | OrderFailure:
        """Carry out a poll on the process that is up now under a worker's id."""
        fake = self.workers[name]
        report = fake.poll(token, acknowledged_sequence, lease_end_ms, self.now)
        if not isinstance(report, OrderFailure):
            self.oracle.record_acknowledgement(fake, fake.forgotten_sequence)
        return report

    def _draw_fate(
        self, fake: FakeWorker, late_rate: float, is_stale: bool = False
    ) -> CallFate:
        reachable = fake.up and not fake.partitioned and not is_stale
        return self.faults.draw_fate(self.call_rng, reachable, late_rate)

    def _commit(self, scheduler: Scheduler) -> None:
        for job in list(scheduler.dirty.values()):
            draw = self.rng.random()
            if draw < self.faults.failed_commit_rate:
                continue
            value = msgspec.msgpack.encode(job.progress)
            expected = self.revisions.get(job.job_id, 0)
            token = self.token
            if draw < self.faults.failed_commit_rate + self.faults.late_commit_rate:
                self._commit_late(job.job_id, expected, value, token)
                continue
            if self._write(job.job_id, expected, value, token):
                self.revisions[job.job_id] = self.revision
                scheduler.mark_stored(job, job.version)
            else:
                self.revisions[job.job_id] = self.records[job.job_id][0]
        scheduler.release_starts(self.now)
        for worker in scheduler.workers.values():
            scheduler.acknowledge_stored_ends(worker, self.now)

    def _commit_late(
        self, job: JobId, expected: int, value: bytes, token: LeaderToken
    ) -> None:
        """Apply a commit 1 to 6 s later; its answer is lost."""

        def write() -> None:
            self._write(job, expected, value, token)

        self.run_later(self.rng.uniform(1, 6), write)

    def _write(
        self, job: JobId, expected: int, value: bytes, token: LeaderToken
    ) -> bool:
        """Write a record if its revision is as expected and the leader still leads."""
        current = self.records.get(job, (0, b""))[0]
        if current != expected or token != self.token:
            return False
        self.revision += 1
        self.records[job] = (self.revision, value)
        return True

    def run_later(self, seconds: float, action: Callable[[], object]) -> None:
        """Run an action after a delay, in order of time."""
        self.delayed_action_count += 1
        heappush(
            self.delayed_actions,
            (self.now + seconds, self.delayed_action_count, action),
        )

    # Orders

    def _execute_order(self, scheduler: Scheduler, order: object) -> None:
        match order:
            case StartRun():
                self._send_start(scheduler, order)
            case StopRun():
                self._send_stop(scheduler, order)
            case FetchReport():
                self.next_poll_at[order.worker] = self.now
            case RaiseToken():
                self._raise_token(scheduler, order.worker)

    def _raise_token(self, scheduler: Scheduler, name: WorkerId) -> None:
        """Issue a token as a commit to the store does; retries while that is down."""
        if scheduler is not self.scheduler:
            return
        if not self.store_up:
            self.run_later(0.5, lambda: self._raise_token(scheduler, name))
            return
        self.revision += 1
        scheduler.set_process_token(name, LeaderToken(self.revision), self.now)

    def _send_start(self, scheduler: Scheduler, order: StartRun) -> None:
        run = order.run
        worker = scheduler.workers.get(run.worker)
        if worker is None:
            return
        deadline = worker.process.grant_start(self.now)
        start = StartOrder(run.task, run.number, "", deadline, run.token)
        self._send_order(
            run.worker,
            lambda: self._deliver_start(run.worker, start),
            lambda failure: scheduler.handle_start_result(run, failure, self.now),
        )

    def _deliver_start(self, name: WorkerId, order: StartOrder) -> OrderFailure | None:
        duration, outcome = self.oracle.draw_run_result(order.task, self.rng)
        return self.workers[name].start(order, self.now, duration, outcome)

    def _send_stop(self, scheduler: Scheduler, order: StopRun) -> None:
        worker = scheduler.workers.get(order.worker)
        if worker is None:
            return
        token = worker.process.token
        self._send_order(
            order.worker,
            lambda: self.workers[order.worker].stop(
                order.task, order.number, token, self.now
            ),
            lambda failure: scheduler.handle_stop_result(order, failure, self.now),
        )

    def _send_order(
        self,
        name: WorkerId,
        action: Callable[[], OrderFailure | None],
        on_result: Callable[[OrderFailure | None], None],
    ) -> None:
        """Deliver an order at once, late or twice, or with its answer lost."""
        fate = self._draw_fate(self.workers[name], self.faults.late_call_rate)
        if fate.is_late:
            self._deliver_late(name, action)
        if not fate.arrives:
            on_result(OrderFailure.UNKNOWN)
            return
        draw = self.rng.random()
        if draw < self.faults.late_order_rate:
            self._deliver_late(name, action)
            on_result(OrderFailure.UNKNOWN)
            return
        result = action()
        lost_rate = self.faults.late_order_rate + self.faults.lost_answer_rate
        if draw < lost_rate or fate.is_late:
            on_result(OrderFailure.UNKNOWN)
            return
        on_result(result)

    def _deliver_late(self, name: WorkerId, action: Callable[[], object]) -> None:
        """Carry out a call 2 to 12 s later, on the process under the id by then."""

        def carry_out() -> None:
            fake = self.workers.get(name)
            if fake is not None and fake.up:
                action()

        self.run_later(self.rng.uniform(2, 12), carry_out)

    # Faults

    def crash_worker(self, name: WorkerId, entry_stays: bool = False) -> None:
        """Crash a worker and remove its entry; its connections break at once.

        ``entry_stays`` leaves the entry in the store, where the platform removes it
        only after some seconds, and leaves the connections open.
        """
        self.oracle.record_crash(self.workers[name])
        self.workers[name].crash()
        if entry_stays:
            return
        self.connected.pop(name, None)
        self.next_poll_at[name] = self.now
        self.workers[name].registered = False

    def add_worker(self, name: WorkerId, number: int) -> FakeWorker:
        """Add an empty worker under a new id."""
        self.workers[name] = self._new_worker(name, number)
        self.next_poll_at[name] = self.now
        return self.workers[name]

    def resize_worker(self, name: WorkerId, capacity: Resources) -> None:
        """Change a worker's capacity while it runs; its next heartbeat tells it."""
        self.oracle.record_resize(self.workers[name])
        self.workers[name].capacity = capacity

    def restart_worker(self, name: WorkerId) -> None:
        """Restart a crashed worker under the same id."""
        if not self.workers[name].up:
            self.workers[name].restart(int(self.now * 1000) + 7)

    def workers_running(self, task: TaskId) -> list[WorkerId]:
        """Return the ids of the workers on which a task runs."""
        return [name for name, fake in self.workers.items() if task in fake.runs]
