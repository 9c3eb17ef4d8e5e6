"""Stand-in for the platform's store and VM list, over HTTP.

Fault switches: POST /faults?mode=MODE, where MODE is one of FaultMode; for "slow" add
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
    """What is wrong with the store."""

    NONE = "none"
    DOWN = "down"
    SLOW = "slow"
    LOSE_ANSWER = "lose_answer"


class AnswerLost(Exception):
    """Closes the connection without an answer, after the effect took place."""


@dataclass
class Entry:
    """A stored value."""

    version: int
    value: bytes
    lease: str | None


@dataclass
class StoreState:
    """Keys, leases and the fault switch."""

    keys: dict[str, Entry] = field(default_factory=dict)
    leases: dict[str, tuple[float, float]] = field(default_factory=dict)
    versions: "count[int]" = field(default_factory=lambda: count(1))
    lease_numbers: "count[int]" = field(default_factory=lambda: count(1))
    changed: asyncio.Condition = field(default_factory=asyncio.Condition)
    fault: FaultMode = FaultMode.NONE
    fault_seconds: float = 0.0
    calls: dict[str, int] = field(default_factory=dict)

    def expire_leases(self, now: float) -> None:
        """Drop lapsed leases and the keys bound to them."""
        lapsed = {name for name, (_, until) in self.leases.items() if until <= now}
        for name in lapsed:
            del self.leases[name]
        gone = [key for key, entry in self.keys.items() if entry.lease in lapsed]
        for key in gone:
            del self.keys[key]

    def compare_and_swap(
        self, key: str, expected: int, value: bytes, lease: str | None
    ) -> int | None:
        """Write if the version matches; return the new version or None."""
        entry = self.keys.get(key)
        found = entry.version if entry else 0
        if found != expected or (lease is not None and lease not in self.leases):
            return None
        version = next(self.versions)
        self.keys[key] = Entry(version, value, lease)
        return version


@dataclass
class VmListState:
    """The true states of VMs and the lagging copy that is served."""

    lag_seconds: float
    served: dict[str, str] = field(default_factory=dict)
    pending: deque[tuple[float, dict[str, str]]] = field(default_factory=deque)

    def change(self, now: float, states: dict[str, str]) -> None:
        """Record new states, visible after the lag."""
        self.pending.append((now + self.lag_seconds, states))

    def current(self, now: float) -> dict[str, str]:
        """Return the list as it is visible now."""
        while self.pending and self.pending[0][0] <= now:
            self.served = self.pending.popleft()[1]
        return self.served


def query(request: Request, name: str, default: str) -> str:
    """Return the first value of a query parameter."""
    return (request.query.get(name) or [default])[0]


def key_of(request: Request) -> str:
    """Return the store key in the path."""
    values = request.route_values or {}
    return f"{values['area']}/{values['name']}"


def versioned(entry: Entry) -> Response:
    """Return the answer with one value."""
    headers = [(b"X-Version", str(entry.version).encode())]
    content = Content(b"application/octet-stream", entry.value)
    return Response(200, headers, content)


async def enter(state: StoreState, operation: str) -> Response | None:
    """Count a call and apply the faults that act before the effect."""
    state.calls[operation] = state.calls.get(operation, 0) + 1
    state.expire_leases(time.monotonic())
    if state.fault is FaultMode.DOWN:
        return Response(503)
    if state.fault is FaultMode.SLOW:
        await asyncio.sleep(state.fault_seconds)
    return None


def leave(state: StoreState) -> None:
    """Apply the fault that acts after the effect."""
    if state.fault is FaultMode.LOSE_ANSWER:
        raise AnswerLost


def add_store_routes(app: Application, state: StoreState) -> None:
    """Add keys, watches and leases."""

    @app.router.get("/v1/keys/{area}/{name}")
    async def get(request: Request) -> Response:
        failed = await enter(state, "get")
        if failed is not None:
            return failed
        entry = state.keys.get(key_of(request))
        return versioned(entry) if entry else Response(404)

    @app.router.put("/v1/keys/{area}/{name}")
    async def put(request: Request) -> Response:
        value = await request.read() or b""
        failed = await enter(state, "cas")
        if failed is not None:
            return failed
        expected = int(request.get_first_header(b"If-Match") or b"0")
        lease = request.get_first_header(b"X-Lease")
        version = state.compare_and_swap(
            key_of(request), expected, value, lease.decode() if lease else None
        )
        if version is None:
            return Response(409)
        async with state.changed:
            state.changed.notify_all()
        leave(state)
        return Response(200, [(b"X-Version", str(version).encode())])

    @app.router.get("/v1/watch/{area}/{name}")
    async def watch(request: Request) -> Response:
        failed = await enter(state, "watch")
        if failed is not None:
            return failed
        after = int(query(request, "after", "0"))
        end = time.monotonic() + float(query(request, "wait_seconds", "20"))
        while True:
            entry = state.keys.get(key_of(request))
            if entry is not None and entry.version > after:
                return versioned(entry)
            remaining = end - time.monotonic()
            if remaining <= 0 or state.fault is FaultMode.DOWN:
                return Response(204)
            async with state.changed:
                try:
                    async with asyncio.timeout(min(remaining, 0.5)):
                        await state.changed.wait()
                except TimeoutError:
                    continue

    add_lease_routes(app, state)


def add_lease_routes(app: Application, state: StoreState) -> None:
    """Add granting and renewal of leases."""

    @app.router.post("/v1/leases")
    async def grant(request: Request) -> Response:
        failed = await enter(state, "grant_lease")
        if failed is not None:
            return failed
        ttl = float(query(request, "ttl_seconds", "10"))
        name = f"lease-{next(state.lease_numbers)}"
        state.leases[name] = (ttl, time.monotonic() + ttl)
        leave(state)
        return Response(200, content=Content(b"text/plain", name.encode()))

    @app.router.put("/v1/leases/{name}")
    async def renew(request: Request) -> Response:
        failed = await enter(state, "renew_lease")
        if failed is not None:
            return failed
        name = (request.route_values or {})["name"]
        if name not in state.leases:
            return Response(404)
        ttl, _ = state.leases[name]
        state.leases[name] = (ttl, time.monotonic() + ttl)
        leave(state)
        return Response(200)


def add_control_routes(app: Application, store: StoreState, vms: VmListState) -> None:
    """Add the fault switches, the VM list and the call counters."""

    @app.router.post("/faults")
    async def faults(request: Request) -> Response:
        store.fault = FaultMode(query(request, "mode", "none"))
        store.fault_seconds = float(query(request, "seconds", "0"))
        return Response(200)

    @app.router.get("/v1/vms")
    async def list_vms(request: Request) -> Response:
        body = msgspec.json.encode(vms.current(time.monotonic()))
        return Response(200, content=Content(b"application/json", body))

    @app.router.put("/v1/vms")
    async def set_vms(request: Request) -> Response:
        states = msgspec.json.decode(await request.read() or b"{}", type=dict[str, str])
        vms.change(time.monotonic(), states)
        return Response(200)

    @app.router.get("/calls")
    async def calls(request: Request) -> Response:
        body = msgspec.json.encode(store.calls)
        return Response(200, content=Content(b"application/json", body))


def build_app(lag_seconds: float) -> Application:
    """Return the application with its own state."""
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
