"""Types shared by the scheduler and the platform's worker client."""

from dataclasses import dataclass
from enum import Enum

from ..ids import LeaderToken, RackId, ServiceName, TaskId, VmId, WorkerId
from ..jobs.model import Resources


@dataclass(frozen=True, slots=True)
class WorkerEntry:
    """A worker's registration in the store."""

    worker: WorkerId
    service: ServiceName
    address: str
    zone: str
    labels: tuple[str, ...]
    rack: RackId
    capacity: Resources
    draining: bool
    # Minimum seconds until a draining worker shuts down; None if it does not drain.
    leaves_in: float | None
    # Start of the worker process in ms since 1970; tells restarts under one id apart.
    born_ms: int
    vm: VmId


class RunOutcome(Enum):
    """How a run ended."""

    DONE = "done"
    # The task failed, through a fault of its own or of the worker.
    FAILED = "failed"
    STOPPED = "stopped"
    # The worker's lease ran out before the leader renewed it.
    LEASE_EXPIRED = "lapsed"
    # Another member of the gang ended.
    GANG_MEMBER_ENDED = "broken"
    # The other members of the gang did not start in time.
    GANG_START_TIMEOUT = "alone"


@dataclass(frozen=True, slots=True)
class RunningTask:
    """An entry in a worker's list of running tasks."""

    task: TaskId
    number: int
    checkpoint: str
    percent: float
    # Tail latency in ms for a serving task, thousandths of a core for others.
    usage: float


@dataclass(frozen=True, slots=True)
class EndedTask:
    """An entry in a worker's list of ended runs.

    ``sequence`` counts the ends since the worker process started, from 1.
    """

    sequence: int
    task: TaskId
    number: int
    outcome: RunOutcome
    checkpoint: str


@dataclass(frozen=True, slots=True)
class WorkerReport:
    """A worker's answer to a poll: its clock, and its running and ended tasks."""

    clock_ms: int
    # Start of the worker process in ms since 1970, 0 if the worker does not report it.
    born_ms: int
    running: tuple[RunningTask, ...]
    ended: tuple[EndedTask, ...]
    # False if a row could not be read. Runs that are not listed may then exist, and
    # ``ended`` stops before the first end that could not be read.
    complete: bool = True


class OrderFailure(Enum):
    """Why an order to a worker did not succeed."""

    # The worker has seen a higher fencing token, so a newer leader exists.
    FENCED = "fenced"
    # A run of the task with this or a higher number has ended or been stopped there.
    OLD_RUN = "old_run"
    # The order's deadline has passed on the worker's clock.
    LATE = "late"
    NO_CAPACITY = "no_capacity"
    # The advisor's ticket is missing or no longer valid.
    TICKET = "ticket"
    # Another worker process now listens at this address.
    OTHER_WORKER = "other_worker"
    # The worker rejected the order without acting on it.
    REFUSED = "refused"
    # The worker could not parse the order.
    INVALID = "invalid"
    # Not sent, since it was not wanted any more when its turn came.
    WITHDRAWN = "withdrawn"
    # No connection was made, so nothing was sent.
    NOT_SENT = "not_sent"
    # No usable answer; the worker may execute the order, even seconds later.
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class StartOrder:
    """Order to start a run; ``text`` is the job specification as submitted."""

    task: TaskId
    number: int
    text: str
    # On the worker's clock; the worker rejects the order after this time.
    deadline_ms: int
    token: LeaderToken
    checkpoint: str = ""
    ticket: str = ""
