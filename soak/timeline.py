"""Log of what the soak injected and what it saw, for tracing a failed seed."""

import time
from collections.abc import Callable
from datetime import UTC, datetime
from pathlib import Path

Clock = Callable[[], float]


class Timeline:
    """Appends lines with the wall-clock time, as in the logs of the entries."""

    def __init__(self, path: Path, clock: Clock = time.time) -> None:
        self.file = path.open("w")
        self.clock = clock

    def write(self, text: str) -> None:
        """Write one line."""
        at = datetime.fromtimestamp(self.clock(), UTC)
        self.file.write(f"{at:%H:%M:%S.%f} {text}\n")

    def close(self) -> None:
        """Write what is buffered and close the file."""
        self.file.close()

    def flush(self) -> None:
        """Write what is buffered."""
        self.file.flush()
