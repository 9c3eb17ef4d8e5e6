"""Why the ready tasks of a service wait, as one cause for each service.

The cause goes into the log whenever it changes, so that the logs of a day tell what
late jobs waited for.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from enum import Enum

from .runs import Job, Worker


class WaitCause(Enum):
    """What ready tasks wait for."""

    NONE = "none"
    # Starts cannot be stored, so none is ordered.
    STORE = "store"
    # No worker has capacity; VMs are on their way to the pool, or none is.
    VMS_ON_WAY = "vms_on_way"
    POOL_SHORT = "pool_short"
    # The workers' free capacity would do, but no single worker has enough of it.
    FRAGMENTED = "fragmented"
    # A worker has capacity, but the step may not run there, or lacks advice.
    CONSTRAINTS = "constraints"


@dataclass(frozen=True, slots=True)
class Waiting:
    """Cause and amount of waiting work of a service."""

    cause: WaitCause
    tasks: int = 0
    cores: float = 0.0


NOT_WAITING = Waiting(WaitCause.NONE)


def waiting_of(
    jobs: Iterable[Job],
    eligible_workers: Sequence[Worker],
    can_start: bool,
    vms_on_way: int,
) -> Waiting:
    """Return why the ready tasks of a service's jobs wait after a planning pass."""
    tasks, cores, smallest = 0, 0.0, 0
    for job in jobs:
        for (_, number), positions in job.pending.items():
            cpu = job.accepted.spec.steps[number].reserved.cpu
            tasks += len(positions)
            cores += len(positions) * cpu / 1000
            smallest = min(smallest, cpu) if smallest else cpu
    if not tasks:
        return NOT_WAITING
    return Waiting(
        _cause(smallest, eligible_workers, can_start, vms_on_way), tasks, cores
    )


def _cause(
    smallest_cpu: int, workers: Sequence[Worker], can_start: bool, vms_on_way: int
) -> WaitCause:
    if not can_start:
        return WaitCause.STORE
    free = [max(0, worker.free.cpu) for worker in workers]
    if max(free, default=-1) >= smallest_cpu:
        return WaitCause.CONSTRAINTS
    if vms_on_way:
        return WaitCause.VMS_ON_WAY
    if sum(free) >= smallest_cpu:
        return WaitCause.FRAGMENTED
    return WaitCause.POOL_SHORT
