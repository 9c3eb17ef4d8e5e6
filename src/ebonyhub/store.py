"""The platform's key-value store: compare-and-swap, leases and watches.

An answer can be lost after the operation took effect, so UNKNOWN is a result of its
own; the caller reads back and compares what it finds.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from expression import Error, Ok, Result

from .http_client import ExchangeError, SmallResponse, request_once
from .ids import LeaseId, StoreVersion
from .metrics import Metrics
from .settings import StoreSettings

ABSENT = StoreVersion(0)
MAX_VALUE_BYTES = 1_000_000


class StoreError(Enum):
    """Why a store call gave no value."""

    CONFLICT = "conflict"
    NOT_FOUND = "not_found"
    UNAVAILABLE = "unavailable"
    UNKNOWN = "unknown"


@dataclass(frozen=True)
class Versioned:
    """A value together with the store version that wrote it."""

    version: StoreVersion
    value: bytes


class Store(Protocol):
    """Typed interface of the store; every method is one store call."""

    async def get(self, key: str) -> Result[Versioned, StoreError]:
        """Read a value; errors are NOT_FOUND and UNAVAILABLE."""

    async def compare_and_swap(
        self,
        key: str,
        expected: StoreVersion,
        value: bytes,
        lease: LeaseId | None = None,
    ) -> Result[StoreVersion, StoreError]:
        """Write if the version is ``expected`` (ABSENT: no value).

        Errors: CONFLICT and UNAVAILABLE (not applied), UNKNOWN (perhaps applied).
        """

    async def watch(
        self, key: str, after: StoreVersion
    ) -> Result[Versioned | None, StoreError]:
        """Wait for a version above ``after``; None if the wait ends without one."""

    async def grant_lease(self, ttl_seconds: float) -> Result[LeaseId, StoreError]:
        """Create a lease; the keys bound to it are deleted when it lapses."""

    async def renew_lease(self, lease: LeaseId) -> Result[None, StoreError]:
        """Extend a lease by its full duration; NOT_FOUND if it has lapsed."""


class HttpStore:
    """Client of the store's HTTP protocol."""

    def __init__(self, settings: StoreSettings, metrics: Metrics) -> None:
        self.settings = settings
        self.metrics = metrics

    async def _call(
        self,
        operation: str,
        method: str,
        target: str,
        body: bytes | None = None,
        headers: Sequence[tuple[bytes, bytes]] = (),
        extra_seconds: float = 0.0,
    ) -> Result[SmallResponse, ExchangeError]:
        result = await request_once(
            self.settings.address,
            self.settings.port,
            method,
            target,
            body,
            headers,
            self.settings.timeout_seconds + extra_seconds,
        )
        label = str(result.ok.status) if result.is_ok() else result.error.kind.value
        self.metrics.store_calls.labels(operation, label).inc()
        return result

    async def get(self, key: str) -> Result[Versioned, StoreError]:
        """Read a value."""
        result = await self._call("get", "GET", f"/v1/keys/{key}")
        if result.is_error():
            return Error(StoreError.UNAVAILABLE)
        return read_versioned(result.ok)

    async def compare_and_swap(
        self,
        key: str,
        expected: StoreVersion,
        value: bytes,
        lease: LeaseId | None = None,
    ) -> Result[StoreVersion, StoreError]:
        """Write if the version is ``expected``."""
        if len(value) > MAX_VALUE_BYTES:
            raise ValueError(f"{key}: {len(value)} bytes exceed the store's limit")
        headers = [(b"If-Match", str(expected).encode())]
        if lease is not None:
            headers.append((b"X-Lease", lease.encode()))
        result = await self._call("cas", "PUT", f"/v1/keys/{key}", value, headers)
        if result.is_error():
            return Error(write_error(result.error))
        match result.ok.status:
            case 200:
                return Ok(read_version(result.ok))
            case 409 | 412:
                return Error(StoreError.CONFLICT)
            case _:
                return Error(StoreError.UNKNOWN)

    async def watch(
        self, key: str, after: StoreVersion
    ) -> Result[Versioned | None, StoreError]:
        """Wait for a newer version, at most ``watch_seconds``."""
        wait = self.settings.watch_seconds
        target = f"/v1/watch/{key}?after={after}&wait_seconds={wait}"
        result = await self._call("watch", "GET", target, extra_seconds=wait)
        if result.is_error():
            return Error(StoreError.UNAVAILABLE)
        if result.ok.status == 204:
            return Ok(None)
        versioned = read_versioned(result.ok)
        return Error(versioned.error) if versioned.is_error() else Ok(versioned.ok)

    async def grant_lease(self, ttl_seconds: float) -> Result[LeaseId, StoreError]:
        """Create a lease."""
        target = f"/v1/leases?ttl_seconds={ttl_seconds}"
        result = await self._call("grant_lease", "POST", target)
        if result.is_error():
            return Error(write_error(result.error))
        if result.ok.status != 200:
            return Error(StoreError.UNAVAILABLE)
        return Ok(LeaseId(result.ok.body.decode()))

    async def renew_lease(self, lease: LeaseId) -> Result[None, StoreError]:
        """Extend a lease."""
        result = await self._call("renew_lease", "PUT", f"/v1/leases/{lease}")
        if result.is_error():
            return Error(write_error(result.error))
        if result.ok.status == 404:
            return Error(StoreError.NOT_FOUND)
        return Ok(None) if result.ok.status == 200 else Error(StoreError.UNAVAILABLE)


def write_error(error: ExchangeError) -> StoreError:
    """Return UNKNOWN if a byte of the write may have reached the store."""
    return StoreError.UNKNOWN if error.any_bytes_written else StoreError.UNAVAILABLE


def read_version(response: SmallResponse) -> StoreVersion:
    """Return the version header of a response."""
    return StoreVersion(int(response.header(b"x-version") or b"0"))


def read_versioned(response: SmallResponse) -> Result[Versioned, StoreError]:
    """Return the value of a read."""
    if response.status == 404:
        return Error(StoreError.NOT_FOUND)
    if response.status != 200:
        return Error(StoreError.UNAVAILABLE)
    return Ok(Versioned(read_version(response), response.body))
