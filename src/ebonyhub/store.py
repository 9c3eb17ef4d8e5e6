"""Client of the key-value store: compare-and-swap, leases and watches.

The answer to a write can be lost after the write took effect. The error is then
UNKNOWN, and the caller has to read the key to learn whether the write took effect.
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

# Version of a key that has no value.
ABSENT = StoreVersion(0)
# Limit of the store.
MAX_VALUE_BYTES = 1_000_000
MAX_VERSION_DIGITS = 18


class StoreError(Enum):
    """Why a store call failed."""

    CONFLICT = "conflict"
    NOT_FOUND = "not_found"
    UNAVAILABLE = "unavailable"
    UNKNOWN = "unknown"


@dataclass(frozen=True)
class VersionedValue:
    """A value and the version of its key."""

    version: StoreVersion
    value: bytes


class Store(Protocol):
    """Interface of the store; each method makes one call."""

    async def get(self, key: str) -> Result[VersionedValue, StoreError]:
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
    ) -> Result[VersionedValue | None, StoreError]:
        """Wait for a version above ``after``; None if the wait times out."""

    async def grant_lease(self, ttl_seconds: float) -> Result[LeaseId, StoreError]:
        """Create a lease; the store deletes the keys attached to it when it expires."""

    async def renew_lease(self, lease: LeaseId) -> Result[None, StoreError]:
        """Extend a lease by its full duration; NOT_FOUND if it has expired."""


class HttpStore:
    """Store over its HTTP API."""

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

    async def get(self, key: str) -> Result[VersionedValue, StoreError]:
        """Read a value; errors are NOT_FOUND and UNAVAILABLE."""
        result = await self._call("get", "GET", f"/v1/keys/{key}")
        if result.is_error():
            return Error(StoreError.UNAVAILABLE)
        return decode_versioned(result.ok)

    async def compare_and_swap(
        self,
        key: str,
        expected: StoreVersion,
        value: bytes,
        lease: LeaseId | None = None,
    ) -> Result[StoreVersion, StoreError]:
        """Write if the version is ``expected``; ValueError above MAX_VALUE_BYTES."""
        if len(value) > MAX_VALUE_BYTES:
            raise ValueError(
                f"{key}: {len(value)} bytes exceed the limit of {MAX_VALUE_BYTES}"
            )
        headers = [(b"If-Match", str(expected).encode())]
        if lease is not None:
            headers.append((b"X-Lease", lease.encode()))
        result = await self._call("cas", "PUT", f"/v1/keys/{key}", value, headers)
        if result.is_error():
            return Error(store_error_of_write(result.error))
        match result.ok.status:
            case 200:
                version = version_from_header(result.ok)
                return Error(StoreError.UNKNOWN) if version is None else Ok(version)
            case 409 | 412:
                return Error(StoreError.CONFLICT)
            case _:
                return Error(StoreError.UNKNOWN)

    async def watch(
        self, key: str, after: StoreVersion
    ) -> Result[VersionedValue | None, StoreError]:
        """Wait at most ``watch_seconds`` for a version above ``after``."""
        wait = self.settings.watch_seconds
        target = f"/v1/watch/{key}?after={after}&wait_seconds={wait}"
        result = await self._call("watch", "GET", target, extra_seconds=wait)
        if result.is_error():
            return Error(StoreError.UNAVAILABLE)
        if result.ok.status == 204:
            return Ok(None)
        versioned = decode_versioned(result.ok)
        return Error(versioned.error) if versioned.is_error() else Ok(versioned.ok)

    async def grant_lease(self, ttl_seconds: float) -> Result[LeaseId, StoreError]:
        """Create a lease of ``ttl_seconds`` and return its id."""
        target = f"/v1/leases?ttl_seconds={ttl_seconds}"
        result = await self._call("grant_lease", "POST", target)
        if result.is_error():
            return Error(store_error_of_write(result.error))
        if result.ok.status != 200:
            return Error(StoreError.UNAVAILABLE)
        try:
            return Ok(LeaseId(result.ok.body.decode("ascii")))
        except UnicodeDecodeError:
            return Error(StoreError.UNKNOWN)

    async def renew_lease(self, lease: LeaseId) -> Result[None, StoreError]:
        """Extend a lease; NOT_FOUND if it has expired."""
        result = await self._call("renew_lease", "PUT", f"/v1/leases/{lease}")
        if result.is_error():
            return Error(store_error_of_write(result.error))
        if result.ok.status == 404:
            return Error(StoreError.NOT_FOUND)
        return Ok(None) if result.ok.status == 200 else Error(StoreError.UNAVAILABLE)


def store_error_of_write(error: ExchangeError) -> StoreError:
    """Return UNKNOWN if the store may have received the write, else UNAVAILABLE."""
    return StoreError.UNKNOWN if error.any_bytes_written else StoreError.UNAVAILABLE


def version_from_header(response: SmallResponse) -> StoreVersion | None:
    """Return the X-Version header, ABSENT without one, None if it is no number."""
    text = response.header(b"x-version") or b"0"
    if not text.isdigit() or len(text) > MAX_VERSION_DIGITS:
        return None
    return StoreVersion(int(text))


def decode_versioned(response: SmallResponse) -> Result[VersionedValue, StoreError]:
    """Return value and version from the response to a read or watch."""
    if response.status == 404:
        return Error(StoreError.NOT_FOUND)
    if response.status != 200:
        return Error(StoreError.UNAVAILABLE)
    version = version_from_header(response)
    if version is None:
        return Error(StoreError.UNAVAILABLE)
    return Ok(VersionedValue(version, response.body))
