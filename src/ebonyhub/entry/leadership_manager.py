"""Follows the current leader, campaigns when there is none, and leads if elected."""

import asyncio
import contextlib
import random
from collections.abc import Callable
from typing import Any

import msgspec
from expression import Error, Ok, Result

from ..clock import Clock
from ..cluster.leadership import (
    ENTRY_ADDRESS_PREFIX,
    LEADER_KEY,
    RENEW_INTERVAL_SECONDS,
    Leader,
    LeaderElection,
    LeaderRecord,
    Term,
    decode_leader,
    decode_leader_record,
)
from ..cluster.metadata_store import (
    ABSENT,
    Batch,
    Item,
    MetadataStore,
    StoreFailure,
    Transaction,
    Write,
)
from ..cluster.mirror import JobMirror
from ..cluster.peers import (
    MessageKind,
    PeerFailure,
    PeerMessageHandler,
    PeerServer,
    PeerStream,
    connect,
)
from ..cluster.revision_clock import RevisionClock
from ..cluster.watches import PrefixWatch
from ..decoding import parse_address
from ..events import Event, log_event
from ..ids import EntryId, Revision
from ..node_settings import NodeSettings
from ..rejections import InputSource
from ..scheduling.controller import Controller
from .handover import SUFFICIENT_CORES, Handover
from .record_loading import load_job_records
from .term_backoff import TermBackoff

CLUSTER_PREFIX = "eb/n/"
# Longest wait of one watch call on the leader key. A stalled connection can hide a
# change for this time plus the timeout of the call.
WATCH_TIMEOUT_SECONDS = 0.8
# Delay between attempts to become leader or to connect to the leader.
ELECTION_RETRY_SECONDS = 0.1
ELECTION_JITTER_SECONDS = 0.03
# Delay of a campaign for each core that an entry lacks to lead.
ELECTION_DELAY_SECONDS_PER_CORE = 0.3
# A leader with too few cores looks for a better peer only at this interval, because no
# task starts during a change of leader.
HANDOVER_CHECK_INTERVAL_SECONDS = 1.0
# How long a stream to an arbitrary peer is kept before looking for the leader again.
FALLBACK_PEER_SECONDS = 1.0
REGISTER_RETRY_SECONDS = 1.0
# Time for the watch to show a leader of which a peer has told.
CONFIRMATION_SECONDS = 2.0
# Limit on the hand-over of a stopping leader, whose lease would soon expire anyway.
HANDOVER_TIMEOUT_SECONDS = 0.5


