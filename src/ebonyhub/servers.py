"""HTTP servers as tasks of the supervisor tree."""

import contextlib
from collections.abc import Iterator

import uvicorn
from blacksheep import Application

from .settings import Listener


class HttpServer(uvicorn.Server):
    """A server that leaves signals to the composition root."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Install no signal handlers."""
        yield


def build_server(app: Application, listener: Listener) -> HttpServer:
    """Return a server for one listener, on plain asyncio and httptools."""
    config = uvicorn.Config(
        app,
        host=listener.address,
        port=listener.port,
        # The event library of uvloop can use io_uring, which is not allowed.
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
    """Serve until ``should_exit`` is set and open requests are answered."""
    await server.serve()
