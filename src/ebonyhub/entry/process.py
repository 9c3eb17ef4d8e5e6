"""Composition root of an entry process on the platform."""

import asyncio
import random
import signal
from typing import Any

import msgspec
from expression import Error, Result
from prometheus_client import CollectorRegistry

from ..clock import SystemClock
from ..cluster.leadership import (
    DIRECTORY,
    LEADER_KEY,
    RENEW_SECONDS,
    Elections,
    Leader,
    LeaderRecord,
    Term,
    decode_leader,
)
from ..cluster.metadata_store import (
    ABSENT,
    Batch,
    Item,
    StoreFailure,
    Transaction,
    Write,
)
from ..cluster.mirror import JobMirror
from ..cluster.peers import PeerFailure, PeerServer, Record, Stream, connect
from ..cluster.watches import PrefixWatch
from ..configuration import Configuration
from ..events import Event, log_event
from ..fleet.model import Wave
from ..ids import EntryId, JobId, Revision, WaveId
from ..jobs.records import JOBS
from ..log_output import BufferedOutput
from ..metrics import Metrics
from ..node_settings import NodeSettings
from ..platform.cloud import AdvisorClient, CloudClient
from ..platform.config import (
    CONFIG_KEY,
    OPERATOR_PREFIX,
    WAVES,
    decode_configuration,
    decode_wave,
)
from ..platform.store import PlatformStore
from ..scheduling.controller import Controller
from ..servers import build_server, run_server
from ..settings import Listener
from ..supervisor import Supervisor
from .job_api import JobApi, ReadyApi
from .job_service import JobService
from .status_api import StatusApi, StatusSources

CLUSTER_PREFIX = "eb/n/"
# Seconds that watches on configuration and leader wait; a silent connection hides a
# change for this long and the call's own time limit.
WATCH_SECONDS = 0.8
# Seconds between calls of the watch on jobs; the leader's stream is faster.
JOB_WATCH_PAUSE_SECONDS = 0.5
JOB_WATCH_SECONDS = 1.0
# Seconds between attempts to become leader or to reach one.
ELECTION_RETRY_SECONDS = 0.1
ELECTION_SPREAD_SECONDS = 0.03
# Port of metrics and of the operators' reads, the one that deploy/system.toml names.
STATUS_PORT = 9464
# Seconds for which an entry uses any peer before it looks for the leader again.
HELPER_SECONDS = 1.0
REGISTER_RETRY_SECONDS = 1.0
# Method of a call between peers: become leader in place of the caller.
TAKE_OVER = "take_over"
# Seconds that a stopping entry goes on serving, so that the balancer's checks notice
# and callers with open connections get their answers.
STOP_NOTICE_SECONDS = 3.0
STOP_LIMIT_SECONDS = 1.5


