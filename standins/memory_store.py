"""In-memory metadata store with revisions, transactions, leases and faults."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from expression import Error, Ok, Result

from ebonyhub.cluster.metadata_store import (
    Batch,
    CommitFailure,
    Item,
    StoreFailure,
    Transaction,
)
from ebonyhub.ids import Revision, StoreLease

# Interval at which a pending watch checks for changes.
POLL_SECONDS = 0.005


@dataclass
class StoreCore:
    """State of the store, shared by its callers; ``clock`` returns seconds."""

    clock: Callable[[], float]
    revision: int = 1
    items: dict[str, Item] = field(default_factory=dict)
    history: list[Item] = field(default_factory=list)
    compacted_before: int = 0
    # By lease: when it expires, and its duration in seconds.
    leases: dict[int, tuple[float, float]] = field(default_factory=dict)
    next_lease: int = 100

    def expire_leases(self) -> None:
        """End the leases whose time is over."""
        now = self.clock()
        for lease in [k for k, (end, _) in self.leases.items() if end <= now]:
            self.end_lease(lease)

    def end_lease(self, lease: int) -> None:
        """End a lease and remove its keys, all in one revision."""
        if self.leases.pop(lease, None) is None:
            return
        keys = [key for key, item in self.items.items() if item.lease == lease]
        if keys:
            self.revision += 1
            for key in keys:
                self._remove(key)

    def _remove(self, key: str) -> None:
        if self.items.pop(key, None) is not None:
            self.history.append(Item(key, None, Revision(self.revision)))

    def put(self, key: str, value: bytes, lease: int = 0) -> None:
        """Write a key unconditionally, as operators and workers do."""
        self.revision += 1
        self._write(key, value, lease)

    def _write(self, key: str, value: bytes, lease: int) -> None:
        item = Item(key, value, Revision(self.revision), StoreLease(lease))
        self.items[key] = item
        self.history.append(item)

    def delete(self, key: str) -> None:
        """Remove a key unconditionally."""
        self.revision += 1
        self._remove(key)

    def commit(self, transaction: Transaction) -> Result[Revision, CommitFailure]:
        """Apply a transaction if its conditions hold and its leases are valid."""
        self.expire_leases()
        conditions = transaction.conditions
        conflicting = any(
            (self.items[key].revision if key in self.items else 0) != revision
            for key, revision in conditions.items()
        )
        if conflicting:
            current = {key: self.items[key] for key in conditions if key in self.items}
            return Error(CommitFailure(StoreFailure.CONFLICT, current))
        if any(w.lease and w.lease not in self.leases for w in transaction.writes):
            return Error(CommitFailure(StoreFailure.LEASE_ENDED))
        self.revision += 1
        for write in transaction.writes:
            self._write(write.key, write.value, write.lease)
        for key in transaction.removals:
            self._remove(key)
        return Ok(Revision(self.revision))

    def list_prefix(self, prefix: str) -> list[Item]:
        """Return the items whose key starts with a prefix, sorted by key."""
        self.expire_leases()
        return [self.items[key] for key in sorted(self.items) if key.startswith(prefix)]

    def changes_after(
        self, prefix: str, after: int
    ) -> Result[list[Item], StoreFailure]:
        """Return the changes after a revision, or COMPACTED if some were dropped."""
        self.expire_leases()
        if after < self.compacted_before:
            return Error(StoreFailure.COMPACTED)
        rows = [i for i in self.history if i.revision > after]
        return Ok([item for item in rows if item.key.startswith(prefix)])

    def compact_history(self) -> None:
        """Drop the change history up to the current revision."""
        self.history.clear()
        self.compacted_before = self.revision

    def grant_lease(self, seconds: float) -> StoreLease:
        """Grant a lease with a duration in seconds."""
        self.next_lease += 1
        self.leases[self.next_lease] = (self.clock() + seconds, seconds)
        return StoreLease(self.next_lease)

    def renew_lease(self, lease: int) -> bool:
        """Renew a lease for its full duration; False if it has ended."""
        self.expire_leases()
        if lease not in self.leases:
            return False
        _, seconds = self.leases[lease]
        self.leases[lease] = (self.clock() + seconds, seconds)
        return True


class MemoryStore:
    """One caller's connection to the store, with faults of its own."""

    def __init__(self, core: StoreCore) -> None:
        self.core = core
        self.down = False
        # Number of coming commits that take effect while their answer is lost.
        self.answers_to_lose = 0

    @property
    def failing(self) -> bool:
        """Return whether the caller cannot reach the store."""
        return self.down

    async def get(self, key: str) -> Result[Item | None, StoreFailure]:
        """Read the item of one key; None if there is none."""
        if self.down:
            return Error(StoreFailure.REFUSED)
        self.core.expire_leases()
        return Ok(self.core.items.get(key))

    async def list(self, prefix: str) -> Result[Batch, StoreFailure]:
        """Read all items below a prefix and the revision of the listing."""
        if self.down:
            return Error(StoreFailure.REFUSED)
        items = self.core.list_prefix(prefix)
        return Ok(Batch(items, Revision(self.core.revision)))

    async def watch(
        self, prefix: str, after: Revision, wait_seconds: float
    ) -> Result[Batch, StoreFailure]:
        """Wait up to ``wait_seconds`` for changes after a revision."""
        loop = asyncio.get_running_loop()
        end = loop.time() + wait_seconds
        while True:
            if self.down:
                return Error(StoreFailure.REFUSED)
            found = self.core.changes_after(prefix, after)
            if found.is_error():
                return Error(found.error)
            if found.ok or loop.time() >= end:
                return Ok(Batch(found.ok, Revision(self.core.revision)))
            await asyncio.sleep(POLL_SECONDS)

    async def commit(self, transaction: Transaction) -> Result[Revision, CommitFailure]:
        """Apply a transaction; UNKNOWN if its answer is lost."""
        if self.down:
            return Error(CommitFailure(StoreFailure.REFUSED))
        result = self.core.commit(transaction)
        if self.answers_to_lose:
            self.answers_to_lose -= 1
            return Error(CommitFailure(StoreFailure.UNKNOWN))
        return result

    async def grant_lease(self, ttl_seconds: float) -> Result[StoreLease, StoreFailure]:
        """Grant a lease with a duration in seconds."""
        if self.down:
            return Error(StoreFailure.REFUSED)
        return Ok(self.core.grant_lease(ttl_seconds))

    async def renew_lease(self, lease: StoreLease) -> Result[None, StoreFailure]:
        """Renew a lease for its full duration."""
        if self.down:
            return Error(StoreFailure.REFUSED)
        if not self.core.renew_lease(lease):
            return Error(StoreFailure.LEASE_ENDED)
        return Ok(None)

    async def end_lease(self, lease: StoreLease) -> Result[None, StoreFailure]:
        """End a lease, which removes its keys."""
        if self.down:
            return Error(StoreFailure.REFUSED)
        self.core.end_lease(lease)
        return Ok(None)
