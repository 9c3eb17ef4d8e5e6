"""The scheduler of all services, composed of one class per concern.

It is driven by events with their time. It queues orders in ``outbox`` and jobs whose
records must be stored in ``dirty``. A start is ordered only after the record that
contains the run is stored, so that the next leader knows every run that may exist.
"""

from . import lifecycle
from .order_results import OrderResults
from .planning import Planning
from .reports import ReportHandling
from .views import FleetViews


class Scheduler(ReportHandling, OrderResults, Planning, FleetViews):
    """Schedules all jobs; not thread-safe, called from one event loop."""

    def tick(self, now: float, wall_ms: int) -> None:
        """Run the time-dependent checks; to be called several times a second."""
        for job in list(self.active.values()):
            if job.accepted.spec.repeat_count and lifecycle.start_due_occurrences(
                job, wall_ms
            ):
                self.mark_dirty(job)
        for worker in list(self.workers.values()):
            self._check_worker(worker, now, wall_ms)
        self.check_runs_in_turn(now)
        self.end_late_starts_of_leaving_workers()
        # No event tells when a quarantine ends or a worker responds again.
        self.services_to_plan.update(queue.service for queue in self.queues.values())
        self.services_to_plan.update(job.service for job in self.active.values())
