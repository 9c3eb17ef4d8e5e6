"""Checks answers to calls with API keys and to calls of other scopes."""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from math import inf

from .impairments import Impairments

UNKNOWN_KEY_STATUS = 401
# Answers that an entry gives only after it has found the key in its configuration.
ADMITTING_STATUSES = (200, 410, 429)
# Answers to a call for another scope's job that tell nothing about it, by method. Each
# call may be forwarded to a peer whose answer is lost, which gives 504.
NO_ANSWER = None
ALLOWED_FOREIGN_STATUSES: Mapping[str, tuple[int | None, ...]] = {
    "GET": (NO_ANSWER, 410, 503, 504),
    "DELETE": (NO_ANSWER, 410, 503, 504),
    "POST": (NO_ANSWER, 429, 503, 504),
}


@dataclass(slots=True)
class KeyRecord:
    """When a key was added and removed; both acknowledged by the store."""

    # Names the key in texts, since keys must not be written anywhere.
    label: str
    # Infinite for a key that is in no configuration.
    added_at: float = -inf
    removed_at: float = inf


@dataclass(frozen=True, slots=True)
class KeyedCall:
    """A call with a key, and its answer."""

    entry: str
    # None if the entry was started anew during the call.
    process: int | None
    key: str | None
    status: int
    sent_at: float
    answered_at: float


def key_problem(
    key: KeyRecord, call: KeyedCall, deadline: Callable[[float], float]
) -> str | None:
    """Return why an answer contradicts every configuration that may be in force.

    ``deadline`` gives the time at which a change is in force on the entry.
    """
    if call.status in ADMITTING_STATUSES:
        if call.answered_at < key.added_at:
            return f"{call.entry} admitted {key.label}, which was in no configuration"
        if call.sent_at > deadline(key.removed_at):
            late = call.sent_at - key.removed_at
            return f"{call.entry} admitted {key.label} {late:.2f} s after its removal"
    elif call.status == UNKNOWN_KEY_STATUS:
        was_added = call.sent_at > deadline(key.added_at)
        if was_added and call.answered_at < key.removed_at:
            since = call.sent_at - key.added_at
            return f"{call.entry} refused {key.label} {since:.2f} s after its addition"
    return None


@dataclass
class KeyMonitor:
    """Compares the answers to calls with the times at which keys were changed."""

    impairments: Impairments
    keys: dict[str | None, KeyRecord] = field(default_factory=dict)
    problems: list[str] = field(default_factory=list)
    # By process and key: the keys that a process has admitted, and when it first
    # refused a removed one.
    admitted: set[tuple[int, str | None]] = field(default_factory=set)
    refused_at: dict[tuple[int, str | None], float] = field(default_factory=dict)
    # Key states and the statuses that calls with such keys were answered with.
    seen: set[tuple[str, int]] = field(default_factory=set)

    def observe(self, call: KeyedCall) -> None:
        """Check one answer."""
        record = self.keys[call.key]
        problem = key_problem(
            record, call, lambda at: self.impairments.deadline(call.entry, at)
        )
        if problem is not None:
            self.problems.append(f"KEY: {problem}")
        self.seen.add((key_state(record, call.sent_at), call.status))
        if call.process is not None:
            self._check_reversion(record, call, (call.process, call.key))

    def _check_reversion(
        self, record: KeyRecord, call: KeyedCall, place: tuple[int, str | None]
    ) -> None:
        """Check that a process admits no key that a newer version made it refuse.

        A refusal counts if the key is removed and the version that added it was in
        force on the process: the process has admitted the key, or has started with it.
        """
        if call.status in ADMITTING_STATUSES:
            if call.sent_at > self.refused_at.get(place, inf):
                self.problems.append(
                    f"CONFIG: {call.entry} admitted {record.label} after it had "
                    "refused it by a newer configuration"
                )
            self.admitted.add(place)
        elif call.status == UNKNOWN_KEY_STATUS:
            was_known = place in self.admitted or record.added_at == -inf
            if was_known and record.removed_at < call.answered_at:
                self.refused_at.setdefault(place, call.answered_at)


def key_state(key: KeyRecord, now: float) -> str:
    """Return whether a key is valid, removed or unknown at a time."""
    if now < key.added_at:
        return "unknown"
    return "removed" if now >= key.removed_at else "valid"


def foreign_call_problem(entry: str, method: str, status: int | None) -> str | None:
    """Return why an answer to a call for another scope's job is wrong."""
    if status in ALLOWED_FOREIGN_STATUSES[method]:
        return None
    return f"SCOPE: {entry} answered a {method} of another scope with {status}"


def keys_in_logs(logs: Mapping[str, str], keys: Iterable[str]) -> list[str]:
    """Return the logs that contain an API key."""
    keys = tuple(keys)
    return [
        f"KEY: the log of {name} contains an API key"
        for name, text in logs.items()
        if any(key in text for key in keys)
    ]
