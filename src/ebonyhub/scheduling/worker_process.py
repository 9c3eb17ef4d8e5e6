"""What the leader knows of one process of a worker: its clock, lease and ends.

A worker keeps its id and address when its process restarts, so a call that was meant
for the former process may be carried out by the next one, up to LATE_CALL_SECONDS after
it was sent. It may start a run there, forget ends by their numbers, and name a lease
end on a clock that has nothing to do with that of the next process.

Calls to a process therefore carry a fencing token that is higher than the tokens of all
calls to its predecessors. Once it has answered such a call, the process refuses theirs.
What they may have done before that is bounded: their leases by the longest lease that
a worker grants, their runs and ends by the report that comes with the answer.
"""

from dataclasses import dataclass, field

from ..ids import LeaderToken, WorkerId
from ..node_settings import DEFAULT_MAX_LEASE_SECONDS
from .health import WorkerHealth
from .listed_ends import EndQueue

# Bounds for converting elapsed local time to a worker's clock: that clock may run 2%
# slow, and CLOCK_MARGIN_MS covers the transit time of the response that was read.
SLOW_CLOCK_FACTOR = 1.03
CLOCK_MARGIN_MS = 100
# Transit time of two answers, by which a clock may seem to be ahead or behind.
CLOCK_TRANSIT_MS = 500
# Seconds for which a poll renews the lease of all runs on the worker. Longer than a
# change of leadership takes, and below the platform's limit.
WORKER_LEASE_SECONDS = 6.0
# Seconds within which a start order must reach its worker. Less than the 2 s for which
# an order without an answer may still be executed.
START_VALID_SECONDS = 1.8
# Seconds after which a call without an answer is not carried out any more. The
# platform's pages only say "seconds later" (docs/questions.md, 22).
LATE_CALL_SECONDS = 12.0

# Workers that have left and whose tokens are kept.
MAX_FORMER_WORKERS = 4096

# Lower than the tokens of all leaders.
NO_TOKEN = LeaderToken(0)


def late_effects_end(sent_at: float, max_lease_seconds: float) -> float:
    """Return until when a run may exist that a late call has started or prolonged.

    ``sent_at`` is the time of the call in monotonic seconds. Any process under the
    worker's id may have carried it out.
    """
    return sent_at + LATE_CALL_SECONDS + max_lease_seconds * SLOW_CLOCK_FACTOR


