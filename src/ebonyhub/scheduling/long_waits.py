"""Long-running tasks that wait, with what keeps them from each worker, for the log.

A task of a long-running step serves callers, so seconds without it are an outage. The
cause for which a service waits does not tell which rule holds back one task.
"""

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum
from itertools import islice

from ..events import Event, log_event
from ..ids import TaskId
from . import lifecycle
from .crashes import is_isolating, is_suspected
from .explain import known_requirements
from .placement import has_capacity, meets_constraints
from .runs import Worker
from .scheduler import Scheduler
from .state import short_name

# Seconds without a run after which a task is logged, once for each wait.
LOGGED_AFTER_SECONDS = 3.0
# Tasks that are watched at a time: a check must not keep the event loop.
MAX_WATCHED_TASKS = 500
# Tasks that one check logs at most; others follow with the next one.
MAX_LOGGED_TASKS = 16


class Obstacle(Enum):
    """What keeps a task from a worker of its service."""

    NOT_ELIGIBLE = "not_eligible"
    # Its label, or placement advice, rules it out.
    CONSTRAINTS = "constraints"
    # Capacity, starts under way, or the limit of the step's tasks on one worker.
    NO_ROOM = "no_room"
    # The worker is kept for suspected tasks, or runs one alone.
    KEPT_FOR_SUSPECTS = "kept_for_suspects"
    # A late start binds the task to another worker.
    BOUND = "bound"
    # The task may start there with the next planning pass.
    NONE = "none"


@dataclass(slots=True)
class LongWaits:
    """The long-running tasks without a run; times are monotonic seconds."""

    waiting_since: dict[TaskId, float] = field(default_factory=dict)
    logged: set[TaskId] = field(default_factory=set)

    def check(self, scheduler: Scheduler, now: float) -> None:
        """Log each task that has waited for LOGGED_AFTER_SECONDS."""
        waiting = set(islice(_waiting_tasks(scheduler), MAX_WATCHED_TASKS))
        for task in self.waiting_since.keys() - waiting:
            del self.waiting_since[task]
            self.logged.discard(task)
        for task in waiting:
            self.waiting_since.setdefault(task, now)
        due = [
            task
            for task, since in self.waiting_since.items()
            if now - since >= LOGGED_AFTER_SECONDS and task not in self.logged
        ]
        for task in due[:MAX_LOGGED_TASKS]:
            self.logged.add(task)
            _log_wait(scheduler, task, now - self.waiting_since[task], now)


def _waiting_tasks(scheduler: Scheduler) -> Iterator[TaskId]:
    for job in scheduler.active.values():
        if not job.long_running:
            continue
        for (occurrence, number), positions in job.pending.items():
            if job.accepted.spec.steps[number].long_running:
                for position in positions:
                    yield TaskId(job.job_id, occurrence, number, position)


def _log_wait(scheduler: Scheduler, task: TaskId, seconds: float, now: float) -> None:
    job = scheduler.active[task.job]
    service = scheduler.service_of(job)
    progress = lifecycle.step_progress_of(job, task)
    late_start = scheduler.late_starts.get(task)
    obstacles = Counter(
        obstacle_of(scheduler, task, worker, now).value
        for worker in scheduler.workers.values()
        if worker.entry.service == service
    )
    log_event(
        Event.LONG_RUNNING_TASK_WAITS, job=task.job, task=short_name(task),
        service=service, seconds=round(seconds, 1),
        workers=",".join(f"{name}:{count}" for name, count in obstacles.items()),
        bound_to=late_start.worker if late_start else None,
        suspected=progress is not None and is_suspected(progress, task.position),
        delay=round(scheduler.crash_delays.remaining(task, now), 1),
    )  # fmt: skip


def obstacle_of(
    scheduler: Scheduler, task: TaskId, worker: Worker, now: float
) -> Obstacle:
    """Return the first obstacle between a waiting task and a worker."""
    job = scheduler.active[task.job]
    requirements = known_requirements(scheduler, job, task.occurrence, task.step, now)
    if not scheduler.is_eligible(worker, now):
        return Obstacle.NOT_ELIGIBLE
    if not meets_constraints(requirements, worker):
        return Obstacle.CONSTRAINTS
    if not has_capacity(requirements, worker):
        return Obstacle.NO_ROOM
    avoid = job.workers_to_avoid.get(task, ())
    if not scheduler.workers_for(task, [worker], avoid):
        return Obstacle.BOUND
    held = scheduler.held_workers.get(worker.entry.service, ())
    if is_isolating(worker, now) or worker.worker_id in held:
        return Obstacle.KEPT_FOR_SUSPECTS
    return Obstacle.NONE
