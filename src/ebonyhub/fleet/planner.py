"""Decides which VMs move between pools and which are taken down for maintenance.

A VM is first cordoned, so that it gets no new tasks. Once its tasks have ended, the
cloud is asked to move it or to begin its maintenance. VMs without use are parked in a
standby pool, and each wave limits how many VMs are down for maintenance at once.
"""

from collections.abc import Callable, Mapping
from dataclasses import replace
from math import ceil

from ..events import Event, log_event
from ..ids import PoolName, VmId, WaveId, WorkerId
from .changes import (
    NO_WORKER,
    Arrival,
    ChangePhase,
    PoolAllocation,
    PoolState,
    PoolTarget,
    VmChange,
    WaveState,
)
from .demand import Demand
from .model import UNKNOWN_LOAD, FleetLoad, Vm, VmLoad, VmState, Wave

# VMs that a pool keeps after its surge. With two, long-running tasks still have a VM
# when one is lost.
MIN_POOL_VMS = 2
# VMs that a pool keeps before its surge. They take the first jobs while more VMs move
# in.
RESERVE_VMS = 3
# Capacity relative to the forecast; the estimated run times of jobs are imprecise.
HEADROOM_FACTOR = 1.1
# Time after the first VM list of a term in which no VM is parked, since demand is not
# known yet.
PARKING_DELAY_SECONDS = 3.0
# Time in which a cordoned VM must become empty, or its move is abandoned.
VM_DRAIN_TIMEOUT_SECONDS = 6.0
# Time after which an accepted change of a VM that is up counts as complete, whatever
# pool the VM is in. A move takes 1.5 s.
MOVE_TIMEOUT_SECONDS = 6.0
# Time for which the VM list may lag behind the registration of a VM's new worker.
VM_LIST_LAG_SECONDS = 2.0
# Time without a new change of a VM after a refusal. The VM list is read again earlier
# than that, and shows whether the VM is up.
REFUSAL_BACKOFF_SECONDS = 1.0
# Time to drain a VM and maintain it, used to estimate how long a wave still takes.
MAINTENANCE_ROUND_SECONDS = 4.5
# A surge of a pool starts when its target reaches this multiple of an even share of the
# VMs, and ends when the target falls to half of an even share.
SURGE_FACTOR = 1.0


