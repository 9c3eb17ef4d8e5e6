"""Relays a caller request: admission, slot, connection, response, retries."""

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
from .errors import ERROR_RESPONSES, ErrorKind, Outcome, Refusal
from .events import Event, log_event
from .exchange import (
    MAX_BUFFERED_BODY_BYTES,
    NOT_RUN_HEADER,
    Attempt,
    Exchange,
    RelayedResponse,
    ResponseAborted,
    end_to_end_headers,
    get_header,
    parse_control_headers,
    read_body_if_small,
    refusal_for_error,
    request_body_chunks,
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
from .slots import connections_per_entry
from .vm_list import VmList


class Relay:
    """Relays caller requests to the instances of the declared services.

    ``in_flight`` counts the requests whose response is not ready yet, and those whose
    response body is being streamed.
    """

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
        self.retry_budget = RetryBudget()
        self.in_flight = 0

    def configure(
        self, declared: Declared | None = None, vm_list: VmList | None = None
    ) -> None:
        """Adopt a new configuration or a new VM list; None keeps the current one.

        A service that is no longer declared keeps its dispatcher without instances, so
        that requests in flight can still release their slots.
        """
        self.declared = declared or self.declared
        self.vm_list = vm_list or self.vm_list
        if self.declared is None:
            return
        services = [ServiceName(name) for name in self.declared.of_kind("Service")]
        for service in services:
            self._configure_service(service, self.declared)
        for service in set(self.dispatchers) - set(services):
            self.dispatchers[service].configure({}, 0)
        self._close_unused_pools()

    def _configure_service(self, service: ServiceName, declared: Declared) -> None:
        dispatcher = self.dispatchers.get(service)
        if dispatcher is None:
            dispatcher = ServiceDispatcher(
                service, self.limits.queue_length_per_service, self.clock, self.rng
            )
            self.dispatchers[service] = dispatcher
        instances = instances_of_service(
            service, declared, self.vm_list, self.entry, self.entries
        )
        dispatcher.configure(instances, min_available(service, declared))

    def _close_unused_pools(self) -> None:
        used = {
            instance_id
            for dispatcher in self.dispatchers.values()
            for instance_id in dispatcher.instances
        }
        for instance_id in set(self.pools) - used:
            self.pools.pop(instance_id).close()

    def pool_for(self, instance: Instance, service: ServiceName) -> ConnectionPool:
        """Return the pool of an instance, a new one if its address changed."""
        pool = self.pools.get(instance.id)
        if pool is None or (pool.address, pool.port) != (
            instance.address,
            instance.port,
        ):
            spec = self.service_spec(service)
            max_connections = connections_per_entry(
                spec.connections_per_instance, len(self.entries)
            )
            pool = ConnectionPool(
                instance.address,
                instance.port,
                max_connections,
                self.limits.idle_connection_seconds,
                self.limits.connect_timeout_seconds,
                self.clock,
            )
            self.pools[instance.id] = pool
        return pool

    def service_spec(self, service: ServiceName) -> ServiceSpec:
        """Return the declared spec of a service; LookupError if it is not declared."""
        assert self.declared is not None
        resource = self.declared.get("Service", service)
        if resource is None or not isinstance(resource.spec, ServiceSpec):
            raise LookupError(service)
        return resource.spec

    async def handle(self, request: Request) -> Response:
        """Return the response of an instance, or an error response."""
        self.in_flight += 1
        started = self.clock.monotonic()
        streaming = False
        try:
            prepared = await self.prepare_exchange(request, started)
            if prepared.is_error():
                return self.refuse(prepared.error)
            relayed = await self.relay_with_retries(prepared.ok)
            streaming = relayed.streaming
            self.metrics.latency.labels(prepared.ok.service).observe(
                self.clock.monotonic() - started
            )
            return relayed.response
        finally:
            if not streaming:
                self.in_flight -= 1

    async def prepare_exchange(
        self, request: Request, now: float
    ) -> Result[Exchange, Refusal]:
        """Validate a request and read a small body, before it may wait for a slot.

        ``now`` is monotonic seconds; the deadline of the request counts from it.
        """
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
        timeout_seconds, priority = parsed.ok
        length, chunked = body_framing(headers)
        if length is not None and length > self.limits.max_body_megabytes * 1_000_000:
            return Error(Refusal(ErrorKind.BODY_TOO_LARGE))
        body = None if chunked else b""
        if length is not None and length > 0:
            body = await read_body_if_small(request, length)
        method = request.method
        return Ok(
            Exchange(
                request,
                service,
                target,
                method,
                classify_method(method),
                priority,
                now + timeout_seconds,
                headers,
                body,
                length,
                chunked,
            )
        )

    def refuse(self, refusal: Refusal) -> Response:
        """Build the error response for a refusal and count the refusal."""
        error_response = ERROR_RESPONSES[refusal.kind]
        outcome = refusal.outcome
        self.metrics.refusals.labels(refusal.kind.value, outcome.value).inc()
        headers: list[Header] = [
            (b"X-Ebonyhub-Outcome", outcome.value.encode()),
            (b"X-Ebonyhub-Error", refusal.kind.value.encode()),
        ]
        if error_response.retry_after_seconds is not None:
            headers.append(
                (b"Retry-After", str(error_response.retry_after_seconds).encode())
            )
        return Response(
            error_response.status, headers, Content(b"application/json", refusal.body())
        )

    async def relay_with_retries(self, exchange: Exchange) -> RelayedResponse:
        """Try instances until one responds or no further attempt is allowed."""
        self.retry_budget.record_request(self.clock.monotonic())
        dispatcher = self.dispatchers[exchange.service]
        while True:
            granted = await dispatcher.acquire(
                exchange.priority,
                exchange.deadline,
                frozenset(exchange.tried_instances),
            )
            if granted.is_error():
                return RelayedResponse(self.refuse(granted.error))
            instance = granted.ok
            exchange.attempts += 1
            exchange.tried_instances.add(instance.id)
            result = await self.make_attempt(exchange, dispatcher, instance)
            if result.is_ok():
                self.metrics.requests.labels(exchange.service, "answered").inc()
                return result.ok
            if not self.allow_retry(exchange, result.error):
                return RelayedResponse(self.refuse(refusal_for_error(result.error)))

    def allow_retry(self, exchange: Exchange, error: ExchangeError) -> bool:
        """Return whether to make another attempt; counts the decision by error kind."""
        reason = error.kind.value
        allowed = may_retry(
            exchange.method_class, error, exchange.attempts, exchange.body_buffered
        )
        now = self.clock.monotonic()
        if (
            not allowed
            or now >= exchange.deadline
            or not self.retry_budget.try_spend(now)
        ):
            self.metrics.retries_denied.labels(reason).inc()
            return False
        self.metrics.retries.labels(reason).inc()
        return True

    async def make_attempt(
        self, exchange: Exchange, dispatcher: ServiceDispatcher, instance: Instance
    ) -> Result[RelayedResponse, ExchangeError]:
        """Make one attempt on an instance whose slot is already taken.

        Releases the slot and the connection, unless the response is streamed: then
        ``stream_response_body`` releases them.
        """
        started = self.clock.monotonic()
        pool = self.pool_for(instance, exchange.service)
        recently_used_only = exchange.method_class is MethodClass.NON_IDEMPOTENT
        streaming = False
        try:
            acquired = await pool.acquire(recently_used_only)
            if acquired.is_error():
                self.record_failed_attempt(dispatcher, instance, acquired.error)
                return Error(acquired.error)
            sent_at = self.clock.monotonic()
            attempt = Attempt(instance, pool, acquired.ok, started)
            try:
                result = await self.perform_exchange(exchange, attempt)
                streaming = result.is_ok() and result.ok.streaming
            finally:
                if not streaming:
                    pool.release(attempt.connection)
            if result.is_error():
                if result.error.kind is ErrorKind.BACKEND_TIMEOUT:
                    pool.record_timeout(sent_at)
                self.record_failed_attempt(dispatcher, instance, result.error)
            else:
                dispatcher.record_success(instance)
            return result
        finally:
            if not streaming:
                dispatcher.release(instance, self.clock.monotonic() - started)

    def record_failed_attempt(
        self, dispatcher: ServiceDispatcher, instance: Instance, error: ExchangeError
    ) -> None:
        """Count a failed attempt towards the ejection of the instance.

        Failures that the instance did not cause are not counted.
        """
        if error.kind in (ErrorKind.CONNECTION_LIMIT, ErrorKind.CALLER_ABORTED):
            return
        ejected = dispatcher.record_failure(instance)
        log_event(
            Event.BACKEND_FAILURE,
            instance=instance.id,
            kind=error.kind.value,
            ejected=ejected,
        )

    async def perform_exchange(
        self, exchange: Exchange, attempt: Attempt
    ) -> Result[RelayedResponse, ExchangeError]:
        """Send the request and read the response head, and a small body with it."""
        connection = attempt.connection
        spec = self.service_spec(exchange.service)
        now = self.clock.monotonic()
        timeout_seconds = min(exchange.deadline - now, spec.first_byte_timeout_seconds)
        try:
            async with asyncio.timeout(max(timeout_seconds, 0.0)):
                sent = await connection.send(
                    self.build_request_head(exchange, attempt.instance, now),
                    exchange.body
                    if exchange.body_buffered
                    else self.stream_request_body(exchange),
                )
                if sent.is_error():
                    return Error(sent.error)
                received = await connection.read_head()
                if received.is_error():
                    return Error(received.error)
        except TimeoutError:
            any_written = connection.any_bytes_written
            return Error(ExchangeError(ErrorKind.BACKEND_TIMEOUT, any_written))
        except MessageAborted:
            return Error(ExchangeError(ErrorKind.CALLER_ABORTED, True))
        return await self.build_response(exchange, attempt, received.ok)

    async def build_response(
        self, exchange: Exchange, attempt: Attempt, head: ResponseHead
    ) -> Result[RelayedResponse, ExchangeError]:
        """Build the response to the caller: buffered if small, streamed otherwise."""
        if head.status == 503 and get_header(head.headers, NOT_RUN_HEADER) == b"true":
            return Error(ExchangeError(ErrorKind.BACKEND_REFUSED, True))
        headers = end_to_end_headers(head.headers)
        content_type = get_header(head.headers, b"content-type") or b""
        length = head.content_length
        if exchange.method == "HEAD":
            empty = StreamedContent(content_type, self.empty_body, length or 0)
            return Ok(RelayedResponse(Response(head.status, headers, empty)))
        if length is not None and length <= MAX_BUFFERED_BODY_BYTES:
            return await self.read_small_response(exchange, attempt, head, headers)
        content = StreamedContent(
            content_type,
            partial(self.stream_response_body, exchange, attempt),
            -1 if length is None else length,
        )
        return Ok(
            RelayedResponse(Response(head.status, headers, content), streaming=True)
        )

    async def empty_body(self) -> AsyncIterator[bytes]:
        """Yield no bytes: a response to HEAD declares a length but has no body."""
        yield b""

    async def read_small_response(
        self,
        exchange: Exchange,
        attempt: Attempt,
        head: ResponseHead,
        headers: list[Header],
    ) -> Result[RelayedResponse, ExchangeError]:
        """Read a small body to its end before anything is sent to the caller.

        A failure at this point can still be retried or reported with an error status.
        """
        parts: list[bytes] = []
        timeout_seconds = exchange.deadline - self.clock.monotonic()
        try:
            async with asyncio.timeout(max(timeout_seconds, 0.0)):
                while True:
                    chunk = await attempt.connection.read_chunk()
                    if chunk.is_error():
                        return Error(chunk.error)
                    if not chunk.ok:
                        break
                    parts.append(chunk.ok)
        except TimeoutError:
            return Error(ExchangeError(ErrorKind.BACKEND_TIMEOUT, True))
        content_type = get_header(head.headers, b"content-type") or b""
        body = b"".join(parts)
        content = Content(content_type, body) if body else None
        return Ok(RelayedResponse(Response(head.status, headers, content)))

    async def stream_request_body(self, exchange: Exchange) -> AsyncIterator[bytes]:
        """Yield the caller's body in the framing that the request head declares.

        Raises MessageAborted if the body exceeds the size limit.
        """
        max_bytes = self.limits.max_body_megabytes * 1_000_000
        async for chunk in request_body_chunks(exchange.request):
            if not chunk:
                continue
            exchange.streamed_body_bytes += len(chunk)
            if exchange.streamed_body_bytes > max_bytes:
                raise MessageAborted
            yield b"%x\r\n%b\r\n" % (len(chunk), chunk) if exchange.chunked else chunk
        if exchange.chunked:
            yield b"0\r\n\r\n"

    async def stream_response_body(
        self, exchange: Exchange, attempt: Attempt
    ) -> AsyncIterator[bytes]:
        """Yield the response body, then release the slot and the connection.

        Raises ResponseAborted if the body does not end as its framing requires, or
        not before the deadline.
        """
        connection = attempt.connection
        try:
            while True:
                timeout_seconds = exchange.deadline - self.clock.monotonic()
                try:
                    async with asyncio.timeout(max(timeout_seconds, 0.0)):
                        chunk = await connection.read_chunk()
                except TimeoutError:
                    self.abort_response(exchange, attempt, ErrorKind.BACKEND_TIMEOUT)
                if chunk.is_error():
                    self.abort_response(exchange, attempt, chunk.error.kind)
                if not chunk.ok:
                    return
                yield chunk.ok
        finally:
            self.in_flight -= 1
            attempt.pool.release(connection)
            self.dispatchers[exchange.service].release(
                attempt.instance, self.clock.monotonic() - attempt.started
            )

    def abort_response(
        self, exchange: Exchange, attempt: Attempt, kind: ErrorKind
    ) -> NoReturn:
        """Count and log a response that failed after its head went to the caller."""
        self.metrics.refusals.labels(kind.value, Outcome.UNKNOWN.value).inc()
        log_event(Event.RESPONSE_ABORTED, instance=attempt.instance.id, kind=kind.value)
        raise ResponseAborted(f"{exchange.service}: {kind.value}")

    def build_request_head(
        self, exchange: Exchange, instance: Instance, now: float
    ) -> RequestHead:
        """Build the request head for an instance, with the time left to the deadline.

        An expired deadline is sent as 1 ms, since 0 is invalid.
        """
        headers = end_to_end_headers(exchange.headers)
        content_type = get_header(exchange.headers, b"content-type")
        if content_type is not None:
            headers.append((b"content-type", content_type))
        headers.append((b"host", f"{instance.address}:{instance.port}".encode()))
        remaining_ms = max(int((exchange.deadline - now) * 1000), 1)
        headers.append((b"x-request-deadline-ms", str(remaining_ms).encode()))
        if exchange.chunked:
            headers.append((b"transfer-encoding", b"chunked"))
        elif exchange.body_length is not None:
            headers.append((b"content-length", str(exchange.body_length).encode()))
        return RequestHead(exchange.method.encode(), exchange.target, headers)
