"""Supervisor tree of asyncio tasks."""

import asyncio
import random
import signal
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from .clock import Clock
from .events import Event, log_event

TaskFactory = Callable[[], Awaitable[None]]


class RestartLimitExceeded(Exception):
    """Raised to the parent when a child fails too often."""


@dataclass(frozen=True)
class RestartPolicy:
    """How often a child may fail and how long to wait before it is started again."""

    max_restarts: int = 5
    within_seconds: float = 30.0
    first_delay_seconds: float = 0.05
    max_delay_seconds: float = 5.0

    def delay_seconds(self, restarts: int, rng: random.Random) -> float:
        """Return the delay before restart number ``restarts``, with full jitter."""
        ceiling = min(
            self.max_delay_seconds, self.first_delay_seconds * 2 ** (restarts - 1)
        )
        return rng.uniform(ceiling / 2, ceiling)


DEFAULT_POLICY = RestartPolicy()


class Supervisor:
    """Runs child tasks, restarts those that fail, and gives up past the limit.

    A child that returns is finished and is not restarted. A supervisor is itself a
    valid child (pass its ``run``), which makes a tree.
    """

    def __init__(
        self,
        name: str,
        clock: Clock,
        rng: random.Random,
        policy: RestartPolicy = DEFAULT_POLICY,
    ) -> None:
        self.name = name
        self.clock = clock
        self.rng = rng
        self.policy = policy
        self.children: dict[str, TaskFactory] = {}

    def add(self, name: str, factory: TaskFactory) -> None:
        """Register a child; it starts when ``run`` is called."""
        if name in self.children:
            raise ValueError(f"supervisor {self.name} already has a child {name}")
        self.children[name] = factory

    async def run(self) -> None:
        """Run all children until they return or one exceeds its restart limit.

        Raises RestartLimitExceeded after the other children have been cancelled.
        """
        async with asyncio.TaskGroup() as group:
            for name, factory in self.children.items():
                group.create_task(self.run_child(name, factory), name=name)

    async def run_child(self, name: str, factory: TaskFactory) -> None:
        """Run one child with restarts."""
        failures: deque[float] = deque()
        while True:
            try:
                await factory()
                return
            except Exception as error:
                now = self.clock.monotonic()
                failures.append(now)
                while failures and now - failures[0] > self.policy.within_seconds:
                    failures.popleft()
                if len(failures) > self.policy.max_restarts:
                    log_event(
                        Event.RESTART_LIMIT_EXCEEDED, task=name, error=repr(error)
                    )
                    raise RestartLimitExceeded(f"{self.name}/{name}") from error
                log_event(Event.SUPERVISED_TASK_RESTARTED, task=name, error=repr(error))
                delay = self.policy.delay_seconds(len(failures), self.rng)
                await asyncio.sleep(delay)


async def run_until_signal(
    root: Supervisor, shut_down: Callable[[], Awaitable[None]]
) -> None:
    """Run a tree until SIGTERM or SIGINT, then shut down and cancel what is left.

    Raises what the tree raises if it ends before.
    """
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    tree = asyncio.create_task(root.run(), name=root.name)
    stopped = asyncio.create_task(stop.wait(), name="stop-signal")
    await asyncio.wait({tree, stopped}, return_when=asyncio.FIRST_COMPLETED)
    if tree.done():
        stopped.cancel()
        await tree
        return
    await shut_down()
    tree.cancel()
    await asyncio.gather(tree, return_exceptions=True)
