"""The configuration in a form that may be shown: API keys only as fingerprints."""

from collections.abc import Iterable
from dataclasses import fields, is_dataclass
from typing import Annotated, Any

import msgspec

from .configuration import Configuration, Workspace

# Hexadecimal digits of a key's SHA-256 digest. They identify a key among those of a
# configuration and do not help to guess it.
FINGERPRINT_LENGTH = 8
# Fields that are shown in another way, or not at all.
HIDDEN_FIELDS = frozenset({"name", "key_digests"})

Scalar = bool | int | float | str | None
Fields = dict[str, Scalar]
Fingerprint = Annotated[str, msgspec.Meta(pattern="^[0-9a-f]{8}$")]


class WorkspaceView(msgspec.Struct, frozen=True):
    """A workspace with the fingerprints of its keys."""

    fields: Fields
    keys: tuple[Fingerprint, ...]


class ConfigurationView(msgspec.Struct, frozen=True):
    """A configuration without API keys, as JSON of the status API."""

    version: int
    limits: Fields
    queues: dict[str, Fields]
    services: dict[str, Fields]
    workspaces: dict[str, WorkspaceView]


def fingerprint(digest: bytes) -> str:
    """Return the part of a key's digest that stands for the key in outputs."""
    return digest.hex()[:FINGERPRINT_LENGTH]


def key_fingerprints(digests: Iterable[bytes]) -> list[str]:
    """Return the fingerprints of keys in a fixed order."""
    return sorted({fingerprint(digest) for digest in digests})


def view_configuration(configuration: Configuration) -> ConfigurationView:
    """Return the view of a configuration."""
    return ConfigurationView(
        version=configuration.version,
        limits=_flatten(configuration.limits),
        queues={q.name: _flatten(q) for q in configuration.queues.values()},
        services={s.name: _flatten(s) for s in configuration.services.values()},
        workspaces={
            w.name: _view_workspace(w) for w in configuration.workspaces.values()
        },
    )


def _view_workspace(workspace: Workspace) -> WorkspaceView:
    keys = tuple(key_fingerprints(workspace.key_digests))
    return WorkspaceView(_flatten(workspace), keys)


def _flatten(value: Any, prefix: str = "") -> Fields:
    """Return the fields of a dataclass or struct; nested ones get dotted names."""
    names = (
        [field.name for field in fields(value)]
        if is_dataclass(value)
        else value.__struct_fields__
    )
    flat: Fields = {}
    for name in names:
        if name in HIDDEN_FIELDS:
            continue
        inner = getattr(value, name)
        if is_dataclass(inner) or isinstance(inner, msgspec.Struct):
            flat |= _flatten(inner, f"{prefix}{name}.")
        else:
            flat[f"{prefix}{name}"] = inner
    return flat
