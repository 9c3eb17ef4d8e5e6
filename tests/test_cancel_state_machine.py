"""Submissions and cancels at two entries, with every order of their store calls.

Guards against a job that starts after its cancel was answered: with 410 while a write
of the submission was still under way, or with 200. Calls of the store are lost, late
and doubled, entries are killed, and new leaders load the records. With callers of two
scopes, guards against a cancel that harms a job of the other one.
"""

import asyncio
import random
from dataclasses import dataclass, field, replace
from typing import ClassVar

import msgspec
import pytest
from expression import Error
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule
from prometheus_client import CollectorRegistry

from ebonyhub.cluster.mirror import JobMirror
from ebonyhub.cluster.peers import PeerFailure
from ebonyhub.entry import withdrawals
from ebonyhub.entry.job_service import JobService
from ebonyhub.entry.withdrawals import (
    WITHDRAWAL_SECONDS,
    WITHDRAWALS_KEY,
    Withdrawals,
)
from ebonyhub.errors import ErrorKind
from ebonyhub.ids import JobId, Revision, WorkspaceName
from ebonyhub.jobs.model import AcceptedJob, JobScope
from ebonyhub.jobs.records import accepted_key, cancelled_key
from ebonyhub.metrics import Metrics
from ebonyhub.scheduling.overload import ForecastCache
from standins.gated_store import CallGate, GatedStore
from standins.memory_store import StoreCore
from tests.test_job_service import QUEUE, SCOPE, SPEC

ENTRIES = 2
JOBS = [JobId(f"{number:016x}") for number in range(2)]
# A cancel may be answered by a withdrawal of up to half the time before.
SURE_SECONDS = WITHDRAWAL_SECONDS / 2 - 2.0
EXAMPLES = 150
STEPS = 60


class FakeClock:
    def __init__(self):
        self.now = 1000.0

    def monotonic(self):
        return self.now

    def wall(self):
        return self.now


@dataclass(eq=False)
class Request:
    """A submission or a cancel of a caller."""

    method: str
    job: JobId
    task: asyncio.Task
    began: int
    began_at: float
    scope: JobScope = SCOPE
    answer: object = None
    ended: int | None = None
    ended_at: float = 0.0


@dataclass
class Entry:
    service: JobService
    mirror: JobMirror
    requests: list = field(default_factory=list)


