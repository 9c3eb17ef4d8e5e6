"""Bounded request queue of one service, with priorities and deadlines."""

from collections import deque
from dataclasses import dataclass
from enum import Enum

from expression import Error, Ok, Result

from .errors import ErrorKind, Refusal

# While requests of both classes wait, one start in this many goes to a batch request,
# so that interactive load does not starve the batch class.
BATCH_START_INTERVAL = 8
# Weight of the newest sample in the exponential moving average of the service time.
SERVICE_TIME_WEIGHT = 0.1


class Priority(Enum):
    """Priority class of a request, with its value in the X-Priority header."""

    INTERACTIVE = "interactive"
    BATCH = "batch"


@dataclass(frozen=True)
class Ticket:
    """A request that waits for a slot; ``deadline`` is monotonic seconds.

    ``number`` is unique within the queue.
    """

    number: int
    priority: Priority
    deadline: float


class AdmissionQueue:
    """Queue of one service; callers pass in the time, as monotonic seconds."""

    def __init__(self, max_length: int) -> None:
        self.max_length = max_length
        self.waiting_tickets: dict[Priority, deque[Ticket]] = {
            priority: deque() for priority in Priority
        }
        self.mean_service_seconds = 0.0
        self.start_count = 0

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return sum(len(tickets) for tickets in self.waiting_tickets.values())

    def record_service_time(self, seconds: float) -> None:
        """Update the moving average of the time that a request holds its slot."""
        if self.mean_service_seconds == 0.0:
            self.mean_service_seconds = seconds
            return
        self.mean_service_seconds += SERVICE_TIME_WEIGHT * (
            seconds - self.mean_service_seconds
        )

    def expected_wait_seconds(self, priority: Priority, slots: int) -> float:
        """Estimate the seconds until a new request gets one of ``slots``.

        Interactive requests count only the interactive ones ahead of them.
        """
        requests_ahead = len(self.waiting_tickets[Priority.INTERACTIVE])
        if priority is Priority.BATCH:
            requests_ahead = len(self)
        return requests_ahead * self.mean_service_seconds / max(slots, 1)

    def enqueue(self, now: float, ticket: Ticket, slots: int) -> Result[None, Refusal]:
        """Add a request, or refuse it if it is not expected to start by its deadline.

        ``slots`` is the number of slots that this entry may use for the service.
        """
        if len(self) >= self.max_length:
            return Error(Refusal(ErrorKind.QUEUE_FULL))
        wait = self.expected_wait_seconds(ticket.priority, slots)
        if now + wait >= ticket.deadline:
            detail = f"expected wait {wait:.3f} s"
            return Error(Refusal(ErrorKind.DEADLINE_UNREACHABLE, detail))
        self.waiting_tickets[ticket.priority].append(ticket)
        return Ok(None)

    def drop_expired(self, now: float) -> list[Ticket]:
        """Remove and return the requests whose deadline has passed."""
        expired: list[Ticket] = []
        for priority, tickets in self.waiting_tickets.items():
            unexpired = deque(t for t in tickets if t.deadline > now)
            expired += [t for t in tickets if t.deadline <= now]
            self.waiting_tickets[priority] = unexpired
        return expired

    def discard(self, ticket: Ticket) -> None:
        """Remove a request that no longer waits; does nothing if it was not queued."""
        tickets = self.waiting_tickets[ticket.priority]
        if ticket in tickets:
            tickets.remove(ticket)

    def pop(self) -> Ticket | None:
        """Remove and return the request that starts next, None if there is none."""
        interactive = self.waiting_tickets[Priority.INTERACTIVE]
        batch = self.waiting_tickets[Priority.BATCH]
        if not interactive and not batch:
            return None
        self.start_count += 1
        is_batch_turn = self.start_count % BATCH_START_INTERVAL == 0
        if batch and (is_batch_turn or not interactive):
            return batch.popleft()
        return interactive.popleft()
