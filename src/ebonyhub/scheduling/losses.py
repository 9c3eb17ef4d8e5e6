"""What is lost with a worker: the cause, and the runs by their age."""

from enum import Enum

from ..fleet.model import Vm, VmState
from ..ids import PoolName
from .runs import Run, RunPhase, Worker

# Most runs that the log line of a lost worker names.
MAX_LOGGED_RUNS = 4


class LossCause(Enum):
    """How it is known that a worker process and its runs have ended."""

    # The worker was silent until its lease had ended; it may still be alive.
    LEASE_ENDED = "lease_ended"
    # What the VM list says of the worker's VM.
    VM_DOWN = "vm_down"
    VM_GONE = "vm_gone"
    VM_MOVING = "vm_moving"
    VM_MAINTENANCE = "vm_upkeep"
    # The VM is up in another pool.
    VM_MOVED = "vm_moved"
    # The VM is up with another worker.
    WORKER_REPLACED = "vm_up"
    # The worker answers, but its process has started again under the same id.
    RESTARTED = "restarted"

    @property
    def id_may_return(self) -> bool:
        """Return whether a process may start again under the id of the worker."""
        return self in _CAUSES_WITH_RETURN


# A process may start again under the worker's id after such a loss.
_CAUSES_WITH_RETURN = frozenset(
    {LossCause.LEASE_ENDED, LossCause.VM_DOWN, LossCause.RESTARTED}
)

_CAUSE_BY_VM_STATE = {
    VmState.UP: LossCause.WORKER_REPLACED,
    VmState.MOVING: LossCause.VM_MOVING,
    VmState.MAINTENANCE: LossCause.VM_MAINTENANCE,
    VmState.DOWN: LossCause.VM_DOWN,
}


def loss_by_vm(worker: Worker, vm: Vm | None) -> LossCause | None:
    """Return why the worker cannot exist by its listed VM, None if it can."""
    if vm is None:
        return LossCause.VM_GONE
    if vm.state is VmState.UNKNOWN:
        return None
    if vm.state is VmState.UP and vm.worker == worker.worker_id:
        return None
    if vm.state is VmState.UP and vm.pool != PoolName(worker.entry.service):
        return LossCause.VM_MOVED
    return _CAUSE_BY_VM_STATE[vm.state]


def run_age(run: Run, worker: Worker, now: float) -> float:
    """Return for how many seconds a run existed before its worker fell silent."""
    ended_at = now if worker.silent_since is None else worker.silent_since
    return max(0.0, ended_at - (run.confirmed_at or run.planned_at))


def started_runs(worker: Worker) -> list[Run]:
    """Return the runs whose start may have reached the worker."""
    return [run for run in worker.runs.values() if run.phase is not RunPhase.PLANNED]


def youngest_runs(worker: Worker, now: float) -> str:
    """Return job, task and age in ms of the youngest runs, for a log line."""
    aged = sorted(
        ((run_age(run, worker, now), run) for run in started_runs(worker)),
        key=lambda pair: pair[0],
    )
    return ",".join(
        f"{run.task.job}/{run.task.occurrence}.{run.task.step}.{run.task.position}"
        f":{age * 1000:.0f}"
        for age, run in aged[:MAX_LOGGED_RUNS]
    )
