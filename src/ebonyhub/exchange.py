"""One request on its way: its state, and the headers and bodies that pass through."""

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

# Request and response bodies up to this size are held in memory, which allows a
# retry and a clean error; larger ones are streamed.
SMALL_BODY_BYTES = 64 * 1024

HOP_BY_HOP = frozenset(
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
REFUSED_HEADER = b"x-not-run"


class AnswerBroken(Exception):
    """Raised after the first byte of an answer; the caller connection is aborted."""


@dataclass
class Exchange:
    """One admitted request and what is known about its attempts."""

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
    streamed_bytes: int = 0
    attempts: int = 0
    tried: set[InstanceId] = field(default_factory=set)

    @property
    def body_kept(self) -> bool:
        """Return whether the request body can be sent again."""
        return self.body is not None


@dataclass(frozen=True)
class Answer:
    """A response; ``streaming`` if its body still needs the slot and connection."""

    response: Response
    streaming: bool = False


@dataclass
class Attempt:
    """A slot and a connection that one attempt holds."""

    instance: Instance
    pool: ConnectionPool
    connection: HttpConnection
    started: float


def refusal_of(error: ExchangeError) -> Refusal:
    """Return the refusal for a failed attempt, never claiming more than is known."""
    ran = error.any_bytes_written and error.kind is not ErrorKind.BACKEND_REFUSED
    return Refusal(error.kind, error.detail, may_have_run=ran)


def header_of(headers: Sequence[Header], name: bytes) -> bytes | None:
    """Return the first value of a header (``name`` in lower case)."""
    for key, value in headers:
        if key.lower() == name:
            return value
    return None


def end_to_end(headers: Sequence[Header]) -> list[Header]:
    """Drop the headers that describe one connection or that are set anew."""
    named = header_of(headers, b"connection") or b""
    extra = {token.strip().lower() for token in named.split(b",")}
    return [
        (name, value)
        for name, value in headers
        if (lowered := name.lower()) not in HOP_BY_HOP
        and lowered not in extra
        and lowered not in (b"content-type", b"x-request-deadline-ms")
    ]


def parse_control_headers(
    headers: Sequence[Header], limits: LimitSettings
) -> Result[tuple[float, Priority], Refusal]:
    """Return (deadline in seconds from now, priority)."""
    seconds = limits.default_deadline_seconds
    priority = Priority.INTERACTIVE
    for name, value in headers:
        if name == b"x-request-deadline-ms":
            if not value.isdigit() or int(value) == 0:
                detail = "X-Request-Deadline-Ms must be a positive integer"
                return Error(Refusal(ErrorKind.INVALID_REQUEST, detail))
            seconds = min(seconds, int(value) / 1000)
        elif name == b"x-priority":
            try:
                priority = Priority(value.decode("ascii", "replace"))
            except ValueError:
                detail = "X-Priority must be interactive or batch"
                return Error(Refusal(ErrorKind.INVALID_REQUEST, detail))
    return Ok((seconds, priority))


def body_chunks(request: Request) -> AsyncIterator[bytes]:
    """Return the caller's body in pieces.

    The type stub of the library declares ``stream`` as a coroutine; it is an
    asynchronous generator.
    """
    return cast(AsyncIterator[bytes], request.stream())


async def read_small_body(request: Request, length: int) -> bytes | None:
    """Return a body that fits into memory, or None if it must be streamed."""
    if length > SMALL_BODY_BYTES:
        return None
    return await request.read() or b""
