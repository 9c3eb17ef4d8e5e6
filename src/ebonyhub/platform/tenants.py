"""Workspaces in the operators' configuration, which the platform calls tenants."""

import re
from collections.abc import Iterable
from typing import Annotated

import msgspec
from expression import Result

from ..configuration import Workspace, digest_key
from ..decoding import try_decode
from ..ids import WorkspaceName
from ..jobs.model import Resources

MAX_KEYS = 10_000
# A header has no control characters, and loses the spaces at its ends.
_UNUSABLE_KEY = re.compile(r"[\x00-\x1f\x7f]|^ | $")
Limit = Annotated[float, msgspec.Meta(ge=0, le=1e12)]
Key = Annotated[str, msgspec.Meta(min_length=1, max_length=4096)]


class MaximumRow(msgspec.Struct, rename="pascal"):
    """What a workspace may have running; 0 means no limit."""

    cpu: Limit = 0
    mem_mb: Limit = 0
    gpu: Limit = 0


class TenantRow(msgspec.Struct, rename="pascal"):
    """A workspace with its API keys."""

    name: Annotated[str, msgspec.Meta(min_length=1, max_length=256)]
    api_keys: Annotated[tuple[Key, ...], msgspec.Meta(max_length=MAX_KEYS)] = ()
    priority: Annotated[int, msgspec.Meta(ge=-1_000_000, le=1_000_000)] = 0
    weight: Annotated[float, msgspec.Meta(ge=0, le=1e9)] = 1.0
    maximum: MaximumRow | None = None


_decode_row = msgspec.json.Decoder(TenantRow).decode


def decode_workspace(raw: msgspec.Raw) -> Result[Workspace, str]:
    """Decode one workspace; the error is a text for the log, without any API key."""
    return try_decode(_decode_row, bytes(raw)).map(_workspace)


def find_unusable_keys(raw: msgspec.Raw) -> list[int]:
    """Return the positions of a readable workspace's keys that no header can carry."""
    keys = _decode_row(bytes(raw)).api_keys
    return [i for i, key in enumerate(keys) if _UNUSABLE_KEY.search(key)]


def decode_workspaces(
    rows: Iterable[msgspec.Raw],
) -> tuple[dict[WorkspaceName, Workspace], list[str]]:
    """Return the readable workspaces by name, and why others were left out.

    The texts contain no API key.
    """
    workspaces: dict[WorkspaceName, Workspace] = {}
    rejected: list[str] = []
    for number, raw in enumerate(rows):
        decoded = decode_workspace(raw)
        if decoded.is_error():
            rejected.append(f"workspace {number}: {decoded.error}")
            continue
        workspace = decoded.ok
        if workspace.name in workspaces:
            rejected.append(f"workspace {number}: the name is taken")
            continue
        workspaces[workspace.name] = workspace
    return workspaces, rejected


def _workspace(row: TenantRow) -> Workspace:
    limit = row.maximum or MaximumRow()
    return Workspace(
        name=WorkspaceName(row.name),
        key_digests=frozenset(digest_key(key.encode()) for key in row.api_keys),
        priority=row.priority,
        weight=row.weight,
        limit=Resources(int(limit.cpu), int(limit.mem_mb), int(limit.gpu)),
    )
