"""State of a relayed request, and the handling of its headers and body."""

from collections.abc import AsyncIterator, Sequence
from dataclasses import dataclass, field
from typing import cast

from blacksheep import Request, Response
from expression import Error, Ok, Result

from .admission import Priority
from .balancing import Instance
from .connection_pool import ConnectionPool
from .errors import ErrorKind, Refusal
from .http_client import (
    ExchangeError,
    Header,
    HttpConnection,
)
from .ids import InstanceId, ServiceName
from .retries import MethodClass
from .settings import LimitSettings

# Request and response bodies up to this size are buffered, so that a failed attempt
# can be retried or reported with an error status. Larger ones are streamed.
MAX_BUFFERED_BODY_BYTES = 64 * 1024

MAX_DEADLINE_DIGITS = 15

# Hop-by-hop headers, and headers that are set anew on the forwarded message.
NOT_FORWARDED_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"host",
        b"expect",
    }
)
# A backend server sets this to "true" on a 503 for a request that it did not run.
NOT_RUN_HEADER = b"x-not-run"


class ResponseAborted(Exception):
    """A response failed after its head was sent; the caller connection is aborted."""


@dataclass
class Exchange:
    """A validated request and the attempts made for it.

    ``deadline`` is monotonic seconds. ``body`` is None if the body is streamed;
    ``body_length`` is in bytes, and None without a Content-Length.
    """

    request: Request
    service: ServiceName
    target: bytes
    method: str
    method_class: MethodClass
    priority: Priority
    deadline: float
    headers: Sequence[Header]
    body: bytes | None
    body_length: int | None
    chunked: bool
    streamed_body_bytes: int = 0
    attempts: int = 0
    tried_instances: set[InstanceId] = field(default_factory=set)

    @property
    def body_buffered(self) -> bool:
        """Return whether the body is in memory, so that it can be sent again."""
        return self.body is not None


@dataclass(frozen=True)
class RelayedResponse:
    """A response for the caller.

    If ``streaming``, the slot and the connection are held until its body has been sent.
    """

    response: Response
    streaming: bool = False


@dataclass
class Attempt:
    """The slot and connection of one attempt, held since ``started``.

    ``started`` is monotonic seconds.
    """

    instance: Instance
    pool: ConnectionPool
    connection: HttpConnection
    started: float


def refusal_for_error(error: ExchangeError) -> Refusal:
    """Return the refusal for a failed attempt; "not run" only if that is certain."""
    may_have_run = (
        error.any_bytes_written and error.kind is not ErrorKind.BACKEND_REFUSED
    )
    return Refusal(error.kind, error.detail, may_have_run=may_have_run)


def get_header(headers: Sequence[Header], name: bytes) -> bytes | None:
    """Return the first value of a header, or None; ``name`` is in lower case."""
    for key, value in headers:
        if key.lower() == name:
            return value
    return None


def end_to_end_headers(headers: Sequence[Header]) -> list[Header]:
    """Return the headers that are forwarded unchanged."""
    connection_header = get_header(headers, b"connection") or b""
    connection_options = {
        token.strip().lower() for token in connection_header.split(b",")
    }
    return [
        (name, value)
        for name, value in headers
        if (lowered := name.lower()) not in NOT_FORWARDED_HEADERS
        and lowered not in connection_options
        and lowered not in (b"content-type", b"x-request-deadline-ms")
    ]


def parse_control_headers(
    headers: Sequence[Header], limits: LimitSettings
) -> Result[tuple[float, Priority], Refusal]:
    """Return (seconds until the deadline, priority), or a refusal of invalid values.

    The default deadline is also the longest that a caller can ask for.
    """
    timeout_seconds = limits.default_deadline_seconds
    priority = Priority.INTERACTIVE
    for name, value in headers:
        if name == b"x-request-deadline-ms":
            if not value.isdigit() or not value.strip(b"0"):
                detail = "X-Request-Deadline-Ms must be a positive integer"
                return Error(Refusal(ErrorKind.INVALID_REQUEST, detail))
            # Longer numbers exceed every default, and those of 310 digits every float.
            if len(value) <= MAX_DEADLINE_DIGITS:
                timeout_seconds = min(timeout_seconds, int(value) / 1000)
        elif name == b"x-priority":
            try:
                priority = Priority(value.decode("ascii", "replace"))
            except ValueError:
                detail = "X-Priority must be interactive or batch"
                return Error(Refusal(ErrorKind.INVALID_REQUEST, detail))
    return Ok((timeout_seconds, priority))


def request_body_chunks(request: Request) -> AsyncIterator[bytes]:
    """Iterate over the caller's body in chunks.

    The type stub of blacksheep declares ``stream`` as a coroutine, but it is an
    asynchronous generator.
    """
    return cast(AsyncIterator[bytes], request.stream())


async def read_body_if_small(request: Request, length: int) -> bytes | None:
    """Return a body that is small enough to buffer, or None if it must be streamed."""
    if length > MAX_BUFFERED_BODY_BYTES:
        return None
    return await request.read() or b""
