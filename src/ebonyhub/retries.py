"""Retry policy and retry budget."""

from collections import deque
from dataclasses import dataclass
from enum import Enum

from .errors import ErrorKind
from .http_client import ExchangeError

BUDGET_RATIO = 0.1
BUDGET_MINIMUM = 3
BUDGET_WINDOW_SECONDS = 10
MAX_ATTEMPTS = 3


class MethodClass(Enum):
    """Whether the effect of a request may be repeated (RFC 9110, section 9.2)."""

    SAFE = "safe"
    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"


_METHODS = {
    "GET": MethodClass.SAFE,
    "HEAD": MethodClass.SAFE,
    "OPTIONS": MethodClass.SAFE,
    "PUT": MethodClass.IDEMPOTENT,
    "DELETE": MethodClass.IDEMPOTENT,
}


def classify_method(method: str) -> MethodClass:
    """Return the class of a method; unknown methods count as non-idempotent."""
    return _METHODS.get(method, MethodClass.NON_IDEMPOTENT)


def proves_not_run(error: ExchangeError) -> bool:
    """Return whether the attempt is known not to have run."""
    return not error.any_bytes_written or error.kind is ErrorKind.BACKEND_REFUSED


def may_retry(
    method: MethodClass, error: ExchangeError, attempts: int, body_buffered: bool
) -> bool:
    """Return whether the policy allows another attempt (the budget is separate).

    The caller asks only before the first byte of an answer was passed on.
    """
    if attempts >= MAX_ATTEMPTS:
        return False
    if not body_buffered and error.any_bytes_written:
        return False
    return proves_not_run(error) or method is not MethodClass.NON_IDEMPOTENT


@dataclass
class _Second:
    second: int
    requests: int = 0
    retries: int = 0


class RetryBudget:
    """Allows retries up to a share of the recent requests, against retry storms."""

    def __init__(self) -> None:
        self.seconds: deque[_Second] = deque()
        self.requests = 0
        self.retries = 0

    def _current(self, now: float) -> _Second:
        second = int(now)
        while self.seconds and second - self.seconds[0].second >= BUDGET_WINDOW_SECONDS:
            old = self.seconds.popleft()
            self.requests -= old.requests
            self.retries -= old.retries
        if not self.seconds or self.seconds[-1].second != second:
            self.seconds.append(_Second(second))
        return self.seconds[-1]

    def record_request(self, now: float) -> None:
        """Count a first attempt."""
        self._current(now).requests += 1
        self.requests += 1

    def try_spend(self, now: float) -> bool:
        """Take one retry from the budget if there is one."""
        current = self._current(now)
        allowed = max(BUDGET_MINIMUM, BUDGET_RATIO * self.requests)
        if self.retries + 1 > allowed:
            return False
        current.retries += 1
        self.retries += 1
        return True
