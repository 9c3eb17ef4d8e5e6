"""Decides which VMs move between pools and which have their upkeep next.

A VM is first cordoned, so that it gets no new tasks. Once its tasks have ended, the
cloud is asked to move it or to begin its upkeep.
"""

from collections.abc import Callable, Mapping
from math import ceil

from ..events import Event, log_event
from ..ids import PoolName, VmId, WaveId
from .changes import (
    ChangePhase,
    PoolAllocation,
    PoolState,
    PoolTarget,
    VmChange,
    WaveState,
)
from .demand import Demand
from .model import UNKNOWN_LOAD, FleetLoad, Vm, VmLoad, VmState, Wave

# VMs that a pool with long-running tasks keeps after its surge: two, so that the loss
# of one leaves it served.
BASE_VMS = 2
# VMs that a pool keeps before its surge, so that the first jobs find room while others
# are on their way.
RESERVE_VMS = 3
# Room above the forecast, since declared run times are rough.
HEADROOM = 1.1
# Seconds at the start of a term in which nothing is parked, since demand is not known.
SETTLE_SECONDS = 3.0
# Seconds that a cordoned VM may take to become empty before a move is given up.
CORDON_LIMIT_SECONDS = 6.0
# Seconds after which a VM that is up counts as arrived wherever it is. A move takes one
# and a half.
ARRIVAL_LIMIT_SECONDS = 6.0
# Seconds without a new attempt at a VM whose change the cloud refused. Longer than the
# pause between two readings of the list, which then shows a VM that is not up.
REFUSAL_PAUSE_SECONDS = 1.0
# Seconds an upkeep takes with draining, for the time that a wave still needs.
UPKEEP_ROUND_SECONDS = 4.5
# A pool is in a surge while it wants this multiple of an even share of all VMs.
SURGE_FACTOR = 1.0


