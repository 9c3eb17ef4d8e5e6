"""State that the parts of the fleet planner share: VMs, their loads and changes."""

from collections.abc import Iterable
from dataclasses import replace
from math import inf

from ..ids import PoolName, VmId, WorkerId
from .changes import Arrival, ChangePhase, VmChange
from .model import VM_LIST_LAG_SECONDS, FleetLoad, Vm, VmLoad, VmState

# Time after which an accepted change of a VM that is up counts as complete, whatever
# pool the VM is in. A move takes 1.5 s.
MOVE_TIMEOUT_SECONDS = 6.0
# A worker that registers sooner after the acceptance of a change started before it.
MIN_CHANGE_SECONDS = 1.0


class FleetState:
    """VMs as last listed, their loads, and changes that are planned or under way."""

    def __init__(self) -> None:
        self.vms: dict[VmId, Vm] = {}
        self.changes: dict[VmId, VmChange] = {}
        # All configured pools, and those of them whose VMs are parked and run no tasks.
        self.pool_names: set[PoolName] = set()
        self.standby_pools: set[PoolName] = set()
        # The pools that were configured when this term first listed the VMs, sorted.
        self.known_pools: list[PoolName] = []
        self.fleet_load = FleetLoad()
        # Earliest time of a new change of a VM after the cloud has refused one.
        self.backoff_until: dict[VmId, float] = {}
        # VMs whose change ended before the VM list showed it.
        self.arrivals: dict[VmId, Arrival] = {}
        # When the last complete list was requested.
        self.listed_at = -inf
        # VMs that were listed in this term and are missing now, with the time at which
        # the first complete list without them was requested.
        self.missing_since: dict[VmId, float] = {}

    def replace_vms(
        self,
        vms: Iterable[Vm],
        now: float,
        requested_at: float | None = None,
        complete: bool = True,
    ) -> None:
        """Replace the VM list and drop the accepted changes that are complete.

        Only a ``complete`` list shows that a VM is missing, as of the time at which it
        was requested.
        """
        known = set(self.vms)
        self.vms = {vm.vm_id: self._with_arrival(vm, now) for vm in vms}
        for vm_id in self.missing_since.keys() & self.vms.keys():
            del self.missing_since[vm_id]
        if complete:
            self.listed_at = now if requested_at is None else requested_at
            for vm_id in known - self.vms.keys():
                self.missing_since.setdefault(vm_id, self.listed_at)
        for change in list(self.changes.values()):
            if change.phase is not ChangePhase.ACCEPTED:
                continue
            vm = self.vms.get(change.vm)
            if vm is None or vm.state is VmState.UP:
                arrived = change.pool is None or (vm and vm.pool == change.pool)
                elapsed = now - change.phase_since
                # For up to 1 s, the list may still show the state before the change.
                # A request that was carried out late may have moved the VM elsewhere.
                if (arrived and elapsed > 1.0) or elapsed > MOVE_TIMEOUT_SECONDS:
                    del self.changes[change.vm]

    def _with_arrival(self, vm: Vm, now: float) -> Vm:
        """Return the VM as its new worker registered while the list may lag behind."""
        arrival = self.arrivals.get(vm.vm_id)
        if arrival is None:
            return vm
        listed = vm.state is VmState.UP and vm.worker == arrival.worker
        if listed or now - arrival.at > VM_LIST_LAG_SECONDS:
            del self.arrivals[vm.vm_id]
            return vm
        return replace(vm, pool=arrival.pool, state=VmState.UP, worker=arrival.worker)

    def mark_arrived(
        self, vm_id: VmId, pool: PoolName, worker: WorkerId, now: float
    ) -> bool:
        """End the change of a VM whose new worker has registered in ``pool``.

        The VM list shows the end of a change only when it is read next. Returns whether
        a change has ended. A change whose outcome was unknown at some time ends by the
        list alone, since the cloud may carry out its first request after the second.
        """
        change = self.changes.get(vm_id)
        vm = self.vms.get(vm_id)
        if vm is None or change is None or change.phase is not ChangePhase.ACCEPTED:
            return False
        if change.outcome_unknown or worker == change.replaced_worker:
            return False
        if now - change.phase_since < MIN_CHANGE_SECONDS:
            return False
        if pool != (change.pool or vm.pool):
            return False
        del self.changes[vm_id]
        self.arrivals[vm_id] = Arrival(pool, worker, now)
        self.vms[vm_id] = self._with_arrival(vm, now)
        return True

    def pool_sizes(self) -> dict[PoolName, int]:
        """Return the number of VMs that are in each pool or moving to it.

        VMs that leave it, are down or are due for maintenance do not count.
        """
        sizes = dict.fromkeys(self.known_pools, 0)
        for vm in self.vms.values():
            change = self.changes.get(vm.vm_id)
            pool: PoolName | None = None
            if change is None:
                pool = vm.pool if vm.state in (VmState.UP, VmState.MOVING) else None
            elif change.wave is None:
                pool = change.pool
            if pool is not None:
                sizes[pool] = sizes.get(pool, 0) + 1
        return sizes

    def vms_on_way(self) -> dict[PoolName, int]:
        """Return the number of VMs that are planned to move or moving to each pool."""
        counts: dict[PoolName, int] = {}
        for change in self.changes.values():
            if change.pool is not None:
                counts[change.pool] = counts.get(change.pool, 0) + 1
        return counts

    def pool_cores(self) -> dict[PoolName, float]:
        """Return the cores of each active pool once its moves are complete."""
        return {
            pool: size * self.cores_per_vm(pool)
            for pool, size in self.pool_sizes().items()
            if pool not in self.standby_pools
        }

    def cordoned_vms(self) -> set[VmId]:
        """Return the VMs that must get no new tasks."""
        return set(self.changes)

    def is_in_maintenance(self, vm_id: VmId) -> bool:
        """Return whether the VM is listed as in maintenance."""
        vm = self.vms.get(vm_id)
        return vm is not None and vm.state is VmState.MAINTENANCE

    def is_backing_off(self, vm: VmId, now: float) -> bool:
        """Return whether a change of the VM was refused only just before."""
        return now < self.backoff_until.get(vm, now)

    def cores_per_vm(self, pool: PoolName) -> float:
        """Return the mean cores of a VM in the pool, of all VMs if it has none."""
        vms = [vm for vm in self.vms.values() if vm.pool == pool]
        capacities = [
            self.fleet_load.capacity_of(vm).cpu for vm in vms or self.vms.values()
        ]
        return max(1.0, sum(capacities) / max(1, len(capacities)) / 1000)

    def load_of(self, vm: Vm) -> VmLoad:
        """Return what runs on the VM."""
        return self.fleet_load.for_vm(vm)

    def has_left(self, vm_id: VmId) -> bool:
        """Return whether a VM that existed is gone for good.

        One list does not show this: it lags behind, and its pages are no snapshot.
        """
        if vm_id in self.vms or self.listed_at == -inf:
            return False
        missing_since = self.missing_since.setdefault(vm_id, self.listed_at)
        return self.listed_at - missing_since >= VM_LIST_LAG_SECONDS

    def is_empty(self, vm_id: VmId) -> bool:
        """Return whether a VM is known to run no task, or has left."""
        vm = self.vms.get(vm_id)
        return self.has_left(vm_id) if vm is None else self.load_of(vm).tasks == 0
