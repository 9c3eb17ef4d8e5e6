"""Error kinds of the entry process and the HTTP response for each of them."""

from dataclasses import dataclass
from enum import Enum

import msgspec


class Outcome(Enum):
    """Whether a request that ended in an error may have been carried out."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class ErrorKind(Enum):
    """Reason why an entry process itself answers a request with an error."""

    UNKNOWN_ROUTE = "unknown_route"
    INVALID_REQUEST = "invalid_request"
    HEADER_TOO_LARGE = "header_too_large"
    BODY_TOO_LARGE = "body_too_large"
    QUEUE_FULL = "queue_full"
    DEADLINE_UNREACHABLE = "deadline_unreachable"
    DEADLINE_EXPIRED_IN_QUEUE = "deadline_expired_in_queue"
    NO_HEALTHY_INSTANCE = "no_healthy_instance"
    CONNECT_FAILED = "connect_failed"
    CONNECTION_LIMIT = "connection_limit"
    BACKEND_REFUSED = "backend_refused"
    BACKEND_TIMEOUT = "backend_timeout"
    BACKEND_CLOSED = "backend_closed"
    BACKEND_TRUNCATED = "backend_truncated"
    BACKEND_MALFORMED = "backend_malformed"
    BACKEND_UNFRAMED = "backend_unframed"
    BACKEND_SURPLUS = "backend_surplus"
    CALLER_ABORTED = "caller_aborted"
    CONFIGURATION_MISSING = "configuration_missing"
    SHUTTING_DOWN = "shutting_down"
    UNKNOWN_JOB = "unknown_job"
    JOB_WITHDRAWN = "job_withdrawn"
    UNKNOWN_KEY = "unknown_key"
    CONFIGURATION_STALE = "configuration_stale"
    OVERLOADED = "overloaded"
    STORE_UNAVAILABLE = "store_unavailable"
    STORE_OUTCOME_UNKNOWN = "store_outcome_unknown"
    INTERNAL = "internal"


@dataclass(frozen=True)
class ErrorResponse:
    """HTTP status, outcome and Retry-After in seconds (None: no header) of an error."""

    status: int
    outcome: Outcome
    retry_after_seconds: int | None = None


_NOT_RUN, _UNKNOWN = Outcome.NOT_RUN, Outcome.UNKNOWN

ERROR_RESPONSES: dict[ErrorKind, ErrorResponse] = {
    ErrorKind.UNKNOWN_ROUTE: ErrorResponse(404, _NOT_RUN),
    ErrorKind.INVALID_REQUEST: ErrorResponse(400, _NOT_RUN),
    ErrorKind.HEADER_TOO_LARGE: ErrorResponse(431, _NOT_RUN),
    ErrorKind.BODY_TOO_LARGE: ErrorResponse(413, _NOT_RUN),
    ErrorKind.QUEUE_FULL: ErrorResponse(503, _NOT_RUN, 2),
    ErrorKind.DEADLINE_UNREACHABLE: ErrorResponse(503, _NOT_RUN, 2),
    ErrorKind.DEADLINE_EXPIRED_IN_QUEUE: ErrorResponse(503, _NOT_RUN, 2),
    ErrorKind.NO_HEALTHY_INSTANCE: ErrorResponse(503, _NOT_RUN, 2),
    ErrorKind.CONNECT_FAILED: ErrorResponse(503, _NOT_RUN, 1),
    ErrorKind.CONNECTION_LIMIT: ErrorResponse(503, _NOT_RUN, 1),
    ErrorKind.BACKEND_REFUSED: ErrorResponse(503, _NOT_RUN, 1),
    ErrorKind.BACKEND_TIMEOUT: ErrorResponse(504, _UNKNOWN),
    ErrorKind.BACKEND_CLOSED: ErrorResponse(502, _UNKNOWN),
    ErrorKind.BACKEND_TRUNCATED: ErrorResponse(502, _UNKNOWN),
    ErrorKind.BACKEND_MALFORMED: ErrorResponse(502, _UNKNOWN),
    ErrorKind.BACKEND_UNFRAMED: ErrorResponse(502, _UNKNOWN),
    ErrorKind.BACKEND_SURPLUS: ErrorResponse(502, _UNKNOWN),
    ErrorKind.CALLER_ABORTED: ErrorResponse(400, _UNKNOWN),
    ErrorKind.CONFIGURATION_MISSING: ErrorResponse(503, _NOT_RUN, 1),
    ErrorKind.SHUTTING_DOWN: ErrorResponse(503, _NOT_RUN, 1),
    ErrorKind.OVERLOADED: ErrorResponse(503, _NOT_RUN, 2),
    ErrorKind.JOB_WITHDRAWN: ErrorResponse(429, _NOT_RUN, 30),
    ErrorKind.UNKNOWN_JOB: ErrorResponse(410, _NOT_RUN),
    ErrorKind.UNKNOWN_KEY: ErrorResponse(401, _NOT_RUN),
    ErrorKind.CONFIGURATION_STALE: ErrorResponse(503, _NOT_RUN, 1),
    ErrorKind.STORE_UNAVAILABLE: ErrorResponse(503, _NOT_RUN, 2),
    ErrorKind.STORE_OUTCOME_UNKNOWN: ErrorResponse(504, _UNKNOWN),
    ErrorKind.INTERNAL: ErrorResponse(500, _UNKNOWN),
}


@dataclass(frozen=True)
class Refusal:
    """One refused request: the error kind and details for the caller."""

    kind: ErrorKind
    detail: str = ""
    # True if a byte of the request may have reached a backend server. The outcome is
    # then UNKNOWN, whatever ERROR_RESPONSES says.
    may_have_run: bool = False

    @property
    def outcome(self) -> Outcome:
        """Return the outcome to report to the caller."""
        if self.may_have_run:
            return Outcome.UNKNOWN
        return ERROR_RESPONSES[self.kind].outcome

    def body(self) -> bytes:
        """Return the JSON body of the response: error kind, outcome and detail."""
        return msgspec.json.encode(
            {
                "error": self.kind.value,
                "outcome": self.outcome.value,
                "detail": self.detail,
            }
        )
