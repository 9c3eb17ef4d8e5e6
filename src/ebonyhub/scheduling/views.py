"""Load, demand and forecasts that the scheduler provides to the fleet planner."""

from collections.abc import Mapping
from math import ceil

from ..fleet.demand import Demand
from ..fleet.model import FleetLoad, VmLoad
from ..ids import JobId, PoolName, ServiceName, VmId, WorkerId
from ..jobs.model import Resources, StepSpec
from .overload import BacklogJob, Forecast, build_forecast
from .priority import Rank, remaining_core_seconds
from .runs import Job, Run, RunPhase, Worker
from .shedding.measurement import measure_loads, responding_share
from .shedding.service_load import ServiceLoad
from .shedding.standings import AllWithinShare, Standings
from .state import SchedulerState, tasks_within_limit

# Seconds within which the backlog of waiting tasks should be served.
BACKLOG_DRAIN_SECONDS = 1.0
# Progress in percent from which extrapolation is more accurate than the estimate.
MIN_PERCENT_TO_EXTRAPOLATE = 10


class FleetViews(SchedulerState):
    """Computes the load of VMs and the demand and backlog of services."""

    def fleet_load(self, now: float) -> FleetLoad:
        """Return the load of each VM, summed over all worker ids seen on it.

        Until all leases of earlier leaders have ended, the result also names the
        workers that have reported, since others may have unknown runs.
        """
        by_vm: dict[VmId, VmLoad] = {}
        reported_workers: set[WorkerId] = set()
        capacities: dict[VmId, Resources] = {}
        for worker in self.workers.values():
            if worker.last_response_at is not None:
                reported_workers.add(worker.worker_id)
            if worker.expired or not worker.entry.vm:
                continue
            if not worker.deregistered:
                capacities[worker.entry.vm] = worker.entry.capacity
            before = by_vm.get(worker.entry.vm, VmLoad())
            by_vm[worker.entry.vm] = _add_load(before, worker, now)
        inherited_leases_ended = now > self.inherited_leases_until
        return FleetLoad(
            by_vm, None if inherited_leases_ended else reported_workers, capacities
        )

    def forecasts(
        self, cores: Mapping[ServiceName, float], now: float
    ) -> dict[ServiceName, Forecast]:
        """Return the forecast of each service with waiting jobs, given its cores."""
        backlog_jobs: dict[ServiceName, list[BacklogJob]] = {}
        for job in self.active.values():
            if not job.pending or job.accepted.spec.long_running:
                continue
            urgency = self.urgency(job, self.queues.get(job.queue), now, False)
            late = urgency.rank is Rank.LATE
            size = sum(step.core_seconds for step in job.accepted.spec.steps)
            backlog_job = BacklogJob(
                size, remaining_core_seconds(job), job.started, late
            )
            backlog_jobs.setdefault(self.service_of(job), []).append(backlog_job)
        service_cores = dict(cores)
        free_cpu: dict[ServiceName, int] = {}
        for worker in self.workers.values():
            runs = [run for run in worker.runs.values() if run.step.long_running]
            held_cores = sum(run.reserved.cpu for run in runs) / 1000
            service = worker.entry.service
            service_cores[service] = max(
                0.0, service_cores.get(service, 0.0) - held_cores
            )
            if self.is_eligible(worker, now):
                free_cpu[service] = max(free_cpu.get(service, 0), worker.free.cpu)
        return {
            service: build_forecast(
                service_cores.get(service, 0.0), jobs, free_cpu.get(service, 0)
            )
            for service, jobs in backlog_jobs.items()
        }

    def service_loads(
        self,
        cores_on_way: Mapping[ServiceName, float],
        now: float,
        standings: Standings | None = None,
    ) -> dict[ServiceName, ServiceLoad]:
        """Return the load of each service with jobs, for shedding by cost.

        ``cores_on_way`` are the cores of VMs that are planned to move or moving there.
        """
        known = standings or AllWithinShare()
        jobs = [
            (
                self.service_of(job),
                job,
                self.urgency(job, self.queues.get(job.queue), now, False),
                known.standing(job),
                allowed,
            )
            for job, allowed in self.jobs_within_limits()
        ]
        workers = [w for w in self.workers.values() if self.is_eligible(w, now)]
        return measure_loads(jobs, workers, cores_on_way, self.fleet_slowdown, now)

    def expected_cores_on_way(
        self, cores_on_way: Mapping[ServiceName, float], now: float
    ) -> dict[ServiceName, float]:
        """Return the cores on their way of which the workers will probably respond."""
        responsive = {
            worker.worker_id
            for worker in self.workers.values()
            if self.is_responsive(worker, now)
        }
        share = responding_share(self.workers.values(), responsive)
        return {service: cores * share for service, cores in cores_on_way.items()}

    def demands(self, now: float) -> dict[PoolName, Demand]:
        """Return the demand of each service, as the pool of the same name."""
        serving: dict[ServiceName, float] = {}
        running: dict[ServiceName, float] = {}
        waiting: dict[ServiceName, float] = {}
        over_rate: dict[ServiceName, float] = {}
        spread: dict[ServiceName, int] = {}
        self._count_arrivals()
        claims = self.workspaces.start_demand()
        jobs = list(self.active.values())
        if self.workspaces.is_active:
            # Long-running tasks start first, so they claim what limits leave first.
            jobs.sort(key=lambda job: not job.accepted.spec.long_running)
        for job in jobs:
            service = self.service_of(job)
            room = claims.room(job.accepted.workspace)
            allowed = None if room is None else tasks_within_limit(job, room)
            for number, step in enumerate(job.accepted.spec.steps):
                if step.long_running:
                    held_back = _tasks_beyond_limit(job, number, allowed)
                    # Occurrences of a schedule may wait beside each other.
                    count = max(0, step.count - held_back)
                    cores = count * step.reserved.cpu / 1000
                    serving[service] = serving.get(service, 0.0) + cores
                    vms = _spread_vms(step, count)
                    spread[service] = max(spread.get(service, 0), vms)
            cores_needed = _waiting_cores(job, allowed)
            by_service = over_rate if self._is_over_rate(job.job_id) else waiting
            by_service[service] = by_service.get(service, 0.0) + cores_needed
        for worker in self.workers.values():
            service = worker.entry.service
            runs = [run for run in worker.runs.values() if not run.step.long_running]
            if self.workspaces.is_active:
                beyond = [run for run in runs if self._is_over_rate(run.task.job)]
                runs = [run for run in runs if not self._is_over_rate(run.task.job)]
                cores = sum(run.reserved.cpu / 1000 for run in beyond)
                over_rate[service] = over_rate.get(service, 0.0) + cores
            cores = sum(run.reserved.cpu / 1000 for run in runs)
            running[service] = running.get(service, 0.0) + cores
        demands_by_pool: dict[PoolName, Demand] = {}
        for service in {*serving, *running, *waiting, *over_rate, *self.arrival_meters}:
            meter = self.arrival_meters.get(service)
            arriving, arrived_before = meter.rates(now) if meter else (0.0, 0.0)
            demands_by_pool[PoolName(service)] = Demand(
                serving.get(service, 0.0),
                running.get(service, 0.0),
                waiting.get(service, 0.0),
                arriving,
                arrived_before,
                spread.get(service, 0),
                over_rate.get(service, 0.0),
            )
        return demands_by_pool

    def _count_arrivals(self) -> None:
        """Add the work that has arrived within the rates to the meters."""
        while self.uncounted_arrivals:
            arrival = self.uncounted_arrivals.popleft()
            if not self._is_over_rate(arrival.job):
                self.arrival_meters[arrival.service].add(arrival.at, arrival.work)

    def _is_over_rate(self, job_id: JobId) -> bool:
        """Return whether the job is beyond the rate of its workspace."""
        return self.workspaces.is_active and self.workspaces.rates.is_over(job_id)


