"""The leader's connection to one worker: a polling loop, and single orders.

A poll is the platform's /hold call. It renews the lease under which the worker runs its
tasks, acknowledges ends and returns the worker's report.
"""

import asyncio
import random
from collections.abc import Callable

from ..clock import Clock
from ..events import Event, log_event
from ..ids import LeaderToken
from ..metrics import Metrics
from ..platform.workers import WorkerClient
from .model import OrderFailure, StartOrder, WorkerReport
from .orders import StopRun, ThrottleRun
from .runs import Run, Worker
from .worker_process import CLOCK_MARGIN_MS, WORKER_LEASE_SECONDS

# Seconds that a poll waits for the end of a run before it returns.
LONG_POLL_SECONDS = 1.0
# Seconds between polls while reported ends cannot be stored.
STORE_WAIT_SECONDS = 0.25
# Seconds between polls of a worker whose ends are not acknowledged yet.
HELD_POLL_SECONDS = 0.1
# Seconds without a response after which a worker's lease is no longer renewed.
MAX_SILENCE_SECONDS = LONG_POLL_SECONDS + 0.6
# Seconds until the next poll for each run in a report with more than MAX_UNPACED_ROWS,
# so that long reports take a small part of the leader's time.
POLL_SECONDS_PER_ROW = 0.00005
MAX_UNPACED_ROWS = 200
# Seconds between polls of a worker that does not respond.
RETRY_DELAY_SECONDS = 0.25
# Seconds until the next poll of a worker that refuses the token of the present leader.
FENCED_DELAY_SECONDS = 3.0
# Seconds until the next poll after an internal error in handling a report.
ERROR_DELAY_SECONDS = 0.5


