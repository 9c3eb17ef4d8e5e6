"""Stand-in for backend servers: many instances in one process.

It counts the runs of every request id, which tests compare with the responses that
callers got. The query of a request selects its behaviour, see Behaviour.
"""

import argparse
import asyncio
import hashlib
from collections import Counter
from dataclasses import dataclass
from enum import Enum
from urllib.parse import parse_qs

import httptools
import msgspec


class Behaviour(Enum):
    """What an instance does with one request, by the query key ``do``."""

    ANSWER = "answer"
    TRUNCATE = "truncate"
    TRUNCATE_CHUNKED = "truncate_chunked"
    SURPLUS = "surplus"
    CLOSE = "close"
    SILENT = "silent"
    REFUSE = "refuse"
    UNFRAMED = "unframed"
    CHUNKED = "chunked"


@dataclass
class BackendState:
    """State of all instances of this process; runs are counted by request id."""

    run_counts: Counter[str]
    default_delay_seconds: float


def expected_payload(request_id: str, size: int) -> str:
    """Return the payload for a request id, ``size`` characters long."""
    block = hashlib.sha256(request_id.encode()).hexdigest()
    return (block * (size // len(block) + 1))[:size]


class InstanceProtocol(asyncio.Protocol):
    """One connection to one instance."""

    def __init__(self, state: BackendState, service: str) -> None:
        self.state = state
        self.service = service
        self.transport: asyncio.Transport
        self.parser = httptools.HttpRequestParser(self)
        self.tasks: set[asyncio.Task[None]] = set()
        self.url = b""
        self.headers: dict[bytes, bytes] = {}
        self.body_bytes_received = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport of the accepted connection."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Feed the request parser; abort the connection on malformed requests."""
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.transport.abort()

    def on_message_begin(self) -> None:
        """Reset what was collected of the previous request."""
        self.url = b""
        self.headers = {}
        self.body_bytes_received = 0

    def on_url(self, url: bytes) -> None:
        """Append to the request target, which may arrive in parts."""
        self.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header under its lower-case name."""
        self.headers[name.lower()] = value

    def on_body(self, body: bytes) -> None:
        """Count the bytes of the body, whose content is not used."""
        self.body_bytes_received += len(body)

    def on_message_complete(self) -> None:
        """Handle the request in a task of its own."""
        is_head = self.parser.get_method() == b"HEAD"
        task = asyncio.create_task(self.handle_request(self.url, self.headers, is_head))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def handle_request(
        self, url: bytes, headers: dict[bytes, bytes], is_head: bool
    ) -> None:
        """Count the run of a request and respond to it."""
        path, _, query = url.partition(b"?")
        if path == b"/runs":
            self.write_complete(200, msgspec.json.encode(self.state.run_counts))
            return
        options = {k: v[0] for k, v in parse_qs(query.decode()).items()}
        behaviour = Behaviour(options.get("do", "answer"))
        if behaviour is Behaviour.REFUSE:
            self.write_complete(503, b"", [b"X-Not-Run: true"])
            return
        request_id = headers.get(b"x-request-id", b"").decode()
        self.state.run_counts[request_id] += 1
        default = self.state.default_delay_seconds
        await asyncio.sleep(float(options.get("delay", default)))
        body = msgspec.json.encode(
            {
                "request_id": request_id,
                "service": self.service,
                "received_bytes": self.body_bytes_received,
                "payload": expected_payload(
                    request_id, int(options.get("size", "200"))
                ),
            }
        )
        self.write_response(behaviour, body, is_head)

    def write_response(self, behaviour: Behaviour, body: bytes, is_head: bool) -> None:
        """Write the response, complete or faulty, as the behaviour says."""
        if is_head:
            self.transport.write(
                self.encode_head(200, [b"Content-Length: %d" % len(body)])
            )
            return
        half = body[: len(body) // 2]
        match behaviour:
            case Behaviour.TRUNCATE:
                length = [b"Content-Length: %d" % len(body)]
                self.transport.write(self.encode_head(200, length) + half)
                self.transport.close()
            case Behaviour.TRUNCATE_CHUNKED | Behaviour.CHUNKED:
                start = self.encode_head(200, [b"Transfer-Encoding: chunked"])
                self.transport.write(start + b"%x\r\n%b\r\n" % (len(half), half))
                if behaviour is Behaviour.TRUNCATE_CHUNKED:
                    self.transport.close()
                    return
                rest = body[len(half) :]
                self.transport.write(b"%x\r\n%b\r\n0\r\n\r\n" % (len(rest), rest))
            case Behaviour.SURPLUS:
                length = [b"Content-Length: %d" % len(body)]
                self.transport.write(self.encode_head(200, length) + body + b"surplus")
            case Behaviour.UNFRAMED:
                self.transport.write(self.encode_head(200, []) + body)
                self.transport.close()
            case Behaviour.CLOSE:
                self.transport.close()
            case Behaviour.SILENT:
                return
            case _:
                self.write_complete(200, body)

    def encode_head(self, status: int, headers: list[bytes]) -> bytes:
        """Return an encoded response head."""
        lines = [b"HTTP/1.1 %d X" % status, b"Content-Type: application/json", *headers]
        return b"\r\n".join(lines) + b"\r\n\r\n"

    def write_complete(
        self, status: int, body: bytes, headers: list[bytes] | None = None
    ) -> None:
        """Write a complete response with its Content-Length."""
        length = b"Content-Length: %d" % len(body)
        self.transport.write(
            self.encode_head(status, [length, *(headers or [])]) + body
        )


async def serve(args: argparse.Namespace) -> None:
    """Serve all instances until terminated."""
    state = BackendState(Counter(), args.delay_seconds)
    loop = asyncio.get_running_loop()
    for spec in args.instance:
        service, address, port = spec.split(",")
        await loop.create_server(
            lambda service=service: InstanceProtocol(state, service),  # type: ignore[misc]
            address,
            int(port),
        )
    await asyncio.Event().wait()


def main() -> None:
    """Parse the arguments and serve."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--instance", action="append", metavar="SERVICE,ADDRESS,PORT")
    parser.add_argument("--delay-seconds", type=float, default=0.005)
    asyncio.run(serve(parser.parse_args()))


if __name__ == "__main__":
    main()
