"""Plays other writers of the store, and workers that answer polls oddly."""

import asyncio
import contextlib
from collections.abc import Callable
from dataclasses import dataclass, field

from ebonyhub.cluster.leadership import LEADER_KEY
from standins.job_cluster import JobCluster
from standins.job_platform import WorkerServer

from .foreign_documents import foreign_entry, odd_report, odd_status, odd_wave
from .schedule import Fault, FaultKind, ForeignChange

# Port in the foreign entries' addresses, on which nothing listens.
AGENT_PORT = 9100


@dataclass
class ForeignWriter:
    """Writes foreign documents and ends leaders' terms; each fault runs by itself."""

    cluster: JobCluster
    # Changes that go on until the end of the run.
    permanent_tasks: list[asyncio.Task[None]] = field(default_factory=list)

    async def inject_fault(self, fault: Fault) -> None:
        """Start a fault, and end it after its duration unless it is permanent."""
        change = fault.foreign
        assert change is not None
        workers = self.cluster.platform.workers
        worker = workers[fault.target % len(workers)]
        match fault.kind:
            case FaultKind.ODD_REPORTS:
                await self._answer_polls_oddly(worker, fault, change)
            case FaultKind.LEADER_LEASE_ENDS:
                await self._repeat(self._end_leader_lease, _do_nothing, fault, change)
            case FaultKind.LEADER_KEY_REMOVED:
                await self._repeat(self._remove_leader_key, _do_nothing, fault, change)
            case _:
                await self._write_document(worker, fault, change)

    async def _write_document(
        self, worker: WorkerServer, fault: Fault, change: ForeignChange
    ) -> None:
        """Write a document, which stays or comes and goes."""
        key, value = _document(worker, fault, change)
        core = self.cluster.platform.core

        def write() -> None:
            core.put(key, value)

        def remove() -> None:
            if key in core.items:
                core.delete(key)

        if not change.permanent:
            await self._repeat(write, remove, fault, change)
            return
        changing = _alternate(write, remove, change)
        self.permanent_tasks.append(asyncio.create_task(changing))

    async def _answer_polls_oddly(
        self, worker: WorkerServer, fault: Fault, change: ForeignChange
    ) -> None:
        body = odd_report(change.document_form)

        def begin() -> None:
            worker.odd_report = body

        def end() -> None:
            worker.odd_report = None

        await self._repeat(begin, end, fault, change)

    async def _repeat(
        self,
        present: Callable[[], None],
        absent: Callable[[], None],
        fault: Fault,
        change: ForeignChange,
    ) -> None:
        """Alternate for the fault's duration, then end with ``absent``."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(fault.seconds):
                await _alternate(present, absent, change)
        absent()

    def _end_leader_lease(self) -> None:
        core = self.cluster.platform.core
        item = core.items.get(LEADER_KEY)
        if item is not None:
            core.end_lease(item.lease)

    def _remove_leader_key(self) -> None:
        core = self.cluster.platform.core
        if LEADER_KEY in core.items:
            core.delete(LEADER_KEY)

    def stop(self) -> None:
        """End the permanent changes."""
        for task in self.permanent_tasks:
            task.cancel()


def _do_nothing() -> None:
    """Leave it to the entries to elect the next leader."""


def _document(
    worker: WorkerServer, fault: Fault, change: ForeignChange
) -> tuple[str, bytes]:
    """Return the key and value of the fault's document."""
    number = 1000 + fault.target
    match fault.kind:
        case FaultKind.FOREIGN_WAVE:
            return f"op/wave/{number}", odd_wave(change.document_form)
        case FaultKind.FOREIGN_STATUS:
            return f"status/wave/{number}", odd_status(change.document_form)
        case _:
            host = worker.advertised.rpartition(":")[0]
            machine = f"m-{worker.fake.worker}"
            address = f"{host}:{AGENT_PORT}"
            value = foreign_entry(change.entry_form, address, machine)
            return f"servers/{change.entry_name.value}", value


async def _alternate(
    present: Callable[[], None], absent: Callable[[], None], change: ForeignChange
) -> None:
    """Alternate between two states until cancelled."""
    while True:
        present()
        await asyncio.sleep(change.present_seconds)
        if change.absent_seconds:
            absent()
            await asyncio.sleep(change.absent_seconds)
