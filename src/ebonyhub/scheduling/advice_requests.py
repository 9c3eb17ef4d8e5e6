"""Calls the placement advisor for steps that cannot be placed without its advice."""

import asyncio
from collections.abc import Callable

from ..clock import Clock
from ..ids import ServiceName, StepKey
from ..jobs.model import AdvisorPolicy
from ..platform.cloud import AdvisorClient
from .scheduler import Scheduler
from .state import Advice

RETRY_DELAY_SECONDS = 0.2
# The platform's limits on the advisor: pending calls, and workers named in one call.
MAX_ADVISOR_CALLS = 32
MAX_WORKERS_PER_CALL = 100
# Share of a ticket's validity after which it is no longer used, which leaves time for
# the start order to reach the worker.
TICKET_VALIDITY_SHARE = 0.7


class AdviceRequests:
    """The pending calls of one term; ``track`` keeps their tasks until they end."""

    def __init__(
        self,
        advisor: AdvisorClient,
        scheduler: Scheduler,
        clock: Clock,
        track: Callable[[asyncio.Task[None]], None],
    ) -> None:
        self.advisor = advisor
        self.scheduler = scheduler
        self.clock = clock
        self.track = track
        # Steps with a pending call.
        self.in_progress: set[StepKey] = set()

    def request_missing(self) -> None:
        """Call the advisor for the steps that wait for it."""
        steps = self.scheduler.steps_without_advice
        if not steps:
            return
        self.scheduler.steps_without_advice = {}
        for key, policy in steps.items():
            job = self.scheduler.jobs.get(key[0])
            if job is None or key in self.in_progress:
                continue
            if len(self.in_progress) >= MAX_ADVISOR_CALLS:
                return
            self.in_progress.add(key)
            self.track(
                asyncio.create_task(
                    self._fetch(key, self.scheduler.service_of(job), policy)
                )
            )

    async def _fetch(
        self, key: StepKey, service: ServiceName, policy: AdvisorPolicy
    ) -> None:
        """Get advice on one step; the advisor takes time for each worker named."""
        now = self.clock.monotonic()
        workers = [
            worker
            for worker in self.scheduler.workers.values()
            if worker.entry.service == service
            and self.scheduler.is_eligible(worker, now)
        ][:MAX_WORKERS_PER_CALL]
        processes = {worker.worker_id: worker.process for worker in workers}
        seconds = policy.decision_seconds + policy.seconds_per_worker * len(workers)
        # The advisor answers the calls of one entry one after another.
        seconds *= len(self.in_progress)
        try:
            result = await self.advisor.advise(*key, list(processes), seconds)
            if result.is_ok():
                expires = (
                    self.clock.monotonic()
                    + policy.validity_seconds * TICKET_VALIDITY_SHARE
                )
                # A ticket holds for one process.
                tickets = {
                    worker.worker_id: result.ok[worker.worker_id]
                    for worker in workers
                    if worker.worker_id in result.ok
                    and worker.process is processes[worker.worker_id]
                }
                self.scheduler.advice[key] = Advice(tickets, expires)
                self.scheduler.services_to_plan.add(service)
            else:
                await asyncio.sleep(RETRY_DELAY_SECONDS)
        finally:
            self.in_progress.discard(key)
