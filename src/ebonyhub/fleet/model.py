"""VMs, their pools and the waves of upkeep that operators ask for."""

from dataclasses import dataclass
from enum import Enum

from ..ids import PoolName, RackId, VmId, WaveId, WorkerId
from ..jobs.model import Resources


class VmState(Enum):
    """State of a VM as the platform's cloud reports it."""

    UP = "up"
    MOVING = "moving"
    UPKEEP = "upkeep"
    DOWN = "down"


@dataclass(frozen=True, slots=True)
class Vm:
    """A VM; ``worker`` is its present life, empty if it has none."""

    vm: VmId
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

    wave: WaveId
    vms: tuple[VmId, ...]
    duration: float
    limit: int
