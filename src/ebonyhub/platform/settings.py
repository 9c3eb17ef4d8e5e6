"""The settings file that the platform gives to a process."""

import os
from pathlib import Path
from typing import Any

import yaml
from expression import Error, Ok, Result

from ..ids import DataCentre, EntryId
from ..node_settings import NodeSettings

SETTINGS_PATH_VARIABLE = "EBONYHUB_NODE_FILE"
# Seconds, where the platform names no time for which a state must be known.
DEFAULT_STATUS_RETENTION_SECONDS = 120.0
# Mbit/s, where the platform names no limit of the VM's link.
DEFAULT_LINK_MBPS = 1000.0
DEFAULT_SETTINGS_PATH = "/etc/ebonyhub/settings.yaml"


def settings_path() -> Path:
    """Return the path of the settings file."""
    return Path(os.environ.get(SETTINGS_PATH_VARIABLE, DEFAULT_SETTINGS_PATH))


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
    listen = data["Listen"]
    first_port, last_port = data["InternalPortRange"]
    cloud = data.get("Cloud") or {}
    limits = data["Limits"]
    return NodeSettings(
        entry=EntryId(data["Node"]),
        ip=data["Ip"],
        data_centre=DataCentre(data["Zone"]),
        caller_address=listen["Front"],
        readiness_address=listen["Ready"],
        internal_ports=(int(first_port), int(last_port)),
        store_address=data["platform"]["Address"],
        cloud_address=cloud.get("Address") or "",
        advisor_address=data.get("PlacementAdvisor") or "",
        status_retention_seconds=float(
            data["Bounds"].get("status_s", DEFAULT_STATUS_RETENTION_SECONDS)
        ),
        # The platform's "Cores" is a speed, and "CpuShare" the share of such a core.
        cores=float(limits["CpuShare"]) * float(limits["Cores"]),
        link_mbps=float(limits.get("LinkMbps", DEFAULT_LINK_MBPS)),
    )
