"""HTTP client of the platform's metadata store."""

import base64
from typing import Any, TypeVar
from urllib.parse import quote

import msgspec
from expression import Error, Ok, Result

from ..clock import Clock
from ..cluster.metadata_store import (
    Batch,
    CommitFailure,
    Item,
    StoreFailure,
    Transaction,
)
from ..events import Event, log_event
from ..http_client import SmallResponse
from ..http_session import HttpSession
from ..ids import Revision, StoreLease
from ..metrics import Metrics

# A healthy store answers within milliseconds, a slow one within 250 ms.
CALL_TIMEOUT_SECONDS = 0.7
# Shorter, so that a renewal whose answer is lost is repeated before the lease expires.
RENEWAL_TIMEOUT_SECONDS = 0.4
CONNECTION_LIMIT = 16
# A failure counts for this long unless a call succeeds; watches retry more often.
FAILURE_WINDOW_SECONDS = 1.5

AnswerT = TypeVar("AnswerT")


class ItemRow(msgspec.Struct):
    """An item, or a watch event that reports the deletion of a key."""

    key: str = msgspec.field(name="Key")
    revision: int = msgspec.field(name="Revision")
    # Encoded in base64 on the wire.
    value: bytes | None = msgspec.field(name="Value", default=None)
    lease: int | None = msgspec.field(name="Lease", default=None)
    deleted: bool = msgspec.field(name="Deleted", default=False)

    def to_item(self) -> Item:
        """Convert to an item; its value is None if the key was deleted."""
        value = None if self.deleted else self.value or b""
        lease = StoreLease(self.lease or 0)
        return Item(self.key, value, Revision(self.revision), lease)


class RangeAnswer(msgspec.Struct):
    """One page of a prefix listing."""

    revision: int = msgspec.field(name="AtRevision")
    items: list[ItemRow] = msgspec.field(default_factory=list)
    has_more: bool = msgspec.field(name="HasMore", default=False)


class WatchAnswer(msgspec.Struct):
    """Answer to a watch: changes after the requested revision."""

    revision: int = msgspec.field(name="AtRevision")
    events: list[ItemRow] = msgspec.field(default_factory=list)


class CommitAnswer(msgspec.Struct):
    """Answer to a commit: the new revision, or on a conflict the present items."""

    revision: int = msgspec.field(name="Revision", default=0)
    items: list[ItemRow] = msgspec.field(default_factory=list)


class LeaseAnswer(msgspec.Struct):
    """Answer to the creation of a lease."""

    lease: int = msgspec.field(name="Lease")


