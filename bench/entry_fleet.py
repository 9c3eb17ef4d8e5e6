"""Replays with entries that admit jobs by loads that are some time old.

Each attempt of a caller reaches a random entry. A refused caller returns after its
Retry-After, and its time counts from the first attempt.
"""

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from ebonyhub.configuration import Queue
from ebonyhub.fleet.model import VmState
from ebonyhub.ids import ServiceName, VmId, WorkspaceName
from ebonyhub.scheduling.overload import (
    USEFULNESS_FACTOR,
    Forecast,
    ForecastCache,
    retry_after_seconds,
    usefulness_overrun_seconds,
)
from ebonyhub.scheduling.runs import Job
from ebonyhub.scheduling.shedding.admission import AdmissionPolicy
from ebonyhub.scheduling.shedding.leader import LeaderShedding
from ebonyhub.scheduling.shedding.service_load import decode_loads, encode_loads
from ebonyhub.scheduling.state import RESPONSE_MAX_AGE_SECONDS
from ebonyhub.scheduling.workspaces.status import Standing
from standins.recorded_jobs import RecordedDay
from standins.replayed_fleet import WARM_UP_SECONDS, Attempt, ReplayedFleet

from .clairvoyant_bound import SLOT_SECONDS

# Interval of the leader's messages to the entries.
LOAD_INTERVAL_SECONDS = 0.4
# Time that a message takes to an entry.
LOAD_DELAY_SECONDS = 0.04
MAX_REPEATS = 4
RATE_WINDOW_SECONDS = 5.0


@dataclass(slots=True)
class ReplayedStandings:
    """Token buckets of the workspaces, by the rules of ``docs/design``."""

    weights: dict[WorkspaceName, float]
    tokens: dict[WorkspaceName, float] = field(default_factory=dict)
    filled_at: dict[WorkspaceName, float] = field(default_factory=dict)
    over_rate: set[str] = field(default_factory=set)

    def job_accepted(self, job: str, workspace: WorkspaceName, now: float) -> None:
        """Charge the bucket of the job's workspace."""
        weight = self.weights.get(workspace)
        if weight is None:
            return
        capacity = weight * RATE_WINDOW_SECONDS
        passed = now - self.filled_at.get(workspace, now)
        tokens = min(capacity, self.tokens.get(workspace, capacity) + weight * passed)
        self.filled_at[workspace] = now
        if tokens >= 1.0:
            self.tokens[workspace] = tokens - 1.0
        else:
            self.tokens[workspace] = tokens
            self.over_rate.add(job)

    def standing(self, job: Job) -> Standing:
        """Return whether the job was beyond the rate when it was accepted."""
        if job.job_id in self.over_rate:
            return Standing.OVER_RATE
        return Standing.WITHIN_SHARE


class EntryFleet(ReplayedFleet):
    """A replay in which callers use entries that the leader informs."""

    def __init__(
        self, day: RecordedDay, weights: dict[WorkspaceName, float], entries: int = 32
    ) -> None:
        super().__init__(day)
        self.entries = entries
        self.caller_rng = random.Random(7)
        self.standings = ReplayedStandings(weights)
        self.next_load = self.now
        # Largest number of cores that each service had in each slot of time.
        self.cores_by_slot: dict[ServiceName, dict[int, float]] = {}
        # The replay's time of the first arrival.
        self.started_at = self.now + WARM_UP_SECONDS
        self.returns = True

    def _step(self) -> None:
        super()._step()
        if self.now >= self.next_load:
            self.next_load = self.now + LOAD_INTERVAL_SECONDS
            self._schedule(self.now + LOAD_DELAY_SECONDS, self.measure())
        self._record_cores()

    def _record_cores(self) -> None:
        slot = int((self.now - self.started_at + 1e-6) / SLOT_SECONDS)
        cores: Counter[ServiceName] = Counter()
        for worker in self.scheduler.workers.values():
            if worker.entry.vm in self.silent_vms:
                continue
            serving = sum(
                run.reserved.cpu
                for run in worker.runs.values()
                if run.step.long_running
            )
            takes_tasks = self.scheduler.is_eligible(worker, self.now)
            cpu = worker.entry.capacity.cpu if takes_tasks else worker.used.cpu
            cores[worker.entry.service] += max(0, cpu - serving)
        for service, millicores in cores.items():
            slots = self.cores_by_slot.setdefault(service, {})
            slots[slot] = max(slots.get(slot, 0.0), millicores / 1000)

    def _handle(self, event: object) -> None:
        if callable(event):
            event()
            return
        super()._handle(event)

    def measure(self) -> Callable[[], None]:
        """Measure now what the entries learn later; return the delivery."""
        raise NotImplementedError

    def refusal(self, attempt: Attempt) -> float:
        """Return the seconds for Retry-After, 0 to accept."""
        raise NotImplementedError

    def admit(self, attempt: Attempt) -> bool:
        """Let a random entry decide."""
        if attempt.spec.long_running:
            return True
        self.retry_seconds = self.refusal(attempt)
        if self.retry_seconds <= 0.0:
            self.standings.job_accepted(attempt.job_id, attempt.job.workspace, self.now)
        return self.retry_seconds <= 0.0

    def handle_refusal(self, attempt: Attempt) -> None:
        """Let the caller return after its Retry-After."""
        if attempt.repeats >= MAX_REPEATS or not self.returns:
            return
        attempt.repeats += 1
        seconds = retry_after_seconds(self.retry_seconds, self.caller_rng.random())
        self._schedule(self.now + seconds, attempt)


