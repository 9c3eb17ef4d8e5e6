"""HTTP client for one address, with reused connections and buffered bodies."""

import asyncio
import re

from expression import Error, Result

from .clock import Clock
from .connection_pool import ConnectionPool
from .errors import ErrorKind
from .events import Event, log_event
from .http_client import (
    ExchangeError,
    Header,
    HttpConnection,
    RequestHead,
    SmallResponse,
    send_and_receive,
)
from .path_silence import PathSilence

# Connections that were idle for longer are closed: a network path that has dropped
# their state would lose the next request.
MAX_IDLE_SECONDS = 10.0
CONNECT_TIMEOUT_SECONDS = 0.5
# Time limit for each further part of a response that has begun.
STALL_TIMEOUT_SECONDS = 0.7
# Limit of the extensions, so that a response that arrives byte by byte comes to an end.
# The largest responses take 10 s on the slowest links.
MAX_EXTENSION_SECONDS = 20.0
# Interval of the log lines on calls to one address that have timed out.
TIMEOUT_LOG_SECONDS = 1.0

# IP addresses and host names; others would be resolved in unexpected ways, or could
# write header lines of their own.
_ADDRESS = re.compile(r"([A-Za-z0-9._\-\[\]:]{1,255}):([0-9]{1,5})", re.ASCII)
_FORBIDDEN_IN_TARGET = re.compile(rb"[\x00-\x20\x7f]")
_FORBIDDEN_IN_HEADER = re.compile(rb"[\x00\r\n]")


def split_address(address: str) -> tuple[str, int] | None:
    """Return host and port of an address, None if it cannot be one."""
    match = _ADDRESS.fullmatch(address)
    if match is None or not 1 <= int(match.group(2)) <= 65535:
        return None
    return match.group(1), int(match.group(2))


class HttpSession:
    """Makes requests to one address; concurrent ones use separate connections.

    Addresses come from other programs. Calls to one that cannot exist fail as calls to
    one that does not answer. Sessions to the same address share ``silence``.
    """

    def __init__(
        self,
        address: str,
        clock: Clock,
        max_connections: int,
        silence: PathSilence | None = None,
    ) -> None:
        parts = split_address(address)
        self.address = address
        self.address_is_valid = parts is not None
        host, port = parts or ("", 0)
        self.pool = ConnectionPool(
            host,
            port,
            max_connections,
            MAX_IDLE_SECONDS,
            CONNECT_TIMEOUT_SECONDS,
            clock,
            silence,
        )
        self.connection_slots = asyncio.Semaphore(max_connections)
        self.timeout_logged_at = float("-inf")
        self.host_header = (b"Host", address.encode("ascii", "replace"))

    async def call(
        self,
        method: bytes,
        target: bytes,
        body: bytes | None,
        timeout_seconds: float,
        headers: tuple[Header, ...] = (),
        wait_seconds: float = 0.0,
    ) -> Result[SmallResponse, ExchangeError]:
        """Make one request, which is never retried.

        The response must begin within ``timeout_seconds``, for ``wait_seconds`` of
        which the peer may hold it back. A large response may take longer on a slow
        link, as long as its parts keep arriving.
        """
        problem = self._request_problem(target, headers)
        if problem:
            return Error(ExchangeError(ErrorKind.CONNECT_FAILED, False, problem))
        all_headers = [self.host_header, *headers]
        if body is not None:
            all_headers.append((b"Content-Type", b"application/json"))
            all_headers.append((b"Content-Length", str(len(body)).encode()))
        head = RequestHead(method, target, all_headers)
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_seconds
        if not self.connection_slots.locked():
            await self.connection_slots.acquire()
        else:
            try:
                async with asyncio.timeout_at(deadline):
                    await self.connection_slots.acquire()
            except TimeoutError:
                return Error(ExchangeError(ErrorKind.BACKEND_TIMEOUT, False))
        try:
            connection = self.pool.take_idle()
            if connection is None:
                opened = await self._open_connection(deadline)
                if opened.is_error():
                    return Error(opened.error)
                connection = opened.ok
            return await self._exchange_on(
                connection, head, body, deadline, wait_seconds
            )
        finally:
            self.connection_slots.release()

    def _request_problem(self, target: bytes, headers: tuple[Header, ...]) -> str:
        """Return why a request cannot be sent, or an empty string.

        Targets and headers contain ids that other programs chose.
        """
        if not self.address_is_valid:
            return "invalid address"
        if _FORBIDDEN_IN_TARGET.search(target):
            return "invalid character in the target"
        if any(_FORBIDDEN_IN_HEADER.search(value) for _, value in headers):
            return "invalid character in a header"
        return ""

    async def _open_connection(
        self, deadline: float
    ) -> Result[HttpConnection, ExchangeError]:
        try:
            async with asyncio.timeout_at(deadline):
                return await self.pool.open()
        except TimeoutError:
            return Error(ExchangeError(ErrorKind.BACKEND_TIMEOUT, False))

    async def _exchange_on(
        self,
        connection: HttpConnection,
        head: RequestHead,
        body: bytes | None,
        deadline: float,
        wait_seconds: float,
    ) -> Result[SmallResponse, ExchangeError]:
        """Make one exchange on a free connection, then return it to the pool.

        Nearly every response arrives in one part, and a timer that fails the connection
        costs a fraction of ``asyncio.timeout``.
        """
        loop = asyncio.get_running_loop()
        timeout_kind = ErrorKind.BACKEND_TIMEOUT
        timer = loop.call_at(deadline, connection.fail, timeout_kind)

        def extend_deadline() -> None:
            nonlocal timer
            timer.cancel()
            extended = max(deadline, loop.time() + STALL_TIMEOUT_SECONDS)
            latest = min(extended, deadline + MAX_EXTENSION_SECONDS)
            timer = loop.call_at(latest, connection.fail, timeout_kind)

        heard_at, sent_at = connection.idle_since, self.pool.clock.monotonic()
        try:
            result = await send_and_receive(connection, head, body, extend_deadline)
            if result.is_error() and result.error.kind is timeout_kind:
                self._log_timeout(heard_at)
                self.pool.record_timeout(sent_at + wait_seconds)
            return result
        finally:
            timer.cancel()
            self.pool.release(connection)

    def _log_timeout(self, heard_at: float) -> None:
        """Log a call without an answer; ``heard_at`` is 0 on a new connection."""
        now = self.pool.clock.monotonic()
        if now < self.timeout_logged_at + TIMEOUT_LOG_SECONDS:
            return
        self.timeout_logged_at = now
        log_event(
            Event.CALL_TIMED_OUT, address=self.address,
            heard=round(now - heard_at, 2) if heard_at else None,
            idle=len(self.pool.idle_connections), open=self.pool.open_count,
        )  # fmt: skip

    def has_idle_connection(self) -> bool:
        """Return whether a connection is open that the next call can reuse."""
        return self.pool.has_idle_connection()

    def close(self) -> None:
        """Close idle connections; those in use are not reused after their exchange."""
        self.pool.max_idle_seconds = 0.0
        self.pool.close()
