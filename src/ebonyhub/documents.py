"""Versioned documents in the store; generations are totally ordered."""

import zlib
from typing import Any

import msgpack
import msgspec
from expression import Error, Ok, Result

from .decoding import DECODE_ERRORS, describe
from .ids import ChangeId, EntryId, Generation

# Limit of a decompressed document; protects against corrupt or malicious values.
MAX_BODY_BYTES = 16 * 1024 * 1024

CONFIG = "config"


class Document(msgspec.Struct, frozen=True):
    """One generation of a document; ``body`` consists of msgpack types."""

    generation: Generation
    change_id: ChangeId
    writer: EntryId
    body: Any


def store_key(name: str) -> str:
    """Return the store key of a document."""
    return f"ebonyhub/{name}"


def encode_document(document: Document) -> bytes:
    """Return the document as zlib-compressed msgpack."""
    packed = msgpack.packb(msgspec.to_builtins(document))
    return zlib.compress(packed, level=6)


def decode_document(data: bytes) -> Result[Document, str]:
    """Decode a stored value; the error says why it is invalid."""
    try:
        decompressor = zlib.decompressobj()
        packed = decompressor.decompress(data, MAX_BODY_BYTES)
        if decompressor.unconsumed_tail:
            return Error(f"body exceeds {MAX_BODY_BYTES} bytes")
        return Ok(msgspec.convert(msgpack.unpackb(packed), Document))
    except (zlib.error, msgpack.UnpackException, *DECODE_ERRORS) as error:
        return Error(describe(error))


class LatestDocument:
    """The newest generation of a document that this entry process has received."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.current: Document | None = None

    @property
    def generation(self) -> Generation:
        """Return the newest generation received, 0 before the first one."""
        return self.current.generation if self.current else Generation(0)

    def adopt_if_newer(self, document: Document) -> bool:
        """Adopt ``document`` if it is newer; return whether it was adopted."""
        if document.generation <= self.generation:
            return False
        self.current = document
        return True