class WorkerLink:
    """Polls one worker and sends orders to it.

    ``on_report`` receives the worker, its report and when the report was requested.
    ``on_fenced`` is called when the worker has seen a newer leader.
    """

    def __init__(
        self,
        worker: Worker,
        client: WorkerClient,
        clock: Clock,
        rng: random.Random,
        metrics: Metrics,
        on_report: Callable[[Worker, WorkerReport, float], None],
        on_fenced: Callable[[Worker], None],
    ) -> None:
        self.worker = worker
        self.client = client
        self.clock = clock
        self.rng = rng
        self.metrics = metrics
        self.on_report = on_report
        self.on_fenced = on_fenced
        self.ends_stored = asyncio.Event()
        self.may_renew_lease: Callable[[], bool] = lambda: True
        self.reachable = True

    async def run(self) -> None:
        """Poll the worker until cancelled; an internal error does not end the polls."""
        try:
            while True:
                try:
                    await self.poll_once(self._wait_seconds())
                except Exception as error:
                    log_event(
                        Event.BACKGROUND_TASK_FAILED, task="link", error=repr(error),
                        worker=self.worker.worker_id,
                    )  # fmt: skip
                    await asyncio.sleep(ERROR_DELAY_SECONDS)
        finally:
            self.client.close()

    def _wait_seconds(self) -> float:
        """Return for how long the next poll may wait.

        The first on a connection does not wait, since it may reach another process.
        """
        process = self.worker.process
        if process.ends.unstored or not self.client.reaches_process(process.born_ms):
            return 0.0
        return LONG_POLL_SECONDS

    async def poll_once(self, wait_seconds: float) -> None:
        """Poll the worker once and pass on its report; waits after a failure."""
        sent_at = self.clock.monotonic()
        process = self.worker.process
        token = process.token
        lease_end_ms = self._next_lease(sent_at)
        self.metrics.worker_orders.labels("hold").inc()
        is_connected = self.client.reaches_process(process.born_ms)
        acknowledged = process.acknowledgement() if is_connected else 0
        result = await self.client.poll(token, acknowledged, lease_end_ms, wait_seconds)
        if result.is_ok():
            process.answered_sequence = max(process.answered_sequence, acknowledged)
            if lease_end_ms is not None:
                self._check_granted_lease(result.ok, lease_end_ms, sent_at)
        if result.is_ok() and result.ok.complete:
            if not self.reachable:
                self.reachable = True
                log_event(Event.WORKER_REACHABLE, worker=self.worker.worker_id)
            self.on_report(self.worker, result.ok, sent_at)
            await self._wait_for_store()
            rows = len(result.ok.running)
            if rows > MAX_UNPACED_ROWS:
                await asyncio.sleep(rows * POLL_SECONDS_PER_ROW)
            if process.ends.held:
                # The worker answers at once while it lists an end.
                passed = self.clock.monotonic() - sent_at
                await asyncio.sleep(max(0.0, HELD_POLL_SECONDS - passed))
            if not self.client.reaches_known_process():
                # The connection is closed, so the next poll does not wait, either.
                await asyncio.sleep(RETRY_DELAY_SECONDS)
            return
        if result.is_ok():
            self.on_report(self.worker, result.ok, sent_at)
        failure = OrderFailure.UNKNOWN if result.is_ok() else result.error
        self._count_failure("hold", failure, token)
        if self._was_overtaken(failure, token):
            return
        if self.worker.silent_since is None:
            self.worker.silent_since = self.clock.monotonic()
        if self.reachable and failure is not OrderFailure.FENCED:
            self.reachable = False
            log_event(
                Event.WORKER_UNREACHABLE,
                worker=self.worker.worker_id,
                reason=failure.value,
            )
        is_fenced = failure is OrderFailure.FENCED
        delay = FENCED_DELAY_SECONDS if is_fenced else RETRY_DELAY_SECONDS
        await asyncio.sleep(delay * self.rng.uniform(0.8, 1.2))

    def _check_granted_lease(
        self, report: WorkerReport, lease_end_ms: int, sent_at: float
    ) -> None:
        """Log a lease that is longer on the worker's clock than it was meant to be."""
        granted_ms = lease_end_ms - report.clock_ms
        if granted_ms > WORKER_LEASE_SECONDS * 1000 + CLOCK_MARGIN_MS:
            log_event(
                Event.WORKER_LEASE_TOO_LONG, worker=self.worker.worker_id,
                born=report.born_ms, clock=report.clock_ms, lease=granted_ms,
                age=round(self.clock.monotonic() - sent_at, 3),
            )  # fmt: skip

    async def fetch_report(self) -> None:
        """Request a report at once, beside the pending long poll."""
        sent_at = self.clock.monotonic()
        self.metrics.worker_orders.labels("look").inc()
        token = self.worker.process.token
        result = await self.client.fetch_report(token)
        if result.is_ok():
            self.on_report(self.worker, result.ok, sent_at)
        else:
            self._count_failure("look", result.error, token)

    def _count_failure(
        self, order: str, failure: OrderFailure, token: LeaderToken
    ) -> None:
        self.metrics.order_failures.labels(order, failure.value).inc()
        if failure is OrderFailure.FENCED and not self._was_overtaken(failure, token):
            self.on_fenced(self.worker)

    def _was_overtaken(self, failure: OrderFailure, token: LeaderToken) -> bool:
        """Return whether a call was refused since this leader has raised the token."""
        return failure is OrderFailure.FENCED and token < self.worker.process.token

    def _next_lease(self, now: float) -> int | None:
        """Return the new lease end on the worker's clock, None to not renew it.

        A connection that has not reported yet may lead to another process, whose clock
        is another, too.
        """
        process = self.worker.process
        may_renew = (
            self._is_responsive(now)
            and process.clock_known
            and self.client.reaches_process(process.born_ms)
            and self.may_renew_lease()
        )
        return process.grant_lease(now) if may_renew else None

    def _is_responsive(self, now: float) -> bool:
        """Return whether the worker has responded recently enough to renew its lease.

        A poll without a response may still take effect. The lease of an unresponsive
        worker must run out, or its runs could never be discarded.
        """
        responded_at = self.worker.last_response_at
        return responded_at is not None and now - responded_at < MAX_SILENCE_SECONDS

    async def _wait_for_store(self) -> None:
        """Wait for reported ends to be stored, so that the next poll acknowledges."""
        if not self.worker.process.ends.unstored:
            return
        self.ends_stored.clear()
        try:
            async with asyncio.timeout(STORE_WAIT_SECONDS):
                await self.ends_stored.wait()
        except TimeoutError:
            return

    async def start(self, run: Run, text: str, ticket: str) -> OrderFailure | None:
        """Order a start; return None if the run exists on the worker.

        If a process answers that is not known yet, the outcome counts as unknown: its
        clock is another, and its report must show the run.
        """
        process, sent_at = self.worker.process, self.clock.monotonic()
        if run.token != process.token or not process.clock_known:
            # The worker has restarted since the start was decided.
            return OrderFailure.NOT_SENT
        deadline_ms = process.grant_start(sent_at)
        order = StartOrder(
            run.task, run.number, text, deadline_ms, run.token, run.checkpoint, ticket
        )
        self.metrics.worker_orders.labels("start").inc()
        answer = await self.client.start(order)
        now = self.clock.monotonic()
        failure = answer.error if answer.is_error() else None
        if answer.is_ok() and not process.has_clock(answer.ok, sent_at, now):
            failure = OrderFailure.UNKNOWN
        self._count_result("start", failure, run.token)
        self.metrics.start_seconds.observe(now - run.planned_at)
        return failure

    async def stop(self, order: StopRun) -> OrderFailure | None:
        """Order a stop; return None on success."""
        self.metrics.worker_orders.labels("stop").inc()
        token = self.worker.process.token
        failure = await self.client.stop(order.task, order.number, token)
        self._count_result("stop", failure, token)
        return failure

    async def throttle(self, order: ThrottleRun) -> OrderFailure | None:
        """Order a speed limit for a run; return None on success."""
        self.metrics.worker_orders.labels("pace").inc()
        token = self.worker.process.token
        failure = await self.client.throttle(
            order.task, order.number, order.percent, token
        )
        self._count_result("pace", failure, token)
        return failure

    def _count_result(
        self, order: str, failure: OrderFailure | None, token: LeaderToken
    ) -> None:
        if failure is not None:
            self._count_failure(order, failure, token)
