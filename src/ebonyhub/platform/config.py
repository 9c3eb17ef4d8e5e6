"""Formats of the store documents that operators and workers write."""

from typing import Any

import msgspec
from expression import Error, Ok, Result

from ..configuration import (
    AdvisorPolicy,
    Configuration,
    ConfigurationLimits,
    Queue,
    Service,
    build_configuration,
)
from ..fleet.model import Wave
from ..ids import QueueName, RackId, ServiceName, VmId, WaveId, WorkerId
from ..jobs.model import Resources
from ..scheduling.model import WorkerEntry

CONFIG_KEY = "op/config"
OPERATOR_PREFIX = "op/"
WAVE_PREFIX = "op/wave/"
WAVE_STATUS_PREFIX = "status/wave/"
WORKER_PREFIX = "servers/"


def decode_configuration(value: bytes) -> Result[Configuration, str]:
    """Decode the operators' configuration; the error is a text for the log."""
    try:
        data = msgspec.json.decode(value)
        queues = {row["Name"]: _decode_queue(row) for row in data["Routes"]}
        services = {row["Name"]: _decode_service(row) for row in data["Services"]}
        limits = data.get("Limits") or {}
        return Ok(
            build_configuration(
                int(data["Version"]),
                queues,
                services,
                ConfigurationLimits(
                    body_bytes=limits.get("MaxBodyBytes", 262_144),
                    idle_timeout_seconds=limits.get("IdleTimeoutMs", 15_000) / 1000,
                ),
            )
        )
    except (msgspec.DecodeError, KeyError, TypeError, ValueError) as error:
        return Error(repr(error))
    except AttributeError:
        return Error("a queue or service is not an object")


def _decode_queue(row: dict[str, Any]) -> Queue:
    advisor = row.get("PlacementAdvisor")
    return Queue(
        name=QueueName(row["Name"]),
        host=row["Host"],
        prefix=row["PathPrefix"],
        service=ServiceName(row["Service"]),
        priority=row.get("Priority", 0),
        max_attempts=row.get("MaxAttempts", 1),
        stretch=row.get("Stretch", 1.0),
        target_seconds=row.get("TargetLatencyMs", 0) / 1000,
        timeout_seconds=row.get("TimeoutMs", 3000) / 1000,
        advisor=_decode_advisor_policy(advisor) if advisor else None,
    )


def _decode_advisor_policy(row: dict[str, Any]) -> AdvisorPolicy:
    return AdvisorPolicy(
        decision_seconds=row.get("DecisionMs", 0) / 1000,
        seconds_per_worker=row.get("PerItemMs", 0) / 1000,
        validity_seconds=row.get("ValidityMs", 0) / 1000,
    )


def _decode_service(row: dict[str, Any]) -> Service:
    return Service(
        name=ServiceName(row["Name"]),
        standby=bool(row.get("Standby", False)),
        rejects_overload=bool(row.get("RejectsOverload", False)),
        connection_limit=row.get("MaxConnections", 64),
    )


def decode_wave(value: bytes) -> Result[Wave, str]:
    """Decode an operator's maintenance wave; the error is a text for the log."""
    try:
        data = msgspec.json.decode(value)
        return Ok(
            Wave(
                wave_id=WaveId(int(data["Wave"])),
                vms=tuple(VmId(name) for name in data["Machines"]),
                duration_seconds=float(data["DurationS"]),
                max_down=int(data["Maximum"]),
            )
        )
    except (msgspec.DecodeError, KeyError, TypeError, ValueError) as error:
        return Error(repr(error))


def encode_wave_status(wave: WaveId, completed: bool) -> tuple[str, bytes]:
    """Return the key and value of the wave status that operators read."""
    state = "completed" if completed else "running"
    return f"{WAVE_STATUS_PREFIX}{wave}", msgspec.json.encode({"State": state})


def decode_worker(key: str, value: bytes) -> Result[WorkerEntry, str]:
    """Decode the store entry in which a worker registers itself.

    Other programs also write below this prefix, with missing or wrong fields; such an
    entry is an error and not a worker.
    """
    try:
        data = msgspec.json.decode(value)
        capacity = data.get("Capacity") or {}
        labels = tuple(str(label) for label in data.get("Labels") or ())
        state = data["State"]
        address = data["Address"]
        _, _, port = address.rpartition(":")
        if state not in ("ready", "draining") or not port.isdigit():
            return Error(f"invalid state {state!r} or address {address!r}")
        return Ok(
            WorkerEntry(
                worker=WorkerId(key.removeprefix(WORKER_PREFIX)),
                service=ServiceName(data["Service"]),
                address=address,
                zone=data["Zone"],
                labels=labels,
                rack=RackId(_rack(labels)),
                capacity=Resources(
                    int(capacity.get("Cpu", 0)),
                    int(capacity.get("MemMb", 0)),
                    int(capacity.get("Gpu", 0)),
                ),
                draining=state == "draining",
                # Minimum time until the worker stops; only sent while it drains.
                leaves_in=data["RemainingMs"] / 1000
                if data.get("RemainingMs") is not None
                else None,
                born_ms=int(data.get("born", 0)),
                vm=VmId(data.get("Machine") or ""),
            )
        )
    except (msgspec.DecodeError, KeyError, TypeError, ValueError, AttributeError) as e:
        return Error(repr(e))


def _rack(labels: tuple[str, ...]) -> str:
    """Return the rack, the second label; the first one is the kind of the VM."""
    return labels[1] if len(labels) > 1 else ""
