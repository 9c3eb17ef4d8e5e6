"""Measures the load of each service on the leader."""

from collections.abc import Container, Iterable, Mapping
from dataclasses import dataclass, field
from math import exp

from ...ids import ServiceName, WorkerId, WorkspaceName
from ..health import MIN_JOBS_FOR_SLOWDOWN, SlowdownAverage
from ..priority import Rank, Urgency, remaining_core_seconds
from ..runs import Job, Worker
from ..state import AllowedTasks, allowed_part
from ..workspaces.status import Standing
from .service_load import (
    CPU_CLASSES,
    STARTED,
    BacklogClass,
    ServiceLoad,
    Work,
    cpu_class,
    size_class,
)

# Time over which accepted work and started tasks are counted.
ARRIVAL_WINDOW_SECONDS = 1.5


@dataclass(slots=True)
class LoadMeter:
    """Sums up the load of one service; filled during one measurement."""

    cores: float = 0.0
    waiting: dict[BacklogClass, float] = field(default_factory=dict)
    arriving: dict[BacklogClass, float] = field(default_factory=dict)
    free_cpu: int = 0
    waiting_cores: list[float] = field(default_factory=lambda: [0.0] * len(CPU_CLASSES))
    recently_started: float = 0.0
    cores_on_way: float = 0.0
    over_rate: set[WorkspaceName] = field(default_factory=set)

    def add_job(
        self,
        job: Job,
        urgency: Urgency,
        standing: Standing,
        allowed: AllowedTasks | None,
        now: float,
    ) -> None:
        """Add a job that has not ended.

        ``allowed`` are its ready tasks that limits let start; None for all.
        """
        size = job_core_seconds(job)
        over_rate = standing is Standing.OVER_RATE
        if now - job.arrived_at <= ARRIVAL_WINDOW_SECONDS:
            if over_rate:
                self.over_rate.add(job.accepted.workspace)
            arriving_class = BacklogClass(
                over_rate,
                False,
                urgency.priority,
                standing is Standing.LENT,
                size_class(size),
            )
            self.arriving[arriving_class] = (
                self.arriving.get(arriving_class, 0.0) + size / ARRIVAL_WINDOW_SECONDS
            )
        work = remaining_core_seconds(job) * allowed_part(job, allowed)
        if work <= 0.0:
            return
        backlog_class = BacklogClass(
            over_rate,
            urgency.rank is Rank.LATE,
            urgency.priority,
            standing is Standing.LENT,
            STARTED if job.started else size_class(size),
        )
        self.waiting[backlog_class] = self.waiting.get(backlog_class, 0.0) + work
        for key, positions in job.pending.items():
            cpu = job.accepted.spec.steps[key[1]].reserved.cpu
            tasks = len(positions) if allowed is None else allowed[key]
            self.waiting_cores[cpu_class(cpu)] += tasks * cpu / 1000

    def add_worker(self, worker: Worker, fleet: SlowdownAverage, now: float) -> None:
        """Add a worker that takes tasks."""
        self.cores += worker_cores(worker, fleet)
        self.recently_started += sum(
            run.reserved.cpu / 1000
            for run in worker.runs.values()
            if not run.step.long_running
            and now - run.planned_at <= ARRIVAL_WINDOW_SECONDS
        )
        self.free_cpu = max(self.free_cpu, worker.free.cpu)

    def load(self) -> ServiceLoad:
        """Return what was added."""
        classes = {*self.waiting, *self.arriving}
        work = {
            key: Work(self.waiting.get(key, 0.0), self.arriving.get(key, 0.0))
            for key in classes
        }
        return ServiceLoad(
            self.cores + self.cores_on_way, work, self.free_cpu,
            tuple(self.waiting_cores), self.recently_started / ARRIVAL_WINDOW_SECONDS,
            self.cores_on_way, frozenset(self.over_rate),
        )  # fmt: skip


def slowdown(worker: Worker, fleet: SlowdownAverage) -> float:
    """Return by which factor tasks take longer on the worker than elsewhere."""
    measured = worker.process.health.slowdown
    if measured.samples < MIN_JOBS_FOR_SLOWDOWN:
        return 1.0
    return max(1.0, exp(measured.average - fleet.average))


def worker_cores(worker: Worker, fleet: SlowdownAverage) -> float:
    """Return the cores that a worker has for jobs, fewer if it is slow."""
    serving = sum(
        run.reserved.cpu for run in worker.runs.values() if run.step.long_running
    )
    cpu = max(0, worker.entry.capacity.cpu - serving)
    return cpu / 1000 / slowdown(worker, fleet)


def responding_share(
    workers: Iterable[Worker], responsive: Container[WorkerId]
) -> float:
    """Return the share of the registered workers that respond.

    VMs on their way count by it: which of them will respond is not known before.
    """
    registered = [worker for worker in workers if not worker.deregistered]
    if not registered:
        return 1.0
    answering = sum(1 for worker in registered if worker.worker_id in responsive)
    return answering / len(registered)


def job_core_seconds(job: Job) -> float:
    """Return the estimated work of all tasks of a job."""
    return sum(step.core_seconds for step in job.accepted.spec.steps)


def measure_loads(
    jobs: Iterable[tuple[ServiceName, Job, Urgency, Standing, AllowedTasks | None]],
    workers: Iterable[Worker],
    cores_on_way: Mapping[ServiceName, float],
    fleet: SlowdownAverage,
    now: float,
) -> dict[ServiceName, ServiceLoad]:
    """Return the load of each service with jobs.

    ``workers`` are those that respond and take tasks.
    """
    meters: dict[ServiceName, LoadMeter] = {}
    for service, job, urgency, standing, allowed in jobs:
        meter = meters.setdefault(service, LoadMeter())
        meter.add_job(job, urgency, standing, allowed, now)
    for worker in workers:
        service_meter = meters.get(worker.entry.service)
        if service_meter is not None:
            service_meter.add_worker(worker, fleet, now)
    for service, meter in meters.items():
        meter.cores_on_way = cores_on_way.get(service, 0.0)
    return {service: meter.load() for service, meter in meters.items()}
