"""State of the scheduler: jobs, workers, runs and advice on placement.

The state is the leader's latest knowledge of the workers. It is rebuilt from the store
and from the workers' reports when leadership changes.
"""

from collections import deque
from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass
from functools import partial
from math import inf

from ..configuration import Configuration, Queue
from ..events import Event, log_event
from ..fleet.demand import ArrivalMeter
from ..ids import (
    JobId,
    LeaderToken,
    QueueName,
    ServiceName,
    StepKey,
    TaskId,
    VmId,
    WorkerId,
    WorkspaceName,
)
from ..jobs.model import AdvisorPolicy
from ..jobs.records import UnansweredStart
from ..node_settings import DEFAULT_MAX_LEASE_SECONDS
from . import lifecycle
from .acknowledgements import Acknowledgements
from .crash_delays import CrashDelays
from .crashes import Crash
from .health import FLEET_AVERAGE_WEIGHT, SlowdownAverage
from .kept_workers import KeptWorkers
from .late_starts import LateStart, LateStarts
from .left_runs import update_left_runs
from .losses import LossCause
from .orders import FetchReport, Order, RaiseToken, StartRun, StopRun
from .priority import Urgency, urgency
from .runs import Job, Run, RunPhase, StopReason, Worker
from .start_refusals import StartRefusals
from .unreadable_jobs import UnreadableJob
from .worker_process import (
    NO_TOKEN,
    FormerWorkers,
    WorkerProcess,
    late_effects_end,
)
from .workspaces.limits import Room
from .workspaces.policy import WorkspacePolicy, WorkspaceRules

# Seconds without a response after which a worker gets no new tasks. Workers are polled
# with long polls of one second.
RESPONSE_MAX_AGE_SECONDS = 1.8
# Seconds after which a stop order without a confirmation is sent again.
STOP_REPEAT_SECONDS = 0.6
# Seconds within which a run ends once its worker has accepted the stop order. The
# platform's limit is 0.4 s.
STOP_SETTLE_SECONDS = 0.6

# Crashes whose evidence can still be withdrawn.
MAX_CRASHES = 64

# Arrivals that are kept until demand is next computed, several times a second.
MAX_UNCOUNTED_ARRIVALS = 10_000

# Number of ready tasks that a limit lets start, by occurrence and step number.
AllowedTasks = dict[tuple[int, int], int]


@dataclass(frozen=True, slots=True)
class Advice:
    """The placement advisor's answer for one step.

    ``tickets`` holds, for each worker that may run the step, the ticket that the worker
    demands in the start order. ``expires_at`` is in monotonic seconds.
    """

    tickets: dict[WorkerId, str]
    expires_at: float

    def is_unusable(self, workers: Iterable[Worker], now: float) -> bool:
        """Return whether the advice has expired or allows none of ``workers``."""
        if now >= self.expires_at:
            return True
        return not any(worker.worker_id in self.tickets for worker in workers)


@dataclass(frozen=True, slots=True)
class Arrival:
    """A job that has arrived, with its work in core-seconds."""

    job: JobId
    service: ServiceName
    at: float
    work: float


