"""Plans moves of VMs between pools: fills short pools and parks the surplus."""

from collections.abc import Callable

from ..events import Event, log_event
from ..ids import PoolName
from .changes import ChangePhase, PoolAllocation, VmChange
from .model import Vm, VmState
from .sizing import PoolTarget
from .state import FleetState


class MovePlanner:
    """Cordons VMs that are to move to another pool."""

    def __init__(self, state: FleetState) -> None:
        self.state = state

    def plan(
        self, targets: dict[PoolName, PoolTarget], may_park: bool, now: float
    ) -> None:
        """Fill pools to their minimum, then to their desired size; park the surplus."""
        movable = {
            pool: self._movable_vms(pool, now) for pool in self.state.known_pools
        }
        sizes = self.state.pool_sizes()
        allocation = PoolAllocation(movable, sizes)
        self._fill_pools(targets, allocation, lambda target: target.minimum, True, now)
        self._fill_pools(targets, allocation, lambda target: target.desired, False, now)
        if self.state.standby_pools and may_park:
            self._park_surplus(targets, allocation, now)

    def _fill_pools(
        self,
        targets: dict[PoolName, PoolTarget],
        allocation: PoolAllocation,
        wanted: Callable[[PoolTarget], int],
        use_reserve: bool,
        now: float,
    ) -> None:
        """Move VMs to the pools below their wanted size, the lowest ratio first."""
        sizes = allocation.sizes
        short = [pool for pool in targets if sizes[pool] < wanted(targets[pool])]
        short.sort(key=lambda pool: sizes[pool] / wanted(targets[pool]))
        for pool in short:
            while sizes[pool] < wanted(targets[pool]):
                source = self._choose_source(targets, allocation, use_reserve)
                if source is None:
                    return
                self._plan_move(allocation.movable[source].pop(0), pool, now)
                sizes[source] -= 1
                sizes[pool] += 1

    def _choose_source(
        self,
        targets: dict[PoolName, PoolTarget],
        allocation: PoolAllocation,
        use_reserve: bool,
    ) -> PoolName | None:
        """Return the pool to take a VM from: one with a surplus, else a standby pool.

        With ``use_reserve``, pools above their minimum size come last.
        """
        movable, sizes = allocation.movable, allocation.sizes
        surplus = [p for p in targets if movable[p] and sizes[p] > targets[p].desired]
        standby = [p for p in self.state.standby_pools if movable.get(p)]
        reserve = [p for p in targets if movable[p] and sizes[p] > targets[p].minimum]
        for candidates in (surplus, standby, reserve if use_reserve else []):
            if candidates:
                return max(candidates, key=lambda pool: (sizes[pool], pool))
        return None

    def _park_surplus(
        self,
        targets: dict[PoolName, PoolTarget],
        allocation: PoolAllocation,
        now: float,
    ) -> None:
        """Move the VMs above the desired size of each pool to a standby pool."""
        standby_pool = min(self.state.standby_pools)
        for pool, target in targets.items():
            surplus = max(0, allocation.sizes[pool] - target.desired)
            for vm in allocation.movable[pool][:surplus]:
                self._plan_move(vm, standby_pool, now)

    def _plan_move(self, vm: Vm, pool: PoolName, now: float) -> None:
        self.state.changes[vm.vm_id] = VmChange(
            vm.vm_id, ChangePhase.CORDONED, now, pool=pool
        )
        log_event(Event.VM_MOVE_PLANNED, vm=vm.vm_id, source=vm.pool, pool=pool)

    def _movable_vms(self, pool: PoolName, now: float) -> list[Vm]:
        """Return the VMs of a pool that may leave it, the soonest empty first."""
        movable = [
            vm
            for vm in self.state.vms.values()
            if vm.pool == pool
            and vm.state is VmState.UP
            and vm.vm_id not in self.state.changes
        ]
        movable = [
            vm for vm in movable if not self.state.load_of(vm).long_running_tasks
        ]
        movable = [vm for vm in movable if not self.state.is_backing_off(vm.vm_id, now)]
        # A VM moves once its last task has ended, so the time left matters and not the
        # number of tasks.
        return sorted(
            movable,
            key=lambda vm: (self.state.load_of(vm).seconds_until_empty, vm.vm_id),
        )
