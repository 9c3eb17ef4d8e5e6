"""Draws a sequence of overlapping faults from a seed."""

import random
from dataclasses import dataclass
from enum import Enum

from .foreign_documents import DocumentForm, EntryForm, EntryName
from .proxy import LinkMode

# Range of the seconds between the starts of two faults.
FAULT_INTERVAL_SECONDS = (0.2, 1.6)
# The same for faults of other writers, and for the events within a series.
FOREIGN_INTERVAL_SECONDS = (0.3, 3.0)
SERIES_INTERVAL_SECONDS = (0.02, 0.4)
SERIES_LENGTHS = (3, 8)
# Ranges of the seconds for which a repeated change is there and away.
PRESENT_SECONDS = (0.02, 2.0)
ABSENT_SECONDS = (0.02, 4.0)
# Share of repeated changes that come many times a second, which uniform draws from the
# ranges above would almost never produce.
RAPID_SHARE = 0.5
RAPID_SECONDS = (0.02, 0.1)
# Share of foreign documents that stay, and of those that other writers never remove.
LASTING_SHARE = 0.4
PERMANENT_SHARE = 0.3


class FaultKind(Enum):
    """Fault that the soak injects from outside the entry processes."""

    KILL = "kill"
    STOP = "stop"
    PAUSE = "pause"
    RELOAD = "reload"
    KILL_ALL = "kill_all"
    STORE_LINK = "store_link"
    STORE_DOWN = "store_down"
    STORE_SLOW = "store_slow"
    STORE_LOSES_ANSWERS = "store_loses_answers"
    STORE_DROPS_HISTORY = "store_drops_history"
    REVOKE_LEASES = "revoke_leases"
    WORKER_LINK = "worker_link"
    WORKER_CRASH = "worker_crash"
    WORKER_ENTRY = "worker_entry"
    CONFIGURE = "configure"
    FOREIGN_ENTRY = "foreign_entry"
    FOREIGN_WAVE = "foreign_wave"
    FOREIGN_STATUS = "foreign_status"
    LEADER_LEASE_ENDS = "leader_lease_ends"
    LEADER_KEY_REMOVED = "leader_key_removed"
    ODD_REPORTS = "odd_reports"
    WORKER_LEAVES = "worker_leaves"
    STORE_WRITES_LATE = "store_writes_late"
    WORKER_RECUT = "worker_recut"


