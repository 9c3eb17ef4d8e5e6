"""Scheduler of all services: jobs, workers and the runs that connect them.

The class is driven with events and a time; it returns orders through ``outbox`` and
names the jobs whose records must be stored in ``dirty``. A start is ordered only once
the record that contains it is stored, so that a successor knows every run that may
exist.
"""

from . import lifecycle
from .order_results import OrderResults
from .planning import Planning
from .reports import ReportHandling
from .views import FleetViews


class Scheduler(ReportHandling, OrderResults, Planning, FleetViews):
    """Owns jobs, workers and runs; one task drives it."""

    def tick(self, now: float, wall_ms: int) -> None:
        """Do what depends on time alone; call it several times a second."""
        for job in list(self.active.values()):
            if job.accepted.spec.repeat_count and lifecycle.start_due_occurrences(
                job, wall_ms
            ):
                self.mark_dirty(job)
        for worker in list(self.workers.values()):
            self._check_worker(worker, now)
        # Quarantines end and silent workers answer again without another event.
        self.services_to_plan.update(queue.service for queue in self.queues.values())
        self.services_to_plan.update(job.service for job in self.active.values())
