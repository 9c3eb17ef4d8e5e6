"""Checks the stored progress records: against acknowledged ends and each other."""

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec

from ebonyhub.ids import JobId, TaskId
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

_decode = msgspec.msgpack.Decoder(ProgressRecord).decode


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
        item = items.get(progress_key(task.job))
        if item is None or item.value is None:
            return False
        return is_recorded_as_done(_decode(item.value), task)

    async def follow(self) -> None:
        """Check each new record against the one before it."""
        while True:
            self.check_records()
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)

    def check_records(self) -> None:
        """Record tasks that are done in an earlier record of a job, but not now."""
        for key, item in self.core.items.items():
            if not key.startswith(PROGRESS_PREFIX) or item.value is None:
                continue
            job = JobId(key.removeprefix(PROGRESS_PREFIX))
            earlier = self.checked.get(job)
            if earlier is not None and earlier[0] == item.revision:
                continue
            record = _decode(item.value)
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
