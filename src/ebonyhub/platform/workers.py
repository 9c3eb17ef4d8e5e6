"""Orders to workers."""

from typing import Any

import msgspec
from expression import Error, Ok, Result

from ..clock import Clock
from ..http_client import SmallResponse
from ..http_session import HttpSession
from ..ids import JobId, LeaderToken, TaskId, WorkerId
from ..scheduling.model import (
    EndedTask,
    EndKind,
    OrderFailure,
    RunningTask,
    StartOrder,
    WorkerReport,
)

# Seconds. Workers answer in about a millisecond; a lost answer is settled by the
# worker's list, so waiting longer gains nothing.
ORDER_TIMEOUT_SECONDS = 0.4
# Connections to one worker, below the limit of the services (64), so that two holders
# of the leadership can be connected at once.
CONNECTION_LIMIT = 12

_REASONS = {
    "fence": OrderFailure.FENCED,
    "old": OrderFailure.OLD_RUN,
    "late": OrderFailure.LATE,
    "room": OrderFailure.NO_CAPACITY,
    "ticket": OrderFailure.TICKET,
}


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

    async def _order(
        self,
        target: bytes,
        body: dict[str, Any],
        extra_seconds: float = 0.0,
        session: HttpSession | None = None,
    ) -> Result[SmallResponse, OrderFailure]:
        result = await (session or self.session).call(
            b"POST",
            target,
            msgspec.json.encode(body),
            ORDER_TIMEOUT_SECONDS + extra_seconds,
            self.headers,
        )
        if result.is_error():
            written = result.error.bytes_written
            return Error(OrderFailure.UNKNOWN if written else OrderFailure.NOT_SENT)
        failure = _failure(result.ok)
        return Error(failure) if failure else Ok(result.ok)

    async def start(self, order: StartOrder) -> Result[int, OrderFailure]:
        """Start a run; returns the worker's clock in ms."""
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
        return _clock(await self._order(b"/run-start", body))

    async def stop(
        self, task: TaskId, number: int, token: LeaderToken
    ) -> Result[int, OrderFailure]:
        """Stop a run, or keep it from starting; returns the worker's clock in ms."""
        body = {"Task": task_name(task), "Run": number, "FencingToken": token}
        return _clock(await self._order(b"/run-stop", body))

    async def pace(
        self, task: TaskId, number: int, percent: int, token: LeaderToken
    ) -> Result[int, OrderFailure]:
        """Let a run work at a share of its speed."""
        body = {
            "Task": task_name(task),
            "Run": number,
            "Percent": percent,
            "FencingToken": token,
        }
        return _clock(await self._order(b"/pace", body))

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
        if not self.hold_session.will_reuse():
            acknowledged = 0
        body: dict[str, Any] = {"FencingToken": token, "AckCursor": acknowledged}
        if lease_until_ms is not None:
            body["DeadlineMs"] = lease_until_ms
        wait_ms = int(wait_seconds * 1000)
        if wait_ms:
            body["WaitMs"] = wait_ms
        result = await self._order(b"/hold", body, wait_seconds, self.hold_session)
        if result.is_error():
            return Error(result.error)
        return Ok(_report(msgspec.json.decode(result.ok.body)))

    async def look(
        self, token: LeaderToken, lease_until_ms: int | None
    ) -> Result[WorkerReport, OrderFailure]:
        """Read both lists beside a hold that waits; acknowledges nothing."""
        body: dict[str, Any] = {"FencingToken": token, "AckCursor": 0}
        if lease_until_ms is not None:
            body["DeadlineMs"] = lease_until_ms
        result = await self._order(b"/hold", body)
        if result.is_error():
            return Error(result.error)
        return Ok(_report(msgspec.json.decode(result.ok.body)))

    def close(self) -> None:
        """Close the connections."""
        self.session.close()
        self.hold_session.close()


def _clock(result: Result[SmallResponse, OrderFailure]) -> Result[int, OrderFailure]:
    if result.is_error():
        return Error(result.error)
    body = msgspec.json.decode(result.ok.body) if result.ok.body else {}
    return Ok(int(body.get("ClockMs", 0)))


def _failure(response: SmallResponse) -> OrderFailure | None:
    """Return what an answer other than 200 means."""
    match response.status:
        case 200:
            return None
        case 409:
            reason = msgspec.json.decode(response.body).get("Reason")
            return _REASONS.get(reason, OrderFailure.REFUSED)
        case 421:
            return OrderFailure.OTHER_WORKER
        case 429 | 503:
            return OrderFailure.REFUSED
        case 400:
            return OrderFailure.INVALID
        case _:
            return OrderFailure.UNKNOWN


def _report(body: dict[str, Any]) -> WorkerReport:
    """Decode both lists; their rows are positional."""
    running = tuple(
        RunningTask(
            task=parse_task_name(row[0]),
            number=row[1],
            checkpoint=row[2],
            percent=row[3],
            usage=row[4] if len(row) > 4 else 0,
        )
        for row in body.get("Running") or ()
    )
    ended = tuple(
        EndedTask(
            sequence=row[0],
            task=parse_task_name(row[1]),
            number=row[2],
            kind=EndKind(row[3]),
            checkpoint=row[4],
        )
        for row in body.get("Finished") or ()
    )
    return WorkerReport(body["ClockMs"], int(body.get("born", 0)), running, ended)
