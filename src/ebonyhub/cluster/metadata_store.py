"""Interface of the store that holds everything that outlives a process.

A commit whose answer is lost may be carried out, also seconds later if its conditions
still hold. Every write therefore states the revision that it replaces.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from expression import Result

from ..ids import Revision, StoreLease

ABSENT = Revision(0)
NO_LEASE = StoreLease(0)

# Rows of conditions, writes and removals in one transaction, a limit of the platform.
MAX_TRANSACTION_OPERATIONS = 32


class StoreFailure(Enum):
    """Why a call to the store gave no result."""

    # Nothing was done.
    REFUSED = "refused"
    # A write may be carried out, now or later.
    UNKNOWN = "unknown"
    # A condition did not hold.
    CONFLICT = "conflict"
    # The lease has ended.
    LEASE_ENDED = "lease_ended"
    # The history before the wanted revision was dropped.
    COMPACTED = "compacted"


@dataclass(frozen=True, slots=True)
class Item:
    """A key with its value and the revision that wrote it; no value if deleted."""

    key: str
    value: bytes | None
    revision: Revision
    lease: StoreLease = NO_LEASE


@dataclass(frozen=True, slots=True)
class Batch:
    """Items together with the store revision up to which they are complete."""

    items: Sequence[Item]
    revision: Revision


@dataclass(frozen=True, slots=True)
class Write:
    """New value of a key."""

    key: str
    value: bytes
    lease: StoreLease = NO_LEASE


@dataclass(frozen=True, slots=True)
class Transaction:
    """Writes and removals that happen together if all conditions hold."""

    conditions: Mapping[str, Revision]
    writes: Sequence[Write] = ()
    removals: Sequence[str] = ()

    @property
    def operation_count(self) -> int:
        """Return the number of rows that count towards the platform's limit."""
        return len(self.conditions) + len(self.writes) + len(self.removals)


@dataclass(frozen=True, slots=True)
class CommitFailure:
    """Why a transaction failed, with the current items if a condition did not hold."""

    kind: StoreFailure
    current: Mapping[str, Item] = field(default_factory=dict)


class MetadataStore(Protocol):
    """Typed interface of the store; every method is at least one priced call."""

    @property
    def failing(self) -> bool:
        """Return whether the latest call failed, from any part of this process."""

    async def get(self, key: str) -> Result[Item | None, StoreFailure]:
        """Read one key; None if it does not exist."""

    async def list(self, prefix: str) -> Result[Batch, StoreFailure]:
        """Read all keys below a prefix.

        The revision is the one before the first page, so a watch from there repeats
        changes rather than missing them.
        """

    async def watch(
        self, prefix: str, after: Revision, wait_seconds: float
    ) -> Result[Batch, StoreFailure]:
        """Wait for changes after a revision; errors include COMPACTED."""

    async def commit(self, transaction: Transaction) -> Result[Revision, CommitFailure]:
        """Carry out a transaction."""

    async def grant_lease(self, ttl_seconds: float) -> Result[StoreLease, StoreFailure]:
        """Create a lease that runs from the arrival of the call."""

    async def renew_lease(self, lease: StoreLease) -> Result[None, StoreFailure]:
        """Extend a lease by its full duration; errors include LEASE_ENDED."""

    async def end_lease(self, lease: StoreLease) -> Result[None, StoreFailure]:
        """End a lease and remove the keys bound to it."""
