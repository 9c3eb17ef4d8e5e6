"""Sizes of pools: how many VMs each needs now, and how many it keeps beyond that.

A pool keeps its highest recent target for a while, so that a dip between two jobs moves
no VM. Beyond that, it keeps a reserve that takes the first jobs of a surge while more
VMs move in.
"""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from math import ceil

from ..ids import PoolName
from .demand import Demand

# VMs that a pool keeps after its surge. With two, long-running tasks still have a VM
# when one is lost.
MIN_POOL_VMS = 2
# VMs that a pool keeps before its surge. They take the first jobs while more VMs move
# in.
RESERVE_VMS = 3
# Capacity relative to the forecast; the estimated run times of jobs are imprecise.
HEADROOM_FACTOR = 1.1
# Time for which a pool keeps its highest recent target, so that a dip between two jobs
# moves no VM. Parking a VM in a standby pool saves more than its two moves cost only
# after about 2.5 s.
TARGET_HOLD_SECONDS = 1.2
# A surge of a pool starts when its target reaches this multiple of an even share of the
# VMs, and ends when the target falls to half of an even share.
SURGE_FACTOR = 1.0


@dataclass(frozen=True, slots=True)
class PoolTarget:
    """Target sizes of a pool in VMs: for present demand, and including reserve."""

    minimum: int
    desired: int


@dataclass(slots=True)
class PoolState:
    """Recent targets and surges of a pool."""

    # Target sizes with the time of each, oldest first.
    recent_targets: list[tuple[float, int]] = field(default_factory=list)
    # Whether it has had a surge since every pool had one.
    had_surge: bool = False
    in_surge: bool = False

    def record_target(self, now: float, target: int) -> int:
        """Add a target; return the highest one of the last TARGET_HOLD_SECONDS."""
        self.recent_targets.append((now, target))
        while self.recent_targets[0][0] < now - TARGET_HOLD_SECONDS:
            self.recent_targets.pop(0)
        return max(size for _, size in self.recent_targets)


class PoolSizer:
    """Computes the target sizes of pools; it remembers recent targets and surges."""

    def __init__(self) -> None:
        self.pools: dict[PoolName, PoolState] = {}
        # All VMs divided by the number of pools.
        self.even_share = 0

    def register_pools(self, pools: Iterable[PoolName], vms: int) -> None:
        """Begin with these pools, which share a number of VMs.

        The even share does not follow the pools' present sizes, since an earlier leader
        may have moved most VMs to one pool.
        """
        self.pools = {pool: PoolState() for pool in pools}
        self.even_share = vms // len(self.pools)

    def targets(
        self,
        demands: Mapping[PoolName, Demand],
        standby_pools: set[PoolName],
        cores_per_vm: Callable[[PoolName], float],
        now: float,
    ) -> dict[PoolName, PoolTarget]:
        """Return the target sizes of all pools except the standby pools."""
        active = {p: s for p, s in self.pools.items() if p not in standby_pools}
        targets: dict[PoolName, PoolTarget] = {}
        for pool, state in active.items():
            demand = demands.get(pool, Demand())
            required = ceil(demand.cores * HEADROOM_FACTOR / cores_per_vm(pool))
            recent_peak = state.record_target(now, required)
            self._update_surge(state, recent_peak, list(active.values()))
            with_over_rate = ceil(
                (demand.cores + demand.over_rate_cores)
                * HEADROOM_FACTOR
                / cores_per_vm(pool)
            )
            reserve = self._reserve_size(state)
            desired = max(recent_peak, reserve, with_over_rate)
            minimum = max(required, min(MIN_POOL_VMS, self.even_share), demand.min_vms)
            targets[pool] = PoolTarget(minimum, max(desired, minimum))
        return targets

    def _update_surge(
        self, state: PoolState, target: int, active: list[PoolState]
    ) -> None:
        """Track which pools have had a surge; start anew once all of them have."""
        if target >= self.even_share * SURGE_FACTOR:
            state.in_surge = True
        elif state.in_surge and target <= self.even_share // 2:
            state.in_surge, state.had_surge = False, True
            if all(other.had_surge for other in active):
                for other in active:
                    other.had_surge = other is state

    def _reserve_size(self, state: PoolState) -> int:
        """Return the number of VMs that a pool keeps without demand.

        The queues surge in turn, so a pool that had its surge keeps fewer VMs until
        every other pool has had one.
        """
        return min(MIN_POOL_VMS, self.even_share) if state.had_surge else RESERVE_VMS
