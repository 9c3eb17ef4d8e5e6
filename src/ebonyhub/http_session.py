"""Small exchanges with one address over reused connections."""

import asyncio

from expression import Error, Result

from .clock import Clock
from .connection_pool import ConnectionPool
from .errors import ErrorKind
from .http_client import (
    ExchangeError,
    Header,
    HttpConnection,
    RequestHead,
    SmallResponse,
    send_and_receive,
)

# Connections without use for longer are closed; a path that forgot them would
# swallow the next request.
IDLE_SECONDS = 10.0
CONNECT_TIMEOUT_SECONDS = 0.5
# Seconds without a further part of a response that has begun.
STALL_SECONDS = 0.7


class HttpSession:
    """Makes calls to one address; calls run side by side on separate connections."""

    def __init__(self, address: str, clock: Clock, connection_limit: int) -> None:
        host, _, port = address.rpartition(":")
        self.address = address
        self.pool = ConnectionPool(
            host,
            int(port),
            connection_limit,
            IDLE_SECONDS,
            CONNECT_TIMEOUT_SECONDS,
            clock,
        )
        self.slots = asyncio.Semaphore(connection_limit)
        self.host_header = (b"Host", address.encode())

    async def call(
        self,
        method: bytes,
        target: bytes,
        body: bytes | None,
        timeout_seconds: float,
        headers: tuple[Header, ...] = (),
    ) -> Result[SmallResponse, ExchangeError]:
        """Make one exchange; it is never repeated.

        The response must begin within ``timeout_seconds``. A large one may take longer
        on a slow link, as long as its parts keep arriving.
        """
        all_headers = [self.host_header, *headers]
        if body is not None:
            all_headers.append((b"Content-Type", b"application/json"))
            all_headers.append((b"Content-Length", str(len(body)).encode()))
        head = RequestHead(method, target, all_headers)
        loop = asyncio.get_running_loop()
        end = loop.time() + timeout_seconds
        if not self.slots.locked():
            await self.slots.acquire()
        else:
            try:
                async with asyncio.timeout_at(end):
                    await self.slots.acquire()
            except TimeoutError:
                return Error(ExchangeError(ErrorKind.BACKEND_TIMEOUT, False))
        try:
            connection = self.pool.take_idle()
            if connection is None:
                opened = await self._open(end)
                if opened.is_error():
                    return Error(opened.error)
                connection = opened.ok
            return await self._exchange(connection, head, body, end)
        finally:
            self.slots.release()

    async def _open(self, end: float) -> Result[HttpConnection, ExchangeError]:
        try:
            async with asyncio.timeout_at(end):
                return await self.pool.open()
        except TimeoutError:
            return Error(ExchangeError(ErrorKind.BACKEND_TIMEOUT, False))

    async def _exchange(
        self,
        connection: HttpConnection,
        head: RequestHead,
        body: bytes | None,
        end: float,
    ) -> Result[SmallResponse, ExchangeError]:
        """Make one exchange on a connection that is free.

        A timer that fails the connection costs a fraction of a scope with a time limit,
        and nearly every answer arrives in one part.
        """
        loop = asyncio.get_running_loop()
        timeout = ErrorKind.BACKEND_TIMEOUT
        timer = loop.call_at(end, connection.fail, timeout)

        def extend() -> None:
            nonlocal timer
            timer.cancel()
            later = max(end, loop.time() + STALL_SECONDS)
            timer = loop.call_at(later, connection.fail, timeout)

        try:
            return await send_and_receive(connection, head, body, extend)
        finally:
            timer.cancel()
            self.pool.release(connection)

    def has_idle_connection(self) -> bool:
        """Return whether the next call uses a connection that is already open."""
        return self.pool.has_idle_connection()

    def close(self) -> None:
        """Close idle connections; busy ones close when their exchange ends."""
        self.pool.idle_seconds = 0.0
        self.pool.close()
