"""Reads, changes and watches the configuration document in the store."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Any

import msgspec
from expression import Error, Ok, Result

from .clock import Clock
from .decoding import DECODE_ERRORS, describe
from .documents import (
    CONFIG,
    Document,
    LatestDocument,
    decode_document,
    encode_document,
    store_key,
)
from .events import Event, log_event
from .ids import ChangeId, EntryId, Generation, StoreVersion
from .resources import Declared, declared_from_builtins
from .store import ABSENT, Store, StoreError

MAX_WRITE_ATTEMPTS = 8
RETRY_BASE_SECONDS = 0.02
# The document keeps this many audit records; older ones are removed.
MAX_AUDIT_RECORDS = 200


class ChangeError(Enum):
    """Why a change was rejected; after UNKNOWN it may still have been written."""

    INVALID = "invalid"
    CONFLICT = "conflict"
    NOT_FOUND = "not_found"
    UNAVAILABLE = "unavailable"
    UNKNOWN = "unknown"


@dataclass(frozen=True)
class Rejection:
    """Why a change was not accepted, with one line for each reason."""

    kind: ChangeError
    reasons: tuple[str, ...] = ()


@dataclass(frozen=True)
class Change:
    """A change of the configuration that an operator requests."""

    change_id: ChangeId
    operator: str
    summary: str
    # Takes the current resources and the generation that the change will have.
    edit: Callable[[Declared, Generation], Result[Declared, Rejection]]


class AuditRecord(msgspec.Struct, frozen=True):
    """One change of the configuration: who made it, what it did, and when."""

    generation: int
    change_id: str
    operator: str
    at_wall_seconds: float
    summary: str


@dataclass(frozen=True)
class ConfigSnapshot:
    """One generation of the configuration, decoded, with its latest audit records."""

    generation: Generation
    declared: Declared
    audit: tuple[AuditRecord, ...]

    def generation_of(self, change_id: ChangeId) -> Generation | None:
        """Return the generation that a change produced, None if no record has it."""
        for record in self.audit:
            if record.change_id == change_id:
                return Generation(record.generation)
        return None


EMPTY_CONFIG = ConfigSnapshot(Generation(0), Declared(), ())


def decode_config(document: Document) -> Result[ConfigSnapshot, str]:
    """Decode the body of a configuration document; the error says what is wrong."""
    try:
        body: dict[str, Any] = msgspec.convert(document.body, dict[str, Any])
        declared = declared_from_builtins(body.get("resources", []))
        audit = msgspec.convert(body.get("audit", []), tuple[AuditRecord, ...])
    except DECODE_ERRORS as error:
        return Error(describe(error))
    return Ok(ConfigSnapshot(document.generation, declared, audit))


def encode_config(
    configuration: ConfigSnapshot, change_id: ChangeId, writer: EntryId
) -> Document:
    """Return the document that stores a configuration."""
    body = {
        "resources": configuration.declared.to_builtins(),
        "audit": msgspec.to_builtins(configuration.audit),
    }
    return Document(configuration.generation, change_id, writer, body)


class ConfigWriter:
    """Applies changes by compare-and-swap on the configuration document."""

    def __init__(
        self,
        store: Store,
        entry: EntryId,
        clock: Clock,
        rng: random.Random,
        on_document: Callable[[Document], None],
    ) -> None:
        self.store = store
        self.entry = entry
        self.clock = clock
        self.rng = rng
        self.on_document = on_document

    async def read(self) -> Result[tuple[StoreVersion, ConfigSnapshot], Rejection]:
        """Return the store version and the configuration; ABSENT and empty if none."""
        result = await self.store.get(store_key(CONFIG))
        if result.is_error():
            if result.error is StoreError.NOT_FOUND:
                return Ok((ABSENT, EMPTY_CONFIG))
            return Error(Rejection(ChangeError.UNAVAILABLE, ("store unreachable",)))
        decoded = decode_document(result.ok.value).bind(decode_config)
        if decoded.is_error():
            return Error(Rejection(ChangeError.UNAVAILABLE, (decoded.error,)))
        return Ok((result.ok.version, decoded.ok))

    async def apply(self, change: Change) -> Result[Generation, Rejection]:
        """Apply a change, with retries, and return the generation that contains it.

        A change whose id is in the audit records is not applied again. If a write may
        have taken effect and no later attempt settles it, the error is UNKNOWN.
        """
        may_have_written = False
        for attempt in range(MAX_WRITE_ATTEMPTS):
            if attempt > 0:
                ceiling = RETRY_BASE_SECONDS * 2**attempt
                await asyncio.sleep(self.rng.uniform(ceiling / 2, ceiling))
            outcome = await self.attempt(change)
            if outcome.is_ok() or outcome.error.kind in (
                ChangeError.INVALID,
                ChangeError.NOT_FOUND,
            ):
                return outcome
            if outcome.error.kind is ChangeError.UNKNOWN:
                may_have_written = True
            last = outcome.error
        if may_have_written:
            return Error(Rejection(ChangeError.UNKNOWN, last.reasons))
        return Error(last)

    async def attempt(self, change: Change) -> Result[Generation, Rejection]:
        """Try once to read, edit and write the document."""
        read = await self.read()
        if read.is_error():
            return Error(read.error)
        version, current = read.ok
        applied = current.generation_of(change.change_id)
        if applied is not None:
            return Ok(applied)
        generation = Generation(current.generation + 1)
        edited = change.edit(current.declared, generation)
        if edited.is_error():
            return Error(edited.error)
        missing = edited.ok.missing_references()
        if missing:
            return Error(Rejection(ChangeError.INVALID, tuple(missing)))
        record = AuditRecord(
            generation,
            change.change_id,
            change.operator,
            self.clock.wall(),
            change.summary,
        )
        audit = (*current.audit, record)[-MAX_AUDIT_RECORDS:]
        document = encode_config(
            ConfigSnapshot(generation, edited.ok, audit), change.change_id, self.entry
        )
        return await self.write(version, document)

    async def write(
        self, version: StoreVersion, document: Document
    ) -> Result[Generation, Rejection]:
        """Write the document if the key is at ``version``; return its generation."""
        written = await self.store.compare_and_swap(
            store_key(CONFIG), version, encode_document(document)
        )
        if written.is_ok():
            self.on_document(document)
            return Ok(document.generation)
        error_kinds = {
            StoreError.CONFLICT: ChangeError.CONFLICT,
            StoreError.UNKNOWN: ChangeError.UNKNOWN,
        }
        kind = error_kinds.get(written.error, ChangeError.UNAVAILABLE)
        return Error(Rejection(kind, (f"store: {written.error.value}",)))


class DocumentWatcher:
    """Task that watches one document in the store and reports each generation."""

    def __init__(
        self,
        store: Store,
        latest_document: LatestDocument,
        rng: random.Random,
        on_document: Callable[[Document], None],
    ) -> None:
        self.store = store
        self.latest_document = latest_document
        self.rng = rng
        self.on_document = on_document
        self.version = ABSENT
        # True once the store has answered since the start.
        self.synchronized = False

    async def run(self) -> None:
        """Watch until cancelled; after an error, retry with jitter and back-off."""
        failures = 0
        while True:
            result = await self.store.watch(
                store_key(self.latest_document.name), self.version
            )
            if result.is_error() and result.error is not StoreError.NOT_FOUND:
                failures += 1
                if failures == 1:
                    log_event(Event.STORE_UNREACHABLE, error=result.error.value)
                delay = min(0.1 * 2**failures, 5.0)
                await asyncio.sleep(self.rng.uniform(delay / 2, delay))
                continue
            if failures:
                log_event(Event.STORE_RECOVERED, failures=failures)
            failures = 0
            self.synchronized = True
            if result.is_ok() and result.ok is not None:
                self.version = result.ok.version
                self.accept(result.ok.value)

    def accept(self, value: bytes) -> None:
        """Decode a stored value and pass it to ``on_document``; log an invalid one."""
        decoded = decode_document(value)
        if decoded.is_error():
            log_event(
                Event.DOCUMENT_REJECTED,
                name=self.latest_document.name,
                error=decoded.error,
            )
            return
        self.on_document(decoded.ok)
