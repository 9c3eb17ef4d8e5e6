"""Replays a recorded day of jobs against the real scheduler and fleet planner.

Workers run each task for its recorded time, and VMs move between pools as in the cloud.
The replay uses simulated time and no sockets, so all policies see the same load and a
run repeats exactly.
"""

import random
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
    NO_WORKSPACE,
    JobId,
    LeaderToken,
    PoolName,
    QueueName,
    RackId,
    ServiceName,
    VmId,
    WorkerId,
    WorkspaceName,
)
from ebonyhub.jobs.model import AcceptedJob, JobSpec, Resources, StepSpec
from ebonyhub.scheduling.model import OrderFailure, RunOutcome, StartOrder
from ebonyhub.scheduling.orders import FetchReport, StartRun, StopRun, ThrottleRun
from ebonyhub.scheduling.overload import usefulness_overrun_seconds
from ebonyhub.scheduling.scheduler import Scheduler
from standins.fake_worker import FakeWorker

STEP_SECONDS = 0.02
# Seconds between a decision and its effect, for a commit and an order.
ORDER_DELAY_SECONDS = 0.02
POLL_INTERVAL_SECONDS = 1.0
PLAN_INTERVAL_SECONDS = 0.2
MOVE_DURATION_SECONDS = 1.5
LEASE_MS = 6000
# Seconds before the first job in which the pools reach their sizes.
WARM_UP_SECONDS = 4.0
# Seconds after the last arrival for which jobs may still run.
DRAIN_SECONDS = 16.0
TOKEN = LeaderToken(1)
# Seconds after which the leader polls a worker again that left a poll unanswered.
UNANSWERED_POLL_SECONDS = 1.65
# A result later than this multiple of the objective is of no use to the caller.
USEFULNESS_FACTOR = 3.0
WINDOW_SECONDS = 2.0


@dataclass(frozen=True, slots=True)
class RecordedStep:
    """A step with the time (ms) that each of its tasks took."""

    spec: StepSpec
    task_ms: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class RecordedJob:
    """A job and the second of the day at which it arrived."""

    at: float
    queue: QueueName
    steps: tuple[RecordedStep, ...]
    workspace: WorkspaceName = NO_WORKSPACE

    @property
    def critical_path_seconds(self) -> float:
        """Return the time of the longest path through the steps as recorded."""
        longest: list[float] = []
        for step in self.steps:
            before = max((longest[i] for i in step.spec.after), default=0.0)
            longest.append(before + sum(step.task_ms) / len(step.task_ms) / 1000)
        return max(longest)

    @property
    def core_seconds(self) -> float:
        """Return the recorded processor time of the job in core seconds."""
        return sum(s.spec.demand.cpu / 1000 * sum(s.task_ms) / 1000 for s in self.steps)


@dataclass(frozen=True, slots=True)
class RackOutage:
    """Outage of all VMs of a rack, from the second ``at`` for ``seconds``."""

    at: float
    seconds: float
    rack: RackId


@dataclass(frozen=True, slots=True)
class RecordedDay:
    """The fleet, queues, jobs and rack outages of a recorded day."""

    queues: tuple[Queue, ...]
    vms_per_pool: int
    vms_per_rack: int
    capacity: Resources
    standby: ServiceName
    jobs: tuple[RecordedJob, ...]
    rack_outages: tuple[RackOutage, ...] = ()
    # Share of the polls that workers leave unanswered.
    unanswered_poll_share: float = 0.0


@dataclass(slots=True)
class JobOutcome:
    """Result of one job."""

    job: RecordedJob
    objective_seconds: float
    ended_after_seconds: float | None = None
    refused: bool = False

    @property
    def in_time(self) -> bool:
        """Return whether the job ended within its objective."""
        return (
            self.ended_after_seconds is not None
            and self.ended_after_seconds <= self.objective_seconds
        )

    @property
    def is_useful(self) -> bool:
        """Return whether the result came early enough to be of use to the caller."""
        if self.ended_after_seconds is None:
            return False
        return self.ended_after_seconds <= USEFULNESS_FACTOR * self.objective_seconds


