"""HTTP/1.1 client connections that report exactly what was written and received.

No general HTTP client is used, because it must be certain whether any byte of a
request was written, whether a response is complete, and that no request is sent twice.
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

# Reading is paused while more bytes than this are buffered, which bounds the memory of
# one streamed response.
HIGH_WATER_BYTES = 256 * 1024
LOW_WATER_BYTES = 64 * 1024
MAX_HEADER_BYTES = 64 * 1024
# Limit of a response that is read into memory. Lists and watch answers of the platform
# take up to about 1.5 MB; the platform ends processes that use more than 300 MB.
MAX_RESPONSE_BYTES = 32 * 1024 * 1024

NO_BODY_STATUSES = frozenset({204, 304})


class ConnectionState(Enum):
    """Whether a connection is free, carries an exchange, or is closed."""

    IDLE = "idle"
    BUSY = "busy"
    CLOSED = "closed"


@dataclass(frozen=True)
class ExchangeError:
    """Why an exchange failed, and whether any byte of the request was written.

    If none was written, the peer certainly did not run the request.
    """

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
        """Return the head in HTTP/1.1 syntax, with the empty line that ends it."""
        lines = [self.method + b" " + self.target + b" HTTP/1.1"]
        lines += [name + b": " + value for name, value in self.headers]
        return b"\r\n".join(lines) + b"\r\n\r\n"


@dataclass(frozen=True)
class ResponseHead:
    """Status and headers of a response.

    ``content_length`` is in bytes, and None without a Content-Length header.
    """

    status: int
    headers: Sequence[Header]
    content_length: int | None


class HttpConnection(asyncio.Protocol):
    """A client connection that carries one request and its response at a time.

    Call ``send``, then ``read_head``, then ``read_chunk`` until it returns b"".
    After any error, or if ``reusable`` is false at the end, call ``close``;
    ``end_exchange`` does so itself. ``idle_since`` is monotonic seconds.
    """

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.state = ConnectionState.IDLE
        self.any_bytes_written = False
        self.idle_since = 0.0
        self.reusable = False
        self.response_head: ResponseHead | None = None
        self.response_complete = False
        self.error: ErrorKind | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._headers: list[Header] = []
        self._header_bytes = 0
        self._chunks: deque[bytes] = deque()
        self._buffered_bytes = 0
        # Bytes of the present exchange, and how many its reader takes; None if it
        # streams the body.
        self._received_bytes = 0
        self._byte_limit: int | None = None
        self._reading_paused = False
        self._reader_wakeup = asyncio.Event()
        self._writable = asyncio.Event()
        self._writable.set()
        self._expects_body = True

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport (asyncio callback)."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the exchange if its response is incomplete (asyncio callback)."""
        if self.state is ConnectionState.BUSY and not self.response_complete:
            self.fail(
                ErrorKind.BACKEND_TRUNCATED
                if self.response_head
                else ErrorKind.BACKEND_CLOSED
            )
        self.state = ConnectionState.CLOSED
        self.reusable = False
        self._writable.set()

    def pause_writing(self) -> None:
        """Make senders wait, as the write buffer is full (asyncio callback)."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Wake waiting senders (asyncio callback)."""
        self._writable.set()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; closes the connection on errors (asyncio callback)."""
        if self.state is not ConnectionState.BUSY or self.response_complete:
            # Bytes after or outside a response would be taken for the next response.
            if self.state is ConnectionState.BUSY:
                self.fail(ErrorKind.BACKEND_SURPLUS)
            self.close()
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # Not a subclass of HttpParserError; no request asks for an upgrade.
            self.fail(ErrorKind.BACKEND_MALFORMED)
        except httptools.HttpParserError:
            after_response = self.response_complete
            self.fail(
                ErrorKind.BACKEND_SURPLUS
                if after_response
                else ErrorKind.BACKEND_MALFORMED
            )
        self._received_bytes += len(data)
        # The parser keeps an incomplete header of any length, without a callback.
        limit = MAX_HEADER_BYTES if self.response_head is None else self._byte_limit
        if limit is not None and self._received_bytes > limit:
            self.fail(ErrorKind.BACKEND_MALFORMED)
        if self.error is not None:
            self.close()

    def on_message_begin(self) -> None:
        """Reject a second response in the same exchange (parser callback)."""
        if self.response_complete:
            self.fail(ErrorKind.BACKEND_SURPLUS)
        self._headers = []
        self._header_bytes = 0

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header, within MAX_HEADER_BYTES for all (parser callback)."""
        self._header_bytes += len(name) + len(value)
        if self._header_bytes > MAX_HEADER_BYTES:
            self.fail(ErrorKind.BACKEND_MALFORMED)
            return
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Store the response head; rejects a body without framing (parser callback)."""
        status = self._parser.get_status_code()
        if status < 200:
            if status == 101:
                self.fail(ErrorKind.BACKEND_MALFORMED)
            return
        length, chunked = body_framing(self._headers)
        has_no_body = not self._expects_body or status in NO_BODY_STATUSES
        if length is None and not chunked and not has_no_body:
            self.fail(ErrorKind.BACKEND_UNFRAMED)
            return
        if length and self._byte_limit is not None and length > self._byte_limit:
            self.fail(ErrorKind.BACKEND_MALFORMED)
            return
        self.response_head = ResponseHead(status, tuple(self._headers), length)
        if not self._expects_body:
            # The parser would wait for the body that a response to HEAD only declares.
            self.response_complete = True
            self.reusable = False
        self._reader_wakeup.set()

    def on_body(self, body: bytes) -> None:
        """Buffer a part of the body; pauses reading if too much (parser callback)."""
        self._chunks.append(body)
        self._buffered_bytes += len(body)
        if self._buffered_bytes > HIGH_WATER_BYTES and not self._reading_paused:
            self._reading_paused = True
            if self.transport is not None:
                self.transport.pause_reading()
        self._reader_wakeup.set()

    def on_message_complete(self) -> None:
        """Mark the response as complete (parser callback)."""
        if self.response_head is None:
            return
        self.response_complete = True
        self.reusable = self._expects_body and self._parser.should_keep_alive()
        self._reader_wakeup.set()

    def fail(self, kind: ErrorKind) -> None:
        """Record the first error of the exchange and wake the reader."""
        if self.error is None:
            self.error = kind
        self.reusable = False
        self._reader_wakeup.set()

    @property
    def usable(self) -> bool:
        """Return whether the connection is open and free for a new exchange."""
        return (
            self.state is ConnectionState.IDLE
            and self.transport is not None
            and not self.transport.is_closing()
        )

    def begin_exchange(self, expects_body: bool) -> None:
        """Reset the state for a new exchange."""
        self.state = ConnectionState.BUSY
        self.any_bytes_written = False
        self.response_head = None
        self.response_complete = False
        self.error = None
        self.reusable = False
        self._expects_body = expects_body
        self._chunks.clear()
        self._buffered_bytes = 0
        self._received_bytes = 0
        self._byte_limit = None
        self._reader_wakeup.clear()

    def send_buffered(
        self, head: RequestHead, body: bytes | None
    ) -> ExchangeError | None:
        """Write a request whose body is in memory.

        Returns None, or an error if the connection was not usable; then nothing was
        written.
        """
        if not self.usable or self.transport is None:
            return ExchangeError(ErrorKind.BACKEND_CLOSED, False)
        self.begin_exchange(expects_body=head.method != b"HEAD")
        self.any_bytes_written = True
        self.transport.write(head.encode() + (body or b""))
        return None

    async def send(
        self, head: RequestHead, body: bytes | AsyncIterator[bytes] | None
    ) -> Result[None, ExchangeError]:
        """Write a request; a streamed body must be framed as its head declares.

        The error's ``any_bytes_written`` is False only if nothing was handed to the
        transport.
        """
        body_in_memory = body is None or isinstance(body, bytes)
        failure = self.send_buffered(head, body if isinstance(body, bytes) else None)
        if failure is not None or self.transport is None:
            return Error(failure or ExchangeError(ErrorKind.BACKEND_CLOSED, False))
        if body_in_memory:
            await self._writable.wait()
            return Ok(None)
        assert not isinstance(body, bytes) and body is not None
        async for chunk in body:
            await self._writable.wait()
            if self.state is not ConnectionState.BUSY or self.response_head is not None:
                # The response came early or the connection closed, so the rest of the
                # body is not needed.
                self.reusable = False
                break
            self.transport.write(chunk)
        return Ok(None)

    async def read_response(
        self, on_progress: Callable[[], None]
    ) -> Result["SmallResponse", ExchangeError]:
        """Read a complete response of up to MAX_RESPONSE_BYTES.

        ``on_progress`` is called as parts arrive.
        """
        self._byte_limit = MAX_RESPONSE_BYTES
        while not self.response_complete and self.error is None:
            self._reader_wakeup.clear()
            await self._reader_wakeup.wait()
            if not self.response_complete and self._chunks:
                on_progress()
                if self._reading_paused and self.transport is not None:
                    self._reading_paused = False
                    self._buffered_bytes = 0
                    self.transport.resume_reading()
        if self.error is not None or self.response_head is None:
            return Error(self._exchange_error())
        body = self._take_buffered() if self._chunks else b""
        return Ok(
            SmallResponse(self.response_head.status, self.response_head.headers, body)
        )

    async def read_head(self) -> Result[ResponseHead, ExchangeError]:
        """Wait for the response head; the caller sets the time limit."""
        while self.response_head is None and self.error is None:
            self._reader_wakeup.clear()
            await self._reader_wakeup.wait()
        if self.error is not None or self.response_head is None:
            return Error(self._exchange_error())
        return Ok(self.response_head)

    async def read_chunk(self) -> Result[bytes, ExchangeError]:
        """Return the next part of the body, or b"" once its framing has ended it."""
        while True:
            if self.error is not None:
                return Error(self._exchange_error())
            if self._chunks:
                return Ok(self._take_buffered())
            if self.response_complete:
                return Ok(b"")
            self._reader_wakeup.clear()
            await self._reader_wakeup.wait()

    def _take_buffered(self) -> bytes:
        data = b"".join(self._chunks) if len(self._chunks) > 1 else self._chunks[0]
        self._chunks.clear()
        self._buffered_bytes = 0
        if self._reading_paused and self.transport is not None:
            self._reading_paused = False
            self.transport.resume_reading()
        return data

    def _exchange_error(self) -> ExchangeError:
        return ExchangeError(
            self.error or ErrorKind.BACKEND_CLOSED, self.any_bytes_written
        )

    def end_exchange(self, now: float) -> bool:
        """End the exchange; return whether the connection can be reused.

        A connection that cannot be reused is closed. ``now`` is monotonic seconds.
        """
        if (
            self.response_complete
            and self.reusable
            and self.state is ConnectionState.BUSY
        ):
            self.state = ConnectionState.IDLE
            self.idle_since = now
            self._parser = httptools.HttpResponseParser(self)
            return True
        self.close()
        return False

    def close(self) -> None:
        """Close the connection at once; bytes still in the write buffer are lost."""
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
    """Open a connection; on an error, no byte of a request was written."""
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_seconds):
            _, protocol = await loop.create_connection(HttpConnection, address, port)
    except OSError as error:
        # TimeoutError is an OSError.
        detail = error.strerror or "timed out"
        return Error(ExchangeError(ErrorKind.CONNECT_FAILED, False, detail))
    except (OverflowError, ValueError) as error:
        # A port out of range, or a host name that cannot be encoded.
        detail = repr(error)[:200]
        return Error(ExchangeError(ErrorKind.CONNECT_FAILED, False, detail))
    return Ok(protocol)


@dataclass(frozen=True)
class SmallResponse:
    """A complete response, with its body in memory."""

    status: int
    headers: Sequence[Header]
    body: bytes

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header, or None; ``name`` is in lower case."""
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
    """Send one request and read its complete response.

    ``on_progress`` is called as parts of the body arrive. Sets no time limit.
    """
    failure = connection.send_buffered(head, body)
    if failure is not None:
        return Error(failure)
    return await connection.read_response(on_progress)


async def request_once(
    address: str,
    port: int,
    method: str,
    target: str,
    body: bytes | None = None,
    headers: Sequence[Header] = (),
    timeout_seconds: float = 5.0,
) -> Result[SmallResponse, ExchangeError]:
    """Make one request on a connection of its own.

    ``timeout_seconds`` applies to connecting, and again to the exchange.
    """
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