class FleetPlanner:
    """Plans changes of VMs from the VM list, their loads and the demand of each pool.

    It calls nothing: the caller sends the planned changes to the cloud and reports the
    answers by ``mark_accepted`` and ``mark_refused``.
    """

    def __init__(self) -> None:
        self.vms: dict[VmId, Vm] = {}
        self.changes: dict[VmId, VmChange] = {}
        self.waves: dict[WaveId, WaveState] = {}
        self.pools: dict[PoolName, PoolState] = {}
        # All configured pools, and those of them whose VMs are parked and run no tasks.
        self.pool_names: set[PoolName] = set()
        self.standby_pools: set[PoolName] = set()
        self.fleet_load = FleetLoad()
        self.first_listed_at = 0.0
        # Earliest time of a new change of a VM after the cloud has refused one.
        self.backoff_until: dict[VmId, float] = {}
        # VMs whose change ended before the VM list showed it.
        self.arrivals: dict[VmId, Arrival] = {}
        # Size, minimum and desired size of each pool in the last log lines.
        self.logged_targets: dict[PoolName, tuple[int, int, int]] = {}

    # Inputs

    def update_vms(self, vms: list[Vm], now: float) -> None:
        """Replace the VM list and drop the accepted changes that are complete."""
        self.vms = {vm.vm_id: self._with_arrival(vm, now) for vm in vms}
        if not self.pools and vms and self.pool_names:
            self.first_listed_at = now
            for pool in sorted(self.pool_names):
                # Not the present size of the pool, since an earlier leader may have
                # moved most VMs to one pool.
                even_share = len(vms) // len(self.pool_names)
                self.pools[pool] = PoolState(even_share)
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
        if pool != (change.pool or vm.pool):
            return False
        del self.changes[vm_id]
        self.arrivals[vm_id] = Arrival(pool, worker, now)
        self.vms[vm_id] = self._with_arrival(vm, now)
        return True

    def add_wave(self, wave: Wave, now: float) -> bool:
        """Add an operator's wave; return False if it is already known."""
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
        self, wave: WaveId, begun: set[VmId], ordered: set[VmId], now: float
    ) -> None:
        """Restore the progress of a wave that an earlier leader stored.

        The cloud may still carry out requests of that leader. So each VM for which one
        may have been sent counts towards the wave's limit until the cloud has answered
        a new request.
        """
        state = self.waves[wave]
        state.begun |= begun
        state.ordered |= ordered
        for vm in sorted(ordered - begun):
            self.changes[vm] = VmChange(
                vm, ChangePhase.CORDONED, now, wave=wave, outcome_unknown=True
            )

    def pool_sizes(self) -> dict[PoolName, int]:
        """Return the number of VMs that are in each pool or moving to it.

        VMs that leave it, are down or are due for maintenance do not count.
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
            pool: size * self._cores_per_vm(pool)
            for pool, size in self.pool_sizes().items()
            if pool not in self.standby_pools
        }

    def cordoned_vms(self) -> set[VmId]:
        """Return the VMs that must get no new tasks."""
        return set(self.changes)

    # Decisions

    def plan(self, demands: Mapping[PoolName, Demand], now: float) -> list[VmChange]:
        """Cordon VMs for waves and moves; return the changes to request now."""
        targets = self._update_targets(demands, now)
        self._plan_waves(targets, now)
        self._plan_moves(targets, now)
        self._log_pools(targets, demands)
        return self._start_drained(now)

    def _log_pools(
        self, targets: dict[PoolName, PoolTarget], demands: Mapping[PoolName, Demand]
    ) -> None:
        """Log the sizes and targets of all pools whenever one of them has changed."""
        sizes, on_way = self.pool_sizes(), self.vms_on_way()
        current = {
            pool: (sizes.get(pool, 0), target.minimum, target.desired)
            for pool, target in targets.items()
        }
        if current == self.logged_targets:
            return
        self.logged_targets = current
        for pool, (size, minimum, desired) in current.items():
            demand = demands.get(pool, Demand())
            log_event(
                Event.POOL_TARGET_CHANGED, pool=pool, size=size, least=minimum,
                keep=desired, on_way=on_way.get(pool, 0),
                arriving=round(demand.arriving_cores, 1),
                waiting=round(demand.waiting_cores, 1),
                running=round(demand.running_cores, 1),
                long_running=round(demand.long_running_cores, 1),
            )  # fmt: skip

    def _start_drained(self, now: float) -> list[VmChange]:
        """Mark as ordered the changes whose VM is empty; return them."""
        ready: list[VmChange] = []
        for change in list(self.changes.values()):
            if change.phase is not ChangePhase.CORDONED:
                continue
            if self._is_empty(change.vm) and self._is_within_wave_limit(change):
                change.phase, change.phase_since = ChangePhase.ORDERED, now
                vm = self.vms.get(change.vm)
                change.replaced_worker = vm.worker if vm else NO_WORKER
                if change.wave is not None:
                    self.waves[change.wave].ordered.add(change.vm)
                ready.append(change)
            elif (
                change.wave is None
                and now - change.phase_since > VM_DRAIN_TIMEOUT_SECONDS
            ):
                self._abandon(change, "not empty in time")
        return ready

    def _is_within_wave_limit(self, change: VmChange) -> bool:
        """Return whether the wave allows one more VM to be down."""
        if change.wave is None:
            return True
        wave = self.waves[change.wave].wave
        down = 0
        for vm in wave.vms:
            other = self.changes.get(vm)
            ordered = (
                other is not None
                and other.wave is not None
                and other.phase is not ChangePhase.CORDONED
            )
            down += vm != change.vm and (ordered or self._is_in_maintenance(vm))
        return down < wave.max_down

    def _is_in_maintenance(self, vm_id: VmId) -> bool:
        vm = self.vms.get(vm_id)
        return vm is not None and vm.state is VmState.MAINTENANCE

    def _abandon(self, change: VmChange, reason: str) -> None:
        del self.changes[change.vm]
        if change.wave is not None:
            # No request is pending, so the VM need not count towards the wave's limit
            # when a new leader resumes the wave.
            self.waves[change.wave].ordered.discard(change.vm)
        log_event(
            Event.VM_CHANGE_ABANDONED,
            vm=change.vm,
            pool=change.pool,
            wave=change.wave,
            reason=reason,
        )

    def mark_accepted(self, change: VmChange, now: float) -> None:
        """Record that the cloud carries out a change."""
        # The VM list must show this change, even if the VM arrived only just before.
        self.arrivals.pop(change.vm, None)
        change.phase, change.phase_since = ChangePhase.ACCEPTED, now
        if change.wave is not None:
            self.waves[change.wave].begun.add(change.vm)

    def mark_refused(
        self, change: VmChange, reason: str, retry: bool, now: float
    ) -> None:
        """Record a refusal: keep the VM cordoned to retry, else abandon the change."""
        if retry:
            change.phase, change.phase_since = ChangePhase.CORDONED, now
        else:
            self.backoff_until[change.vm] = now + REFUSAL_BACKOFF_SECONDS
            self._abandon(change, reason)

    def _is_backing_off(self, vm: VmId, now: float) -> bool:
        return now < self.backoff_until.get(vm, now)

    def _update_targets(
        self, demands: Mapping[PoolName, Demand], now: float
    ) -> dict[PoolName, PoolTarget]:
        """Return the target sizes of all pools except the standby pools."""
        targets: dict[PoolName, PoolTarget] = {}
        for pool, state in self.pools.items():
            if pool in self.standby_pools:
                continue
            demand = demands.get(pool, Demand())
            required = ceil(demand.cores * HEADROOM_FACTOR / self._cores_per_vm(pool))
            recent_peak = state.record_target(now, required)
            self._update_surge(state, recent_peak)
            desired = max(recent_peak, self._reserve_size(state))
            minimum = max(required, min(MIN_POOL_VMS, state.even_share), demand.min_vms)
            targets[pool] = PoolTarget(minimum, max(desired, minimum))
        return targets

    def _update_surge(self, state: PoolState, target: int) -> None:
        """Track which pools have had a surge; start anew once all of them have."""
        if target >= state.even_share * SURGE_FACTOR:
            state.in_surge = True
        elif state.in_surge and target <= state.even_share // 2:
            state.in_surge, state.had_surge = False, True
            active = [s for p, s in self.pools.items() if p not in self.standby_pools]
            if all(s.had_surge for s in active):
                for other in active:
                    other.had_surge = other is state

    def _reserve_size(self, state: PoolState) -> int:
        """Return the number of VMs that a pool keeps without demand.

        The queues surge in turn, so a pool that had its surge keeps fewer VMs until
        every other pool has had one.
        """
        return min(MIN_POOL_VMS, state.even_share) if state.had_surge else RESERVE_VMS

    def _cores_per_vm(self, pool: PoolName) -> float:
        capacities = [vm.capacity.cpu for vm in self.vms.values() if vm.pool == pool]
        capacities = capacities or [vm.capacity.cpu for vm in self.vms.values()]
        return max(1.0, sum(capacities) / max(1, len(capacities)) / 1000)

    # Moves

    def _plan_moves(self, targets: dict[PoolName, PoolTarget], now: float) -> None:
        """Fill pools to their minimum, then to their desired size; park the surplus."""
        movable = {pool: self._movable_vms(pool, now) for pool in self.pools}
        sizes = self.pool_sizes()
        allocation = PoolAllocation(movable, sizes)
        self._fill_pools(targets, allocation, lambda target: target.minimum, True, now)
        self._fill_pools(targets, allocation, lambda target: target.desired, False, now)
        if self.standby_pools and now - self.first_listed_at > PARKING_DELAY_SECONDS:
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
        standby = [p for p in self.standby_pools if movable.get(p)]
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
        standby_pool = min(self.standby_pools)
        for pool, target in targets.items():
            surplus = max(0, allocation.sizes[pool] - target.desired)
            for vm in allocation.movable[pool][:surplus]:
                self._plan_move(vm, standby_pool, now)

    def _plan_move(self, vm: Vm, pool: PoolName, now: float) -> None:
        self.changes[vm.vm_id] = VmChange(
            vm.vm_id, ChangePhase.CORDONED, now, pool=pool
        )
        log_event(Event.VM_MOVE_PLANNED, vm=vm.vm_id, source=vm.pool, pool=pool)

    def _movable_vms(self, pool: PoolName, now: float) -> list[Vm]:
        """Return the VMs of a pool that may leave it, the soonest empty first."""
        movable = [
            vm
            for vm in self.vms.values()
            if vm.pool == pool
            and vm.state is VmState.UP
            and vm.vm_id not in self.changes
        ]
        movable = [vm for vm in movable if not self._load_of(vm).long_running_tasks]
        movable = [vm for vm in movable if not self._is_backing_off(vm.vm_id, now)]
        # A VM moves once its last task has ended, so the time left matters and not the
        # number of tasks.
        return sorted(
            movable, key=lambda vm: (self._load_of(vm).seconds_until_empty, vm.vm_id)
        )

    def _load_of(self, vm: Vm) -> VmLoad:
        return self.fleet_load.for_vm(vm)

    def _is_empty(self, vm_id: VmId) -> bool:
        """Return whether a VM is known to run no task, or is no longer listed."""
        vm = self.vms.get(vm_id)
        return vm is None or self._load_of(vm).tasks == 0

    # Waves

    def _plan_waves(self, targets: dict[PoolName, PoolTarget], now: float) -> None:
        for state in self.waves.values():
            if state.completed:
                continue
            remaining = [
                self.vms[vm]
                for vm in state.wave.vms
                if vm in self.vms and vm not in state.begun
            ]
            assigned = sum(1 for vm in state.wave.vms if self._is_assigned_to_wave(vm))
            rounds = ceil(len(remaining) / max(1, state.wave.max_down))
            behind_schedule = (
                now + (rounds + 1) * MAINTENANCE_ROUND_SECONDS > state.due_at
            )
            candidates = [
                vm
                for vm in remaining
                if vm.vm_id not in self.changes
                and vm.state is VmState.UP
                and not self._is_backing_off(vm.vm_id, now)
                and self._load_of(vm) is not UNKNOWN_LOAD
            ]
            candidates.sort(key=self._maintenance_order)
            sizes = self.pool_sizes()
            long_running_due = state.long_running_vms_are_due(now)
            for vm in candidates:
                if assigned >= state.wave.max_down:
                    break
                due = behind_schedule or (
                    long_running_due and self._load_of(vm).long_running_tasks > 0
                )
                if not due and not self._can_spare(vm, targets, sizes):
                    continue
                if not self._can_relocate_long_running(vm):
                    continue
                self.changes[vm.vm_id] = VmChange(
                    vm.vm_id, ChangePhase.CORDONED, now, wave=state.wave.wave_id
                )
                log_event(
                    Event.VM_MAINTENANCE_PLANNED,
                    vm=vm.vm_id,
                    wave=state.wave.wave_id,
                    hurry=behind_schedule,
                )
                assigned += 1
                sizes[vm.pool] = sizes.get(vm.pool, 0) - 1

    def _is_assigned_to_wave(self, vm_id: VmId) -> bool:
        change = self.changes.get(vm_id)
        maintenance_planned = change is not None and change.wave is not None
        return maintenance_planned or self._is_in_maintenance(vm_id)

    def _maintenance_order(self, vm: Vm) -> tuple[bool, int, float, VmId]:
        load = self._load_of(vm)
        return (
            vm.pool not in self.standby_pools,
            load.long_running_tasks,
            load.used_cores,
            vm.vm_id,
        )

    def _can_spare(
        self, vm: Vm, targets: dict[PoolName, PoolTarget], sizes: dict[PoolName, int]
    ) -> bool:
        """Return whether the pool keeps its minimum size without the VM."""
        target = targets.get(vm.pool)
        return target is None or sizes.get(vm.pool, 0) - 1 >= target.minimum

    def _can_relocate_long_running(self, vm: Vm) -> bool:
        """Return whether another VM of its pool has room for its long-running tasks."""
        load = self._load_of(vm)
        if not load.long_running_tasks:
            return True
        return any(
            other.vm_id != vm.vm_id
            and other.pool == vm.pool
            and other.state is VmState.UP
            and other.vm_id not in self.changes
            and self._load_of(other) is not UNKNOWN_LOAD
            and other.capacity.cpu / 1000 - self._load_of(other).used_cores
            >= load.long_running_cores
            for other in self.vms.values()
        )

    def finished_waves(self) -> list[WaveState]:
        """Return the waves to mark completed: all VMs have begun or are not listed."""
        return [
            state
            for state in self.waves.values()
            if not state.completed
            and self.vms
            and all(vm in state.begun or vm not in self.vms for vm in state.wave.vms)
        ]
