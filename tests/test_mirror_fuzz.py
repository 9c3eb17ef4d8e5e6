"""Stateful fuzzing of the job mirrors of several entries against the stored records.

Guards against an entry that reports an older state after a newer one, a leader that
lacks a stored record, and wrong counts of waiting jobs, when streams break and leaders
change.
"""

import msgspec
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from ebonyhub.cluster.metadata_store import Item
from ebonyhub.cluster.mirror import JobMirror
from ebonyhub.ids import JobId, QueueName, Revision, ServiceName
from ebonyhub.jobs.model import AcceptedJob, JobSpec, Resources, StepSpec
from ebonyhub.jobs.records import (
    PROGRESS_PREFIX,
    JobState,
    ProgressRecord,
    accepted_key,
    cancelled_key,
    progress_key,
)

ENTRIES = 4
QUEUE = QueueName("q")
SPEC = JobSpec("t", (StepSpec(1, Resources(1, 1)),))
NEXT_STATES = {
    JobState.QUEUED: [JobState.RUNNING, JobState.CANCELLED],
    JobState.RUNNING: [JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED],
}


class EntriesMachine(RuleBasedStateMachine):
    """A leader and its followers, with breaking streams and changes of leader."""

    @initialize()
    def begin(self):
        self.revision = 1
        self.records = {}
        self.mirrors = [JobMirror() for _ in range(ENTRIES)]
        self.leader = 0
        self.connected = set()
        self.highest_rank = [{} for _ in range(ENTRIES)]
        self.now = 0.0
        self.jobs = []
        self._take_over(0)

    def _take_over(self, entry):
        self.mirrors[self.leader].retain_records(False)
        self.leader = entry
        mirror = self.mirrors[entry]
        mirror.retain_records(True)
        mirror.apply_listing(list(self.records.values()), Revision(self.revision))
        mirror.take_changes()
        self.connected = set()

    def _store_record(self, key, value):
        self.revision += 1
        item = Item(key, value, Revision(self.revision))
        self.records[key] = item
        return item

    def _state(self, job):
        record = self.records.get(progress_key(job))
        if record is None:
            return JobState.QUEUED
        return msgspec.msgpack.decode(record.value, type=ProgressRecord).state

    def _expected_state(self, job):
        """Return the state that callers must see according to the stored records."""
        state = self._state(job)
        if cancelled_key(job) in self.records and not state.is_final:
            return JobState.CANCELLED
        return state

    @rule(entry=st.integers(0, ENTRIES - 1))
    def submit(self, entry):
        job = JobId(f"{len(self.jobs):016x}")
        self.jobs.append(job)
        accepted = AcceptedJob(job, QUEUE, ServiceName("s"), 3, 0, SPEC)
        item = self._store_record(accepted_key(job), msgspec.msgpack.encode(accepted))
        self.mirrors[entry].apply(item)
        self.mirrors[self.leader].apply(item)

    @precondition(lambda self: self.jobs)
    @rule(data=st.data(), entry=st.integers(0, ENTRIES - 1))
    def cancel(self, data, entry):
        job = data.draw(st.sampled_from(self.jobs))
        if cancelled_key(job) not in self.records and not self._state(job).is_final:
            item = self._store_record(cancelled_key(job), b"\x01")
            self.mirrors[entry].apply(item)
            self.mirrors[self.leader].apply(item)

    @precondition(lambda self: self.jobs)
    @rule(data=st.data())
    def progress(self, data):
        job = data.draw(st.sampled_from(self.jobs))
        choices = NEXT_STATES.get(self._state(job))
        if choices:
            record = ProgressRecord(data.draw(st.sampled_from(choices)))
            item = self._store_record(progress_key(job), msgspec.msgpack.encode(record))
            self.mirrors[self.leader].apply(item)

    @rule(seconds=st.floats(0.0, 30.0))
    def send_states(self, seconds):
        self.now += seconds
        rows = self.mirrors[self.leader].take_changes()
        for entry in self.connected:
            self.mirrors[entry].apply_states(rows, False, self.now)

    @rule(entry=st.integers(0, ENTRIES - 1))
    def connect(self, entry):
        if entry != self.leader:
            rows = self.mirrors[self.leader].unfinished_states()
            self.mirrors[entry].apply_states(rows, True, self.now)
            self.connected.add(entry)

    @rule(entry=st.integers(0, ENTRIES - 1))
    def break_stream(self, entry):
        self.connected.discard(entry)

    @rule(entry=st.integers(0, ENTRIES - 1))
    def take_over(self, entry):
        if entry != self.leader:
            self._take_over(entry)

    @precondition(lambda self: self.jobs)
    @rule(data=st.data(), entry=st.integers(0, ENTRIES - 1))
    def read_from_store(self, data, entry):
        job = data.draw(st.sampled_from(self.jobs))
        for key in (accepted_key(job), cancelled_key(job), progress_key(job)):
            if key in self.records:
                self.mirrors[entry].apply(self.records[key])

    @rule(entry=st.integers(0, ENTRIES - 1))
    def apply_outdated_listing(self, entry):
        """Apply submission and cancellation records without the progress records."""
        if entry != self.leader:
            items = [
                item
                for key, item in self.records.items()
                if not key.startswith(PROGRESS_PREFIX)
            ]
            self.mirrors[entry].apply_listing(items, Revision(self.revision))

    @invariant()
    def leader_has_every_record(self):
        mirror = self.mirrors[self.leader]
        for job in self.jobs:
            mirrored = mirror.jobs[job]
            assert mirrored.accepted is not None
            record = mirrored.decode_progress()
            stored = self.records.get(progress_key(job))
            assert (record is None) == (stored is None)
            assert mirrored.visible_state is self._expected_state(job)

    @invariant()
    def states_never_go_back(self):
        for mirror, highest_rank in zip(self.mirrors, self.highest_rank, strict=True):
            for job in mirror.jobs:
                state = mirror.confirmed_state(job)
                if state is not None:
                    rank = 0 if state is JobState.QUEUED else 1
                    rank += state.is_final
                    assert rank >= highest_rank.get(job, 0)
                    highest_rank[job] = rank

    @invariant()
    def visible_states_are_stored(self):
        for mirror in self.mirrors:
            for job, mirrored in mirror.jobs.items():
                stored = self._state(job)
                if mirrored.visible_state is JobState.CANCELLED:
                    assert cancelled_key(job) in self.records or stored.is_final
                else:
                    assert mirrored.visible_state <= stored

    @invariant()
    def confirmed_states_match_the_last_message(self):
        for entry, mirror in enumerate(self.mirrors):
            if entry in self.connected and not self.mirrors[self.leader].changed_jobs:
                for job in self.jobs:
                    state = mirror.confirmed_state(job)
                    assert (
                        state is None
                        or state.is_final == self._expected_state(job).is_final
                    )

    @invariant()
    def waiting_jobs_are_counted(self):
        for mirror in self.mirrors:
            waiting = sum(
                job.is_accepted and job.visible_state is JobState.QUEUED
                for job in mirror.jobs.values()
            )
            assert mirror.waiting_counts.get(QUEUE, 0) == waiting


TestEntries = EntriesMachine.TestCase
TestEntries.settings = settings(max_examples=120, stateful_step_count=50)