class PlatformStore:
    """Implements MetadataStore over HTTP."""

    def __init__(self, address: str, clock: Clock, metrics: Metrics) -> None:
        self.session = HttpSession(address, clock, CONNECTION_LIMIT)
        self.clock = clock
        self.metrics = metrics
        self.last_answer_at = float("-inf")
        self.last_failure_at = float("-inf")

    @property
    def failing(self) -> bool:
        """Whether a recent call failed and none has succeeded since."""
        recent = self.clock.monotonic() - self.last_failure_at < FAILURE_WINDOW_SECONDS
        return recent and self.last_failure_at > self.last_answer_at

    async def _call(
        self,
        operation: str,
        method: bytes,
        target: str,
        body: Any = None,
        extra_seconds: float = 0.0,
    ) -> Result[SmallResponse, StoreFailure]:
        """Make one call; a 429 or 5xx answer means that nothing was done."""
        encoded = None if body is None else msgspec.json.encode(body)
        result = await self.session.call(
            method, target.encode(), encoded, CALL_TIMEOUT_SECONDS + extra_seconds
        )
        if result.is_error():
            self.last_failure_at = self.clock.monotonic()
            self.metrics.store_calls.labels(operation, result.error.kind.value).inc()
            written = result.error.any_bytes_written
            return Error(StoreFailure.UNKNOWN if written else StoreFailure.REFUSED)
        status = result.ok.status
        self.metrics.store_calls.labels(operation, str(status)).inc()
        if status == 429 or status >= 500:
            self.last_failure_at = self.clock.monotonic()
            return Error(StoreFailure.REFUSED)
        self.last_answer_at = self.clock.monotonic()
        return Ok(result.ok)

    async def get(self, key: str) -> Result[Item | None, StoreFailure]:
        """Read one key; the result is None if the key does not exist."""
        result = await self._call("get", b"GET", f"/kv-key?Key={quote(key, safe='')}")
        if result.is_error():
            return Error(result.error)
        if result.ok.status == 404:
            return Ok(None)
        row = self._decode("get", result.ok, ItemRow)
        return Ok(row.to_item()) if row else Error(StoreFailure.UNKNOWN)

    def _decode(
        self, operation: str, answer: SmallResponse, answer_type: type[AnswerT]
    ) -> AnswerT | None:
        """Decode an answer; one that cannot be decoded counts as lost."""
        try:
            return msgspec.json.decode(answer.body, type=answer_type)
        except msgspec.MsgspecError as error:
            self.last_failure_at = self.clock.monotonic()
            log_event(
                Event.PLATFORM_ANSWER_UNREADABLE, call=operation, error=repr(error)
            )
            return None

    async def list(self, prefix: str) -> Result[Batch, StoreFailure]:
        """Read all keys that start with a prefix, page by page."""
        items: list[Item] = []
        revision: Revision | None = None
        after = ""
        while True:
            target = f"/kv-range?PathPrefix={quote(prefix, safe='')}"
            if after:
                target += f"&After={quote(after, safe='')}"
            result = await self._call("list", b"GET", target)
            if result.is_error():
                return Error(result.error)
            page = self._decode("list", result.ok, RangeAnswer)
            if page is None:
                return Error(StoreFailure.UNKNOWN)
            if revision is None:
                revision = Revision(page.revision)
            items += [row.to_item() for row in page.items]
            if not page.has_more or not page.items:
                return Ok(Batch(items, revision))
            after = page.items[-1].key

    async def watch(
        self, prefix: str, after: Revision, wait_seconds: float
    ) -> Result[Batch, StoreFailure]:
        """Wait up to ``wait_seconds`` for changes after a revision."""
        target = (
            f"/kv-watch?PathPrefix={quote(prefix, safe='')}"
            f"&After={after}&WaitMs={int(wait_seconds * 1000)}"
        )
        result = await self._call("watch", b"GET", target, extra_seconds=wait_seconds)
        if result.is_error():
            return Error(result.error)
        if result.ok.status == 410:
            return Error(StoreFailure.COMPACTED)
        answer = self._decode("watch", result.ok, WatchAnswer)
        if answer is None:
            return Error(StoreFailure.UNKNOWN)
        events = [row.to_item() for row in answer.events]
        return Ok(Batch(events, Revision(answer.revision)))

    async def commit(self, transaction: Transaction) -> Result[Revision, CommitFailure]:
        """Apply a transaction atomically; return the revision that it created."""
        body = {
            "Expect": [
                {"Key": key, "Revision": revision}
                for key, revision in transaction.conditions.items()
            ],
            "Puts": [
                {
                    "Key": write.key,
                    "Value": base64.b64encode(write.value).decode(),
                    "Lease": write.lease,
                }
                for write in transaction.writes
            ],
            "Remove": list(transaction.removals),
        }
        result = await self._call("commit", b"POST", "/kv-txn", body)
        if result.is_error():
            return Error(CommitFailure(result.error))
        if result.ok.status == 404:
            return Error(CommitFailure(StoreFailure.LEASE_ENDED))
        answer = self._decode("commit", result.ok, CommitAnswer)
        if answer is None:
            return Error(CommitFailure(StoreFailure.UNKNOWN))
        if result.ok.status == 412:
            found = {row.key: row.to_item() for row in answer.items}
            return Error(CommitFailure(StoreFailure.CONFLICT, found))
        return Ok(Revision(answer.revision))

    async def grant_lease(self, ttl_seconds: float) -> Result[StoreLease, StoreFailure]:
        """Create a lease; its duration counts from the arrival of the call."""
        body = {"TtlMs": int(ttl_seconds * 1000)}
        result = await self._call("grant_lease", b"POST", "/kv-lease", body)
        if result.is_error():
            return Error(result.error)
        answer = self._decode("grant_lease", result.ok, LeaseAnswer)
        return Ok(StoreLease(answer.lease)) if answer else Error(StoreFailure.UNKNOWN)

    async def renew_lease(self, lease: StoreLease) -> Result[None, StoreFailure]:
        """Renew a lease for its full duration; fails with LEASE_ENDED if it is gone."""
        result = await self._call(
            "renew_lease",
            b"POST",
            f"/kv-keep/{lease}",
            {},
            extra_seconds=RENEWAL_TIMEOUT_SECONDS - CALL_TIMEOUT_SECONDS,
        )
        if result.is_error():
            return Error(result.error)
        if result.ok.status == 404:
            return Error(StoreFailure.LEASE_ENDED)
        return Ok(None)

    async def end_lease(self, lease: StoreLease) -> Result[None, StoreFailure]:
        """Revoke a lease; the store deletes the keys attached to it."""
        result = await self._call("end_lease", b"DELETE", f"/kv-lease-end/{lease}")
        return Error(result.error) if result.is_error() else Ok(None)
