"""Writes log lines to standard output without ever blocking the event loop.

Lines wait in a bounded buffer and are written in groups. When the reader is slow or a
burst is too large, lines are dropped and their number is logged.
"""

import asyncio
import os
from collections import deque
from typing import TextIO

# Lines that may wait for the next write.
MAX_BUFFERED_LINES = 5000
# Seconds between two writes.
FLUSH_SECONDS = 0.1


class BufferedOutput:
    """A text stream for the log handler in front of a file descriptor."""

    def __init__(self, descriptor: int) -> None:
        self.descriptor = descriptor
        self.lines: deque[str] = deque()
        self.dropped = 0
        # Rest of a line that was written in part.
        self.unwritten_bytes = b""

    def write(self, text: str) -> int:
        """Queue text; drops it if too much waits."""
        if len(self.lines) >= MAX_BUFFERED_LINES:
            self.dropped += 1
        else:
            self.lines.append(text)
        return len(text)

    def flush(self) -> None:
        """Do nothing; the log handler calls this for each line."""

    def close(self) -> None:
        """Write what waits; the log handler calls this at the end of the process."""
        self.write_pending()

    def write_pending(self) -> None:
        """Write as much as the descriptor takes."""
        if self.dropped:
            self.lines.append(f"W dropped={self.dropped} log lines\n")
            self.dropped = 0
        data = self.unwritten_bytes + "".join(self.lines).encode(errors="replace")
        self.lines.clear()
        if not data:
            return
        try:
            written = os.write(self.descriptor, data)
        except BlockingIOError:
            written = 0
        self.unwritten_bytes = data[written:]
        if len(self.unwritten_bytes) > MAX_BUFFERED_LINES * 200:
            self.unwritten_bytes = b""
            self.dropped += 1

    async def run(self) -> None:
        """Write groups of lines until cancelled, and the rest at the end."""
        try:
            while True:
                await asyncio.sleep(FLUSH_SECONDS)
                self.write_pending()
        finally:
            self.write_pending()


def buffer_stream(stream: TextIO) -> BufferedOutput:
    """Return a buffered output in front of a standard stream."""
    descriptor = stream.fileno()
    os.set_blocking(descriptor, False)
    return BufferedOutput(descriptor)
