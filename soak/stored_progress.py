"""Checks the stored progress records: against acknowledged ends and each other."""

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec

from ebonyhub.ids import JobId, TaskId
from ebonyhub.jobs.model import AcceptedJob
from ebonyhub.jobs.progress_parts import (
    PART_SEPARATOR,
    add_parts,
    decode_head,
    parse_progress_key,
)
from ebonyhub.jobs.records import (
    PROGRESS_PREFIX,
    JobState,
    ProgressRecord,
    accepted_key,
    cancelled_key,
    progress_key,
)
from standins.memory_store import StoreCore
from standins.oracle import Oracle

CHECK_INTERVAL_SECONDS = 0.02

_decode_accepted = msgspec.msgpack.Decoder(AcceptedJob).decode


def is_recorded_as_done(record: ProgressRecord, task: TaskId) -> bool:
    """Return whether a record says that the task is done, or that its job has ended."""
    if record.state.is_final or task.occurrence < record.next_occurrence:
        return True
    steps = record.occurrences.get(task.occurrence)
    if steps is None:
        return False
    # The list of a complete occurrence is empty.
    return not steps or task.position in steps[task.step].done


@dataclass
class StoredProgressCheck:
    """Follows the progress records that leaders write into the store."""

    core: StoreCore
    oracle: Oracle
    problems: list[str] = field(default_factory=list)
    # By job: the revision of the record that was checked last, and its content.
    checked: dict[JobId, tuple[int, ProgressRecord]] = field(default_factory=dict)

    def check_acknowledged(self, tasks: Iterable[TaskId]) -> list[str]:
        """Return the tasks whose acknowledged completion is not stored.

        Nothing has to be stored for cancelled jobs, or for those whose records have
        been removed since.
        """
        return [
            f"LOST: the completion of {task} is acknowledged, but not stored in "
            f"revision {self._revision(task.job)} of the job's record"
            for task in tasks
            if not self._is_stored(task)
        ]

    def check_all_acknowledged(self) -> list[str]:
        """Return every task whose acknowledged completion is not stored."""
        tasks = self.oracle.tasks.items()
        return self.check_acknowledged(
            [task for task, history in tasks if history.completion_acknowledged]
        )

    def _revision(self, job: JobId) -> int:
        item = self.core.items.get(progress_key(job))
        return 0 if item is None else int(item.revision)

    def _is_stored(self, task: TaskId) -> bool:
        items = self.core.items
        if cancelled_key(task.job) in items or accepted_key(task.job) not in items:
            return True
        record = self._read(task.job)
        return record is not None and is_recorded_as_done(record, task)

    def _read(self, job: JobId) -> ProgressRecord | None:
        """Return a job's record with its parts, None if it is not stored."""
        items, key = self.core.items, progress_key(job)
        head, accepted = items.get(key), items.get(accepted_key(job))
        if head is None or head.value is None:
            return None
        record = decode_head(head.value)
        parts = {
            parse_progress_key(name.removeprefix(PROGRESS_PREFIX))[1] or 0: item.value
            for name, item in items.items()
            if name.startswith(key + PART_SEPARATOR) and item.value is not None
        }
        if not parts or accepted is None or accepted.value is None:
            return record
        return add_parts(record, parts, _decode_accepted(accepted.value).spec)

    async def follow(self) -> None:
        """Check each new record against the one before it."""
        while True:
            self.check_records()
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)

    def check_records(self) -> None:
        """Record tasks that are done in an earlier record of a job, but not now."""
        # Each commit of a record writes its head, so its revision tells of all changes.
        for key, item in self.core.items.items():
            if not key.startswith(PROGRESS_PREFIX) or item.value is None:
                continue
            job, part = parse_progress_key(key.removeprefix(PROGRESS_PREFIX))
            earlier = self.checked.get(job)
            if part is not None or (earlier and earlier[0] == item.revision):
                continue
            record = self._read(job)
            assert record is not None
            self.checked[job] = (int(item.revision), record)
            if earlier is not None:
                self.problems += _regressions(job, earlier, self.checked[job])


def _regressions(
    job: JobId, earlier: tuple[int, ProgressRecord], later: tuple[int, ProgressRecord]
) -> list[str]:
    """Return what the later of two records of a job has lost."""
    (old_revision, old), (new_revision, new) = earlier, later
    if old.state.is_final:
        if new.state is old.state:
            return []
        return [
            f"LOST: job {job} was {old.state.name} in revision {old_revision} and is "
            f"{new.state.name} in revision {new_revision}"
        ]
    lost = [
        task for task in _done_tasks(job, old) if not is_recorded_as_done(new, task)
    ]
    return [
        f"LOST: {task} is done in revision {old_revision} of the job's record, but not "
        f"in revision {new_revision}"
        for task in lost
        if new.state is not JobState.CANCELLED
    ]


def _done_tasks(job: JobId, record: ProgressRecord) -> Iterable[TaskId]:
    for occurrence, steps in record.occurrences.items():
        for number, step in enumerate(steps):
            for position in step.done:
                yield TaskId(job, occurrence, number, position)