@dataclass(eq=False, slots=True)
class WorkerProcess:
    """The state of one worker process; a restart replaces it as a whole.

    Times are monotonic seconds of this entry, unless their names end in ``_ms``: those
    are on the worker's clock, which has its own origin in each process.
    """

    # Start of the process in ms since 1970; 0 if it is not known.
    born_ms: int = 0
    # Fencing token of calls to the process.
    token: LeaderToken = NO_TOKEN
    # Whether the token is higher than those of all calls to earlier processes.
    has_own_token: bool = True
    # Calls that were sent since then carry the token.
    token_set_at: float = float("-inf")
    # When the process first answered a call with its own token; None before.
    fenced_at: float | None = None
    max_lease_seconds: float = DEFAULT_MAX_LEASE_SECONDS
    # When the first report of the process was received, if it restarted under the id.
    found_at: float = float("-inf")
    # The clock in the last report, and when that report was received.
    clock_ms: int = 0
    clock_read_at: float = 0.0
    clock_known: bool = False
    # Latest lease end that the process may have been given, and when the last call was
    # sent that names one.
    lease_end_ms: int = 0
    granted_at: float = float("-inf")
    # Number of ends in the last report.
    listed_ends: int = 0
    # Sequence numbers of the last run end that was processed and acknowledged.
    last_seen_sequence: int = 0
    acknowledged_sequence: int = 0
    # Highest sequence number in an acknowledgement that was answered.
    answered_sequence: int = 0
    # Ends that are not acknowledged yet.
    ends: EndQueue = field(default_factory=EndQueue)
    health: WorkerHealth = field(default_factory=WorkerHealth)
    # When the speed of a run was last changed.
    throttled_at: float = float("-inf")
    # When a report was last requested since the end of a run was overdue.
    report_requested_at: float = float("-inf")

    def successor(self, born_ms: int, now: float) -> "WorkerProcess":
        """Return the state of a next process, which has reported at ``now``.

        It is called with the former token until it has one of its own.
        """
        return WorkerProcess(
            born_ms, self.token, has_own_token=False, found_at=now,
            max_lease_seconds=self.max_lease_seconds,
        )  # fmt: skip

    @property
    def is_fenced(self) -> bool:
        """Return whether the process refuses the calls to earlier processes."""
        return self.fenced_at is not None

    def set_token(self, token: LeaderToken, now: float) -> None:
        """Use a higher token from now on; calls with a lower one are to be refused."""
        self.token = token
        self.has_own_token = True
        self.token_set_at = now
        self.fenced_at = None

    def refuses_token(self, token: LeaderToken, sent_at: float) -> bool:
        """Return whether an answer shows that the process refuses a lower token.

        ``sent_at`` is when the call was sent that the process has answered.
        """
        return (
            self.has_own_token and sent_at >= self.token_set_at and token < self.token
        )

    def read_clock(self, clock_ms: int, sent_at: float, now: float) -> None:
        """Apply the clock of a report that was requested at ``sent_at``.

        Calls to earlier processes may have extended the lease until the first call with
        the process's own token, but by the longest lease at most.
        """
        self.clock_ms, self.clock_read_at = clock_ms, now
        self.clock_known = True
        if self.fenced_at is None and self.has_own_token:
            if sent_at < self.token_set_at:
                return
            self.fenced_at = now
            self.lease_end_ms = clock_ms + int(self.max_lease_seconds * 1000)

    def clock_now_ms(self, now: float) -> int:
        """Return an upper bound of the worker's clock at ``now``."""
        return self.clock_ms + int((now - self.clock_read_at) * 1000)

    def grant_lease(self, now: float) -> int:
        """Return the lease end of a poll that is sent now, and count it as granted."""
        return self._grant(now, WORKER_LEASE_SECONDS)

    def grant_start(self, now: float) -> int:
        """Return the deadline of a start that is sent now; it extends the lease."""
        return self._grant(now, START_VALID_SECONDS)

    def _grant(self, now: float, seconds: float) -> int:
        end_ms = self.clock_now_ms(now) + int(seconds * 1000)
        self.lease_end_ms = max(self.lease_end_ms, end_ms)
        self.granted_at = now
        return end_ms

    def acknowledgement(self) -> int:
        """Return the sequence number that the next poll acknowledges, 0 for none.

        A number is not sent again once it was answered: a poll that the next process
        carries out late would make it forget ends of its own.
        """
        is_new = self.acknowledged_sequence > self.answered_sequence
        return self.acknowledged_sequence if is_new else 0

    def has_clock(self, clock_ms: int, sent_at: float, now: float) -> bool:
        """Return whether a clock in an answer can be that of this process.

        The call was sent at ``sent_at`` and answered at ``now``.
        """
        elapsed_ms = (sent_at - self.clock_read_at) * 1000 / SLOW_CLOCK_FACTOR
        earliest = self.clock_ms + elapsed_ms - CLOCK_TRANSIT_MS
        return earliest <= clock_ms <= self.clock_now_ms(now) + CLOCK_TRANSIT_MS

    def next_may_start(self, unanswered_at: float, now: float) -> bool:
        """Return whether the next process may still run what was sent to this one.

        A start without an answer was sent before ``unanswered_at``. If this process has
        reported after the time in which the start may be carried out, no next one is
        left to do so. Otherwise later calls may extend the lease of the late run.
        """
        if self.clock_known and self.clock_read_at > unanswered_at + LATE_CALL_SECONDS:
            return False
        sent_at = max(unanswered_at, self.granted_at, self.found_at)
        return now <= late_effects_end(sent_at, self.max_lease_seconds)

    def lease_has_ended(self, now: float) -> bool:
        """Return whether every lease of the process has certainly ended.

        The process must have reported. Until it refuses the calls to its predecessors,
        a late one may still extend the lease.
        """
        if not self.is_fenced and now <= late_effects_end(
            self.found_at, self.max_lease_seconds
        ):
            return False
        elapsed_ms = (now - self.clock_read_at) * 1000 / SLOW_CLOCK_FACTOR
        return self.clock_ms + elapsed_ms > self.lease_end_ms + CLOCK_MARGIN_MS


class FormerWorkers:
    """The fencing tokens of workers that were removed during a term, by their ids."""

    def __init__(self) -> None:
        self.tokens: dict[WorkerId, LeaderToken] = {}
        self.removed_at: dict[WorkerId, float] = {}

    def add(self, worker_id: WorkerId, token: LeaderToken, now: float) -> None:
        """Keep the token of a worker; the worker that left first is dropped."""
        self.tokens.pop(worker_id, None)
        self.tokens[worker_id] = token
        self.removed_at[worker_id] = now
        if len(self.tokens) > MAX_FORMER_WORKERS:
            oldest = next(iter(self.tokens))
            del self.tokens[oldest], self.removed_at[oldest]

    def restore_token(
        self, worker_id: WorkerId, process: WorkerProcess, now: float
    ) -> None:
        """Use at least the token that the worker may have seen.

        Calls with that token may still be under way if it left a short time ago, so the
        process needs one of its own.
        """
        token = self.tokens.pop(worker_id, None)
        if token is None:
            return
        process.token = max(process.token, token)
        if now <= self.removed_at.pop(worker_id) + LATE_CALL_SECONDS:
            process.has_own_token = False
            process.found_at = now