class FleetPlanner:
    """Owns planned changes, waves and what is remembered of the pools."""

    def __init__(self) -> None:
        self.vms: dict[VmId, Vm] = {}
        self.changes: dict[VmId, VmChange] = {}
        self.waves: dict[WaveId, WaveState] = {}
        self.pools: dict[PoolName, PoolState] = {}
        # All pools of the configuration, and those whose VMs are off.
        self.pool_names: set[PoolName] = set()
        self.standby_pools: set[PoolName] = set()
        self.fleet_load = FleetLoad()
        self.started_at = 0.0
        # Until then no change of a VM is planned, since the cloud refused one.
        self.paused: dict[VmId, float] = {}
        self.logged: dict[PoolName, tuple[int, int, int]] = {}

    # Facts

    def update_vms(self, vms: list[Vm], now: float) -> None:
        """Take over a reading of the list of VMs."""
        self.vms = {vm.vm_id: vm for vm in vms}
        if not self.pools and vms and self.pool_names:
            self.started_at = now
            for pool in sorted(self.pool_names):
                # A predecessor may have lent most VMs to one pool.
                even = len(vms) // len(self.pool_names)
                self.pools[pool] = PoolState(even)
        for change in list(self.changes.values()):
            if change.phase is not ChangePhase.ACCEPTED:
                continue
            vm = self.vms.get(change.vm)
            if vm is None or vm.state is VmState.UP:
                arrived = change.pool is None or (vm and vm.pool == change.pool)
                seconds = now - change.since
                # A call that is carried out late may have moved it elsewhere since.
                if (arrived and seconds > 1.0) or seconds > ARRIVAL_LIMIT_SECONDS:
                    del self.changes[change.vm]

    def add_wave(self, wave: Wave, now: float) -> bool:
        """Add a wave; return whether it is new."""
        if wave.wave_id in self.waves:
            return False
        self.waves[wave.wave_id] = WaveState(wave, now + wave.duration_seconds)
        log_event(
            Event.WAVE_RECEIVED,
            wave=wave.wave_id,
            vms=len(wave.vms),
            limit=wave.max_down,
            seconds=wave.duration_seconds,
        )
        return True

    def resume_wave(
        self, wave: WaveId, done: set[VmId], ordered: set[VmId], now: float
    ) -> None:
        """Take over what an earlier leader stored of a wave.

        Its calls may still be carried out, so each VM that it may have asked for keeps
        a place of the wave until the cloud has answered about it.
        """
        state = self.waves[wave]
        state.begun |= done
        state.ordered |= ordered
        for vm in sorted(ordered - done):
            self.changes[vm] = VmChange(
                vm, ChangePhase.CORDONED, now, wave=wave, outcome_unknown=True
            )

    def pool_sizes(self) -> dict[PoolName, int]:
        """Return the VMs that serve each pool or are on their way to it.

        VMs that leave it or that have their upkeep do not count.
        """
        sizes = dict.fromkeys(self.pools, 0)
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

    def pool_cores(self) -> dict[PoolName, float]:
        """Return the cores that each pool has or gets by moves under way."""
        return {
            pool: size * self._cores_per_vm(pool)
            for pool, size in self.pool_sizes().items()
            if pool not in self.standby_pools
        }

    def cordoned_vms(self) -> set[VmId]:
        """Return the VMs that must get no new tasks."""
        return set(self.changes)

    # Decisions

    def plan(self, demands: Mapping[PoolName, Demand], now: float) -> list[VmChange]:
        """Cordon VMs for waves and moves; return the changes to order now."""
        targets = self._targets(demands, now)
        self._plan_waves(targets, now)
        self._plan_moves(targets, now)
        self._log_pools(targets, demands)
        return self._ready(now)

    def _log_pools(
        self, targets: dict[PoolName, PoolTarget], demands: Mapping[PoolName, Demand]
    ) -> None:
        """Log sizes and targets whenever one of them changes."""
        sizes = self.pool_sizes()
        state = {
            pool: (sizes.get(pool, 0), target.minimum, target.desired)
            for pool, target in targets.items()
        }
        if state == self.logged:
            return
        self.logged = state
        for pool, (size, least, keep) in state.items():
            demand = demands.get(pool, Demand())
            log_event(
                Event.POOL_TARGET_CHANGED, pool=pool, size=size, least=least, keep=keep,
                arriving=round(demand.arriving_cores, 1),
                waiting=round(demand.waiting_cores, 1),
                running=round(demand.running_cores, 1),
                long_running=round(demand.long_running_cores, 1),
            )  # fmt: skip

    def _ready(self, now: float) -> list[VmChange]:
        """Return the cordoned changes whose VM is empty."""
        ready: list[VmChange] = []
        for change in list(self.changes.values()):
            if change.phase is not ChangePhase.CORDONED:
                continue
            if self._is_empty(change.vm) and self._has_place(change):
                change.phase, change.since = ChangePhase.ORDERED, now
                if change.wave is not None:
                    self.waves[change.wave].ordered.add(change.vm)
                ready.append(change)
            elif change.wave is None and now - change.since > CORDON_LIMIT_SECONDS:
                self._drop(change, "not empty in time")
        return ready

    def _has_place(self, change: VmChange) -> bool:
        """Return whether the wave's limit allows one more VM to be down now."""
        if change.wave is None:
            return True
        wave = self.waves[change.wave].wave
        down = 0
        for vm in wave.vms:
            other = self.changes.get(vm)
            asked = (
                other is not None
                and other.wave is not None
                and other.phase is not ChangePhase.CORDONED
            )
            down += vm != change.vm and (asked or self._is_down(vm))
        return down < wave.max_down

    def _is_down(self, vm_id: VmId) -> bool:
        vm = self.vms.get(vm_id)
        return vm is not None and vm.state is VmState.MAINTENANCE

    def _drop(self, change: VmChange, reason: str) -> None:
        del self.changes[change.vm]
        if change.wave is not None:
            # The cloud has answered, so a successor need not keep a place for the VM.
            self.waves[change.wave].ordered.discard(change.vm)
        log_event(
            Event.VM_CHANGE_ABANDONED,
            vm=change.vm,
            pool=change.pool,
            wave=change.wave,
            reason=reason,
        )

    def mark_accepted(self, change: VmChange, now: float) -> None:
        """Note that the cloud carries a change out."""
        change.phase, change.since = ChangePhase.ACCEPTED, now
        if change.wave is not None:
            self.waves[change.wave].begun.add(change.vm)

    def mark_refused(
        self, change: VmChange, reason: str, retry: bool, now: float
    ) -> None:
        """Note that the cloud refused; a change to retry stays cordoned."""
        if retry:
            change.phase, change.since = ChangePhase.CORDONED, now
        else:
            self.paused[change.vm] = now + REFUSAL_PAUSE_SECONDS
            self._drop(change, reason)

    def _is_paused(self, vm: VmId, now: float) -> bool:
        """Return whether the cloud refused a change of the VM a moment ago."""
        return now < self.paused.get(vm, now)

    def _targets(
        self, demands: Mapping[PoolName, Demand], now: float
    ) -> dict[PoolName, PoolTarget]:
        """Return the wanted sizes of each pool that is not standby."""
        targets: dict[PoolName, PoolTarget] = {}
        for pool, state in self.pools.items():
            if pool in self.standby_pools:
                continue
            demand = demands.get(pool, Demand())
            need = ceil(demand.cores * HEADROOM / self._cores_per_vm(pool))
            held = state.note_target(now, need)
            self._note_surge(state, held)
            keep = max(held, self._reserve(state))
            least = max(need, min(BASE_VMS, state.share), demand.min_vms)
            targets[pool] = PoolTarget(least, max(keep, least))
        return targets

    def _note_surge(self, state: PoolState, target: int) -> None:
        """Remember which pools have had their turn in the present round."""
        if target >= state.share * SURGE_FACTOR:
            state.in_surge = True
        elif state.in_surge and target <= state.share // 2:
            state.in_surge, state.surged = False, True
            rest = [s for p, s in self.pools.items() if p not in self.standby_pools]
            if all(s.surged for s in rest):
                for other in rest:
                    other.surged = other is state

    def _reserve(self, state: PoolState) -> int:
        """Return the size that a pool keeps without demand.

        Queues surge in turn, so a pool that had its surge lends its VMs until every
        other pool has had one.
        """
        return min(BASE_VMS, state.share) if state.surged else RESERVE_VMS

    def _cores_per_vm(self, pool: PoolName) -> float:
        sizes = [vm.capacity.cpu for vm in self.vms.values() if vm.pool == pool]
        sizes = sizes or [vm.capacity.cpu for vm in self.vms.values()]
        return max(1.0, sum(sizes) / max(1, len(sizes)) / 1000)

    # Moves

    def _plan_moves(self, targets: dict[PoolName, PoolTarget], now: float) -> None:
        """Fill what is needed now, then what is held in reserve, and park the rest."""
        free = {pool: self._free_vms(pool, now) for pool in self.pools}
        usable = self.pool_sizes()
        stock = PoolAllocation(free, usable)
        self._fill(targets, stock, lambda target: target.minimum, True, now)
        self._fill(targets, stock, lambda target: target.desired, False, now)
        if self.standby_pools and now - self.started_at > SETTLE_SECONDS:
            self._park(targets, stock, now)

    def _fill(
        self,
        targets: dict[PoolName, PoolTarget],
        stock: PoolAllocation,
        wanted: Callable[[PoolTarget], int],
        lend: bool,
        now: float,
    ) -> None:
        """Move VMs to the pools that have too few, the worst first."""
        usable = stock.usable
        short = [pool for pool in targets if usable[pool] < wanted(targets[pool])]
        short.sort(key=lambda pool: usable[pool] / wanted(targets[pool]))
        for pool in short:
            while usable[pool] < wanted(targets[pool]):
                source = self._donor(targets, stock, lend)
                if source is None:
                    return
                self._move(stock.free[source].pop(0), pool, now)
                usable[source] -= 1
                usable[pool] += 1

    def _donor(
        self, targets: dict[PoolName, PoolTarget], stock: PoolAllocation, lend: bool
    ) -> PoolName | None:
        """Return the pool that gives a VM: one with a surplus, then a standby pool.

        With ``lend`` also a pool that only holds its VMs in reserve.
        """
        free, usable = stock.free, stock.usable
        surplus = [p for p in targets if free[p] and usable[p] > targets[p].desired]
        parked = [p for p in self.standby_pools if free.get(p)]
        lent = [p for p in targets if free[p] and usable[p] > targets[p].minimum]
        for group in (surplus, parked, lent if lend else []):
            if group:
                return max(group, key=lambda pool: (usable[pool], pool))
        return None

    def _park(
        self, targets: dict[PoolName, PoolTarget], stock: PoolAllocation, now: float
    ) -> None:
        """Move the VMs that nobody wants to a standby pool."""
        home = min(self.standby_pools)
        for pool, target in targets.items():
            surplus = max(0, stock.usable[pool] - target.desired)
            for vm in stock.free[pool][:surplus]:
                self._move(vm, home, now)

    def _move(self, vm: Vm, pool: PoolName, now: float) -> None:
        self.changes[vm.vm_id] = VmChange(
            vm.vm_id, ChangePhase.CORDONED, now, pool=pool
        )
        log_event(Event.VM_MOVE_PLANNED, vm=vm.vm_id, source=vm.pool, pool=pool)

    def _free_vms(self, pool: PoolName, now: float) -> list[Vm]:
        """Return the VMs of a pool that may leave it, the emptiest first."""
        free = [
            vm
            for vm in self.vms.values()
            if vm.pool == pool
            and vm.state is VmState.UP
            and vm.vm_id not in self.changes
        ]
        free = [vm for vm in free if not self._load(vm).long_running_tasks]
        free = [vm for vm in free if not self._is_paused(vm.vm_id, now)]
        # A VM moves once its last task has ended, however few they are.
        return sorted(
            free, key=lambda vm: (self._load(vm).seconds_until_empty, vm.vm_id)
        )

    def _load(self, vm: Vm) -> VmLoad:
        return self.fleet_load.for_vm(vm)

    def _is_empty(self, vm_id: VmId) -> bool:
        """Return whether a VM surely runs nothing."""
        vm = self.vms.get(vm_id)
        return vm is None or self._load(vm).tasks == 0

    # Waves

    def _plan_waves(self, targets: dict[PoolName, PoolTarget], now: float) -> None:
        for state in self.waves.values():
            if state.completed:
                continue
            waiting = [
                self.vms[vm]
                for vm in state.wave.vms
                if vm in self.vms and vm not in state.begun
            ]
            busy = sum(1 for vm in state.wave.vms if self._in_upkeep(vm))
            rounds = ceil(len(waiting) / max(1, state.wave.max_down))
            hurry = now + (rounds + 1) * UPKEEP_ROUND_SECONDS > state.due_at
            candidates = [
                vm
                for vm in waiting
                if vm.vm_id not in self.changes
                and vm.state is VmState.UP
                and not self._is_paused(vm.vm_id, now)
                and self._load(vm) is not UNKNOWN_LOAD
            ]
            candidates.sort(key=self._upkeep_order)
            sizes = self.pool_sizes()
            serving_due = state.serving_vms_are_due(now)
            for vm in candidates:
                if busy >= state.wave.max_down:
                    break
                due = hurry or (serving_due and self._load(vm).long_running_tasks > 0)
                if not due and not self._can_spare(vm, targets, sizes):
                    continue
                if not self._can_rehouse(vm):
                    continue
                self.changes[vm.vm_id] = VmChange(
                    vm.vm_id, ChangePhase.CORDONED, now, wave=state.wave.wave_id
                )
                log_event(
                    Event.VM_MAINTENANCE_PLANNED,
                    vm=vm.vm_id,
                    wave=state.wave.wave_id,
                    hurry=hurry,
                )
                busy += 1
                sizes[vm.pool] = sizes.get(vm.pool, 0) - 1

    def _in_upkeep(self, vm_id: VmId) -> bool:
        change = self.changes.get(vm_id)
        in_change = change is not None and change.wave is not None
        return in_change or self._is_down(vm_id)

    def _upkeep_order(self, vm: Vm) -> tuple[bool, int, float, VmId]:
        load = self._load(vm)
        return (
            vm.pool not in self.standby_pools,
            load.long_running_tasks,
            load.used_cores,
            vm.vm_id,
        )

    def _can_spare(
        self, vm: Vm, targets: dict[PoolName, PoolTarget], sizes: dict[PoolName, int]
    ) -> bool:
        """Return whether the pool does without the VM for the length of an upkeep."""
        target = targets.get(vm.pool)
        return target is None or sizes.get(vm.pool, 0) - 1 >= target.minimum

    def _can_rehouse(self, vm: Vm) -> bool:
        """Return whether another VM of the pool has room for the long-running tasks."""
        load = self._load(vm)
        if not load.long_running_tasks:
            return True
        return any(
            other.vm_id != vm.vm_id
            and other.pool == vm.pool
            and other.state is VmState.UP
            and other.vm_id not in self.changes
            and self._load(other) is not UNKNOWN_LOAD
            and other.capacity.cpu / 1000 - self._load(other).used_cores
            >= load.long_running_cores
            for other in self.vms.values()
        )

    def finished_waves(self) -> list[WaveState]:
        """Return the waves whose VMs have all begun their upkeep or are gone."""
        return [
            state
            for state in self.waves.values()
            if not state.completed
            and self.vms
            and all(vm in state.begun or vm not in self.vms for vm in state.wave.vms)
        ]
