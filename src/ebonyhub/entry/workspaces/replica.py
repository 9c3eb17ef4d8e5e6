"""The configuration on one entry, which also spreads from entry to entry.

An entry that the store refuses learns of a new version from its peers. Versions are
announced in small messages, and the document is fetched only by an entry that lacks it,
since it may take seconds on a slow link. Entries send the digests of API keys in place
of the keys, so that no entry keeps a key.
"""

import asyncio
from collections.abc import Callable
from math import ceil, inf
from typing import Any, Protocol

from expression import Result

from ...clock import Clock
from ...cluster.peers import MAX_MESSAGE_BYTES, MessageKind, PeerFailure
from ...configuration import Configuration
from ...decoding import DECODE_ERRORS, describe
from ...events import Event, log_event
from ...node_settings import NodeSettings
from ...platform.config import CONFIG_KEY, decode_configuration
from ...platform.tenants import digest_keys
from ...rejections import InputSource, Rejections

# Method of a call between entries: send the document of the configuration.
FETCH_METHOD = "configuration"
# The store usually delivers a new version within this time after a peer has it.
FETCH_DELAY_SECONDS = 0.25
# A stream that delivers nothing is closed after 2 s. Until then a document is on its
# way, and a second fetch would send it again. With 31 entries on a link of 5 Mbit/s,
# 1 MB takes 50 s.
FETCH_TIMEOUT_SECONDS = 120.0
# A version whose document this entry could not use is not fetched again for this long.
UNUSABLE_SECONDS = 10.0
# An entry without a configuration takes its first one only from a peer that knew for
# certain within this time that it is the newest. An earlier process of the entry may
# have applied a newer one than a peer that has long been cut off.
MAX_FIRST_AGE_SECONDS = 3.0
# A message with a larger document would end the stream.
MAX_SHARED_BYTES = MAX_MESSAGE_BYTES - 1024
# Limit of the age in an announcement of a peer that never knew.
MAX_AGE_SECONDS = 1e9


class Stream(Protocol):
    """What a replica uses of the stream to a peer."""

    transfer: asyncio.Task[None] | None

    def send(self, message: list[Any]) -> bool:
        """Queue a message; return False if the stream is closed."""

    async def call(
        self, method: str, argument: Any, timeout_seconds: float
    ) -> Result[tuple[int, Any], PeerFailure]:
        """Make a call and wait for its reply: status and payload."""


