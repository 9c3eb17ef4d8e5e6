"""The settings file that the platform gives to a process."""

import os
from pathlib import Path
from typing import Any

import yaml
from expression import Error, Ok, Result

from ..ids import DataCentre, EntryId
from ..node_settings import Bounds, NodeSettings

SETTINGS_VARIABLE = "EBONYHUB_NODE_FILE"
DEFAULT_PATH = "/etc/ebonyhub/settings.yaml"


def settings_path() -> Path:
    """Return the path of the settings file."""
    return Path(os.environ.get(SETTINGS_VARIABLE, DEFAULT_PATH))


def load_node_settings(path: Path) -> Result[NodeSettings, str]:
    """Read the file; the error is a line for the operator.

    Unknown fields are ignored, since the platform may add some.
    """
    try:
        data = yaml.load(path.read_text(), Loader=yaml.CSafeLoader)
        return Ok(decode_node_settings(data))
    except OSError as error:
        return Error(f"{path}: cannot be read: {error.strerror}")
    except yaml.YAMLError as error:
        return Error(f"{path}: not valid YAML: {error}")
    except (KeyError, TypeError, ValueError) as error:
        return Error(f"{path}: missing or wrong field: {error!r}")


def decode_node_settings(data: dict[str, Any]) -> NodeSettings:
    """Translate the fields of the file; raises KeyError, TypeError or ValueError."""
    limits = data["Limits"]
    listen = data["Listen"]
    first_port, last_port = data["InternalPortRange"]
    cloud = data.get("Cloud") or {}
    return NodeSettings(
        entry=EntryId(data["Node"]),
        ip=data["Ip"],
        data_centre=DataCentre(data["Zone"]),
        caller_address=listen["Front"],
        ready_address=listen["Ready"],
        internal_ports=(int(first_port), int(last_port)),
        store_address=data["platform"]["Address"],
        cloud_address=cloud.get("Address") or "",
        advisor_address=data.get("PlacementAdvisor") or "",
        fenced_cloud=bool(data["Bounds"].get("RequireFencing", True)),
        memory_megabytes=int(limits["MemoryMb"]),
        cpu_cores=float(limits["CpuShare"]) * float(limits["Cores"]),
        bounds=decode_bounds(data["Bounds"]),
    )


def decode_bounds(data: dict[str, Any]) -> Bounds:
    """Translate the limits; names that end in Ms hold milliseconds."""
    return Bounds(
        max_hold=data.get("MaxHoldMs", 10_000) / 1000,
        stop_timeout=data.get("StopTimeoutMs", 400) / 1000,
        gang_timeout=data.get("GangTimeoutMs", 3000) / 1000,
        status_retention=float(data.get("status_s", 120)),
        early_start=data.get("early_ms", 250) / 1000,
        shutdown_grace=float(data.get("GraceS", 6)),
        duty_lease=data.get("LeaseMs", 3000) / 1000,
        unavailable_after=data.get("NoticeMs", 4500) / 1000,
        move_duration=float(data.get("MigrationS", 1.5)),
        upkeep_duration=float(data.get("MaintenanceS", 2)),
        harm_limit=data.get("HarmMs", 4000) / 1000,
        remote_penalty=float(data.get("RemotePenalty", 1)),
    )
