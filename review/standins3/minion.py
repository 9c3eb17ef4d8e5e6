"""Stand-in of a minion, as PROTOCOL.md describes it."""

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from .http import Answer, Request

MAX_HOLD_MS = 10_000
STOP_MS = 200
STEP_SECONDS = 0.01
STARTUP_MS = 100
CHECKPOINT_MS = 1_000

# Called with what happened ("start", "end", ...) and its details.
Recorder = Callable[..., None]


@dataclass
class Run:
    """A work item on a minion; times are milliseconds of the minion's clock."""

    number: int
    began_ms: int
    # None for a work item that lasts.
    length_ms: int | None
    fails: bool = False
    stop_at_ms: int | None = None
    saved: str = ""


def work_of(spec: str) -> tuple[int | None, bool]:
    """Return the run time that a job's ``Spec`` gives and whether its runs fail."""
    words = spec.split()
    if "lasts" in words:
        return None, False
    for word in words:
        if word.startswith("ms="):
            return int(word[3:]), "fails" in words
    return 800, "fails" in words


@dataclass
class Minion:
    """One life of a machine; ``calls_held`` leaves calls unanswered and undone."""

    ident: str
    service: str
    machine: str
    rack: str
    zone: str
    address: str
    record: Recorder
    capacity: dict[str, int]
    born: int = field(default_factory=lambda: int(time.time() * 1000))
    origin: float = field(default_factory=time.monotonic)
    up: bool = True
    draining: bool = False
    # The minion's clock at its start; each life has another one.
    clock_at_start_ms: int = 480_000
    token: int = 0
    lease_end_ms: int = 0
    runs: dict[str, Run] = field(default_factory=dict)
    closed: dict[str, int] = field(default_factory=dict)
    ends: list[list[Any]] = field(default_factory=list)
    sequence: int = 0
    ended: asyncio.Event = field(default_factory=asyncio.Event)
    # Its channels are cut: calls get no answer and are not carried out.
    cut: bool = False
    # Tells whether a start carries the ticket that its step demands.
    has_ticket: Callable[["Minion", dict[str, Any]], bool] = lambda *_: True
    # Gets the body of each start that is left unanswered, to be carried out late.
    hold_start: Callable[[dict[str, Any]], bool] = lambda _: False

    def clock_ms(self) -> int:
        """Return the minion's own steady clock."""
        return self.clock_at_start_ms + int((time.monotonic() - self.origin) * 1000)

    def entry(self) -> dict[str, Any]:
        """Return the minion's entry in the store."""
        entry = {
            "Service": self.service, "Address": self.address, "Zone": self.zone,
            "Version": "v1", "Slots": 8, "ColdRemainingMs": 0,
            "State": "draining" if self.draining else "ready",
            "Capacity": self.capacity, "Labels": ["a", self.rack],
            "ClockMs": self.clock_ms(), "Sequence": self.sequence_of_entry(),
            "Machine": self.machine, "born": self.born,
        }  # fmt: skip
        if self.draining:
            entry["RemainingMs"] = 2000
        return entry

    def sequence_of_entry(self) -> int:
        """Return a number that rises with each status report."""
        return int((time.monotonic() - self.origin) * 10) + 1

    def advance(self) -> None:
        """End the runs that are due."""
        if not self.up:
            return
        clock = self.clock_ms()
        lapsed = clock > self.lease_end_ms
        for task, run in list(self.runs.items()):
            if lapsed:
                self._end(task, "lapsed")
            elif run.stop_at_ms is not None and clock >= run.stop_at_ms:
                self._end(task, "stopped")
            elif run.length_ms is not None and clock >= run.began_ms + run.length_ms:
                self._end(task, "failed" if run.fails else "done")

    def _end(self, task: str, how: str) -> None:
        run = self.runs.pop(task)
        self.sequence += 1
        self.ends.append([self.sequence, task, run.number, how, run.saved])
        self.closed[task] = max(self.closed.get(task, 0), run.number)
        self.record("end", minion=self.ident, task=task, run=run.number, how=how)
        self.ended.set()

    def crash(self) -> None:
        """End the process; what runs on it is gone without a word."""
        self.up = False
        for task, run in self.runs.items():
            self.record(
                "lost", minion=self.ident, task=task, run=run.number,
                age_ms=self.clock_ms() - run.began_ms,
            )  # fmt: skip
        self.runs.clear()
        self.ended.set()

    def _percent(self, run: Run) -> int:
        age = self.clock_ms() - run.began_ms
        if run.length_ms is None:
            return 100 if age >= STARTUP_MS else 0
        return min(99, age * 100 // max(1, run.length_ms))

    # HTTP

    async def handle(self, request: Request) -> Answer:
        """Answer one call."""
        if not self.up or self.cut:
            return None
        if request.headers.get("x-expected-instance") != self.ident:
            return 421, {}
        body, clock = request.body, self.clock_ms()
        if body.get("FencingToken", 0) < self.token:
            return 409, {"ClockMs": clock, "Reason": "fence"}
        if request.path == "/run-start" and self.hold_start(body):
            self.record(
                "start order left unanswered", minion=self.ident, task=body["Task"],
                run=body["Run"], token=body.get("FencingToken", 0),
            )  # fmt: skip
            return None
        self.token = body.get("FencingToken", 0)
        if request.path == "/run-start":
            return self._start(body, clock)
        if request.path == "/run-stop":
            return self._stop(body, clock)
        if request.path == "/hold":
            return await self._hold(body, clock)
        return 200, {"ClockMs": clock}

    def start_late(self, body: dict[str, Any]) -> None:
        """Carry out a start that was left unanswered, seconds later."""
        clock, token = self.clock_ms(), body.get("FencingToken", 0)
        answer: Answer = (409, {"Reason": "fence"})
        if token >= self.token:
            self.token = token
            answer = self._start(body, clock)
        self.record(
            "start order carried out late", minion=self.ident, born=self.born,
            task=body["Task"], run=body["Run"], answer=answer,
        )  # fmt: skip

    def _extend(self, deadline_ms: int, clock: int) -> None:
        self.lease_end_ms = max(
            self.lease_end_ms, min(deadline_ms, clock + MAX_HOLD_MS)
        )

    def _start(self, body: dict[str, Any], clock: int) -> Answer:
        task, number = body["Task"], body["Run"]
        running = self.runs.get(task)
        if running is not None and running.number == number:
            return 200, {"ClockMs": clock}
        if running is not None or number <= self.closed.get(task, 0):
            self._extend(body["DeadlineMs"], clock)
            return 409, {"ClockMs": clock, "Reason": "old"}
        if body["DeadlineMs"] <= clock:
            return 409, {"ClockMs": clock, "Reason": "late"}
        if not self.has_ticket(self, body):
            self.record(
                "start rejected (ticket)", minion=self.ident, task=task, run=number,
                ticket=body.get("Ticket", ""),
            )  # fmt: skip
            return 409, {"ClockMs": clock, "Reason": "ticket"}
        self._extend(body["DeadlineMs"], clock)
        length_ms, fails = work_of(body["Spec"])
        self.runs[task] = Run(number, clock, length_ms, fails)
        self.record("start", minion=self.ident, task=task, run=number)
        return 200, {"ClockMs": clock}

    def _stop(self, body: dict[str, Any], clock: int) -> Answer:
        task, number = body["Task"], body["Run"]
        run = self.runs.get(task)
        if run is not None and run.number == number:
            if run.stop_at_ms is None:
                self.record(
                    "stop ordered", minion=self.ident, task=task, run=number,
                    percent=self._percent(run),
                )  # fmt: skip
                run.stop_at_ms = clock + STOP_MS
        elif run is None:
            self.closed[task] = max(self.closed.get(task, 0), number)
        return 200, {"ClockMs": clock}

    async def _hold(self, body: dict[str, Any], clock: int) -> Answer:
        if "DeadlineMs" in body:
            self._extend(body["DeadlineMs"], clock)
        cursor = body.get("AckCursor", 0)
        for end in self.ends:
            if end[0] <= cursor:
                self.record(
                    "end taken note of", minion=self.ident, task=end[1], run=end[2],
                    how=end[3],
                )  # fmt: skip
        self.ends = [end for end in self.ends if end[0] > cursor]
        deadline = time.monotonic() + body.get("WaitMs", 0) / 1000
        while self.up and not self.ends and time.monotonic() < deadline:
            await asyncio.sleep(STEP_SECONDS)
        if not self.up or self.cut:
            return None
        running = []
        for task, run in self.runs.items():
            usage = 10 if run.length_ms is None else 500
            running.append([task, run.number, run.saved, self._percent(run), usage])
        return 200, {
            "ClockMs": self.clock_ms(), "born": self.born, "Running": running,
            "Finished": self.ends[:500],
        }  # fmt: skip
