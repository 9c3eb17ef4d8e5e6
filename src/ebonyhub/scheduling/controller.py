"""Runs the scheduler while this entry leads.

The controller connects the scheduler, which does no I/O, to the workers, the store, the
placement advisor and the fleet.
"""

import asyncio
import random
from collections.abc import Callable

from ..clock import Clock
from ..cluster.leadership import LEADER_KEY, Term
from ..cluster.metadata_store import Item, MetadataStore
from ..cluster.mirror import JobMirror
from ..cluster.revision_clock import RevisionClock
from ..configuration import Configuration
from ..events import Event, log_event
from ..fleet.controller import FleetController
from ..fleet.model import Wave
from ..ids import JobId, PoolName, QueueName, ServiceName, WorkerId
from ..metrics import Metrics
from ..node_settings import DEFAULT_MAX_LEASE_SECONDS
from ..platform.cloud import AdvisorClient, CloudClient
from .acknowledgements import HoldResult
from .advice_requests import AdviceRequests
from .committer import Committer
from .job_loading import JobLoader
from .long_waits import LongWaits
from .losses import LossCause
from .model import OrderFailure, WorkerReport
from .order_queue import OrderQueue, WorkerOrder
from .orders import FetchReport, Order, RaiseToken, StartRun, StopRun, ThrottleRun
from .overload import Forecast
from .process_tokens import ProcessTokens
from .retention import Retention
from .runs import Worker
from .scheduler import Scheduler
from .shedding.leader import LeaderShedding
from .shedding.service_load import ServiceLoad
from .waiting import NOT_WAITING, WaitCause
from .worker_directory import LEASE_EXTENSION_SECONDS, WorkerDirectory
from .worker_process import (
    SLOW_CLOCK_FACTOR,
    WORKER_LEASE_SECONDS,
    late_effects_end,
)
from .workspaces.policy import WorkspaceRules

# Seconds between calls of the scheduler's time-dependent checks.
TICK_INTERVAL_SECONDS = 0.1
# Seconds between two checks of what ready tasks wait for.
WAIT_CHECK_INTERVAL_SECONDS = 0.2


