"""HTTP API for operators: resources, changes, health and metrics."""

import asyncio
import hmac
from collections.abc import Awaitable, Callable, Sequence
from typing import Any
from uuid import uuid4

import msgspec
from blacksheep import Application, Content, Request, Response, Router
from expression import Error, Ok, Result
from prometheus_client import generate_latest

from .config_store import Change, ChangeError, ConfigSnapshot, ConfigWriter, Rejection
from .events import Event, log_event
from .ids import ChangeId, Generation
from .metrics import Metrics
from .resources import SPEC_KINDS, Declared, Resource, resource_from_builtins
from .settings import AdminToken

# A watch request without a change is answered after this time.
MAX_WATCH_SECONDS = 30.0

HTTP_STATUS_BY_ERROR = {
    ChangeError.INVALID: 422,
    ChangeError.CONFLICT: 409,
    ChangeError.NOT_FOUND: 404,
    ChangeError.UNAVAILABLE: 503,
    ChangeError.UNKNOWN: 504,
}


def json_response(status: int, data: Any) -> Response:
    """Return a response with ``data`` encoded as JSON."""
    return Response(
        status, content=Content(b"application/json", msgspec.json.encode(data))
    )


def rejection_response(rejection: Rejection) -> Response:
    """Return the response to a change that was not accepted."""
    body = {"error": rejection.kind.value, "reasons": list(rejection.reasons)}
    return json_response(HTTP_STATUS_BY_ERROR[rejection.kind], body)


def find_operator(request: Request, tokens: Sequence[AdminToken]) -> str | None:
    """Return the operator of the bearer token, None if the token is not valid."""
    header = request.get_first_header(b"Authorization") or b""
    scheme, _, token = header.partition(b" ")
    if scheme.lower() != b"bearer":
        return None
    for known in tokens:
        if hmac.compare_digest(known.token.encode(), token):
            return known.operator
    return None


class AdminState:
    """State of this entry that the admin API serves; ``app`` keeps it current."""

    def __init__(self, tokens: Sequence[AdminToken], metrics: Metrics) -> None:
        self.tokens = tokens
        self.metrics = metrics
        self.configuration: ConfigSnapshot | None = None
        self.changed = asyncio.Event()
        self.is_ready: Callable[[], bool] = lambda: False

    def update(self, configuration: ConfigSnapshot) -> None:
        """Replace the configuration and wake the watch requests."""
        self.configuration = configuration
        self.changed.set()
        self.changed = asyncio.Event()


def build_admin_api(state: AdminState, writer: ConfigWriter) -> Application:
    """Return the web application of the admin API."""
    app = Application(router=Router())
    add_health_routes(app, state)
    add_read_routes(app, state)
    add_write_routes(app, state, writer)
    return app


def add_health_routes(app: Application, state: AdminState) -> None:
    """Add /healthz, /readyz and /metrics, which need no token."""

    @app.router.get("/healthz")
    async def healthz() -> Response:
        return json_response(200, {"status": "ok"})

    @app.router.get("/readyz")
    async def readyz() -> Response:
        ready = state.is_ready()
        return json_response(200 if ready else 503, {"ready": ready})

    @app.router.get("/metrics")
    async def metrics() -> Response:
        body = generate_latest(state.metrics.registry)
        return Response(200, content=Content(b"text/plain; version=0.0.4", body))


OperatorHandler = Callable[[Request, str], Awaitable[Response]]


def authenticated(
    state: AdminState, handler: OperatorHandler
) -> Callable[[Request], Awaitable[Response]]:
    """Return a handler that requires a valid token and passes on its operator."""

    async def authenticate(request: Request) -> Response:
        operator = find_operator(request, state.tokens)
        if operator is None:
            return json_response(401, {"error": "unauthorized", "reasons": []})
        try:
            return await handler(request, operator)
        except Exception as error:
            log_event(Event.REQUEST_FAILED, path=request.path, error=repr(error))
            return json_response(500, {"error": "internal", "reasons": []})

    return authenticate


def route_values(request: Request) -> tuple[str, str]:
    """Return (kind, name) from the path; the name of a list request is empty."""
    values = request.route_values or {}
    return values.get("kind") or "", values.get("name") or ""


def add_read_routes(app: Application, state: AdminState) -> None:
    """Add the routes that list, get and watch resources and return audit records."""

    async def list_kind(request: Request, operator: str) -> Response:
        kind, _ = route_values(request)
        if kind not in SPEC_KINDS:
            return json_response(404, {"error": "not_found", "reasons": [kind]})
        configuration = state.configuration
        items = configuration.declared.of_kind(kind) if configuration else {}
        generation = configuration.generation if configuration else 0
        listed = [items[name].to_builtins() for name in sorted(items)]
        return json_response(200, {"generation": generation, "items": listed})

    async def get_one(request: Request, operator: str) -> Response:
        kind, name = route_values(request)
        configuration = state.configuration
        found = configuration.declared.get(kind, name) if configuration else None
        if found is None:
            reasons = [f"{kind}/{name}"]
            return json_response(404, {"error": "not_found", "reasons": reasons})
        return json_response(200, found.to_builtins())

    async def watch(request: Request, operator: str) -> Response:
        after = int((request.query.get("after") or ["0"])[0])
        try:
            async with asyncio.timeout(MAX_WATCH_SECONDS):
                while current_generation(state) <= after:
                    await state.changed.wait()
        except TimeoutError:
            pass
        return json_response(200, {"generation": current_generation(state)})

    async def audit(request: Request, operator: str) -> Response:
        records = state.configuration.audit if state.configuration else ()
        return json_response(200, {"items": records})

    app.router.add("GET", "/v1/resources/{kind}", authenticated(state, list_kind))
    app.router.add("GET", "/v1/resources/{kind}/{name}", authenticated(state, get_one))
    app.router.add("GET", "/v1/watch", authenticated(state, watch))
    app.router.add("GET", "/v1/audit", authenticated(state, audit))


