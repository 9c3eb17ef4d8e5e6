"""Counts and logs input from outside that cannot be used."""

from .clock import Clock
from .events import Event, log_event
from .metrics import Metrics

# One event a second for each source, so that a peer that sends malformed input without
# pause cannot fill the log. The counter counts every rejection.
LOG_INTERVAL_SECONDS = 1.0
MAX_DETAIL_LENGTH = 200


class RejectedInputs:
    """Rejected input of one source, which is the label of the counter."""

    def __init__(self, source: str, clock: Clock, metrics: Metrics | None) -> None:
        self.source = source
        self.clock = clock
        self.metrics = metrics
        self.next_log_at = float("-inf")
        self.unlogged = 0

    def reject(self, event: Event, call: str, error: str) -> None:
        """Count a rejection, and log it unless another one was logged just before."""
        if self.metrics is not None:
            self.metrics.inputs_rejected.labels(self.source).inc()
        now = self.clock.monotonic()
        if now < self.next_log_at:
            self.unlogged += 1
            return
        self.next_log_at = now + LOG_INTERVAL_SECONDS
        log_event(
            event, source=self.source, call=call, error=error[:MAX_DETAIL_LENGTH],
            unlogged=self.unlogged,
        )  # fmt: skip
        self.unlogged = 0
