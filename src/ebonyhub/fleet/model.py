"""VMs, what runs on them, and the maintenance waves that operators request."""

from collections.abc import Mapping, Set
from dataclasses import dataclass, field
from enum import Enum

from ..ids import PoolName, RackId, VmId, WaveId, WorkerId
from ..jobs.model import Resources

# Time for which the VM list may lag behind: behind the registration of a VM's new
# worker, or by leaving out a VM that exists.
VM_LIST_LAG_SECONDS = 2.0


class VmState(Enum):
    """State of a VM as the cloud lists it."""

    UP = "up"
    MOVING = "moving"
    # The cloud calls maintenance upkeep.
    MAINTENANCE = "upkeep"
    DOWN = "down"
    # The cloud lists the VM, but its row cannot be read. Nothing follows from it.
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class Vm:
    """A VM; ``worker`` is the id of its running worker, empty if there is none."""

    vm_id: VmId
    pool: PoolName
    state: VmState
    zone: str
    rack: RackId
    capacity: Resources
    worker: WorkerId


@dataclass(frozen=True, slots=True)
class VmListing:
    """All VMs that the cloud lists.

    Not ``complete`` if a row names no VM: one that is missing may be that row.
    """

    vms: list[Vm]
    complete: bool = True


@dataclass(frozen=True, slots=True)
class Wave:
    """VMs on which an operator has requested maintenance.

    It is due for all of them ``duration_seconds`` after the request, and at most
    ``max_down`` of them may be down for it at the same time.
    """

    wave_id: WaveId
    vms: tuple[VmId, ...]
    duration_seconds: float
    max_down: int


@dataclass(frozen=True, slots=True)
class VmLoad:
    """Tasks that run on a VM and the cores reserved for them."""

    used_cores: float = 0.0
    tasks: int = 0
    long_running_tasks: int = 0
    long_running_cores: float = 0.0
    # Estimated time until all tasks except the long-running ones have ended.
    seconds_until_empty: float = 0.0


# Assumed while the worker of a VM has not reported to a new leader. It includes a
# long-running task, so that the VM is neither moved nor taken down for maintenance.
UNKNOWN_LOAD = VmLoad(tasks=1, long_running_tasks=1)


@dataclass(frozen=True, slots=True)
class FleetLoad:
    """Loads of all VMs as known to the current leader."""

    by_vm: Mapping[VmId, VmLoad] = field(default_factory=dict)
    # Workers that have reported to this leader; None once every lease granted by an
    # earlier leader has expired, so that an unreported worker runs nothing.
    reported_workers: Set[WorkerId] | None = None
    # Present capacities as the workers tell them; they may be below those of their VMs.
    capacities: Mapping[VmId, Resources] = field(default_factory=dict)

    def capacity_of(self, vm: Vm) -> Resources:
        """Return the present capacity of a VM, the listed one if no worker tells it."""
        return self.capacities.get(vm.vm_id, vm.capacity)

    def for_vm(self, vm: Vm) -> VmLoad:
        """Return the load of a VM, UNKNOWN_LOAD until its worker has reported."""
        load = self.by_vm.get(vm.vm_id, VmLoad())
        unreported = (
            self.reported_workers is not None
            and vm.worker
            and vm.worker not in self.reported_workers
        )
        return UNKNOWN_LOAD if unreported and not load.tasks else load
