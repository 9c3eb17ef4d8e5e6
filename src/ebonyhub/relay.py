"""The request path: admission, slot, connection, streamed answer."""

import asyncio
import random
from collections.abc import AsyncIterator, Sequence
from functools import partial
from typing import NoReturn

from blacksheep import Content, Request, Response, StreamedContent
from blacksheep.exceptions import MessageAborted
from expression import Error, Ok, Result

from .balancing import Instance
from .clock import Clock
from .connection_pool import ConnectionPool
from .dispatch import ServiceDispatcher
from .errors import ERROR_ANSWERS, ErrorKind, Outcome, Refusal
from .events import Event, log_event
from .exchange import (
    REFUSED_HEADER,
    SMALL_BODY_BYTES,
    Answer,
    AnswerBroken,
    Attempt,
    Exchange,
    body_chunks,
    end_to_end,
    header_of,
    parse_control_headers,
    read_small_body,
    refusal_of,
)
from .http_client import (
    ExchangeError,
    Header,
    RequestHead,
    ResponseHead,
    body_framing,
)
from .ids import EntryId, InstanceId, ServiceName
from .metrics import Metrics
from .resources import Declared, ServiceSpec
from .retries import MethodClass, RetryBudget, classify_method, may_retry
from .routing import instances_of_service, min_available, service_of_target
from .settings import LimitSettings
from .slots import connection_limit
from .vm_list import VmList


