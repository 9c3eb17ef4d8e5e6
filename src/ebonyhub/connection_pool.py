"""Pool of reusable HTTP connections to one address."""

from collections import deque

from expression import Error, Ok, Result

from .clock import Clock
from .errors import ErrorKind
from .http_client import ExchangeError, HttpConnection, open_connection
from .path_silence import PathSilence

# A backend server may close an idle connection at any moment, and the outcome of a
# request written to it at that moment is unknown. Requests that cannot be retried
# therefore use only connections that were idle for less than this.
MAX_RECENT_IDLE_SECONDS = 1.0


class ConnectionPool:
    """Owns at most ``max_connections`` connections to one address.

    ``open_count`` counts the idle ones, those in use and those being opened.
    ``silence`` is shared with other pools to the same address.
    """

    def __init__(
        self,
        address: str,
        port: int,
        max_connections: int,
        max_idle_seconds: float,
        connect_timeout_seconds: float,
        clock: Clock,
        silence: PathSilence | None = None,
    ) -> None:
        self.address = address
        self.port = port
        self.max_connections = max_connections
        self.max_idle_seconds = max_idle_seconds
        self.connect_timeout_seconds = connect_timeout_seconds
        self.clock = clock
        self.silence = silence or PathSilence()
        self.idle_connections: deque[HttpConnection] = deque()
        self.open_count = 0

    async def acquire(
        self, recently_used_only: bool = False
    ) -> Result[HttpConnection, ExchangeError]:
        """Return an idle connection, or open one.

        ``recently_used_only`` is for requests that cannot be retried. On an error, no
        byte of the request was written.
        """
        max_idle_seconds = (
            MAX_RECENT_IDLE_SECONDS if recently_used_only else self.max_idle_seconds
        )
        connection = self.take_idle(max_idle_seconds)
        return Ok(connection) if connection is not None else await self.open()

    def take_idle(self, max_idle_seconds: float | None = None) -> HttpConnection | None:
        """Return an idle connection that is still open, or None."""
        if max_idle_seconds is None:
            max_idle_seconds = self.max_idle_seconds
        self.close_expired(max_idle_seconds)
        while self.idle_connections:
            # The most recently used one is the least likely to have been dropped.
            connection = self.idle_connections.pop()
            if self._is_reusable(connection):
                return connection
            self.discard(connection)
        return None

    async def open(self) -> Result[HttpConnection, ExchangeError]:
        """Open a connection; on an error, no byte of the request was written."""
        if self.open_count >= self.max_connections:
            return Error(ExchangeError(ErrorKind.CONNECTION_LIMIT, False))
        self.open_count += 1
        opened = await self._connect()
        if opened.is_error():
            self.open_count -= 1
        return opened

    def has_idle_connection(self) -> bool:
        """Return whether an idle connection is open that the next request uses."""
        oldest_allowed = self.clock.monotonic() - self.max_idle_seconds
        return any(
            self._is_reusable(connection) and connection.idle_since >= oldest_allowed
            for connection in self.idle_connections
        )

    def _is_reusable(self, connection: HttpConnection) -> bool:
        return connection.usable and not self.silence.is_suspect(connection.idle_since)

    async def _connect(self) -> Result[HttpConnection, ExchangeError]:
        try:
            return await open_connection(
                self.address, self.port, self.connect_timeout_seconds
            )
        except BaseException:
            # Cancelled while connecting: the connection no longer counts as open.
            self.open_count -= 1
            raise

    def release(self, connection: HttpConnection) -> None:
        """Take back a connection, for reuse only if its exchange is complete."""
        if connection.end_exchange(self.clock.monotonic()):
            self.idle_connections.append(connection)
        else:
            self.open_count -= 1

    def record_timeout(self, due_at: float) -> None:
        """Note that an answer that was due from ``due_at`` on has not come by now.

        Closes the idle connections that may be silent as well.
        """
        self.silence.record_timeout(due_at, self.clock.monotonic())
        while self.idle_connections and self.silence.is_suspect(
            self.idle_connections[0].idle_since
        ):
            self.discard(self.idle_connections.popleft())

    def discard(self, connection: HttpConnection) -> None:
        """Close an idle connection and remove it from the count."""
        connection.close()
        self.open_count -= 1

    def close_expired(self, max_idle_seconds: float) -> None:
        """Close the connections that were idle for longer than ``max_idle_seconds``."""
        oldest_allowed = self.clock.monotonic() - max_idle_seconds
        while (
            self.idle_connections
            and self.idle_connections[0].idle_since < oldest_allowed
        ):
            self.discard(self.idle_connections.popleft())

    def close(self) -> None:
        """Close all idle connections; those in use stay open."""
        while self.idle_connections:
            self.discard(self.idle_connections.popleft())
