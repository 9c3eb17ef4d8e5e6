"""Decoding of bytes that other programs wrote.

Everything that arrives from outside the process is decoded into a typed struct at its
boundary. Input that cannot be used becomes an ``Error``, never an exception.
"""

import re
from ipaddress import AddressValueError, IPv4Address
from typing import Annotated, Any, Protocol, TypeVar

import msgspec
from expression import Error, Ok, Result

T = TypeVar("T")
T_co = TypeVar("T_co", covariant=True)

# Raised by decoders on malformed input. Deep nesting raises RecursionError, and numbers
# without bounds raise OverflowError once they are converted.
DECODE_ERRORS = (
    msgspec.MsgspecError, RecursionError, OverflowError, ValueError, TypeError,
    LookupError, AttributeError,
)  # fmt: skip

# Integers above 2**53 lose precision in other JSON libraries, and those above 2**64
# cannot be encoded again.
MAX_INTEGER = 2**53
Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]
Name = Annotated[str, msgspec.Meta(max_length=256)]

_ADDRESS = re.compile(r"([0-9.]{7,15}):([0-9]{1,5})")
MAX_PORT = 65_535


class Decoder(Protocol[T_co]):
    """Decodes bytes, as the decoders of msgspec do."""

    def __call__(self, buf: bytes, /) -> T_co:
        """Return the decoded value; raises one of DECODE_ERRORS."""


def try_decode(decode: Decoder[T], data: bytes) -> Result[T, str]:
    """Decode ``data``; the error is a text for the log."""
    try:
        return Ok(decode(data))
    except DECODE_ERRORS as error:
        return Error(describe(error))


def describe(error: BaseException, limit: int = 200) -> str:
    """Return a bounded text for the log; input may stand in an error's message."""
    return repr(error)[:limit]


def try_convert(value: Any, target: type[T]) -> Result[T, str]:
    """Convert plain values to ``target``; the error is a text for the log."""
    try:
        return Ok(msgspec.convert(value, target))
    except DECODE_ERRORS as error:
        return Error(describe(error))


def parse_address(text: str) -> Result[tuple[str, int], str]:
    """Return host and port of a literal IPv4 address; the error is for the log.

    Host names are refused, because looking one up may block and may fail with errors
    other than OSError.
    """
    found = _ADDRESS.fullmatch(text)
    if found is None:
        return Error(f"not an IPv4 address and port: {text[:80]!r}")
    host, port = found[1], int(found[2])
    try:
        IPv4Address(host)
    except AddressValueError as error:
        return Error(describe(error))
    if not 1 <= port <= MAX_PORT:
        return Error(f"port out of range: {text!r}")
    return Ok((host, port))
