"""Slots of an instance, shared by all entries."""

from collections.abc import Sequence

import xxhash

from .ids import EntryId, InstanceId

# An instance is used by at most this many entries, so that each of them may hold a
# useful number of connections.
MAX_ENTRIES_PER_INSTANCE = 16


def rendezvous_score(key: str, entry: EntryId) -> int:
    """Return the weight of ``entry`` for ``key`` (highest random weight hashing).

    Source: Thaler and Ravishankar, "Using name-based mappings to increase hit
    rates", IEEE/ACM Transactions on Networking 6(1), 1998.
    """
    return xxhash.xxh3_64_intdigest(f"{key}|{entry}".encode())


def entries_of_instance(
    instance: InstanceId, entries: Sequence[EntryId]
) -> list[EntryId]:
    """Return the entries that may use an instance, highest score first."""
    ranked = sorted(
        entries, key=lambda entry: rendezvous_score(instance, entry), reverse=True
    )
    return ranked[:MAX_ENTRIES_PER_INSTANCE]


def home_of_slot(
    instance: InstanceId, slot: int, entries: Sequence[EntryId]
) -> EntryId:
    """Return the entry that owns a slot; the slots of an instance are spread evenly.

    The entries are ranked once per instance and take slots in turn, so that the
    shares of two entries differ by at most one slot.
    """
    ranked = entries_of_instance(instance, entries)
    return ranked[slot % len(ranked)]


def own_slots(
    instance: InstanceId, slots: int, entry: EntryId, entries: Sequence[EntryId]
) -> int:
    """Return how many slots of an instance belong to ``entry``."""
    return sum(home_of_slot(instance, slot, entries) == entry for slot in range(slots))


def connection_limit(connections: int, entries: int) -> int:
    """Return how many connections to one instance an entry may hold."""
    return connections // min(max(entries, 1), MAX_ENTRIES_PER_INSTANCE)
