"""Gives queued requests of one service a slot on an instance."""

import asyncio
import random
from collections.abc import Mapping
from itertools import count

from expression import Error, Ok, Result

from .admission import AdmissionQueue, Priority, Ticket
from .balancing import HealthTracker, Instance, choose_instance
from .clock import Clock
from .errors import ErrorKind, Refusal
from .ids import InstanceId, ServiceName


class ServiceDispatcher:
    """Owns the queue, the instances and their health for one service."""

    def __init__(
        self, service: ServiceName, max_queue: int, clock: Clock, rng: random.Random
    ) -> None:
        self.service = service
        self.clock = clock
        self.rng = rng
        self.queue = AdmissionQueue(max_queue)
        self.instances: dict[InstanceId, Instance] = {}
        self.tracker = HealthTracker(min_available=1)
        self.waiters: dict[Ticket, asyncio.Future[Instance]] = {}
        self.numbers = count(1)

    def configure(
        self, instances: Mapping[InstanceId, Instance], min_available: int
    ) -> None:
        """Replace the set of instances; slots in use are carried over."""
        for key, instance in instances.items():
            previous = self.instances.get(key)
            if previous is not None:
                instance.in_use = previous.in_use
        self.instances = dict(instances)
        self.tracker.min_available = min_available
        self.start_waiting()

    def usable_slots(self) -> int:
        """Return the number of slots on instances that accept work."""
        return sum(i.slots for i in self.instances.values() if i.accepts_work)

    def choose(self, avoid: frozenset[InstanceId] = frozenset()) -> Instance | None:
        """Return an instance with a free slot or None."""
        return choose_instance(
            list(self.instances.values()),
            self.tracker,
            self.clock.monotonic(),
            self.rng,
            avoid,
        )

    async def acquire(
        self, priority: Priority, deadline: float, avoid: frozenset[InstanceId]
    ) -> Result[Instance, Refusal]:
        """Wait for a slot until ``deadline`` (monotonic seconds)."""
        if not any(i.accepts_work for i in self.instances.values()):
            return Error(Refusal(ErrorKind.NO_HEALTHY_INSTANCE))
        if not self.queue:
            instance = self.choose(avoid)
            if instance is not None:
                instance.in_use += 1
                return Ok(instance)
        return await self._wait(priority, deadline)

    async def _wait(
        self, priority: Priority, deadline: float
    ) -> Result[Instance, Refusal]:
        now = self.clock.monotonic()
        ticket = Ticket(next(self.numbers), priority, deadline)
        queued = self.queue.enqueue(now, ticket, self.usable_slots())
        if queued.is_error():
            return Error(queued.error)
        future = asyncio.get_running_loop().create_future()
        self.waiters[ticket] = future
        try:
            async with asyncio.timeout(deadline - now):
                return Ok(await asyncio.shield(future))
        except TimeoutError:
            self._abandon(ticket, future)
            return Error(Refusal(ErrorKind.DEADLINE_EXPIRED_IN_QUEUE))
        except asyncio.CancelledError:
            self._abandon(ticket, future)
            raise
        finally:
            self.waiters.pop(ticket, None)

    def _abandon(self, ticket: Ticket, future: asyncio.Future[Instance]) -> None:
        """Give back a slot that was assigned in the moment the waiter left."""
        self.queue.discard(ticket)
        if future.done() and not future.cancelled():
            self.release(future.result())
        future.cancel()

    def release(self, instance: Instance, held_seconds: float | None = None) -> None:
        """Free a slot and start waiting requests."""
        # The instance may have been replaced by a new configuration meanwhile.
        current = self.instances.get(instance.id, instance)
        current.in_use -= 1
        if held_seconds is not None:
            self.queue.record_service_time(held_seconds)
        self.start_waiting()

    def start_waiting(self) -> None:
        """Assign free slots to waiting requests in queue order."""
        while self.queue:
            instance = self.choose()
            if instance is None:
                return
            ticket = self.queue.pop()
            future = self.waiters.get(ticket) if ticket else None
            if future is None or future.done():
                continue
            instance.in_use += 1
            future.set_result(instance)

    def record_success(self, instance: Instance) -> None:
        """Note that the instance answered."""
        self.tracker.record_success(instance.id)

    def record_failure(self, instance: Instance) -> bool:
        """Note a failed attempt; return whether the instance was ejected."""
        known = [i.id for i in self.instances.values() if i.accepts_work]
        return self.tracker.record_failure(instance.id, self.clock.monotonic(), known)
