"""Assigns slots on the instances of one service to its requests."""

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
    """Queues the requests of one service and assigns them slots on its instances.

    ``waiters`` holds the future of each queued ticket, which is set to the instance.
    """

    def __init__(
        self,
        service: ServiceName,
        max_queue_length: int,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self.service = service
        self.clock = clock
        self.rng = rng
        self.queue = AdmissionQueue(max_queue_length)
        self.instances: dict[InstanceId, Instance] = {}
        self.health_tracker = HealthTracker(min_available=1)
        self.waiters: dict[Ticket, asyncio.Future[Instance]] = {}
        self.ticket_numbers = count(1)

    def configure(
        self, instances: Mapping[InstanceId, Instance], min_available: int
    ) -> None:
        """Replace the set of instances; slots in use of those that stay are kept."""
        for instance_id, instance in instances.items():
            previous = self.instances.get(instance_id)
            if previous is not None:
                instance.slots_in_use = previous.slots_in_use
        self.instances = dict(instances)
        self.health_tracker.min_available = min_available
        self.assign_free_slots()

    def usable_slots(self) -> int:
        """Return the number of slots, free or not, on instances that accept work."""
        return sum(
            instance.slots
            for instance in self.instances.values()
            if instance.accepts_work
        )

    def choose_free_instance(
        self, tried: frozenset[InstanceId] = frozenset()
    ) -> Instance | None:
        """Return an instance with a free slot or None; those in ``tried`` come last."""
        return choose_instance(
            list(self.instances.values()),
            self.health_tracker,
            self.clock.monotonic(),
            self.rng,
            tried,
        )

    async def acquire(
        self, priority: Priority, deadline: float, tried: frozenset[InstanceId]
    ) -> Result[Instance, Refusal]:
        """Take a slot on an instance, waiting until ``deadline`` (monotonic seconds).

        ``tried`` are the instances of earlier attempts. They are avoided if a slot is
        free at once; a request that has to wait may get one of them again.
        """
        if not any(instance.accepts_work for instance in self.instances.values()):
            return Error(Refusal(ErrorKind.NO_HEALTHY_INSTANCE))
        if not self.queue:
            instance = self.choose_free_instance(tried)
            if instance is not None:
                instance.slots_in_use += 1
                return Ok(instance)
        return await self._wait_in_queue(priority, deadline)

    async def _wait_in_queue(
        self, priority: Priority, deadline: float
    ) -> Result[Instance, Refusal]:
        now = self.clock.monotonic()
        ticket = Ticket(next(self.ticket_numbers), priority, deadline)
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
        """Leave the queue; releases a slot that was assigned in the meantime."""
        self.queue.discard(ticket)
        if future.done() and not future.cancelled():
            self.release(future.result())
        future.cancel()

    def release(self, instance: Instance, held_seconds: float | None = None) -> None:
        """Free a slot and assign it to a queued request.

        ``held_seconds`` is how long the request held the slot; None leaves the average
        service time as it is.
        """
        # A new configuration may have replaced the instance since the slot was taken.
        current = self.instances.get(instance.id, instance)
        current.slots_in_use -= 1
        if held_seconds is not None:
            self.queue.record_service_time(held_seconds)
        self.assign_free_slots()

    def assign_free_slots(self) -> None:
        """Assign free slots to queued requests in queue order."""
        while self.queue:
            instance = self.choose_free_instance()
            if instance is None:
                return
            ticket = self.queue.pop()
            future = self.waiters.get(ticket) if ticket else None
            if future is None or future.done():
                continue
            instance.slots_in_use += 1
            future.set_result(instance)

    def record_success(self, instance: Instance) -> None:
        """Count a response, which resets the ejection state of the instance."""
        self.health_tracker.record_success(instance.id)

    def record_failure(self, instance: Instance) -> bool:
        """Count a failed attempt; return whether it ejected the instance."""
        accepting = [
            other.id for other in self.instances.values() if other.accepts_work
        ]
        return self.health_tracker.record_failure(
            instance.id, self.clock.monotonic(), accepting
        )
