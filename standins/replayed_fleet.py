"""A recorded day of jobs in fake time, around the real scheduler and fleet planner.

Workers run each task for the time that it took on the recorded day. VMs move between
pools as the cloud moves them. There are no sockets and no wall-clock time, so two
policies see the same load and a run repeats exactly.
"""

from collections.abc import Sequence
from dataclasses import dataclass, field, replace
from heapq import heappop, heappush
from itertools import count

from ebonyhub.configuration import (
    ConfigurationLimits,
    Queue,
    Service,
    build_configuration,
)
from ebonyhub.fleet.model import Vm, VmState
from ebonyhub.fleet.planner import FleetPlanner
from ebonyhub.ids import (
    JobId,
    LeaderToken,
    PoolName,
    QueueName,
    RackId,
    ServiceName,
    VmId,
    WorkerId,
)
from ebonyhub.jobs.model import AcceptedJob, JobSpec, Resources, StepSpec
from ebonyhub.scheduling.model import OrderFailure, RunOutcome, StartOrder
from ebonyhub.scheduling.orders import FetchReport, StartRun, StopRun, ThrottleRun
from ebonyhub.scheduling.overload import usefulness_overrun_seconds
from ebonyhub.scheduling.scheduler import Scheduler
from standins.fake_worker import FakeWorker

STEP_SECONDS = 0.02
# Seconds between a decision and its effect: a commit and an order.
ORDER_SECONDS = 0.02
HOLD_SECONDS = 1.0
PLAN_SECONDS = 0.2
MOVE_SECONDS = 1.5
LEASE_MS = 6000
# Seconds before the first job in which the pools settle.
LEAD_SECONDS = 4.0
# Seconds for which jobs that came last may still run.
TAIL_SECONDS = 16.0
TOKEN = LeaderToken(1)
# A job that takes longer than this multiple of its objective is worth nothing.
LATE_LIMIT = 3.0
WINDOW_SECONDS = 2.0


@dataclass(frozen=True, slots=True)
class RecordedStep:
    """A step with the time (ms) that each of its tasks took."""

    spec: StepSpec
    task_ms: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class RecordedJob:
    """A job with the second of the day in which it came."""

    at: float
    queue: QueueName
    steps: tuple[RecordedStep, ...]

    @property
    def critical_path_seconds(self) -> float:
        """Return the time of the longest chain as it was on the recorded day."""
        longest: list[float] = []
        for step in self.steps:
            before = max((longest[i] for i in step.spec.after), default=0.0)
            longest.append(before + sum(step.task_ms) / len(step.task_ms) / 1000)
        return max(longest)

    @property
    def core_seconds(self) -> float:
        """Return the work of the job."""
        return sum(s.spec.demand.cpu / 1000 * sum(s.task_ms) / 1000 for s in self.steps)


@dataclass(frozen=True, slots=True)
class Loss:
    """VMs of a rack that are dark for a while."""

    at: float
    seconds: float
    rack: RackId


@dataclass(frozen=True, slots=True)
class RecordedDay:
    """Everything that a replay needs."""

    queues: tuple[Queue, ...]
    vms_per_pool: int
    vms_per_rack: int
    capacity: Resources
    standby: ServiceName
    jobs: tuple[RecordedJob, ...]
    losses: tuple[Loss, ...] = ()


@dataclass(slots=True)
class Outcome:
    """What became of one job."""

    job: RecordedJob
    objective: float
    ended_after: float | None = None
    refused: bool = False

    @property
    def in_time(self) -> bool:
        """Return whether the job ended within its objective."""
        return self.ended_after is not None and self.ended_after <= self.objective

    @property
    def of_use(self) -> bool:
        """Return whether the caller still had a use for the result."""
        if self.ended_after is None:
            return False
        return self.ended_after <= LATE_LIMIT * self.objective


