"""Process settings in YAML, checked strictly.

Every duration and size carries its unit in the name of its key. Unknown keys are
errors. An error names file, line, key, the value and what is allowed.
"""

import re
from pathlib import Path
from typing import Annotated, Any, TypeVar

import msgspec
import yaml
from expression import Error, Ok, Result

from .ids import DataCentre, EntryId

T = TypeVar("T")
Port = Annotated[int, msgspec.Meta(ge=1, le=65535)]
Seconds = Annotated[float, msgspec.Meta(gt=0, le=86400)]
Name = Annotated[
    str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9-]*$", min_length=1, max_length=63)
]


class Strict(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True
):
    """Base of all settings and resource types."""


class Listener(Strict, frozen=True):
    """IP address and TCP port."""

    address: str
    port: Port


class StoreSettings(Strict, frozen=True):
    """Where the platform's key-value store answers."""

    address: str
    port: Port
    timeout_seconds: Seconds = 1.0
    watch_seconds: Seconds = 20.0
    poll_seconds: Seconds = 30.0


class VmListSettings(Strict, frozen=True):
    """Where the platform's list of VMs answers."""

    address: str
    port: Port
    poll_seconds: Seconds = 1.0


class Peer(Strict, frozen=True):
    """Another entry process of the same cluster."""

    entry_id: Name
    address: str
    port: Port


class LimitSettings(Strict, frozen=True):
    """Bounds on one request."""

    max_body_megabytes: Annotated[int, msgspec.Meta(ge=1, le=4096)] = 1024
    default_deadline_seconds: Seconds = 30.0
    connect_timeout_seconds: Seconds = 1.0
    idle_connection_seconds: Seconds = 30.0
    queue_length_per_service: Annotated[int, msgspec.Meta(ge=1, le=100_000)] = 512


class ShutdownSettings(Strict, frozen=True):
    """Steps of a graceful shutdown."""

    balancer_grace_seconds: Seconds = 5.0
    drain_seconds: Seconds = 60.0


class EntrySettings(Strict, frozen=True):
    """Settings of one entry process."""

    cluster: Name
    entry_id: Name
    data_centre: Name
    caller_listener: Listener
    admin_listener: Listener
    peer_listener: Listener
    store: StoreSettings
    vm_list: VmListSettings
    peer_key: Annotated[str, msgspec.Meta(min_length=16)]
    peers: tuple[Peer, ...] = ()
    limits: LimitSettings = LimitSettings()
    shutdown: ShutdownSettings = ShutdownSettings()
    admin_tokens: tuple["AdminToken", ...] = ()

    @property
    def entry(self) -> EntryId:
        """Return the typed id of this entry."""
        return EntryId(self.entry_id)

    @property
    def location(self) -> DataCentre:
        """Return the typed data centre of this entry."""
        return DataCentre(self.data_centre)


class AdminToken(Strict, frozen=True):
    """A bearer token of the admin API and the operator whom it identifies."""

    operator: Name
    token: Annotated[str, msgspec.Meta(min_length=16)]


_PATH_STEP = re.compile(r"\.([A-Za-z0-9_-]+)|\[(\d+|\.\.\.)\]")
_UNKNOWN_FIELD = re.compile(r"unknown field `([^`]+)`")


def describe_error(file: str, text: str, data: Any, error: Exception) -> str:
    """Return one line that names file, line, key, value and what is allowed."""
    message = str(error)
    expected, _, path = message.partition(" - at `$")
    steps = [
        key or int(index) if index != "..." else 0
        for key, index in _PATH_STEP.findall(path)
    ]
    unknown = _UNKNOWN_FIELD.search(message)
    if unknown:
        steps.append(unknown.group(1))
    line, value = locate(text, data, steps)
    key = ".".join(str(step) for step in steps) or "(top level)"
    return f"{file}:{line}: {key}: {expected}; got {value!r}"


def locate(text: str, data: Any, steps: list[Any]) -> tuple[int, Any]:
    """Return the line (from 1) and the value at ``steps`` in a YAML text."""
    node = yaml.compose(text, Loader=yaml.SafeLoader)
    line = node.start_mark.line + 1 if node else 1
    for step in steps:
        if isinstance(node, yaml.MappingNode):
            pairs = {key.value: (key, value) for key, value in node.value}
            if step not in pairs:
                break
            key_node, node = pairs[step]
            line = key_node.start_mark.line + 1
            data = data[step] if isinstance(data, dict) else None
        elif isinstance(node, yaml.SequenceNode) and isinstance(step, int):
            node = node.value[step]
            line = node.start_mark.line + 1
            data = data[step]
    return line, data


def parse_strict(file: str, text: str, kind: type[T]) -> Result[T, str]:
    """Parse one YAML document into ``kind``; the error is a line for the operator."""
    try:
        data = yaml.safe_load(text)
    except yaml.MarkedYAMLError as error:
        mark = error.problem_mark
        line = mark.line + 1 if mark else 1
        return Error(f"{file}:{line}: not valid YAML: {error.problem}")
    try:
        return Ok(msgspec.convert(data, kind))
    except msgspec.ValidationError as error:
        return Error(describe_error(file, text, data, error))


def load_settings(path: Path) -> Result[EntrySettings, str]:
    """Read and check the settings file of an entry process."""
    try:
        text = path.read_text()
    except OSError as error:
        return Error(f"{path}: cannot be read: {error.strerror}")
    return parse_strict(str(path), text, EntrySettings)
