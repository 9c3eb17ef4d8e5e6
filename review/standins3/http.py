"""A small HTTP/1.1 server and client on the standard library only."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs, urlsplit

READ_LIMIT_BYTES = 4 * 1024 * 1024
REASONS = {200: "OK", 404: "Not Found", 409: "Conflict", 412: "Precondition Failed"}


@dataclass
class Request:
    """One request; ``body`` is the decoded JSON body, None without one."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: Any = None
    peer: str = ""


# Status and JSON body; None leaves the request unanswered and the channel open.
Answer = tuple[int, Any] | None
Handler = Callable[[Request], Awaitable[Answer]]


@dataclass
class Server:
    """Serves one address; ``channels`` are the writers of the open connections."""

    handler: Handler
    channels: set[asyncio.StreamWriter] = field(default_factory=set)
    tasks: set[asyncio.Task[None]] = field(default_factory=set)
    listener: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> None:
        """Start listening."""
        self.listener = await asyncio.start_server(
            self._serve, host, port, limit=READ_LIMIT_BYTES
        )

    def stop(self) -> None:
        """Stop listening and reset the open connections."""
        if self.listener is not None:
            self.listener.close()
        for writer in list(self.channels):
            writer.transport.abort()
        for task in list(self.tasks):
            task.cancel()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        self.channels.add(writer)
        try:
            while True:
                request = await _read_request(reader)
                if request is None:
                    return
                request.peer = writer.get_extra_info("peername")[0]
                answer = await self.handler(request)
                if answer is None:
                    await asyncio.Event().wait()
                    return
                status, data = answer
                body = b"" if data is None else json.dumps(data).encode()
                head = (
                    f"HTTP/1.1 {status} {REASONS.get(status, 'Answer')}\r\n"
                    "Content-Type: application/json\r\n"
                    f"Content-Length: {len(body)}\r\n\r\n"
                )
                writer.write(head.encode() + body)
                await writer.drain()
        except (OSError, EOFError, ValueError):
            return
        except asyncio.CancelledError:
            return
        finally:
            self.channels.discard(writer)
            self.tasks.discard(task)
            writer.transport.abort()


async def _read_request(reader: asyncio.StreamReader) -> Request | None:
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    raw = await reader.readexactly(length) if length else b""
    parts = urlsplit(target)
    query = {k: v[0] for k, v in parse_qs(parts.query, keep_blank_values=True).items()}
    body = json.loads(raw) if raw else None
    return Request(method, parts.path, query, headers, body)


async def call(
    address: str,
    method: str,
    path: str,
    host: str = "",
    body: Any = None,
    timeout: float = 3.0,
) -> tuple[int, Any] | None:
    """Make one request on a connection of its own; None if there is no answer."""
    ip, _, port = address.rpartition(":")
    encoded = b"" if body is None else json.dumps(body).encode()
    head = (
        f"{method} {path} HTTP/1.1\r\nHost: {host or address}\r\n"
        "Content-Type: application/json\r\nConnection: close\r\n"
        f"Content-Length: {len(encoded)}\r\n\r\n"
    )
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(ip, int(port))
            writer.write(head.encode() + encoded)
            answer = await reader.readuntil(b"\r\n\r\n")
            lines = answer.decode("latin-1").split("\r\n")
            status, length = int(lines[0].split(" ")[1]), 0
            for line in lines[1:]:
                if line.lower().startswith("content-length:"):
                    length = int(line.partition(":")[2])
            raw = await reader.readexactly(length) if length else b""
    except (OSError, EOFError, TimeoutError):
        return None
    finally:
        if writer is not None:
            with suppress(OSError):
                writer.transport.abort()
    return status, json.loads(raw) if raw else None
