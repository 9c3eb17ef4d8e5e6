"""HTTP applications for callers and for the load balancer's readiness checks."""

from collections.abc import Callable

from blacksheep import Application, Content, Request, Response, Router
from expression import Error, Ok, Result

from ..clock import Clock
from ..configuration import Configuration, Queue
from ..decoding import describe
from ..errors import ERROR_RESPONSES, ErrorKind, Refusal
from ..events import Event, log_event
from ..exchange import request_body_chunks
from ..ids import NO_WORKSPACE, JobId, WorkspaceName
from ..jobs.model import MAX_TASKS, JobScope, JobSpec, Resources, due_tasks
from ..jobs.records import JobState
from ..metrics import Metrics
from ..platform.submissions import decode_submission, encode_state, encode_waiting_count
from ..platform.tenants import API_KEY_HEADER, API_KEY_SCHEME, presented_key
from .job_answers import JobAnswer
from .job_service import NO_LIMIT, JobService
from .workspaces.authorization import authorize

JOB_ID_LENGTH = 16
_HEX = frozenset("0123456789abcdefABCDEF")
# A job's record must fit into a value of the store, which has at most 1 MB.
MAX_BODY_BYTES = 1024 * 1024
# Tasks of a schedule that may be due within a minute of its submission. The leader
# tracks all of them at once, and stores them in one record.
MAX_DUE_TASKS = MAX_TASKS
DUE_WINDOW_MS = 60_000
# Texts of a request that go into the log and the answer.
MAX_DETAIL_LENGTH = 200


