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
from .runs import CLOCK_MARGIN_MS, Run, Worker

# Seconds for which a poll renews the lease of all runs on the worker. Longer than a
# change of leadership takes, and below the platform's limit of 10 s.
WORKER_LEASE_SECONDS = 6.0
# Seconds that a poll waits for the end of a run before it returns.
LONG_POLL_SECONDS = 1.0
# Seconds between polls while reported ends cannot be stored.
STORE_WAIT_SECONDS = 0.25
# Seconds without a response after which a worker's lease is no longer renewed.
MAX_SILENCE_SECONDS = LONG_POLL_SECONDS + 0.6
# Seconds between polls of a worker that does not respond.
RETRY_DELAY_SECONDS = 0.25
# Seconds until the next poll of a worker that refuses the token of the present leader.
FENCED_DELAY_SECONDS = 3.0
# Seconds until the next poll after an internal error in handling a report.
ERROR_DELAY_SECONDS = 0.5
# Seconds within which a start order must reach its worker. Less than the 2 s for which
# an order without an answer may still be executed.
START_VALID_SECONDS = 1.8


class WorkerLink:
    """Polls one worker and sends orders to it.

    ``on_report`` receives the worker, its report and when the report was requested.
    ``on_fenced`` is called when the worker has seen a newer leader.
    """

    def __init__(
        self,
        worker: Worker,
        client: WorkerClient,
        token: LeaderToken,
        clock: Clock,
        rng: random.Random,
        metrics: Metrics,
        on_report: Callable[[Worker, WorkerReport, float], None],
        on_fenced: Callable[[Worker], None],
    ) -> None:
        self.worker = worker
        self.client = client
        self.token = token
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
        first = self.worker.last_response_at is None
        return 0.0 if first or self.worker.unstored_ends else LONG_POLL_SECONDS

    async def poll_once(self, wait_seconds: float) -> None:
        """Poll the worker once and pass on its report; waits after a failure."""
        sent_at = self.clock.monotonic()
        lease_end_ms = self._next_lease(sent_at)
        self.metrics.worker_orders.labels("hold").inc()
        result = await self.client.poll(
            self.token, self.worker.acknowledged_sequence, lease_end_ms, wait_seconds
        )
        if result.is_ok() and lease_end_ms is not None:
            self._check_granted_lease(result.ok, lease_end_ms, sent_at)
        if result.is_ok() and result.ok.complete:
            if not self.reachable:
                self.reachable = True
                log_event(Event.WORKER_REACHABLE, worker=self.worker.worker_id)
            self.on_report(self.worker, result.ok, sent_at)
            await self._wait_for_store()
            return
        if result.is_ok():
            self.on_report(self.worker, result.ok, sent_at)
        failure = OrderFailure.UNKNOWN if result.is_ok() else result.error
        self._count_failure("hold", failure)
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
        lease_end_ms = self._next_lease(sent_at)
        result = await self.client.fetch_report(self.token, lease_end_ms)
        if result.is_ok():
            if lease_end_ms is not None:
                self._check_granted_lease(result.ok, lease_end_ms, sent_at)
            self.on_report(self.worker, result.ok, sent_at)
        else:
            self._count_failure("look", result.error)

    def _count_failure(self, order: str, failure: OrderFailure) -> None:
        self.metrics.order_failures.labels(order, failure.value).inc()
        if failure is OrderFailure.FENCED:
            self.on_fenced(self.worker)

    def _next_lease(self, now: float) -> int | None:
        """Return the new lease end on the worker's clock, None to not renew it."""
        if not self._is_responsive(now) or not self.may_renew_lease():
            return None
        lease_end_ms = self.worker.clock_now_ms(now) + int(WORKER_LEASE_SECONDS * 1000)
        self.worker.lease_end_ms = max(self.worker.lease_end_ms, lease_end_ms)
        return lease_end_ms

    def _is_responsive(self, now: float) -> bool:
        """Return whether the worker has responded recently enough to renew its lease.

        A poll without a response may still take effect. The lease of an unresponsive
        worker must run out, or its runs could never be discarded.
        """
        responded_at = self.worker.last_response_at
        return responded_at is not None and now - responded_at < MAX_SILENCE_SECONDS

    async def _wait_for_store(self) -> None:
        """Wait for reported ends to be stored, so that the next poll acknowledges."""
        if not self.worker.unstored_ends:
            return
        self.ends_stored.clear()
        try:
            async with asyncio.timeout(STORE_WAIT_SECONDS):
                await self.ends_stored.wait()
        except TimeoutError:
            return

    async def start(self, run: Run, text: str, ticket: str) -> OrderFailure | None:
        """Order a start; return None if the run exists on the worker."""
        now = self.clock.monotonic()
        deadline_ms = self.worker.clock_now_ms(now) + int(START_VALID_SECONDS * 1000)
        # The start order also extends the worker's lease to its deadline.
        self.worker.lease_end_ms = max(self.worker.lease_end_ms, deadline_ms)
        order = StartOrder(
            run.task, run.number, text, deadline_ms, self.token, run.checkpoint, ticket
        )
        self.metrics.worker_orders.labels("start").inc()
        failure = await self.client.start(order)
        self._count_result("start", failure)
        self.metrics.start_seconds.observe(self.clock.monotonic() - run.planned_at)
        return failure

    async def stop(self, order: StopRun) -> OrderFailure | None:
        """Order a stop; return None on success."""
        self.metrics.worker_orders.labels("stop").inc()
        failure = await self.client.stop(order.task, order.number, self.token)
        self._count_result("stop", failure)
        return failure

    async def throttle(self, order: ThrottleRun) -> OrderFailure | None:
        """Order a speed limit for a run; return None on success."""
        self.metrics.worker_orders.labels("pace").inc()
        failure = await self.client.throttle(
            order.task, order.number, order.percent, self.token
        )
        self._count_result("pace", failure)
        return failure

    def _count_result(self, order: str, failure: OrderFailure | None) -> None:
        if failure is not None:
            self._count_failure(order, failure)
