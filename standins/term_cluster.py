"""Leaders in one process whose terms a test starts and ends, with real workers.

The entries share an in-memory store. Their controllers call the HTTP stand-ins of the
workers, and ``RunHistory`` records what the workers really ran.
"""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import msgspec
from prometheus_client import CollectorRegistry

from ebonyhub.clock import SystemClock
from ebonyhub.cluster.leadership import LEADER_KEY, Term
from ebonyhub.cluster.metadata_store import ABSENT
from ebonyhub.cluster.mirror import JobMirror
from ebonyhub.configuration import Configuration
from ebonyhub.entry.leadership_manager import LeadershipManager
from ebonyhub.ids import (
    DataCentre,
    EntryId,
    JobId,
    QueueName,
    Revision,
    ServiceName,
    TaskId,
)
from ebonyhub.jobs.model import AcceptedJob, JobSpec, Resources, StepSpec
from ebonyhub.jobs.records import JobState, accepted_key
from ebonyhub.metrics import Metrics
from ebonyhub.node_settings import NodeSettings
from ebonyhub.platform.config import decode_configuration
from ebonyhub.scheduling.controller import Controller
from ebonyhub.scheduling.model import RunOutcome
from standins.fake_worker import FakeWorker
from standins.job_platform import JobPlatform, demo_configuration
from standins.memory_store import MemoryStore, StoreCore
from standins.network import claim_network

STORE_PORT = 8600
FIRST_WORKER_PORT = 8700
POLL_SECONDS = 0.01
# Time for a term to close, so that the entry's next one can begin.
TERM_CHANGE_SECONDS = 10.0


@dataclass(frozen=True, slots=True)
class Start:
    """A start on a worker, with the number of ends recorded before it."""

    task: TaskId
    number: int
    worker: str
    ends_before: int


@dataclass(frozen=True, slots=True)
class DoneRun:
    """A run that ended as done, with its sequence number on its worker."""

    task: TaskId
    sequence: int
    worker: FakeWorker


@dataclass
class RunHistory:
    """Starts and completed runs of all workers, in the order in which they happened."""

    starts: list[Start] = field(default_factory=list)
    done: list[DoneRun] = field(default_factory=list)

    def attach(self, worker: FakeWorker) -> None:
        """Record what a worker runs from now on."""
        on_start, on_end = worker.on_start, worker.on_end

        def record_start(fake: FakeWorker, task: TaskId, number: int) -> None:
            on_start(fake, task, number)
            self._record_start(fake, task, number)

        worker.on_start = record_start

        def record_end(
            fake: FakeWorker, task: TaskId, number: int, outcome: RunOutcome
        ) -> None:
            on_end(fake, task, number, outcome)
            if outcome is RunOutcome.DONE:
                self.done.append(DoneRun(task, fake.sequence, fake))

        worker.on_end = record_end

    def _record_start(self, worker: FakeWorker, task: TaskId, number: int) -> None:
        start = Start(task, number, worker.worker, len(self.done))
        self.starts.append(start)

    def repeated_starts(self) -> list[Start]:
        """Return the starts of tasks whose completed run has been acknowledged."""
        return [
            start
            for start in self.starts
            if any(
                end.task == start.task
                and end.sequence <= end.worker.acknowledged_sequence
                for end in self.done[: start.ends_before]
            )
        ]


class TermCluster:
    """Entries that lead when told to, and the workers that they use."""

    def __init__(self, entries: int, workers: int, seed: int) -> None:
        self.network = claim_network()
        self.clock = SystemClock()
        self.rng = random.Random(seed)
        ports = list(range(FIRST_WORKER_PORT, FIRST_WORKER_PORT + workers))
        self.platform = JobPlatform(self.network.address(0, 1), STORE_PORT, ports)
        self.core: StoreCore = self.platform.core
        self.configuration: Configuration = decode_configuration(
            msgspec.json.encode(demo_configuration())
        ).ok
        self.history = RunHistory()
        for worker in self.platform.workers:
            self.history.attach(worker.fake)
        self.entries = [self._manager(number) for number in range(1, entries + 1)]

    def _manager(self, number: int) -> LeadershipManager:
        ip = self.network.address(1, number)
        settings = NodeSettings(
            EntryId(f"e{number}"), ip, DataCentre("a"), f"{ip}:1", f"{ip}:2",
            (7060, 7075), f"{ip}:3", "", "", 120.0, 2.0, 1000.0,
        )  # fmt: skip
        store, mirror = MemoryStore(self.core), JobMirror()

        def build(term: Term) -> Controller:
            controller = Controller(
                term, store, mirror, None, self.clock, self.rng,
                Metrics(CollectorRegistry()), None, 120.0, float("inf"), lambda: None,
            )  # fmt: skip
            controller.configure(self.configuration)
            return controller

        return LeadershipManager(
            settings, store, mirror, self.clock, self.rng, _NoPeers(), lambda: True,
            build,
        )  # fmt: skip

    def accept(self, number: int, task_ms: int, steps: int, width: int) -> JobId:
        """Store the record of a job whose steps follow each other."""
        job = JobId(f"{number:016x}")
        spec = JobSpec(
            str(task_ms),
            tuple(
                StepSpec(
                    width, Resources(500, 100), task_ms,
                    after=(step - 1,) if step else (),
                )
                for step in range(steps)
            ),
        )  # fmt: skip
        record = AcceptedJob(
            job, QueueName("r-plans"), ServiceName("plans"), 3,
            int(self.clock.wall() * 1000), spec,
        )  # fmt: skip
        self.core.put(accepted_key(job), msgspec.msgpack.encode(record))
        return job

    async def begin_term(self, entry: LeadershipManager) -> Revision:
        """Let an entry replace the present leader; return the term's token."""
        async with asyncio.timeout(TERM_CHANGE_SECONDS):
            while True:
                current = self.core.items.get(LEADER_KEY)
                begun = await entry.begin_term(current.revision if current else ABSENT)
                if begun.is_ok():
                    return self.core.items[LEADER_KEY].revision
                entry.end_term("test")
                await asyncio.sleep(POLL_SECONDS)

    async def wait_until(self, condition: Callable[[], bool], seconds: float) -> None:
        """Wait until a condition holds; raises TimeoutError after ``seconds``."""
        async with asyncio.timeout(seconds):
            while not condition():
                await asyncio.sleep(POLL_SECONDS)

    def state_of(self, entry: LeadershipManager, job: JobId) -> JobState | None:
        """Return the state of a job as an entry knows it."""
        mirrored = entry.mirror.jobs.get(job)
        return mirrored.visible_state if mirrored else None

    async def stop(self) -> None:
        """End all terms and stop the workers."""
        for entry in self.entries:
            entry.end_term("test")
            if entry.term_task is not None:
                await asyncio.wait({entry.term_task}, timeout=TERM_CHANGE_SECONDS)
        await self.platform.stop()
        self.network.close()


class _NoPeers:
    """Handles no messages: the entries of a TermCluster are not connected."""

    def __getattr__(self, name: str) -> Any:
        return lambda *_: None
