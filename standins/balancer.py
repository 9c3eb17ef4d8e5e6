"""Stand-in for the platform's TCP balancer.

It connects each caller to the next entry whose /readyz answers 200.
"""

import argparse
import asyncio
import contextlib
from itertools import count

from ebonyhub.http_client import request_once

PROBE_INTERVAL_SECONDS = 0.2
READ_SIZE_BYTES = 64 * 1024


class Balancer:
    """Distributes connections round robin over the ready entries."""

    def __init__(self, targets: list[tuple[str, int, int]]) -> None:
        self.targets = targets
        self.ready: list[tuple[str, int]] = []
        self.connection_numbers = count()

    async def probe(self) -> None:
        """Update the list of ready entries at every probe interval, without end."""
        while True:
            states = await asyncio.gather(
                *(
                    self.is_ready(address, admin_port)
                    for address, _, admin_port in self.targets
                )
            )
            self.ready = [
                (address, caller_port)
                for (address, caller_port, _), ready in zip(
                    self.targets, states, strict=True
                )
                if ready
            ]
            await asyncio.sleep(PROBE_INTERVAL_SECONDS)

    async def is_ready(self, address: str, port: int) -> bool:
        """Return whether an entry answers /readyz with 200 within 0.5 s."""
        result = await request_once(
            address, port, "GET", "/readyz", timeout_seconds=0.5
        )
        return result.is_ok() and result.ok.status == 200

    async def accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Connect a caller to the next ready entry that accepts the connection."""
        for _ in range(len(self.ready)):
            address, port = self.ready[next(self.connection_numbers) % len(self.ready)]
            try:
                entry_reader, entry_writer = await asyncio.open_connection(
                    address, port
                )
            except OSError:
                continue
            await asyncio.gather(copy(reader, entry_writer), copy(entry_reader, writer))
            return
        writer.close()


async def copy(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Copy bytes until the end of the stream, then close the writer."""
    with contextlib.suppress(ConnectionError):
        while data := await reader.read(READ_SIZE_BYTES):
            writer.write(data)
            await writer.drain()
    writer.close()


async def serve(args: argparse.Namespace) -> None:
    """Serve until terminated."""
    targets = []
    for target in args.target:
        address, caller_port, admin_port = target.split(",")
        targets.append((address, int(caller_port), int(admin_port)))
    balancer = Balancer(targets)
    server = await asyncio.start_server(balancer.accept, args.address, args.port)
    async with server:
        await asyncio.gather(server.serve_forever(), balancer.probe())


def main() -> None:
    """Parse the arguments and serve."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--address", required=True)
    parser.add_argument("--port", type=int, default=80)
    parser.add_argument(
        "--target", action="append", metavar="ADDRESS,CALLER_PORT,ADMIN_PORT"
    )
    asyncio.run(serve(parser.parse_args()))


if __name__ == "__main__":
    main()
