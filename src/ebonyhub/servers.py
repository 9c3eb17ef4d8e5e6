"""HTTP servers that run as supervised tasks."""

import contextlib
from collections.abc import Iterator

import uvicorn
from blacksheep import Application

from .settings import Listener


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
        http="httptools",
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
