"""Composition root of an entry process on the platform."""

import asyncio
import random
import signal
from typing import Any

from prometheus_client import CollectorRegistry

from ..clock import SystemClock
from ..cluster.leadership import Term
from ..cluster.metadata_store import Batch, Item
from ..cluster.mirror import JobMirror, StateRow
from ..cluster.peers import MessageKind, StoredRecord
from ..cluster.watches import PrefixWatch
from ..configuration import Configuration
from ..events import Event, log_event
from ..fleet.model import Wave
from ..ids import JobId, Revision, WaveId
from ..jobs.records import JOB_PREFIX
from ..log_output import BufferedOutput
from ..metrics import Metrics
from ..node_settings import NodeSettings
from ..platform.cloud import AdvisorClient, CloudClient
from ..platform.config import (
    CONFIG_KEY,
    OPERATOR_PREFIX,
    WAVE_PREFIX,
    decode_configuration,
    decode_wave,
)
from ..platform.store import PlatformStore
from ..scheduling.controller import Controller
from ..scheduling.overload import ForecastCache, decode_forecasts, encode_forecasts
from ..servers import HttpServer, build_server, run_server
from ..settings import Listener
from ..supervisor import Supervisor, run_until_signal
from .job_api import JobApi, ReadinessApi
from .job_service import JobService
from .leadership_manager import (
    TAKE_OVER_METHOD,
    WATCH_TIMEOUT_SECONDS,
    LeadershipManager,
)
from .status_api import StatusApi, StatusSources

# Seconds between calls of the watch on jobs; the leader's stream is faster.
JOB_WATCH_PAUSE_SECONDS = 0.5
JOB_WATCH_TIMEOUT_SECONDS = 1.0
# Seconds for which the leader gathers changed states of jobs, and between two messages
# without any.
STATES_BATCH_SECONDS = 0.03
STATES_INTERVAL_SECONDS = 0.4
# Seconds without states from a leader after which an entry reads the store itself.
STATES_TIMEOUT_SECONDS = 1.0
# Port of metrics and of the operators' reads, the one that deploy/system.toml names.
STATUS_PORT = 9464
# Seconds that a stopping entry goes on serving, so that the balancer's checks notice
# and callers with open connections get their answers. Together with the hand-over it
# stays well below the 6 s after which the platform kills a process.
SHUTDOWN_NOTICE_SECONDS = 2.7
DRAIN_TIMEOUT_SECONDS = 1.2