class CancelMachine(RuleBasedStateMachine):
    scopes: ClassVar = [SCOPE]

    def __init__(self):
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.clock = FakeClock()
        self.core = StoreCore(self.clock.monotonic)
        self.gate = CallGate(self.core)
        self.step = 0
        self.requests = []
        self.entries = [self.new_entry(number) for number in range(ENTRIES)]

    def new_entry(self, number):
        store = GatedStore(self.gate, number)
        mirror = JobMirror()

        def apply(items):
            for item in items:
                mirror.apply(item)

        async def call_peer(method, argument):
            return Error(PeerFailure.NOT_SENT)

        register = Withdrawals(store, self.clock, random.Random(number), apply)
        service = JobService(
            store, mirror, self.clock, Metrics(CollectorRegistry()), call_peer, apply,
            ForecastCache(), random.Random(number), register,
        )  # fmt: skip
        return Entry(service, mirror)

    def settle(self):
        """Let all tasks run until they wait for the store."""

        async def spin():
            for _ in range(30):
                await asyncio.sleep(0)

        self.step += 1
        self.loop.run_until_complete(spin())
        for request in self.requests:
            if request.ended is None and request.task.done():
                request.ended, request.ended_at = self.step, self.clock.now
                if not request.task.cancelled():
                    request.answer = request.task.result()
                    self.check_answer(request)
        self.gate.discard_settled()

    def check_answer(self, request):
        answer, job = request.answer, request.job
        stored = accepted_key(job) in self.core.items
        if request.method == "submit" and answer.error is None:
            assert stored
            assert self.owner(job) == request.scope
        if request.method == "cancel" and answer.error is None:
            assert stored
            assert self.owner(job) == request.scope
            assert cancelled_key(job) in self.core.items
        if answer.error is ErrorKind.JOB_WITHDRAWN:
            assert answer.retry_after > 0

    def owner(self, job):
        """Return the scope in the submission record of a job."""
        value = self.core.items[accepted_key(job)].value
        return msgspec.msgpack.decode(value, type=AcceptedJob).scope

    def check_store(self, before):
        """Check the submissions that the last call has stored."""
        for job in JOBS:
            key = accepted_key(job)
            if cancelled_key(job) in self.core.items:
                assert key in self.core.items
                assert any(
                    r.job == job and r.method == "cancel" and r.scope == self.owner(job)
                    for r in self.requests
                ), "a cancel of another scope has harmed the job"
            if key in before or key not in self.core.items:
                continue
            submissions = [
                r
                for r in self.requests
                if r.job == job and r.method == "submit" and r.scope == self.owner(job)
            ]
            assert any(
                r.answer is None
                or r.answer.error in (None, ErrorKind.STORE_OUTCOME_UNKNOWN)
                for r in submissions
            ), "every attempt was refused, and the job is accepted"
            for cancel in self.requests:
                if cancel.job != job or cancel.method != "cancel":
                    continue
                if cancel.scope != self.owner(job):
                    continue
                if cancel.answer is None or (
                    cancel.answer.error is not ErrorKind.UNKNOWN_JOB
                ):
                    continue
                late = [
                    r
                    for r in submissions
                    if r.began >= cancel.ended
                    and r.began_at > cancel.ended_at + SURE_SECONDS
                ]
                assert late, "a cancel was answered 410, and the job is accepted"
        keys = {key for key in self.core.items if key != WITHDRAWALS_KEY}
        assert keys <= {f(job) for job in JOBS for f in (accepted_key, cancelled_key)}

    def request(self, entry, method, job, scope):
        service, scope = self.entries[entry].service, self.scopes[scope]
        if method == "submit":
            queue = replace(QUEUE, name=scope.queue)
            coroutine = service.submit(queue, job, SPEC, scope)
        else:
            coroutine = service.cancel(job, scope)
        task = self.loop.create_task(coroutine)
        request = Request(method, job, task, self.step, self.clock.now, scope)
        self.requests.append(request)
        self.entries[entry].requests.append(request)
        self.settle()

    entry_numbers = st.integers(0, ENTRIES - 1)

    # Numbers of a scope; the machine with one scope takes the only one.
    scope_numbers = st.sampled_from([0, -1])

    @rule(entry=entry_numbers, job=st.sampled_from(JOBS), scope=scope_numbers)
    def submit(self, entry, job, scope):
        self.request(entry, "submit", job, scope)

    @rule(
        entry=entry_numbers,
        job=st.sampled_from(JOBS),
        scope=scope_numbers,
        at_once=st.booleans(),
    )
    def cancel(self, entry, job, scope, at_once):
        """Cancel a job; ``at_once`` carries out the calls that this makes."""
        earlier = list(self.gate.calls)
        self.request(entry, "cancel", job, scope)
        while at_once:
            sent = [
                call
                for call in self.gate.calls
                if not call.is_answered and call not in earlier
            ]
            if not sent:
                return
            self.carry_out_call(sent[0])

    def choose_call(self, data):
        number = data.draw(st.integers(0, len(self.gate.calls) - 1), "call")
        return self.gate.calls[number]

    def apply_call(self, call):
        before = dict(self.core.items)
        self.gate.apply(call)
        self.check_store(before)

    @precondition(lambda self: self.gate.calls)
    @rule(data=st.data())
    def apply(self, data):
        self.apply_call(self.choose_call(data))
        self.settle()

    @precondition(lambda self: self.gate.calls)
    @rule(data=st.data(), lost=st.booleans())
    def answer(self, data, lost):
        self.gate.answer(self.choose_call(data), lost)
        self.settle()

    @precondition(lambda self: self.gate.calls)
    @rule(data=st.data())
    def carry_out(self, data):
        """Apply and answer a call, as a sound store does."""
        self.carry_out_call(self.choose_call(data))

    def carry_out_call(self, call):
        self.apply_call(call)
        self.gate.answer(call)
        self.settle()

    @rule(seconds=st.sampled_from([0.3, 5.0, 16.0, WITHDRAWAL_SECONDS + 1.0]))
    def wait(self, seconds):
        """Let time pass; calls that wait reach their time limit before."""
        while any(not call.is_answered for call in self.gate.calls):
            for call in self.gate.calls:
                self.gate.answer(call, lost=True)
            self.settle()
        self.clock.now += seconds

    @rule(entry=entry_numbers)
    def kill(self, entry):
        """End a process; its calls are under way for some time yet."""
        for request in self.entries[entry].requests:
            request.task.cancel()
        storing = self.entries[entry].service.withdrawals.storing
        if storing is not None:
            storing.cancel()
        self.settle()
        for call in self.gate.calls:
            if call.entry == entry and not call.is_answered:
                call.answer.cancel()
        self.entries[entry] = self.new_entry(entry)

    @rule()
    def take_over(self):
        """Load the records as a new leader does."""
        leader = JobMirror()
        leader.retain_records(True)
        leader.apply_listing(
            self.core.list_prefix("eb/jobs/"), Revision(self.core.revision)
        )
        for request in self.requests:
            answer = request.answer
            if request.method == "cancel" and answer and answer.error is None:
                assert leader.jobs[request.job].cancelled

    def teardown(self):
        tasks = asyncio.all_tasks(self.loop)
        for task in tasks:
            task.cancel()
        if tasks:
            self.loop.run_until_complete(asyncio.wait(tasks))
        self.loop.close()


@pytest.fixture(autouse=True)
def no_pauses(monkeypatch):
    """Pauses wait on the real clock."""
    monkeypatch.setattr(withdrawals, "COMMIT_INTERVAL_SECONDS", 0.0)
    monkeypatch.setattr(withdrawals, "MAX_CONFLICT_PAUSE_SECONDS", 0.0)


class ScopesMachine(CancelMachine):
    scopes: ClassVar = [
        JobScope(QUEUE.name, WorkspaceName("v")),
        JobScope(QUEUE.name, WorkspaceName("w")),
    ]


TestCancels = CancelMachine.TestCase
TestCancelsInScopes = ScopesMachine.TestCase
TestCancels.settings = TestCancelsInScopes.settings = settings(
    max_examples=EXAMPLES,
    stateful_step_count=STEPS,
    derandomize=True,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
