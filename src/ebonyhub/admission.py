"""Bounded queue of one service with priorities and deadlines."""

from collections import deque
from dataclasses import dataclass
from enum import Enum

from expression import Error, Ok, Result

from .errors import ErrorKind, Refusal

# One in this many starts goes to batch requests when both classes wait.
BATCH_SHARE = 8
# Weight of the newest service time in the moving average.
SERVICE_TIME_WEIGHT = 0.1


class Priority(Enum):
    """Priority class of a request."""

    INTERACTIVE = "interactive"
    BATCH = "batch"


@dataclass(frozen=True)
class Ticket:
    """A request that waits for a slot; ``deadline`` is monotonic seconds."""

    number: int
    priority: Priority
    deadline: float


class AdmissionQueue:
    """Queue of one service; time is passed in."""

    def __init__(self, max_length: int) -> None:
        self.max_length = max_length
        self.waiting: dict[Priority, deque[Ticket]] = {
            priority: deque() for priority in Priority
        }
        self.service_seconds = 0.0
        self.starts = 0

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return sum(len(tickets) for tickets in self.waiting.values())

    def record_service_time(self, seconds: float) -> None:
        """Update the moving average of how long a request holds a slot."""
        if self.service_seconds == 0.0:
            self.service_seconds = seconds
            return
        self.service_seconds += SERVICE_TIME_WEIGHT * (seconds - self.service_seconds)

    def expected_wait_seconds(self, priority: Priority, slots: int) -> float:
        """Estimate the wait of a new request behind those that go before it."""
        ahead = len(self.waiting[Priority.INTERACTIVE])
        if priority is Priority.BATCH:
            ahead = len(self)
        return ahead * self.service_seconds / max(slots, 1)

    def enqueue(self, now: float, ticket: Ticket, slots: int) -> Result[None, Refusal]:
        """Add a request, or refuse it at once if it can't start in time.

        ``slots`` is the number of slots that this entry may use for the service.
        """
        if len(self) >= self.max_length:
            return Error(Refusal(ErrorKind.QUEUE_FULL))
        wait = self.expected_wait_seconds(ticket.priority, slots)
        if now + wait >= ticket.deadline:
            detail = f"expected wait {wait:.3f} s"
            return Error(Refusal(ErrorKind.DEADLINE_UNREACHABLE, detail))
        self.waiting[ticket.priority].append(ticket)
        return Ok(None)

    def drop_expired(self, now: float) -> list[Ticket]:
        """Remove and return the requests whose deadline has passed."""
        expired: list[Ticket] = []
        for priority, tickets in self.waiting.items():
            kept = deque(t for t in tickets if t.deadline > now)
            expired += [t for t in tickets if t.deadline <= now]
            self.waiting[priority] = kept
        return expired

    def discard(self, ticket: Ticket) -> None:
        """Remove a request whose caller has gone."""
        tickets = self.waiting[ticket.priority]
        if ticket in tickets:
            tickets.remove(ticket)

    def pop(self) -> Ticket | None:
        """Remove and return the request that starts next."""
        interactive = self.waiting[Priority.INTERACTIVE]
        batch = self.waiting[Priority.BATCH]
        if not interactive and not batch:
            return None
        self.starts += 1
        batch_turn = self.starts % BATCH_SHARE == 0
        if batch and (batch_turn or not interactive):
            return batch.popleft()
        return interactive.popleft()
