"""HTTP applications for callers and for the load balancer's readiness checks."""

from collections.abc import Callable

from blacksheep import Application, Content, Request, Response, Router

from ..clock import Clock
from ..configuration import Configuration, Queue
from ..errors import ERROR_RESPONSES, ErrorKind, Refusal
from ..events import Event, log_event
from ..ids import JobId
from ..jobs.records import JobState
from ..metrics import Metrics
from ..platform.submissions import decode_submission, encode_state, encode_waiting_count
from .job_service import JobAnswer, JobService

JOB_ID_LENGTH = 16
_HEX = frozenset("0123456789abcdefABCDEF")


class JobApi(Application):
    """Serves job submission, state, cancellation and queue lengths."""

    def __init__(
        self,
        service: JobService,
        configuration: Callable[[], Configuration | None],
        is_stopping: Callable[[], bool],
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        super().__init__(router=Router())
        self.service = service
        self.configuration = configuration
        self.is_stopping = is_stopping
        self.clock = clock
        self.metrics = metrics
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
            log_event(Event.REQUEST_FAILED, error=repr(error))
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
        name = host.decode("ascii", "replace").partition(":")[0].lower()
        queue = configuration.queue_for(name, path)
        if queue is None:
            return self._refuse(ErrorKind.UNKNOWN_ROUTE, path, request)
        rest = path[len(queue.prefix) :]
        if not rest and request.method == "GET":
            body = encode_waiting_count(self.service.waiting_count(queue.name))
            return _json(200, body)
        if len(rest) != JOB_ID_LENGTH or not _HEX.issuperset(rest):
            return self._refuse(ErrorKind.UNKNOWN_JOB, rest, request)
        return await self._answer_job(request, queue, JobId(rest))

    async def _answer_job(
        self, request: Request, queue: Queue, job_id: JobId
    ) -> Response:
        match request.method:
            case "GET":
                answer = await self.service.read(job_id)
            case "DELETE":
                answer = await self.service.cancel(job_id)
                self._log("cancel", queue, job_id, answer)
            case "POST":
                body = await request.read()
                decoded = decode_submission(body or b"")
                if decoded.is_error():
                    return self._refuse(
                        ErrorKind.INVALID_REQUEST, decoded.error, request
                    )
                answer = await self.service.submit(queue, job_id, decoded.ok)
                self._log("submit", queue, job_id, answer)
            case _:
                return self._refuse(ErrorKind.INVALID_REQUEST, "method", request)
        if answer.error is not None:
            return self._refuse(answer.error, job_id, request, answer.retry_after)
        return _json(200, encode_state(answer.state or JobState.QUEUED))

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
        answer = ERROR_RESPONSES[kind]
        if retry_after is None:
            retry_after = answer.retry_after_seconds
        self.metrics.refusals.labels(kind.value, answer.outcome.value).inc()
        log_event(
            Event.CALL_REFUSED, kind=kind.value, status=answer.status, detail=detail,
            method=request.method,
        )  # fmt: skip
        response = _json(answer.status, Refusal(kind, detail).body())
        if retry_after is not None:
            response.headers.add(b"Retry-After", str(retry_after).encode())
        return response


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
