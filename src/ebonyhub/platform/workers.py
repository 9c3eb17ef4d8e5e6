"""HTTP client of a worker: orders, and polls for its report."""

from typing import Any

import msgspec
from expression import Error, Ok, Result

from ..clock import Clock
from ..decoding import Count, Name, try_decode
from ..events import Event
from ..http_client import ExchangeError, SmallResponse
from ..http_session import HttpSession
from ..ids import LeaderToken, TaskId, WorkerId
from ..metrics import Metrics
from ..path_silence import PathSilence
from ..rejections import RejectedAnswers
from ..scheduling.model import OrderFailure, StartOrder, WorkerReport
from .worker_reports import decode_report, parse_task_name, task_name

__all__ = ["WorkerClient", "parse_task_name", "task_name"]

# Workers answer in about 1 ms. The next report shows whether an order without an answer
# was carried out, so waiting longer gains nothing.
ORDER_TIMEOUT_SECONDS = 0.4
# Per worker; well below the services' limit of 64, so that a leader and its successor
# can be connected at the same time.
CONNECTION_LIMIT = 12

_FAILURE_BY_REASON = {
    "fence": OrderFailure.FENCED,
    "old": OrderFailure.OLD_RUN,
    "late": OrderFailure.LATE,
    "room": OrderFailure.NO_CAPACITY,
    "ticket": OrderFailure.TICKET,
}


class RefusalAnswer(msgspec.Struct):
    """Body of a 409 answer to an order."""

    reason: Name = msgspec.field(name="Reason", default="")


class OrderAnswer(msgspec.Struct):
    """Body of a 200 answer to an order."""

    clock_ms: Count = msgspec.field(name="ClockMs")


_decode_refusal = msgspec.json.Decoder(RefusalAnswer).decode
_decode_order_answer = msgspec.json.Decoder(OrderAnswer).decode


