"""One HTTP/1.1 client connection with an exact account of what happened.

A library client is not used here: it must be certain whether any byte of a request
was written, whether a response is complete, and that no request is sent twice.
See docs/decisions/0002-backend-connections.md.
"""

import asyncio
from collections import deque
from collections.abc import AsyncIterator, Callable, Sequence
from dataclasses import dataclass
from enum import Enum

import httptools
from expression import Error, Ok, Result

from .errors import ErrorKind

Header = tuple[bytes, bytes]

# Bytes buffered from the peer before reading is paused, which bounds the memory of
# one streamed response.
HIGH_WATER_BYTES = 256 * 1024
LOW_WATER_BYTES = 64 * 1024
MAX_HEADER_BYTES = 64 * 1024

NO_BODY_STATUSES = frozenset({204, 304})


class ConnectionState(Enum):
    """Life of a connection."""

    IDLE = "idle"
    BUSY = "busy"
    CLOSED = "closed"


@dataclass(frozen=True)
class ExchangeError:
    """Why an exchange failed, and whether a byte of the request was written."""

    kind: ErrorKind
    any_bytes_written: bool
    detail: str = ""


@dataclass(frozen=True)
class RequestHead:
    """Request line and headers; ``target`` is the raw path with its query."""

    method: bytes
    target: bytes
    headers: Sequence[Header]

    def encode(self) -> bytes:
        """Serialize the head for HTTP/1.1."""
        lines = [self.method + b" " + self.target + b" HTTP/1.1"]
        lines += [name + b": " + value for name, value in self.headers]
        return b"\r\n".join(lines) + b"\r\n\r\n"


@dataclass(frozen=True)
class ResponseHead:
    """Status and headers of a response.

    ``content_length`` is in bytes, and None for chunked bodies.
    """

    status: int
    headers: Sequence[Header]
    content_length: int | None


