"""Leader election for the scheduler, based on a leased key in the store.

The revision that wrote the key is the fencing token of the leader's orders and a
condition of each of its commits. Safety depends on the token alone; the lease only
bounds how long an unresponsive leader blocks its successor.
"""

from dataclasses import dataclass
from typing import Annotated

import msgspec
from expression import Error, Ok, Result

from ..clock import Clock
from ..decoding import Count, Name, try_decode
from ..events import Event, log_event
from ..ids import EntryId, LeaderToken, Revision, StoreLease
from .metadata_store import (
    ABSENT,
    Item,
    MetadataStore,
    StoreFailure,
    Transaction,
    Write,
)

LEADER_KEY = "eb/n/leader"
# Followed by an entry id; the value is the address of that entry's peer listener.
ENTRY_ADDRESS_PREFIX = "eb/n/e/"
# Slightly above the platform's shortest lease, because no task starts until the lease
# of an unresponsive leader has expired. Leaves time for four renewals, even if the
# store takes 250 ms to answer.
LEASE_SECONDS = 1.2
RENEW_INTERVAL_SECONDS = 0.25


class LeaderRecord(msgspec.Struct, frozen=True, array_like=True):
    """Value stored under the leader key."""

    entry: Annotated[EntryId, msgspec.Meta(max_length=256)]
    address: Name
    # Start of the leader's process, in ms since the Unix epoch.
    started_ms: Count


_decode_leader_record = msgspec.msgpack.Decoder(LeaderRecord).decode


@dataclass(frozen=True, slots=True)
class Leader:
    """The leader recorded in the store, with the revision of the record."""

    record: LeaderRecord
    revision: Revision


@dataclass(slots=True)
class Term:
    """A period in which this entry leads; times are in monotonic seconds."""

    token: LeaderToken
    lease: StoreLease
    valid_until: float
    ended: bool = False

    def is_valid(self, now: float) -> bool:
        """Return whether the lease is certain not to have expired yet."""
        return not self.ended and now < self.valid_until


# Stands for a leader key that cannot be read. No entry has this address, so the key is
# replaced like that of a leader whose process has ended.
UNREADABLE_LEADER = LeaderRecord(EntryId(""), "", 0)


def decode_leader_record(value: bytes) -> Result[LeaderRecord, str]:
    """Decode a value of the leader key; the error is a text for the log."""
    return try_decode(_decode_leader_record, value)


def decode_leader(item: Item | None) -> Leader | None:
    """Decode the leader key; None if the key is absent or deleted.

    A key that cannot be read still has a revision, which a successor must name.
    """
    if item is None or item.value is None:
        return None
    decoded = decode_leader_record(item.value)
    record = decoded.ok if decoded.is_ok() else UNREADABLE_LEADER
    return Leader(record, item.revision)


class LeaderElection:
    """Acquires, renews and resigns leadership through the store."""

    def __init__(
        self, store: MetadataStore, clock: Clock, record: LeaderRecord
    ) -> None:
        self.store = store
        self.clock = clock
        self.record = record

    async def acquire(
        self, expected_revision: Revision = ABSENT
    ) -> Result[Term, StoreFailure]:
        """Become leader if the key is still at ``expected_revision``.

        Fails with CONFLICT if another entry wrote the key first.
        """
        sent_at = self.clock.monotonic()
        granted = await self.store.grant_lease(LEASE_SECONDS)
        if granted.is_error():
            return Error(granted.error)
        value = msgspec.msgpack.encode(self.record)
        committed = await self.store.commit(
            Transaction(
                {LEADER_KEY: expected_revision}, (Write(LEADER_KEY, value, granted.ok),)
            )
        )
        if committed.is_error():
            # If the commit is carried out late, its lease no longer exists.
            await self.store.end_lease(granted.ok)
            return Error(committed.error.kind)
        token = LeaderToken(int(committed.ok))
        log_event(Event.LEADERSHIP_TAKEN, token=token, replaced=expected_revision)
        return Ok(Term(token, granted.ok, sent_at + LEASE_SECONDS))

    async def renew(self, term: Term) -> Result[None, StoreFailure]:
        """Renew the lease; the new expiry counts from before the call was sent."""
        sent_at = self.clock.monotonic()
        renewed = await self.store.renew_lease(term.lease)
        if renewed.is_error():
            return Error(renewed.error)
        term.valid_until = max(term.valid_until, sent_at + LEASE_SECONDS)
        return Ok(None)

    async def resign(self, term: Term) -> None:
        """End the term and its lease, so that another entry can lead at once."""
        term.ended = True
        await self.store.end_lease(term.lease)