class ConfigurationReplica:
    """Holds the newest configuration that this entry has received.

    ``store_checked_at`` returns when the entry last knew from the store that it has the
    newest version. ``on_applied`` is called with each version that is put into force,
    before ``announce`` sends its announcement to all peers.
    """

    def __init__(
        self,
        settings: NodeSettings,
        clock: Clock,
        rejections: Rejections,
        store_checked_at: Callable[[], float],
        on_applied: Callable[[Configuration], None],
        announce: Callable[[list[Any]], None],
        store_answers: Callable[[], bool] = lambda: False,
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.rejections = rejections
        self.store_checked_at = store_checked_at
        self.on_applied = on_applied
        self.announce = announce
        # Whether new versions arrive from the store, so that none is fetched.
        self.store_answers = store_answers
        self.current: Configuration | None = None
        # The document of the present version with digests of keys, for peers.
        self.shared = b""
        # When a peer with the same version last knew that it is the newest.
        self.peer_checked_at = -inf
        self.fetching: asyncio.Task[None] | None = None
        # The last version that could not be used, and until when it is not fetched.
        self.unusable_version = -1
        self.unusable_until = -inf
        self.was_stale = False

    # Documents

    def apply_stored(self, document: bytes) -> None:
        """Apply a document of the store unless it is not newer than the present one."""
        has_workspaces = self.settings.has_workspaces
        configuration = self._decode(document, CONFIG_KEY, False)
        if configuration is None or not self._is_newer(configuration.version):
            return
        if has_workspaces:
            self.shared = self._digested(document, configuration)
        self._put_into_force(configuration)

    def _digested(self, document: bytes, configuration: Configuration) -> bytes:
        """Return the document for peers, empty if it cannot be sent to them."""
        try:
            digested = digest_keys(document, configuration.workspaces)
        except DECODE_ERRORS as error:
            self._reject(CONFIG_KEY, document, describe(error))
            return b""
        if len(digested) > MAX_SHARED_BYTES:
            self._reject(CONFIG_KEY, document, "the document is too large for peers")
            return b""
        return digested

    def apply_shared(self, document: bytes) -> None:
        """Apply a document of a peer unless it is not newer than the present one."""
        configuration = self._decode(document, "peer", True)
        if configuration is None or not self._is_newer(configuration.version):
            return
        self.shared = document
        self._put_into_force(configuration)

    def _decode(
        self, document: bytes, name: str, digested: bool
    ) -> Configuration | None:
        decoded = decode_configuration(document, self.settings.has_workspaces, digested)
        problems = [decoded.error] if decoded.is_error() else decoded.ok.rejected_rows
        for problem in problems:
            self._reject(name, document, problem)
        return decoded.ok if decoded.is_ok() else None

    def _reject(self, name: str, document: bytes, problem: str) -> None:
        self.rejections.add(
            InputSource.CONFIGURATION, name, hash((document, problem)), problem,
            Event.DOCUMENT_REJECTED,
        )  # fmt: skip

    def _is_newer(self, version: int) -> bool:
        return self.current is None or version > self.current.version

    def _put_into_force(self, configuration: Configuration) -> None:
        is_first = self.current is None
        self.current = configuration
        log_event(
            Event.DOCUMENT_APPLIED, name="configuration",
            generation=configuration.version, queues=len(configuration.queues),
        )  # fmt: skip
        if is_first:
            log_event(Event.ENTRY_READY, entry=self.settings.entry)
        self.on_applied(configuration)
        announcement = self.announcement()
        if announcement is not None:
            self.announce(announcement)

    # Age

    def checked_at(self) -> float:
        """Return when this entry last knew that its version is the newest."""
        return max(self.store_checked_at(), self.peer_checked_at)

    def is_stale(self) -> bool:
        """Return whether keys must be refused, as some may have been removed since."""
        settings = self.settings
        if not (settings.strict_revocation and settings.has_workspaces):
            return False
        age = self.clock.monotonic() - self.checked_at()
        stale = age > settings.revocation_seconds
        if stale != self.was_stale:
            self.was_stale = stale
            event = Event.CONFIGURATION_STALE if stale else Event.CONFIGURATION_CURRENT
            log_event(event, version=self.current and self.current.version)
        return stale

    # Announcements and fetches

    def announcement(self) -> list[Any] | None:
        """Return the message that announces the present version, None without one."""
        if not self.settings.has_workspaces or self.current is None:
            return None
        age = min(self.clock.monotonic() - self.checked_at(), MAX_AGE_SECONDS)
        return [
            MessageKind.CONFIGURATION, self.current.version, ceil(max(0.0, age) * 1000)
        ]  # fmt: skip

    def on_announcement(self, stream: Stream, version: int, age_ms: int) -> None:
        """Note the version of a peer, and fetch it unless it arrives from the store."""
        if not self.settings.has_workspaces:
            return
        now = self.clock.monotonic()
        checked_at = now - age_ms / 1000
        if self.current is not None and version == self.current.version:
            self.peer_checked_at = max(self.peer_checked_at, checked_at)
        if self.fetching is not None or not self._is_newer(version):
            return
        if self.current is None and now - checked_at > MAX_FIRST_AGE_SECONDS:
            return
        if version == self.unusable_version and now < self.unusable_until:
            return
        if self.store_answers():
            # Otherwise a large document would be sent to each entry twice.
            return
        task = asyncio.create_task(self._fetch(stream, version, checked_at))
        self.fetching = stream.transfer = task
        task.add_done_callback(lambda task: self._end_fetch(stream, task))

    def _end_fetch(self, stream: Stream, task: asyncio.Task[None]) -> None:
        self.fetching = stream.transfer = None
        if not task.cancelled() and task.exception() is not None:
            log_event(
                Event.BACKGROUND_TASK_FAILED, task="configuration",
                error=describe(task.exception() or ValueError()),
            )  # fmt: skip

    async def _fetch(self, stream: Stream, version: int, checked_at: float) -> None:
        await asyncio.sleep(FETCH_DELAY_SECONDS)
        if not self._is_newer(version):
            return
        reply = await stream.call(FETCH_METHOD, [], FETCH_TIMEOUT_SECONDS)
        if not self._is_newer(version):
            return
        if reply.is_error():
            self._log_failure(version, reply.error.name.lower())
            return
        status, document = reply.ok
        if status != 0:
            self._log_failure(version, "the peer has no document")
            return
        if isinstance(document, bytes):
            self.apply_shared(document)
        if self._is_newer(version):
            self.unusable_version = version
            self.unusable_until = self.clock.monotonic() + UNUSABLE_SECONDS
            self._log_failure(version, "unusable")
            return
        self.peer_checked_at = max(self.peer_checked_at, checked_at)
        log_event(Event.CONFIGURATION_FETCHED, version=version, bytes=len(document))

    def _log_failure(self, version: int, reason: str) -> None:
        log_event(Event.CONFIGURATION_FETCH_FAILED, version=version, reason=reason)

    def answer_fetch(self) -> tuple[int, Any]:
        """Answer the fetch of a peer: status 1 if this entry has no document."""
        return (0, self.shared) if self.shared else (1, None)