class HttpConnection(asyncio.Protocol):
    """A connection that carries one exchange at a time.

    Call ``send``, then ``read_head``, then ``read_chunk`` until it returns b"".
    After any error, or if ``reusable`` is false at the end, call ``close``.
    """

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.state = ConnectionState.IDLE
        self.any_bytes_written = False
        self.idle_since = 0.0
        self.reusable = False
        self.head: ResponseHead | None = None
        self.complete = False
        self.error: ErrorKind | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._headers: list[Header] = []
        self._header_bytes = 0
        self._chunks: deque[bytes] = deque()
        self._buffered = 0
        self._reading_paused = False
        self._data_ready = asyncio.Event()
        self._writable = asyncio.Event()
        self._writable.set()
        self._expects_body = True

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport (asyncio callback)."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail an unfinished exchange (asyncio callback)."""
        if self.state is ConnectionState.BUSY and not self.complete:
            self.fail(
                ErrorKind.BACKEND_TRUNCATED if self.head else ErrorKind.BACKEND_CLOSED
            )
        self.state = ConnectionState.CLOSED
        self.reusable = False
        self._writable.set()

    def pause_writing(self) -> None:
        """Hold senders back (asyncio callback)."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Let senders go on (asyncio callback)."""
        self._writable.set()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes (asyncio callback)."""
        if self.state is not ConnectionState.BUSY or self.complete:
            # Bytes that no request asked for: the response stream is out of step.
            if self.state is ConnectionState.BUSY:
                self.fail(ErrorKind.BACKEND_SURPLUS)
            self.close()
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            after_end = self.complete
            self.fail(
                ErrorKind.BACKEND_SURPLUS if after_end else ErrorKind.BACKEND_MALFORMED
            )
        if self.error is not None:
            self.close()

    def on_message_begin(self) -> None:
        """Detect a second response in the same exchange (parser callback)."""
        if self.complete:
            self.fail(ErrorKind.BACKEND_SURPLUS)
        self._headers = []
        self._header_bytes = 0

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header (parser callback)."""
        self._header_bytes += len(name) + len(value)
        if self._header_bytes > MAX_HEADER_BYTES:
            self.fail(ErrorKind.BACKEND_MALFORMED)
            return
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Check how the body is delimited (parser callback)."""
        status = self._parser.get_status_code()
        if status < 200:
            if status == 101:
                self.fail(ErrorKind.BACKEND_MALFORMED)
            return
        length, chunked = body_framing(self._headers)
        bodiless = not self._expects_body or status in NO_BODY_STATUSES
        if length is None and not chunked and not bodiless:
            self.fail(ErrorKind.BACKEND_UNFRAMED)
            return
        self.head = ResponseHead(status, tuple(self._headers), length)
        if not self._expects_body:
            # The parser would wait for the body that a HEAD response only announces.
            self.complete = True
            self.reusable = False
        self._data_ready.set()

    def on_body(self, body: bytes) -> None:
        """Buffer a piece of the body (parser callback)."""
        self._chunks.append(body)
        self._buffered += len(body)
        if self._buffered > HIGH_WATER_BYTES and not self._reading_paused:
            self._reading_paused = True
            if self.transport is not None:
                self.transport.pause_reading()
        self._data_ready.set()

    def on_message_complete(self) -> None:
        """Mark the response as complete (parser callback)."""
        if self.head is None:
            return
        self.complete = True
        self.reusable = self._expects_body and self._parser.should_keep_alive()
        self._data_ready.set()

    def fail(self, kind: ErrorKind) -> None:
        """Record the first error of the exchange and wake the reader."""
        if self.error is None:
            self.error = kind
        self.reusable = False
        self._data_ready.set()

    @property
    def usable(self) -> bool:
        """Return whether a new exchange may begin."""
        return (
            self.state is ConnectionState.IDLE
            and self.transport is not None
            and not self.transport.is_closing()
        )

    def begin(self, expects_body: bool) -> None:
        """Reset the state for a new exchange."""
        self.state = ConnectionState.BUSY
        self.any_bytes_written = False
        self.head = None
        self.complete = False
        self.error = None
        self.reusable = False
        self._expects_body = expects_body
        self._chunks.clear()
        self._buffered = 0
        self._data_ready.clear()

    def send_whole(self, head: RequestHead, body: bytes | None) -> ExchangeError | None:
        """Write a request whose body is in memory; return why nothing was written."""
        if not self.usable or self.transport is None:
            return ExchangeError(ErrorKind.BACKEND_CLOSED, False)
        self.begin(expects_body=head.method != b"HEAD")
        self.any_bytes_written = True
        self.transport.write(head.encode() + (body or b""))
        return None

    async def send(
        self, head: RequestHead, body: bytes | AsyncIterator[bytes] | None
    ) -> Result[None, ExchangeError]:
        """Write a request; a streamed body must be encoded as the head announces.

        The error's ``any_bytes_written`` is False only if nothing was handed to the
        transport.
        """
        whole = body is None or isinstance(body, bytes)
        failure = self.send_whole(head, body if isinstance(body, bytes) else None)
        if failure is not None or self.transport is None:
            return Error(failure or ExchangeError(ErrorKind.BACKEND_CLOSED, False))
        if whole:
            await self._writable.wait()
            return Ok(None)
        assert not isinstance(body, bytes) and body is not None
        async for chunk in body:
            await self._writable.wait()
            if self.state is not ConnectionState.BUSY or self.head is not None:
                # An early response; the rest of the body is of no use.
                self.reusable = False
                break
            self.transport.write(chunk)
        return Ok(None)

    async def read_whole(
        self, on_progress: Callable[[], None]
    ) -> Result["SmallResponse", ExchangeError]:
        """Wait for a whole response; ``on_progress`` is called while parts arrive."""
        while not self.complete and self.error is None:
            self._data_ready.clear()
            await self._data_ready.wait()
            if not self.complete and self._chunks:
                on_progress()
                if self._reading_paused and self.transport is not None:
                    self._reading_paused = False
                    self._buffered = 0
                    self.transport.resume_reading()
        if self.error is not None or self.head is None:
            return Error(self._exchange_error())
        body = self._take_buffered() if self._chunks else b""
        return Ok(SmallResponse(self.head.status, self.head.headers, body))

    async def read_head(self) -> Result[ResponseHead, ExchangeError]:
        """Wait for the status and headers; the caller sets the time limit."""
        while self.head is None and self.error is None:
            self._data_ready.clear()
            await self._data_ready.wait()
        if self.error is not None or self.head is None:
            return Error(self._exchange_error())
        return Ok(self.head)

    async def read_chunk(self) -> Result[bytes, ExchangeError]:
        """Return the next piece of the body, or b"" at its proven end."""
        while True:
            if self.error is not None:
                return Error(self._exchange_error())
            if self._chunks:
                return Ok(self._take_buffered())
            if self.complete:
                return Ok(b"")
            self._data_ready.clear()
            await self._data_ready.wait()

    def _take_buffered(self) -> bytes:
        data = b"".join(self._chunks) if len(self._chunks) > 1 else self._chunks[0]
        self._chunks.clear()
        self._buffered = 0
        if self._reading_paused and self.transport is not None:
            self._reading_paused = False
            self.transport.resume_reading()
        return data

    def _exchange_error(self) -> ExchangeError:
        return ExchangeError(
            self.error or ErrorKind.BACKEND_CLOSED, self.any_bytes_written
        )

    def finish(self, now: float) -> bool:
        """End the exchange; return whether the connection may be used again."""
        if self.complete and self.reusable and self.state is ConnectionState.BUSY:
            self.state = ConnectionState.IDLE
            self.idle_since = now
            self._parser = httptools.HttpResponseParser(self)
            return True
        self.close()
        return False

    def close(self) -> None:
        """Drop the connection without waiting for buffered data."""
        if self.transport is not None:
            self.transport.abort()
        if self.state is ConnectionState.IDLE:
            self.state = ConnectionState.CLOSED


def body_framing(headers: Sequence[Header]) -> tuple[int | None, bool]:
    """Return (Content-Length in bytes or None, whether the body is chunked)."""
    length: int | None = None
    chunked = False
    for name, value in headers:
        lowered = name.lower()
        if lowered == b"content-length":
            length = int(value)
        elif lowered == b"transfer-encoding":
            chunked = value.strip().lower().endswith(b"chunked")
    return length, chunked


async def open_connection(
    address: str, port: int, timeout_seconds: float
) -> Result[HttpConnection, ExchangeError]:
    """Connect; a failure here proves that no byte of a request was written."""
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_seconds):
            _, protocol = await loop.create_connection(HttpConnection, address, port)
    except OSError as error:
        # TimeoutError is an OSError.
        detail = error.strerror or "timed out"
        return Error(ExchangeError(ErrorKind.CONNECT_FAILED, False, detail))
    return Ok(protocol)


@dataclass(frozen=True)
class SmallResponse:
    """A whole response whose body fits into memory."""

    status: int
    headers: Sequence[Header]
    body: bytes

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header, compared without case."""
        for key, value in self.headers:
            if key.lower() == name:
                return value
        return None


