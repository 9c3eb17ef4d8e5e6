"""Orders to workers."""

from typing import Any

import msgspec
from expression import Error, Ok, Result

from ..clock import Clock
from ..events import Event, log_event
from ..http_client import ExchangeError, SmallResponse
from ..http_session import HttpSession
from ..ids import JobId, LeaderToken, TaskId, WorkerId
from ..scheduling.model import (
    EndedTask,
    OrderFailure,
    RunningTask,
    RunOutcome,
    StartOrder,
    WorkerReport,
)

# Seconds. Workers answer in about a millisecond; a lost answer is settled by the
# worker's list, so waiting longer gains nothing.
ORDER_TIMEOUT_SECONDS = 0.4
# Connections to one worker, below the limit of the services (64), so that two holders
# of the leadership can be connected at once.
CONNECTION_LIMIT = 12

_FAILURE_BY_REASON = {
    "fence": OrderFailure.FENCED,
    "old": OrderFailure.OLD_RUN,
    "late": OrderFailure.LATE,
    "room": OrderFailure.NO_CAPACITY,
    "ticket": OrderFailure.TICKET,
}


class RunningRow(msgspec.Struct, array_like=True):
    """Row of the list of what runs; positional on the wire."""

    task: str
    number: int
    checkpoint: str
    percent: float
    usage: float = 0


class EndedRow(msgspec.Struct, array_like=True):
    """Row of the list of ends; positional on the wire."""

    sequence: int
    task: str
    number: int
    kind: RunOutcome
    checkpoint: str


class HoldAnswer(msgspec.Struct):
    """Body of the answer to a hold."""

    clock_ms: int = msgspec.field(name="ClockMs")
    born_ms: int = msgspec.field(name="born", default=0)
    running: list[RunningRow] = msgspec.field(name="Running", default_factory=list)
    ended: list[EndedRow] = msgspec.field(name="Finished", default_factory=list)


class Refusal(msgspec.Struct):
    """Body of an answer that refuses an order."""

    reason: str = msgspec.field(name="Reason", default="")


_decode_hold = msgspec.json.Decoder(HoldAnswer).decode
_decode_refusal = msgspec.json.Decoder(Refusal).decode


def task_name(task: TaskId) -> str:
    """Return the platform's name of a task."""
    return f"{task.job}.{task.occurrence}.{task.step}.{task.position}"


def parse_task_name(name: str) -> TaskId:
    """Return the task that a name stands for; raises ValueError."""
    job, occurrence, step, index = name.split(".")
    return TaskId(JobId(job), int(occurrence), int(step), int(index))


class WorkerClient:
    """Gives orders to one lifetime of a worker."""

    def __init__(self, worker: WorkerId, address: str, clock: Clock) -> None:
        self.session = HttpSession(address, clock, CONNECTION_LIMIT)
        # Holds have one connection, which ends with the worker's process.
        self.hold_session = HttpSession(address, clock, 1)
        self.headers = ((b"X-Expected-Instance", worker.encode()),)

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
        )

    async def start(self, order: StartOrder) -> OrderFailure | None:
        """Start a run; None means that it is there."""
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
        return _order_failure(await self._send_order(b"/run-start", body))

    async def stop(
        self, task: TaskId, number: int, token: LeaderToken
    ) -> OrderFailure | None:
        """Stop a run, or keep it from starting; None means success."""
        body = {"Task": task_name(task), "Run": number, "FencingToken": token}
        return _order_failure(await self._send_order(b"/run-stop", body))

    async def pace(
        self, task: TaskId, number: int, percent: int, token: LeaderToken
    ) -> OrderFailure | None:
        """Let a run work at a share of its speed; None means success."""
        body = {
            "Task": task_name(task),
            "Run": number,
            "Percent": percent,
            "FencingToken": token,
        }
        return _order_failure(await self._send_order(b"/pace", body))

    async def hold(
        self,
        token: LeaderToken,
        acknowledged: int,
        lease_until_ms: int | None,
        wait_seconds: float,
    ) -> Result[WorkerReport, OrderFailure]:
        """Extend the lease of all runs, acknowledge ends and read both lists.

        A worker that started anew under its id counts its ends from 1 again, so
        nothing is acknowledged on a connection that has not yet reported.
        """
        if not self.hold_session.has_idle_connection():
            acknowledged = 0
        body: dict[str, Any] = {"FencingToken": token, "AckCursor": acknowledged}
        if lease_until_ms is not None:
            body["DeadlineMs"] = lease_until_ms
        wait_ms = int(wait_seconds * 1000)
        if wait_ms:
            body["WaitMs"] = wait_ms
        return _decode_report_answer(
            await self._send_order(b"/hold", body, wait_seconds, self.hold_session)
        )

    async def fetch_report(
        self, token: LeaderToken, lease_until_ms: int | None
    ) -> Result[WorkerReport, OrderFailure]:
        """Read both lists beside a hold that waits; acknowledges nothing."""
        body: dict[str, Any] = {"FencingToken": token, "AckCursor": 0}
        if lease_until_ms is not None:
            body["DeadlineMs"] = lease_until_ms
        return _decode_report_answer(await self._send_order(b"/hold", body))

    def close(self) -> None:
        """Close the connections."""
        self.session.close()
        self.hold_session.close()


def _order_failure(result: Result[SmallResponse, ExchangeError]) -> OrderFailure | None:
    """Return why an order did not succeed, None if it did."""
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
    try:
        reason = _decode_refusal(body).reason
    except msgspec.MsgspecError:
        # Refused for a reason that can not be read.
        return OrderFailure.REFUSED
    return _FAILURE_BY_REASON.get(reason, OrderFailure.REFUSED)


def _decode_report_answer(
    result: Result[SmallResponse, ExchangeError],
) -> Result[WorkerReport, OrderFailure]:
    """Decode both lists; an answer that can not be read counts as lost."""
    failure = _order_failure(result)
    if failure is not None:
        return Error(failure)
    try:
        return Ok(decode_report(result.ok.body))
    except (msgspec.MsgspecError, ValueError) as error:
        log_event(Event.PLATFORM_ANSWER_UNREADABLE, call="hold", error=repr(error))
        return Error(OrderFailure.UNKNOWN)


def decode_report(body: bytes) -> WorkerReport:
    """Decode a worker's lists; raises msgspec.MsgspecError or ValueError."""
    answer = _decode_hold(body)
    running = tuple(
        RunningTask(
            parse_task_name(row.task), row.number, row.checkpoint, row.percent,
            row.usage,
        )
        for row in answer.running
    )  # fmt: skip
    ended = tuple(
        EndedTask(
            row.sequence, parse_task_name(row.task), row.number, row.kind,
            row.checkpoint,
        )
        for row in answer.ended
    )  # fmt: skip
    return WorkerReport(answer.clock_ms, answer.born_ms, running, ended)
