"""Decides which VMs move between pools and which are taken down for maintenance.

A VM is first cordoned, so that it gets no new tasks. Once its tasks have ended, the
cloud is asked to move it or to begin its maintenance. VMs without use are parked in a
standby pool, and each wave limits how many VMs are down for maintenance at once.
"""

from collections.abc import Mapping, Set

from ..events import Event, log_event
from ..ids import PoolName, VmId, WaveId
from .changes import NO_WORKER, ChangePhase, VmChange, WaveState
from .demand import Demand
from .model import Vm, Wave
from .moves import MovePlanner
from .sizing import PoolSizer, PoolTarget
from .state import FleetState
from .waves import WavePlanner

# Time after the first VM list of a term in which no VM is parked, since demand is not
# known yet.
PARKING_DELAY_SECONDS = 3.0
# Time in which a cordoned VM must become empty, or its move is abandoned.
VM_DRAIN_TIMEOUT_SECONDS = 6.0
# Time without a new change of a VM after a refusal. The VM list is read again earlier
# than that, and shows whether the VM is up.
REFUSAL_BACKOFF_SECONDS = 1.0


class FleetPlanner(FleetState):
    """Plans changes of VMs from the VM list, their loads and the demand of each pool.

    It calls nothing: the caller sends the planned changes to the cloud and reports the
    answers by ``mark_accepted`` and ``mark_refused``.
    """

    def __init__(self) -> None:
        super().__init__()
        self.sizer = PoolSizer()
        self.move_planner = MovePlanner(self)
        self.wave_planner = WavePlanner(self)
        self.first_listed_at = 0.0
        # Size, minimum and desired size of each pool in the last log lines.
        self.logged_targets: dict[PoolName, tuple[int, int, int]] = {}

    # Inputs

    def update_vms(
        self,
        vms: list[Vm],
        now: float,
        requested_at: float | None = None,
        complete: bool = True,
    ) -> None:
        """Replace the VM list; the first one of a term sets the pools.

        ``requested_at`` is the time of the request for the list, by default ``now``.
        """
        if not self.known_pools and vms and self.pool_names:
            self.first_listed_at = now
            self.known_pools = sorted(self.pool_names)
            self.sizer.register_pools(self.known_pools, len(vms))
        self.replace_vms(vms, now, requested_at, complete)
        self.wave_planner.update_seen()

    @property
    def waves(self) -> Mapping[WaveId, WaveState]:
        """Return the progress of all known waves."""
        return self.wave_planner.waves

    def add_wave(self, wave: Wave, now: float) -> bool:
        """Add an operator's wave; return False if it is already known as it is."""
        is_new = self.wave_planner.add(wave, now)
        self.wave_planner.update_seen()
        return is_new

    def resume_wave(
        self,
        wave: WaveId,
        begun: set[VmId],
        ordered: set[VmId],
        now: float,
        seen: Set[VmId] = frozenset(),
    ) -> None:
        """Restore the progress of a wave that an earlier leader stored."""
        self.wave_planner.resume(wave, begun, ordered, now, seen)

    def finished_waves(self, now: float) -> list[WaveState]:
        """Return the waves to mark completed."""
        return self.wave_planner.finished(now)

    # Decisions

    def plan(self, demands: Mapping[PoolName, Demand], now: float) -> list[VmChange]:
        """Cordon VMs for waves and moves; return the changes to request now."""
        targets = self.sizer.targets(
            demands, self.standby_pools, self.cores_per_vm, now
        )
        self.wave_planner.plan(targets, now)
        may_park = now - self.first_listed_at > PARKING_DELAY_SECONDS
        self.move_planner.plan(targets, may_park, now)
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
            if self.is_empty(change.vm) and self.wave_planner.is_within_limit(change):
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
