"""The settings file that the platform provides to an entry process."""

import os
from math import inf
from pathlib import Path
from typing import Annotated, Any

import msgspec
import yaml
from expression import Error, Ok, Result

from ..decoding import DECODE_ERRORS
from ..http_session import split_address
from ..ids import DataCentre, EntryId
from ..node_settings import (
    DEFAULT_MAX_LEASE_SECONDS,
    DEFAULT_RATE_WINDOW_SECONDS,
    NodeSettings,
)

SETTINGS_PATH_VARIABLE = "EBONYHUB_NODE_FILE"
# How long the state of an ended job stays readable if the file sets no time.
DEFAULT_STATUS_RETENTION_SECONDS = 120.0
# Used if the file sets no bandwidth limit for the VM's link.
DEFAULT_LINK_MBPS = 1000.0
MAX_ERROR_LENGTH = 300
# Words in the file's list of contracts that switch on parts of the product.
WORKSPACES_CONTRACT = "tenants"
LIMITS_CONTRACT = "quota"
SHEDDING_CONTRACT = "pressure"

Port = Annotated[int, msgspec.Meta(ge=1, le=65535)]
Address = Annotated[str, msgspec.Meta(max_length=262)]
RequiredName = Annotated[str, msgspec.Meta(min_length=1, max_length=256)]
# Excludes NaN and infinity, which YAML has.
Positive = Annotated[float, msgspec.Meta(ge=0, le=1e12)]

DEFAULT_SETTINGS_PATH = "/etc/ebonyhub/settings.yaml"


def settings_path() -> Path:
    """Return the path from EBONYHUB_NODE_FILE, or the default path."""
    return Path(os.environ.get(SETTINGS_PATH_VARIABLE, DEFAULT_SETTINGS_PATH))


class ListenRow(msgspec.Struct):
    """Addresses on which the process listens."""

    front: Address = msgspec.field(name="Front")
    ready: Address = msgspec.field(name="Ready")


class StoreRow(msgspec.Struct):
    """The platform's store."""

    address: Address = msgspec.field(name="Address")


class CloudRow(msgspec.Struct):
    """The cloud API; its address may be absent."""

    address: Address | None = msgspec.field(name="Address", default=None)


class BoundsRow(msgspec.Struct):
    """Time limits of the platform's rules."""

    status_s: Positive = DEFAULT_STATUS_RETENTION_SECONDS
    contact_ms: Positive | None = msgspec.field(name="ContactMs", default=None)
    max_hold_ms: Positive | None = msgspec.field(name="MaxHoldMs", default=None)
    strict_revocation: bool = msgspec.field(name="StrictRevocation", default=False)
    revoke_ms: Positive | None = msgspec.field(name="RevokeMs", default=None)
    rate_window_s: Annotated[float, msgspec.Meta(gt=0, le=1e6)] = msgspec.field(
        name="QuotaWindowS", default=DEFAULT_RATE_WINDOW_SECONDS
    )


class LimitsRow(msgspec.Struct):
    """Limits of the machine; ``cores`` is the speed of a core."""

    cpu_share: Positive = msgspec.field(name="CpuShare")
    cores: Positive = msgspec.field(name="Cores")
    link_mbps: Positive = msgspec.field(name="LinkMbps", default=DEFAULT_LINK_MBPS)


class SettingsFile(msgspec.Struct):
    """The fields of the settings file that are used; others are ignored."""

    entry: RequiredName = msgspec.field(name="Node")
    ip: RequiredName = msgspec.field(name="Ip")
    zone: RequiredName = msgspec.field(name="Zone")
    listen: ListenRow = msgspec.field(name="Listen")
    internal_ports: tuple[Port, Port] = msgspec.field(name="InternalPortRange")
    limits: LimitsRow = msgspec.field(name="Limits")
    store: StoreRow = msgspec.field(name="platform")
    bounds: BoundsRow = msgspec.field(name="Bounds", default_factory=BoundsRow)
    cloud: CloudRow | None = msgspec.field(name="Cloud", default=None)
    advisor: Address | None = msgspec.field(name="PlacementAdvisor", default=None)
    heartbeat_ms: Positive | None = msgspec.field(name="HeartbeatMs", default=None)
    contracts: tuple[str, ...] = msgspec.field(name="Contracts", default=())


def load_node_settings(path: Path) -> Result[NodeSettings, str]:
    """Read the settings file; the error is one line for the operator.

    Unknown fields are ignored, because the platform may add some.
    """
    try:
        data = yaml.load(path.read_text(), Loader=yaml.CSafeLoader)
        return decode_node_settings(data).map_error(lambda error: f"{path}: {error}")
    except OSError as error:
        return Error(f"{path}: cannot be read: {error.strerror}")
    except yaml.YAMLError as error:
        return Error(f"{path}: not valid YAML: {one_line(error)}")
    except DECODE_ERRORS as error:
        return Error(f"{path}: cannot be decoded: {one_line(error)}")


def one_line(error: Exception) -> str:
    """Return the text of an error in one line of limited length."""
    return " ".join(str(error).split())[:MAX_ERROR_LENGTH]


def decode_node_settings(data: Any) -> Result[NodeSettings, str]:
    """Convert the parsed file; the error names the field that is missing or wrong."""
    try:
        file = msgspec.convert(_without_empty(data), SettingsFile, strict=False)
    except DECODE_ERRORS as error:
        return Error(f"missing or wrong field: {one_line(error)}")
    addresses = [file.listen.front, file.listen.ready, file.store.address]
    addresses += [file.advisor or "", (file.cloud and file.cloud.address) or ""]
    for address in addresses:
        if address and split_address(address) is None:
            return Error(f"not an address: {address[:MAX_ERROR_LENGTH]!r}")
    return Ok(_build_settings(file))


def _without_empty(data: Any) -> Any:
    """Return the fields that have a value; the platform may leave others empty."""
    if not isinstance(data, dict):
        return data
    return {
        key: _without_empty(value)
        for key, value in data.items()
        if value not in (None, "", [], {}) and value is not False
    }


def _build_settings(file: SettingsFile) -> NodeSettings:
    return NodeSettings(
        entry=EntryId(file.entry),
        ip=file.ip,
        data_centre=DataCentre(file.zone),
        caller_address=file.listen.front,
        readiness_address=file.listen.ready,
        internal_ports=file.internal_ports,
        store_address=file.store.address,
        cloud_address=(file.cloud and file.cloud.address) or "",
        advisor_address=file.advisor or "",
        status_retention_seconds=file.bounds.status_s,
        contact_seconds=_seconds(file.bounds.contact_ms),
        max_lease_seconds=(
            DEFAULT_MAX_LEASE_SECONDS
            if file.bounds.max_hold_ms is None
            else file.bounds.max_hold_ms / 1000
        ),
        heartbeat_seconds=_seconds(file.heartbeat_ms),
        # In the file, "Cores" is the speed of a core and "CpuShare" the share of one.
        cores=file.limits.cpu_share * file.limits.cores,
        link_mbps=file.limits.link_mbps,
        has_workspaces=WORKSPACES_CONTRACT in file.contracts,
        has_limits=LIMITS_CONTRACT in file.contracts,
        sheds_by_cost=SHEDDING_CONTRACT in file.contracts,
        strict_revocation=file.bounds.strict_revocation,
        revocation_seconds=_seconds(file.bounds.revoke_ms),
        rate_window_seconds=file.bounds.rate_window_s,
    )


def _seconds(milliseconds: float | None) -> float:
    """Convert a time limit; infinity if the file sets none."""
    return inf if milliseconds is None else milliseconds / 1000
