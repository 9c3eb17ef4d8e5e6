"""HTTP clients of the cloud API, which owns the VMs, and of the placement advisor."""

from collections.abc import Sequence, Set
from enum import Enum
from typing import Annotated, Any
from urllib.parse import quote

import msgspec
from expression import Error, Ok, Result

from ..clock import Clock
from ..decoding import Name, try_convert, try_decode
from ..events import Event
from ..fleet.model import Vm, VmListing
from ..http_client import SmallResponse
from ..http_session import HttpSession
from ..ids import EntryId, JobId, LeaderToken, PoolName, VmId, WaveId, WorkerId
from ..metrics import Metrics
from ..rejections import RejectedAnswers
from .vm_listing import ListingDecoder

# Allows for a cloud API that answers 50 times slower than usual.
CALL_TIMEOUT_SECONDS = 1.5
CONNECTION_LIMIT = 4
# Added to the answer time that the advisor's policy promises.
ADVICE_TIMEOUT_MARGIN_SECONDS = 1.0
# The cloud's list has a few hundred VMs, on a few pages.
MAX_LIST_PAGES = 1000
# A call names at most 100 workers.
MAX_ADVICE_ROWS = 10_000
MAX_TICKET_LENGTH = 4096


class CloudFailure(Enum):
    """Why a call to the cloud API or the advisor failed."""

    FENCED = "fenced"
    # The VM is not up, or it is already leaving.
    BUSY = "busy"
    # The VM does not belong to the wave.
    NOT_IN_WAVE = "not_in_wave"
    INVALID = "invalid"
    # Nothing was done.
    REFUSED = "refused"
    # No answer arrived; the change may have been made or may still be made.
    UNKNOWN = "unknown"


_FAILURE_BY_REASON = {
    "fence": CloudFailure.FENCED,
    "busy": CloudFailure.BUSY,
    "wave": CloudFailure.NOT_IN_WAVE,
}


class ConflictAnswer(msgspec.Struct):
    """Body of a 409 answer to a change of a VM."""

    reason: Name = msgspec.field(name="Reason", default="")


class TicketRow(msgspec.Struct, array_like=True):
    """A worker that may run the step, and its ticket."""

    worker: Name
    ticket: Annotated[str, msgspec.Meta(max_length=MAX_TICKET_LENGTH)]


class Advice(msgspec.Struct):
    """Rows of a worker that may run the step and the ticket to present to it."""

    good: Annotated[list[Any], msgspec.Meta(max_length=MAX_ADVICE_ROWS)] = (
        msgspec.field(name="Good", default_factory=list)
    )


_decode_conflict = msgspec.json.Decoder(ConflictAnswer).decode
_decode_advice = msgspec.json.Decoder(Advice).decode


