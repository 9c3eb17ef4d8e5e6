"""Watch on all keys of the store below a prefix."""

import asyncio
from collections.abc import Callable
from dataclasses import replace

from ..clock import Clock
from ..decoding import describe
from ..events import Event, log_event
from ..ids import INITIAL_REVISION, Revision
from ..rejections import InputSource, Rejections
from .metadata_store import Batch, Item, MetadataStore, StoreFailure
from .revision_clock import RevisionClock

RETRY_DELAY_SECONDS = 0.2
# Interval at which a watch that is not needed checks whether it is needed again.
IDLE_POLL_SECONDS = 0.1

BatchHandler = Callable[[Batch, bool], None]


class PrefixWatch:
    """Lists a prefix once and then watches it for changes.

    ``on_batch`` receives each batch and whether it is a full listing. ``pause_seconds``
    between calls limits the cost, since each completed call is billed. ``wait_seconds``
    limits how long a stalled connection can delay a change.

    A handler may receive changes again. An item for which it raises is left out, and
    the others of the batch are delivered one by one.
    """

    def __init__(
        self,
        store: MetadataStore,
        prefix: str,
        clock: Clock,
        on_batch: BatchHandler,
        wait_seconds: float,
        pause_seconds: float = 0.0,
        is_needed: Callable[[], bool] = lambda: True,
        rejections: Rejections | None = None,
        revision_clock: RevisionClock | None = None,
    ) -> None:
        self.store = store
        self.prefix = prefix
        self.clock = clock
        self.on_batch = on_batch
        self.wait_seconds = wait_seconds
        self.pause_seconds = pause_seconds
        # Returns False while the owner receives the changes from another source.
        self.is_needed = is_needed
        self.rejections = rejections or Rejections()
        self.revision_clock = revision_clock or RevisionClock()
        self.revision = INITIAL_REVISION
        self.has_listed = False
        self.synced_at = float("-inf")
        self.store_reachable = True

    async def run(self) -> None:
        """Watch the prefix until cancelled."""
        while True:
            if not self.is_needed():
                await asyncio.sleep(IDLE_POLL_SECONDS)
            elif not await self.poll_once():
                await asyncio.sleep(RETRY_DELAY_SECONDS)
            elif self.pause_seconds:
                await asyncio.sleep(self.pause_seconds)

    def advance_to(self, revision: Revision) -> None:
        """Continue from a revision up to which the owner has seen all changes."""
        if revision >= self.revision:
            self.revision, self.has_listed = revision, True

    def restart_from(self, revision: Revision) -> None:
        """Continue from a revision up to which the owner has listed all items.

        Unlike ``advance_to``, this may go back from a revision that a peer sent.
        """
        self.revision, self.has_listed = revision, True

    async def poll_once(self) -> bool:
        """Make one list or watch call; return False to retry after a delay."""
        sent_at = self.clock.monotonic()
        # The owner may ask for a new listing while a watch call is pending.
        is_listing = not self.has_listed
        if is_listing:
            result = await self.store.list(self.prefix)
        else:
            result = await self.store.watch(
                self.prefix, self.revision, self.wait_seconds
            )
        if result.is_error():
            if result.error is StoreFailure.COMPACTED:
                log_event(
                    Event.WATCH_HISTORY_COMPACTED, prefix=self.prefix, at=self.revision
                )
                self.has_listed = False
                return True
            if self.store_reachable:
                self.store_reachable = False
                log_event(
                    Event.STORE_UNREACHABLE, operation="watch", prefix=self.prefix,
                    reason=result.error.value,
                )  # fmt: skip
            return False
        if not self.store_reachable:
            self.store_reachable = True
            log_event(Event.STORE_RECOVERED, operation="watch", prefix=self.prefix)
        self.synced_at = sent_at
        self.revision_clock.record(result.ok.revision, sent_at)
        if not self._deliver(result.ok, is_listing):
            return False
        if is_listing:
            self.has_listed = True
        self.revision = Revision(max(self.revision, result.ok.revision))
        return True

    def _deliver(self, batch: Batch, full: bool) -> bool:
        """Pass a batch to the handler; return False if it is not applied.

        The revision must not advance past a batch that is not applied, as its changes
        would be lost.
        """
        error = self._try_handler(batch, full)
        if error is None:
            return True
        refused = [item for item in batch.items if not self._deliver_alone(item)]
        if full:
            # Only a full listing tells the handler which keys are gone. Those of
            # refused items are not: they get a value that cannot be read.
            items = [
                replace(item, value=b"") if item in refused else item
                for item in batch.items
            ]
            error = self._try_handler(Batch(items, batch.revision), full)
        elif refused:
            error = None
        if error is None:
            return True
        self._reject(self.prefix, int(batch.revision), error)
        return not full

    def _deliver_alone(self, item: Item) -> bool:
        # One item alone is complete up to no revision.
        error = self._try_handler(Batch([item], INITIAL_REVISION), False)
        if error is not None:
            self._reject(item.key, item.value, error)
        return error is None

    def _try_handler(self, batch: Batch, full: bool) -> Exception | None:
        try:
            self.on_batch(batch, full)
        except Exception as error:
            return error
        return None

    def _reject(self, name: str, value: bytes | int | None, error: Exception) -> None:
        self.rejections.add(
            InputSource.BATCH, name, value, describe(error), Event.BATCH_HANDLER_FAILED
        )