# By kind: weight, shortest and longest duration in seconds.
FAULT_PARAMETERS: dict[FaultKind, tuple[int, float, float]] = {
    FaultKind.KILL: (4, 0.1, 1.5),
    FaultKind.STOP: (3, 0.1, 1.0),
    FaultKind.PAUSE: (4, 0.3, 4.0),
    FaultKind.RELOAD: (1, 0.0, 0.0),
    FaultKind.KILL_ALL: (1, 0.1, 1.0),
    FaultKind.STORE_LINK: (4, 0.5, 4.0),
    FaultKind.STORE_DOWN: (1, 0.5, 4.0),
    FaultKind.STORE_SLOW: (1, 0.5, 3.0),
    FaultKind.STORE_LOSES_ANSWERS: (2, 0.5, 3.0),
    FaultKind.STORE_DROPS_HISTORY: (1, 0.0, 0.0),
    FaultKind.REVOKE_LEASES: (1, 0.0, 0.0),
    FaultKind.WORKER_LINK: (4, 0.5, 9.0),
    FaultKind.WORKER_CRASH: (2, 0.3, 3.0),
    FaultKind.WORKER_ENTRY: (1, 0.5, 3.0),
    FaultKind.CONFIGURE: (2, 0.0, 0.0),
}
# Drawn as a second sequence beside the first, so that the faults of the seeds that are
# kept for their causes stay as they were.
FOREIGN_FAULT_PARAMETERS: dict[FaultKind, tuple[int, float, float]] = {
    FaultKind.FOREIGN_ENTRY: (10, 1.0, 10.0),
    FaultKind.FOREIGN_WAVE: (1, 0.5, 5.0),
    FaultKind.FOREIGN_STATUS: (1, 0.5, 5.0),
    FaultKind.LEADER_LEASE_ENDS: (2, 0.5, 8.0),
    FaultKind.LEADER_KEY_REMOVED: (2, 0.5, 8.0),
    FaultKind.ODD_REPORTS: (3, 0.3, 5.0),
    FaultKind.WORKER_LEAVES: (2, 0.5, 4.0),
    FaultKind.STORE_WRITES_LATE: (2, 0.5, 3.0),
}
# Kinds of which several follow each other within a second.
SERIES_KINDS = [
    FaultKind.KILL, FaultKind.STOP, FaultKind.RELOAD, FaultKind.CONFIGURE,
    FaultKind.STORE_DROPS_HISTORY, FaultKind.WORKER_CRASH, FaultKind.WORKER_LEAVES,
]  # fmt: skip
SERIES_WEIGHT = 3
# Range of the seconds between two restarts of workers that are cut off soon after.
RECUT_INTERVAL_SECONDS = (6.5, 14.0)
# Ranges of the seconds for which calls are held back before the crash, the worker is
# down, and its next process can be reached; and of the cut, which outlasts a lease.
HOLD_SECONDS = (0.1, 1.2)
DOWN_SECONDS = (0.3, 1.8)
CUT_AFTER_SECONDS = (0.3, 3.0)
CUT_SECONDS = (7.0, 11.0)
# Share of such workers that restart twice.
TWICE_SHARE = 0.2
# Share of seeds in which two workers do so after the other faults, when no change of
# the leader delays the loss of a worker, and the seconds until then.
CALM_RECUT_SHARE = 0.35
CALM_RECUTS = 2
CALM_SECONDS = (2.0, 4.0)
CUT_MODES = [LinkMode.HOLD, LinkMode.SILENT, LinkMode.RESET]
LINK_MODES = [mode for mode in LinkMode if mode is not LinkMode.PASS]


@dataclass(frozen=True, slots=True)
class ForeignChange:
    """How a foreign document or an odd answer looks, and how often it changes."""

    entry_form: EntryForm
    entry_name: EntryName
    document_form: DocumentForm
    # Seconds for which the document or the leader stays and is away; 0 seconds away
    # means that it does not change.
    present_seconds: float
    absent_seconds: float
    # Whether it is still there when the load has ended.
    permanent: bool


