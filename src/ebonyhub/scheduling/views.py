"""What the planner of the fleet asks the scheduler."""

from collections.abc import Mapping
from math import ceil

from ..fleet.demand import Demand
from ..fleet.model import FleetLoad, VmLoad
from ..ids import PoolName, ServiceName, VmId, WorkerId
from ..jobs.model import StepSpec
from .overload import BacklogJob, Forecast, build_forecast
from .priority import Rank, remaining_core_seconds
from .runs import Job, Run, RunPhase, Worker
from .state import SchedulerState

# Seconds in which tasks that wait for a worker are to be worked off.
BACKLOG_DRAIN_SECONDS = 1.0
# Progress in percent from which on it tells more than the estimate.
MIN_PERCENT_TO_EXTRAPOLATE = 10


class FleetViews(SchedulerState):
    """Loads of VMs and demand of services."""

    def fleet_load(self, now: float) -> FleetLoad:
        """Return what runs on each VM, over all lives of its worker."""
        by_vm: dict[VmId, VmLoad] = {}
        heard: set[WorkerId] = set()
        for worker in self.workers.values():
            if worker.last_response_at is not None:
                heard.add(worker.worker_id)
            if worker.expired or not worker.entry.vm:
                continue
            before = by_vm.get(worker.entry.vm, VmLoad())
            by_vm[worker.entry.vm] = _add_load(before, worker, now)
        settled = now > self.inherited_leases_until
        return FleetLoad(by_vm, None if settled else heard)

    def forecasts(
        self, cores: Mapping[ServiceName, float], now: float
    ) -> dict[ServiceName, Forecast]:
        """Return room and owed work of each service with these cores."""
        owed: dict[ServiceName, list[BacklogJob]] = {}
        for job in self.active.values():
            if not job.pending or job.accepted.spec.long_running:
                continue
            urgency = self.urgency(job, self.queues.get(job.queue), now, False)
            late = urgency.rank is Rank.LATE
            size = sum(step.core_seconds for step in job.accepted.spec.steps)
            left = BacklogJob(size, remaining_core_seconds(job), job.started, late)
            owed.setdefault(self.service_of(job), []).append(left)
        room = dict(cores)
        free: dict[ServiceName, int] = {}
        for worker in self.workers.values():
            runs = [run for run in worker.runs.values() if run.step.long_running]
            held = sum(run.reserved.cpu for run in runs) / 1000
            service = worker.entry.service
            room[service] = max(0.0, room.get(service, 0.0) - held)
            if self.is_eligible(worker, now):
                free[service] = max(free.get(service, 0), worker.free.cpu)
        return {
            service: build_forecast(room.get(service, 0.0), jobs, free.get(service, 0))
            for service, jobs in owed.items()
        }

    def demands(self, now: float) -> dict[PoolName, Demand]:
        """Return the demand of each service."""
        serving: dict[ServiceName, float] = {}
        running: dict[ServiceName, float] = {}
        waiting: dict[ServiceName, float] = {}
        spread: dict[ServiceName, int] = {}
        for job in self.active.values():
            service = self.service_of(job)
            for step in job.accepted.spec.steps:
                if step.long_running:
                    cores = step.count * step.reserved.cpu / 1000
                    serving[service] = serving.get(service, 0.0) + cores
                    spread[service] = max(spread.get(service, 0), _spread_vms(step))
            wanted = _waiting_cores(job)
            waiting[service] = waiting.get(service, 0.0) + wanted
        for worker in self.workers.values():
            cores = sum(
                run.reserved.cpu / 1000
                for run in worker.runs.values()
                if not run.step.long_running
            )
            service = worker.entry.service
            running[service] = running.get(service, 0.0) + cores
        found: dict[PoolName, Demand] = {}
        for service in {*serving, *running, *waiting, *self.arrivals}:
            meter = self.arrivals.get(service)
            recent, before = meter.rates(now) if meter else (0.0, 0.0)
            found[PoolName(service)] = Demand(
                serving.get(service, 0.0),
                running.get(service, 0.0),
                waiting.get(service, 0.0),
                recent,
                before,
                spread.get(service, 0),
            )
        return found


def _add_load(load: VmLoad, worker: Worker, now: float) -> VmLoad:
    """Return the load with what runs on one more worker of the VM."""
    serving = [
        run.reserved.cpu / 1000 for run in worker.runs.values() if run.step.long_running
    ]
    return VmLoad(
        load.used_cores + worker.used.cpu / 1000,
        load.tasks + len(worker.runs),
        load.long_running_tasks + len(serving),
        load.long_running_cores + sum(serving),
        max(load.seconds_until_empty, _seconds_until_empty(worker, now)),
    )


def _seconds_until_empty(worker: Worker, now: float) -> float:
    """Return the seconds until the tasks that end by themselves have ended."""
    return max(
        (
            _seconds_left(run, now)
            for run in worker.runs.values()
            if not run.step.long_running
        ),
        default=0.0,
    )


def _seconds_left(run: Run, now: float) -> float:
    """Return how long a run still takes, by its progress, else by its estimate."""
    if run.phase is not RunPhase.CONFIRMED:
        return run.step.estimate_ms / 1000
    elapsed = now - run.confirmed_at
    if run.progress_percent >= MIN_PERCENT_TO_EXTRAPOLATE:
        whole = (
            (run.progress_changed_at - run.confirmed_at) * 100 / run.progress_percent
        )
    else:
        whole = run.step.estimate_ms / 1000
    return max(0.0, whole - elapsed)


def _spread_vms(step: StepSpec) -> int:
    """Return the number of VMs that a step's limit per worker asks for."""
    return ceil(step.count / step.max_per_worker) if step.max_per_worker else 0


def _waiting_cores(job: Job) -> float:
    """Return the cores that the job's ready tasks want at once.

    A task that is shorter than the time allowed for a backlog needs only a part of a
    core's time.
    """
    cores = 0.0
    for (_, number), positions in job.pending.items():
        step = job.accepted.spec.steps[number]
        if not step.long_running:
            share = min(1.0, step.estimate_ms / 1000 / BACKLOG_DRAIN_SECONDS)
            cores += len(positions) * step.reserved.cpu / 1000 * share
    return cores
