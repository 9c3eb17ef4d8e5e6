"""HTTP client of the platform's metadata store."""

import base64
from collections.abc import Iterable
from typing import Annotated, Any, TypeVar
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
from ..decoding import MAX_INTEGER, Count, try_decode
from ..events import Event
from ..http_client import SmallResponse
from ..http_session import HttpSession
from ..ids import Revision, StoreLease
from ..metrics import Metrics
from ..rejections import InputSource, Rejections

# A healthy store answers within milliseconds, a slow one within 250 ms.
CALL_TIMEOUT_SECONDS = 0.7
# Shorter, so that a renewal whose answer is lost is repeated before the lease expires.
RENEWAL_TIMEOUT_SECONDS = 0.4
CONNECTION_LIMIT = 16
# A failure counts for this long unless a call succeeds; watches retry more often.
FAILURE_WINDOW_SECONDS = 1.5

# Limit on the pages of one listing, each of about 500 items.
MAX_PAGES = 4_000

AnswerT = TypeVar("AnswerT")
Key = Annotated[str, msgspec.Meta(max_length=1024)]
PositiveCount = Annotated[int, msgspec.Meta(ge=1, le=MAX_INTEGER)]
# Ids of leases are not counted, so they may take all 63 bits.
LeaseNumber = Annotated[int, msgspec.Meta(ge=1, le=2**63 - 1)]


class ItemRow(msgspec.Struct, rename="pascal"):
    """An item, or a watch event that reports the deletion of a key."""

    key: Key
    revision: Count
    # Encoded in base64 on the wire.
    value: bytes | None = None
    lease: Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)] | None = None
    deleted: bool = False

    def to_item(self) -> Item:
        """Convert to an item; its value is None if the key was deleted."""
        value = None if self.deleted else self.value or b""
        lease = StoreLease(self.lease or 0)
        return Item(self.key, value, Revision(self.revision), lease)


class KeyRow(msgspec.Struct, rename="pascal"):
    """The key of an item whose other fields cannot be used."""

    key: Key


class RangeAnswer(msgspec.Struct):
    """One page of a prefix listing; its rows are decoded one by one."""

    revision: Count = msgspec.field(name="AtRevision")
    items: list[msgspec.Raw] = msgspec.field(default_factory=list)
    has_more: bool = msgspec.field(name="HasMore", default=False)


class WatchAnswer(msgspec.Struct):
    """Answer to a watch: changes after the requested revision."""

    revision: Count = msgspec.field(name="AtRevision")
    events: list[msgspec.Raw] = msgspec.field(default_factory=list)


class CommitAnswer(msgspec.Struct):
    """Answer to a commit that was applied."""

    revision: PositiveCount = msgspec.field(name="Revision")


class ConflictAnswer(msgspec.Struct):
    """Answer to a commit of which a condition did not hold: the present items."""

    items: list[msgspec.Raw] = msgspec.field(default_factory=list)


class LeaseAnswer(msgspec.Struct):
    """Answer to the creation of a lease."""

    lease: LeaseNumber = msgspec.field(name="Lease")


_decode_item_row = msgspec.json.Decoder(ItemRow).decode
_decode_key_row = msgspec.json.Decoder(KeyRow).decode


class PlatformStore:
    """Implements MetadataStore over HTTP."""

    def __init__(self, address: str, clock: Clock, metrics: Metrics) -> None:
        self.session = HttpSession(address, clock, CONNECTION_LIMIT)
        self.clock = clock
        self.metrics = metrics
        self.rejections = Rejections(metrics, clock)
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
            method, target.encode(), encoded, CALL_TIMEOUT_SECONDS + extra_seconds,
            (), max(0.0, extra_seconds),
        )  # fmt: skip
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
        if result.ok.status != 200:
            return Error(StoreFailure.UNKNOWN)
        items = self._items([result.ok.body], "", Revision(0))
        if not items or items[0].key != key:
            self._note_unreadable("get", "no item of the key")
            return Error(StoreFailure.UNKNOWN)
        return Ok(items[0])

    def _decode(
        self, operation: str, answer: SmallResponse, answer_type: type[AnswerT]
    ) -> AnswerT | None:
        """Decode an answer; one that cannot be decoded counts as lost."""
        decoded = try_decode(msgspec.json.Decoder(answer_type).decode, answer.body)
        if decoded.is_ok():
            return decoded.ok
        self._note_unreadable(operation, decoded.error)
        return None

    def _note_unreadable(self, operation: str, error: str) -> None:
        self.last_failure_at = self.clock.monotonic()
        minute = int(self.clock.monotonic() // 60)
        self.rejections.add(
            InputSource.STORE,
            operation,
            minute,
            error,
            Event.PLATFORM_ANSWER_UNREADABLE,
        )

    def _items(
        self, rows: Iterable[bytes], prefix: str, revision: Revision
    ) -> list[Item]:
        """Decode the rows of an answer; one without a key below the prefix is left out.

        An item of which only the key can be read gets an empty value and the revision
        of the answer: if it were left out, it would count as deleted.
        """
        items = []
        for row in rows:
            decoded = try_decode(_decode_item_row, bytes(row))
            if decoded.is_ok():
                item = decoded.ok.to_item()
            else:
                named = try_decode(_decode_key_row, bytes(row))
                if named.is_error():
                    self._reject(prefix, bytes(row), decoded.error)
                    continue
                self._reject(named.ok.key, bytes(row), decoded.error)
                item = Item(named.ok.key, b"", revision)
            if item.key.startswith(prefix):
                items.append(item)
            else:
                self._reject(item.key, bytes(row), f"outside the prefix {prefix}")
        return items

    def _reject(self, name: str, row: bytes, error: str) -> None:
        self.rejections.add(InputSource.STORE, name, row, error)

    async def list(self, prefix: str) -> Result[Batch, StoreFailure]:
        """Read all keys that start with a prefix, page by page."""
        items: list[Item] = []
        revision: Revision | None = None
        after, complete = "", True
        for _ in range(MAX_PAGES):
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
            found = self._items(page.items, prefix, Revision(page.revision))
            items += found
            complete = complete and len(found) == len(page.items)
            if not page.has_more:
                return Ok(Batch(items, revision, complete))
            if not found or found[-1].key == after:
                break
            after = found[-1].key
        # A listing without its end would make the items there look deleted.
        self._note_unreadable("list", "the pages of a listing do not end")
        return Error(StoreFailure.UNKNOWN)

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
        revision = Revision(answer.revision)
        return Ok(Batch(self._items(answer.events, prefix, revision), revision))

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
        if result.ok.status == 412:
            conflict = self._decode("commit", result.ok, ConflictAnswer)
            if conflict is None:
                return Error(CommitFailure(StoreFailure.UNKNOWN))
            rows = self._items(conflict.items, "", Revision(0))
            found = {i.key: i for i in rows if i.key in transaction.conditions}
            return Error(CommitFailure(StoreFailure.CONFLICT, found))
        if 400 <= result.ok.status < 500:
            return Error(CommitFailure(StoreFailure.REFUSED))
        answer = self._decode("commit", result.ok, CommitAnswer)
        if answer is None:
            return Error(CommitFailure(StoreFailure.UNKNOWN))
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
        if result.ok.status >= 300:
            return Error(StoreFailure.REFUSED)
        return Ok(None)

    async def end_lease(self, lease: StoreLease) -> Result[None, StoreFailure]:
        """Revoke a lease; the store deletes the keys attached to it."""
        result = await self._call("end_lease", b"DELETE", f"/kv-lease-end/{lease}")
        return Error(result.error) if result.is_error() else Ok(None)
