"""Guards against accepting a truncated or malformed response as complete."""

import asyncio
from collections import Counter

import pytest

from ebonyhub.clock import SystemClock
from ebonyhub.errors import ErrorKind
from ebonyhub.http_client import RequestHead, open_connection, send_and_receive
from ebonyhub.http_session import HttpSession
from standins.backend import BackendState, InstanceProtocol


async def connect_to_backend():
    state = BackendState(Counter(), 0.0)
    loop = asyncio.get_running_loop()
    server = await loop.create_server(
        lambda: InstanceProtocol(state, "quotes"), "127.0.0.1", 0
    )
    port = server.sockets[0].getsockname()[1]
    return server, state, (await open_connection("127.0.0.1", port, 5.0)).ok


def head_for(behaviour, method=b"GET"):
    target = f"/quotes/a?do={behaviour}&size=500".encode()
    return RequestHead(method, target, [(b"Host", b"b"), (b"X-Request-Id", b"r1")])


@pytest.mark.parametrize(
    ("behaviour", "kind"),
    [
        ("truncate", ErrorKind.BACKEND_TRUNCATED),
        ("truncate_chunked", ErrorKind.BACKEND_TRUNCATED),
        ("surplus", ErrorKind.BACKEND_SURPLUS),
        ("unframed", ErrorKind.BACKEND_UNFRAMED),
        ("close", ErrorKind.BACKEND_CLOSED),
    ],
)
async def test_broken_response_is_an_error(behaviour, kind):
    server, state, connection = await connect_to_backend()
    result = await send_and_receive(connection, head_for(behaviour), None)
    assert result.error.kind is kind
    assert result.error.any_bytes_written
    assert not connection.end_exchange(0.0)
    assert state.run_counts["r1"] == 1
    server.close()


@pytest.mark.parametrize("behaviour", ["answer", "chunked"])
async def test_connection_is_reused_after_a_complete_response(behaviour):
    server, state, connection = await connect_to_backend()
    for number in range(1, 4):
        result = await send_and_receive(connection, head_for(behaviour), None)
        assert result.ok.status == 200
        assert connection.end_exchange(0.0)
        assert state.run_counts["r1"] == number
    connection.close()
    server.close()


async def test_abandoned_response_makes_the_connection_unusable():
    server, _, connection = await connect_to_backend()
    await connection.send(head_for("silent"), None)
    assert not connection.end_exchange(0.0)
    assert not connection.usable
    server.close()


async def test_head_response_has_no_body():
    server, _, connection = await connect_to_backend()
    result = await send_and_receive(connection, head_for("answer", b"HEAD"), None)
    assert (result.ok.status, result.ok.body) == (200, b"")
    connection.close()
    server.close()


async def test_refused_connection_reports_that_nothing_was_written():
    result = await open_connection("127.0.0.1", 1, 5.0)
    assert result.error.kind is ErrorKind.CONNECT_FAILED
    assert not result.error.any_bytes_written


@pytest.mark.parametrize(
    ("pauses", "succeeds"), [([0.3, 0.3, 0.3, 0.3], True), ([0.3, 2.0], False)]
)
async def test_time_limit_covers_the_first_part_and_each_pause(pauses, succeeds):
    """Guards against a time limit for the whole response.

    Over a slow link, a large response (the configuration, for example) would exceed it
    on every attempt.
    """

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        length = len(pauses)
        writer.write(f"HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n".encode())
        for pause in pauses:
            await asyncio.sleep(pause)
            writer.write(b"x")
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    session = HttpSession(f"127.0.0.1:{port}", SystemClock(), 1)
    result = await session.call(b"GET", b"/", None, 0.5)
    assert result.is_ok() == succeeds
    session.close()
    server.close()