class CloudClient:
    """Lists the VMs and requests moves and maintenance."""

    def __init__(
        self, address: str, entry: EntryId, clock: Clock, metrics: Metrics
    ) -> None:
        self.session = HttpSession(address, clock, CONNECTION_LIMIT)
        self.entry = entry
        self.metrics = metrics
        self.last_vms: dict[VmId, Vm] = {}
        self.rejected_answers = RejectedAnswers("cloud", clock, metrics)

    async def list_vms(self) -> Result[VmListing, CloudFailure]:
        """Read all pages of the VM listing.

        A listing without an end is refused, since a VM that it does not name counts as
        gone.
        """
        decoder = ListingDecoder()
        tokens: set[str] = set()
        target = "/machines"
        while len(tokens) < MAX_LIST_PAGES:
            result = await self.session.call(
                b"GET", target.encode(), None, CALL_TIMEOUT_SECONDS
            )
            self._count("list", result)
            if result.is_error() or result.ok.status != 200:
                return Error(CloudFailure.REFUSED)
            added = decoder.add_page(result.ok.body)
            if added.is_error():
                return self._reject_listing(added.error)
            if added.ok is None:
                return Ok(self._finish_listing(decoder))
            if added.ok in tokens:
                return self._reject_listing("a page token repeats")
            tokens.add(added.ok)
            target = f"/machines?PageToken={quote(added.ok, safe='')}"
        return self._reject_listing(f"more than {MAX_LIST_PAGES} pages")

    def _reject_listing(self, problem: str) -> Result[VmListing, CloudFailure]:
        self.rejected_answers.reject(Event.PLATFORM_ANSWER_UNREADABLE, "list", problem)
        return Error(CloudFailure.REFUSED)

    def _finish_listing(self, decoder: ListingDecoder) -> VmListing:
        if decoder.problem:
            self.rejected_answers.reject(
                Event.INPUT_PARTLY_REJECTED, "machine", decoder.problem
            )
        self.last_vms = decoder.finish(self.last_vms)
        complete = not decoder.has_nameless_rows
        return VmListing(list(self.last_vms.values()), complete)

    async def move_vm(
        self, vm: VmId, pool: PoolName, token: LeaderToken
    ) -> Result[None, CloudFailure]:
        """Move a VM to a pool; this ends all tasks that run on it."""
        body = {"Machine": vm, "Pool": pool}
        return await self._change("move", b"/machine-move", body, token)

    async def start_maintenance(
        self, vm: VmId, wave: WaveId, token: LeaderToken
    ) -> Result[None, CloudFailure]:
        """Start the maintenance of a VM; this ends all tasks that run on it."""
        body = {"Machine": vm, "Wave": wave}
        return await self._change("upkeep", b"/machine-upkeep", body, token)

    async def _change(
        self, operation: str, target: bytes, body: Any, token: LeaderToken
    ) -> Result[None, CloudFailure]:
        headers = (
            (b"X-Lease-Holder", self.entry.encode()),
            (b"X-Fencing-Token", str(token).encode()),
        )
        result = await self.session.call(
            b"POST", target, msgspec.json.encode(body), CALL_TIMEOUT_SECONDS, headers
        )
        self._count(operation, result)
        if result.is_error():
            written = result.error.any_bytes_written
            return Error(CloudFailure.UNKNOWN if written else CloudFailure.REFUSED)
        match result.ok.status:
            case 200:
                return Ok(None)
            case 409:
                return Error(_conflict_failure(result.ok.body))
            case 400:
                return Error(CloudFailure.INVALID)
            case _:
                return Error(CloudFailure.REFUSED)

    def close(self) -> None:
        """Close all connections."""
        self.session.close()

    def _count(self, operation: str, result: Result[SmallResponse, Any]) -> None:
        label = result.error.kind.value if result.is_error() else str(result.ok.status)
        self.metrics.cloud_calls.labels(operation, label).inc()


def _conflict_failure(body: bytes) -> CloudFailure:
    conflict = try_decode(_decode_conflict, body)
    # If the reason cannot be decoded, the change was refused nevertheless.
    reason = conflict.ok.reason if conflict.is_ok() else ""
    return _FAILURE_BY_REASON.get(reason, CloudFailure.BUSY)


class AdvisorClient:
    """Asks the placement advisor which workers may run a step."""

    def __init__(self, address: str, clock: Clock, metrics: Metrics) -> None:
        self.session = HttpSession(address, clock, CONNECTION_LIMIT)
        self.metrics = metrics
        self.rejected_answers = RejectedAnswers("advisor", clock, metrics)

    async def advise(
        self,
        job: JobId,
        occurrence: int,
        step: int,
        workers: Sequence[WorkerId],
        expected_seconds: float,
    ) -> Result[dict[WorkerId, str], CloudFailure]:
        """Return a ticket for each worker that may run the step.

        ``expected_seconds`` is the time within which the advisor should answer.
        """
        body = {"Step": f"{job}.{occurrence}.{step}", "Workers": list(workers)}
        result = await self.session.call(
            b"POST",
            b"/advise",
            msgspec.json.encode(body),
            expected_seconds + ADVICE_TIMEOUT_MARGIN_SECONDS,
        )
        label = result.error.kind.value if result.is_error() else str(result.ok.status)
        self.metrics.cloud_calls.labels("advise", label).inc()
        if result.is_error() or result.ok.status != 200:
            return Error(CloudFailure.REFUSED)
        advice = try_decode(_decode_advice, result.ok.body)
        if advice.is_error():
            self.rejected_answers.reject(
                Event.PLATFORM_ANSWER_UNREADABLE, "advise", advice.error
            )
            return Error(CloudFailure.REFUSED)
        return Ok(self._read_tickets(advice.ok.good, set(workers)))

    def _read_tickets(
        self, rows: list[Any], asked: Set[WorkerId]
    ) -> dict[WorkerId, str]:
        """Return the tickets of the workers that were asked about.

        A row that cannot be read names no worker, which then gets no task of the step.
        """
        tickets: dict[WorkerId, str] = {}
        for raw in rows:
            row = try_convert(raw, TicketRow)
            if row.is_error():
                self.rejected_answers.reject(
                    Event.INPUT_PARTLY_REJECTED, "advise", row.error
                )
            elif row.ok.worker in asked:
                tickets[WorkerId(row.ok.worker)] = row.ok.ticket
        return tickets

    def close(self) -> None:
        """Close all connections."""
        self.session.close()
