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
from ..cluster.peers import MessageKind, PeerStream, StoredRecord
from ..cluster.watches import PrefixWatch
from ..configuration import Configuration
from ..decoding import Count, try_convert
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
    decode_wave,
)
from ..platform.store import PlatformStore
from ..refused_calls import RefusedCalls
from ..rejections import InputSource, Rejections
from ..scheduling.controller import Controller
from ..scheduling.overload import ForecastCache, decode_forecasts, encode_forecasts
from ..scheduling.shedding.admission import AdmissionPolicy
from ..scheduling.shedding.service_load import decode_loads, encode_loads
from ..scheduling.workspaces.policy import WorkspacePolicy, WorkspaceRules
from ..servers import HttpServer, build_server, run_server
from ..settings import Listener
from ..supervisor import Supervisor, run_until_signal
from .handover import TAKE_OVER_METHOD
from .job_api import JobApi, ReadinessApi
from .job_service import JobService
from .leadership_manager import (
    WATCH_TIMEOUT_SECONDS,
    LeadershipManager,
)
from .status_api import StatusApi, StatusSources
from .withdrawals import Withdrawals
from .workspaces.replica import FETCH_METHOD, ConfigurationReplica

# Pause between calls of the job watch; changes usually arrive sooner on peer streams.
JOB_WATCH_PAUSE_SECONDS = 0.5
JOB_WATCH_TIMEOUT_SECONDS = 1.0
# How long the leader collects changed job states into one message, and the interval at
# which it sends a message even without changes.
STATES_BATCH_SECONDS = 0.03
STATES_INTERVAL_SECONDS = 0.4
# A follower that receives no states for this long watches the store itself.
STATES_TIMEOUT_SECONDS = 1.0
# Time for an answer of the store beyond the wait of a watch call.
STORE_ANSWER_MARGIN_SECONDS = 0.4
# Port of the status API; must match deploy/system.toml.
STATUS_PORT = 9464
# A stopping entry keeps serving for the notice period, so that the load balancer's
# checks see that it is not ready, and then until pending calls are answered or the
# drain timeout has passed. Together with the hand-over this must stay well below the
# 6 s after which the platform kills the process.
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
        self.rejections = Rejections(self.metrics, self.clock)
        self.store.rejections = self.rejections
        self.mirror = JobMirror(self.rejections)
        self.forecast_cache = ForecastCache()
        self.replica = ConfigurationReplica(
            settings, self.clock, self.rejections,
            lambda: self.operator_watch.synced_at, self.on_configuration,
            self.announce_configuration, self.store_answers,
        )  # fmt: skip
        self.admission_policy = AdmissionPolicy()
        self.waves: dict[WaveId, Wave] = {}
        self.leadership = LeadershipManager(
            settings, self.store, self.mirror, self.clock, self.rng,
            self, lambda: self.configuration is not None, self.build_controller,
        )  # fmt: skip
        self.withdrawals = Withdrawals(
            self.store, self.clock, self.rng, self.on_local_records, self.rejections
        )
        self.service = JobService(
            self.store, self.mirror, self.clock, self.metrics,
            self.leadership.call_peer, self.on_local_records,
            self.admission_policy if settings.sheds_by_cost else self.forecast_cache,
            self.rng, self.withdrawals,
        )  # fmt: skip
        self.refused_calls = RefusedCalls(self.clock)
        self.job_api = JobApi(
            self.service, lambda: self.configuration, lambda: self.leadership.stopping,
            self.clock, self.metrics, self.replica.is_stale, self.refused_calls.add,
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
            WATCH_TIMEOUT_SECONDS, rejections=self.rejections,
            revision_clock=self.leadership.revision_clock,
        )  # fmt: skip
        self.job_watch = PrefixWatch(
            self.store, JOB_PREFIX, self.clock, self.on_job_batch,
            JOB_WATCH_TIMEOUT_SECONDS, JOB_WATCH_PAUSE_SECONDS, self.needs_job_watch,
            self.rejections,
        )  # fmt: skip
        # When this entry last received states from a leader, in monotonic seconds.
        self.states_received_at = self.clock.monotonic()
        # Whether a broadcast of changed states is already pending.
        self.broadcast_scheduled = False
        # Whether the last broadcast of forecasts contained any service.
        self.last_forecasts_nonempty = False

    def build_status_server(self) -> HttpServer:
        """Return the HTTP server of the status API."""
        sources = StatusSources(
            self.metrics,
            self.mirror,
            lambda: self.leadership.controller,
            self.leadership.leader_name,
            lambda: self.configuration,
            self.workspace_policy,
            self.refused_calls,
        )
        return build_server(StatusApi(sources), Listener(self.settings.ip, STATUS_PORT))

    def store_answers(self) -> bool:
        """Return whether the watch of the configuration hears from the store."""
        age = self.clock.monotonic() - self.operator_watch.synced_at
        return age < WATCH_TIMEOUT_SECONDS + STORE_ANSWER_MARGIN_SECONDS

    def workspace_policy(self) -> WorkspacePolicy | None:
        """Return what the leader knows of workspaces, None if this entry follows."""
        controller = self.leadership.controller
        return None if controller is None else controller.scheduler.workspaces

    def build_controller(self, term: Term) -> Controller | None:
        """Return a controller for a term, or None while there is no configuration."""
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
            cloud, settings.status_retention_seconds, settings.capacity_valid_seconds,
            self.on_progress_stored, self.leadership.revision_clock,
            WorkspaceRules(settings.has_limits, settings.rate_window_seconds),
            settings.max_lease_seconds,
        )  # fmt: skip
        self.job_watch.restart_from(self.mirror.complete_until)
        self.mirror.take_changes()
        self.leadership.peer_server.broadcast(
            self.states_message(self.mirror.unfinished_states(), True)
        )
        if settings.sheds_by_cost:
            controller.shed_by_cost()
        controller.configure(self.configuration)
        for wave in self.waves.values():
            controller.add_wave(wave)
        return controller

    # Updates from the store, the peers and the callers

    def is_ready(self) -> bool:
        """Return whether the load balancer may send callers to this entry."""
        reaches_store = (
            not self.store.failing or self.leadership.leader_stream is not None
        )
        return (
            not self.leadership.stopping
            and self.configuration is not None
            and reaches_store
        )

    def on_operator_batch(self, batch: Batch, full: bool) -> None:
        """Apply changes of the operators' configuration and waves."""
        for item in batch.items:
            if item.key == CONFIG_KEY and item.value is not None:
                self.replica.apply_stored(item.value)
            elif item.key.startswith(WAVE_PREFIX) and item.value is not None:
                self.apply_wave(item.key, item.value)

    def apply_wave(self, key: str, value: bytes) -> None:
        """Apply a maintenance wave; one that cannot be decoded is logged."""
        decoded = decode_wave(value, key)
        if decoded.is_error():
            self.rejections.add(
                InputSource.WAVE, key, value, decoded.error, Event.DOCUMENT_REJECTED
            )
            return
        self.waves[decoded.ok.wave_id] = decoded.ok
        if self.leadership.controller is not None:
            self.leadership.controller.add_wave(decoded.ok)

    @property
    def configuration(self) -> Configuration | None:
        """The configuration in force, None before the first one."""
        return self.replica.current

    def on_configuration(self, configuration: Configuration) -> None:
        """Pass a new configuration to the scheduler if this entry leads."""
        if self.leadership.controller is not None:
            self.leadership.controller.configure(configuration)

    def announce_configuration(self, message: list[Any]) -> None:
        """Send an announcement of the configuration to all connected entries."""
        self.leadership.peer_server.broadcast(message)
        if self.leadership.leader_stream is not None:
            self.leadership.leader_stream.send(message)

    def on_stream_started(self, stream: PeerStream) -> None:
        """Announce the configuration on a new stream, whoever opened it."""
        announcement = self.replica.announcement()
        if announcement is not None:
            stream.send(announcement)

    def on_peer_configuration(
        self, stream: PeerStream, version: int, age_ms: int
    ) -> None:
        """Note the version of the configuration that a peer has."""
        self.replica.on_announcement(stream, version, age_ms)

    def on_job_batch(self, batch: Batch, full: bool) -> None:
        """Apply a batch of the job watch to the mirror."""
        if not self.needs_job_watch():
            # The leader has sent newer states since the watch call began.
            return
        if full:
            changed = self.mirror.apply_listing(list(batch.items), batch.revision)
        else:
            changed = self.mirror.apply_changes(batch.items, batch.revision)
        self.service.synced_at = self.clock.monotonic()
        self.notify_controller(changed)
        if self.leadership.controller is not None:
            self.schedule_states_broadcast()

    def notify_controller(self, changed: list[JobId]) -> None:
        """Pass changed jobs to the scheduler if this entry leads."""
        if self.leadership.controller is not None:
            for job_id in changed:
                self.leadership.controller.handle_job_change(job_id)

    def needs_job_watch(self) -> bool:
        """Return whether this entry leads, or gets no job states from a leader."""
        if self.leadership.term is not None:
            return True
        return self.clock.monotonic() - self.states_received_at > STATES_TIMEOUT_SECONDS

    def on_local_records(self, items: list[Item]) -> None:
        """Apply records stored or read for a caller, and send them to the leader."""
        changed = [job for item in items if (job := self.mirror.apply(item))]
        self.notify_controller(changed)
        if self.leadership.controller is not None:
            self.schedule_states_broadcast()
        elif self.leadership.leader_stream is not None:
            records = [(i.key, int(i.revision), i.value or b"") for i in items]
            self.leadership.leader_stream.send([MessageKind.RECORDS, records])

    def on_peer_records(self, records: list[StoredRecord]) -> None:
        """Apply records that a peer stored."""
        items = [Item(key, value, Revision(rev)) for key, rev, value in records]
        changed = [job for item in items if (job := self.mirror.apply(item))]
        self.notify_controller(changed)
        if self.leadership.controller is not None:
            self.schedule_states_broadcast()

    def on_progress_stored(self) -> None:
        """Broadcast job states after the controller has stored progress."""
        self.schedule_states_broadcast()

    def schedule_states_broadcast(self) -> None:
        """Broadcast the changed states after a short delay that batches bursts."""
        if self.broadcast_scheduled or not self.mirror.changed_jobs:
            return
        self.broadcast_scheduled = True
        loop = asyncio.get_running_loop()
        loop.call_later(STATES_BATCH_SECONDS, self.broadcast_states)

    def broadcast_states(self) -> None:
        """Send the changed states to all connected entries if this entry leads."""
        self.broadcast_scheduled = False
        if self.leadership.controller is not None:
            self.service.synced_at = self.clock.monotonic()
            rows = self.mirror.take_changes()
            self.leadership.peer_server.broadcast(self.states_message(rows, False))

    def states_message(self, rows: list[StateRow], full: bool) -> list[Any]:
        """Build a states message; ``full`` if the rows are all unfinished jobs."""
        return [MessageKind.STATES, int(self.job_watch.revision), rows, full]

    async def broadcast_periodically(self) -> None:
        """Broadcast at intervals, even without changes, so followers skip the watch."""
        while True:
            await asyncio.sleep(STATES_INTERVAL_SECONDS)
            self.broadcast_states()
            self.broadcast_forecasts()
            announcement = self.replica.announcement()
            if announcement is not None and self.leadership.term is not None:
                self.announce_configuration(announcement)

    def broadcast_forecasts(self) -> None:
        """Send all entries the forecasts of services with a long backlog."""
        controller = self.leadership.controller
        if controller is None:
            return
        rows: list[Any]
        if self.settings.sheds_by_cost:
            loads = controller.service_loads()
            self.admission_policy.update(loads, self.clock.monotonic())
            kind, rows = MessageKind.OVERLOAD, encode_loads(loads)
        else:
            forecasts = controller.forecasts()
            self.forecast_cache.update(forecasts, self.clock.monotonic())
            kind, rows = MessageKind.FORECASTS, encode_forecasts(forecasts)
        if rows or self.last_forecasts_nonempty:
            self.leadership.peer_server.broadcast([kind, rows])
        # One empty message follows, to clear the forecasts on the other entries.
        self.last_forecasts_nonempty = bool(rows)

    def on_peer_forecasts(self, rows: list[Any]) -> None:
        """Apply the leader's backlog forecasts unless this entry leads."""
        forecasts = decode_forecasts(rows)
        if self.leadership.term is None:
            self.forecast_cache.update(forecasts, self.clock.monotonic())

    def on_peer_overload(self, rows: list[Any]) -> None:
        """Apply the leader's loads of services unless this entry leads."""
        loads = decode_loads(rows)
        if self.leadership.term is None:
            self.admission_policy.update(loads, self.clock.monotonic())

    def initial_states_message(self) -> list[Any] | None:
        """Return the full states message, or None if this entry does not lead."""
        if self.leadership.controller is None:
            return None
        return self.states_message(self.mirror.unfinished_states(), True)

    def on_peer_states(self, revision: int, rows: list[Any], full: bool) -> None:
        """Apply job states from the leader unless this entry leads."""
        if self.leadership.term is not None:
            return
        now = self.clock.monotonic()
        self.mirror.apply_states(rows, full, now)
        self.states_received_at = self.service.synced_at = now
        self.job_watch.advance_to(Revision(revision))

    async def on_peer_call(self, method: str, argument: Any) -> tuple[int, Any]:
        """Carry out a call that a peer forwarded."""
        if method == TAKE_OVER_METHOD:
            revision = try_convert(argument, Count)
            if revision.is_error():
                raise ValueError(revision.error)
            return await self.leadership.take_over(Revision(revision.ok))
        if method == FETCH_METHOD and self.settings.has_workspaces:
            return self.replica.answer_fetch()
        return await self.service.handle_peer_call(method, argument)

    def on_peer_leader(self, revision: int, value: bytes) -> None:
        """Apply the leader key that a peer sent."""
        self.leadership.on_peer_leader(revision, value)

    # Lifecycle

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
        root.add("withdrawals", self.withdrawals.run)
        root.add("registration", self.leadership.register_address)
        await run_until_signal(root, self.shut_down)
        log_event(Event.SHUTDOWN_COMPLETED, entry=self.settings.entry)

    def on_reload(self) -> None:
        """Log the reload signal; settings are only read at start."""
        log_event(Event.RELOAD_REQUESTED, entry=self.settings.entry)

    async def shut_down(self) -> None:
        """Hand over leadership, then stop after pending requests are answered."""
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
    """Run one entry process until it is stopped; ``output`` writes its log lines."""
    writing = asyncio.create_task(output.run())
    try:
        await PlatformEntry(settings).run()
    finally:
        writing.cancel()
