"""A TCP proxy on loopback whose links can be delayed, cut, silenced or reset."""

import asyncio
import contextlib
from dataclasses import dataclass, field
from enum import Enum

READ_BYTES = 65536
# Seconds between looks of a held link at the proxy's mode.
POLL_SECONDS = 0.02
# Seconds added to every chunk on a delayed link.
DELAY_SECONDS = 0.25


class LinkMode(Enum):
    """What the proxy does to the connections through it."""

    PASS = "pass"
    DELAY = "delay"
    # Bytes wait and arrive once the mode ends, as behind a partition that heals.
    HOLD = "hold"
    # Connections that carry bytes meanwhile stay silent for good.
    SILENT = "silent"
    # Only the answers are lost.
    LOSE_ANSWERS = "lose_answers"
    # Open connections are reset, and new ones as well.
    RESET = "reset"


class Direction(Enum):
    """Direction of the bytes on a link."""

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
    # Directions that lost bytes; the stream could not be continued after them.
    lost: set[Direction] = field(default_factory=set)

    def abort(self) -> None:
        """Reset both ends."""
        for writer in self.writers:
            writer.transport.abort()


class Proxy:
    """Owns its listening socket and the links through it."""

    def __init__(self, target: tuple[str, int]) -> None:
        self.target = target
        self.mode = LinkMode.PASS
        self.links: set[Link] = set()
        self.server: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> None:
        """Listen."""
        self.server = await asyncio.start_server(self._serve, host, port)

    async def stop(self) -> None:
        """Stop listening and reset what is open."""
        if self.server is not None:
            self.server.close()
        self.reset()

    def set_mode(self, mode: LinkMode) -> None:
        """Change what happens to open and new connections."""
        self.mode = mode
        if mode is LinkMode.RESET:
            self.reset()

    def reset(self) -> None:
        """Reset the open connections."""
        for link in list(self.links):
            link.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        # The stream server of Python 3.11 reports a cancelled handler as an error.
        with contextlib.suppress(asyncio.CancelledError):
            await self._connect(reader, writer)

    async def _connect(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Connect to the target and pass bytes until both ends have closed."""
        if self.mode is LinkMode.RESET:
            writer.transport.abort()
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        link = Link([writer, far_writer])
        self.links.add(link)
        try:
            await asyncio.gather(
                self._pump(reader, far_writer, link, Direction.REQUESTS),
                self._pump(far_reader, writer, link, Direction.ANSWERS),
            )
        finally:
            self.links.discard(link)
            link.abort()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        link: Link,
        direction: Direction,
    ) -> None:
        """Pass one direction on until it ends."""
        with contextlib.suppress(ConnectionError):
            while chunk := await reader.read(READ_BYTES):
                await self._wait()
                if direction in LOST_DIRECTIONS.get(self.mode, ()):
                    link.lost.add(direction)
                if direction not in link.lost:
                    writer.write(chunk)
                    await writer.drain()
        # The far end learns of the close only if nothing was lost on the way.
        if direction not in link.lost:
            with contextlib.suppress(OSError, RuntimeError):
                writer.write_eof()

    async def _wait(self) -> None:
        """Let a chunk wait as long as the mode says."""
        if self.mode is LinkMode.DELAY:
            await asyncio.sleep(DELAY_SECONDS)
        while self.mode is LinkMode.HOLD:
            await asyncio.sleep(POLL_SECONDS)
