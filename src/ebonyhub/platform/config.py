"""Formats of the store documents that operators and workers write."""

import re
from enum import Enum
from typing import Annotated

import msgspec
from expression import Error, Ok, Result

from ..configuration import (
    Configuration,
    ConfigurationLimits,
    Queue,
    Service,
    Workspace,
    build_configuration,
)
from ..decoding import MAX_INTEGER, Count, Name, parse_address, try_decode
from ..fleet.model import Wave
from ..ids import (
    QueueName,
    RackId,
    ServiceName,
    VmId,
    WaveId,
    WorkerId,
    WorkspaceName,
)
from ..jobs.model import AdvisorPolicy, Resources
from ..scheduling.model import WorkerEntry
from .tenants import decode_workspaces

CONFIG_KEY = "op/config"
OPERATOR_PREFIX = "op/"
WAVE_PREFIX = "op/wave/"
WAVE_STATUS_PREFIX = "status/wave/"
WORKER_PREFIX = "servers/"


# The id goes into a header of each call to the worker.
_WORKER_ID = re.compile(r"[!-.0-~]{1,128}")
_WAVE_NUMBER = re.compile(r"0|[1-9][0-9]{0,15}")

# Sums and differences of amounts must fit into the 64 bits of msgpack. JSON writers
# may send whole numbers as 8000.0.
Amount = Annotated[float, msgspec.Meta(ge=0, le=1e12)]
SignedAmount = Annotated[float, msgspec.Meta(ge=-1e12, le=1e12)]
Ratio = Annotated[float, msgspec.Meta(ge=0, le=1e6)]
Attempts = Annotated[int, msgspec.Meta(ge=0, le=1_000_000)]
Priority = Annotated[int, msgspec.Meta(ge=-1_000_000, le=1_000_000)]
Host = Annotated[str, msgspec.Meta(max_length=1024)]
PathPrefix = Annotated[str, msgspec.Meta(max_length=4096)]


class AdvisorRow(msgspec.Struct, rename="pascal"):
    """Limits of the placement advisor of a route."""

    decision_ms: Amount = 0
    per_item_ms: Amount = 0
    validity_ms: Amount = 0


class RouteRow(msgspec.Struct, rename="pascal"):
    """A route, which is a queue."""

    name: Name
    host: Host
    path_prefix: PathPrefix
    service: Name
    priority: Priority = 0
    max_attempts: Attempts = 1
    stretch: Ratio = 1.0
    target_latency_ms: Amount = 0
    timeout_ms: Amount = 3000
    placement_advisor: AdvisorRow | None = None
    allow_anonymous: bool | None = False


class ServiceRow(msgspec.Struct, rename="pascal"):
    """A service and its pool of machines."""

    name: Name
    standby: bool | None = False
    rejects_overload: bool | None = False
    max_connections: Count = 64


class LimitsRow(msgspec.Struct, rename="pascal"):
    """Limits on the requests of callers."""

    max_body_bytes: Count = 262_144
    idle_timeout_ms: Amount = 15_000


class ConfigurationRow(msgspec.Struct, rename="pascal"):
    """The configuration; its rows are decoded one by one."""

    version: Count
    routes: list[msgspec.Raw]
    services: list[msgspec.Raw]
    limits: LimitsRow | None = None
    tenants: list[msgspec.Raw] | None = None


class WaveRow(msgspec.Struct, rename="pascal"):
    """A wave of maintenance."""

    wave: Count
    machines: Annotated[list[Name], msgspec.Meta(max_length=20_000)]
    duration_s: Annotated[float, msgspec.Meta(ge=0, le=1e9)]
    # A wave with a lower limit could never complete.
    maximum: Annotated[int, msgspec.Meta(ge=1, le=MAX_INTEGER)]


class WorkerState(Enum):
    """State that a worker reports."""

    READY = "ready"
    DRAINING = "draining"


