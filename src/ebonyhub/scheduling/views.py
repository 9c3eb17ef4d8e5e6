"""What the planner of the fleet asks the scheduler."""

from math import ceil

from ..fleet.demand import Demand
from ..fleet.model import FleetLoad, VmLoad
from ..ids import PoolName, ServiceName, VmId, WorkerId
from ..jobs.model import StepSpec
from .runs import Job, Worker
from .state import SchedulerState

# Seconds in which tasks that wait for a worker are to be worked off.
BACKLOG_SECONDS = 1.0


class FleetViews(SchedulerState):
    """Loads of VMs and demand of services."""

    def loads(self, now: float) -> FleetLoad:
        """Return what runs on each VM, over all lives of its worker."""
        by_vm: dict[VmId, VmLoad] = {}
        heard: set[WorkerId] = set()
        for worker in self.workers.values():
            if worker.contact_at is not None:
                heard.add(worker.worker_id)
            if worker.expired or not worker.entry.vm:
                continue
            before = by_vm.get(worker.entry.vm, VmLoad())
            by_vm[worker.entry.vm] = _add_load(before, worker)
        settled = now > self.inherited_leases_until
        return FleetLoad(by_vm, None if settled else heard)

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


def _add_load(load: VmLoad, worker: Worker) -> VmLoad:
    """Return the load with what runs on one more worker of the VM."""
    serving = [
        run.reserved.cpu / 1000 for run in worker.runs.values() if run.step.long_running
    ]
    return VmLoad(
        load.used_cores + worker.used.cpu / 1000,
        load.tasks + len(worker.runs),
        load.long_running + len(serving),
        load.long_running_cores + sum(serving),
    )


def _spread_vms(step: StepSpec) -> int:
    """Return the number of VMs that a step's limit per worker asks for."""
    return ceil(step.count / step.max_per_worker) if step.max_per_worker else 0


def _waiting_cores(job: Job) -> float:
    """Return the cores that the job's ready tasks want at once.

    A task that is shorter than the time allowed for a backlog needs only a part of a
    core's time.
    """
    cores = 0.0
    for (_, number), indexes in job.pending.items():
        step = job.accepted.spec.steps[number]
        if not step.long_running:
            share = min(1.0, step.estimate_ms / 1000 / BACKLOG_SECONDS)
            cores += len(indexes) * step.reserved.cpu / 1000 * share
    return cores
