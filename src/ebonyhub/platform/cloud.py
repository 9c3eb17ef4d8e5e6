"""HTTP clients of the cloud API, which owns the VMs, and of the placement advisor."""

from collections.abc import Sequence
from enum import Enum
from typing import Any

import msgspec
from expression import Error, Ok, Result

from ..clock import Clock
from ..events import Event, log_event
from ..fleet.model import Vm, VmState
from ..http_client import SmallResponse
from ..http_session import HttpSession
from ..ids import EntryId, JobId, LeaderToken, PoolName, RackId, VmId, WaveId, WorkerId
from ..jobs.model import Resources
from ..metrics import Metrics

# Allows for a cloud API that answers 50 times slower than usual.
CALL_TIMEOUT_SECONDS = 1.5
CONNECTION_LIMIT = 4
# Added to the answer time that the advisor's policy promises.
ADVICE_TIMEOUT_MARGIN_SECONDS = 1.0


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


class CapacityRow(msgspec.Struct):
    """Capacity of a VM; ``cpu`` in thousandths of a core, ``memory`` in MB."""

    cpu: int = msgspec.field(name="Cpu", default=0)
    memory: int = msgspec.field(name="MemMb", default=0)
    gpu: int = msgspec.field(name="Gpu", default=0)


class MachineRow(msgspec.Struct):
    """A VM in the listing; ``worker`` is the id of its current worker process."""

    machine: str = msgspec.field(name="Machine")
    pool: str = msgspec.field(name="Pool")
    state: VmState = msgspec.field(name="State")
    zone: str | None = msgspec.field(name="Zone", default=None)
    labels: list[str] | None = msgspec.field(name="Labels", default=None)
    capacity: CapacityRow | None = msgspec.field(name="Capacity", default=None)
    worker: str | None = msgspec.field(name="Id", default=None)


class MachinePage(msgspec.Struct):
    """One page of the VM listing; rows are decoded one by one."""

    machines: list[msgspec.Raw] = msgspec.field(name="Machines")
    next_token: str | int | None = msgspec.field(name="NextPageToken", default=None)


class ConflictAnswer(msgspec.Struct):
    """Body of a 409 answer to a change of a VM."""

    reason: str = msgspec.field(name="Reason", default="")


class Advice(msgspec.Struct):
    """Pairs of a worker that may run the step and the ticket to present to it."""

    good: list[tuple[str, str]] = msgspec.field(name="Good", default_factory=list)


_decode_page = msgspec.json.Decoder(MachinePage).decode
_decode_machine = msgspec.json.Decoder(MachineRow).decode


class CloudClient:
    """Lists the VMs and requests moves and maintenance."""

    def __init__(
        self, address: str, entry: EntryId, clock: Clock, metrics: Metrics
    ) -> None:
        self.session = HttpSession(address, clock, CONNECTION_LIMIT)
        self.entry = entry
        self.metrics = metrics

    async def list_vms(self) -> Result[list[Vm], CloudFailure]:
        """Read all pages of the VM listing; malformed rows are left out."""
        vms: list[Vm] = []
        target = "/machines"
        while True:
            result = await self.session.call(
                b"GET", target.encode(), None, CALL_TIMEOUT_SECONDS
            )
            if result.is_error() or result.ok.status != 200:
                self._count("list", result)
                return Error(CloudFailure.REFUSED)
            self._count("list", result)
            try:
                page = _decode_page(result.ok.body)
            except msgspec.MsgspecError as error:
                log_event(
                    Event.PLATFORM_ANSWER_UNREADABLE, call="list", error=repr(error)
                )
                return Error(CloudFailure.REFUSED)
            vms += [vm for row in page.machines if (vm := _decode_vm(row)) is not None]
            if page.next_token is None:
                return Ok(vms)
            target = f"/machines?PageToken={page.next_token}"

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

    def _count(self, operation: str, result: Result[SmallResponse, Any]) -> None:
        label = result.error.kind.value if result.is_error() else str(result.ok.status)
        self.metrics.cloud_calls.labels(operation, label).inc()


def _conflict_failure(body: bytes) -> CloudFailure:
    try:
        reason = msgspec.json.decode(body, type=ConflictAnswer).reason
    except msgspec.MsgspecError:
        # The change was refused, but the reason cannot be decoded.
        return CloudFailure.BUSY
    return _FAILURE_BY_REASON.get(reason, CloudFailure.BUSY)


def _decode_vm(raw: msgspec.Raw) -> Vm | None:
    """Decode a VM; None if it is malformed or in an unknown state."""
    try:
        row = _decode_machine(raw)
    except msgspec.MsgspecError as error:
        log_event(Event.PLATFORM_ANSWER_UNREADABLE, call="machine", error=repr(error))
        return None
    labels = row.labels or []
    capacity = row.capacity or CapacityRow()
    return Vm(
        vm_id=VmId(row.machine),
        pool=PoolName(row.pool),
        state=row.state,
        zone=row.zone or "",
        # Labels are the kind of the VM and its rack, in this order.
        rack=RackId(labels[1] if len(labels) > 1 else ""),
        capacity=Resources(capacity.cpu, capacity.memory, capacity.gpu),
        worker=WorkerId(row.worker or ""),
    )


class AdvisorClient:
    """Asks the placement advisor which workers may run a step."""

    def __init__(self, address: str, clock: Clock, metrics: Metrics) -> None:
        self.session = HttpSession(address, clock, CONNECTION_LIMIT)
        self.metrics = metrics

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
        try:
            rows = msgspec.json.decode(result.ok.body, type=Advice).good
        except msgspec.MsgspecError as error:
            log_event(
                Event.PLATFORM_ANSWER_UNREADABLE, call="advise", error=repr(error)
            )
            return Error(CloudFailure.REFUSED)
        return Ok({WorkerId(worker): ticket for worker, ticket in rows})
