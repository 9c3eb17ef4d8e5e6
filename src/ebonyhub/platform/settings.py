"""The settings file that the platform provides to an entry process."""

import os
from math import inf
from pathlib import Path
from typing import Any

import yaml
from expression import Error, Ok, Result

from ..ids import DataCentre, EntryId
from ..node_settings import NodeSettings

SETTINGS_PATH_VARIABLE = "EBONYHUB_NODE_FILE"
# How long the state of an ended job stays readable if the file sets no time.
DEFAULT_STATUS_RETENTION_SECONDS = 120.0
# Used if the file sets no bandwidth limit for the VM's link.
DEFAULT_LINK_MBPS = 1000.0
DEFAULT_SETTINGS_PATH = "/etc/ebonyhub/settings.yaml"


def settings_path() -> Path:
    """Return the path from EBONYHUB_NODE_FILE, or the default path."""
    return Path(os.environ.get(SETTINGS_PATH_VARIABLE, DEFAULT_SETTINGS_PATH))


def load_node_settings(path: Path) -> Result[NodeSettings, str]:
    """Read the settings file; the error is a message for the operator.

    Unknown fields are ignored, because the platform may add some.
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
    """Convert the parsed file; raises KeyError, TypeError or ValueError."""
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
        contact_seconds=_seconds(data["Bounds"].get("ContactMs")),
        heartbeat_seconds=_seconds(data.get("HeartbeatMs")),
        # In the file, "Cores" is the speed of a core and "CpuShare" the share of one.
        cores=float(limits["CpuShare"]) * float(limits["Cores"]),
        link_mbps=float(limits.get("LinkMbps", DEFAULT_LINK_MBPS)),
    )


def _seconds(milliseconds: float | None) -> float:
    """Convert a time limit; infinity if the file sets none."""
    return inf if milliseconds is None else milliseconds / 1000