class WorkerClient:
    """Sends orders to one worker; any other worker at the address answers 421."""

    def __init__(
        self,
        worker: WorkerId,
        address: str,
        clock: Clock,
        metrics: Metrics | None = None,
    ) -> None:
        silence = PathSilence()
        self.session = HttpSession(address, clock, CONNECTION_LIMIT, silence)
        # Polls use a single connection, which closes when the worker process ends.
        self.poll_session = HttpSession(address, clock, 1, silence)
        self.headers = ((b"X-Expected-Instance", worker.encode("utf-8", "replace")),)
        self.rejected_answers = RejectedAnswers("worker", clock, metrics)
        # Start of the process that has reported on the present connection for polls, 0
        # if it does not say; None before the first report.
        self.connected_born_ms: int | None = None

    async def _send_order(
        self,
        target: bytes,
        body: dict[str, Any],
        extra_seconds: float = 0.0,
        session: HttpSession | None = None,
    ) -> Result[SmallResponse, ExchangeError]:
        return await (session or self.session).call(
            b"POST",
            target,
            msgspec.json.encode(body),
            ORDER_TIMEOUT_SECONDS + extra_seconds,
            self.headers,
            extra_seconds,
        )

    async def start(self, order: StartOrder) -> Result[int, OrderFailure]:
        """Start a run; it is on the worker if this succeeds, also after a repeat.

        Returns the worker's clock in ms. An answer without it counts as lost.
        """
        body: dict[str, Any] = {
            "Task": task_name(order.task),
            "Run": order.number,
            "Spec": order.text,
            "DeadlineMs": order.deadline_ms,
            "FencingToken": order.token,
        }
        if order.checkpoint:
            body["Checkpoint"] = order.checkpoint
        if order.ticket:
            body["Ticket"] = order.ticket
        result = await self._send_order(b"/run-start", body)
        failure = _order_failure(result)
        if failure is not None:
            return Error(failure)
        answer = try_decode(_decode_order_answer, result.ok.body)
        return Ok(answer.ok.clock_ms) if answer.is_ok() else Error(OrderFailure.UNKNOWN)

    async def stop(
        self, task: TaskId, run_number: int, token: LeaderToken
    ) -> OrderFailure | None:
        """Stop a run, or prevent it from starting; None means success."""
        body = {"Task": task_name(task), "Run": run_number, "FencingToken": token}
        return _order_failure(await self._send_order(b"/run-stop", body))

    async def throttle(
        self, task: TaskId, run_number: int, speed_percent: int, token: LeaderToken
    ) -> OrderFailure | None:
        """Limit a run to a percentage of its speed; None means success."""
        body = {
            "Task": task_name(task),
            "Run": run_number,
            "Percent": speed_percent,
            "FencingToken": token,
        }
        return _order_failure(await self._send_order(b"/pace", body))

    async def poll(
        self,
        token: LeaderToken,
        acknowledged_sequence: int,
        lease_until_ms: int | None,
        wait_seconds: float,
    ) -> Result[WorkerReport, OrderFailure]:
        """Extend the lease of all runs, acknowledge ended tasks and read the report.

        The platform's ``/hold`` call, a long poll. A worker that restarts under the
        same id numbers its ended tasks from 1 again, so nothing is acknowledged on a
        new connection before its first report.
        """
        if not self.reaches_known_process():
            self.connected_born_ms = None
            acknowledged_sequence = 0
        body: dict[str, Any] = {
            "FencingToken": token,
            "AckCursor": acknowledged_sequence,
        }
        if lease_until_ms is not None:
            body["DeadlineMs"] = lease_until_ms
        wait_ms = int(wait_seconds * 1000)
        if wait_ms:
            body["WaitMs"] = wait_ms
        report = self._decode_report_answer(
            await self._send_order(b"/hold", body, wait_seconds, self.poll_session)
        )
        if report.is_ok():
            self.connected_born_ms = report.ok.born_ms
        return report

    def reaches_known_process(self) -> bool:
        """Return whether the next poll uses a connection that has returned a report.

        It then reaches the process of that report, or none.
        """
        is_known = self.connected_born_ms is not None
        return is_known and self.poll_session.has_idle_connection()

    def reaches_process(self, born_ms: int) -> bool:
        """Return whether the next poll reaches the process with this start, or none."""
        return self.reaches_known_process() and self.connected_born_ms in (0, born_ms)

    async def fetch_report(
        self, token: LeaderToken
    ) -> Result[WorkerReport, OrderFailure]:
        """Read the report at once while a poll waits.

        Acknowledges nothing and renews no lease, since any process may answer.
        """
        body: dict[str, Any] = {"FencingToken": token, "AckCursor": 0}
        return self._decode_report_answer(await self._send_order(b"/hold", body))

    def _decode_report_answer(
        self, result: Result[SmallResponse, ExchangeError]
    ) -> Result[WorkerReport, OrderFailure]:
        """Decode a report; an answer that cannot be decoded counts as lost."""
        failure = _order_failure(result)
        if failure is not None:
            return Error(failure)
        report = decode_report(result.ok.body)
        if report.is_ok():
            if not report.ok.complete:
                self.rejected_answers.reject(
                    Event.INPUT_PARTLY_REJECTED, "hold", "a row cannot be read"
                )
            return Ok(report.ok)
        self.rejected_answers.reject(
            Event.PLATFORM_ANSWER_UNREADABLE, "hold", report.error
        )
        return Error(OrderFailure.UNKNOWN)

    def close(self) -> None:
        """Close all connections to the worker."""
        self.session.close()
        self.poll_session.close()


def _order_failure(result: Result[SmallResponse, ExchangeError]) -> OrderFailure | None:
    """Return why an order failed, None if it succeeded."""
    if result.is_error():
        written = result.error.any_bytes_written
        return OrderFailure.UNKNOWN if written else OrderFailure.NOT_SENT
    match result.ok.status:
        case 200:
            return None
        case 409:
            return _conflict_failure(result.ok.body)
        case 421:
            return OrderFailure.OTHER_WORKER
        case 429 | 503:
            return OrderFailure.REFUSED
        case 400:
            return OrderFailure.INVALID
        case _:
            return OrderFailure.UNKNOWN


def _conflict_failure(body: bytes) -> OrderFailure:
    refusal = try_decode(_decode_refusal, body)
    # If the reason cannot be decoded, the order was refused nevertheless.
    reason = refusal.ok.reason if refusal.is_ok() else ""
    return _FAILURE_BY_REASON.get(reason, OrderFailure.REFUSED)
