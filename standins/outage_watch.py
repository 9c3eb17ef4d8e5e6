"""Checks that long-running tasks run again soon, whenever nothing is disturbed.

The users' rule: a task that is to last has a run within 6 s of its last one, however
full its service is. A task without a run counts once a worker has had room for it for
3 s in which, and in the 4 s before which, nothing was disturbed.
"""

from dataclasses import dataclass, field

from ebonyhub.ids import TaskId
from ebonyhub.jobs.model import Resources, StepSpec
from standins.emulator import Emulator
from standins.fake_worker import FakeWorker
from standins.oracle import GuaranteeViolation

RESTART_SECONDS = 6.0
ABSENT_SECONDS = 3.0
CALM_SECONDS = 4.0


@dataclass
class OutageWatch:
    """Watches the long-running tasks of an emulator; call ``check`` after each step."""

    emulator: Emulator
    disturbed_at: float = 0.0
    last_run_at: dict[TaskId, float] = field(default_factory=dict)
    # Since when a task has had no run although a worker had room for it.
    absent_since: dict[TaskId, float] = field(default_factory=dict)

    def disturb(self) -> None:
        """Note that something is disturbed now."""
        self.disturbed_at = self.emulator.now

    def check(self) -> None:
        """Raise GuaranteeViolation for a task that has no run for too long."""
        for job, accepted in self.emulator.accepted.items():
            if accepted.spec.long_running and job not in self.emulator.cancelled:
                for task in self.emulator.oracle.tasks_of(job):
                    self._check_task(task, accepted.spec.steps[task.step])

    def _check_task(self, task: TaskId, step: StepSpec) -> None:
        now, workers = self.emulator.now, self.emulator.workers.values()
        last_run_at = self.last_run_at.setdefault(task, now)
        if any(worker.up and task in worker.runs for worker in workers):
            self.last_run_at[task] = now
            self.absent_since.pop(task, None)
            return
        if not any(self._has_room(worker, task, step) for worker in workers):
            self.absent_since.pop(task, None)
            return
        absent_from = max(
            self.absent_since.setdefault(task, now),
            last_run_at + RESTART_SECONDS,
            self.disturbed_at + CALM_SECONDS,
        )
        if now - absent_from > ABSENT_SECONDS:
            raise GuaranteeViolation(
                f"LOST: {task} is to last and has no run since {last_run_at:.2f}"
            )

    def _has_room(self, worker: FakeWorker, task: TaskId, step: StepSpec) -> bool:
        takes_tasks = worker.up and worker.registered and not worker.draining
        if not takes_tasks or worker.partitioned:
            return False
        same = sum(other[:3] == task[:3] for other in worker.runs)
        if step.max_per_worker and same >= step.max_per_worker:
            return False
        used = Resources()
        for other in worker.runs:
            spec = self.emulator.oracle.specs[other.job]
            used = used + spec.steps[other.step].reserved
        return step.reserved.fits_into(worker.capacity - used)