def current_generation(state: AdminState) -> int:
    """Return the generation in effect on this entry, 0 before the first one."""
    return state.configuration.generation if state.configuration else 0


def add_write_routes(app: Application, state: AdminState, writer: ConfigWriter) -> None:
    """Add the routes that apply (create or replace) resources and delete one."""

    async def apply(request: Request, operator: str) -> Response:
        data = await request.read() or b""
        decoded = decode_resources(data)
        if decoded.is_error():
            return rejection_response(decoded.error)
        resources = decoded.ok
        expected = expected_generation(request)
        summary = ", ".join(f"{r.kind}/{r.name}" for r in resources)
        change = Change(
            change_id_of(request),
            operator,
            f"apply {summary}"[:500],
            lambda declared, generation: apply_resources(
                declared, generation, resources, expected
            ),
        )
        if request.query.get("dry_run") == ["true"]:
            return dry_run_response(state, change)
        return change_response(await writer.apply(change))

    async def delete(request: Request, operator: str) -> Response:
        kind, name = route_values(request)
        expected = expected_generation(request)
        change = Change(
            change_id_of(request),
            operator,
            f"delete {kind}/{name}",
            lambda declared, _: delete_resource(declared, kind, name, expected),
        )
        return change_response(await writer.apply(change))

    app.router.add("POST", "/v1/apply", authenticated(state, apply))
    app.router.add(
        "DELETE", "/v1/resources/{kind}/{name}", authenticated(state, delete)
    )


def change_response(result: Result[Generation, Rejection]) -> Response:
    """Return the response to a change: its generation, or why it was rejected."""
    if result.is_error():
        return rejection_response(result.error)
    return json_response(200, {"generation": result.ok})


def dry_run_response(state: AdminState, change: Change) -> Response:
    """Check a change without writing; return the generation that it would have."""
    current = state.configuration
    declared = current.declared if current else Declared()
    generation = Generation(current_generation(state) + 1)
    edited = change.edit(declared, generation)
    if edited.is_error():
        return rejection_response(edited.error)
    missing = edited.ok.missing_references()
    if missing:
        return rejection_response(Rejection(ChangeError.INVALID, tuple(missing)))
    return json_response(200, {"generation": generation, "dry_run": True})


def change_id_of(request: Request) -> ChangeId:
    """Return the change id of the request, a new one if it has none."""
    header = request.get_first_header(b"X-Change-Id")
    return ChangeId(header.decode("ascii", "replace") if header else str(uuid4()))


def expected_generation(request: Request) -> int | None:
    """Return the resource generation that a write requires, None without If-Match."""
    header = request.get_first_header(b"If-Match")
    return int(header) if header and header.isdigit() else None


def decode_resources(data: bytes) -> Result[list[Resource], Rejection]:
    """Decode the body of an apply request, a JSON list of resources."""
    try:
        items = msgspec.json.decode(data, type=list[dict[str, Any]])
    except msgspec.MsgspecError as error:
        return Error(Rejection(ChangeError.INVALID, (str(error),)))
    resources: list[Resource] = []
    problems: list[str] = []
    for index, item in enumerate(items):
        try:
            resources.append(resource_from_builtins(item))
        except msgspec.ValidationError as error:
            problems.append(f"item {index}: {error}")
    if problems:
        return Error(Rejection(ChangeError.INVALID, tuple(problems)))
    return Ok(resources)


def apply_resources(
    declared: Declared,
    generation: Generation,
    resources: Sequence[Resource],
    expected: int | None,
) -> Result[Declared, Rejection]:
    """Create or replace resources; unchanged ones keep their generation.

    CONFLICT if a resource is not at the generation ``expected``; None skips the check.
    """
    for resource in resources:
        current = declared.get(resource.kind, resource.name)
        actual = current.generation if current else 0
        if expected is not None and actual != expected:
            reason = f"{resource.kind}/{resource.name} is at generation {actual}"
            return Error(Rejection(ChangeError.CONFLICT, (reason,)))
        if current is not None and current.spec == resource.spec:
            continue
        declared = declared.with_resource(
            Resource(resource.kind, resource.name, resource.spec, generation)
        )
    return Ok(declared)


def delete_resource(
    declared: Declared, kind: str, name: str, expected: int | None
) -> Result[Declared, Rejection]:
    """Remove one resource; NOT_FOUND without it, CONFLICT as in ``apply_resources``."""
    current = declared.get(kind, name)
    if current is None:
        return Error(Rejection(ChangeError.NOT_FOUND, (f"{kind}/{name}",)))
    if expected is not None and current.generation != expected:
        reason = f"{kind}/{name} is at generation {current.generation}"
        return Error(Rejection(ChangeError.CONFLICT, (reason,)))
    return Ok(declared.without(kind, name))
