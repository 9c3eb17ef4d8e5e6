"""VMs, their pools and the waves of upkeep that operators ask for."""

from collections.abc import Mapping, Set
from dataclasses import dataclass, field
from enum import Enum

from ..ids import PoolName, RackId, VmId, WaveId, WorkerId
from ..jobs.model import Resources


class VmState(Enum):
    """State of a VM as the platform's cloud reports it."""

    UP = "up"
    MOVING = "moving"
    MAINTENANCE = "upkeep"
    DOWN = "down"


@dataclass(frozen=True, slots=True)
class Vm:
    """A VM; ``worker`` is its present life, empty if it has none."""

    vm_id: VmId
    pool: PoolName
    state: VmState
    zone: str
    rack: RackId
    capacity: Resources
    worker: WorkerId


@dataclass(frozen=True, slots=True)
class Wave:
    """VMs that must have their upkeep within ``duration`` seconds of the request.

    At most ``limit`` of them may be down for it at once.
    """

    wave_id: WaveId
    vms: tuple[VmId, ...]
    duration_seconds: float
    max_down: int


@dataclass(frozen=True, slots=True)
class VmLoad:
    """What runs on a VM."""

    used_cores: float = 0.0
    tasks: int = 0
    long_running_tasks: int = 0
    long_running_cores: float = 0.0
    # Seconds until its other tasks have ended, by their progress so far.
    seconds_until_empty: float = 0.0


# Stands for a VM whose worker has not told a new leader what it runs. It counts as
# serving, so that nothing is moved or has its upkeep on a guess.
UNKNOWN_LOAD = VmLoad(tasks=1, long_running_tasks=1)


@dataclass(frozen=True, slots=True)
class FleetLoad:
    """What runs on the VMs, as far as a leader knows."""

    by_vm: Mapping[VmId, VmLoad] = field(default_factory=dict)
    # Workers that have reported to this leader. None once everything that an earlier
    # leader started has surely ended or been reported.
    reported_workers: Set[WorkerId] | None = None

    def for_vm(self, vm: Vm) -> VmLoad:
        """Return the load of a VM; it is unknown until its worker has reported."""
        load = self.by_vm.get(vm.vm_id, VmLoad())
        unheard = (
            self.reported_workers is not None
            and vm.worker
            and vm.worker not in self.reported_workers
        )
        return UNKNOWN_LOAD if unheard and not load.tasks else load
