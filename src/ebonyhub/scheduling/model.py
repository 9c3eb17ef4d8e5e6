"""Types that scheduling and the adapter share."""

from dataclasses import dataclass
from enum import Enum

from ..ids import LeaderToken, RackId, ServiceName, TaskId, VmId, WorkerId
from ..jobs.model import Resources


@dataclass(frozen=True, slots=True)
class WorkerEntry:
    """What a worker says of itself in the store."""

    worker: WorkerId
    service: ServiceName
    address: str
    zone: str
    labels: tuple[str, ...]
    rack: RackId
    capacity: Resources
    draining: bool
    # Seconds until it leaves at the earliest, None while it does not drain.
    leaves_in: float | None
    born_ms: int
    vm: VmId


class RunOutcome(Enum):
    """How a run ended."""

    DONE = "done"
    # Through the task's own fault or the worker's.
    FAILED = "failed"
    STOPPED = "stopped"
    # The worker's lease ran out.
    LEASE_EXPIRED = "lapsed"
    # Another member of the gang ended.
    GANG_MEMBER_ENDED = "broken"
    # Waited too long for the other members of the gang.
    GANG_START_TIMEOUT = "alone"


@dataclass(frozen=True, slots=True)
class RunningTask:
    """A run that a worker lists as running."""

    task: TaskId
    number: int
    checkpoint: str
    percent: float
    # Tail of response times in ms of a serving task, thousandths of a core of others.
    usage: float


@dataclass(frozen=True, slots=True)
class EndedTask:
    """A run that a worker lists as ended; ``sequence`` counts a lifetime's ends."""

    sequence: int
    task: TaskId
    number: int
    kind: RunOutcome
    checkpoint: str


@dataclass(frozen=True, slots=True)
class WorkerReport:
    """Answer to a hold: the worker's clock and both of its lists."""

    clock_ms: int
    born_ms: int
    running: tuple[RunningTask, ...]
    ended: tuple[EndedTask, ...]


class OrderFailure(Enum):
    """Why an order to a worker did not succeed."""

    # A holder with a higher fencing token has given orders.
    FENCED = "fenced"
    # The run is not higher than one that ended or was stopped there.
    OLD_RUN = "old_run"
    # The order's deadline has passed on the worker's clock.
    LATE = "late"
    NO_CAPACITY = "no_capacity"
    # The advisor's ticket is missing or no longer valid.
    TICKET = "ticket"
    # Another lifetime answers at this address.
    OTHER_WORKER = "other_worker"
    # The worker did nothing.
    REFUSED = "refused"
    # The worker could not make sense of the order.
    INVALID = "invalid"
    # No connection was made, so nothing was sent.
    NOT_SENT = "not_sent"
    # May be carried out, now or seconds later.
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class StartOrder:
    """Order to start a run."""

    task: TaskId
    number: int
    text: str
    # On the worker's clock; the order is refused after it.
    deadline_ms: int
    token: LeaderToken
    checkpoint: str = ""
    ticket: str = ""
