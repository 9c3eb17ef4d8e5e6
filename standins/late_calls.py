"""Calls to a stand-in worker that have no answer and are carried out later."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import Any

# Range of the seconds after which a call without an answer may still be carried out.
LATE_CALL_SECONDS = (2.0, 12.0)
# Share of late calls that are carried out at once as well.
DOUBLED_SHARE = 0.25

Call = Callable[[], Awaitable[Any]]


class LateCalls:
    """Holds calls back for seconds, after which any process under the id gets them."""

    def __init__(self) -> None:
        # Whether calls that arrive now are held back.
        self.active = False
        self.rng = random.Random(1)
        self.tasks: set[asyncio.Task[None]] = set()
        # Called with the name and the body of a call when it is carried out late.
        self.on_call: Callable[[str, dict[str, Any]], None] = lambda *_: None

    def draw_doubled(self) -> bool:
        """Draw whether a call is carried out at once as well."""
        return self.rng.random() < DOUBLED_SHARE

    def hold(self, name: str, body: dict[str, Any], call: Call) -> None:
        """Carry out a call after a drawn time."""
        delay = self.rng.uniform(*LATE_CALL_SECONDS)
        task = asyncio.create_task(self._carry_out(name, body, call, delay))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _carry_out(
        self, name: str, body: dict[str, Any], call: Call, delay: float
    ) -> None:
        await asyncio.sleep(delay)
        self.on_call(name, body)
        await call()

    def close(self) -> None:
        """Drop the calls that have not been carried out yet."""
        for task in self.tasks:
            task.cancel()