class PlatformEntry:
    """One entry process with all its tasks."""

    def __init__(self, settings: NodeSettings, seed: int | None = None) -> None:
        self.settings = settings
        self.clock = SystemClock()
        self.rng = random.Random(seed)
        self.metrics = Metrics(CollectorRegistry())
        self.store = PlatformStore(settings.store_address, self.clock, self.metrics)
        self.mirror = JobMirror()
        self.forecast_cache = ForecastCache()
        self.configuration: Configuration | None = None
        self.waves: dict[WaveId, Wave] = {}
        self.leadership = LeadershipManager(
            settings, self.store, self.mirror, self.clock, self.rng,
            self, lambda: self.configuration is not None, self.build_controller,
        )  # fmt: skip
        self.service = JobService(
            self.store, self.mirror, self.clock, self.metrics,
            self.leadership.call_peer, self.on_local_records, self.forecast_cache,
            self.rng,
        )  # fmt: skip
        self.job_api = JobApi(
            self.service, lambda: self.configuration, lambda: self.leadership.stopping,
            self.clock, self.metrics,
        )  # fmt: skip
        self.caller_server = build_server(
            self.job_api, _listener(settings.caller_address)
        )
        self.ready_server = build_server(
            ReadinessApi(self.is_ready), _listener(settings.readiness_address)
        )
        self.status_server = self.build_status_server()
        self.operator_watch = PrefixWatch(
            self.store, OPERATOR_PREFIX, self.clock, self.on_operator_batch,
            WATCH_TIMEOUT_SECONDS,
        )  # fmt: skip
        self.job_watch = PrefixWatch(
            self.store, JOB_PREFIX, self.clock, self.on_job_batch,
            JOB_WATCH_TIMEOUT_SECONDS, JOB_WATCH_PAUSE_SECONDS, self.needs_job_watch,
        )  # fmt: skip
        # When the leader last sent states, and whether some wait to be sent.
        self.states_received_at = self.clock.monotonic()
        self.broadcast_scheduled = False
        # Whether the last forecasts that were sent named a service.
        self.last_forecasts_nonempty = False

    def build_status_server(self) -> HttpServer:
        """Return the server of metrics and of the operators' reads."""
        sources = StatusSources(
            self.metrics,
            self.mirror,
            lambda: self.leadership.controller,
            self.leadership.leader_name,
        )
        return build_server(StatusApi(sources), Listener(self.settings.ip, STATUS_PORT))

    def build_controller(self, term: Term) -> Controller | None:
        """Return the controller of a term, with the configuration and the waves."""
        if self.configuration is None:
            return None
        settings = self.settings
        advisor = cloud = None
        if settings.advisor_address:
            advisor = AdvisorClient(settings.advisor_address, self.clock, self.metrics)
        if settings.cloud_address:
            cloud = CloudClient(
                settings.cloud_address, settings.entry, self.clock, self.metrics
            )
        controller = Controller(
            term, self.store, self.mirror, advisor, self.clock, self.rng, self.metrics,
            cloud, settings.status_retention_seconds, self.on_progress_stored,
        )  # fmt: skip
        self.mirror.take_changes()
        self.leadership.peer_server.broadcast(
            self.states_message(self.mirror.unfinished_states(), True)
        )
        controller.configure(self.configuration)
        for wave in self.waves.values():
            controller.add_wave(wave)
        return controller

    # Beliefs

    def is_ready(self) -> bool:
        """Return whether the balancer may send callers to this entry."""
        reaches_store = (
            not self.store.failing or self.leadership.leader_stream is not None
        )
        return (
            not self.leadership.stopping
            and self.configuration is not None
            and reaches_store
        )

    def on_operator_batch(self, batch: Batch, full: bool) -> None:
        """Take over a newer configuration."""
        for item in batch.items:
            if item.key == CONFIG_KEY and item.value is not None:
                self.apply_configuration(item.value)
            elif item.key.startswith(WAVE_PREFIX) and item.value is not None:
                self.apply_wave(item.key, item.value)

    def apply_wave(self, key: str, value: bytes) -> None:
        """Take over a wave of upkeep."""
        decoded = decode_wave(value)
        if decoded.is_error():
            log_event(Event.DOCUMENT_REJECTED, name=key, error=decoded.error)
            return
        self.waves[decoded.ok.wave_id] = decoded.ok
        if self.leadership.controller is not None:
            self.leadership.controller.add_wave(decoded.ok)

    def apply_configuration(self, value: bytes) -> None:
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
        if self.leadership.controller is not None:
            self.leadership.controller.configure(decoded.ok)

    def on_job_batch(self, batch: Batch, full: bool) -> None:
        """Bring the mirror up to date."""
        if not self.needs_job_watch():
            # A leader has told of newer states since the call was sent.
            return
        if full:
            changed = self.mirror.apply_listing(list(batch.items), batch.revision)
        else:
            changed = [job for item in batch.items if (job := self.mirror.apply(item))]
            self.mirror.revision = Revision(max(self.mirror.revision, batch.revision))
        self.service.synced_at = self.clock.monotonic()
        self.notify_controller(changed)
        if self.leadership.controller is not None:
            self.schedule_states_broadcast()

    def notify_controller(self, changed: list[JobId]) -> None:
        """Hand changed jobs to the scheduler if this entry leads."""
        if self.leadership.controller is not None:
            for job_id in changed:
                self.leadership.controller.handle_job_change(job_id)

    def needs_job_watch(self) -> bool:
        """Return whether no leader tells this entry about jobs."""
        if self.leadership.term is not None:
            return True
        return self.clock.monotonic() - self.states_received_at > STATES_TIMEOUT_SECONDS

    def on_local_records(self, items: list[Item]) -> None:
        """Take over what this entry stored for a caller, and tell the leader."""
        changed = [job for item in items if (job := self.mirror.apply(item))]
        self.notify_controller(changed)
        if self.leadership.controller is not None:
            self.schedule_states_broadcast()
        elif self.leadership.leader_stream is not None:
            records = [(i.key, int(i.revision), i.value or b"") for i in items]
            self.leadership.leader_stream.send([MessageKind.RECORDS, records])

    def on_peer_records(self, records: list[StoredRecord]) -> None:
        """Take over what a peer stored."""
        items = [Item(key, value, Revision(rev)) for key, rev, value in records]
        changed = [job for item in items if (job := self.mirror.apply(item))]
        self.notify_controller(changed)
        if self.leadership.controller is not None:
            self.schedule_states_broadcast()

    def on_progress_stored(self) -> None:
        """Tell the other entries about progress that the controller stored."""
        self.schedule_states_broadcast()

    def schedule_states_broadcast(self) -> None:
        """Send the changed states after a moment, so that bursts share a message."""
        if self.broadcast_scheduled or not self.mirror.changed_jobs:
            return
        self.broadcast_scheduled = True
        loop = asyncio.get_running_loop()
        loop.call_later(STATES_BATCH_SECONDS, self.broadcast_states)

    def broadcast_states(self) -> None:
        """Send the changed states to every connected entry."""
        self.broadcast_scheduled = False
        if self.leadership.controller is not None:
            self.service.synced_at = self.clock.monotonic()
            rows = self.mirror.take_changes()
            self.leadership.peer_server.broadcast(self.states_message(rows, False))

    def states_message(self, rows: list[StateRow], full: bool) -> list[Any]:
        """Return a message with the states of jobs."""
        return [MessageKind.STATES, int(self.job_watch.revision), rows, full]

    async def broadcast_periodically(self) -> None:
        """Show the other entries that the leader still tells them of all changes."""
        while True:
            await asyncio.sleep(STATES_INTERVAL_SECONDS)
            self.broadcast_states()
            self.broadcast_forecasts()

    def broadcast_forecasts(self) -> None:
        """Tell every entry in which services new jobs would wait for long."""
        if self.leadership.controller is None:
            return
        forecasts = self.leadership.controller.forecasts()
        self.forecast_cache.update(forecasts, self.clock.monotonic())
        rows = encode_forecasts(forecasts)
        if rows or self.last_forecasts_nonempty:
            self.leadership.peer_server.broadcast([MessageKind.FORECASTS, rows])
        # Entries also learn that the services have room again.
        self.last_forecasts_nonempty = bool(rows)

    def on_peer_forecasts(self, rows: list[Any]) -> None:
        """Take over the leader's forecasts of room."""
        if self.leadership.term is None:
            self.forecast_cache.update(decode_forecasts(rows), self.clock.monotonic())

    def initial_states_message(self) -> list[Any] | None:
        """Return the states for an entry that connects; None if this one follows."""
        if self.leadership.controller is None:
            return None
        return self.states_message(self.mirror.unfinished_states(), True)

    def on_peer_states(self, revision: int, rows: list[Any], full: bool) -> None:
        """Take over the states of jobs from the leader."""
        if self.leadership.term is not None:
            return
        now = self.clock.monotonic()
        self.mirror.apply_states(rows, full, now)
        self.states_received_at = self.service.synced_at = now
        self.job_watch.advance_to(Revision(revision))

    async def on_peer_call(self, method: str, argument: Any) -> tuple[int, Any]:
        """Carry out a call of a peer."""
        if method == TAKE_OVER_METHOD:
            return await self.leadership.take_over(Revision(argument))
        return await self.service.handle_peer_call(method, argument)

    def on_peer_leader(self, revision: int, value: bytes) -> None:
        """Take over a newer leader that a peer knows."""
        self.leadership.on_peer_leader(revision, value)

    # Life

    async def run(self) -> None:
        """Run until SIGTERM or SIGINT, then shut down gracefully."""
        log_event(
            Event.ENTRY_STARTED, entry=self.settings.entry,
            data_centre=self.settings.data_centre, ip=self.settings.ip,
        )  # fmt: skip
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, self.on_reload)
        root = Supervisor("root", self.clock, self.rng)
        root.add("caller-server", lambda: run_server(self.caller_server))
        root.add("ready-server", lambda: run_server(self.ready_server))
        root.add("status-server", lambda: run_server(self.status_server))
        root.add("peer-server", self.leadership.peer_server.run)
        root.add("operator-watch", self.operator_watch.run)
        root.add("cluster-watch", self.leadership.watch.run)
        root.add("job-watch", self.job_watch.run)
        root.add("states", self.broadcast_periodically)
        root.add("leadership", self.leadership.follow_leader)
        root.add("registration", self.leadership.register_address)
        await run_until_signal(root, self.shut_down)
        log_event(Event.SHUTDOWN_COMPLETED, entry=self.settings.entry)

    def on_reload(self) -> None:
        """Note a reload; the settings that may change are read at the start only."""
        log_event(Event.RELOAD_REQUESTED, entry=self.settings.entry)

    async def shut_down(self) -> None:
        """Hand leadership over, then stop without cutting off a request."""
        log_event(Event.SHUTDOWN_STARTED, in_flight=self.job_api.in_flight)
        await self.leadership.resign()
        await asyncio.sleep(SHUTDOWN_NOTICE_SECONDS)
        self.caller_server.should_exit = True
        end = self.clock.monotonic() + DRAIN_TIMEOUT_SECONDS
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
