"""Log and counter of input from other programs that could not be used.

A value that cannot be used is read again with each listing, so it is logged only once,
and the number of log lines in a period is limited.
"""

from collections import OrderedDict
from enum import Enum

from .clock import Clock, SystemClock
from .events import Event, log_event
from .metrics import Metrics

# Rejected values that are remembered, so that they are not logged again.
MAX_REMEMBERED_VALUES = 1024
# Limit on log lines in one period; another program may write a new odd value each
# millisecond. Rejections beyond it are only counted.
MAX_LINES_PER_PERIOD = 100
PERIOD_SECONDS = 10.0
MAX_NAME_LENGTH = 200
# Answers have no name: one event a second for each source.
LOG_INTERVAL_SECONDS = 1.0
MAX_DETAIL_LENGTH = 200


class InputSource(Enum):
    """Where rejected input came from."""

    WORKER = "worker"
    CONFIGURATION = "configuration"
    WAVE = "wave"
    STORE = "store"
    JOB_RECORD = "job_record"
    LEADER = "leader"
    ENTRY_ADDRESS = "entry_address"
    PEER = "peer"
    BATCH = "batch"


class Rejections:
    """Counts each rejected input and logs each rejected value once."""

    def __init__(
        self, metrics: Metrics | None = None, clock: Clock | None = None
    ) -> None:
        self.metrics = metrics
        self.clock = clock or SystemClock()
        # Source, name and hash of each value.
        self.remembered: OrderedDict[tuple[InputSource, str, int], None] = OrderedDict()
        self.period_ends_at = float("-inf")
        self.lines_left = 0
        self.unlogged = 0

    def add(
        self,
        source: InputSource,
        name: str,
        value: bytes | int | None,
        error: str,
        event: Event = Event.INPUT_REJECTED,
    ) -> None:
        """Count a rejection; log it unless this value of ``name`` was logged before."""
        if self.metrics is not None:
            self.metrics.inputs_rejected.labels(source.value).inc()
        key = (source, name[:MAX_NAME_LENGTH], hash(value))
        known = key in self.remembered
        self.remembered[key] = None
        self.remembered.move_to_end(key)
        if known:
            return
        if len(self.remembered) > MAX_REMEMBERED_VALUES:
            self.remembered.popitem(last=False)
        if not self._may_log():
            self.unlogged += 1
            return
        log_event(
            event, source=source.value, name=ascii(name[:MAX_NAME_LENGTH])[1:-1],
            error=error, unlogged=self.unlogged,
        )  # fmt: skip
        self.unlogged = 0

    def _may_log(self) -> bool:
        now = self.clock.monotonic()
        if now >= self.period_ends_at:
            self.period_ends_at = now + PERIOD_SECONDS
            self.lines_left = MAX_LINES_PER_PERIOD
        self.lines_left -= 1
        return self.lines_left >= 0


class RejectedAnswers:
    """Counts the rejected answers of one source and logs one at a time."""

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
