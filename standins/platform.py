"""Stand-in for the platform's store and VM list, over HTTP.

Faults are set by POST /faults?mode=MODE, where MODE is one of FaultMode; for "slow" add
&seconds=S. The VM list lags by ``lag_seconds``.
"""

import argparse
import asyncio
import time
from collections import deque
from dataclasses import dataclass, field
from enum import Enum
from itertools import count

import msgspec
import uvicorn
from blacksheep import Application, Content, Request, Response, Router


class FaultMode(Enum):
    """Fault of the store that is switched on."""

    NONE = "none"
    DOWN = "down"
    SLOW = "slow"
    LOSE_ANSWER = "lose_answer"


class AnswerLost(Exception):
    """Closes the connection without an answer after the call took effect."""


@dataclass
class StoredValue:
    """Value of a key with its version and the lease that it is bound to."""

    version: int
    value: bytes
    lease: str | None


@dataclass
class StoreState:
    """Keys, leases and the current fault; a lease is (TTL in seconds, expiry)."""

    keys: dict[str, StoredValue] = field(default_factory=dict)
    leases: dict[str, tuple[float, float]] = field(default_factory=dict)
    versions: "count[int]" = field(default_factory=lambda: count(1))
    lease_numbers: "count[int]" = field(default_factory=lambda: count(1))
    value_changed: asyncio.Condition = field(default_factory=asyncio.Condition)
    fault: FaultMode = FaultMode.NONE
    fault_seconds: float = 0.0
    call_counts: dict[str, int] = field(default_factory=dict)

    def expire_leases(self, now: float) -> None:
        """Remove expired leases and the keys bound to them."""
        expired = {name for name, (_, until) in self.leases.items() if until <= now}
        for name in expired:
            del self.leases[name]
        expired_keys = [
            key for key, stored in self.keys.items() if stored.lease in expired
        ]
        for key in expired_keys:
            del self.keys[key]

    def compare_and_swap(
        self, key: str, expected: int, value: bytes, lease: str | None
    ) -> int | None:
        """Write if the version matches; return the new version or None."""
        stored = self.keys.get(key)
        current_version = stored.version if stored else 0
        if current_version != expected or (
            lease is not None and lease not in self.leases
        ):
            return None
        version = next(self.versions)
        self.keys[key] = StoredValue(version, value, lease)
        return version


@dataclass
class VmListState:
    """The list of VM states that is served, and later ones that the lag hides."""

    lag_seconds: float
    served: dict[str, str] = field(default_factory=dict)
    pending: deque[tuple[float, dict[str, str]]] = field(default_factory=deque)

    def update(self, now: float, states: dict[str, str]) -> None:
        """Set new states, which become visible after the lag."""
        self.pending.append((now + self.lag_seconds, states))

    def visible(self, now: float) -> dict[str, str]:
        """Return the states that are visible at ``now``."""
        while self.pending and self.pending[0][0] <= now:
            self.served = self.pending.popleft()[1]
        return self.served


def query_parameter(request: Request, name: str, default: str) -> str:
    """Return the first value of a query parameter."""
    return (request.query.get(name) or [default])[0]


def store_key(request: Request) -> str:
    """Return the store key that the path names."""
    values = request.route_values or {}
    return f"{values['area']}/{values['name']}"


def value_response(stored: StoredValue) -> Response:
    """Return the response with a value and its version."""
    headers = [(b"X-Version", str(stored.version).encode())]
    content = Content(b"application/octet-stream", stored.value)
    return Response(200, headers, content)


async def begin_call(state: StoreState, operation: str) -> Response | None:
    """Count a call and apply the faults that act before it takes effect."""
    state.call_counts[operation] = state.call_counts.get(operation, 0) + 1
    state.expire_leases(time.monotonic())
    if state.fault is FaultMode.DOWN:
        return Response(503)
    if state.fault is FaultMode.SLOW:
        await asyncio.sleep(state.fault_seconds)
    return None


def end_call(state: StoreState) -> None:
    """Apply the fault that acts after the call has taken effect."""
    if state.fault is FaultMode.LOSE_ANSWER:
        raise AnswerLost


