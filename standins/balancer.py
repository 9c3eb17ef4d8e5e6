"""Stand-in for the platform's TCP balancer.

It connects each caller to the next entry whose /readyz answers 200.
"""

import argparse
import asyncio
import contextlib
from itertools import count

from ebonyhub.http_client import request_once

PROBE_SECONDS = 0.2
READ_BYTES = 64 * 1024


class Balancer:
    """Round robin over the entries that are ready."""

    def __init__(self, targets: list[tuple[str, int, int]]) -> None:
        self.targets = targets
        self.ready: list[tuple[str, int]] = []
        self.turns = count()

    async def probe(self) -> None:
        """Refresh the list of ready entries for ever."""
        while True:
            states = await asyncio.gather(
                *(self.is_ready(address, admin) for address, _, admin in self.targets)
            )
            self.ready = [
                (address, caller)
                for (address, caller, _), ready in zip(
                    self.targets, states, strict=True
                )
                if ready
            ]
            await asyncio.sleep(PROBE_SECONDS)

    async def is_ready(self, address: str, port: int) -> bool:
        """Return whether one entry says that it is ready."""
        result = await request_once(
            address, port, "GET", "/readyz", timeout_seconds=0.5
        )
        return result.is_ok() and result.ok.status == 200

    async def accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Join a caller connection with an entry."""
        for _ in range(len(self.ready)):
            address, port = self.ready[next(self.turns) % len(self.ready)]
            try:
                up_reader, up_writer = await asyncio.open_connection(address, port)
            except OSError:
                continue
            await asyncio.gather(copy(reader, up_writer), copy(up_reader, writer))
            return
        writer.close()


async def copy(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Copy bytes until the end of the stream."""
    with contextlib.suppress(ConnectionError):
        while data := await reader.read(READ_BYTES):
            writer.write(data)
            await writer.drain()
    writer.close()


async def serve(args: argparse.Namespace) -> None:
    """Serve until terminated."""
    targets = []
    for target in args.target:
        address, caller, admin = target.split(",")
        targets.append((address, int(caller), int(admin)))
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
