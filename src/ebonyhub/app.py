"""Entry process that relays requests to backend servers: builds and runs its parts."""

import asyncio
import random

from prometheus_client import CollectorRegistry

from .admin_api import AdminState, build_admin_api
from .caller_api import CallerApi
from .clock import SystemClock
from .config_store import ConfigWriter, DocumentWatcher, decode_config
from .documents import CONFIG, Document, LatestDocument
from .events import Event, log_event
from .ids import EntryId
from .metrics import Metrics
from .relay import Relay
from .servers import build_server, run_server
from .settings import EntrySettings
from .store import HttpStore
from .supervisor import Supervisor, run_until_signal
from .vm_list import VmList, VmListReader


class EntryProcess:
    """An entry process with its servers, watchers and relay."""

    def __init__(self, settings: EntrySettings, seed: int | None = None) -> None:
        self.settings = settings
        self.clock = SystemClock()
        self.rng = random.Random(seed)
        self.metrics = Metrics(CollectorRegistry())
        self.store = HttpStore(settings.store, self.metrics)
        self.config = LatestDocument(CONFIG)
        entries = [settings.entry, *(EntryId(peer.entry_id) for peer in settings.peers)]
        self.relay = Relay(
            settings.entry,
            sorted(entries),
            settings.limits,
            self.metrics,
            self.clock,
            self.rng,
        )
        self.writer = ConfigWriter(
            self.store, settings.entry, self.clock, self.rng, self.apply_config
        )
        self.watcher = DocumentWatcher(
            self.store, self.config, self.rng, self.apply_config
        )
        self.vm_list_reader = VmListReader(
            settings.vm_list, self.rng, self.apply_vm_list
        )
        self.admin_state = AdminState(settings.admin_tokens, self.metrics)
        self.admin_state.is_ready = self.is_ready
        self.caller_server = build_server(
            CallerApi(self.relay), settings.caller_listener
        )
        self.admin_server = build_server(
            build_admin_api(self.admin_state, self.writer), settings.admin_listener
        )
        self.stopping = False
        self.ready_logged = False

    def is_ready(self) -> bool:
        """Return whether the load balancer may send requests to this entry."""
        return not self.stopping and self.relay.declared is not None

    def apply_config(self, document: Document) -> None:
        """Apply a configuration if it is newer than the current one."""
        decoded = decode_config(document)
        if decoded.is_error():
            log_event(Event.DOCUMENT_REJECTED, name=CONFIG, error=decoded.error)
            return
        if not self.config.adopt_if_newer(document):
            return
        self.relay.configure(declared=decoded.ok.declared)
        self.admin_state.update(decoded.ok)
        self.metrics.generation.labels(CONFIG).set(document.generation)
        log_event(Event.DOCUMENT_APPLIED, name=CONFIG, generation=document.generation)
        if not self.ready_logged:
            self.ready_logged = True
            log_event(Event.ENTRY_READY, entry=self.settings.entry_id)

    def apply_vm_list(self, vm_list: VmList) -> None:
        """Pass the VM list to the relay if it has changed."""
        if self.relay.vm_list is None or self.relay.vm_list != vm_list:
            self.relay.configure(vm_list=vm_list)

    async def run(self) -> None:
        """Run until SIGTERM or SIGINT, then shut down gracefully."""
        log_event(Event.ENTRY_STARTED, entry=self.settings.entry_id)
        platform = Supervisor("platform", self.clock, self.rng)
        platform.add("config-watcher", self.watcher.run)
        platform.add("vm-list-reader", self.vm_list_reader.run)
        root = Supervisor("root", self.clock, self.rng)
        root.add("caller-server", lambda: run_server(self.caller_server))
        root.add("admin-server", lambda: run_server(self.admin_server))
        root.add("platform", platform.run)
        await run_until_signal(root, self.shut_down)
        log_event(Event.SHUTDOWN_COMPLETED, entry=self.settings.entry_id)

    async def shut_down(self) -> None:
        """Stop accepting requests, and wait for those in flight to complete."""
        self.stopping = True
        log_event(Event.SHUTDOWN_STARTED, in_flight=self.relay.in_flight)
        # The load balancer needs time to notice that /readyz fails.
        await asyncio.sleep(self.settings.shutdown.balancer_grace_seconds)
        self.caller_server.should_exit = True
        drain_seconds = self.settings.shutdown.drain_seconds
        deadline = self.clock.monotonic() + drain_seconds
        while self.relay.in_flight > 0 and self.clock.monotonic() < deadline:
            await asyncio.sleep(0.05)
        # The server still has to flush the last answers and close its connections.
        while (
            self.caller_server.server_state.tasks and self.clock.monotonic() < deadline
        ):
            await asyncio.sleep(0.05)
        self.admin_server.should_exit = True


async def serve(settings: EntrySettings) -> None:
    """Run one entry process until it is told to stop."""
    await EntryProcess(settings).run()
