"""Interface of the replicated key-value store that holds all persistent state.

A commit whose answer is lost may still be applied, even seconds later, if its
conditions hold at that time. Every write that depends on the current value therefore
names the revision that it replaces.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from expression import Result

from ..ids import Revision, StoreLease

ABSENT = Revision(0)
NO_LEASE = StoreLease(0)

# Platform limit on the conditions, writes and removals in one transaction, together.
MAX_TRANSACTION_OPERATIONS = 32


class StoreFailure(Enum):
    """Why a store call returned no result."""

    # Nothing was done.
    REFUSED = "refused"
    # No usable answer arrived; a write may have been applied or may be applied later.
    UNKNOWN = "unknown"
    # A condition did not hold.
    CONFLICT = "conflict"
    # The lease expired or was revoked.
    LEASE_ENDED = "lease_ended"
    # The history that the requested revision needs has been compacted.
    COMPACTED = "compacted"


@dataclass(frozen=True, slots=True)
class Item:
    """A key, its value and the revision that wrote it; the value is None if deleted."""

    key: str
    value: bytes | None
    revision: Revision
    lease: StoreLease = NO_LEASE


@dataclass(frozen=True, slots=True)
class Batch:
    """Items of a listing or watch, complete up to a store revision.

    Not ``complete`` if a row named no key and was left out.
    """

    items: Sequence[Item]
    revision: Revision
    complete: bool = True


@dataclass(frozen=True, slots=True)
class Write:
    """New value of a key."""

    key: str
    value: bytes
    lease: StoreLease = NO_LEASE


@dataclass(frozen=True, slots=True)
class Transaction:
    """Writes and removals that are applied atomically if all conditions hold.

    A condition maps a key to its required revision; ABSENT requires that the key does
    not exist.
    """

    conditions: Mapping[str, Revision]
    writes: Sequence[Write] = ()
    removals: Sequence[str] = ()

    @property
    def operation_count(self) -> int:
        """Number of operations counted against MAX_TRANSACTION_OPERATIONS."""
        return len(self.conditions) + len(self.writes) + len(self.removals)


@dataclass(frozen=True, slots=True)
class CommitFailure:
    """Why a transaction failed; on CONFLICT, ``current`` holds the present items."""

    kind: StoreFailure
    current: Mapping[str, Item] = field(default_factory=dict)


class MetadataStore(Protocol):
    """Store client; each method makes at least one call, and calls are billed."""

    @property
    def failing(self) -> bool:
        """Whether the latest store call made anywhere in this process failed."""

    async def get(self, key: str) -> Result[Item | None, StoreFailure]:
        """Read one key; the result is None if the key does not exist."""

    async def list(self, prefix: str) -> Result[Batch, StoreFailure]:
        """Read all keys that start with a prefix.

        The batch revision is that of the first page, so a watch from it may repeat
        changes but cannot miss any.
        """

    async def watch(
        self, prefix: str, after: Revision, wait_seconds: float
    ) -> Result[Batch, StoreFailure]:
        """Wait up to ``wait_seconds`` for changes after a revision.

        Fails with COMPACTED if the history since that revision is gone.
        """

    async def commit(self, transaction: Transaction) -> Result[Revision, CommitFailure]:
        """Apply a transaction atomically; return the revision that it created."""

    async def grant_lease(self, ttl_seconds: float) -> Result[StoreLease, StoreFailure]:
        """Create a lease; its duration counts from the arrival of the call."""

    async def renew_lease(self, lease: StoreLease) -> Result[None, StoreFailure]:
        """Renew a lease for its full duration.

        Fails with LEASE_ENDED if the lease has expired or was revoked.
        """

    async def end_lease(self, lease: StoreLease) -> Result[None, StoreFailure]:
        """Revoke a lease; the store deletes the keys attached to it."""