@dataclass(frozen=True, slots=True)
class Causes:
    """Suspected causes of lost worth that a replay of the old admission leaves out."""

    # Only cores of workers that respond count.
    responding_cores: bool = False
    # Each decision uses a forecast of its moment.
    present_forecast: bool = False
    # A job is admitted only while it is expected on time.
    on_time_only: bool = False
    # Capacity for one task does not admit a job.
    no_room_rule: bool = False
    # A returning caller's objective counts from its first attempt.
    first_attempt: bool = False
    # Waiting jobs have the order of shedding by cost.
    shedding_order: bool = False
    # The fleet planner counts VMs with silent workers as down.
    planner_skips_silent: bool = False


def _without_room(forecast: Forecast) -> Forecast:
    return replace(forecast, free_cpu=-1)


def _later(queue: Queue, seconds: float) -> Queue:
    """Return the queue with ``seconds`` of its objective used up.

    Usefulness ends with the objective times a factor, so a factor more is left.
    """
    return replace(
        queue, target_seconds=queue.target_seconds - seconds / USEFULNESS_FACTOR
    )


def _on_time(queue: Queue) -> Queue:
    """Return the queue with the objective as the end of usefulness."""
    return replace(
        queue,
        stretch=queue.stretch / USEFULNESS_FACTOR,
        target_seconds=queue.target_seconds / USEFULNESS_FACTOR,
    )


class OldFleet(EntryFleet):
    """Entries with the admission by forecasts of usefulness."""

    def __init__(
        self,
        day: RecordedDay,
        weights: dict[WorkspaceName, float],
        causes: Causes = Causes(),
    ) -> None:
        super().__init__(day, weights)
        self.cache = ForecastCache()
        self.causes = causes
        self.silent_seen: set[VmId] = set()
        self.shedding: LeaderShedding | None = None
        if causes.shedding_order:
            self.shedding = LeaderShedding(self.scheduler, self.standings)

    def _plan_fleet(self) -> None:
        listed = dict(self.vms)
        if self.causes.planner_skips_silent:
            self._note_silent_vms()
            for name in self.silent_seen:
                if self.vms[name].state is VmState.UP:
                    self.vms[name] = replace(self.vms[name], state=VmState.DOWN)
        super()._plan_fleet()
        for name in self.silent_seen:
            if self.vms[name].state is VmState.DOWN and name not in self.back_up_at:
                self.vms[name] = replace(self.vms[name], state=listed[name].state)
        if self.shedding is not None:
            self.shedding.update_fleet(self.planner, self.now)

    def _note_silent_vms(self) -> None:
        """Note the VMs of workers that have not responded for some time."""
        for worker in self.scheduler.workers.values():
            vm = self.vms.get(worker.entry.vm)
            if vm is None or vm.worker != worker.worker_id:
                continue
            if self.scheduler.is_responsive(worker, self.now):
                self.silent_seen.discard(worker.entry.vm)
            elif self.now - worker.discovered_at > RESPONSE_MAX_AGE_SECONDS:
                self.silent_seen.add(worker.entry.vm)

    def _forecasts(self) -> Callable[[], None]:
        cores = self.pool_cores()
        if self.causes.responding_cores:
            cores = dict.fromkeys(cores, 0.0)
            for worker in self.scheduler.workers.values():
                if self.scheduler.is_responsive(worker, self.now):
                    service = worker.entry.service
                    cores[service] = (
                        cores.get(service, 0.0) + worker.entry.capacity.cpu / 1000
                    )
        forecasts = self.scheduler.forecasts(cores, self.now)
        sent = {s: f for s, f in forecasts.items() if f.backlog > f.cores}
        return lambda: self.cache.update(sent, self.now)

    def measure(self) -> Callable[[], None]:
        """Return the delivery of the present forecasts."""
        return self._forecasts()

    def refusal(self, attempt: Attempt) -> float:
        """Return by how much the job would end too late to be of use."""
        if self.causes.present_forecast:
            self._forecasts()()
        forecast = self.cache.forecasts.get(attempt.queue.service)
        if forecast is None:
            return 0.0
        queue = attempt.queue
        if self.causes.no_room_rule:
            forecast = _without_room(forecast)
        if self.causes.first_attempt:
            queue = _later(queue, self.now - attempt.first_at)
        if self.causes.on_time_only:
            queue = _on_time(queue)
        return usefulness_overrun_seconds(queue, attempt.spec, forecast)


class NewFleet(EntryFleet):
    """Entries that shed by cost."""

    def __init__(self, day: RecordedDay, weights: dict[WorkspaceName, float]) -> None:
        super().__init__(day, weights)
        self.policy = AdmissionPolicy()
        self.shedding = LeaderShedding(self.scheduler, self.standings)

    def _plan_fleet(self) -> None:
        super()._plan_fleet()
        self.shedding.update_fleet(self.planner, self.now)

    def measure(self) -> Callable[[], None]:
        """Return the delivery of the present loads, as the message carries them."""
        rows = encode_loads(self.shedding.loads(self.now))
        return lambda: self.policy.update(decode_loads(rows), self.now)

    def refusal(self, attempt: Attempt) -> float:
        """Return the decision of the policy."""
        return self.policy.refusal_seconds(
            attempt.queue, attempt.spec, attempt.job.workspace, self.now
        )
