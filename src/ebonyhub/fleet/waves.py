"""Plans the maintenance of VMs in waves, within the limit of each wave."""

from collections.abc import Set
from math import ceil

from ..events import Event, log_event
from ..ids import PoolName, VmId, WaveId
from .changes import ChangePhase, VmChange, WaveState
from .model import UNKNOWN_LOAD, Vm, VmState, Wave
from .sizing import PoolTarget
from .state import FleetState

# Time to drain a VM and maintain it, used to estimate how long a wave still takes.
MAINTENANCE_ROUND_SECONDS = 4.5


class WavePlanner:
    """Cordons VMs that are due for maintenance, and tracks the progress of waves."""

    def __init__(self, state: FleetState) -> None:
        self.state = state
        self.waves: dict[WaveId, WaveState] = {}

    def add(self, wave: Wave, now: float) -> bool:
        """Add an operator's wave; return False if it is already known as it is.

        A changed wave keeps the progress of its VMs.
        """
        known = self.waves.get(wave.wave_id)
        if known is not None and known.wave == wave:
            return False
        due_at = now + wave.duration_seconds
        if known is None:
            self.waves[wave.wave_id] = WaveState(wave, now, due_at)
        else:
            if known.wave.duration_seconds == wave.duration_seconds:
                due_at = known.due_at
            known.wave, known.received_at, known.due_at = wave, now, due_at
            known.completed = False
        log_event(
            Event.WAVE_RECEIVED,
            wave=wave.wave_id,
            vms=len(wave.vms),
            limit=wave.max_down,
            seconds=wave.duration_seconds,
        )
        return True

    def resume(
        self,
        wave: WaveId,
        begun: set[VmId],
        ordered: set[VmId],
        now: float,
        seen: Set[VmId] = frozenset(),
    ) -> None:
        """Restore the progress of a wave that an earlier leader stored.

        The cloud may still carry out requests of that leader. So each VM for which one
        may have been sent counts towards the wave's limit until the cloud has answered
        a new request.
        """
        state = self.waves[wave]
        state.begun |= begun
        state.ordered |= ordered
        state.seen |= seen | begun | ordered
        for vm in sorted(ordered - begun):
            self.state.changes[vm] = VmChange(
                vm, ChangePhase.CORDONED, now, wave=wave, outcome_unknown=True
            )

    def is_within_limit(self, change: VmChange) -> bool:
        """Return whether the wave allows one more VM to be down."""
        if change.wave is None:
            return True
        wave = self.waves[change.wave].wave
        down = 0
        for vm in wave.vms:
            other = self.state.changes.get(vm)
            ordered = (
                other is not None
                and other.wave is not None
                and other.phase is not ChangePhase.CORDONED
            )
            down += vm != change.vm and (ordered or self.state.is_in_maintenance(vm))
        return down < wave.max_down

    def update_seen(self) -> None:
        """Note which VMs the cloud lists; reopen completed waves whose VM has come."""
        for state in self.waves.values():
            listed = {vm for vm in state.wave.vms if vm in self.state.vms}
            state.seen |= listed
            if state.completed and not listed <= state.begun:
                state.completed = False
                log_event(
                    Event.WAVE_REOPENED, wave=state.wave.wave_id,
                    vms=len(listed - state.begun),
                )  # fmt: skip

    def plan(self, targets: dict[PoolName, PoolTarget], now: float) -> None:
        """Cordon the VMs whose maintenance may begin."""
        for state in self.waves.values():
            if state.completed or now < state.not_before:
                continue
            remaining = [
                self.state.vms[vm]
                for vm in state.wave.vms
                if vm in self.state.vms and vm not in state.begun
            ]
            assigned = sum(1 for vm in state.wave.vms if self._is_assigned_to_wave(vm))
            rounds = ceil(len(remaining) / max(1, state.wave.max_down))
            behind_schedule = (
                now + (rounds + 1) * MAINTENANCE_ROUND_SECONDS > state.due_at
            )
            candidates = [
                vm
                for vm in remaining
                if vm.vm_id not in self.state.changes
                and vm.state is VmState.UP
                and not self.state.is_backing_off(vm.vm_id, now)
                and self.state.load_of(vm) is not UNKNOWN_LOAD
            ]
            candidates.sort(key=self._maintenance_order)
            sizes = self.state.pool_sizes()
            long_running_due = state.long_running_vms_are_due(now)
            for vm in candidates:
                if assigned >= state.wave.max_down:
                    break
                due = behind_schedule or (
                    long_running_due and self.state.load_of(vm).long_running_tasks > 0
                )
                if not due and not self._can_spare(vm, targets, sizes):
                    continue
                if not self._can_relocate_long_running(vm):
                    continue
                self.state.changes[vm.vm_id] = VmChange(
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
        change = self.state.changes.get(vm_id)
        maintenance_planned = change is not None and change.wave is not None
        return maintenance_planned or self.state.is_in_maintenance(vm_id)

    def _maintenance_order(self, vm: Vm) -> tuple[bool, int, float, VmId]:
        load = self.state.load_of(vm)
        return (
            vm.pool not in self.state.standby_pools,
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
        load = self.state.load_of(vm)
        if not load.long_running_tasks:
            return True
        return any(
            other.vm_id != vm.vm_id
            and other.pool == vm.pool
            and other.state is VmState.UP
            and other.vm_id not in self.state.changes
            and self.state.load_of(other) is not UNKNOWN_LOAD
            and self.state.fleet_load.capacity_of(other).cpu / 1000
            - self.state.load_of(other).used_cores
            >= load.long_running_cores
            for other in self.state.vms.values()
        )

    def has_unlisted_vms(self, wave: WaveId) -> bool:
        """Return whether the list does not name each VM of the wave."""
        return any(vm not in self.state.vms for vm in self.waves[wave].wave.vms)

    def finished(self, now: float) -> list[WaveState]:
        """Return the waves to mark completed: all VMs have begun or will not begin."""
        return [
            state
            for state in self.waves.values()
            if not state.completed
            and self.state.vms
            and all(
                vm in state.begun or self._is_absent(state, vm, now)
                for vm in state.wave.vms
            )
        ]

    def _is_absent(self, state: WaveState, vm: VmId, now: float) -> bool:
        """Return whether a VM of the wave has left, or has not come in time.

        A list that was requested before the wave was received shows neither, nor does
        one that was requested before the wave was due show that a VM will not come.
        """
        if vm in self.state.vms or self.state.listed_at <= state.received_at:
            return False
        if vm in state.seen or vm in self.state.missing_since:
            return self.state.has_left(vm)
        return now >= state.due_at and self.state.listed_at >= state.due_at