@dataclass(frozen=True, slots=True)
class Recut:
    """How a worker restarts before it is cut off."""

    hold_seconds: float
    # For each restart: seconds for which the worker is down, and up after that.
    restarts: tuple[tuple[float, float], ...]
    # Whether the crash resets the connections; else they stay open.
    resets_links: bool


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault; ``at`` and ``seconds`` count from the start of the load."""

    at: float
    kind: FaultKind
    seconds: float
    # Index of the entry or worker, taken modulo their number.
    target: int
    # Hits the current leader instead of the target.
    at_leader: bool
    mode: LinkMode
    foreign: ForeignChange | None = None
    recut: Recut | None = None


def draw_faults(seed: int, seconds: float) -> list[Fault]:
    """Return the faults of a run of the given length, in order of their start."""
    faults = [
        *_draw_outages(seed, seconds),
        *_draw_foreign_faults(seed, seconds),
        *_draw_recuts(seed, seconds),
    ]
    return sorted(faults, key=lambda fault: fault.at)


def _draw_outages(seed: int, seconds: float) -> list[Fault]:
    """Return faults of processes, links, the store and the workers."""
    rng = random.Random(seed)
    kinds = list(FAULT_PARAMETERS)
    weights = [FAULT_PARAMETERS[kind][0] for kind in kinds]
    faults: list[Fault] = []
    at = rng.uniform(*FAULT_INTERVAL_SECONDS)
    while at < seconds:
        kind = rng.choices(kinds, weights)[0]
        faults.append(_draw_fault(rng, at, kind))
        at += rng.uniform(*FAULT_INTERVAL_SECONDS)
    return faults


def _draw_fault(rng: random.Random, at: float, kind: FaultKind) -> Fault:
    _, shortest, longest = {**FAULT_PARAMETERS, **FOREIGN_FAULT_PARAMETERS}[kind]
    return Fault(
        at=at,
        kind=kind,
        seconds=rng.uniform(shortest, longest),
        target=rng.randrange(1000),
        at_leader=rng.random() < 0.5,
        mode=rng.choice(LINK_MODES),
    )


def _draw_foreign_faults(seed: int, seconds: float) -> list[Fault]:
    """Return faults of other writers, ends of terms, and series of restarts."""
    rng = random.Random(f"{seed}/foreign")
    kinds = [*FOREIGN_FAULT_PARAMETERS, None]
    weights = [FOREIGN_FAULT_PARAMETERS[k][0] if k else SERIES_WEIGHT for k in kinds]
    faults: list[Fault] = []
    at = rng.uniform(*FOREIGN_INTERVAL_SECONDS)
    while at < seconds:
        kind = rng.choices(kinds, weights)[0]
        if kind is None:
            faults += _draw_series(rng, at)
        else:
            faults.append(_draw_foreign_fault(rng, at, kind))
        at += rng.uniform(*FOREIGN_INTERVAL_SECONDS)
    return faults


def _draw_series(rng: random.Random, at: float) -> list[Fault]:
    """Return a series of restarts, signals and configurations within seconds."""
    faults = []
    for _ in range(rng.randint(*SERIES_LENGTHS)):
        faults.append(_draw_fault(rng, at, rng.choice(SERIES_KINDS)))
        at += rng.uniform(*SERIES_INTERVAL_SECONDS)
    return faults


def _draw_foreign_fault(rng: random.Random, at: float, kind: FaultKind) -> Fault:
    drawn = _draw_fault(rng, at, kind)
    rapid = rng.random() < RAPID_SHARE
    present = rng.uniform(*(RAPID_SECONDS if rapid else PRESENT_SECONDS))
    absent = rng.uniform(*(RAPID_SECONDS if rapid else ABSENT_SECONDS))
    lasting = rng.random() < LASTING_SHARE
    foreign = ForeignChange(
        entry_form=rng.choice(list(EntryForm)),
        entry_name=rng.choice(list(EntryName)),
        document_form=rng.choice(list(DocumentForm)),
        present_seconds=present,
        absent_seconds=0.0 if lasting else absent,
        permanent=rng.random() < PERMANENT_SHARE,
    )
    return Fault(
        drawn.at, kind, drawn.seconds, drawn.target, drawn.at_leader, drawn.mode,
        foreign,
    )  # fmt: skip


def _draw_recuts(seed: int, seconds: float) -> list[Fault]:
    """Return restarts of workers under their ids that are soon followed by a cut.

    A sequence of its own, as the faults of other writers.
    """
    rng = random.Random(f"{seed}/recuts")
    faults: list[Fault] = []
    if rng.random() < CALM_RECUT_SHARE:
        first = rng.randrange(1000)
        for target in range(first, first + CALM_RECUTS):
            at = seconds + rng.uniform(*CALM_SECONDS)
            faults.append(_draw_recut(rng, at, target))
    at = rng.uniform(*RECUT_INTERVAL_SECONDS)
    while at < seconds:
        faults.append(_draw_recut(rng, at, rng.randrange(1000)))
        at += rng.uniform(*RECUT_INTERVAL_SECONDS)
    return faults


def _draw_recut(rng: random.Random, at: float, target: int) -> Fault:
    restarts = 2 if rng.random() < TWICE_SHARE else 1
    recut = Recut(
        hold_seconds=rng.uniform(*HOLD_SECONDS),
        restarts=tuple(
            (rng.uniform(*DOWN_SECONDS), rng.uniform(*CUT_AFTER_SECONDS))
            for _ in range(restarts)
        ),
        resets_links=rng.random() < 0.5,
    )
    return Fault(
        at, FaultKind.WORKER_RECUT, rng.uniform(*CUT_SECONDS), target, False,
        rng.choice(CUT_MODES), recut=recut,
    )  # fmt: skip
