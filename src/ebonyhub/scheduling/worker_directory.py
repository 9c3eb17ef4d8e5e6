"""Follows the workers' entries in the store, and holds a link to each worker."""

import asyncio
import random
from collections.abc import Callable, Iterable

from ..clock import Clock
from ..cluster.leadership import Term
from ..cluster.metadata_store import Item, MetadataStore, StoreFailure
from ..cluster.revision_clock import RevisionClock
from ..decoding import describe
from ..events import Event
from ..ids import INITIAL_REVISION, Revision, WorkerId
from ..metrics import Metrics
from ..platform.config import WORKER_PREFIX, decode_worker
from ..platform.workers import WorkerClient
from ..rejections import InputSource, Rejections
from .model import WorkerReport
from .runs import Worker
from .scheduler import Scheduler
from .worker_link import WorkerLink

# Seconds that one watch call on the workers' entries waits for a change.
WATCH_WAIT_SECONDS = 0.8
RETRY_DELAY_SECONDS = 0.2
# Seconds for which a leader that cannot renew its own lease still renews those of its
# workers, so that an outage of the store does not end the running tasks.
LEASE_EXTENSION_SECONDS = 5.0


class WorkerDirectory:
    """Keeps the scheduler's workers and their links up to date during one term.

    ``on_report`` and ``on_fenced`` are passed to each link; ``on_change`` is called
    after changes of entries.
    """

    def __init__(
        self,
        term: Term,
        store: MetadataStore,
        scheduler: Scheduler,
        clock: Clock,
        rng: random.Random,
        metrics: Metrics,
        rejections: Rejections,
        revision_clock: RevisionClock,
        on_report: Callable[[Worker, WorkerReport, float], None],
        on_fenced: Callable[[Worker], None],
        on_change: Callable[[], None],
    ) -> None:
        self.term = term
        self.store = store
        self.scheduler = scheduler
        self.clock = clock
        self.rng = rng
        self.metrics = metrics
        self.rejections = rejections
        self.revision_clock = revision_clock
        self.on_report = on_report
        self.on_fenced = on_fenced
        self.on_change = on_change
        self.revision: Revision = INITIAL_REVISION
        self.may_open_links = False
        self.links: dict[WorkerId, WorkerLink] = {}
        self.link_tasks: dict[WorkerId, asyncio.Task[None]] = {}

    async def load(self) -> None:
        """Read all entries; retries while the term lasts. Opens no links."""
        while not self.term.ended:
            listed = await self.store.list(WORKER_PREFIX)
            if listed.is_ok():
                self.replace_entries(list(listed.ok.items))
                self.revision = listed.ok.revision
                return
            await asyncio.sleep(RETRY_DELAY_SECONDS)

    def open_links(self) -> None:
        """Open a link to each registered worker, now and when more register."""
        self.may_open_links = True
        for worker in self.scheduler.workers.values():
            if not worker.deregistered:
                self._open_link(worker)

    async def watch(self) -> None:
        """Apply changes of the entries until cancelled."""
        while True:
            sent_at = self.clock.monotonic()
            result = await self.store.watch(
                WORKER_PREFIX, self.revision, WATCH_WAIT_SECONDS
            )
            if result.is_ok():
                self.revision_clock.record(result.ok.revision, sent_at)
                self._apply_entries(result.ok.items)
                self.revision = Revision(max(self.revision, result.ok.revision))
                self.on_change()
                continue
            if result.error is StoreFailure.COMPACTED:
                await self.load()
            await asyncio.sleep(RETRY_DELAY_SECONDS)

    async def close(self) -> None:
        """Cancel all links, and wait until they have ended."""
        tasks = list(self.link_tasks.values())
        self.link_tasks.clear()
        self.links.clear()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def close_removed_links(self) -> None:
        """Close the links to workers that the scheduler has removed."""
        for worker_id in [w for w in self.links if w not in self.scheduler.workers]:
            self.link_tasks.pop(worker_id).cancel()
            del self.links[worker_id]

    def replace_entries(self, items: list[Item]) -> None:
        """Apply a full listing of the entries."""
        listed = {WorkerId(item.key[len(WORKER_PREFIX) :]) for item in items}
        for worker_id in list(self.scheduler.workers):
            if worker_id not in listed:
                self.scheduler.handle_worker_entry_removed(worker_id)
        self._apply_entries(items)

    def _apply_entries(self, items: Iterable[Item]) -> None:
        """Apply entries; one that fails does not end the term."""
        for item in items:
            try:
                self._apply_entry(item)
            except Exception as error:
                self.rejections.add(
                    InputSource.WORKER, item.key, item.value, describe(error),
                    Event.BATCH_HANDLER_FAILED,
                )  # fmt: skip

    def _apply_entry(self, item: Item) -> None:
        worker_id = WorkerId(item.key[len(WORKER_PREFIX) :])
        if item.value is None:
            self.scheduler.handle_worker_entry_removed(worker_id)
            return
        decoded = decode_worker(item.key, item.value)
        if decoded.is_error():
            self.rejections.add(
                InputSource.WORKER, item.key, item.value, decoded.error,
                Event.WORKER_ENTRY_UNREADABLE,
            )  # fmt: skip
            return
        entry = decoded.ok
        known = self.scheduler.workers.get(worker_id)
        address_changed = known is not None and known.entry.address != entry.address
        self.scheduler.handle_worker_entry(
            entry,
            self.clock.monotonic(),
            self.revision_clock.written_after(item.revision),
        )
        if not self.may_open_links:
            return
        if address_changed or worker_id not in self.links:
            self._open_link(self.scheduler.workers[worker_id])

    def _open_link(self, worker: Worker) -> None:
        old = self.link_tasks.pop(worker.worker_id, None)
        if old is not None:
            old.cancel()
        client = WorkerClient(
            worker.worker_id, worker.entry.address, self.clock, self.metrics
        )
        link = WorkerLink(
            worker, client, self.clock, self.rng, self.metrics, self.on_report,
            self.on_fenced,
        )  # fmt: skip
        link.may_renew_lease = self._may_renew_leases
        self.links[worker.worker_id] = link
        self.link_tasks[worker.worker_id] = asyncio.create_task(link.run())

    def _may_renew_leases(self) -> bool:
        return (
            not self.term.ended
            and self.clock.monotonic() < self.term.valid_until + LEASE_EXTENSION_SECONDS
        )