class JobApi(Application):
    """Serves job submission, state, cancellation and queue lengths."""

    def __init__(
        self,
        service: JobService,
        configuration: Callable[[], Configuration | None],
        is_stopping: Callable[[], bool],
        clock: Clock,
        metrics: Metrics,
        is_configuration_stale: Callable[[], bool] = lambda: False,
        on_refused: Callable[[WorkspaceName, ErrorKind], None] = lambda *_: None,
    ) -> None:
        super().__init__(router=Router())
        self.service = service
        self.configuration = configuration
        self.is_stopping = is_stopping
        self.clock = clock
        self.metrics = metrics
        # Whether keys are refused, since some may have been removed unnoticed.
        self.is_configuration_stale = is_configuration_stale
        self.on_refused = on_refused
        self.in_flight = 0

    async def handle(self, request: Request) -> Response:
        """Answer one request; overrides the base class, whose router stays empty."""
        self.in_flight += 1
        started = self.clock.monotonic()
        try:
            response = await self._answer(request)
            if response.status == 503 or self.is_stopping():
                # Makes the load balancer pick another entry for the next call.
                response.headers.add(b"Connection", b"close")
            return response
        except Exception as error:
            log_event(Event.REQUEST_FAILED, error=describe(error))
            return self._refuse(ErrorKind.INTERNAL, "", request)
        finally:
            self.in_flight -= 1
            elapsed = self.clock.monotonic() - started
            self.metrics.call_seconds.labels(request.method).observe(elapsed)

    async def _answer(self, request: Request) -> Response:
        configuration = self.configuration()
        if configuration is None:
            return self._refuse(ErrorKind.CONFIGURATION_MISSING, "", request)
        path = request.url.path.decode("ascii", "replace")
        host = request.get_first_header(b"host") or b""
        name = host.decode("ascii", "replace").partition(":")[0]
        queue = configuration.queue_for(name, path)
        if queue is None:
            return self._refuse(ErrorKind.UNKNOWN_ROUTE, path, request)
        # Before anything else about the call is looked at.
        authorized = self._authorize(configuration, queue, request)
        if authorized.is_error():
            self.on_refused(NO_WORKSPACE, authorized.error)
            return self._refuse(authorized.error, queue.name, request)
        scope = JobScope(queue.name, authorized.ok)
        rest = path[len(queue.prefix) :]
        if not rest and request.method == "GET":
            body = encode_waiting_count(self.service.waiting_count(queue.name))
            return _json(200, body)
        if len(rest) != JOB_ID_LENGTH or not _HEX.issuperset(rest):
            return self._refuse(ErrorKind.UNKNOWN_JOB, rest, request)
        return await self._answer_job(request, configuration, queue, JobId(rest), scope)

    def _authorize(
        self, configuration: Configuration, queue: Queue, request: Request
    ) -> Result[WorkspaceName, ErrorKind]:
        key = presented_key(request.get_headers(API_KEY_HEADER))
        if key is not None and self.is_configuration_stale():
            return Error(ErrorKind.CONFIGURATION_STALE)
        return authorize(configuration, queue, key)

    async def _answer_job(
        self,
        request: Request,
        configuration: Configuration,
        queue: Queue,
        job_id: JobId,
        scope: JobScope,
    ) -> Response:
        match request.method:
            case "GET":
                answer = await self.service.read(job_id, scope)
            case "DELETE":
                answer = await self.service.cancel(job_id, scope)
                self._log("cancel", queue, job_id, answer)
            case "POST":
                decoded = await self._read_submission(request)
                if decoded.is_error():
                    return self._reject_input(decoded.error, request)
                # The key may have been removed while the body arrived.
                configuration = self.configuration() or configuration
                authorized = self._authorize(configuration, queue, request)
                if authorized.is_error():
                    self.on_refused(NO_WORKSPACE, authorized.error)
                    return self._refuse(authorized.error, queue.name, request)
                scope = JobScope(queue.name, authorized.ok)
                limit = _limit(configuration, scope.workspace)
                answer = await self.service.submit(
                    queue, job_id, decoded.ok, scope, limit
                )
                self._log("submit", queue, job_id, answer)
            case _:
                return self._refuse(ErrorKind.INVALID_REQUEST, "method", request)
        if answer.error is not None:
            self.on_refused(scope.workspace, answer.error)
            return self._refuse(answer.error, job_id, request, answer.retry_after)
        return _json(200, encode_state(answer.state or JobState.QUEUED))

    async def _read_submission(self, request: Request) -> Result[JobSpec, Refusal]:
        """Read and decode a body; reads no more of it than the limit."""
        body = bytearray()
        async for chunk in request_body_chunks(request):
            body += chunk
            if len(body) > MAX_BODY_BYTES:
                detail = f"the body has more than {MAX_BODY_BYTES} bytes"
                return Error(Refusal(ErrorKind.BODY_TOO_LARGE, detail))
        decoded = decode_submission(bytes(body))
        if decoded.is_error():
            return Error(Refusal(ErrorKind.INVALID_REQUEST, decoded.error))
        latest_ms = int(self.clock.wall() * 1000) + DUE_WINDOW_MS
        if due_tasks(decoded.ok, latest_ms) > MAX_DUE_TASKS:
            detail = f"more than {MAX_DUE_TASKS} tasks are due at once"
            return Error(Refusal(ErrorKind.INVALID_REQUEST, detail))
        return Ok(decoded.ok)

    def _reject_input(self, refusal: Refusal, request: Request) -> Response:
        self.metrics.inputs_rejected.labels("caller").inc()
        response = self._refuse(refusal.kind, refusal.detail, request)
        if refusal.kind is ErrorKind.BODY_TOO_LARGE:
            # The rest of the body is not read.
            response.headers.add(b"Connection", b"close")
        return response

    def _log(self, call: str, queue: Queue, job_id: JobId, answer: JobAnswer) -> None:
        configuration = self.configuration()
        log_event(
            Event.CALL_ANSWERED, call=call, job=job_id, queue=queue.name,
            outcome=answer.error.value if answer.error else "accepted",
            config=configuration.version if configuration else None,
        )  # fmt: skip

    def _refuse(
        self,
        kind: ErrorKind,
        detail: str,
        request: Request,
        retry_after: int | None = None,
    ) -> Response:
        detail = detail[:MAX_DETAIL_LENGTH]
        answer = ERROR_RESPONSES[kind]
        if retry_after is None:
            retry_after = answer.retry_after_seconds
        self.metrics.refusals.labels(kind.value, answer.outcome.value).inc()
        log_event(
            Event.CALL_REFUSED, kind=kind.value, status=answer.status, detail=detail,
            method=request.method,
        )  # fmt: skip
        response = _json(answer.status, Refusal(kind, detail).body())
        if answer.status == 401:
            response.headers.add(b"WWW-Authenticate", API_KEY_SCHEME)
        if retry_after is not None:
            response.headers.add(b"Retry-After", str(retry_after).encode())
        return response


def _limit(configuration: Configuration, name: WorkspaceName) -> Resources:
    workspace = configuration.workspaces.get(name)
    return workspace.limit if workspace is not None else NO_LIMIT


def _json(status: int, body: bytes) -> Response:
    return Response(status, content=Content(b"application/json", body))


class ReadinessApi(Application):
    """Tells the load balancer whether this entry accepts new connections."""

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        super().__init__(router=Router())
        self.is_ready = is_ready

    async def handle(self, request: Request) -> Response:
        """Answer any path, because only the load balancer calls this address."""
        return Response(200 if self.is_ready() else 503)