class CapacityRow(msgspec.Struct, rename="pascal"):
    """What a worker can run at the same time."""

    cpu: Amount = 0
    mem_mb: Amount = 0
    gpu: Amount = 0


class WorkerRow(msgspec.Struct, rename="pascal"):
    """A worker's entry, with the fields that are not used but make it invalid."""

    service: Annotated[str, msgspec.Meta(min_length=1, max_length=256)]
    address: Name
    zone: Name
    state: WorkerState
    capacity: CapacityRow | None = None
    labels: Annotated[tuple[Name, ...], msgspec.Meta(max_length=64)] | None = None
    machine: Name | None = None
    # Minimum time until the worker stops; only sent while it drains.
    remaining_ms: SignedAmount | None = None
    born: Annotated[float, msgspec.Meta(ge=0, le=MAX_INTEGER)] = msgspec.field(
        name="born", default=0
    )
    version: Name | None = None
    slots: Amount | None = None
    cold_remaining_ms: Amount | None = None
    sequence: Amount | None = None
    clock_ms: Amount | None = None


_decode_configuration_row = msgspec.json.Decoder(ConfigurationRow).decode
_decode_route_row = msgspec.json.Decoder(RouteRow).decode
_decode_service_row = msgspec.json.Decoder(ServiceRow).decode
_decode_wave_row = msgspec.json.Decoder(WaveRow).decode
_decode_worker_row = msgspec.json.Decoder(WorkerRow).decode


def decode_configuration_row(value: bytes) -> Result[ConfigurationRow, str]:
    """Decode a configuration except for its rows; the error is a text for the log."""
    return try_decode(_decode_configuration_row, value)


def decode_queue(raw: msgspec.Raw) -> Result[Queue, str]:
    """Decode one route; the error is a text for the log."""
    return try_decode(_decode_route_row, bytes(raw)).map(_queue)


def decode_service(raw: msgspec.Raw) -> Result[Service, str]:
    """Decode one service; the error is a text for the log."""
    return try_decode(_decode_service_row, bytes(raw)).map(_service)


def decode_configuration(
    value: bytes, has_workspaces: bool = False, digested: bool = False
) -> Result[Configuration, str]:
    """Decode the operators' configuration; the error is a text for the log.

    A queue, service or workspace that cannot be decoded is left out and named in
    ``rejected_rows``, unless none is left. Without ``has_workspaces``, callers need no
    API keys, and the workspaces are ignored. ``digested`` documents come from
    ``digest_keys``.
    """
    decoded = decode_configuration_row(value)
    if decoded.is_error():
        return Error(decoded.error)
    row = decoded.ok
    rejected: list[str] = []
    queues: dict[QueueName, Queue] = {}
    services: dict[ServiceName, Service] = {}
    for raw in row.routes:
        queue = decode_queue(raw)
        if queue.is_error():
            rejected.append(queue.error)
            continue
        queues[queue.ok.name] = queue.ok
    for raw in row.services:
        service = decode_service(raw)
        if service.is_error():
            rejected.append(service.error)
            continue
        services[service.ok.name] = service.ok
    if (row.routes and not queues) or (row.services and not services):
        return Error(f"no readable queue or service: {rejected[0]}")
    workspaces: dict[WorkspaceName, Workspace] = {}
    if has_workspaces:
        workspaces, rejected_workspaces = decode_workspaces(row.tenants or (), digested)
        rejected += rejected_workspaces
        if not workspaces:
            # Applied, it would lock all callers out or let all in.
            return Error("no readable workspace")
    limits = row.limits or LimitsRow()
    return Ok(
        build_configuration(
            row.version,
            queues,
            services,
            ConfigurationLimits(limits.max_body_bytes, limits.idle_timeout_ms / 1000),
            tuple(rejected),
            workspaces,
        )
    )


