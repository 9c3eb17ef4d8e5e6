"""Steps that do not start for a short time, since a start of theirs was refused.

A refusal that concerns a step says nothing about others, so the worker still gets their
tasks. Without a pause, a step that is refused for good would be planned again at once,
each time with two commits and a call, and on the worker that refuses.
"""

from collections.abc import Container

from ..ids import JobId, StepKey, WorkerId

# Seconds before the next start of a step, or on a worker, that was refused.
PAUSE_SECONDS = 0.5

_NONE: Container[WorkerId] = ()


class StartRefusals:
    """The refusals of one term; times are monotonic seconds."""

    def __init__(self) -> None:
        # Until when a step does not start on a worker.
        self.by_worker: dict[StepKey, dict[WorkerId, float]] = {}
        # Until when a step starts nowhere, unless an advisor gives it new tickets.
        self.of_tickets: dict[StepKey, float] = {}

    def add(self, step: StepKey, worker: WorkerId, now: float) -> None:
        """Note that a worker refused a start of the step."""
        self.by_worker.setdefault(step, {})[worker] = now + PAUSE_SECONDS

    def add_ticket(self, step: StepKey, now: float) -> None:
        """Note that a start of the step was refused for its ticket."""
        self.of_tickets[step] = now + PAUSE_SECONDS

    def lacks_ticket(self, step: StepKey, now: float) -> bool:
        """Return whether a start of the step was just refused for its ticket."""
        return now < self.of_tickets.get(step, now)

    def refusing(self, step: StepKey, now: float) -> Container[WorkerId]:
        """Return the workers on which the step must not start at ``now``."""
        refused = self.by_worker.get(step)
        if not refused:
            return _NONE
        still = {worker: end for worker, end in refused.items() if now < end}
        if still:
            self.by_worker[step] = still
        else:
            del self.by_worker[step]
        return still

    def forget_job(self, job: JobId) -> None:
        """Forget the refusals of a job that has ended."""
        for known in (self.by_worker, self.of_tickets):
            for step in [step for step in known if step[0] == job]:
                del known[step]