class LeadershipManager:
    """Tracks the leader, keeps a stream to it, and runs the controller when elected."""

    def __init__(
        self,
        settings: NodeSettings,
        store: MetadataStore,
        mirror: JobMirror,
        clock: Clock,
        rng: random.Random,
        peer_handler: PeerMessageHandler,
        may_lead: Callable[[], bool],
        build_controller: Callable[[Term], Controller | None],
    ) -> None:
        self.settings = settings
        self.store = store
        self.mirror = mirror
        self.clock = clock
        self.rng = rng
        self.peer_handler = peer_handler
        self.may_lead = may_lead
        self.build_controller = build_controller
        address = f"{settings.ip}:{settings.peer_port}"
        started_ms = int(clock.wall() * 1000)
        self.record = LeaderRecord(settings.entry, address, started_ms)
        self.election = LeaderElection(store, clock, self.record)
        self.peer_server = PeerServer(
            settings.ip, settings.peer_port, peer_handler, mirror.rejections
        )
        self.handover = Handover(settings, self.peer_server)
        # Peer listener addresses of all entries, as registered in the store.
        self.entry_addresses: dict[EntryId, str] = {}
        self.leader: Leader | None = None
        self.newest_leader_revision = Revision(0)
        # When a peer named the present leader, which the store has not confirmed yet.
        self.unconfirmed_since: float | None = None
        self.leader_changed = asyncio.Event()
        self.leader_stream: PeerStream | None = None
        self.term: Term | None = None
        self.controller: Controller | None = None
        self.electing = False
        # The task of this entry's term, until the term has closed.
        self.term_task: asyncio.Task[None] | None = None
        self.backoff = TermBackoff(clock, rng)
        self.stopping = False
        self.revision_clock = RevisionClock()
        self.watch = PrefixWatch(
            store, CLUSTER_PREFIX, clock, self.on_cluster_batch, WATCH_TIMEOUT_SECONDS,
            rejections=mirror.rejections, revision_clock=self.revision_clock,
        )  # fmt: skip

    def leader_name(self) -> str:
        """Return the leader's entry id for display, "nobody" if there is none."""
        return self.leader.record.entry if self.leader else "nobody"

    def on_cluster_batch(self, batch: Batch, full: bool) -> None:
        """Apply changes of the leader key and of the entries' addresses."""
        items = {item.key: item for item in batch.items}
        if full or LEADER_KEY in items:
            unconfirmed = self.unconfirmed_since is not None
            self.unconfirmed_since = None
            leader_item = items.get(LEADER_KEY)
            if (full or unconfirmed) and self.term is None:
                # A revision that a peer sent may be higher than that of any leader.
                self.newest_leader_revision = (
                    leader_item.revision if leader_item else ABSENT
                )
            self._apply_leader_key(leader_item)
        for key, item in items.items():
            if key.startswith(ENTRY_ADDRESS_PREFIX):
                self._apply_entry_address(key, item)

    def _apply_leader_key(self, item: Item | None) -> None:
        self.update_leader(item)
        if item is None or item.value is None:
            return
        decoded = decode_leader_record(item.value)
        if decoded.is_error():
            # Not passed on: peers close a stream on which it arrives.
            self.peer_server.leader = None
            self.mirror.rejections.add(
                InputSource.LEADER, item.key, item.value, decoded.error
            )

    def _apply_entry_address(self, key: str, item: Item) -> None:
        entry = EntryId(key.removeprefix(ENTRY_ADDRESS_PREFIX))
        self.entry_addresses.pop(entry, None)
        if item.value is None:
            return
        address = item.value.decode("ascii", errors="replace")
        parsed = parse_address(address)
        if parsed.is_error():
            self.mirror.rejections.add(
                InputSource.ENTRY_ADDRESS, key, item.value, parsed.error
            )
            return
        self.entry_addresses[entry] = address

    def on_peer_leader(self, revision: int, value: bytes) -> None:
        """Apply the leader key that a peer sent if it is newer than the one here.

        Raises ValueError if it cannot be read.
        """
        decoded = decode_leader_record(value)
        if decoded.is_error():
            raise ValueError(decoded.error)
        if revision > self.newest_leader_revision:
            self.update_leader(Item(LEADER_KEY, value, Revision(revision)))
            self.unconfirmed_since = self.clock.monotonic()

    def update_leader(self, item: Item | None) -> None:
        """Apply a value of the leader key; ends this entry's term if another leads."""
        leader = decode_leader(item)
        if leader is not None and leader.revision < self.newest_leader_revision:
            return
        if leader != self.leader:
            log_event(
                Event.LEADER_CHANGED,
                leader=leader.record.entry if leader else None,
                token=leader.revision if leader else None,
            )
        self.leader = leader
        if leader is not None and item is not None and item.value is not None:
            self.newest_leader_revision = leader.revision
            known = (int(leader.revision), item.value)
            is_new = known != self.peer_server.leader
            self.peer_server.leader = known
            # An entry that the store refuses may still take this one for the leader,
            # whose process has been restarted since. Peers close a stream on which a
            # key arrives that cannot be read.
            if (
                is_new
                and self.settings.has_workspaces
                and decode_leader_record(item.value).is_ok()
            ):
                self.peer_server.broadcast([MessageKind.LEADER, *known])
        term = self.term
        if term is not None and (leader is None or leader.revision > int(term.token)):
            self.end_term("key")
        self.leader_changed.set()

    def end_term(self, cause: str) -> None:
        """End this entry's term, if any, and log the cause."""
        if self.term is not None and not self.term.ended:
            log_event(Event.LEADERSHIP_LOST, cause=cause, token=self.term.token)
            self.term.ended = True
            if self.controller is not None:
                self.controller.wake.set()

    async def call_peer(
        self, method: str, argument: Any
    ) -> Result[tuple[int, Any], PeerFailure]:
        """Forward a call to the leader, or without one to any connected entry."""
        streams = [stream for stream in self.peer_server.streams if stream.is_open]
        if self.leader_stream is not None:
            streams = [self.leader_stream]
        if not streams:
            return Error(PeerFailure.NOT_SENT)
        return await self.rng.choice(streams).call(method, argument)

    async def follow_leader(self) -> None:
        """Keep a stream to the leader; campaign when there is none."""
        while True:
            self.leader_changed.clear()
            self._confirm_leader()
            leader = self.leader
            if self.stopping or not self.watch.has_listed:
                await asyncio.sleep(ELECTION_RETRY_SECONDS)
            elif self.term_task is not None:
                await self._wait_for_change(ELECTION_RETRY_SECONDS)
            elif leader is None and self.store.failing:
                await self.connect_to_any_peer()
            elif leader is None:
                await self.campaign(ABSENT)
            elif leader.record.entry != self.settings.entry:
                await self.connect_to_leader(leader)
            elif leader.record.started_ms != self.record.started_ms:
                # The recorded leader is an earlier process of this entry, now gone.
                await self.campaign(leader.revision)
            else:
                await self.connect_to_any_peer()

    def _confirm_leader(self) -> None:
        """Read the leader key if the store has not confirmed what a peer sent."""
        since = self.unconfirmed_since
        if since is None or self.store.failing:
            return
        if self.clock.monotonic() - since > CONFIRMATION_SECONDS:
            self.unconfirmed_since = None
            self.watch.has_listed = False

    async def connect_to_any_peer(self) -> None:
        """Hold a stream to an arbitrary entry until the leader is known."""
        others = [
            address
            for entry, address in self.entry_addresses.items()
            if entry != self.settings.entry
        ]
        if not others:
            await asyncio.sleep(ELECTION_RETRY_SECONDS)
            return
        address = self.rng.choice(others)
        opened = await self._connect(address)
        if opened.is_error():
            await self._wait_for_change(ELECTION_RETRY_SECONDS)
            return
        await self._run_stream(opened.ok, FALLBACK_PEER_SECONDS)

    async def _connect(self, address: str) -> Result[PeerStream, OSError]:
        parsed = parse_address(address)
        if parsed.is_error():
            # Nothing can listen on such an address.
            return Error(ConnectionRefusedError(parsed.error))
        host, port = parsed.ok
        return await connect(
            host, port, self.settings.entry, self.record.started_ms,
            self.settings.effective_cores, self.mirror.rejections,
        )  # fmt: skip

    async def _run_stream(self, stream: PeerStream, max_seconds: float | None) -> None:
        """Run a stream until it closes, the leader changes or time is up."""
        self.leader_stream = stream
        stream_task = asyncio.create_task(stream.run(self.peer_handler))
        change_task = asyncio.create_task(self.leader_changed.wait())
        ends = {stream_task, change_task}
        try:
            done, _ = await asyncio.wait(
                ends, timeout=max_seconds, return_when=asyncio.FIRST_COMPLETED
            )
            if not done and stream.transfer is not None:
                # On a slow link, a document takes longer than a stream is kept.
                ends.add(stream.transfer)
                await asyncio.wait(ends, return_when=asyncio.FIRST_COMPLETED)
        finally:
            self.leader_stream = None
            stream.close()
            for task in (stream_task, change_task):
                task.cancel()
            await asyncio.gather(stream_task, change_task, return_exceptions=True)

    async def _wait_for_change(self, seconds: float) -> None:
        try:
            async with asyncio.timeout(seconds):
                await self.leader_changed.wait()
        except TimeoutError:
            return

    async def connect_to_leader(self, leader: Leader) -> None:
        """Hold a stream to the leader until it closes or the leader changes."""
        opened = await self._connect(leader.record.address)
        if opened.is_ok():
            await self._run_stream(opened.ok, None)
        elif isinstance(opened.error, ConnectionRefusedError):
            # Nothing listens on the address, so the leader's process has ended.
            log_event(Event.LEADER_CONNECTION_REFUSED, leader=leader.record.entry)
            if self.leader == leader:
                await self.campaign(leader.revision)
        else:
            await self._wait_for_change(ELECTION_RETRY_SECONDS)
        if (
            self.settings.has_workspaces
            and self.store.failing
            and self.leader == leader
        ):
            # Without the store and the leader, only another peer tells of a new leader
            # or a new configuration.
            await self.connect_to_any_peer()

    async def take_over(self, expected_revision: Revision) -> tuple[int, Any]:
        """Become leader at the request of the current one.

        Returns status 0 if this entry now leads, 1 if it declines or fails.
        """
        current_revision = self.leader.revision if self.leader else ABSENT
        if self.store.failing or self.stopping or current_revision != expected_revision:
            return 1, None
        if not self.backoff.may_take_over():
            return 1, None
        result = await self.begin_term(expected_revision)
        return (1 if result.is_error() else 0), None

    async def campaign(self, expected_revision: Revision) -> None:
        """Try to become leader; if elected, lead until the term ends."""
        backoff_seconds = self.backoff.remaining_seconds()
        if backoff_seconds > 0.0:
            await self._wait_for_change(backoff_seconds)
            return
        missing_cores = max(0.0, SUFFICIENT_CORES - self.settings.effective_cores)
        pause = missing_cores * ELECTION_DELAY_SECONDS_PER_CORE
        await asyncio.sleep(pause + self.rng.uniform(0.0, ELECTION_JITTER_SECONDS))
        if not self.may_lead():
            await asyncio.sleep(ELECTION_RETRY_SECONDS)
            return
        current_revision = self.leader.revision if self.leader else ABSENT
        if current_revision != expected_revision:
            return
        result = await self.begin_term(expected_revision)
        if result.is_ok():
            await asyncio.wait({result.ok})
        elif result.error is StoreFailure.CONFLICT:
            await self._wait_for_change(ELECTION_RETRY_SECONDS)
        else:
            await asyncio.sleep(ELECTION_RETRY_SECONDS)

    async def begin_term(
        self, expected_revision: Revision
    ) -> Result[asyncio.Task[None], StoreFailure]:
        """Become leader and return the task of the term.

        Fails with REFUSED while an earlier term of this entry is closing: its end
        drops the controller and the records that the next term would use.
        """
        if self.electing or self.term_task is not None:
            return Error(StoreFailure.REFUSED)
        self.electing = True
        try:
            elected = await self.election.acquire(expected_revision)
        finally:
            self.electing = False
        if elected.is_error():
            return Error(elected.error)
        self.term_task = asyncio.create_task(self._lead(elected.ok))
        self.term_task.add_done_callback(self._on_term_closed)
        return Ok(self.term_task)

    def _on_term_closed(self, task: asyncio.Task[None]) -> None:
        self.term_task = None
        if not task.cancelled() and task.exception() is not None:
            log_event(
                Event.BACKGROUND_TASK_FAILED, task="term", error=repr(task.exception())
            )

    async def _lead(self, term: Term) -> None:
        """Run the controller until the term ends, then resign."""
        began_at = self.clock.monotonic()
        failed = False
        self.term = term
        value = msgspec.msgpack.encode(self.record)
        self.update_leader(Item(LEADER_KEY, value, Revision(int(term.token))))
        if self.newest_leader_revision > int(term.token):
            # Another entry has replaced this one before its own answer arrived.
            self.end_term("key")
        renewals = asyncio.create_task(self.maintain_lease(term))
        self.mirror.retain_records(True)
        try:
            await self._run_controller(term)
        except Exception as error:
            failed = True
            log_event(
                Event.BACKGROUND_TASK_FAILED, task="controller", error=repr(error)
            )
        finally:
            self.controller = None
            self.term = None
            self.mirror.retain_records(False)
            renewals.cancel()
            if self.leader is not None and int(self.leader.revision) == int(term.token):
                self.leader = None
                self.watch.has_listed = False
            for stream in list(self.peer_server.streams):
                stream.close()
            seconds = self.clock.monotonic() - began_at
            self.backoff.record_term(seconds, failed)
            await self.election.resign(term)

    async def _run_controller(self, term: Term) -> None:
        """Load the records and schedule until the term ends."""
        await load_job_records(self.store, self.mirror, term)
        controller = None if term.ended else self.build_controller(term)
        if controller is not None:
            self.controller = controller
            await controller.run()

    async def maintain_lease(self, term: Term) -> None:
        """Renew the lease until the term ends, or hand over to another entry.

        If a renewal fails, another entry is asked to take over, which is faster than
        waiting for the lease to expire.
        """
        checked_at = self.clock.monotonic()
        next_renewal_at = checked_at + RENEW_INTERVAL_SECONDS
        while not term.ended:
            await asyncio.sleep(RENEW_INTERVAL_SECONDS / 5)
            if self.clock.monotonic() - checked_at > HANDOVER_CHECK_INTERVAL_SECONDS:
                checked_at = self.clock.monotonic()
                if self.handover.is_due() and await self.handover.request(term):
                    self.end_term("weak")
                    return
            if self.clock.monotonic() < next_renewal_at and not self.store.failing:
                continue
            result = await self.election.renew(term)
            next_renewal_at = self.clock.monotonic() + RENEW_INTERVAL_SECONDS
            if result.is_ok():
                continue
            if result.error is StoreFailure.LEASE_ENDED:
                self.end_term("lease")
            elif await self.handover.request(term):
                self.end_term("handed_over")

    async def register_address(self) -> None:
        """Store this entry's peer address; retries until it succeeds."""
        key = ENTRY_ADDRESS_PREFIX + self.settings.entry
        write = Write(key, self.record.address.encode())
        while True:
            result = await self.store.commit(Transaction({}, (write,)))
            if result.is_ok():
                return
            await asyncio.sleep(REGISTER_RETRY_SECONDS)

    async def resign(self) -> None:
        """Hand over leadership before this entry stops, and do not campaign again."""
        self.stopping = True
        if self.term is not None:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(HANDOVER_TIMEOUT_SECONDS):
                    await self.handover.request(self.term)
        self.end_term("shutdown")
