"""Results of the checks of a configuration."""

from enum import Enum

import msgspec


class Severity(Enum):
    """Whether a finding makes the configuration invalid."""

    # The entries would leave a row out, replace it, or serve it in a way that is
    # certainly not intended.
    ERROR = "error"
    # Valid, but probably not intended.
    WARNING = "warning"


class Finding(msgspec.Struct, frozen=True):
    """One result of a check; ``place`` is a place in the document."""

    severity: Severity
    place: str
    message: str


def error(place: str, message: str) -> Finding:
    """Return a finding that makes the configuration invalid."""
    return Finding(Severity.ERROR, place, message)


def warning(place: str, message: str) -> Finding:
    """Return a finding that leaves the configuration valid."""
    return Finding(Severity.WARNING, place, message)