class SchedulerState:
    """Holds jobs, workers and runs, and the elementary operations on them."""

    def __init__(self, workspace_rules: WorkspaceRules | None = None) -> None:
        # Limits and shares of workspaces; told of each job and run.
        self.workspaces = WorkspacePolicy(workspace_rules)
        # Includes queues removed from the configuration, since their jobs still run.
        self.queues: dict[QueueName, Queue] = {}
        self.jobs: dict[JobId, Job] = {}
        # Whether all stored jobs have been loaded. Until then, a job that is not in
        # ``jobs`` may well exist.
        self.records_loaded = False
        # Jobs with records that could not be loaded.
        self.unreadable_jobs: dict[JobId, UnreadableJob] = {}
        # Jobs that have not ended.
        self.active: dict[JobId, Job] = {}
        self.workers: dict[WorkerId, Worker] = {}
        # Fencing token of the term, and the longest lease that workers grant.
        self.token = NO_TOKEN
        self.max_lease_seconds = DEFAULT_MAX_LEASE_SECONDS
        # Workers that have left, to whose ids calls may be under way.
        self.former_workers = FormerWorkers()
        # Jobs whose progress record has changes that are not yet stored.
        self.dirty: dict[JobId, Job] = {}
        # Orders that the controller has yet to send to workers.
        self.outbox: deque[Order] = deque()
        # Runs whose start waits until the job's record is stored.
        self.planned_runs: list[Run] = []
        # Monotonic seconds until which leases that earlier leaders granted may be valid
        # on workers that have not yet responded to this leader.
        self.inherited_leases_until = 0.0
        # The same for starts of earlier leaders that a next process carries out late.
        self.inherited_starts_until = 0.0
        # Tasks that may not run elsewhere, since a start of theirs had no answer.
        self.late_starts = LateStarts()
        # Which ends workers may forget, and the starts that may still follow them.
        self.acknowledgements = Acknowledgements()
        # Advice by step, and the policies of steps that need new advice.
        self.advice: dict[StepKey, Advice] = {}
        self.steps_without_advice: dict[StepKey, AdvisorPolicy] = {}
        self.start_refusals = StartRefusals()
        # Run time relative to the estimate, averaged over all workers.
        self.fleet_slowdown = SlowdownAverage(FLEET_AVERAGE_WEIGHT)
        self.arrival_meters: dict[ServiceName, ArrivalMeter] = {}
        # Arrivals of workspaces that are yet to be added to the meters. Which jobs are
        # within their rates is known only after all jobs are loaded.
        self.uncounted_arrivals: deque[Arrival] = deque(maxlen=MAX_UNCOUNTED_ARRIVALS)
        # Workers on which an active job has had runs, as an ordered set, so that ending
        # a job need not search all workers.
        self.workers_of_job: dict[JobId, dict[WorkerId, None]] = {}
        # Services in which a task may have become ready or capacity may have been freed
        # since the last planning pass.
        self.services_to_plan: set[ServiceName] = set()
        # Where the next check of runs begins, if there are too many for one tick.
        self.next_worker_to_check = 0
        # Starts that the present planning pass may still plan, and whether it has ended
        # since none were left.
        self.starts_left = 0
        self.plan_again = False
        # Workers with run ends that are not yet stored in the jobs' records.
        self.workers_with_unstored_ends: set[WorkerId] = set()
        # Seconds after which a worker's entry may hide that its capacity has shrunk.
        self.max_entry_age_seconds = inf
        # Cores of each service, including VMs that are moving to it; empty without a
        # fleet.
        self.pool_cores: Mapping[ServiceName, float] = {}
        # Computes the order in which waiting jobs are placed; replays substitute it.
        self.urgency: Callable[[Job, Queue | None, float, bool], Urgency] = urgency
        # Called with the cause and the number of runs when a worker is lost.
        self.on_worker_lost: Callable[[LossCause, int], None] = lambda *_: None
        # Called with the queue when a job is given up since it crashes its workers.
        self.on_job_given_up: Callable[[QueueName], None] = lambda _: None
        # Called with the queue when a task is delayed since it crashes its workers.
        self.on_task_delayed: Callable[[QueueName], None] = lambda _: None
        # Long-running tasks that wait since they crash their workers.
        self.crash_delays = CrashDelays()
        # The latest crashes of workers, with the evidence against each suspect.
        self.crashes: deque[Crash] = deque(maxlen=MAX_CRASHES)
        # Workers on which no task starts until a suspected task can start there alone.
        self.held_workers: dict[ServiceName, set[WorkerId]] = {}
        # The same for suspected tasks that come after those of other workspaces.
        self.held_for_later: dict[ServiceName, set[WorkerId]] = {}
        # Workers kept for waiting tasks that come before those of other workspaces.
        self.kept_workers: dict[ServiceName, KeptWorkers] = {}
        # VMs about to be moved or put into maintenance; their workers get no new tasks.
        self.cordoned_vms: set[VmId] = set()

    def new_process(
        self, worker_id: WorkerId, born_ms: int, now: float
    ) -> WorkerProcess:
        """Return the state of a process of which this leader knows only its entry."""
        process = WorkerProcess(
            born_ms, self.token, max_lease_seconds=self.max_lease_seconds
        )
        self.former_workers.restore_token(worker_id, process, now)
        if not process.has_own_token:
            self.outbox.append(RaiseToken(worker_id))
        return process

    def forget_worker(self, worker: Worker, now: float) -> None:
        """Remove a worker that has no entry and no runs."""
        del self.workers[worker.worker_id]
        self.former_workers.add(worker.worker_id, worker.process.token, now)

    def set_process_token(
        self, worker_id: WorkerId, token: LeaderToken, now: float
    ) -> None:
        """Use a higher token for calls to a worker, and call it at once."""
        worker = self.workers.get(worker_id)
        if worker is None:
            return
        worker.process.set_token(token, now)
        self.outbox.append(FetchReport(worker_id))

    def configure(self, configuration: Configuration) -> None:
        """Apply a newer configuration."""
        self.queues.update(configuration.queues)
        self.workspaces.configure(configuration.workspaces)

    def service_of(self, job: Job) -> ServiceName:
        """Return the service of the job's queue, or the stored one without a queue."""
        queue = self.queues.get(job.queue)
        return queue.service if queue else job.service

    def advisor_of(self, job: Job) -> AdvisorPolicy | None:
        """Return the advisor's policy of the job's queue, or the stored one."""
        queue = self.queues.get(job.queue)
        return queue.advisor if queue else job.accepted.advisor

    def mark_stored(self, job: Job, version: int) -> None:
        """Record that this version of the job's progress record is stored."""
        job.stored_version = max(job.stored_version, version)
        if job.stored_version >= job.version:
            self.dirty.pop(job.job_id, None)

    def is_removed(self, job_id: JobId) -> bool:
        """Return whether the store certainly holds no record of the job any more."""
        return (
            self.records_loaded
            and job_id not in self.jobs
            and job_id not in self.unreadable_jobs
        )

    def remove_job(self, job_id: JobId) -> None:
        """Remove a finished job whose records were deleted from the store."""
        self.jobs.pop(job_id, None)
        self.workers_of_job.pop(job_id, None)
        self.dirty.pop(job_id, None)

    def abandon_job(self, job_id: JobId, unreadable: UnreadableJob) -> None:
        """Forget a job that could not be loaded, but keep what workers run of it."""
        self.unreadable_jobs[job_id] = unreadable
        job = self.active.pop(job_id, None)
        if job is not None:
            self.workspaces.job_closed(job.accepted)
        self.workspaces.hold_for_unknown_runs(
            job_id, unreadable.workspace, unreadable.spec
        )
        self.remove_job(job_id)

    def may_stop_runs_of(self, job_id: JobId) -> bool:
        """Return whether an unknown job's runs are certainly not wanted any more."""
        unreadable = self.unreadable_jobs.get(job_id)
        return self.is_removed(job_id) or (
            unreadable is not None and unreadable.cancelled
        )

    def reread_ends(self, job_id: JobId) -> None:
        """Let workers' ends be handled again, since a job of theirs is loaded only now.

        Ends that were handled before change nothing a second time.
        """
        self.unreadable_jobs.pop(job_id, None)
        for worker in self.workers.values():
            process = worker.process
            if process.ends.concerns(job_id):
                process.ends.clear()
                process.last_seen_sequence = process.acknowledged_sequence

    def mark_dirty(self, job: Job) -> None:
        """Schedule storing of the job's record and planning of its service."""
        if job.accepted.workspace and job.job_id in self.active:
            holders = self.workers_of_job.get(job.job_id, ())
            workers = (self.workers[w] for w in holders if w in self.workers)
            tracked = self.workspaces.ledger.run_count_of_job(job.job_id)
            update_left_runs(job, tracked, workers)
        self.dirty[job.job_id] = job
        self.services_to_plan.add(self.service_of(job))

    def is_responsive(self, worker: Worker, now: float) -> bool:
        """Return whether the worker has responded to this leader recently."""
        responded_at = worker.last_response_at
        return (
            responded_at is not None and now - responded_at < RESPONSE_MAX_AGE_SECONDS
        )

    def jobs_within_limits(self) -> Iterator[tuple[Job, AllowedTasks | None]]:
        """Yield the jobs that are not long-running, with the tasks that limits allow.

        Jobs whose tasks all wait for the limit of their workspace are left out, since
        they take no capacity from others.
        """
        claims = self.workspaces.waiting_claims()
        for job in self.active.values():
            if job.long_running:
                continue
            room = claims.room(job.accepted.workspace)
            allowed = None if room is None else tasks_within_limit(job, room)
            if not allowed or any(allowed.values()):
                yield job, allowed

    def runs_are_known(self, now: float) -> bool:
        """Return whether no worker runs anything that this leader does not know of.

        The records name all runs of active jobs. Runs of ended jobs that an earlier
        leader was about to stop are only known from the workers' reports.
        """
        if now > self.inherited_leases_until:
            return True
        return all(
            worker.last_response_at is not None or worker.expired
            for worker in self.workers.values()
        )

    def is_eligible(self, worker: Worker, now: float) -> bool:
        """Return whether the worker may get new tasks."""
        return (
            not worker.deregistered
            and not worker.entry.draining
            and not worker.cordoned
            and not worker.expired
            and worker.process.is_fenced
            and worker.entry_is_of_process
            and now - worker.entry_seen_at <= self.max_entry_age_seconds
            and self.is_responsive(worker, now)
            and not worker.process.health.is_quarantined(now)
        )

    def reserve_for_run(self, run: Run, worker: Worker) -> None:
        """Reserve capacity for a run on the worker."""
        worker.add(run)
        workspace = self._workspace_of(run.task.job)
        self.workspaces.run_reserved(run, worker.entry.service, workspace)
        if run.task.job in self.active:
            workers = self.workers_of_job.setdefault(run.task.job, {})
            workers[worker.worker_id] = None

    def _workspace_of(self, job_id: JobId) -> WorkspaceName | None:
        """Return the workspace of a job, None if the job is not known."""
        job = self.jobs.get(job_id)
        if job is not None:
            return job.accepted.workspace
        unreadable = self.unreadable_jobs.get(job_id)
        if unreadable is None or unreadable.spec is None:
            return None
        return unreadable.workspace

    def release_run(self, run: Run, worker: Worker) -> None:
        """Release the capacity that a run has reserved on the worker."""
        worker.remove(run)
        self.workspaces.run_released(run)
        self.services_to_plan.add(worker.entry.service)

    def may_send_start(self, run: Run, now: float) -> bool:
        """Return whether a start that has waited for a connection is still wanted."""
        worker = self.workers.get(run.worker)
        return (
            worker is not None
            and run.key in worker.runs
            and run.stop_reason is None
            and self.is_eligible(worker, now)
            and self.workspaces.may_order(run)
        )

    def end_start(self, run: Run, worker: Worker) -> None:
        """Count a start as not under way any more, after its answer or without one."""
        if worker.starting.discard(run.key):
            self.services_to_plan.add(worker.entry.service)

    def discard_run(self, run: Run, worker: Worker) -> None:
        """Remove a run that does not exist any more or never started.

        Its task becomes ready to start again.
        """
        self.release_run(run, worker)
        job = self.jobs.get(run.task.job)
        if job is None or not lifecycle.is_current(job, run.task, run.number):
            return
        self.record_late_start(job, run.task)
        lifecycle.clear_run(job, run.task, run.checkpoint)
        self.mark_dirty(job)

    def note_begin(self, job: Job | None) -> None:
        """Record that a run of a job has begun, which is shown as running from now on.

        It makes no task ready, so nothing is planned for it.
        """
        if job is not None and lifecycle.record_begin(job):
            self.dirty[job.job_id] = job

    def record_late_start(self, job: Job, task: TaskId) -> None:
        """Record the worker to which a task is bound that is about to lose its run."""
        start = self.late_starts.get(task)
        if start is not None:
            record = UnansweredStart(start.worker, start.vm)
            lifecycle.record_unanswered_start(job, task, record)
            log_event(
                Event.TASK_BOUND, job=job.job_id, task=short_name(task),
                worker=start.worker,
            )  # fmt: skip

    def end_old_late_starts(self, now: float) -> None:
        """End the late starts that were sent too long ago to come any more."""
        has_ended = partial(self._late_start_ended, now)
        self.end_late_starts(self.late_starts.remove_ended(now, has_ended))

    def end_late_starts(self, tasks: Iterable[TaskId]) -> None:
        """Let tasks start on any worker, since their late starts cannot come."""
        for task in tasks:
            self.late_starts.remove(task)
            job = self.active.get(task.job)
            if job is not None:
                lifecycle.drop_unanswered_start(job, task)
                self.services_to_plan.add(self.service_of(job))

    def _late_start_ended(self, now: float, task: TaskId, start: LateStart) -> bool:
        """Return whether no run exists or begins any more by a start of the task."""
        worker = self.workers.get(start.worker)
        if worker is None:
            return now > late_effects_end(start.unanswered_at, self.max_lease_seconds)
        if worker.process.next_may_start(start.unanswered_at, now):
            return False
        job = self.active.get(task.job)
        run = lifecycle.current_run(job, task) if job is not None else None
        return run is not None or not worker.has_run_of(task)

    def order_start(self, run: Run, worker: Worker) -> None:
        """Order the start of a run whose record is stored."""
        run.phase = RunPhase.ORDERED
        run.token, run.born_ms = worker.process.token, worker.born_ms
        run.answer_pending = True
        key = (run.task.job, run.task.occurrence, run.task.step)
        advice = self.advice.get(key)
        ticket = advice.tickets.get(run.worker, "") if advice else ""
        self.outbox.append(StartRun(run, ticket))

    def stop_run(
        self, run: Run, reason: StopReason, now: float, is_logged: bool = True
    ) -> None:
        """Order a stop; call repeatedly, since an unconfirmed order is sent again."""
        if run.stop_reason is None:
            run.stop_reason = reason
            if is_logged:
                log_event(
                    Event.RUN_STOP_ORDERED, job=run.task.job,
                    task=short_name(run.task), run=run.number, worker=run.worker,
                    reason=reason.value,
                )  # fmt: skip
        if run.phase is RunPhase.PLANNED:
            self.release_run(run, self.workers[run.worker])
            return
        if (
            run.stop_confirmed_at is None
            and now - run.stop_sent_at >= STOP_REPEAT_SECONDS
        ):
            run.stop_sent_at = now
            born_ms = self.workers[run.worker].born_ms
            self.outbox.append(StopRun(run.worker, run.task, run.number, born_ms))


def is_serving(run: Run, now: float) -> bool:
    """Return whether a long-running task is serving and no stop is under way.

    An earlier leader may have ordered a stop just before the change of leadership. The
    worker lists the run until that stop takes effect.
    """
    if run.inherited and now - run.confirmed_at < STOP_SETTLE_SECONDS:
        return False
    return (
        run.phase is RunPhase.CONFIRMED
        and run.stop_reason is None
        and run.progress_percent >= 100
    )


def tasks_within_limit(job: Job, room: Room) -> AllowedTasks:
    """Return how many ready tasks of each step the workspace's limit allows."""
    steps = job.accepted.spec.steps
    return {
        key: room.take(steps[key[1]].demand, len(positions))
        for key, positions in job.pending.items()
    }


def allowed_part(job: Job, allowed: AllowedTasks | None) -> float:
    """Return the part of the ready tasks that limits allow."""
    if not allowed:
        return 1.0
    ready = sum(len(positions) for positions in job.pending.values())
    return sum(allowed.values()) / ready


def short_name(task: TaskId) -> str:
    """Return ``occurrence.step.position`` of the task, for log lines."""
    return f"{task.occurrence}.{task.step}.{task.position}"
