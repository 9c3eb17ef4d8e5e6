"""Orders that wait for a connection to their worker.

Each worker gets at most as many orders at a time as there are connections to it, and
all workers together as many as the event loop carries without delaying the renewal of
the leader's lease. Orders that wait here use up nothing of their time limit.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from ..ids import WorkerId
from .orders import StartRun, StopRun, ThrottleRun

WorkerOrder = StartRun | StopRun | ThrottleRun

# Orders under way to one worker: its connections, except two for reports.
MAX_ORDERS_PER_WORKER = 10
# Orders under way to all workers.
MAX_ORDERS = 128


@dataclass(slots=True)
class WorkerQueue:
    """The orders for one worker that have not been sent yet."""

    # Before the starts, since they free capacity and end what is not wanted.
    stops: dict[StopRun, None] = field(default_factory=dict)
    others: deque[WorkerOrder] = field(default_factory=deque)
    under_way: int = 0

    def add(self, order: WorkerOrder) -> None:
        """Add an order; a stop that waits already is not added again."""
        if isinstance(order, StopRun):
            self.stops[order] = None
        else:
            self.others.append(order)

    def take(self) -> WorkerOrder | None:
        """Remove and return the next order, None if there is none to be sent now."""
        if self.under_way >= MAX_ORDERS_PER_WORKER:
            return None
        if self.stops:
            order = next(iter(self.stops))
            del self.stops[order]
            return order
        return self.others.popleft() if self.others else None


class OrderQueue:
    """Sends orders, those of different workers in turn.

    ``send`` begins to send an order; ``order_done`` must be called once it has ended.
    """

    def __init__(self, send: Callable[[WorkerId, WorkerOrder], None]) -> None:
        self.send = send
        self.queues: dict[WorkerId, WorkerQueue] = {}
        # Workers that may have an order to send, as an ordered set.
        self.turns: dict[WorkerId, None] = {}
        self.under_way = 0

    def add(self, worker_id: WorkerId, order: WorkerOrder) -> None:
        """Add an order; it is sent by the next ``send_waiting``."""
        self.queues.setdefault(worker_id, WorkerQueue()).add(order)
        self.turns[worker_id] = None

    def send_waiting(self) -> None:
        """Send orders as far as the limits allow."""
        while self.turns and self.under_way < MAX_ORDERS:
            worker_id = next(iter(self.turns))
            del self.turns[worker_id]
            queue = self.queues[worker_id]
            order = queue.take()
            if order is None:
                continue
            queue.under_way += 1
            self.under_way += 1
            self.turns[worker_id] = None
            self.send(worker_id, order)

    def close(self) -> None:
        """Drop the orders that have not been sent, and send no others."""
        self.turns.clear()
        for queue in self.queues.values():
            queue.stops.clear()
            queue.others.clear()

    def order_done(self, worker_id: WorkerId) -> None:
        """Count an order as ended, and send others in its place."""
        queue = self.queues[worker_id]
        queue.under_way -= 1
        self.under_way -= 1
        if queue.stops or queue.others:
            self.turns[worker_id] = None
        elif not queue.under_way:
            del self.queues[worker_id]
            self.turns.pop(worker_id, None)
        self.send_waiting()