async def send_and_receive(
    connection: HttpConnection,
    head: RequestHead,
    body: bytes | None,
    on_progress: Callable[[], None] = lambda: None,
) -> Result[SmallResponse, ExchangeError]:
    """Send one request and read its whole response.

    ``on_progress`` is called for each part of the body.
    """
    failure = connection.send_whole(head, body)
    if failure is not None:
        return Error(failure)
    return await connection.read_whole(on_progress)


async def request_once(
    address: str,
    port: int,
    method: str,
    target: str,
    body: bytes | None = None,
    headers: Sequence[Header] = (),
    timeout_seconds: float = 5.0,
) -> Result[SmallResponse, ExchangeError]:
    """Open a connection, make one exchange within ``timeout_seconds``, close it."""
    opened = await open_connection(address, port, timeout_seconds)
    if opened.is_error():
        return Error(opened.error)
    connection = opened.ok
    all_headers = [
        (b"Host", f"{address}:{port}".encode()),
        (b"Content-Length", str(len(body or b"")).encode()),
        (b"Connection", b"close"),
        *headers,
    ]
    head = RequestHead(method.encode(), target.encode(), all_headers)
    try:
        async with asyncio.timeout(timeout_seconds):
            return await send_and_receive(connection, head, body)
    except TimeoutError:
        return Error(
            ExchangeError(ErrorKind.BACKEND_TIMEOUT, connection.any_bytes_written)
        )
    finally:
        connection.close()
