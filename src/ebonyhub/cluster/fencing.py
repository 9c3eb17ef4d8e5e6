"""Fencing tokens that a leader issues during its term.

The token of a term is the revision at which the leader wrote its key. A further token
is the revision of a later commit that holds only while this leader leads. It is thus
higher than all tokens of the term so far, and lower than those of every later leader.
"""

import asyncio

from expression import Error, Ok, Result

from ..ids import LeaderToken, Revision
from .leadership import LEADER_KEY, Term
from .metadata_store import MetadataStore, StoreFailure, Transaction, Write

# Written only for the revision of the commit. Outside the prefixes that entries watch.
FENCE_KEY = "eb/fence"


class TermTokens:
    """Issues tokens of one term; calls that come at the same time share a commit."""

    def __init__(self, store: MetadataStore, term: Term) -> None:
        self.store = store
        self.term = term
        self.lock = asyncio.Lock()
        self.commits_begun = 0
        self.last_result: Result[LeaderToken, StoreFailure] | None = None

    async def issue(self) -> Result[LeaderToken, StoreFailure]:
        """Return a token that is higher than all that were issued before the call.

        Fails with CONFLICT if another entry leads.
        """
        begun_before = self.commits_begun
        async with self.lock:
            if self.commits_begun > begun_before and self.last_result is not None:
                return self.last_result
            self.commits_begun += 1
            self.last_result = None
            self.last_result = await self._commit()
            return self.last_result

    async def _commit(self) -> Result[LeaderToken, StoreFailure]:
        conditions = {LEADER_KEY: Revision(int(self.term.token))}
        result = await self.store.commit(
            Transaction(conditions, (Write(FENCE_KEY, b""),))
        )
        if result.is_error():
            return Error(result.error.kind)
        return Ok(LeaderToken(int(result.ok)))
