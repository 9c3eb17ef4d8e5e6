"""Supervisors, which restart failed asyncio tasks and can be nested."""

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
    """A child failed more often than its supervisor's policy allows."""


@dataclass(frozen=True)
class RestartPolicy:
    """Restarts allowed within a time window, and the delay before a restart."""

    max_restarts: int = 5
    window_seconds: float = 30.0
    first_delay_seconds: float = 0.05
    max_delay_seconds: float = 5.0

    def delay_seconds(self, restarts: int, rng: random.Random) -> float:
        """Return the delay before restart number ``restarts``; up to half is jitter."""
        ceiling = min(
            self.max_delay_seconds, self.first_delay_seconds * 2 ** (restarts - 1)
        )
        return rng.uniform(ceiling / 2, ceiling)


DEFAULT_POLICY = RestartPolicy()


class Supervisor:
    """Runs child tasks and restarts those that fail, within the limits of a policy.

    A child that returns is not restarted. The ``run`` method of a supervisor can be a
    child of another supervisor.
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
        """Add a child that ``run`` will start; ValueError if the name is taken."""
        if name in self.children:
            raise ValueError(f"supervisor {self.name} already has a child {name}")
        self.children[name] = factory

    async def run(self) -> None:
        """Run all children until they return or one exceeds its restart limit.

        Then cancels the other children and raises an ExceptionGroup that contains
        RestartLimitExceeded.
        """
        async with asyncio.TaskGroup() as group:
            for name, factory in self.children.items():
                group.create_task(self.run_child(name, factory), name=name)

    async def run_child(self, name: str, factory: TaskFactory) -> None:
        """Run a child, restarting it until it returns or exceeds the restart limit."""
        failures: deque[float] = deque()
        while True:
            try:
                await factory()
                return
            except Exception as error:
                now = self.clock.monotonic()
                failures.append(now)
                while failures and now - failures[0] > self.policy.window_seconds:
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
    """Run ``root`` until SIGTERM or SIGINT, then call ``shut_down`` and cancel it.

    If ``root`` ends before, return or raise as it does.
    """
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    root_task = asyncio.create_task(root.run(), name=root.name)
    signalled = asyncio.create_task(stop.wait(), name="stop-signal")
    await asyncio.wait({root_task, signalled}, return_when=asyncio.FIRST_COMPLETED)
    if root_task.done():
        signalled.cancel()
        await root_task
        return
    await shut_down()
    root_task.cancel()
    await asyncio.gather(root_task, return_exceptions=True)
