"""Draws a sequence of overlapping faults from a seed."""

import random
from dataclasses import dataclass
from enum import Enum

from .proxy import LinkMode

# Range of the seconds between the starts of two faults.
FAULT_INTERVAL_SECONDS = (0.2, 1.6)


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
LINK_MODES = [mode for mode in LinkMode if mode is not LinkMode.PASS]


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


def draw_faults(seed: int, seconds: float) -> list[Fault]:
    """Return the faults of a run of the given length."""
    rng = random.Random(seed)
    kinds = list(FAULT_PARAMETERS)
    weights = [FAULT_PARAMETERS[kind][0] for kind in kinds]
    faults: list[Fault] = []
    at = rng.uniform(*FAULT_INTERVAL_SECONDS)
    while at < seconds:
        kind = rng.choices(kinds, weights)[0]
        _, shortest, longest = FAULT_PARAMETERS[kind]
        fault = Fault(
            at=at,
            kind=kind,
            seconds=rng.uniform(shortest, longest),
            target=rng.randrange(1000),
            at_leader=rng.random() < 0.5,
            mode=rng.choice(LINK_MODES),
        )
        faults.append(fault)
        at += rng.uniform(*FAULT_INTERVAL_SECONDS)
    return faults