class PlatformEntry:
    """One entry process with all its tasks."""

    def __init__(self, settings: NodeSettings, seed: int | None = None) -> None:
        self.settings = settings
        self.clock = SystemClock()
        self.rng = random.Random(seed)
        self.metrics = Metrics(CollectorRegistry())
        self.store = PlatformStore(settings.store_address, self.clock, self.metrics)
        self.mirror = JobMirror()
        self.configuration: Configuration | None = None
        self.leader: Leader | None = None
        self.controller: Controller | None = None
        self.term: Term | None = None
        self.leader_stream: Stream | None = None
        self.stopping = False
        started_ms = int(self.clock.wall() * 1000)
        peer_address = f"{settings.ip}:{settings.peer_port}"
        self.record = LeaderRecord(settings.entry, peer_address, started_ms)
        self.elections = Elections(self.store, self.clock, self.record)
        self.service = JobService(
            self.store, self.mirror, self.clock, self.metrics,
            self.call_peer, self.on_own_records,
        )  # fmt: skip
        self.peers = PeerServer(settings.ip, settings.peer_port, self)
        # Peer addresses of the other entries, as they are registered in the store.
        self.directory: dict[EntryId, str] = {}
        self.newest_leader = Revision(0)
        self.advisor = (
            AdvisorClient(settings.advisor_address, self.clock, self.metrics)
            if settings.advisor_address
            else None
        )
        self.cloud = (
            CloudClient(
                settings.cloud_address, settings.entry, self.clock, self.metrics
            )
            if settings.cloud_address
            else None
        )
        self.waves: dict[WaveId, Wave] = {}
        self.job_api = JobApi(
            self.service,
            lambda: self.configuration,
            lambda: self.stopping,
            self.clock,
            self.metrics,
        )
        self.caller_server = build_server(
            self.job_api, _listener(settings.caller_address)
        )
        self.ready_server = build_server(
            ReadyApi(self.is_ready), _listener(settings.ready_address)
        )
        self.status_server = build_server(
            StatusApi(
                StatusSources(
                    self.metrics,
                    self.mirror,
                    lambda: self.controller,
                    lambda: self.leader.record.entry if self.leader else "nobody",
                )
            ),
            Listener(settings.ip, STATUS_PORT),
        )
        self.operator_watch = PrefixWatch(
            self.store,
            OPERATOR_PREFIX,
            self.clock,
            self.on_operator_batch,
            WATCH_SECONDS,
        )
        self.cluster_watch = PrefixWatch(
            self.store, CLUSTER_PREFIX, self.clock, self.on_cluster_batch, WATCH_SECONDS
        )
        self.job_watch = PrefixWatch(
            self.store, JOBS, self.clock, self.on_job_batch,
            JOB_WATCH_SECONDS, JOB_WATCH_PAUSE_SECONDS,
        )  # fmt: skip
        self.leader_changed = asyncio.Event()
        self.hand_over: asyncio.Task[None] | None = None

    # Beliefs

    def is_ready(self) -> bool:
        """Return whether the balancer may send callers to this entry."""
        reaches_store = not self.store.failing or self.leader_stream is not None
        return not self.stopping and self.configuration is not None and reaches_store

    def on_operator_batch(self, batch: Batch, full: bool) -> None:
        """Take over a newer configuration."""
        for item in batch.items:
            if item.key == CONFIG_KEY and item.value is not None:
                self.adopt_configuration(item.value)
            elif item.key.startswith(WAVES) and item.value is not None:
                self.adopt_wave(item.key, item.value)

    def adopt_wave(self, key: str, value: bytes) -> None:
        """Take over a wave of upkeep."""
        decoded = decode_wave(value)
        if decoded.is_error():
            log_event(Event.DOCUMENT_REJECTED, name=key, error=decoded.error)
            return
        self.waves[decoded.ok.wave] = decoded.ok
        if self.controller is not None:
            self.controller.see_wave(decoded.ok)

    def adopt_configuration(self, value: bytes) -> None:
        """Put a configuration into effect unless it is older."""
        decoded = decode_configuration(value)
        if decoded.is_error():
            log_event(Event.DOCUMENT_REJECTED, name=CONFIG_KEY, error=decoded.error)
            return
        newest = self.configuration
        if newest is not None and decoded.ok.version <= newest.version:
            return
        self.configuration = decoded.ok
        log_event(
            Event.DOCUMENT_APPLIED, name="configuration",
            generation=decoded.ok.version, queues=len(decoded.ok.queues),
        )  # fmt: skip
        if newest is None:
            log_event(Event.ENTRY_READY, entry=self.settings.entry)
        if self.controller is not None:
            self.controller.configure(decoded.ok)

    def on_cluster_batch(self, batch: Batch, full: bool) -> None:
        """Follow the leader's key and the addresses of the entries."""
        items = {item.key: item for item in batch.items}
        if full or LEADER_KEY in items:
            self.adopt_leader(items.get(LEADER_KEY))
        for key, item in items.items():
            if key.startswith(DIRECTORY):
                entry = EntryId(key.removeprefix(DIRECTORY))
                if item.value is None:
                    self.directory.pop(entry, None)
                else:
                    self.directory[entry] = item.value.decode()

    def on_peer_leader(self, revision: int, value: bytes) -> None:
        """Take over a newer leader that a peer knows."""
        if revision > self.newest_leader:
            self.adopt_leader(Item(LEADER_KEY, value, Revision(revision)))

    def adopt_leader(self, item: Item | None) -> None:
        """Take over who leads."""
        leader = decode_leader(item)
        if leader is not None and leader.revision < self.newest_leader:
            return
        if leader != self.leader:
            log_event(
                Event.LEADER_CHANGED,
                leader=leader.record.entry if leader else None,
                token=leader.revision if leader else None,
            )
        self.leader = leader
        if leader is not None and item is not None and item.value is not None:
            self.newest_leader = leader.revision
            self.peers.leader = (int(leader.revision), item.value)
        term = self.term
        if term is not None and (leader is None or leader.revision > int(term.token)):
            self.end_term("key")
        self.leader_changed.set()

    def end_term(self, cause: str) -> None:
        """Stop leading."""
        if self.term is not None and not self.term.ended:
            log_event(Event.LEADERSHIP_LOST, cause=cause, token=self.term.token)
            self.term.ended = True
            if self.controller is not None:
                self.controller.wake.set()

    def on_job_batch(self, batch: Batch, full: bool) -> None:
        """Bring the mirror up to date."""
        if full:
            changed = self.mirror.replace_all(list(batch.items), batch.revision)
        else:
            changed = [job for item in batch.items if (job := self.mirror.apply(item))]
            self.mirror.revision = Revision(max(self.mirror.revision, batch.revision))
        self.service.fresh_at = self.clock.monotonic()
        self.tell_controller(changed)

    def tell_controller(self, changed: list[JobId]) -> None:
        """Hand changed jobs to the scheduler if this entry leads."""
        if self.controller is not None:
            for job_id in changed:
                self.controller.see_job(job_id)

    def on_own_records(self, items: list[Item]) -> None:
        """Take over what this entry stored for a caller, and tell the leader."""
        changed = [job for item in items if (job := self.mirror.apply(item))]
        self.tell_controller(changed)
        records = [(item.key, int(item.revision), item.value or b"") for item in items]
        if self.controller is not None:
            self.peers.broadcast(records)
        elif self.leader_stream is not None:
            self.leader_stream.send([1, records])

    def on_peer_records(self, records: list[Record]) -> None:
        """Take over what a peer stored."""
        items = [Item(key, value, Revision(rev)) for key, rev, value in records]
        changed = [job for item in items if (job := self.mirror.apply(item))]
        self.service.fresh_at = self.clock.monotonic()
        self.tell_controller(changed)
        if self.controller is not None:
            self.peers.broadcast(records)

    def on_progress_stored(self, items: list[Item]) -> None:
        """Send what the controller stored to the other entries."""
        self.service.fresh_at = self.clock.monotonic()
        self.peers.broadcast(
            [(item.key, int(item.revision), item.value or b"") for item in items]
        )

    async def call_peer(
        self, method: str, argument: Any
    ) -> Result[tuple[int, Any], PeerFailure]:
        """Pass a call on to the leader, or to any entry that is connected."""
        streams = [stream for stream in self.peers.streams if stream.is_open]
        if self.leader_stream is not None:
            streams = [self.leader_stream]
        if not streams:
            return Error(PeerFailure.NOT_SENT)
        return await self.rng.choice(streams).call(method, argument)

    async def on_peer_call(self, method: str, argument: Any) -> tuple[int, Any]:
        """Carry out a call of a peer."""
        if method == TAKE_OVER:
            return await self.take_over(Revision(argument))
        return await self.service.answer_peer(method, argument)

    # Leadership

    async def follow_leader(self) -> None:
        """Keep a stream to the leader; take over when there is none."""
        while True:
            self.leader_changed.clear()
            leader = self.leader
            if self.stopping or not self.cluster_watch.listed:
                await asyncio.sleep(ELECTION_RETRY_SECONDS)
            elif self.term is not None:
                await self._wait_for_change(ELECTION_RETRY_SECONDS)
            elif leader is None and self.store.failing:
                await self.ask_any_peer()
            elif leader is None:
                await self.stand_for_election(ABSENT)
            elif leader.record.entry != self.settings.entry:
                await self.stay_connected(leader)
            elif leader.record.started_ms != self.record.started_ms:
                # An earlier life of this entry led; it can not come back.
                await self.stand_for_election(leader.revision)
            else:
                await self.ask_any_peer()

    async def ask_any_peer(self) -> None:
        """Stay connected to some entry until it is known who leads."""
        others = [a for e, a in self.directory.items() if e != self.settings.entry]
        if not others:
            await asyncio.sleep(ELECTION_RETRY_SECONDS)
            return
        host, _, port = self.rng.choice(others).rpartition(":")
        opened = await connect(
            host, int(port), self.settings.entry, self.record.started_ms
        )
        if opened.is_error():
            await self._wait_for_change(ELECTION_RETRY_SECONDS)
            return
        await self._use_stream(opened.ok, HELPER_SECONDS)

    async def _use_stream(self, stream: Stream, seconds: float | None) -> None:
        """Run a stream until it breaks, the leader changes or the time is over."""
        self.leader_stream = stream
        running = asyncio.create_task(stream.run(self))
        changed = asyncio.create_task(self.leader_changed.wait())
        try:
            await asyncio.wait(
                {running, changed},
                timeout=seconds,
                return_when=asyncio.FIRST_COMPLETED,
            )
        finally:
            self.leader_stream = None
            stream.close()
            for task in (running, changed):
                task.cancel()
            await asyncio.gather(running, changed, return_exceptions=True)

    async def _wait_for_change(self, seconds: float) -> None:
        try:
            async with asyncio.timeout(seconds):
                await self.leader_changed.wait()
        except TimeoutError:
            return

    async def stay_connected(self, leader: Leader) -> None:
        """Hold a stream to the leader until it breaks or another one leads."""
        host, _, port = leader.record.address.rpartition(":")
        opened = await connect(
            host, int(port), self.settings.entry, self.record.started_ms
        )
        if opened.is_error():
            if isinstance(opened.error, ConnectionRefusedError):
                # Nobody listens there, so the leader's process is gone.
                log_event(Event.LEADER_DEAD, leader=leader.record.entry)
                if self.leader == leader:
                    await self.stand_for_election(leader.revision)
                return
            await self._wait_for_change(ELECTION_RETRY_SECONDS)
            return
        await self._use_stream(opened.ok, None)

    async def take_over(self, replaced: Revision) -> tuple[int, Any]:
        """Become leader at the request of one that the store turns away."""
        known = self.leader.revision if self.leader else ABSENT
        if self.store.failing or self.stopping or known != replaced:
            return 1, None
        result = await self.elections.acquire(replaced)
        if result.is_error():
            return 1, None
        self.hand_over = asyncio.create_task(self.lead(result.ok))
        return 0, None

    async def stand_for_election(self, replaced: Revision) -> None:
        """Try to become leader, and lead if it succeeds."""
        await asyncio.sleep(self.rng.uniform(0.0, ELECTION_SPREAD_SECONDS))
        if self.configuration is None:
            await asyncio.sleep(ELECTION_RETRY_SECONDS)
            return
        current = self.leader.revision if self.leader else ABSENT
        if current != replaced:
            return
        result = await self.elections.acquire(replaced)
        if result.is_error():
            if result.error is StoreFailure.CONFLICT:
                await self._wait_for_change(ELECTION_RETRY_SECONDS)
            else:
                await asyncio.sleep(ELECTION_RETRY_SECONDS)
            return
        await self.lead(result.ok)

    async def lead(self, term: Term) -> None:
        """Run the controller for one term."""
        self.term = term
        value = msgspec.msgpack.encode(self.record)
        self.adopt_leader(Item(LEADER_KEY, value, Revision(int(term.token))))
        renewals = asyncio.create_task(self.renew(term))
        try:
            await self.catch_up(term)
            if term.ended or self.configuration is None:
                return
            controller = Controller(
                term, self.store, self.mirror, self.advisor, self.clock, self.rng,
                self.metrics, self.cloud, self.settings.bounds.status_retention,
                self.on_progress_stored,
            )  # fmt: skip
            controller.configure(self.configuration)
            for wave in self.waves.values():
                controller.see_wave(wave)
            self.controller = controller
            running = asyncio.create_task(controller.run())
            await asyncio.wait({running})
            if not running.cancelled() and running.exception() is not None:
                log_event(
                    Event.TASK_FAILED,
                    task="controller",
                    error=repr(running.exception()),
                )
        finally:
            self.controller = None
            self.term = None
            renewals.cancel()
            if self.leader is not None and int(self.leader.revision) == int(term.token):
                self.leader = None
                self.cluster_watch.listed = False
            for stream in list(self.peers.streams):
                stream.close()
            await self.elections.resign(term)

    async def catch_up(self, term: Term) -> None:
        """Bring the mirror to the revision at which this term began."""
        while not term.ended:
            result = await self.store.list(JOBS)
            if result.is_ok():
                changed = self.mirror.replace_all(
                    list(result.ok.items), result.ok.revision
                )
                log_event(
                    Event.MIRROR_CAUGHT_UP,
                    token=term.token,
                    jobs=len(self.mirror.jobs),
                    changed=len(changed),
                )
                return
            await asyncio.sleep(ELECTION_RETRY_SECONDS)

    async def renew(self, term: Term) -> None:
        """Renew the lease of a term until it ends.

        A leader that the store turns away asks another entry to take over, which is
        sooner than the end of its lease.
        """
        next_at = self.clock.monotonic() + RENEW_SECONDS
        while not term.ended:
            await asyncio.sleep(RENEW_SECONDS / 5)
            if self.clock.monotonic() < next_at and not self.store.failing:
                continue
            result = await self.elections.renew(term)
            next_at = self.clock.monotonic() + RENEW_SECONDS
            if result.is_ok():
                continue
            if result.error is StoreFailure.LEASE_ENDED:
                self.end_term("lease")
            elif await self._ask_to_take_over(term):
                self.end_term("handed_over")

    async def _ask_to_take_over(self, term: Term) -> bool:
        """Ask the entry that started last; return whether it leads now.

        Where entries are restarted in turn, that one stays longest.
        """
        streams = [stream for stream in self.peers.streams if stream.is_open]
        if not streams:
            return False
        newest = max(streams, key=lambda stream: stream.peer_started_ms)
        answer = await newest.call(TAKE_OVER, int(term.token))
        return answer.is_ok() and answer.ok[0] == 0

    async def register(self) -> None:
        """Write this entry's address into the directory."""
        key = DIRECTORY + self.settings.entry
        write = Write(key, self.record.address.encode())
        while True:
            result = await self.store.commit(Transaction({}, (write,)))
            if result.is_ok():
                return
            await asyncio.sleep(REGISTER_RETRY_SECONDS)

    # Life

    async def run(self) -> None:
        """Run until SIGTERM or SIGINT, then shut down gracefully."""
        log_event(
            Event.ENTRY_STARTED, entry=self.settings.entry,
            data_centre=self.settings.data_centre, ip=self.settings.ip,
        )  # fmt: skip
        stop = asyncio.Event()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, stop.set)
        loop.add_signal_handler(signal.SIGHUP, self.on_reload)
        root = Supervisor("root", self.clock, self.rng)
        root.add("caller-server", lambda: run_server(self.caller_server))
        root.add("ready-server", lambda: run_server(self.ready_server))
        root.add("status-server", lambda: run_server(self.status_server))
        root.add("peer-server", self.peers.run)
        root.add("operator-watch", self.operator_watch.run)
        root.add("cluster-watch", self.cluster_watch.run)
        root.add("job-watch", self.job_watch.run)
        root.add("leadership", self.follow_leader)
        root.add("registration", self.register)
        tree = asyncio.create_task(root.run(), name="root")
        stopped = asyncio.create_task(stop.wait(), name="stop-signal")
        await asyncio.wait({tree, stopped}, return_when=asyncio.FIRST_COMPLETED)
        if tree.done():
            stopped.cancel()
            await tree
            return
        await self.shut_down()
        tree.cancel()
        await asyncio.gather(tree, return_exceptions=True)
        log_event(Event.SHUTDOWN_DONE, entry=self.settings.entry)

    def on_reload(self) -> None:
        """Note a reload; the settings that may change are read at the start only."""
        log_event(Event.RELOADED, entry=self.settings.entry)

    async def shut_down(self) -> None:
        """Hand leadership over, then stop without cutting off a request."""
        self.stopping = True
        log_event(Event.SHUTDOWN_BEGUN, in_flight=self.job_api.in_flight)
        if self.term is not None:
            await self._ask_to_take_over(self.term)
        self.end_term("shutdown")
        await asyncio.sleep(STOP_NOTICE_SECONDS)
        self.caller_server.should_exit = True
        end = self.clock.monotonic() + STOP_LIMIT_SECONDS
        while self.clock.monotonic() < end:
            if not self.job_api.in_flight and not self.caller_server.server_state.tasks:
                break
            await asyncio.sleep(0.05)
        self.ready_server.should_exit = True
        self.status_server.should_exit = True


def _listener(address: str) -> Listener:
    host, _, port = address.rpartition(":")
    return Listener(host, int(port))


async def serve_on_platform(settings: NodeSettings, output: BufferedOutput) -> None:
    """Run one entry process on the platform; log lines go through ``output``."""
    writing = asyncio.create_task(output.run())
    try:
        await PlatformEntry(settings).run()
    finally:
        writing.cancel()
