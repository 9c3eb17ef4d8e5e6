"""Planned changes of VMs, and what the planner remembers of pools and waves."""

from dataclasses import dataclass, field
from enum import Enum

from ..ids import PoolName, VmId, WaveId
from .model import Vm, Wave

# Seconds for which the highest recent target of a pool counts, so that a dip between
# two jobs moves nothing. A parked VM pays for its two moves after about 2.5 s.
TARGET_HOLD_SECONDS = 1.2
# Share of a wave's time that is kept for VMs with long-running tasks. Their pool can
# never spare them, and a step gives up its tasks one after the other.
LONG_RUNNING_RESERVED_SHARE = 0.8


class ChangePhase(Enum):
    """Step of a planned change of a VM."""

    # Gets no new tasks; those it has go on.
    CORDONED = "cordoned"
    # The cloud has been asked.
    ORDERED = "ordered"
    # The cloud has accepted; the VM comes back in a while.
    ACCEPTED = "accepted"


@dataclass(slots=True)
class VmChange:
    """A planned move or upkeep of one VM; times are monotonic seconds."""

    vm: VmId
    phase: ChangePhase
    since: float
    pool: PoolName | None = None
    wave: WaveId | None = None
    # A call for it had no answer, so that the cloud may carry it out.
    outcome_unknown: bool = False


@dataclass(slots=True)
class WaveState:
    """Progress of a wave; ``due_at`` is monotonic seconds."""

    wave: Wave
    due_at: float
    # VMs whose upkeep has surely begun.
    begun: set[VmId] = field(default_factory=set)
    # VMs for which the cloud may have been asked, by this leader or an earlier one.
    ordered: set[VmId] = field(default_factory=set)
    completed: bool = False

    def serving_vms_are_due(self, now: float) -> bool:
        """Return whether VMs with long-running tasks must have their upkeep, too."""
        return (
            now + self.wave.duration_seconds * LONG_RUNNING_RESERVED_SHARE > self.due_at
        )


@dataclass(frozen=True, slots=True)
class PoolTarget:
    """Wanted sizes of a pool: what it needs now, and what it keeps beyond that."""

    minimum: int
    desired: int


@dataclass(frozen=True, slots=True)
class PoolAllocation:
    """VMs that may leave each pool, and the number that each pool can use."""

    free: dict[PoolName, list[Vm]]
    usable: dict[PoolName, int]


@dataclass(slots=True)
class PoolState:
    """What the planner remembers of a pool."""

    # An even share of all VMs.
    share: int
    # Target sizes with the time at which each was wanted.
    targets: list[tuple[float, int]] = field(default_factory=list)
    surged: bool = False
    in_surge: bool = False

    def note_target(self, now: float, target: int) -> int:
        """Add a target; return the highest of the last seconds."""
        self.targets.append((now, target))
        while self.targets[0][0] < now - TARGET_HOLD_SECONDS:
            self.targets.pop(0)
        return max(size for _, size in self.targets)
