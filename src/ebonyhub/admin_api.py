"""HTTP resource API for operators, with health and metrics."""

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

MAX_WATCH_SECONDS = 30.0

HTTP_STATUS_BY_ERROR = {
    ChangeError.INVALID: 422,
    ChangeError.CONFLICT: 409,
    ChangeError.NOT_FOUND: 404,
    ChangeError.UNAVAILABLE: 503,
    ChangeError.UNKNOWN: 504,
}


def json_response(status: int, data: Any) -> Response:
    """Return a JSON answer."""
    return Response(
        status, content=Content(b"application/json", msgspec.json.encode(data))
    )


def rejection_response(rejection: Rejection) -> Response:
    """Return the answer for a change that was not accepted."""
    body = {"error": rejection.kind.value, "reasons": list(rejection.reasons)}
    return json_response(HTTP_STATUS_BY_ERROR[rejection.kind], body)


def find_operator(request: Request, tokens: Sequence[AdminToken]) -> str | None:
    """Return the operator whom the bearer token identifies."""
    header = request.get_first_header(b"Authorization") or b""
    scheme, _, token = header.partition(b" ")
    if scheme.lower() != b"bearer":
        return None
    for known in tokens:
        if hmac.compare_digest(known.token.encode(), token):
            return known.operator
    return None


class AdminState:
    """What the admin API shows of this entry; set by the composition root."""

    def __init__(self, tokens: Sequence[AdminToken], metrics: Metrics) -> None:
        self.tokens = tokens
        self.metrics = metrics
        self.configuration: ConfigSnapshot | None = None
        self.changed = asyncio.Event()
        self.is_ready: Callable[[], bool] = lambda: False

    def update(self, configuration: ConfigSnapshot) -> None:
        """Show a new configuration and wake the watchers."""
        self.configuration = configuration
        self.changed.set()
        self.changed = asyncio.Event()


def build_admin_api(state: AdminState, writer: ConfigWriter) -> Application:
    """Return the admin application with all its routes."""
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


Handler = Callable[[Request, str], Awaitable[Response]]


def authenticated(
    state: AdminState, handler: Handler
) -> Callable[[Request], Awaitable[Response]]:
    """Return a handler that needs a token and passes the operator on."""

    async def check(request: Request) -> Response:
        operator = find_operator(request, state.tokens)
        if operator is None:
            return json_response(401, {"error": "unauthorized", "reasons": []})
        try:
            return await handler(request, operator)
        except Exception as error:
            log_event(Event.REQUEST_FAILED, path=request.path, error=repr(error))
            return json_response(500, {"error": "internal", "reasons": []})

    return check


def route_values(request: Request) -> tuple[str, str]:
    """Return (kind, name) of the path; the name is empty in list requests."""
    values = request.route_values or {}
    return values.get("kind") or "", values.get("name") or ""


def add_read_routes(app: Application, state: AdminState) -> None:
    """Add list, get, watch and audit."""

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
    """Return the generation that this entry runs."""
    return state.configuration.generation if state.configuration else 0


def add_write_routes(app: Application, state: AdminState, writer: ConfigWriter) -> None:
    """Add apply (create or replace, several at once) and delete."""

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
    """Return the answer to a change."""
    if result.is_error():
        return rejection_response(result.error)
    return json_response(200, {"generation": result.ok})


def dry_run_response(state: AdminState, change: Change) -> Response:
    """Return what a change would do, without writing."""
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
    """Return the caller's change id, or a new one."""
    header = request.get_first_header(b"X-Change-Id")
    return ChangeId(header.decode("ascii", "replace") if header else str(uuid4()))


def expected_generation(request: Request) -> int | None:
    """Return the resource generation that a conditional write requires."""
    header = request.get_first_header(b"If-Match")
    return int(header) if header and header.isdigit() else None


def decode_resources(data: bytes) -> Result[list[Resource], Rejection]:
    """Decode the JSON list of an apply request."""
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
    """Create or replace resources; unchanged ones keep their generation."""
    for resource in resources:
        current = declared.get(resource.kind, resource.name)
        found = current.generation if current else 0
        if expected is not None and found != expected:
            reason = f"{resource.kind}/{resource.name} is at generation {found}"
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
    """Remove one resource."""
    current = declared.get(kind, name)
    if current is None:
        return Error(Rejection(ChangeError.NOT_FOUND, (f"{kind}/{name}",)))
    if expected is not None and current.generation != expected:
        reason = f"{kind}/{name} is at generation {current.generation}"
        return Error(Rejection(ChangeError.CONFLICT, (reason,)))
    return Ok(declared.without(kind, name))
