"""Decides when the ends of runs may be acknowledged to their workers.

An acknowledged end counts for good: no run of its task may start after it. A start
order without an answer may be carried out for LATE_CALL_SECONDS, by any process under
the worker's id, also after another order has started the same task and the run is done.
The end that completes or fails such a task is therefore held. If the worker crashes
meanwhile, the end was never acknowledged, and the late start repeats nothing that
counts.

A worker takes acknowledgements only up to a sequence number, so later ends wait behind
a held one. HoldBudget bounds how many do.
"""

from collections.abc import Callable
from enum import Enum

from ..ids import JobId, TaskId
from .listed_ends import EndGroup, EndQueue
from .worker_process import LATE_CALL_SECONDS

# Seconds for which an end may wait without counting as delayed.
DELAY_SECONDS = 2.0
# Share of the ends listed during a term that may be delayed, and the number that may be
# in any case. The platform's limit is a fifth.
MAX_DELAYED_SHARE = 0.15
MIN_DELAYED_ENDS = 100
# Ends that a worker may list before it is told to forget them nevertheless. It lists
# 500 at most, and later ones would not be seen.
MAX_LISTED_ENDS = 400


class HoldResult(Enum):
    """What becomes of ends that wait for DELAY_SECONDS; labels of a metric."""

    DELAYED = "delayed"
    # Acknowledged in spite of an open start.
    OVER_SHARE = "over_share"
    LIST_FULL = "list_full"


class OpenStarts:
    """Tasks with a start order that may still be carried out late."""

    def __init__(self) -> None:
        # Until when, in monotonic seconds; in the order of these times.
        self.open_until: dict[TaskId, float] = {}
        self.by_job: dict[JobId, set[TaskId]] = {}
        # Tasks whose only such order may yet get its answer.
        self.awaiting_answer: set[TaskId] = set()

    def add(self, task: TaskId, now: float) -> None:
        """Note that a start of the task has no answer at ``now``."""
        self._remove_old(now)
        self.awaiting_answer.discard(task)
        self.open_until.pop(task, None)
        self.open_until[task] = now + LATE_CALL_SECONDS
        self.by_job.setdefault(task.job, set()).add(task)

    def await_answer(self, task: TaskId, now: float) -> None:
        """Note that a start of the task has no answer yet, although its run ended."""
        if not self.is_open(task, now):
            self.add(task, now)
            self.awaiting_answer.add(task)

    def handle_answer(self, task: TaskId) -> None:
        """Note that a start of the task was answered; earlier ones may be open."""
        if task in self.awaiting_answer:
            self._remove(task)

    def is_open(self, task: TaskId, now: float, in_gang: bool = False) -> bool:
        """Return whether a start of the task may still be carried out.

        With ``in_gang``, one of any member of the task's gang counts.
        """
        if in_gang:
            return any(other[:3] == task[:3] for other in self.of_job(task.job, now))
        return now <= self.open_until.get(task, float("-inf"))

    def of_job(self, job_id: JobId, now: float) -> list[TaskId]:
        """Return the tasks of a job with a start that may still be carried out."""
        tasks = self.by_job.get(job_id, ())
        return [task for task in tasks if self.is_open(task, now)]

    def _remove_old(self, now: float) -> None:
        while self.open_until:
            task, until = next(iter(self.open_until.items()))
            if now <= until:
                return
            self._remove(task)

    def _remove(self, task: TaskId) -> None:
        self.awaiting_answer.discard(task)
        del self.open_until[task]
        tasks = self.by_job[task.job]
        tasks.discard(task)
        if not tasks:
            del self.by_job[task.job]


class HoldBudget:
    """Bounds the share of the ends of a term that are acknowledged late."""

    def __init__(self) -> None:
        self.listed = 0
        self.delayed = 0
        # Called with the result and the number of ends.
        self.on_result: Callable[[HoldResult, int], None] = lambda *_: None

    def may_delay(self, count: int) -> bool:
        """Return whether so many more ends may be delayed, and count them if so."""
        allowed = max(MIN_DELAYED_ENDS, self.listed * MAX_DELAYED_SHARE)
        if self.delayed + count > allowed:
            return False
        self.delayed += count
        self.on_result(HoldResult.DELAYED, count)
        return True


class Acknowledgements:
    """Holds ends during one term; a successor reads the open starts from records."""

    def __init__(self) -> None:
        self.open_starts = OpenStarts()
        self.budget = HoldBudget()

    def add_group(self, queue: EndQueue, group: EndGroup) -> None:
        """Queue ends that a worker has just listed."""
        self.budget.listed += group.count
        queue.unstored.append(group)

    def last_acknowledged(
        self,
        queue: EndQueue,
        is_stored: Callable[[JobId, int], bool],
        listed_ends: int,
        now: float,
    ) -> int:
        """Return the last sequence number that may be acknowledged now, 0 for none.

        ``listed_ends`` is the number of ends in the worker's last report.
        """
        while queue.unstored:
            versions = queue.unstored[0].versions
            if not all(is_stored(job, version) for job, version in versions.items()):
                break
            queue.held.append(queue.unstored.popleft())
        last = 0
        if not queue.held:
            return last
        released = self._released(queue, listed_ends, now)
        while queue.held:
            group = queue.held[0]
            if group.sequence > released and self._is_held(group, now):
                break
            last = queue.held.popleft().sequence
        return last

    def _is_held(self, group: EndGroup, now: float) -> bool:
        task = group.held_for
        return task is not None and self.open_starts.is_open(task, now, group.is_gang)

    def _released(self, queue: EndQueue, listed_ends: int, now: float) -> int:
        """Return the last sequence number that must not be held any more, 0 if none.

        Asks the budget once for each group that has waited for DELAY_SECONDS.
        """
        released = 0
        if not any(self._is_held(group, now) for group in queue.held):
            return released
        if listed_ends > MAX_LISTED_ENDS:
            count = sum(group.count for group in queue.held)
            self.budget.on_result(HoldResult.LIST_FULL, count)
            return queue.held[-1].sequence
        is_behind_held = False
        for group in queue.held:
            is_behind_held |= self._is_held(group, now)
            if now < group.listed_at + DELAY_SECONDS:
                break
            if not is_behind_held or group.may_be_delayed:
                continue
            group.may_be_delayed = self.budget.may_delay(group.count)
            if not group.may_be_delayed:
                released = group.sequence
                self.budget.on_result(HoldResult.OVER_SHARE, group.count)
        return released
