"""Gets higher fencing tokens for the present processes of workers."""

import asyncio
from collections.abc import Callable

from expression import Error, Result

from ..clock import Clock
from ..cluster.fencing import TermTokens
from ..cluster.leadership import Term
from ..cluster.metadata_store import MetadataStore, StoreFailure
from ..events import Event, log_event
from ..ids import LeaderToken, WorkerId
from .scheduler import Scheduler

# Seconds until the next attempt to get a token.
RETRY_DELAY_SECONDS = 0.5


class ProcessTokens:
    """Raises tokens during one term; ``end_term`` is called if another entry leads."""

    def __init__(
        self,
        store: MetadataStore,
        term: Term,
        scheduler: Scheduler,
        clock: Clock,
        end_term: Callable[[str], None],
    ) -> None:
        self.fencing = TermTokens(store, term)
        self.term = term
        self.scheduler = scheduler
        self.clock = clock
        self.end_term = end_term
        # Workers for which a token is being issued.
        self.in_progress: set[WorkerId] = set()

    async def raise_token(self, worker_id: WorkerId) -> None:
        """Get a higher token for calls to a worker; retries while the term lasts."""
        if worker_id in self.in_progress:
            return
        self.in_progress.add(worker_id)
        try:
            while not self.term.ended:
                worker = self.scheduler.workers.get(worker_id)
                if worker is None:
                    return
                process = worker.process
                issued = await self._issue()
                # A token for an earlier process may have been sent to it already.
                if issued.is_ok() and worker.process is process:
                    now = self.clock.monotonic()
                    self.scheduler.set_process_token(worker_id, issued.ok, now)
                    return
                if issued.is_error():
                    if issued.error is StoreFailure.CONFLICT:
                        self.end_term("fencing token")
                    await asyncio.sleep(RETRY_DELAY_SECONDS)
        finally:
            self.in_progress.discard(worker_id)

    async def _issue(self) -> Result[LeaderToken, StoreFailure]:
        """Return a new token; an internal error counts as a lost answer."""
        try:
            return await self.fencing.issue()
        except Exception as error:
            log_event(Event.BACKGROUND_TASK_FAILED, task="token", error=repr(error))
            return Error(StoreFailure.UNKNOWN)