class Relay:
    """Relays caller requests to the instances of the declared services."""

    def __init__(
        self,
        entry: EntryId,
        entries: Sequence[EntryId],
        limits: LimitSettings,
        metrics: Metrics,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self.entry = entry
        self.entries = list(entries)
        self.limits = limits
        self.metrics = metrics
        self.clock = clock
        self.rng = rng
        self.declared: Declared | None = None
        self.vm_list: VmList | None = None
        self.dispatchers: dict[ServiceName, ServiceDispatcher] = {}
        self.pools: dict[InstanceId, ConnectionPool] = {}
        self.budget = RetryBudget()
        self.in_flight = 0

    def configure(
        self, declared: Declared | None = None, vm_list: VmList | None = None
    ) -> None:
        """Adopt a new configuration or a new VM list."""
        self.declared = declared or self.declared
        self.vm_list = vm_list or self.vm_list
        if self.declared is None:
            return
        names = [ServiceName(name) for name in self.declared.of_kind("Service")]
        for name in names:
            self._configure_service(name, self.declared)
        for name in set(self.dispatchers) - set(names):
            self.dispatchers[name].configure({}, 0)
        self._close_unused_pools()

    def _configure_service(self, name: ServiceName, declared: Declared) -> None:
        dispatcher = self.dispatchers.get(name)
        if dispatcher is None:
            dispatcher = ServiceDispatcher(
                name, self.limits.queue_length_per_service, self.clock, self.rng
            )
            self.dispatchers[name] = dispatcher
        instances = instances_of_service(
            name, declared, self.vm_list, self.entry, self.entries
        )
        dispatcher.configure(instances, min_available(name, declared))

    def _close_unused_pools(self) -> None:
        known = {key for d in self.dispatchers.values() for key in d.instances}
        for key in set(self.pools) - known:
            self.pools.pop(key).close()

    def pool_of(self, instance: Instance, service: ServiceName) -> ConnectionPool:
        """Return the connection pool of an instance."""
        pool = self.pools.get(instance.id)
        if pool is None or (pool.address, pool.port) != (
            instance.address,
            instance.port,
        ):
            spec = self.service_spec(service)
            limit = connection_limit(spec.connections_per_instance, len(self.entries))
            pool = ConnectionPool(
                instance.address,
                instance.port,
                limit,
                self.limits.idle_connection_seconds,
                self.limits.connect_timeout_seconds,
                self.clock,
            )
            self.pools[instance.id] = pool
        return pool

    def service_spec(self, service: ServiceName) -> ServiceSpec:
        """Return the declared spec of a service that has a dispatcher."""
        assert self.declared is not None
        resource = self.declared.get("Service", service)
        if resource is None or not isinstance(resource.spec, ServiceSpec):
            raise LookupError(service)
        return resource.spec

    async def handle(self, request: Request) -> Response:
        """Answer one caller request."""
        self.in_flight += 1
        started = self.clock.monotonic()
        streaming = False
        try:
            prepared = await self.prepare(request, started)
            if prepared.is_error():
                return self.refuse(prepared.error)
            answer = await self.relay(prepared.ok)
            streaming = answer.streaming
            self.metrics.latency.labels(prepared.ok.service).observe(
                self.clock.monotonic() - started
            )
            return answer.response
        finally:
            if not streaming:
                self.in_flight -= 1

    async def prepare(self, request: Request, now: float) -> Result[Exchange, Refusal]:
        """Check a request before it may wait for a slot."""
        if self.declared is None:
            return Error(Refusal(ErrorKind.CONFIGURATION_MISSING))
        scope = request.scope
        target: bytes = scope["raw_path"]
        if scope["query_string"]:
            target = target + b"?" + scope["query_string"]
        service = service_of_target(target)
        if self.declared.get("Service", service) is None:
            return Error(Refusal(ErrorKind.UNKNOWN_ROUTE, f"no service {service!r}"))
        headers: Sequence[Header] = scope["headers"]
        parsed = parse_control_headers(headers, self.limits)
        if parsed.is_error():
            return Error(parsed.error)
        seconds, priority = parsed.ok
        length, chunked = body_framing(headers)
        if length is not None and length > self.limits.max_body_megabytes * 1_000_000:
            return Error(Refusal(ErrorKind.BODY_TOO_LARGE))
        body = None if chunked else b""
        if length is not None and length > 0:
            body = await read_small_body(request, length)
        method = request.method
        return Ok(
            Exchange(
                request,
                service,
                target,
                method,
                classify_method(method),
                priority,
                now + seconds,
                headers,
                body,
                length,
                chunked,
            )
        )

    def refuse(self, refusal: Refusal) -> Response:
        """Build the answer for a refusal and count it."""
        answer = ERROR_ANSWERS[refusal.kind]
        outcome = refusal.outcome
        self.metrics.refusals.labels(refusal.kind.value, outcome.value).inc()
        headers: list[Header] = [
            (b"X-Ebonyhub-Outcome", outcome.value.encode()),
            (b"X-Ebonyhub-Error", refusal.kind.value.encode()),
        ]
        if answer.retry_after_seconds is not None:
            headers.append((b"Retry-After", str(answer.retry_after_seconds).encode()))
        return Response(
            answer.status, headers, Content(b"application/json", refusal.body())
        )

    async def relay(self, exchange: Exchange) -> Answer:
        """Try instances until one answers or no further attempt is allowed."""
        self.budget.record_request(self.clock.monotonic())
        dispatcher = self.dispatchers[exchange.service]
        while True:
            granted = await dispatcher.acquire(
                exchange.priority, exchange.deadline, frozenset(exchange.tried)
            )
            if granted.is_error():
                return Answer(self.refuse(granted.error))
            instance = granted.ok
            exchange.attempts += 1
            exchange.tried.add(instance.id)
            result = await self.attempt(exchange, dispatcher, instance)
            if result.is_ok():
                self.metrics.requests.labels(exchange.service, "answered").inc()
                return result.ok
            if not self.allow_retry(exchange, result.error):
                return Answer(self.refuse(refusal_of(result.error)))

    def allow_retry(self, exchange: Exchange, error: ExchangeError) -> bool:
        """Decide on another attempt and count the decision by reason."""
        reason = error.kind.value
        allowed = may_retry(
            exchange.method_class, error, exchange.attempts, exchange.body_kept
        )
        now = self.clock.monotonic()
        if not allowed or now >= exchange.deadline or not self.budget.try_spend(now):
            self.metrics.retries_denied.labels(reason).inc()
            return False
        self.metrics.retries.labels(reason).inc()
        return True

    async def attempt(
        self, exchange: Exchange, dispatcher: ServiceDispatcher, instance: Instance
    ) -> Result[Answer, ExchangeError]:
        """Make one attempt; the slot is freed here unless the answer is streamed."""
        started = self.clock.monotonic()
        pool = self.pool_of(instance, exchange.service)
        only_fresh = exchange.method_class is MethodClass.NON_IDEMPOTENT
        keep = False
        try:
            acquired = await pool.acquire(only_fresh)
            if acquired.is_error():
                self.note_failure(dispatcher, instance, acquired.error)
                return Error(acquired.error)
            attempt = Attempt(instance, pool, acquired.ok, started)
            try:
                result = await self.exchange_once(exchange, attempt)
                keep = result.is_ok() and result.ok.streaming
            finally:
                if not keep:
                    pool.release(attempt.connection)
            if result.is_error():
                self.note_failure(dispatcher, instance, result.error)
            else:
                dispatcher.record_success(instance)
            return result
        finally:
            if not keep:
                dispatcher.release(instance, self.clock.monotonic() - started)

    def note_failure(
        self, dispatcher: ServiceDispatcher, instance: Instance, error: ExchangeError
    ) -> None:
        """Count a failed attempt against the instance, if it is to blame."""
        if error.kind in (ErrorKind.CONNECTION_LIMIT, ErrorKind.CALLER_ABORTED):
            return
        ejected = dispatcher.record_failure(instance)
        log_event(
            Event.BACKEND_FAILURE,
            instance=instance.id,
            kind=error.kind.value,
            ejected=ejected,
        )

    async def exchange_once(
        self, exchange: Exchange, attempt: Attempt
    ) -> Result[Answer, ExchangeError]:
        """Send the request and read the answer up to its small body or its head."""
        connection = attempt.connection
        spec = self.service_spec(exchange.service)
        now = self.clock.monotonic()
        limit = min(exchange.deadline - now, spec.first_byte_timeout_seconds)
        try:
            async with asyncio.timeout(max(limit, 0.0)):
                sent = await connection.send(
                    self.request_head(exchange, attempt.instance, now),
                    exchange.body if exchange.body_kept else self.stream_up(exchange),
                )
                if sent.is_error():
                    return Error(sent.error)
                received = await connection.read_head()
                if received.is_error():
                    return Error(received.error)
        except TimeoutError:
            written = connection.bytes_written
            return Error(ExchangeError(ErrorKind.BACKEND_TIMEOUT, written))
        except MessageAborted:
            return Error(ExchangeError(ErrorKind.CALLER_ABORTED, True))
        return await self.answer(exchange, attempt, received.ok)

    async def answer(
        self, exchange: Exchange, attempt: Attempt, head: ResponseHead
    ) -> Result[Answer, ExchangeError]:
        """Turn a response head into the answer, whole if it is small."""
        if head.status == 503 and header_of(head.headers, REFUSED_HEADER) == b"true":
            return Error(ExchangeError(ErrorKind.BACKEND_REFUSED, True))
        headers = end_to_end(head.headers)
        content_type = header_of(head.headers, b"content-type") or b""
        length = head.content_length
        if exchange.method == "HEAD":
            empty = StreamedContent(content_type, self.empty_body, length or 0)
            return Ok(Answer(Response(head.status, headers, empty)))
        if length is not None and length <= SMALL_BODY_BYTES:
            return await self.small_answer(exchange, attempt, head, headers)
        content = StreamedContent(
            content_type,
            partial(self.stream_down, exchange, attempt),
            -1 if length is None else length,
        )
        return Ok(Answer(Response(head.status, headers, content), streaming=True))

    async def empty_body(self) -> AsyncIterator[bytes]:
        """Yield nothing; the answer to HEAD announces a body without sending it."""
        yield b""

    async def small_answer(
        self,
        exchange: Exchange,
        attempt: Attempt,
        head: ResponseHead,
        headers: list[Header],
    ) -> Result[Answer, ExchangeError]:
        """Read a small body to its proven end before anything goes to the caller."""
        parts: list[bytes] = []
        limit = exchange.deadline - self.clock.monotonic()
        try:
            async with asyncio.timeout(max(limit, 0.0)):
                while True:
                    chunk = await attempt.connection.read_chunk()
                    if chunk.is_error():
                        return Error(chunk.error)
                    if not chunk.ok:
                        break
                    parts.append(chunk.ok)
        except TimeoutError:
            return Error(ExchangeError(ErrorKind.BACKEND_TIMEOUT, True))
        content_type = header_of(head.headers, b"content-type") or b""
        body = b"".join(parts)
        content = Content(content_type, body) if body else None
        return Ok(Answer(Response(head.status, headers, content)))

    async def stream_up(self, exchange: Exchange) -> AsyncIterator[bytes]:
        """Yield the caller's body, encoded in the way the request head announces."""
        maximum = self.limits.max_body_megabytes * 1_000_000
        async for chunk in body_chunks(exchange.request):
            if not chunk:
                continue
            exchange.streamed_bytes += len(chunk)
            if exchange.streamed_bytes > maximum:
                raise MessageAborted
            yield b"%x\r\n%b\r\n" % (len(chunk), chunk) if exchange.chunked else chunk
        if exchange.chunked:
            yield b"0\r\n\r\n"

    async def stream_down(
        self, exchange: Exchange, attempt: Attempt
    ) -> AsyncIterator[bytes]:
        """Yield the body of an answer; raises AnswerBroken if it has no proven end."""
        connection = attempt.connection
        try:
            while True:
                limit = exchange.deadline - self.clock.monotonic()
                try:
                    async with asyncio.timeout(max(limit, 0.0)):
                        chunk = await connection.read_chunk()
                except TimeoutError:
                    self.break_off(exchange, attempt, ErrorKind.BACKEND_TIMEOUT)
                if chunk.is_error():
                    self.break_off(exchange, attempt, chunk.error.kind)
                if not chunk.ok:
                    return
                yield chunk.ok
        finally:
            self.in_flight -= 1
            attempt.pool.release(connection)
            self.dispatchers[exchange.service].release(
                attempt.instance, self.clock.monotonic() - attempt.started
            )

    def break_off(
        self, exchange: Exchange, attempt: Attempt, kind: ErrorKind
    ) -> NoReturn:
        """Count and log an answer that broke after its first byte."""
        self.metrics.refusals.labels(kind.value, Outcome.UNKNOWN.value).inc()
        log_event(Event.ANSWER_ABORTED, instance=attempt.instance.id, kind=kind.value)
        raise AnswerBroken(f"{exchange.service}: {kind.value}")

    def request_head(
        self, exchange: Exchange, instance: Instance, now: float
    ) -> RequestHead:
        """Build the head that is sent to an instance."""
        headers = end_to_end(exchange.headers)
        content_type = header_of(exchange.headers, b"content-type")
        if content_type is not None:
            headers.append((b"content-type", content_type))
        headers.append((b"host", f"{instance.address}:{instance.port}".encode()))
        remaining = max(int((exchange.deadline - now) * 1000), 1)
        headers.append((b"x-request-deadline-ms", str(remaining).encode()))
        if exchange.chunked:
            headers.append((b"transfer-encoding", b"chunked"))
        elif exchange.body_length is not None:
            headers.append((b"content-length", str(exchange.body_length).encode()))
        return RequestHead(exchange.method.encode(), exchange.target, headers)
