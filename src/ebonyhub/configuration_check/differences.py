"""Differences between two configurations, without I/O."""

from collections.abc import Iterator, Mapping
from enum import Enum

import msgspec

from ..configuration_view import ConfigurationView, Fields, Scalar, WorkspaceView
from ..platform.configuration_rows import WORKSPACES, place_of
from .findings import Finding, error

# Stands for a field that one of the two does not have.
ABSENT = None


class Change(Enum):
    """What happened to a row, a field or a key."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"
    KEY_ADDED = "key added"
    KEY_REMOVED = "key removed"


class Difference(msgspec.Struct, frozen=True):
    """One difference; ``field`` is the fingerprint for a key, empty for a whole row."""

    change: Change
    kind: str
    name: str
    field: str = ""
    before: Scalar = ABSENT
    after: Scalar = ABSENT


def compare(old: ConfigurationView, new: ConfigurationView) -> list[Difference]:
    """Return what changes when ``new`` replaces ``old``."""
    found = list(_changed_fields("limits", "", old.limits, new.limits))
    found += _compare_rows("queue", old.queues, new.queues)
    found += _compare_rows("service", old.services, new.services)
    old_fields = {name: view.fields for name, view in old.workspaces.items()}
    new_fields = {name: view.fields for name, view in new.workspaces.items()}
    found += _compare_rows("workspace", old_fields, new_fields)
    found += _compare_keys(old.workspaces, new.workspaces)
    return found


def check_replacement(old: ConfigurationView, new: ConfigurationView) -> list[Finding]:
    """Return why the entries would keep ``old`` when they receive ``new``."""
    findings = []
    if new.version <= old.version:
        message = f"{new.version} is not higher than the {old.version} in force"
        findings.append(error(place_of("", "version"), message))
    if old.workspaces and not new.workspaces:
        message = "no workspace is left; entries keep the version in force"
        findings.append(error(WORKSPACES, message))
    return findings


def _compare_rows(
    kind: str, old: Mapping[str, Fields], new: Mapping[str, Fields]
) -> Iterator[Difference]:
    for name in old:
        if name not in new:
            yield Difference(Change.REMOVED, kind, name)
    for name, fields in new.items():
        if name not in old:
            yield Difference(Change.ADDED, kind, name)
        else:
            yield from _changed_fields(kind, name, old[name], fields)


def _changed_fields(
    kind: str, name: str, old: Fields, new: Fields
) -> Iterator[Difference]:
    # Only one of the two has the fields of an object that was added or removed.
    for key in dict.fromkeys([*old, *new]):
        before, after = old.get(key, ABSENT), new.get(key, ABSENT)
        if before != after:
            yield Difference(Change.CHANGED, kind, name, key, before, after)


def _compare_keys(
    old: Mapping[str, WorkspaceView], new: Mapping[str, WorkspaceView]
) -> Iterator[Difference]:
    no_keys = WorkspaceView({}, ())
    for name in dict.fromkeys([*old, *new]):
        before = set(old.get(name, no_keys).keys)
        after = set(new.get(name, no_keys).keys)
        for key in sorted(before - after):
            yield Difference(Change.KEY_REMOVED, "workspace", name, key)
        for key in sorted(after - before):
            yield Difference(Change.KEY_ADDED, "workspace", name, key)
