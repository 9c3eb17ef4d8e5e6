"""What the scheduler believes: jobs, workers, runs and advice."""

from collections import deque
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from ..configuration import Configuration, Queue
from ..events import Event, log_event
from ..fleet.demand import ArrivalMeter
from ..ids import JobId, QueueName, ServiceName, TaskId, VmId, WorkerId
from . import lifecycle
from .health import FLEET_AVERAGE_WEIGHT, SlowdownAverage
from .orders import Order, StopRun
from .priority import Urgency, urgency
from .runs import Job, Run, RunPhase, StopReason, Worker

# Seconds without an answer after which a worker gets no new tasks. Holds are long
# polls of one second.
RESPONSE_MAX_AGE_SECONDS = 1.8
# Seconds until an unconfirmed stop is ordered again.
STOP_REPEAT_SECONDS = 0.6
# Seconds after which a stop that a worker has accepted has taken effect. The platform
# allows 0.4 s.
STOP_SETTLE_SECONDS = 0.6

StepKey = tuple[JobId, int, int]


@dataclass(frozen=True, slots=True)
class Advice:
    """Workers that may run a step, with their tickets; times are monotonic seconds."""

    tickets: dict[WorkerId, str]
    expires_at: float

    def is_unusable(self, workers: Iterable[Worker], now: float) -> bool:
        """Return whether it has expired or names no worker that takes tasks."""
        if now >= self.expires_at:
            return True
        return not any(worker.worker_id in self.tickets for worker in workers)


class SchedulerState:
    """Jobs, workers and runs, and the basic changes to them."""

    def __init__(self) -> None:
        # Also queues that were dropped, since their jobs go on.
        self.queues: dict[QueueName, Queue] = {}
        self.jobs: dict[JobId, Job] = {}
        self.active: dict[JobId, Job] = {}
        self.workers: dict[WorkerId, Worker] = {}
        self.dirty: dict[JobId, Job] = {}
        self.outbox: deque[Order] = deque()
        # Runs whose record is not yet stored.
        self.planned: list[Run] = []
        # Until then leases of earlier leaders may hold on workers that do not answer.
        self.inherited_leases_until = 0.0
        # What the advisor said of each step, and the steps to ask it about.
        self.advice: dict[StepKey, Advice] = {}
        self.steps_without_advice: dict[StepKey, QueueName] = {}
        # How long tasks take against their estimates, on all workers.
        self.fleet_slowdown = SlowdownAverage(FLEET_AVERAGE_WEIGHT)
        self.arrivals: dict[ServiceName, ArrivalMeter] = {}
        # Workers on which each job that has not ended ever had a run.
        self.workers_of_job: dict[JobId, dict[WorkerId, None]] = {}
        # Services in which a task may have become ready or room may have become free
        # since the last pass.
        self.services_to_plan: set[ServiceName] = set()
        # Workers with ends whose records are not yet stored.
        self.workers_with_unstored_ends: set[WorkerId] = set()
        # Cores of each service with those of VMs on the way; none without a fleet.
        self.pool_cores: Mapping[ServiceName, float] = {}
        # Order in which waiting jobs get capacity.
        self.urgency: Callable[[Job, Queue | None, float, bool], Urgency] = urgency
        # VMs that planned work is about to end.
        self.cordoned_vms: set[VmId] = set()

    def configure(self, configuration: Configuration) -> None:
        """Take over a newer configuration."""
        self.queues.update(configuration.queues)

    def service_of(self, job: Job) -> ServiceName:
        """Return the service that runs the job under the present configuration."""
        queue = self.queues.get(job.queue)
        return queue.service if queue else job.service

    def mark_stored(self, job: Job, version: int) -> None:
        """Note that a version of the job's record is stored."""
        job.stored_version = max(job.stored_version, version)
        if job.stored_version >= job.version:
            self.dirty.pop(job.job_id, None)

    def remove_job(self, job_id: JobId) -> None:
        """Drop a finished job whose records were removed."""
        self.jobs.pop(job_id, None)
        self.workers_of_job.pop(job_id, None)
        self.dirty.pop(job_id, None)

    def mark_dirty(self, job: Job) -> None:
        """Have the job's record stored; its tasks may have become ready."""
        self.dirty[job.job_id] = job
        self.services_to_plan.add(self.service_of(job))

    def is_responsive(self, worker: Worker, now: float) -> bool:
        """Return whether the worker answered this leader a moment ago."""
        contact = worker.last_response_at
        return contact is not None and now - contact < RESPONSE_MAX_AGE_SECONDS

    def is_eligible(self, worker: Worker, now: float) -> bool:
        """Return whether the worker may get new tasks."""
        return (
            not worker.deregistered
            and not worker.entry.draining
            and not worker.cordoned
            and not worker.expired
            and self.is_responsive(worker, now)
            and not worker.health.is_quarantined(now)
        )

    def reserve_for_run(self, run: Run, worker: Worker) -> None:
        """Reserve capacity of a worker for a run."""
        worker.add(run)
        if run.task.job in self.active:
            workers = self.workers_of_job.setdefault(run.task.job, {})
            workers[worker.worker_id] = None

    def release_run(self, run: Run, worker: Worker) -> None:
        """Free what a run holds on its worker."""
        worker.remove(run)
        self.services_to_plan.add(worker.entry.service)

    def discard_run(self, run: Run, worker: Worker) -> None:
        """Forget a run that does not exist any more, and let its task start again."""
        self.release_run(run, worker)
        job = self.jobs.get(run.task.job)
        if job is None or not lifecycle.is_current(job, run.task, run.number):
            return
        lifecycle.clear_run(job, run.task, run.checkpoint)
        self.mark_dirty(job)

    def expire_worker(self, worker: Worker, cause: str) -> None:
        """Give up all runs of a worker."""
        worker.expired = True
        log_event(
            Event.WORKER_EXPIRED, worker=worker.worker_id, cause=cause,
            runs=len(worker.runs),
        )  # fmt: skip
        for run in list(worker.runs.values()):
            self.discard_run(run, worker)

    def stop_run(self, run: Run, reason: StopReason, now: float) -> None:
        """Order a stop, again after a while if it is not confirmed."""
        if run.stop_reason is None:
            run.stop_reason = reason
            log_event(
                Event.RUN_STOP_ORDERED, job=run.task.job, task=short_name(run.task),
                run=run.number, worker=run.worker, reason=reason.value,
            )  # fmt: skip
        if run.phase is RunPhase.PLANNED:
            self.release_run(run, self.workers[run.worker])
            return
        if (
            run.stop_confirmed_at is None
            and now - run.stop_sent_at >= STOP_REPEAT_SECONDS
        ):
            run.stop_sent_at = now
            self.outbox.append(StopRun(run.worker, run.task, run.number))


def is_serving(run: Run, now: float) -> bool:
    """Return whether a long-running task is serving, and will be a moment later.

    A run that was just found on its worker may have been stopped by an earlier leader
    a moment ago; it is listed until its stop takes effect.
    """
    if run.inherited and now - run.confirmed_at < STOP_SETTLE_SECONDS:
        return False
    return (
        run.phase is RunPhase.CONFIRMED
        and run.stop_reason is None
        and run.progress_percent >= 100
    )


def short_name(task: TaskId) -> str:
    """Return the task's name within its job, for log lines."""
    return f"{task.occurrence}.{task.step}.{task.position}"
