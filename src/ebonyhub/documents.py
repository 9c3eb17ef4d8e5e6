"""Documents with totally ordered generations."""

import zlib
from typing import Any

import msgpack
import msgspec
from expression import Error, Ok, Result

from .ids import ChangeId, EntryId, Generation

# Upper bound on an uncompressed body, against corrupt or hostile values.
MAX_BODY_BYTES = 16 * 1024 * 1024

CONFIG = "config"


class Document(msgspec.Struct, frozen=True):
    """One generation of a document; ``body`` is plain data."""

    generation: Generation
    change_id: ChangeId
    writer: EntryId
    body: Any


def store_key(name: str) -> str:
    """Return the store key of a document."""
    return f"ebonyhub/{name}"


def encode_document(document: Document) -> bytes:
    """Serialize to compressed msgpack."""
    packed = msgpack.packb(msgspec.to_builtins(document))
    return zlib.compress(packed, level=6)


def decode_document(data: bytes) -> Result[Document, str]:
    """Parse a stored value; the error says what is wrong with it."""
    try:
        decompressor = zlib.decompressobj()
        packed = decompressor.decompress(data, MAX_BODY_BYTES)
        if decompressor.unconsumed_tail:
            return Error(f"body exceeds {MAX_BODY_BYTES} bytes")
        return Ok(msgspec.convert(msgpack.unpackb(packed), Document))
    except (zlib.error, ValueError, msgspec.ValidationError) as error:
        return Error(str(error))


class LatestDocument:
    """Keeps the highest generation of one document that this entry has seen."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.current: Document | None = None

    @property
    def generation(self) -> Generation:
        """Return the generation in effect, 0 before the first one."""
        return self.current.generation if self.current else Generation(0)

    def adopt_if_newer(self, document: Document) -> bool:
        """Adopt ``document`` if it is newer; return whether it was adopted."""
        if document.generation <= self.generation:
            return False
        self.current = document
        return True
