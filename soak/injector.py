"""Injects faults into processes, links, the store and the workers."""

import asyncio
import signal
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from standins.job_cluster import JobCluster
from standins.job_platform import WorkerServer, demo_configuration

from .foreign_writer import ForeignWriter
from .impairments import Impairments, recorded_in
from .proxy import LinkMode, Proxy
from .schedule import FOREIGN_FAULT_PARAMETERS, Fault, FaultKind
from .timeline import Timeline

SLOW_STORE_SECONDS = 0.25
# Longer than the entries wait for the store, so that their calls fail and take effect
# later.
LATE_WRITE_SECONDS = 1.5
# Kinds that ForeignWriter injects.
FOREIGN_KINDS = FOREIGN_FAULT_PARAMETERS.keys() - {
    FaultKind.WORKER_LEAVES, FaultKind.STORE_WRITES_LATE,
}  # fmt: skip


@dataclass
class Injector:
    """Injects faults into a cluster; faults may overlap, and each ends by itself."""

    cluster: JobCluster
    store_links: dict[str, Proxy]
    worker_links: dict[str, Proxy]
    foreign_writer: ForeignWriter
    timeline: Timeline
    impairments: Impairments = field(default_factory=Impairments)
    # Called when a worker has restarted that will be cut off.
    on_worker_restart: Callable[[], None] = lambda: None

    @property
    def configuration_version(self) -> int:
        """Return the newest version of the configuration."""
        return self.cluster.platform.configuration_version

    async def inject_fault(self, fault: Fault) -> None:
        """Start a fault, wait for its duration, and end it."""
        if fault.kind in FOREIGN_KINDS:
            self.timeline.write(f"fault {fault}")
            await self.foreign_writer.inject_fault(fault)
            return
        entry = self._select_entry(fault)
        self.timeline.write(f"fault {fault} entry={entry}")
        workers = self.cluster.platform.workers
        worker = workers[fault.target % len(workers)]
        match fault.kind:
            case FaultKind.KILL:
                await self._restart([entry], signal.SIGKILL, fault.seconds)
            case FaultKind.KILL_ALL:
                names = list(self.cluster.names)
                await self._restart(names, signal.SIGKILL, fault.seconds)
            case FaultKind.STOP:
                await self._restart([entry], signal.SIGTERM, fault.seconds)
            case FaultKind.PAUSE:
                with recorded_in(self.impairments.halt(entry)):
                    await self._pause(entry, fault.seconds)
            case FaultKind.RELOAD:
                self.cluster.processes[entry].send_signal(signal.SIGHUP)
            case FaultKind.STORE_LINK:
                with recorded_in(self.impairments.refusal(entry)):
                    await self._impair_link(self.store_links[entry], fault)
            case FaultKind.WORKER_LINK:
                await self._cut_off(worker, fault)
            case FaultKind.WORKER_CRASH:
                await self._crash_worker(worker, fault.seconds)
            case FaultKind.WORKER_RECUT:
                await self._recut_worker(worker, fault)
            case FaultKind.WORKER_ENTRY:
                self.cluster.platform.core.delete(f"servers/{worker.fake.worker}")
                await asyncio.sleep(fault.seconds)
                worker.register()
            case FaultKind.WORKER_LEAVES:
                await self._drain_worker(worker, fault.seconds)
            case FaultKind.CONFIGURE:
                self.write_configuration()
            case FaultKind.STORE_DOWN:
                with recorded_in(self.impairments.store_outages):
                    await self._impair_store(fault)
            case _:
                await self._impair_store(fault)

    def _select_entry(self, fault: Fault) -> str:
        leader = self.cluster.leader() if fault.at_leader else None
        names = self.cluster.names
        return leader or names[fault.target % len(names)]

    async def _restart(
        self, names: list[str], signal_number: signal.Signals, pause: float
    ) -> None:
        """End processes with a signal and start them again after a pause."""
        signalled = [(name, self.cluster.processes[name]) for name in names]
        for _, process in signalled:
            process.send_signal(signal_number)
            # A process paused by SIGSTOP handles SIGTERM only after SIGCONT.
            process.send_signal(signal.SIGCONT)
        for name, process in signalled:
            while process.poll() is None:
                await asyncio.sleep(0.02)
            await asyncio.sleep(pause)
            # Another fault may have started it again in the meantime.
            if self.cluster.processes[name] is process:
                self.cluster.start_entry(name)

    async def _pause(self, name: str, seconds: float) -> None:
        process = self.cluster.processes[name]
        process.send_signal(signal.SIGSTOP)
        try:
            await asyncio.sleep(seconds)
        finally:
            process.send_signal(signal.SIGCONT)

    async def _impair_link(self, link: Proxy, fault: Fault) -> None:
        link.set_mode(fault.mode)
        await asyncio.sleep(fault.seconds)
        link.set_mode(LinkMode.PASS)

    async def _crash_worker(self, worker: WorkerServer, seconds: float) -> None:
        """Crash a worker and restart it under the same id."""
        if not worker.fake.up:
            return
        worker.crash()
        # A crash also closes the connections of the worker process.
        self.worker_links[worker.fake.worker].reset()
        await asyncio.sleep(seconds)
        worker.fake.restart(int(time.time() * 1000))
        worker.register()

    async def _cut_off(self, worker: WorkerServer, fault: Fault) -> None:
        """Impair the link to a worker for a time."""
        link = self.worker_links[worker.fake.worker]
        worker.fake.partitioned = True
        await self._impair_link(link, fault)
        worker.fake.partitioned = link.mode is not LinkMode.PASS

    async def _recut_worker(self, worker: WorkerServer, fault: Fault) -> None:
        """Restart a worker under its id, and cut it off soon after.

        The calls from shortly before the crash until the restart have no answers. They
        are carried out 2 to 12 s later, by the process that is up then.
        """
        recut = fault.recut
        if recut is None or not worker.fake.up:
            return
        for down_seconds, up_seconds in recut.restarts:
            worker.late_calls.active = True
            await asyncio.sleep(recut.hold_seconds)
            # Another fault may have ended the process in the meantime.
            if worker.fake.up:
                worker.crash()
            if recut.resets_links:
                self.worker_links[worker.fake.worker].reset()
            await asyncio.sleep(down_seconds)
            worker.late_calls.active = False
            if not worker.fake.up:
                worker.fake.restart(int(time.time() * 1000))
            worker.register()
            self._write_restart(worker)
            self.on_worker_restart()
            await asyncio.sleep(up_seconds)
        await self._cut_off(worker, fault)

    def _write_restart(self, worker: WorkerServer) -> None:
        clock = worker.fake.clock_ms(time.monotonic())
        self.timeline.write(
            f"worker {worker.fake.worker} is up: born={worker.fake.born_ms} "
            f"clock={clock} offset={worker.fake.clock_offset_ms}"
        )

    async def _drain_worker(self, worker: WorkerServer, seconds: float) -> None:
        """Let a worker drain and leave, and start anew under the same id."""
        if not worker.fake.up or worker.fake.draining:
            return
        born = worker.fake.born_ms
        worker.fake.draining = True
        worker.remaining_ms = int(seconds * 1000)
        worker.register()
        await asyncio.sleep(seconds)
        # Another fault may have ended the process in the meantime.
        if worker.fake.up and worker.fake.born_ms == born:
            self.cluster.platform.core.delete(f"servers/{worker.fake.worker}")
            await self._crash_worker(worker, seconds)

    async def _impair_store(self, fault: Fault) -> None:
        store, core = self.cluster.platform.store, self.cluster.platform.core
        match fault.kind:
            case FaultKind.STORE_DROPS_HISTORY:
                core.compact_history()
            case FaultKind.REVOKE_LEASES:
                for lease in list(core.leases):
                    core.end_lease(lease)
            case FaultKind.STORE_DOWN:
                store.down = True
            case FaultKind.STORE_SLOW:
                store.answer_delay_seconds = SLOW_STORE_SECONDS
            case FaultKind.STORE_LOSES_ANSWERS:
                store.loses_answers = True
            case FaultKind.STORE_WRITES_LATE:
                store.commit_delay_seconds = LATE_WRITE_SECONDS
        await asyncio.sleep(fault.seconds)
        match fault.kind:
            case FaultKind.STORE_DOWN:
                store.down = False
            case FaultKind.STORE_SLOW:
                store.answer_delay_seconds = 0.0
            case FaultKind.STORE_LOSES_ANSWERS:
                store.loses_answers = False
            case FaultKind.STORE_WRITES_LATE:
                store.commit_delay_seconds = 0.0

    async def refuse_entry(self, name: str, seconds: float) -> None:
        """Let the store refuse the calls of one entry for a time."""
        refused = self.cluster.platform.store.refused_clients
        client = self.store_links[name].source
        self.timeline.write(f"the store refuses {name} for {seconds:.2f} s")
        with recorded_in(self.impairments.refusal(name)):
            refused.add(client)
            try:
                await asyncio.sleep(seconds)
            finally:
                refused.discard(client)

    def write_configuration(self) -> str:
        """Write the next configuration version, with a queue that only it has.

        Return the prefix of that queue, which needs no key.
        """
        version = self.configuration_version + 1
        prefix = versioned_prefix(version)
        route = demo_configuration()["Routes"][0] | {
            "Name": f"r{version}", "PathPrefix": prefix, "AllowAnonymous": True,
        }  # fmt: skip
        self.cluster.platform.write_configuration(route)
        return prefix

    def clear_faults(self) -> None:
        """End all faults and restart what is down.

        Permanent foreign documents stay, since the guarantees hold beside them.
        """
        store = self.cluster.platform.store
        store.down, store.answer_delay_seconds, store.loses_answers = False, 0.0, False
        store.commit_delay_seconds = 0.0
        store.refused_clients.clear()
        for link in [*self.store_links.values(), *self.worker_links.values()]:
            link.set_mode(LinkMode.PASS)
        for worker in self.cluster.platform.workers:
            worker.fake.partitioned = False
            worker.odd_report = None
            worker.late_calls.active = False
            if not worker.fake.up:
                worker.fake.restart(int(time.time() * 1000))
            worker.register()
        for name, process in list(self.cluster.processes.items()):
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
            else:
                self.cluster.start_entry(name)


def versioned_prefix(version: int) -> str:
    """Return the prefix of the queue that only this configuration version has."""
    return f"/extra-{version}/"
