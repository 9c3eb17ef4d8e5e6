"""Shedding by cost on the leader: measures loads and orders the waiting jobs."""

from collections.abc import Mapping

from ...events import Event, log_event
from ...fleet.state import FleetState
from ...ids import ServiceName
from ..scheduler import Scheduler
from .order import SheddingOrder
from .service_load import ServiceLoad
from .standings import Standings, standings_of

# Time after the first measurement of a term in which nothing is sent: not all workers
# have responded to the new leader, so their cores would be missing.
GRACE_SECONDS = 2.5


class LeaderShedding:
    """Shedding during one term; sets the order of the scheduler's waiting jobs."""

    def __init__(
        self, scheduler: Scheduler, standings: Standings | None = None
    ) -> None:
        self.scheduler = scheduler
        self.standings = standings or standings_of(scheduler)
        self.order = SheddingOrder(self.standings)
        # Cores of VMs that are planned to move or moving to each service.
        self.cores_on_way: Mapping[ServiceName, float] = {}
        scheduler.urgency = self.order
        # Services whose loads the entries have been told.
        self.short_services: set[ServiceName] = set()
        self.first_measured_at: float | None = None

    def update_fleet(self, fleet: FleetState, now: float) -> None:
        """Note the cores of the VMs that are planned to move or moving."""
        cores = {
            ServiceName(pool): vms * fleet.cores_per_vm(pool)
            for pool, vms in fleet.vms_on_way().items()
        }
        self.cores_on_way = self.scheduler.expected_cores_on_way(cores, now)

    def loads(self, now: float) -> dict[ServiceName, ServiceLoad]:
        """Return the loads of all services with jobs; logs which become short."""
        if self.first_measured_at is None:
            self.first_measured_at = now
        if now - self.first_measured_at < GRACE_SECONDS:
            return {}
        loads = self.scheduler.service_loads(self.cores_on_way, now, self.standings)
        short = {service for service, load in loads.items() if load.is_significant}
        for service in sorted(short - self.short_services):
            log_event(
                Event.CAPACITY_SHORT, service=service,
                cores=round(loads[service].cores, 1),
                backlog=round(loads[service].backlog, 1),
                on_way=round(loads[service].cores_on_way, 1),
            )  # fmt: skip
        for service in sorted(self.short_services - short):
            log_event(Event.CAPACITY_SUFFICIENT, service=service)
        self.short_services = short
        return loads
