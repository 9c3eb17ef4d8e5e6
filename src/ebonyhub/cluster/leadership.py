"""Leadership of the scheduler: one entry at a time, by a leased key of the store.

The revision that wrote the key is the fencing token of the leader's orders and a
condition of each of its commits. Safety rests on the token; the lease only bounds
how long a silent leader keeps others waiting.
"""

from dataclasses import dataclass

import msgspec
from expression import Error, Ok, Result

from ..clock import Clock
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
# Followed by an entry's id: the address of its peer listener.
ENTRY_ADDRESS_PREFIX = "eb/n/e/"
# Seconds. Little more than the platform's shortest lease, since nothing starts until a
# silent leader's lease has ended; four renewals fit in, also at a store that takes a
# quarter of a second.
LEASE_SECONDS = 1.2
RENEW_INTERVAL_SECONDS = 0.25


class LeaderRecord(msgspec.Struct, frozen=True, array_like=True):
    """Value of the leader's key."""

    entry: EntryId
    address: str
    # Start of the leader's process, ms since 1970.
    started_ms: int


@dataclass(frozen=True, slots=True)
class Leader:
    """The leader as the store names it."""

    record: LeaderRecord
    revision: Revision


@dataclass(slots=True)
class Term:
    """This entry's own leadership; times are monotonic seconds."""

    token: LeaderToken
    lease: StoreLease
    valid_until: float
    ended: bool = False

    def is_valid(self, now: float) -> bool:
        """Return whether the lease has surely not run out."""
        return not self.ended and now < self.valid_until


def decode_leader(item: Item | None) -> Leader | None:
    """Return the leader that the key names, None if there is none."""
    if item is None or item.value is None:
        return None
    record = msgspec.msgpack.decode(item.value, type=LeaderRecord)
    return Leader(record, item.revision)


class LeaderElection:
    """Takes, renews and gives up leadership in the store."""

    def __init__(
        self, store: MetadataStore, clock: Clock, record: LeaderRecord
    ) -> None:
        self.store = store
        self.clock = clock
        self.record = record

    async def acquire(
        self, expected_revision: Revision = ABSENT
    ) -> Result[Term, StoreFailure]:
        """Take leadership if the key still has the revision ``replaced``."""
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
            # A commit that is still under way writes a key whose lease has ended.
            await self.store.end_lease(granted.ok)
            return Error(committed.error.kind)
        token = LeaderToken(int(committed.ok))
        log_event(Event.LEADERSHIP_TAKEN, token=token, replaced=expected_revision)
        return Ok(Term(token, granted.ok, sent_at + LEASE_SECONDS))

    async def renew(self, term: Term) -> Result[None, StoreFailure]:
        """Extend the term, counted from before the call was sent."""
        sent_at = self.clock.monotonic()
        renewed = await self.store.renew_lease(term.lease)
        if renewed.is_error():
            return Error(renewed.error)
        term.valid_until = max(term.valid_until, sent_at + LEASE_SECONDS)
        return Ok(None)

    async def resign(self, term: Term) -> None:
        """Give leadership up at once."""
        term.ended = True
        await self.store.end_lease(term.lease)
