"""Connections of this entry to one instance."""

from collections import deque

from expression import Error, Ok, Result

from .clock import Clock
from .errors import ErrorKind
from .http_client import ExchangeError, HttpConnection, open_connection

# A backend server may close an idle connection at any moment. A non-idempotent
# request that meets this has an unknown outcome, so it uses only connections that
# were idle for less than this.
RECENTLY_USED_SECONDS = 1.0


class ConnectionPool:
    """Owns at most ``limit`` connections to one address."""

    def __init__(
        self,
        address: str,
        port: int,
        limit: int,
        idle_seconds: float,
        connect_timeout_seconds: float,
        clock: Clock,
    ) -> None:
        self.address = address
        self.port = port
        self.limit = limit
        self.idle_seconds = idle_seconds
        self.connect_timeout_seconds = connect_timeout_seconds
        self.clock = clock
        self.idle: deque[HttpConnection] = deque()
        self.open_count = 0

    async def acquire(
        self, recently_used_only: bool = False
    ) -> Result[HttpConnection, ExchangeError]:
        """Return an idle connection or open one; errors prove "not run"."""
        max_idle = RECENTLY_USED_SECONDS if recently_used_only else self.idle_seconds
        connection = self.take_idle(max_idle)
        return Ok(connection) if connection is not None else await self.open()

    def take_idle(self, max_idle_seconds: float | None = None) -> HttpConnection | None:
        """Return a connection that is open and idle, None if there is none."""
        if max_idle_seconds is None:
            max_idle_seconds = self.idle_seconds
        self.close_idle(max_idle_seconds)
        while self.idle:
            # The newest connection is the least likely to have gone silent.
            connection = self.idle.pop()
            if connection.usable:
                return connection
            self.discard(connection)
        return None

    async def open(self) -> Result[HttpConnection, ExchangeError]:
        """Open a connection; errors prove "not run"."""
        if self.open_count >= self.limit:
            return Error(ExchangeError(ErrorKind.CONNECTION_LIMIT, False))
        self.open_count += 1
        opened = await self._open()
        if opened.is_error():
            self.open_count -= 1
        return opened

    def has_idle_connection(self) -> bool:
        """Return whether ``acquire`` would use a connection that is already open."""
        return any(connection.usable for connection in self.idle)

    async def _open(self) -> Result[HttpConnection, ExchangeError]:
        try:
            return await open_connection(
                self.address, self.port, self.connect_timeout_seconds
            )
        except BaseException:
            # Cancelled while connecting: the count must not keep the connection.
            self.open_count -= 1
            raise

    def release(self, connection: HttpConnection) -> None:
        """Take a connection back; it is kept only if its exchange ended cleanly."""
        if connection.finish(self.clock.monotonic()):
            self.idle.append(connection)
        else:
            self.open_count -= 1

    def discard(self, connection: HttpConnection) -> None:
        """Close a connection that must not be used again."""
        connection.close()
        self.open_count -= 1

    def close_idle(self, max_idle_seconds: float) -> None:
        """Close the connections that were idle for longer than the limit."""
        oldest_allowed = self.clock.monotonic() - max_idle_seconds
        while self.idle and self.idle[0].idle_since < oldest_allowed:
            self.discard(self.idle.popleft())

    def close(self) -> None:
        """Close all idle connections."""
        while self.idle:
            self.discard(self.idle.popleft())
