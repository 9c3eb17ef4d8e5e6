"""Division of the slots and connections of an instance between the entries."""

from collections.abc import Sequence

import xxhash

from .ids import EntryId, InstanceId

# Bounds the entries that use one instance, so that the share of connections of each
# is not too small.
MAX_ENTRIES_PER_INSTANCE = 16


def rendezvous_score(key: str, entry: EntryId) -> int:
    """Return the score of ``entry`` for ``key`` in rendezvous hashing.

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


def owner_of_slot(
    instance: InstanceId, slot: int, entries: Sequence[EntryId]
) -> EntryId:
    """Return the entry that owns a slot of an instance.

    The entries of the instance take its slots in turn, in order of their scores, so
    that the shares of two entries differ by at most one slot.
    """
    ranked = entries_of_instance(instance, entries)
    return ranked[slot % len(ranked)]


def owned_slot_count(
    instance: InstanceId, slots: int, entry: EntryId, entries: Sequence[EntryId]
) -> int:
    """Return how many slots of an instance ``entry`` owns; ``slots`` is their total."""
    return sum(owner_of_slot(instance, slot, entries) == entry for slot in range(slots))


def connections_per_entry(connections_per_instance: int, entry_count: int) -> int:
    """Return how many connections to one instance each entry may hold."""
    return connections_per_instance // min(
        max(entry_count, 1), MAX_ENTRIES_PER_INSTANCE
    )