def add_store_routes(app: Application, state: StoreState) -> None:
    """Add the routes of keys, watches and leases."""

    @app.router.get("/v1/keys/{area}/{name}")
    async def get(request: Request) -> Response:
        fault_response = await begin_call(state, "get")
        if fault_response is not None:
            return fault_response
        stored = state.keys.get(store_key(request))
        return value_response(stored) if stored else Response(404)

    @app.router.put("/v1/keys/{area}/{name}")
    async def put(request: Request) -> Response:
        value = await request.read() or b""
        fault_response = await begin_call(state, "cas")
        if fault_response is not None:
            return fault_response
        expected = int(request.get_first_header(b"If-Match") or b"0")
        lease = request.get_first_header(b"X-Lease")
        version = state.compare_and_swap(
            store_key(request), expected, value, lease.decode() if lease else None
        )
        if version is None:
            return Response(409)
        async with state.value_changed:
            state.value_changed.notify_all()
        end_call(state)
        return Response(200, [(b"X-Version", str(version).encode())])

    @app.router.get("/v1/watch/{area}/{name}")
    async def watch(request: Request) -> Response:
        fault_response = await begin_call(state, "watch")
        if fault_response is not None:
            return fault_response
        after = int(query_parameter(request, "after", "0"))
        end = time.monotonic() + float(query_parameter(request, "wait_seconds", "20"))
        while True:
            stored = state.keys.get(store_key(request))
            if stored is not None and stored.version > after:
                return value_response(stored)
            remaining = end - time.monotonic()
            if remaining <= 0 or state.fault is FaultMode.DOWN:
                return Response(204)
            async with state.value_changed:
                try:
                    async with asyncio.timeout(min(remaining, 0.5)):
                        await state.value_changed.wait()
                except TimeoutError:
                    continue

    add_lease_routes(app, state)


def add_lease_routes(app: Application, state: StoreState) -> None:
    """Add the routes that grant and renew leases."""

    @app.router.post("/v1/leases")
    async def grant(request: Request) -> Response:
        fault_response = await begin_call(state, "grant_lease")
        if fault_response is not None:
            return fault_response
        ttl = float(query_parameter(request, "ttl_seconds", "10"))
        name = f"lease-{next(state.lease_numbers)}"
        state.leases[name] = (ttl, time.monotonic() + ttl)
        end_call(state)
        return Response(200, content=Content(b"text/plain", name.encode()))

    @app.router.put("/v1/leases/{name}")
    async def renew(request: Request) -> Response:
        fault_response = await begin_call(state, "renew_lease")
        if fault_response is not None:
            return fault_response
        name = (request.route_values or {})["name"]
        if name not in state.leases:
            return Response(404)
        ttl, _ = state.leases[name]
        state.leases[name] = (ttl, time.monotonic() + ttl)
        end_call(state)
        return Response(200)


def add_control_routes(app: Application, store: StoreState, vms: VmListState) -> None:
    """Add the routes of faults, the VM list and the call counts."""

    @app.router.post("/faults")
    async def faults(request: Request) -> Response:
        store.fault = FaultMode(query_parameter(request, "mode", "none"))
        store.fault_seconds = float(query_parameter(request, "seconds", "0"))
        return Response(200)

    @app.router.get("/v1/vms")
    async def list_vms(request: Request) -> Response:
        body = msgspec.json.encode(vms.visible(time.monotonic()))
        return Response(200, content=Content(b"application/json", body))

    @app.router.put("/v1/vms")
    async def set_vms(request: Request) -> Response:
        states = msgspec.json.decode(await request.read() or b"{}", type=dict[str, str])
        vms.update(time.monotonic(), states)
        return Response(200)

    @app.router.get("/calls")
    async def calls(request: Request) -> Response:
        body = msgspec.json.encode(store.call_counts)
        return Response(200, content=Content(b"application/json", body))


def build_app(lag_seconds: float) -> Application:
    """Return the application with new state."""
    app = Application(router=Router())
    store = StoreState()
    vms = VmListState(lag_seconds)
    add_store_routes(app, store)
    add_control_routes(app, store, vms)

    async def lose_answer(app: Application, request: Request, error: AnswerLost):  # type: ignore[no-untyped-def]
        raise error

    app.exceptions_handlers[AnswerLost] = lose_answer
    return app


def main() -> None:
    """Serve until terminated."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--address", required=True)
    parser.add_argument("--port", type=int, default=2379)
    parser.add_argument("--vm-list-lag-seconds", type=float, default=0.5)
    args = parser.parse_args()
    uvicorn.run(
        build_app(args.vm_list_lag_seconds),
        host=args.address,
        port=args.port,
        loop="asyncio",
        lifespan="off",
        log_level="critical",
    )


if __name__ == "__main__":
    main()
