"""Rows of the operators' configuration with their places, for checks of a document.

Unlike ``decode_configuration``, this keeps rows that an entry leaves out or replaces.
"""

import re
from dataclasses import dataclass, field
from typing import Generic, TypeVar

from expression import Result

from ..configuration import Queue, Service, Workspace
from .config import (
    ConfigurationRow,
    decode_configuration_row,
    decode_queue,
    decode_service,
)
from .tenants import decode_workspace, find_unusable_keys

T = TypeVar("T")

# A value of the platform's store has at most this size.
MAX_DOCUMENT_BYTES = 1024 * 1024

ROUTES, SERVICES, WORKSPACES = "Routes", "Services", "Tenants"
# Names in the document of the fields that checks refer to.
FIELD_NAMES = {
    "version": "Version",
    "name": "Name",
    "host": "Host",
    "prefix": "PathPrefix",
    "service": "Service",
    "max_attempts": "MaxAttempts",
    "target_seconds": "TargetLatencyMs",
    "keys": "ApiKeys",
    "weight": "Weight",
    "limit": "Maximum",
    "limit.cpu": "Maximum.Cpu",
}

# The texts of decoding errors, such as "ValidationError('Expected `int`, got `str` - at
# `$.Version`')".
_ERROR = re.compile(r"\w+\((['\"])(?P<text>.*)\1\)", re.DOTALL)
_PATH = re.compile(r" - at `\$\.?(?P<path>[^`]*)`")
_MISSING = re.compile(r"missing required field `(?P<path>\w+)`")


@dataclass(frozen=True, slots=True)
class Row(Generic[T]):
    """A readable row and its place in the document, such as ``Routes[2]``."""

    place: str
    value: T


@dataclass(frozen=True, slots=True)
class RowProblem:
    """A place in the document that cannot be read, and why."""

    place: str
    text: str


@dataclass(slots=True)
class ConfigurationRows:
    """All rows of a document; ``version`` is None if nothing of it can be read."""

    version: int | None = None
    queues: list[Row[Queue]] = field(default_factory=list)
    services: list[Row[Service]] = field(default_factory=list)
    workspaces: list[Row[Workspace]] = field(default_factory=list)
    problems: list[RowProblem] = field(default_factory=list)
    # Places of API keys that no call can carry.
    unusable_keys: list[str] = field(default_factory=list)
    # Whether the document lists workspaces, readable or not.
    lists_workspaces: bool = False


def place_of(place: str, attribute: str) -> str:
    """Return the place of a field, by the attribute that the field is decoded to."""
    name = FIELD_NAMES[attribute]
    return f"{place}.{name}" if place else name


def read_rows(value: bytes) -> ConfigurationRows:
    """Read a document; its problems name places and contain no API key."""
    rows = ConfigurationRows()
    decoded = decode_configuration_row(value)
    if decoded.is_error():
        rows.problems.append(_problem("", decoded.error))
        return rows
    document: ConfigurationRow = decoded.ok
    rows.version = document.version
    rows.lists_workspaces = bool(document.tenants)
    for number, raw in enumerate(document.routes):
        _add(rows, rows.queues, f"{ROUTES}[{number}]", decode_queue(raw))
    for number, raw in enumerate(document.services):
        _add(rows, rows.services, f"{SERVICES}[{number}]", decode_service(raw))
    for number, raw in enumerate(document.tenants or ()):
        place = f"{WORKSPACES}[{number}]"
        workspace = decode_workspace(raw)
        _add(rows, rows.workspaces, place, workspace)
        if workspace.is_ok():
            keys = place_of(place, "keys")
            rows.unusable_keys += [f"{keys}[{i}]" for i in find_unusable_keys(raw)]
    return rows


def _add(
    rows: ConfigurationRows, found: list[Row[T]], place: str, decoded: Result[T, str]
) -> None:
    if decoded.is_error():
        rows.problems.append(_problem(place, decoded.error))
    else:
        found.append(Row(place, decoded.ok))


def _problem(place: str, error: str) -> RowProblem:
    """Take a decoding error apart into the field and the reason."""
    wrapped = _ERROR.fullmatch(error)
    text = wrapped["text"] if wrapped else error
    path = _PATH.search(text) or _MISSING.search(text)
    if path is None:
        return RowProblem(place, text)
    field_path = path["path"]
    separator = "." if place and field_path and not field_path.startswith("[") else ""
    return RowProblem(f"{place}{separator}{field_path}", _PATH.sub("", text))
