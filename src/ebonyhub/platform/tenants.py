"""Workspaces, which the platform calls tenants: configuration and API keys of calls."""

import re
from collections.abc import Iterable, Mapping
from typing import Annotated

import msgspec
from expression import Result

from ..configuration import KEY_DIGEST_BYTES, Workspace, digest_key
from ..decoding import try_decode
from ..ids import WorkspaceName
from ..jobs.model import Resources

# Header of a call that holds the API key alone.
API_KEY_HEADER = b"x-credential"
# Authentication scheme of the header, named in answers with status 401.
API_KEY_SCHEME = b"ApiKey"
MAX_KEYS = 10_000
# Fields of a configuration that entries send each other as they are.
SHARED_FIELDS = frozenset({"Version", "Routes", "Services", "Limits"})
# A header has no control characters, and loses the spaces at its ends.
_UNUSABLE_KEY = re.compile(r"[\x00-\x1f\x7f]|^ | $")
Limit = Annotated[float, msgspec.Meta(ge=0, le=1e12)]
Text = Annotated[str, msgspec.Meta(min_length=1, max_length=256)]
Priority = Annotated[int, msgspec.Meta(ge=-1_000_000, le=1_000_000)]
Weight = Annotated[float, msgspec.Meta(ge=0, le=1e9)]
# Encoded in base64.
Digest = Annotated[
    bytes, msgspec.Meta(min_length=KEY_DIGEST_BYTES, max_length=KEY_DIGEST_BYTES)
]
Key = Annotated[str, msgspec.Meta(min_length=1, max_length=4096)]


class MaximumRow(msgspec.Struct, rename="pascal"):
    """What a workspace may have running; 0 means no limit."""

    cpu: Limit = 0
    mem_mb: Limit = 0
    gpu: Limit = 0


class TenantRow(msgspec.Struct, rename="pascal"):
    """A workspace with its API keys."""

    name: Text
    api_keys: Annotated[tuple[Key, ...], msgspec.Meta(max_length=MAX_KEYS)] = ()
    priority: Priority = 0
    weight: Weight = 1.0
    maximum: MaximumRow | None = None


class DigestedTenantRow(msgspec.Struct, rename="pascal"):
    """A workspace as entries send it to each other, with the digests of its keys."""

    name: Text
    key_digests: Annotated[tuple[Digest, ...], msgspec.Meta(max_length=MAX_KEYS)]
    priority: Priority
    weight: Weight
    maximum: MaximumRow


_decode_row = msgspec.json.Decoder(TenantRow).decode
_decode_digested_row = msgspec.json.Decoder(DigestedTenantRow).decode


def decode_workspace(
    raw: msgspec.Raw, digested: bool = False
) -> Result[Workspace, str]:
    """Decode one workspace; the error is a text for the log, without any API key.

    If ``digested``, the row is one of ``digest_keys``.
    """
    if digested:
        row = try_decode(_decode_digested_row, bytes(raw))
        return row.map(lambda row: _workspace(row, row.key_digests))
    stored = try_decode(_decode_row, bytes(raw))
    return stored.map(
        lambda row: _workspace(row, [digest_key(key.encode()) for key in row.api_keys])
    )


def find_unusable_keys(raw: msgspec.Raw) -> list[int]:
    """Return the positions of a readable workspace's keys that no header can carry."""
    keys = _decode_row(bytes(raw)).api_keys
    return [i for i, key in enumerate(keys) if _UNUSABLE_KEY.search(key)]


def decode_workspaces(
    rows: Iterable[msgspec.Raw], digested: bool = False
) -> tuple[dict[WorkspaceName, Workspace], list[str]]:
    """Return the readable workspaces by name, and why others were left out.

    The texts contain no API key. If ``digested``, the rows are those of
    ``digest_keys``.
    """
    workspaces: dict[WorkspaceName, Workspace] = {}
    rejected: list[str] = []
    for number, raw in enumerate(rows):
        decoded = decode_workspace(raw, digested)
        if decoded.is_error():
            rejected.append(f"workspace {number}: {decoded.error}")
            continue
        workspace = decoded.ok
        if workspace.name in workspaces:
            rejected.append(f"workspace {number}: the name is taken")
            continue
        workspaces[workspace.name] = workspace
    return workspaces, rejected


def presented_key(values: list[bytes]) -> bytes | None:
    """Return the API key of a call by the values of its header, None without one.

    Several values count as one list (RFC 9110), which is no key. An empty value counts
    as no key, since keys have at least one character.
    """
    key = b", ".join(values).strip(b" \t")
    return key or None


def digest_keys(
    document: bytes, workspaces: Mapping[WorkspaceName, Workspace]
) -> bytes:
    """Return a configuration with the digests of the API keys in place of the keys.

    ``workspaces`` are those of the document. Fields that are not read are left out,
    since they may hold keys, too. Raises one of DECODE_ERRORS if the document cannot be
    decoded.
    """
    document_fields = msgspec.json.decode(document, type=dict[str, msgspec.Raw])
    fields = {
        name: value for name, value in document_fields.items() if name in SHARED_FIELDS
    }
    rows = [
        DigestedTenantRow(
            workspace.name, tuple(sorted(workspace.key_digests)), workspace.priority,
            workspace.weight,
            MaximumRow(
                workspace.limit.cpu, workspace.limit.memory,
                workspace.limit.accelerators,
            ),
        )
        for workspace in workspaces.values()
    ]  # fmt: skip
    fields["Tenants"] = msgspec.Raw(msgspec.json.encode(rows))
    return msgspec.json.encode(fields)


def _workspace(
    row: TenantRow | DigestedTenantRow, key_digests: Iterable[bytes]
) -> Workspace:
    limit = row.maximum or MaximumRow()
    return Workspace(
        name=WorkspaceName(row.name),
        key_digests=frozenset(key_digests),
        priority=row.priority,
        weight=row.weight,
        limit=Resources(int(limit.cpu), int(limit.mem_mb), int(limit.gpu)),
    )
