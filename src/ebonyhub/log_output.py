"""Writes log lines to standard output without blocking the event loop.

Lines are collected in a bounded buffer and written in batches. If the reader is slow or
a burst exceeds the buffer, lines are dropped and their number is logged.
"""

import asyncio
import os
from collections import deque
from typing import TextIO

# Lines in the buffer; further ones are dropped.
MAX_BUFFERED_LINES = 5000
FLUSH_SECONDS = 0.1


class BufferedOutput:
    """Stream for a log handler that buffers lines for a non-blocking descriptor."""

    def __init__(self, descriptor: int) -> None:
        self.descriptor = descriptor
        self.lines: deque[str] = deque()
        self.dropped = 0
        # Lines that are encoded but that the descriptor has not taken yet.
        self.unwritten_bytes = b""

    def write(self, text: str) -> int:
        """Add text to the buffer; drop it if the buffer is full."""
        if len(self.lines) >= MAX_BUFFERED_LINES:
            self.dropped += 1
        else:
            self.lines.append(text)
        return len(text)

    def flush(self) -> None:
        """Do nothing; the log handler calls this after each line."""

    def close(self) -> None:
        """Write the buffer; the log handler calls this when the process ends."""
        self.write_pending()

    def write_pending(self) -> None:
        """Write as much of the buffer as the descriptor takes without blocking."""
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
        # Bounds the memory, at 200 bytes a line, if nobody reads the output.
        if len(self.unwritten_bytes) > MAX_BUFFERED_LINES * 200:
            self.unwritten_bytes = b""
            self.dropped += 1

    async def run(self) -> None:
        """Write batches of lines until cancelled, and what is left then."""
        try:
            while True:
                await asyncio.sleep(FLUSH_SECONDS)
                self.write_pending()
        finally:
            self.write_pending()


def buffer_stream(stream: TextIO) -> BufferedOutput:
    """Return a buffered output for a stream, whose descriptor becomes non-blocking."""
    descriptor = stream.fileno()
    os.set_blocking(descriptor, False)
    return BufferedOutput(descriptor)
