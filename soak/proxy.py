"""TCP proxy on loopback that delays, holds, drops or resets its connections."""

import asyncio
import contextlib
from dataclasses import dataclass, field
from enum import Enum

READ_SIZE_BYTES = 65536
# Interval at which held bytes check whether the mode has changed.
POLL_INTERVAL_SECONDS = 0.02
# Delay of every chunk in DELAY mode.
CHUNK_DELAY_SECONDS = 0.25


class LinkMode(Enum):
    """Fault that the proxy applies to the connections through it."""

    PASS = "pass"
    DELAY = "delay"
    # Bytes are held until the mode ends, as in a partition that heals.
    HOLD = "hold"
    # Bytes are dropped; connections that lost some stay silent after the mode ends.
    SILENT = "silent"
    # Only the bytes of answers are dropped.
    LOSE_ANSWERS = "lose_answers"
    # Open and new connections are reset.
    RESET = "reset"


class Direction(Enum):
    """Direction of bytes on a connection."""

    REQUESTS = "requests"
    ANSWERS = "answers"


LOST_DIRECTIONS = {
    LinkMode.SILENT: {Direction.REQUESTS, Direction.ANSWERS},
    LinkMode.LOSE_ANSWERS: {Direction.ANSWERS},
}


@dataclass(eq=False)
class Link:
    """One connection through the proxy."""

    writers: list[asyncio.StreamWriter]
    # Directions that lost bytes; nothing more is forwarded there, as the stream would
    # have a gap.
    interrupted_directions: set[Direction] = field(default_factory=set)

    def abort(self) -> None:
        """Reset both ends."""
        for writer in self.writers:
            writer.transport.abort()


class Proxy:
    """Forwards connections to one target address, as its mode says."""

    def __init__(self, target: tuple[str, int]) -> None:
        self.target = target
        self.mode = LinkMode.PASS
        self.links: set[Link] = set()
        self.server: asyncio.Server | None = None
        # Address from which the target sees the connections.
        self.source = ""

    async def start(self, host: str, port: int) -> None:
        """Start listening on an address, from which the target is reached as well."""
        self.source = host
        self.server = await asyncio.start_server(self._serve, host, port)

    async def stop(self) -> None:
        """Stop listening and reset the open connections."""
        if self.server is not None:
            self.server.close()
        self.reset()

    def set_mode(self, mode: LinkMode) -> None:
        """Set the mode of open and new connections."""
        self.mode = mode
        if mode is LinkMode.RESET:
            self.reset()

    def silence(self) -> int:
        """Let the open connections go silent for good, while new ones work.

        Returns their number.
        """
        for link in self.links:
            link.interrupted_directions.update(Direction)
        return len(self.links)

    def reset(self) -> None:
        """Reset the open connections."""
        for link in list(self.links):
            link.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        # The stream server of Python 3.11 logs a cancelled handler as an error.
        with contextlib.suppress(asyncio.CancelledError):
            await self._connect(reader, writer)

    async def _connect(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Connect to the target and forward bytes until both ends have closed."""
        if self.mode is LinkMode.RESET:
            writer.transport.abort()
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(
                *self.target, local_addr=(self.source, 0)
            )
        except OSError:
            writer.transport.abort()
            return
        link = Link([writer, target_writer])
        self.links.add(link)
        try:
            await asyncio.gather(
                self._forward(reader, target_writer, link, Direction.REQUESTS),
                self._forward(target_reader, writer, link, Direction.ANSWERS),
            )
        finally:
            self.links.discard(link)
            link.abort()

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        link: Link,
        direction: Direction,
    ) -> None:
        """Forward one direction until its end."""
        with contextlib.suppress(ConnectionError):
            while chunk := await reader.read(READ_SIZE_BYTES):
                await self._delay_chunk()
                if direction in LOST_DIRECTIONS.get(self.mode, ()):
                    link.interrupted_directions.add(direction)
                if direction not in link.interrupted_directions:
                    writer.write(chunk)
                    await writer.drain()
        # The close is forwarded only if no bytes before it were dropped.
        if direction not in link.interrupted_directions:
            with contextlib.suppress(OSError, RuntimeError):
                writer.write_eof()

    async def _delay_chunk(self) -> None:
        """Delay a chunk as long as the mode says."""
        if self.mode is LinkMode.DELAY:
            await asyncio.sleep(CHUNK_DELAY_SECONDS)
        while self.mode is LinkMode.HOLD:
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
