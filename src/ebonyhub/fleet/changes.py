"""State of the fleet planner: changes of VMs, pools and maintenance waves."""

from dataclasses import dataclass, field
from enum import Enum
from math import inf

from ..ids import PoolName, VmId, WaveId, WorkerId
from .model import Vm, Wave

NO_WORKER = WorkerId("")
# Share of a wave's duration reserved for VMs with long-running tasks. Their pool can
# never spare them, and the tasks of a step are stopped one after the other.
LONG_RUNNING_RESERVED_SHARE = 0.8


class ChangePhase(Enum):
    """Phase of a move or maintenance of a VM."""

    # The VM gets no new tasks, and the change waits until it is empty.
    CORDONED = "cordoned"
    # The cloud has been asked for the change and has not answered yet.
    ORDERED = "ordered"
    # The cloud is carrying out the change; the VM is up again once it is complete.
    ACCEPTED = "accepted"


@dataclass(slots=True)
class VmChange:
    """A move of a VM to ``pool``, or its maintenance as part of ``wave``.

    ``phase_since`` is in monotonic seconds.
    """

    vm: VmId
    phase: ChangePhase
    phase_since: float
    pool: PoolName | None = None
    wave: WaveId | None = None
    # A request for it got no answer, so the cloud may still carry it out.
    outcome_unknown: bool = False
    # The VM's worker when the change was requested; the change ends that worker.
    replaced_worker: WorkerId = NO_WORKER


@dataclass(frozen=True, slots=True)
class Arrival:
    """A VM whose change is complete: a new worker of it has registered in ``pool``.

    ``at`` is in monotonic seconds.
    """

    pool: PoolName
    worker: WorkerId
    at: float


@dataclass(slots=True)
class WaveState:
    """Progress of a wave; times are monotonic seconds."""

    wave: Wave
    # When the wave or its latest change was received.
    received_at: float
    due_at: float
    # VMs of the wave that the cloud has listed at any time.
    seen: set[VmId] = field(default_factory=set)
    # VMs whose maintenance the cloud has confirmed to have begun.
    begun: set[VmId] = field(default_factory=set)
    # VMs for which this leader or an earlier one may have requested maintenance.
    ordered: set[VmId] = field(default_factory=set)
    completed: bool = False
    # Monotonic seconds before which no maintenance of the wave is planned.
    not_before: float = -inf

    def long_running_vms_are_due(self, now: float) -> bool:
        """Return whether maintenance of VMs with long-running tasks must start now."""
        return (
            now + self.wave.duration_seconds * LONG_RUNNING_RESERVED_SHARE > self.due_at
        )


@dataclass(frozen=True, slots=True)
class PoolAllocation:
    """VMs that may leave each pool, and the size of each pool after planned moves.

    Both are updated in place while pools are filled.
    """

    movable: dict[PoolName, list[Vm]]
    sizes: dict[PoolName, int]
