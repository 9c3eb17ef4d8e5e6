"""A loopback proxy whose open channels can go silent for good."""

import asyncio
from contextlib import suppress
from dataclasses import dataclass, field

READ_BYTES = 65536


@dataclass(eq=False)
class Channel:
    """One connection through the proxy."""

    writers: list[asyncio.StreamWriter]
    silent: bool = False


@dataclass
class Proxy:
    """Forwards connections to ``target``."""

    target: tuple[str, int]
    channels: set[Channel] = field(default_factory=set)
    listener: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> None:
        """Start listening."""
        self.listener = await asyncio.start_server(self._serve, host, port)

    def stop(self) -> None:
        """Stop listening and reset the open channels."""
        if self.listener is not None:
            self.listener.close()
        for channel in list(self.channels):
            for writer in channel.writers:
                writer.transport.abort()

    def silence(self) -> int:
        """Drop all further bytes of the open channels; new channels work.

        Returns the number of channels that were open.
        """
        for channel in self.channels:
            channel.silent = True
        return len(self.channels)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            far_reader, far_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        channel = Channel([writer, far_writer])
        self.channels.add(channel)
        try:
            await asyncio.gather(
                self._forward(reader, far_writer, channel),
                self._forward(far_reader, writer, channel),
            )
        except (OSError, asyncio.CancelledError):
            return
        finally:
            self.channels.discard(channel)
            for end in channel.writers:
                end.transport.abort()

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        channel: Channel,
    ) -> None:
        while chunk := await reader.read(READ_BYTES):
            if not channel.silent:
                writer.write(chunk)
                await writer.drain()
        if not channel.silent:
            with suppress(OSError):
                writer.write_eof()
