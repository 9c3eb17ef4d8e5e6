"""Settings of an entry process, read from a YAML file.

Unknown keys are errors. The key of a duration or size ends in its unit. An error names
the file, line, key, value and what is allowed.
"""

import re
from pathlib import Path
from typing import Annotated, Any, TypeVar

import msgspec
import yaml
from expression import Error, Ok, Result

from .decoding import DECODE_ERRORS, describe
from .ids import DataCentre, EntryId

T = TypeVar("T")
Port = Annotated[int, msgspec.Meta(ge=1, le=65535)]
Seconds = Annotated[float, msgspec.Meta(gt=0, le=86400)]
Name = Annotated[
    str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9-]*$", min_length=1, max_length=63)
]


class StrictStruct(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True
):
    """Base of all settings and resource types; rejects unknown fields."""


class Listener(StrictStruct, frozen=True):
    """IP address and TCP port on which the process listens."""

    address: str
    port: Port


class StoreSettings(StrictStruct, frozen=True):
    """Address of the platform's key-value store, and time limits of calls to it."""

    address: str
    port: Port
    timeout_seconds: Seconds = 1.0
    # Time after which the store ends a watch call in which nothing changed.
    watch_seconds: Seconds = 20.0
    poll_seconds: Seconds = 30.0


class VmListSettings(StrictStruct, frozen=True):
    """Address of the platform's list of VMs, and the interval between reads."""

    address: str
    port: Port
    poll_seconds: Seconds = 1.0


class Peer(StrictStruct, frozen=True):
    """Another entry process of the same cluster."""

    entry_id: Name
    address: str
    port: Port


class LimitSettings(StrictStruct, frozen=True):
    """Limits on requests and on the connections to backend servers."""

    max_body_megabytes: Annotated[int, msgspec.Meta(ge=1, le=4096)] = 1024
    default_deadline_seconds: Seconds = 30.0
    connect_timeout_seconds: Seconds = 1.0
    idle_connection_seconds: Seconds = 30.0
    queue_length_per_service: Annotated[int, msgspec.Meta(ge=1, le=100_000)] = 512


class ShutdownSettings(StrictStruct, frozen=True):
    """Durations of a graceful shutdown."""

    # Requests are still accepted, until the load balancer has seen /readyz fail.
    balancer_grace_seconds: Seconds = 5.0
    # Upper limit of the wait for open requests after that.
    drain_seconds: Seconds = 60.0


class EntrySettings(StrictStruct, frozen=True):
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
        """Return ``entry_id`` as an EntryId."""
        return EntryId(self.entry_id)

    @property
    def location(self) -> DataCentre:
        """Return ``data_centre`` as a DataCentre."""
        return DataCentre(self.data_centre)


class AdminToken(StrictStruct, frozen=True):
    """A bearer token of the admin API and the operator that it authenticates."""

    operator: Name
    token: Annotated[str, msgspec.Meta(min_length=16)]


_PATH_STEP = re.compile(r"\.([A-Za-z0-9_-]+)|\[(\d+|\.\.\.)\]")
_UNKNOWN_FIELD = re.compile(r"unknown field `([^`]+)`")


def describe_error(file: str, text: str, data: Any, error: Exception) -> str:
    """Return one line that describes a msgspec.ValidationError to the operator."""
    message = str(error)
    expected, _, path = message.partition(" - at `$")
    steps = [
        key or int(index) if index != "..." else 0
        for key, index in _PATH_STEP.findall(path)
    ]
    unknown = _UNKNOWN_FIELD.search(message)
    if unknown:
        steps.append(unknown.group(1))
    line, value = find_in_yaml(text, data, steps)
    key = ".".join(str(step) for step in steps) or "(top level)"
    return f"{file}:{line}: {key}: {expected}; got {repr(value)[:200]}"


def find_in_yaml(text: str, data: Any, steps: list[Any]) -> tuple[int, Any]:
    """Return line (from 1) and value at a path of keys and indexes in a YAML text."""
    node = yaml.compose(text, Loader=yaml.SafeLoader)
    line = node.start_mark.line + 1 if node else 1
    for step in steps:
        if isinstance(node, yaml.MappingNode):
            pairs = {str(key.value): (key, value) for key, value in node.value}
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
    """Decode one YAML document as ``kind``; the error is one line for the operator."""
    try:
        data = yaml.safe_load(text)
    except yaml.MarkedYAMLError as error:
        mark = error.problem_mark
        line = mark.line + 1 if mark else 1
        return Error(f"{file}:{line}: not valid YAML: {error.problem}")
    except (yaml.YAMLError, *DECODE_ERRORS) as error:
        # Control characters, nesting that is too deep, or invalid dates and numbers.
        problem = " ".join(str(error).split())[:200]
        return Error(f"{file}:1: not valid YAML: {problem}")
    try:
        return Ok(msgspec.convert(data, kind))
    except msgspec.ValidationError as error:
        return Error(describe_error(file, text, data, error))
    except DECODE_ERRORS as error:
        return Error(f"{file}:1: cannot be decoded: {describe(error)}")


def load_settings(path: Path) -> Result[EntrySettings, str]:
    """Read and check a settings file; the error is one line for the operator."""
    try:
        text = path.read_text()
    except OSError as error:
        return Error(f"{path}: cannot be read: {error.strerror}")
    except UnicodeDecodeError as error:
        return Error(f"{path}: not UTF-8 text: {error.reason}")
    return parse_strict(str(path), text, EntrySettings)