@dataclass(slots=True)
class DayReport:
    """Results of a replayed day."""

    outcomes: list[JobOutcome]
    # Cores of one VM.
    vm_cores: float = 1.0
    paid_vm_seconds: float = 0.0
    used_core_seconds: float = 0.0
    moves: int = 0
    # Refusals while a worker had capacity for a task of the job.
    refused_with_capacity: int = 0

    @property
    def in_time_share(self) -> float:
        """Return the share of the work that ended within its objective."""
        return _share(self.outcomes, [o for o in self.outcomes if o.in_time])

    @property
    def accepted_not_useful(self) -> int:
        """Return how many jobs were accepted and ended too late to be of use."""
        return sum(1 for o in self.outcomes if not o.refused and not o.is_useful)

    @property
    def refused(self) -> int:
        """Return how many jobs were refused."""
        return sum(1 for o in self.outcomes if o.refused)

    def in_time_by_window(self) -> list[float]:
        """Return the share in time of the jobs that arrived in each window."""
        groups: dict[int, list[JobOutcome]] = {}
        for outcome in self.outcomes:
            groups.setdefault(int(outcome.job.at / WINDOW_SECONDS), []).append(outcome)
        return [
            _share(group, [o for o in group if o.in_time])
            for _, group in sorted(groups.items())
        ]

    def mean_of_worst_windows(self) -> float:
        """Return the mean of the two worst windows."""
        return sum(sorted(self.in_time_by_window())[:2]) / 2

    def largest_jobs_in_time_share(self) -> float:
        """Return the share in time of the tenth of the jobs with the most work."""
        ordered = sorted(self.outcomes, key=lambda o: -o.job.core_seconds)
        largest = ordered[: max(1, len(ordered) // 10)]
        return sum(o.in_time for o in largest) / len(largest)


def job_weight(job: RecordedJob, mean_work: float) -> float:
    """Return the weight of a job in the shares; a job of mean work weighs 1."""
    return min(4.0, 0.3 + 0.7 * job.core_seconds / mean_work)


def _share(all_jobs: Sequence[JobOutcome], subset: Sequence[JobOutcome]) -> float:
    if not all_jobs:
        return 1.0
    mean_work_by_queue: dict[QueueName, float] = {}
    for queue in {o.job.queue for o in all_jobs}:
        job_work = [o.job.core_seconds for o in all_jobs if o.job.queue == queue]
        mean_work_by_queue[queue] = sum(job_work) / len(job_work)
    total = sum(job_weight(o.job, mean_work_by_queue[o.job.queue]) for o in all_jobs)
    return (
        sum(job_weight(o.job, mean_work_by_queue[o.job.queue]) for o in subset) / total
    )


@dataclass
class ReplayedFleet:
    """The services with their VMs and workers, driven by one leader."""

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
        self.worker_numbers = count(1)
        vm_numbers = count()
        for pool in pools:
            for number in range(self.day.vms_per_pool):
                rack = RackId(f"{pool}-{number // self.day.vms_per_rack}")
                self._add_vm(VmId(f"m{next(vm_numbers)}"), PoolName(pool), rack)
        self.back_up_at: dict[VmId, float] = {}
        self.report = DayReport([], self.day.capacity.cpu / 1000)
        self.open_jobs: dict[JobId, tuple[JobOutcome, float]] = {}
        self.recorded: dict[JobId, RecordedJob] = {}
        self.pending_events: list[tuple[float, int, object]] = []
        self.event_numbers = count()
        self.next_poll_at: dict[WorkerId, float] = {}
        # Workers that left a poll unanswered, and when its timeout is over.
        self.silent_until: dict[WorkerId, float] = {}
        self.rng = random.Random(1)
        self.next_plan = self.now
        self.next_tick = self.now

    def _add_vm(self, name: VmId, pool: PoolName, rack: RackId) -> None:
        self.vms[name] = Vm(
            name, pool, VmState.UP, "z", rack, self.day.capacity, WorkerId("")
        )
        self._start_worker(name)

    def _start_worker(self, name: VmId) -> None:
        """Bring a VM up, with a new worker unless it is in the standby pool."""
        vm = self.vms[name]
        if vm.pool == self.standby_pool:
            self.vms[name] = replace(vm, state=VmState.UP, worker=WorkerId(""))
            return
        worker = FakeWorker(
            WorkerId(f"w{next(self.worker_numbers)}"), ServiceName(vm.pool),
            self.day.capacity, vm.rack, int(self.now * 1000), vm=name,
        )  # fmt: skip
        self.workers[worker.worker] = worker
        self.vms[name] = replace(vm, state=VmState.UP, worker=worker.worker)
        self.scheduler.handle_worker_entry(worker.entry, self.now)

    def _take_vm_down(self, name: VmId, state: VmState, seconds: float) -> None:
        vm = self.vms[name]
        worker = self.workers.pop(vm.worker, None)
        if worker is not None:
            worker.crash()
            self.scheduler.handle_worker_entry_removed(worker.worker)
        self.vms[name] = replace(vm, state=state)
        self.back_up_at[name] = self.now + seconds

    def play(self) -> DayReport:
        """Replay the whole day and return its results."""
        start = self.now + WARM_UP_SECONDS
        for number, job in enumerate(self.day.jobs):
            self._schedule(start + job.at, (number, job))
        for outage in self.day.rack_outages:
            self._schedule(start + outage.at, outage)
        end = start + max(job.at for job in self.day.jobs) + DRAIN_SECONDS
        while self.now < end:
            self.now = round(self.now + STEP_SECONDS, 6)
            self._step()
        return self.report

    def _schedule(self, at: float, event: object) -> None:
        heappush(self.pending_events, (at, next(self.event_numbers), event))

    def _step(self) -> None:
        while self.pending_events and self.pending_events[0][0] <= self.now:
            self._handle(heappop(self.pending_events)[2])
        for name, at in list(self.back_up_at.items()):
            if self.now >= at:
                del self.back_up_at[name]
                self._start_worker(name)
        for worker in list(self.workers.values()):
            worker.advance(self.now)
            self._poll(worker)
        if self.now >= self.next_tick:
            self.next_tick = self.now + 0.1
            self.scheduler.tick(self.now, int(self.now * 1000))
        if self.now >= self.next_plan:
            self.next_plan = self.now + PLAN_INTERVAL_SECONDS
            self._plan_fleet()
        self.scheduler.plan_changed(self.now)
        self._commit_and_send_orders()
        self._update_report()

    def _handle(self, event: object) -> None:
        match event:
            case (int(number), RecordedJob() as job):
                self._submit(number, job)
            case RackOutage():
                for name, vm in list(self.vms.items()):
                    if vm.rack == event.rack and vm.state is VmState.UP:
                        self._take_vm_down(name, VmState.DOWN, event.seconds)
            case StartRun():
                self._start_run(event)
            case StopRun():
                worker = self.workers.get(event.worker)
                if worker is not None:
                    worker.stop(event.task, event.number, TOKEN, self.now)
                    self.scheduler.handle_stop_result(event, None, self.now)

    def _submit(self, number: int, job: RecordedJob) -> None:
        queue = next(queue for queue in self.day.queues if queue.name == job.queue)
        outcome = JobOutcome(
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
            job_id, job.queue, queue.service, 3, int(self.now * 1000), spec,
            job.workspace,
        )  # fmt: skip
        self.open_jobs[job_id] = (outcome, self.now)
        self.scheduler.load_job(accepted, None, False, self.now, int(self.now * 1000))

    def admit(self, queue: Queue, spec: JobSpec) -> bool:
        """Return whether an entry accepts the job; counts refusals despite capacity."""
        cores = {ServiceName(pool): n for pool, n in self.planner.pool_cores().items()}
        forecast = self.scheduler.forecasts(cores, self.now).get(queue.service)
        if forecast is None or usefulness_overrun_seconds(queue, spec, forecast) <= 0.0:
            return True
        smallest = min(step.reserved.cpu for step in spec.steps)
        self.report.refused_with_capacity += any(
            worker.entry.service == queue.service
            and self.scheduler.is_eligible(worker, self.now)
            and worker.free.cpu >= smallest
            for worker in self.scheduler.workers.values()
        )
        return False

    def _start_run(self, order: StartRun) -> None:
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

    def _poll(self, fake: FakeWorker) -> None:
        if self.now < self.silent_until.get(fake.worker, 0.0):
            return
        if not fake.ended and self.now < self.next_poll_at.get(fake.worker, 0.0):
            return
        if self.rng.random() < self.day.unanswered_poll_share:
            self.silent_until[fake.worker] = self.now + UNANSWERED_POLL_SECONDS
            return
        worker = self.scheduler.workers.get(fake.worker)
        if worker is None:
            return
        self.next_poll_at[fake.worker] = self.now + POLL_INTERVAL_SECONDS
        lease = None
        if worker.last_response_at is not None:
            lease = worker.clock_now_ms(self.now) + LEASE_MS
            worker.lease_end_ms = max(worker.lease_end_ms, lease)
        report = fake.poll(TOKEN, 0, lease, self.now)
        if isinstance(report, OrderFailure):
            return
        fake.ended.clear()
        self.scheduler.handle_report(
            worker, report, self.now, self.now, int(self.now * 1000)
        )

    def _commit_and_send_orders(self) -> None:
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
                    self._schedule(self.now + ORDER_DELAY_SECONDS, order)
                case FetchReport():
                    self.next_poll_at[order.worker] = 0.0
                    self.silent_until.pop(order.worker, None)
                case ThrottleRun():
                    continue

    def _plan_fleet(self) -> None:
        self.planner.update_vms(list(self.vms.values()), self.now)
        self.scheduler.expire_workers_without_vm(
            list(self.vms.values()), self.now, int(self.now * 1000)
        )
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
            self._take_vm_down(change.vm, VmState.MOVING, MOVE_DURATION_SECONDS)
            if change.pool is not None:
                self.vms[change.vm] = replace(self.vms[change.vm], pool=change.pool)
            self.planner.mark_accepted(change, self.now)
            self.report.moves += 1

    def _update_report(self) -> None:
        """Add paid and used capacity and the jobs that have ended to the report."""
        paid_vms = sum(1 for vm in self.vms.values() if vm.pool != self.standby_pool)
        self.report.paid_vm_seconds += paid_vms * STEP_SECONDS
        used_millicores = sum(w.used.cpu for w in self.scheduler.workers.values())
        self.report.used_core_seconds += used_millicores / 1000 * STEP_SECONDS
        for job_id in [j for j in self.open_jobs if self.scheduler.jobs[j].is_final]:
            outcome, arrived_at = self.open_jobs.pop(job_id)
            outcome.ended_after_seconds = self.now - arrived_at