def _add_load(load: VmLoad, worker: Worker, now: float) -> VmLoad:
    """Return ``load`` plus the runs of one more worker of the VM."""
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
    """Return the estimated seconds until all but long-running tasks have ended."""
    return max(
        (
            _seconds_left(run, now)
            for run in worker.runs.values()
            if not run.step.long_running
        ),
        default=0.0,
    )


def _seconds_left(run: Run, now: float) -> float:
    """Return the remaining seconds of a run, by its progress or else its estimate."""
    if run.phase is not RunPhase.CONFIRMED:
        return run.step.estimate_ms / 1000
    elapsed = now - run.confirmed_at
    if run.progress_percent >= MIN_PERCENT_TO_EXTRAPOLATE:
        total_seconds = (
            (run.progress_changed_at - run.confirmed_at) * 100 / run.progress_percent
        )
    else:
        total_seconds = run.step.estimate_ms / 1000
    return max(0.0, total_seconds - elapsed)


def _spread_vms(step: StepSpec, count: int) -> int:
    """Return the number of VMs needed by a step's limit per worker, 0 without."""
    return ceil(count / step.max_per_worker) if step.max_per_worker else 0


def _tasks_beyond_limit(
    job: Job, number: int, allowed: dict[tuple[int, int], int] | None
) -> int:
    """Return how many ready tasks of a step have to wait for the limit."""
    if allowed is None:
        return 0
    return sum(
        len(positions) - allowed[key]
        for key, positions in job.pending.items()
        if key[1] == number
    )


def _waiting_cores(job: Job, allowed: dict[tuple[int, int], int] | None) -> float:
    """Return the cores needed to serve the job's ready tasks in BACKLOG_DRAIN_SECONDS.

    A task shorter than that occupies its cores for only part of the time. ``allowed``
    is the result of ``tasks_within_limit``, or None for all tasks.
    """
    cores = 0.0
    for key, positions in job.pending.items():
        step = job.accepted.spec.steps[key[1]]
        if not step.long_running:
            share = min(1.0, step.estimate_ms / 1000 / BACKLOG_DRAIN_SECONDS)
            tasks = len(positions) if allowed is None else allowed[key]
            cores += tasks * step.reserved.cpu / 1000 * share
    return cores
