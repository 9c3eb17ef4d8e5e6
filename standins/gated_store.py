"""Metadata store whose calls a test applies and answers one by one, in any order."""

import asyncio
from dataclasses import dataclass, field
from typing import Any

from expression import Error, Ok, Result

from ebonyhub.cluster.metadata_store import (
    CommitFailure,
    Item,
    StoreFailure,
    Transaction,
)
from ebonyhub.ids import Revision

from .memory_store import MemoryStore, StoreCore


@dataclass(eq=False)
class GatedCall:
    """A read (``key``) or a commit that has been sent and waits for the test."""

    entry: int
    answer: asyncio.Future[Any]
    key: str = ""
    transaction: Transaction | None = None
    result: Any = None
    # How often the store has applied it; a late write may be applied twice.
    applied: int = 0

    @property
    def is_answered(self) -> bool:
        """Whether the caller waits no longer."""
        return self.answer.done()


@dataclass
class CallGate:
    """All calls that are under way, of all entries."""

    core: StoreCore
    calls: list[GatedCall] = field(default_factory=list)

    def apply(self, call: GatedCall) -> None:
        """Let the store carry a call out."""
        call.applied += 1
        if call.transaction is None:
            result: Any = Ok(self.core.items.get(call.key))
        else:
            result = self.core.commit(call.transaction)
        if call.applied == 1:
            call.result = result

    def answer(self, call: GatedCall, lost: bool = False) -> None:
        """Let the answer arrive, or the caller's time limit pass."""
        if call.is_answered:
            return
        if not lost and call.applied:
            call.answer.set_result(call.result)
        elif call.transaction is None:
            call.answer.set_result(Error(StoreFailure.UNKNOWN))
        else:
            call.answer.set_result(Error(CommitFailure(StoreFailure.UNKNOWN)))

    def discard_settled(self) -> None:
        """Forget the calls that can have no effect any more."""
        self.calls = [
            call
            for call in self.calls
            if not call.is_answered
            or (call.transaction is not None and call.applied < 2)
        ]


class GatedStore(MemoryStore):
    """One entry's connection to the store, through the gate."""

    def __init__(self, gate: CallGate, entry: int) -> None:
        super().__init__(gate.core)
        self.gate = gate
        self.entry = entry

    async def get(self, key: str) -> Result[Item | None, StoreFailure]:
        """Read one key once the test lets it happen."""
        result: Result[Item | None, StoreFailure] = await self._send(key=key)
        return result

    async def commit(self, transaction: Transaction) -> Result[Revision, CommitFailure]:
        """Apply a transaction once the test lets it happen."""
        result: Result[Revision, CommitFailure] = await self._send(
            transaction=transaction
        )
        return result

    async def _send(self, **fields: Any) -> Any:
        future = asyncio.get_running_loop().create_future()
        self.gate.calls.append(GatedCall(self.entry, future, **fields))
        return await future
