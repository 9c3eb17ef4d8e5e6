"""HTTP servers that run as supervised tasks."""

import contextlib
from collections.abc import Iterator

import uvicorn
from blacksheep import Application
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from .settings import Listener

# Limit of a request's line and headers; the parser keeps them whole in memory.
MAX_HEAD_BYTES = 64 * 1024
_TOO_LARGE = (
    b"HTTP/1.1 431 Request Header Fields Too Large\r\n"
    b"Content-Length: 0\r\nConnection: close\r\n\r\n"
)


class BoundedHttpProtocol(HttpToolsProtocol):
    """Closes a connection whose request head exceeds MAX_HEAD_BYTES."""

    head_bytes = 0
    reads_head = False

    def data_received(self, data: bytes) -> None:
        """Parse received bytes and count those of an incomplete head.

        The bytes in which a head begins are not counted, as a body may precede it.
        """
        continues_head = self.reads_head
        super().data_received(data)
        if not (continues_head and self.reads_head) or self.transport.is_closing():
            return
        self.head_bytes += len(data)
        if self.head_bytes > MAX_HEAD_BYTES:
            self.transport.write(_TOO_LARGE)
            self.transport.close()

    def on_message_begin(self) -> None:
        """Start to count the bytes of a head (parser callback)."""
        self.reads_head, self.head_bytes = True, 0
        super().on_message_begin()

    def on_headers_complete(self) -> None:
        """Stop to count the bytes of a head (parser callback)."""
        self.reads_head = False
        super().on_headers_complete()


class HttpServer(uvicorn.Server):
    """A uvicorn server without signal handlers; ``run_until_signal`` has them."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Install no signal handlers."""
        yield


def build_server(app: Application, listener: Listener) -> HttpServer:
    """Return a server for one listener that uses asyncio and httptools."""
    config = uvicorn.Config(
        app,
        host=listener.address,
        port=listener.port,
        # Not uvloop: its libuv may use io_uring, which is not allowed.
        loop="asyncio",
        http=BoundedHttpProtocol,
        lifespan="off",
        log_config=None,
        access_log=False,
        server_header=False,
        date_header=False,
        backlog=4096,
    )
    return HttpServer(config)


async def run_server(server: HttpServer) -> None:
    """Serve until ``should_exit`` is set and all open requests are answered."""
    await server.serve()
