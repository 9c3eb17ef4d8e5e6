"""Decides which failed attempts are retried, and limits the share of retries."""

from collections import deque
from dataclasses import dataclass
from enum import Enum

from .errors import ErrorKind
from .http_client import ExchangeError

# Retries allowed within the window: a share of its requests, but at least the minimum.
RETRY_BUDGET_RATIO = 0.1
RETRY_BUDGET_MINIMUM = 3
RETRY_BUDGET_WINDOW_SECONDS = 10
MAX_ATTEMPTS = 3


class MethodClass(Enum):
    """Whether a request method may be repeated (RFC 9110, section 9.2)."""

    SAFE = "safe"
    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"


_METHOD_CLASSES = {
    "GET": MethodClass.SAFE,
    "HEAD": MethodClass.SAFE,
    "OPTIONS": MethodClass.SAFE,
    "PUT": MethodClass.IDEMPOTENT,
    "DELETE": MethodClass.IDEMPOTENT,
}


def classify_method(method: str) -> MethodClass:
    """Return the class of a method; unknown methods count as non-idempotent."""
    return _METHOD_CLASSES.get(method, MethodClass.NON_IDEMPOTENT)


def known_not_run(error: ExchangeError) -> bool:
    """Return whether the backend server certainly did not run the request."""
    return not error.any_bytes_written or error.kind is ErrorKind.BACKEND_REFUSED


def may_retry(
    method: MethodClass, error: ExchangeError, attempts: int, body_buffered: bool
) -> bool:
    """Return whether the policy allows another attempt (the budget is separate).

    Must not be called after a byte of the response was sent to the caller. A streamed
    body cannot be sent again once a byte of the request was written.
    """
    if attempts >= MAX_ATTEMPTS:
        return False
    if not body_buffered and error.any_bytes_written:
        return False
    return known_not_run(error) or method is not MethodClass.NON_IDEMPOTENT


@dataclass
class _SecondCounts:
    second: int
    requests: int = 0
    retries: int = 0


class RetryBudget:
    """Limits retries to a share of the recent requests, to prevent retry storms.

    Counts by whole seconds; ``requests`` and ``retries`` are the sums of the window.
    """

    def __init__(self) -> None:
        self.window: deque[_SecondCounts] = deque()
        self.requests = 0
        self.retries = 0

    def _current_counts(self, now: float) -> _SecondCounts:
        second = int(now)
        while (
            self.window
            and second - self.window[0].second >= RETRY_BUDGET_WINDOW_SECONDS
        ):
            expired = self.window.popleft()
            self.requests -= expired.requests
            self.retries -= expired.retries
        if not self.window or self.window[-1].second != second:
            self.window.append(_SecondCounts(second))
        return self.window[-1]

    def record_request(self, now: float) -> None:
        """Count a request; its retries are counted by ``try_spend``."""
        self._current_counts(now).requests += 1
        self.requests += 1

    def try_spend(self, now: float) -> bool:
        """Take one retry from the budget; return False if it is used up."""
        current = self._current_counts(now)
        allowed = max(RETRY_BUDGET_MINIMUM, RETRY_BUDGET_RATIO * self.requests)
        if self.retries + 1 > allowed:
            return False
        current.retries += 1
        self.retries += 1
        return True