@dataclass(slots=True)
class DayReport:
    """Figures of a replayed day."""

    outcomes: list[Outcome]
    # Cores of one VM.
    capacity_cores: float = 1.0
    pool_seconds: float = 0.0
    used_core_seconds: float = 0.0
    moves: int = 0
    # Refusals while a worker had room for a task of the job.
    refused_with_room: int = 0

    @property
    def in_time_share(self) -> float:
        """Return the share of the work that ended within its objective."""
        return _share(self.outcomes, [o for o in self.outcomes if o.in_time])

    @property
    def accepted_useless(self) -> int:
        """Return how many jobs were accepted and ended too late to be of use."""
        return sum(1 for o in self.outcomes if not o.refused and not o.of_use)

    @property
    def refused(self) -> int:
        """Return how many jobs were refused."""
        return sum(1 for o in self.outcomes if o.refused)

    def windows(self) -> list[float]:
        """Return the share in time of the jobs that came in each window."""
        groups: dict[int, list[Outcome]] = {}
        for outcome in self.outcomes:
            groups.setdefault(int(outcome.job.at / WINDOW_SECONDS), []).append(outcome)
        return [
            _share(group, [o for o in group if o.in_time])
            for _, group in sorted(groups.items())
        ]

    def worst_windows(self) -> float:
        """Return the mean of the two worst windows."""
        return sum(sorted(self.windows())[:2]) / 2

    def largest_share(self) -> float:
        """Return the share in time of the largest tenth of the jobs."""
        ordered = sorted(self.outcomes, key=lambda o: -o.job.core_seconds)
        largest = ordered[: max(1, len(ordered) // 10)]
        return sum(o.in_time for o in largest) / len(largest)


def worth(job: RecordedJob, mean_work: float) -> float:
    """Return what a job is worth against a job of mean work."""
    return min(4.0, 0.3 + 0.7 * job.core_seconds / mean_work)


def _share(all_jobs: Sequence[Outcome], part: Sequence[Outcome]) -> float:
    if not all_jobs:
        return 1.0
    means: dict[QueueName, float] = {}
    for queue in {o.job.queue for o in all_jobs}:
        works = [o.job.core_seconds for o in all_jobs if o.job.queue == queue]
        means[queue] = sum(works) / len(works)
    total = sum(worth(o.job, means[o.job.queue]) for o in all_jobs)
    return sum(worth(o.job, means[o.job.queue]) for o in part) / total


@dataclass
class ReplayedFleet:
    """The services, their workers and VMs, and the leader's decisions."""

    day: RecordedDay
    scheduler: Scheduler = field(default_factory=Scheduler)
    planner: FleetPlanner = field(default_factory=FleetPlanner)
    now: float = 100.0

    def __post_init__(self) -> None:
        """Create pools, VMs and workers."""
        self.services = sorted({queue.service for queue in self.day.queues})
        pools = [*self.services, self.day.standby]
        self.scheduler.configure(
            build_configuration(
                1,
                {queue.name: queue for queue in self.day.queues},
                {s: Service(s, s == self.day.standby, False, 64) for s in pools},
                ConfigurationLimits(),
            )
        )
        self.planner.pool_names = {PoolName(pool) for pool in pools}
        self.standby_pool = PoolName(self.day.standby)
        self.planner.standby_pools = {self.standby_pool}
        self.vms: dict[VmId, Vm] = {}
        self.workers: dict[WorkerId, FakeWorker] = {}
        self.lives = count(1)
        numbers = count()
        for pool in pools:
            for number in range(self.day.vms_per_pool):
                rack = RackId(f"{pool}-{number // self.day.vms_per_rack}")
                self._add_vm(VmId(f"m{next(numbers)}"), PoolName(pool), rack)
        self.back_at: dict[VmId, float] = {}
        self.report = DayReport([], self.day.capacity.cpu / 1000)
        self.open: dict[JobId, tuple[Outcome, float]] = {}
        self.recorded: dict[JobId, RecordedJob] = {}
        self.events: list[tuple[float, int, object]] = []
        self.order = count()
        self.next_hold: dict[WorkerId, float] = {}
        self.next_plan = self.now
        self.next_tick = self.now

    def _add_vm(self, name: VmId, pool: PoolName, rack: RackId) -> None:
        self.vms[name] = Vm(
            name, pool, VmState.UP, "z", rack, self.day.capacity, WorkerId("")
        )
        self._begin_life(name)

    def _begin_life(self, name: VmId) -> None:
        """Let a VM come up with a new worker, unless its pool is off."""
        vm = self.vms[name]
        if vm.pool == self.standby_pool:
            self.vms[name] = replace(vm, state=VmState.UP, worker=WorkerId(""))
            return
        worker = FakeWorker(
            WorkerId(f"w{next(self.lives)}"), ServiceName(vm.pool), self.day.capacity,
            vm.rack, int(self.now * 1000), vm=name,
        )  # fmt: skip
        self.workers[worker.worker] = worker
        self.vms[name] = replace(vm, state=VmState.UP, worker=worker.worker)
        self.scheduler.handle_worker_entry(worker.entry, self.now)

    def _end_life(self, name: VmId, state: VmState, seconds: float) -> None:
        vm = self.vms[name]
        worker = self.workers.pop(vm.worker, None)
        if worker is not None:
            worker.crash()
            self.scheduler.handle_worker_entry_removed(worker.worker)
        self.vms[name] = replace(vm, state=state)
        self.back_at[name] = self.now + seconds

    # The day

    def play(self) -> DayReport:
        """Play the whole day."""
        start = self.now + LEAD_SECONDS
        for number, job in enumerate(self.day.jobs):
            self._at(start + job.at, (number, job))
        for loss in self.day.losses:
            self._at(start + loss.at, loss)
        end = start + max(job.at for job in self.day.jobs) + TAIL_SECONDS
        while self.now < end:
            self.now = round(self.now + STEP_SECONDS, 6)
            self._step()
        return self.report

    def _at(self, at: float, event: object) -> None:
        heappush(self.events, (at, next(self.order), event))

    def _step(self) -> None:
        while self.events and self.events[0][0] <= self.now:
            self._handle(heappop(self.events)[2])
        for name, at in list(self.back_at.items()):
            if self.now >= at:
                del self.back_at[name]
                self._begin_life(name)
        for worker in list(self.workers.values()):
            worker.advance(self.now)
            self._hold(worker)
        if self.now >= self.next_tick:
            self.next_tick = self.now + 0.1
            self.scheduler.tick(self.now, int(self.now * 1000))
        if self.now >= self.next_plan:
            self.next_plan = self.now + PLAN_SECONDS
            self._plan_fleet()
        self.scheduler.plan_changed(self.now)
        self._store_and_order()
        self._count()

    def _handle(self, event: object) -> None:
        match event:
            case (int(number), RecordedJob() as job):
                self._submit(number, job)
            case Loss():
                for name, vm in list(self.vms.items()):
                    if vm.rack == event.rack and vm.state is VmState.UP:
                        self._end_life(name, VmState.DOWN, event.seconds)
            case StartRun():
                self._start(event)
            case StopRun():
                worker = self.workers.get(event.worker)
                if worker is not None:
                    worker.stop(event.task, event.number, TOKEN, self.now)
                    self.scheduler.handle_stop_result(event, None, self.now)

    def _submit(self, number: int, job: RecordedJob) -> None:
        queue = next(queue for queue in self.day.queues if queue.name == job.queue)
        outcome = Outcome(
            job, queue.stretch * job.critical_path_seconds + queue.target_seconds
        )
        spec = JobSpec("t", tuple(step.spec for step in job.steps))
        if not spec.long_running:
            self.report.outcomes.append(outcome)
        if not self.admit(queue, spec):
            outcome.refused = True
            return
        job_id = JobId(f"{number:016x}")
        self.recorded[job_id] = job
        accepted = AcceptedJob(
            job_id, job.queue, queue.service, 3, int(self.now * 1000), spec
        )
        self.open[job_id] = (outcome, self.now)
        self.scheduler.load_job(accepted, None, False, self.now, int(self.now * 1000))

    def admit(self, queue: Queue, spec: JobSpec) -> bool:
        """Return whether an entry accepts the job; notes refusals with room free."""
        cores = {ServiceName(pool): n for pool, n in self.planner.pool_cores().items()}
        forecast = self.scheduler.forecasts(cores, self.now).get(queue.service)
        if forecast is None or usefulness_overrun_seconds(queue, spec, forecast) <= 0.0:
            return True
        smallest = min(step.reserved.cpu for step in spec.steps)
        self.report.refused_with_room += any(
            worker.entry.service == queue.service
            and self.scheduler.is_eligible(worker, self.now)
            and worker.free.cpu >= smallest
            for worker in self.scheduler.workers.values()
        )
        return False

    def _start(self, order: StartRun) -> None:
        run = order.run
        fake = self.workers.get(run.worker)
        worker = self.scheduler.workers.get(run.worker)
        if fake is None or worker is None:
            return
        deadline = worker.clock_now_ms(self.now) + LEASE_MS
        worker.lease_end_ms = max(worker.lease_end_ms, deadline)
        step = self.recorded[run.task.job].steps[run.task.step]
        duration = None
        if not step.spec.long_running:
            duration = step.task_ms[run.task.position]
        start = StartOrder(run.task, run.number, "", deadline, TOKEN)
        failure = fake.start(start, self.now, duration, RunOutcome.DONE)
        self.scheduler.handle_start_result(run, failure, self.now)

    def _hold(self, fake: FakeWorker) -> None:
        if not fake.ended and self.now < self.next_hold.get(fake.worker, 0.0):
            return
        worker = self.scheduler.workers.get(fake.worker)
        if worker is None:
            return
        self.next_hold[fake.worker] = self.now + HOLD_SECONDS
        lease = None
        if worker.last_response_at is not None:
            lease = worker.clock_now_ms(self.now) + LEASE_MS
            worker.lease_end_ms = max(worker.lease_end_ms, lease)
        report = fake.hold(TOKEN, 0, lease, self.now)
        if isinstance(report, OrderFailure):
            return
        fake.ended.clear()
        self.scheduler.handle_report(
            worker, report, self.now, self.now, int(self.now * 1000)
        )

    def _store_and_order(self) -> None:
        for job in list(self.scheduler.dirty.values()):
            self.scheduler.mark_stored(job, job.version)
        self.scheduler.release_starts(self.now)
        for worker in self.scheduler.workers.values():
            if worker.unstored_ends:
                self.scheduler.acknowledge_stored_ends(worker)
        while self.scheduler.outbox:
            order = self.scheduler.outbox.popleft()
            match order:
                case StartRun() | StopRun():
                    self._at(self.now + ORDER_SECONDS, order)
                case FetchReport():
                    self.next_hold[order.worker] = 0.0
                case ThrottleRun():
                    continue

    def _plan_fleet(self) -> None:
        self.planner.update_vms(list(self.vms.values()), self.now)
        self.scheduler.expire_workers_without_vm(list(self.vms.values()), self.now)
        self.planner.fleet_load = self.scheduler.fleet_load(self.now)
        demands = self.scheduler.demands(self.now)
        changes = self.planner.plan(demands, self.now)
        self.scheduler.pool_cores = {
            ServiceName(pool): cores
            for pool, cores in self.planner.pool_cores().items()
        }
        self.scheduler.set_cordoned(self.planner.cordoned_vms())
        for change in changes:
            vm = self.vms[change.vm]
            if vm.state is not VmState.UP:
                self.planner.mark_refused(change, "busy", False, self.now)
                continue
            self._end_life(change.vm, VmState.MOVING, MOVE_SECONDS)
            if change.pool is not None:
                self.vms[change.vm] = replace(self.vms[change.vm], pool=change.pool)
            self.planner.mark_accepted(change, self.now)
            self.report.moves += 1

    def _count(self) -> None:
        """Count paid and used capacity, and the jobs that have ended."""
        paid = sum(1 for vm in self.vms.values() if vm.pool != self.standby_pool)
        self.report.pool_seconds += paid * STEP_SECONDS
        used = sum(w.used.cpu for w in self.scheduler.workers.values())
        self.report.used_core_seconds += used / 1000 * STEP_SECONDS
        for job_id in [j for j in self.open if self.scheduler.jobs[j].is_final]:
            outcome, came_at = self.open.pop(job_id)
            outcome.ended_after = self.now - came_at
