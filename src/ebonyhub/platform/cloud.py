"""The cloud that owns the VMs, and the advisor of placements."""

from collections.abc import Sequence
from enum import Enum
from typing import Any

import msgspec
from expression import Error, Ok, Result

from ..clock import Clock
from ..fleet.model import Vm, VmState
from ..http_client import SmallResponse
from ..http_session import HttpSession
from ..ids import EntryId, JobId, LeaderToken, PoolName, RackId, VmId, WaveId, WorkerId
from ..jobs.model import Resources
from ..metrics import Metrics

# Seconds. The cloud may be slow by a factor of 50.
CALL_TIMEOUT_SECONDS = 1.5
CONNECTION_LIMIT = 4
# Beyond the answer time that the advisor's policy states, in seconds.
ADVICE_MARGIN_SECONDS = 1.0


class CloudFailure(Enum):
    """Why a call to the cloud did not succeed."""

    FENCED = "fenced"
    # The VM is not up, or it is leaving.
    BUSY = "busy"
    # The VM does not belong to the wave.
    NOT_IN_WAVE = "not_in_wave"
    INVALID = "invalid"
    # Nothing was done.
    REFUSED = "refused"
    # May be carried out, now or later.
    UNKNOWN = "unknown"


_REASONS = {
    "fence": CloudFailure.FENCED,
    "busy": CloudFailure.BUSY,
    "wave": CloudFailure.NOT_IN_WAVE,
}


class CloudClient:
    """Reads the list of VMs and orders moves and upkeep."""

    def __init__(
        self, address: str, entry: EntryId, clock: Clock, metrics: Metrics
    ) -> None:
        self.session = HttpSession(address, clock, CONNECTION_LIMIT)
        self.entry = entry
        self.metrics = metrics

    async def list_vms(self) -> Result[list[Vm], CloudFailure]:
        """Read the list of all VMs."""
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
            page = msgspec.json.decode(result.ok.body)
            vms += [_vm(row) for row in page["Machines"]]
            token = page.get("NextPageToken")
            if token is None:
                return Ok(vms)
            target = f"/machines?PageToken={token}"

    async def move(
        self, vm: VmId, pool: PoolName, token: LeaderToken
    ) -> Result[None, CloudFailure]:
        """Move a VM to a pool; ends everything that runs on it."""
        body = {"Machine": vm, "Pool": pool}
        return await self._change("move", b"/machine-move", body, token)

    async def start_upkeep(
        self, vm: VmId, wave: WaveId, token: LeaderToken
    ) -> Result[None, CloudFailure]:
        """Begin the upkeep of a VM; ends everything that runs on it."""
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
            written = result.error.bytes_written
            return Error(CloudFailure.UNKNOWN if written else CloudFailure.REFUSED)
        match result.ok.status:
            case 200:
                return Ok(None)
            case 409:
                reason = msgspec.json.decode(result.ok.body).get("Reason")
                return Error(_REASONS.get(reason, CloudFailure.BUSY))
            case 400:
                return Error(CloudFailure.INVALID)
            case _:
                return Error(CloudFailure.REFUSED)

    def _count(self, operation: str, result: Result[SmallResponse, Any]) -> None:
        label = result.error.kind.value if result.is_error() else str(result.ok.status)
        self.metrics.cloud_calls.labels(operation, label).inc()


def _vm(row: dict[str, Any]) -> Vm:
    labels = row.get("Labels") or []
    capacity = row.get("Capacity") or {}
    return Vm(
        vm=VmId(row["Machine"]),
        pool=PoolName(row["Pool"]),
        state=VmState(row["State"]),
        zone=row.get("Zone") or "",
        rack=RackId(labels[1] if len(labels) > 1 else ""),
        capacity=Resources(
            capacity.get("Cpu", 0), capacity.get("MemMb", 0), capacity.get("Gpu", 0)
        ),
        worker=WorkerId(row.get("Id") or ""),
    )


class AdvisorClient:
    """Asks which workers may run a step."""

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
        """Return the ticket of each worker that may run the step."""
        body = {"Step": f"{job}.{occurrence}.{step}", "Workers": list(workers)}
        result = await self.session.call(
            b"POST",
            b"/advise",
            msgspec.json.encode(body),
            expected_seconds + ADVICE_MARGIN_SECONDS,
        )
        label = result.error.kind.value if result.is_error() else str(result.ok.status)
        self.metrics.cloud_calls.labels("advise", label).inc()
        if result.is_error() or result.ok.status != 200:
            return Error(CloudFailure.REFUSED)
        rows = msgspec.json.decode(result.ok.body)["Good"]
        return Ok({WorkerId(worker): ticket for worker, ticket in rows})