def _queue(row: RouteRow) -> Queue:
    advisor = row.placement_advisor
    return Queue(
        name=QueueName(row.name),
        host=row.host,
        prefix=row.path_prefix,
        service=ServiceName(row.service),
        priority=row.priority,
        max_attempts=row.max_attempts,
        stretch=row.stretch,
        target_seconds=row.target_latency_ms / 1000,
        timeout_seconds=row.timeout_ms / 1000,
        # An empty object stands for a queue without an advisor.
        advisor=_advisor_policy(advisor)
        if advisor not in (None, AdvisorRow())
        else None,
        allows_anonymous=bool(row.allow_anonymous),
    )


def _advisor_policy(row: AdvisorRow) -> AdvisorPolicy:
    return AdvisorPolicy(
        decision_seconds=row.decision_ms / 1000,
        seconds_per_worker=row.per_item_ms / 1000,
        validity_seconds=row.validity_ms / 1000,
    )


def _service(row: ServiceRow) -> Service:
    return Service(
        name=ServiceName(row.name),
        standby=bool(row.standby),
        rejects_overload=bool(row.rejects_overload),
        connection_limit=row.max_connections,
    )


def decode_wave(value: bytes, key: str | None = None) -> Result[Wave, str]:
    """Decode an operator's maintenance wave; the error is a text for the log.

    With a ``key``, the number in it must be that of the wave.
    """
    decoded = try_decode(_decode_wave_row, value)
    if decoded.is_error():
        return Error(decoded.error)
    row = decoded.ok
    if key is not None and wave_number(key, WAVE_PREFIX) != row.wave:
        return Error(f"wave {row.wave} under the key of another one")
    return Ok(
        Wave(
            wave_id=WaveId(row.wave),
            vms=tuple(VmId(name) for name in dict.fromkeys(row.machines)),
            duration_seconds=row.duration_s,
            max_down=row.maximum,
        )
    )


def wave_number(key: str, prefix: str) -> WaveId | None:
    """Return the wave's number at the end of a key, None if there is none."""
    text = key.removeprefix(prefix)
    return WaveId(int(text)) if _WAVE_NUMBER.fullmatch(text) else None


def encode_wave_status(wave: WaveId, completed: bool) -> tuple[str, bytes]:
    """Return the key and value of the wave status that operators read."""
    state = "completed" if completed else "running"
    return f"{WAVE_STATUS_PREFIX}{wave}", msgspec.json.encode({"State": state})


def decode_worker(key: str, value: bytes) -> Result[WorkerEntry, str]:
    """Decode the store entry in which a worker registers itself.

    Other programs also write below this prefix, with missing or wrong fields; such an
    entry is an error and not a worker.
    """
    worker = key.removeprefix(WORKER_PREFIX)
    if not key.startswith(WORKER_PREFIX) or not _WORKER_ID.fullmatch(worker):
        return Error("the key names no worker")
    decoded = try_decode(_decode_worker_row, value)
    if decoded.is_error():
        return Error(decoded.error)
    row = decoded.ok
    address = parse_address(row.address)
    if address.is_error():
        return Error(address.error)
    labels = row.labels or ()
    capacity = row.capacity or CapacityRow()
    return Ok(
        WorkerEntry(
            worker=WorkerId(worker),
            service=ServiceName(row.service),
            address=row.address,
            zone=row.zone,
            labels=labels,
            rack=RackId(_rack(labels)),
            capacity=Resources(
                int(capacity.cpu), int(capacity.mem_mb), int(capacity.gpu)
            ),
            draining=row.state is WorkerState.DRAINING,
            leaves_in=_leaves_in(row.remaining_ms),
            born_ms=int(row.born),
            vm=VmId(row.machine or ""),
        )
    )


def _leaves_in(remaining_ms: float | None) -> float | None:
    """Return the seconds left; a worker may go on after its time is over."""
    return None if remaining_ms is None else max(0.0, remaining_ms / 1000)


def _rack(labels: tuple[str, ...]) -> str:
    """Return the rack, the second label; the first one is the kind of the VM."""
    return labels[1] if len(labels) > 1 else ""
