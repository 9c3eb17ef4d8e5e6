"""Log of what the soak injected and what it saw, for tracing a failed seed."""

import asyncio
import time
from collections.abc import Callable
from datetime import UTC, datetime
from pathlib import Path

Clock = Callable[[], float]

# Delay of the soak's own process that is logged: its callers and stand-ins were late by
# the same time.
STALL_CHECK_SECONDS = 0.05
LOGGED_STALL_SECONDS = 0.3


class Timeline:
    """Appends lines with the wall-clock time, as in the logs of the entries."""

    def __init__(self, path: Path, clock: Clock = time.time) -> None:
        self.file = path.open("w")
        self.clock = clock

    def write(self, text: str) -> None:
        """Write one line."""
        at = datetime.fromtimestamp(self.clock(), UTC)
        self.file.write(f"{at:%H:%M:%S.%f} {text}\n")

    async def follow_stalls(self) -> None:
        """Log each time for which the soak's own process was held up."""
        clock = asyncio.get_running_loop().time
        while True:
            slept_at = clock()
            await asyncio.sleep(STALL_CHECK_SECONDS)
            stalled = clock() - slept_at - STALL_CHECK_SECONDS
            if stalled >= LOGGED_STALL_SECONDS:
                self.write(f"the soak was held up for {stalled:.2f} s")

    def close(self) -> None:
        """Write what is buffered and close the file."""
        self.file.close()

    def flush(self) -> None:
        """Write what is buffered."""
        self.file.flush()
