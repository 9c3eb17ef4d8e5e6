"""Starts without an answer that a process of their worker may still carry out.

A start order without an answer may be carried out up to LATE_CALL_SECONDS after it was
sent, by any process under the worker's id. What one process proves about it (a
confirmed stop, a refused token, a report without the run) does not bind the next one.
Until that time has passed, the task runs on the same worker only, also if it is
long-running. If a later process carries out the start, the process of the task's other
run has ended, and the run, too.
"""

from collections.abc import Callable, Container, Mapping
from dataclasses import dataclass

from ..fleet.model import Vm, VmState
from ..ids import JobId, TaskId, VmId, WorkerId
from .worker_process import LATE_CALL_SECONDS

# Seconds by which the list of VMs may show a VM as down that is up again.
VM_LIST_LAG_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class LateStart:
    """A start order without an answer; ``unanswered_at`` is in monotonic seconds."""

    worker: WorkerId
    vm: VmId
    # The order was sent before this time.
    unanswered_at: float
    # The task is to run until its job is cancelled.
    long_running: bool = False


def is_down_for_good(unanswered_at: float, listed_at: float) -> bool:
    """Return whether a VM that is listed as down cannot run a late start any more.

    ``listed_at`` is when the list was requested. A process may still begin under the
    worker's id, but too late to carry out a start without an answer since
    ``unanswered_at``; one that had carried it out would keep the VM up.
    """
    return listed_at > unanswered_at + LATE_CALL_SECONDS + VM_LIST_LAG_SECONDS


def has_left_vm(start: LateStart, vm: Vm | None, listed_at: float) -> bool:
    """Return whether the VM of a start shows that no process carries it out any more.

    ``vm`` is the VM as listed, None if it is not; the list was requested at
    ``listed_at``, after the start was sent.
    """
    if vm is None:
        return True
    if vm.state is VmState.UP:
        return vm.worker != start.worker
    if vm.state is VmState.DOWN:
        return is_down_for_good(start.unanswered_at, listed_at)
    return vm.state in (VmState.MOVING, VmState.MAINTENANCE)


_NONE: Mapping[TaskId, LateStart] = {}


class LateStarts:
    """The latest start without an answer of each task, until it cannot come any more.

    All such starts of a task went to the same worker, since the task is bound to it.
    """

    def __init__(self) -> None:
        # In the order of ``unanswered_at``.
        self.by_task: dict[TaskId, LateStart] = {}
        self.by_job: dict[JobId, dict[TaskId, LateStart]] = {}
        # Those of long-running tasks, which each tick looks at.
        self.long_running: dict[TaskId, LateStart] = {}

    def add(
        self,
        task: TaskId,
        worker: WorkerId,
        vm: VmId,
        now: float,
        long_running: bool = False,
    ) -> None:
        """Note a start without an answer, in place of an earlier one of the task."""
        self.by_task.pop(task, None)
        start = LateStart(worker, vm, now, long_running)
        self.by_task[task] = start
        self.by_job.setdefault(task.job, {})[task] = start
        if long_running:
            self.long_running[task] = start

    def get(self, task: TaskId) -> LateStart | None:
        """Return the start of a task that may still be carried out, if there is one."""
        return self.by_task.get(task)

    def of_job(self, job_id: JobId) -> Mapping[TaskId, LateStart]:
        """Return the starts of a job's tasks that may still be carried out."""
        return self.by_job.get(job_id, _NONE)

    def remove_from(self, worker: WorkerId, task: TaskId) -> None:
        """Forget the start of a task if it was sent to this worker."""
        start = self.by_task.get(task)
        if start is not None and start.worker == worker:
            self.remove(task)

    def remove(self, task: TaskId) -> None:
        """Forget the start of a task, if there is one."""
        if self.by_task.pop(task, None) is None:
            return
        self.long_running.pop(task, None)
        starts = self.by_job[task.job]
        del starts[task]
        if not starts:
            del self.by_job[task.job]

    def remove_job(self, job_id: JobId) -> None:
        """Forget the starts of a job that needs no further runs."""
        for task in self.by_job.pop(job_id, _NONE):
            del self.by_task[task]
            self.long_running.pop(task, None)

    def remove_of(self, worker: WorkerId) -> list[TaskId]:
        """Forget the starts of a worker; return their tasks."""
        return self.remove_where(lambda start: start.worker == worker)

    def remove_where(self, is_over: Callable[[LateStart], bool]) -> list[TaskId]:
        """Forget the starts of workers whose ids have ended; return their tasks."""
        tasks = [task for task, start in self.by_task.items() if is_over(start)]
        for task in tasks:
            self.remove(task)
        return tasks

    def remove_ended(
        self, now: float, has_ended: Callable[[TaskId, LateStart], bool]
    ) -> list[TaskId]:
        """Forget the starts that no process carries out any more; return their tasks.

        ``has_ended`` is asked about those that were sent long enough ago.
        """
        tasks: list[TaskId] = []
        for task, start in self.by_task.items():
            if now <= start.unanswered_at + LATE_CALL_SECONDS:
                break
            if has_ended(task, start):
                tasks.append(task)
        for task in tasks:
            self.remove(task)
        return tasks

    @property
    def workers(self) -> set[WorkerId]:
        """Return the workers to which one of the starts was sent."""
        return {start.worker for start in self.by_task.values()}


def bound_positions(
    starts: Mapping[TaskId, LateStart],
    occurrence: int,
    step: int,
    positions: Container[int],
) -> dict[int, WorkerId]:
    """Return which of a step's ``positions`` are bound to a worker, with the worker."""
    return {
        task.position: start.worker
        for task, start in starts.items()
        if task.occurrence == occurrence
        and task.step == step
        and task.position in positions
    }