class Controller:
    """Runs scheduler, committer, retention and fleet for one term of leadership.

    ``on_stored`` is called after each commit of progress records.
    """

    def __init__(
        self,
        term: Term,
        store: MetadataStore,
        mirror: JobMirror,
        advisor: AdvisorClient | None,
        clock: Clock,
        rng: random.Random,
        metrics: Metrics,
        cloud: CloudClient | None,
        retention_seconds: float,
        capacity_valid_seconds: float,
        on_stored: Callable[[], None],
        revision_clock: RevisionClock | None = None,
        workspace_rules: WorkspaceRules | None = None,
        max_lease_seconds: float = DEFAULT_MAX_LEASE_SECONDS,
    ) -> None:
        self.term = term
        self.store = store
        self.mirror = mirror
        self.advisor = advisor
        self.clock = clock
        self.rng = rng
        self.metrics = metrics
        self.notify_stored = on_stored
        self.scheduler = self._new_scheduler(
            capacity_valid_seconds, workspace_rules, max_lease_seconds
        )
        self.committer = Committer(
            store, self.scheduler, term, clock, metrics, self._on_stored
        )
        self.loader = JobLoader(mirror, self.scheduler, self.committer)
        self.retention = Retention(
            store, mirror, self.scheduler, term, clock, retention_seconds
        )
        self.fleet = self._new_fleet(cloud) if cloud is not None else None
        # Set where jobs are shed by cost.
        self.shedding: LeaderShedding | None = None
        self.wake = asyncio.Event()
        self.workers = WorkerDirectory(
            term, store, self.scheduler, clock, rng, metrics, mirror.rejections,
            revision_clock or RevisionClock(), self._on_report, self._on_fenced,
            self.wake.set,
        )  # fmt: skip
        self.tokens = ProcessTokens(store, term, self.scheduler, clock, self._end_term)
        self.order_queue = OrderQueue(self._send_order)
        self.order_tasks: set[asyncio.Task[None]] = set()
        self.checking_leadership = False
        self.next_tick = 0.0
        self.next_wait_check = 0.0
        # What the ready tasks of each service waited for when last logged.
        self.wait_causes: dict[ServiceName, WaitCause] = {}
        self.long_waits = LongWaits()
        self.advice = (
            AdviceRequests(advisor, self.scheduler, clock, self._track_order)
            if advisor is not None
            else None
        )

    def _new_fleet(self, cloud: CloudClient) -> FleetController:
        scheduler, clock = self.scheduler, self.clock
        return FleetController(
            self.term,
            self.store,
            cloud,
            clock,
            lambda: scheduler.fleet_load(clock.monotonic()),
            lambda: scheduler.demands(clock.monotonic()),
            scheduler.set_cordoned,
            lambda vms, requested_at: scheduler.expire_workers_without_vm(
                vms, clock.monotonic(), self._wall_ms(), requested_at
            ),
            lambda: bool(scheduler.unresponsive_workers(clock.monotonic())),
            self.mirror.rejections,
        )

    def _new_scheduler(
        self,
        capacity_valid_seconds: float,
        rules: WorkspaceRules | None,
        max_lease_seconds: float,
    ) -> Scheduler:
        scheduler = Scheduler(rules)
        scheduler.max_lease_seconds = max_lease_seconds
        scheduler.token = self.term.token
        scheduler.on_worker_lost = self._count_lost_worker
        scheduler.on_job_given_up = self._count_job_given_up
        scheduler.on_task_delayed = self._count_task_delayed
        scheduler.acknowledgements.budget.on_result = self._count_held_ends
        scheduler.max_entry_age_seconds = capacity_valid_seconds
        # An earlier leader may still renew workers' leases for LEASE_EXTENSION_SECONDS;
        # the last of them then runs its full time on a slow clock. 0.5 s is margin.
        lease = WORKER_LEASE_SECONDS * SLOW_CLOCK_FACTOR
        longest = max_lease_seconds * SLOW_CLOCK_FACTOR
        now = self.clock.monotonic()
        scheduler.inherited_leases_until = (
            now + max(LEASE_EXTENSION_SECONDS + lease, longest) + 0.5
        )
        scheduler.inherited_starts_until = late_effects_end(now, max_lease_seconds)
        return scheduler

    # Inputs

    def configure(self, configuration: Configuration) -> None:
        """Apply a newer configuration to the scheduler and the fleet."""
        self.scheduler.configure(configuration)
        if self.fleet is not None:
            self.fleet.configure(configuration)
        self.wake.set()

    def add_wave(self, wave: Wave) -> None:
        """Hand a maintenance wave to the fleet controller, if there is a fleet."""
        if self.fleet is not None:
            self.fleet.add_wave(wave)

    def handle_job_change(self, job_id: JobId) -> None:
        """Load a job that is new in the mirror, or cancel a known one."""
        now, wall_ms = self.clock.monotonic(), self._wall_ms()
        if self.loader.handle_change(job_id, now, wall_ms):
            self.wake.set()

    def _wall_ms(self) -> int:
        return int(self.clock.wall() * 1000)

    def forecasts(self) -> dict[ServiceName, Forecast]:
        """Return the capacity and backlog of each service; empty without a fleet."""
        if self.fleet is None or not self.fleet.planner.vms:
            return {}
        return self.scheduler.forecasts(self._pool_cores(), self.clock.monotonic())

    def shed_by_cost(self) -> None:
        """Order waiting jobs and measure loads for shedding by cost."""
        self.shedding = LeaderShedding(self.scheduler)

    def service_loads(self) -> dict[ServiceName, ServiceLoad]:
        """Return the load of each service; empty unless jobs are shed by cost."""
        if self.shedding is None:
            return {}
        return self.shedding.loads(self.clock.monotonic())

    def _pool_cores(self) -> dict[ServiceName, float]:
        """Return each service's cores, including VMs that are moving to it."""
        if self.fleet is None:
            return {}
        cores = self.fleet.planner.pool_cores()
        return {ServiceName(pool): count for pool, count in cores.items()}

    # Run loop

    async def run(self) -> None:
        """Schedule until the term ends; nothing of the term goes on afterwards."""
        try:
            await self.workers.load()
            await self._load_jobs()
            parts = [self.committer.run, self.workers.watch, self.retention.run]
            if self.fleet is not None:
                parts.append(self.fleet.run)
            async with asyncio.TaskGroup() as group:
                tasks = [group.create_task(part()) for part in parts]
                await self._drive_scheduler()
                for task in tasks:
                    task.cancel()
        finally:
            await self._close()

    async def _load_jobs(self) -> None:
        """Load all jobs, and only then poll the workers.

        A worker forgets an end that was acknowledged, so no report may be handled while
        its jobs are unknown. The lease is renewed between two jobs.
        """
        for job_id in list(self.mirror.jobs):
            self.loader.decode(job_id)
            await asyncio.sleep(0)
            self.handle_job_change(job_id)
            await asyncio.sleep(0)
        self.scheduler.records_loaded = self.mirror.listing_complete
        log_event(
            Event.CONTROLLER_STARTED, token=self.term.token,
            workers=len(self.scheduler.workers), jobs=len(self.scheduler.active),
        )  # fmt: skip
        self.workers.open_links()

    async def _close(self) -> None:
        """Cancel the links and orders, and wait until they have ended."""
        orders = list(self.order_tasks)
        log_event(
            Event.CONTROLLER_CLOSED, token=self.term.token, orders=len(orders),
            links=len(self.workers.links), jobs=len(self.scheduler.jobs),
        )  # fmt: skip
        self.term.ended = True
        self.order_queue.close()
        for task in orders:
            task.cancel()
        if self.advisor is not None:
            self.advisor.close()
        if self.fleet is not None:
            self.fleet.cloud.close()
        await self.workers.close()
        await asyncio.gather(*orders, return_exceptions=True)

    async def _drive_scheduler(self) -> None:
        """Plan tasks and send orders until the term ends."""
        while not self.term.ended:
            now = self.clock.monotonic()
            if now >= self.next_tick:
                self.next_tick = now + TICK_INTERVAL_SECONDS
                self.scheduler.tick(now, self._wall_ms())
                self.scheduler.pool_cores = self._pool_cores()
                if self.shedding is not None and self.fleet is not None:
                    self.shedding.update_fleet(self.fleet.planner, now)
                self._log_wait_causes(now)
                self.workers.close_removed_links()
            plans = self.term.is_valid(now) and self.committer.healthy
            if plans:
                self.scheduler.plan_changed(now)
                if self.advice is not None:
                    self.advice.request_missing()
            if self.scheduler.dirty:
                self.committer.work_available.set()
            self._dispatch_orders()
            if plans and self.scheduler.plan_again:
                # Lets everything else run between two passes.
                await asyncio.sleep(0)
                continue
            self.wake.clear()
            try:
                async with asyncio.timeout(max(0.0, self.next_tick - now)):
                    await self.wake.wait()
            except TimeoutError:
                continue

    def _log_wait_causes(self, now: float) -> None:
        """Log each service whose ready tasks wait for another cause than before."""
        if now < self.next_wait_check:
            return
        self.next_wait_check = now + WAIT_CHECK_INTERVAL_SECONDS
        self.long_waits.check(self.scheduler, now)
        can_start = self.term.is_valid(now) and self.committer.healthy
        on_way = self.fleet.planner.vms_on_way() if self.fleet is not None else {}
        vms_on_way = {ServiceName(pool): count for pool, count in on_way.items()}
        found = self.scheduler.waiting(now, can_start, vms_on_way)
        for service in {*found, *self.wait_causes}:
            waiting = found.get(service, NOT_WAITING)
            if self.wait_causes.get(service, WaitCause.NONE) is waiting.cause:
                continue
            self.wait_causes[service] = waiting.cause
            log_event(
                Event.WAIT_CAUSE_CHANGED, service=service, cause=waiting.cause.value,
                tasks=waiting.tasks, cores=round(waiting.cores, 1),
                on_way=vms_on_way.get(service, 0),
            )  # fmt: skip

    # Orders

    def _dispatch_orders(self) -> None:
        """Send the queued orders; ``_start`` checks that the term is still valid."""
        while self.scheduler.outbox:
            order = self.scheduler.outbox.popleft()
            match order:
                case StartRun():
                    self.order_queue.add(order.run.worker, order)
                case StopRun() | ThrottleRun():
                    self.order_queue.add(order.worker, order)
                case _:
                    self._track_order(asyncio.create_task(self._execute(order)))
        self.order_queue.send_waiting()

    def _send_order(self, worker_id: WorkerId, order: WorkerOrder) -> None:
        task = asyncio.create_task(self._execute(order))
        self._track_order(task)
        task.add_done_callback(lambda _: self.order_queue.order_done(worker_id))

    def _track_order(self, task: asyncio.Task[None]) -> None:
        """Keep a task until it ends; the end of the term cancels it."""
        self.order_tasks.add(task)
        task.add_done_callback(self._order_done)

    def _order_done(self, task: asyncio.Task[None]) -> None:
        self.order_tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log_event(
                Event.BACKGROUND_TASK_FAILED, task="order", error=repr(task.exception())
            )
        self.wake.set()

    async def _execute(self, order: Order) -> None:
        match order:
            case StartRun():
                await self._start(order)
            case StopRun():
                link = self.workers.links.get(order.worker)
                if link is not None:
                    failure = await link.stop(order)
                    now = self.clock.monotonic()
                    self.scheduler.handle_stop_result(order, failure, now)
            case ThrottleRun():
                link = self.workers.links.get(order.worker)
                if link is not None:
                    failure = await link.throttle(order)
                    now = self.clock.monotonic()
                    self.scheduler.handle_throttle_result(order, failure, now)
            case FetchReport():
                link = self.workers.links.get(order.worker)
                if link is not None:
                    await link.fetch_report()
            case RaiseToken():
                await self.tokens.raise_token(order.worker)

    async def _start(self, order: StartRun) -> None:
        run = order.run
        now = self.clock.monotonic()
        link = self.workers.links.get(run.worker)
        job = self.scheduler.jobs.get(run.task.job)
        if link is None or job is None or not self.term.is_valid(now):
            failure = OrderFailure.NOT_SENT
            self.scheduler.handle_start_result(run, failure, now)
            return
        if not self.scheduler.may_send_start(run, now):
            failure = OrderFailure.WITHDRAWN
            self.scheduler.handle_start_result(run, failure, now)
            return
        try:
            outcome = await link.start(run, job.accepted.spec.text, order.ticket)
        except Exception as error:
            # Without a result, the run would count as ordered for good.
            log_event(Event.BACKGROUND_TASK_FAILED, task="start", error=repr(error))
            outcome = OrderFailure.UNKNOWN
        self.scheduler.handle_start_result(run, outcome, self.clock.monotonic())

    # Results

    def _on_report(self, worker: Worker, report: WorkerReport, sent_at: float) -> None:
        if self.scheduler.workers.get(worker.worker_id) is not worker:
            return
        now, wall_ms = self.clock.monotonic(), self._wall_ms()
        is_first = worker.last_response_at is None
        self.scheduler.handle_report(worker, report, sent_at, now, wall_ms)
        if is_first and self.fleet is not None and worker.entry.vm:
            self.fleet.handle_worker_registered(
                worker.entry.vm, PoolName(worker.entry.service), worker.worker_id
            )
        self.wake.set()

    def _count_lost_worker(self, cause: LossCause, runs: int) -> None:
        self.metrics.workers_lost.labels(cause.value).inc()
        self.metrics.runs_lost.labels(cause.value).inc(runs)

    def _count_job_given_up(self, queue: QueueName) -> None:
        self.metrics.jobs_given_up.labels(queue).inc()

    def _count_task_delayed(self, queue: QueueName) -> None:
        self.metrics.tasks_delayed.labels(queue).inc()

    def _count_held_ends(self, result: HoldResult, ends: int) -> None:
        self.metrics.ends_held.labels(result.value).inc(ends)
        if result is not HoldResult.DELAYED:
            log_event(Event.RUN_ENDS_RELEASED, reason=result.value, ends=ends)

    def _on_fenced(self, worker: Worker) -> None:
        if self.term.ended or self.checking_leadership:
            return
        self.checking_leadership = True
        self._track_order(asyncio.create_task(self._check_leadership(worker)))

    async def _check_leadership(self, worker: Worker) -> None:
        """End the term if another entry leads, as a worker that refuses the token says.

        A worker that refuses the token of the present leader is alone in this; ending
        the term for it would end that of each successor, too. It has seen a token of
        this term that was forgotten with its entry, and gets a higher one.
        """
        try:
            found = await self.store.get(LEADER_KEY)
        finally:
            self.checking_leadership = False
        item = found.ok if found.is_ok() else None
        if item is not None and int(item.revision) == int(self.term.token):
            await self.tokens.raise_token(worker.worker_id)
            return
        self._end_term("fenced", worker=worker.worker_id)

    def _end_term(self, cause: str, **details: object) -> None:
        if not self.term.ended:
            log_event(
                Event.LEADERSHIP_LOST, cause=cause, token=self.term.token, **details
            )
        self.term.ended = True
        self.wake.set()

    def _on_stored(self, items: list[Item]) -> None:
        for item in items:
            self.mirror.apply(item)
        self.notify_stored()
        self.scheduler.release_starts(self.clock.monotonic())
        for worker_id in list(self.scheduler.workers_with_unstored_ends):
            worker = self.scheduler.workers.get(worker_id)
            if worker is None:
                self.scheduler.workers_with_unstored_ends.discard(worker_id)
                continue
            self.scheduler.acknowledge_stored_ends(worker, self.clock.monotonic())
            link = self.workers.links.get(worker_id)
            if link is not None and not worker.process.ends.unstored:
                link.ends_stored.set()
        self._dispatch_orders()
        self.wake.set()
