"""Checks of the decoded rows of a configuration, without I/O."""

from collections.abc import Iterable, Iterator, Sequence
from typing import TypeVar

from ..configuration import Queue, Service, Workspace
from ..configuration_view import fingerprint
from ..ids import ServiceName
from ..jobs.model import Resources
from ..platform.configuration_rows import ConfigurationRows, Row, place_of
from .findings import Finding, error, warning

# CPU of a useful task, in thousandths of a core, unless the caller gives another one.
DEFAULT_TASK_CPU = 1000

NamedRow = TypeVar("NamedRow", Queue, Service, Workspace)


def check_rows(rows: ConfigurationRows, task_cpu: int) -> list[Finding]:
    """Return all findings; ``task_cpu`` is what a useful task needs at least."""
    findings = [error(problem.place, problem.text) for problem in rows.problems]
    findings += _repeated_names(rows.queues, "a later route replaces it")
    findings += _repeated_names(rows.services, "a later service replaces it")
    findings += _repeated_workspaces(rows.workspaces)
    services = {row.value.name for row in rows.services}
    for queue in rows.queues:
        findings += _check_queue(queue, services)
    findings += _repeated_paths(rows.queues)
    for workspace in rows.workspaces:
        findings += _check_workspace(workspace, task_cpu)
    findings += _repeated_keys(rows.workspaces)
    unusable = "never matches: it has a control character, or a space at an end"
    findings += [warning(place, unusable) for place in rows.unusable_keys]
    return findings


def _repeated_names(rows: Sequence[Row[NamedRow]], effect: str) -> Iterator[Finding]:
    """Yield the rows that a later row of the same name replaces."""
    last = {row.value.name: row.place for row in rows}
    for row in rows:
        by = last[row.value.name]
        if by != row.place:
            message = f"the name {row.value.name!r} is also that of {by}; {effect}"
            yield error(place_of(row.place, "name"), message)


def _repeated_workspaces(rows: Iterable[Row[Workspace]]) -> Iterator[Finding]:
    """Yield the workspaces that are left out since an earlier one has their name."""
    first: dict[str, str] = {}
    for row in rows:
        by = first.setdefault(row.value.name, row.place)
        if by != row.place:
            message = (
                f"the name {row.value.name!r} is also that of {by}; this row and its "
                "keys are left out"
            )
            yield error(place_of(row.place, "name"), message)


def _repeated_paths(rows: Iterable[Row[Queue]]) -> Iterator[Finding]:
    """Yield the routes that never match, as another one has their host and path."""
    first: dict[tuple[str, str], Row[Queue]] = {}
    for row in rows:
        queue = row.value
        other = first.setdefault((queue.host.lower(), queue.prefix), row)
        # Rows of one name have a finding already.
        if other is not row and other.value.name != queue.name:
            message = (
                f"never matches: {other.place} ({other.value.name!r}) has the same "
                f"host {queue.host!r} and path {queue.prefix!r}"
            )
            yield error(place_of(row.place, "prefix"), message)


def _check_queue(row: Row[Queue], services: set[ServiceName]) -> Iterator[Finding]:
    queue = row.value
    if queue.service not in services:
        message = f"no service has the name {queue.service!r}; its jobs never start"
        yield error(place_of(row.place, "service"), message)
    # Entries compare the host of a call without case and without its port.
    if ":" in queue.host or not queue.host:
        message = f"never matches: a call has no host {queue.host!r}"
        yield error(place_of(row.place, "host"), message)
    if queue.prefix and not queue.prefix.startswith("/"):
        message = f"never matches: {queue.prefix!r} does not begin with '/'"
        yield error(place_of(row.place, "prefix"), message)
    if queue.timeout_seconds and queue.target_seconds > queue.timeout_seconds:
        message = (
            f"the objective of {queue.target_seconds:g} s is above the route's "
            f"time-out of {queue.timeout_seconds:g} s"
        )
        yield warning(place_of(row.place, "target_seconds"), message)
    if queue.max_attempts == 0:
        message = "0 attempts count as 1: a job fails with the first failure of a task"
        yield warning(place_of(row.place, "max_attempts"), message)


def _check_workspace(row: Row[Workspace], task_cpu: int) -> Iterator[Finding]:
    workspace = row.value
    if not workspace.key_digests:
        message = f"workspace {workspace.name!r} has no keys; no call belongs to it"
        yield warning(place_of(row.place, "keys"), message)
    if 0 < workspace.limit.cpu < task_cpu:
        message = (
            f"the limit of {workspace.limit.cpu} is below what a task needs "
            f"({task_cpu} thousandths of a core); such tasks run one at a time"
        )
        yield warning(place_of(row.place, "limit.cpu"), message)
    if workspace.weight == 0 and workspace.limit == Resources():
        message = (
            f"workspace {workspace.name!r} has a weight of 0 and no limit: it has no "
            "share and all its jobs are beyond its rate, but idle capacity is all its"
        )
        yield warning(place_of(row.place, "weight"), message)


def _repeated_keys(rows: Iterable[Row[Workspace]]) -> Iterator[Finding]:
    """Yield each key that belongs to an earlier workspace."""
    first: dict[bytes, Row[Workspace]] = {}
    for row in rows:
        for digest in sorted(row.value.key_digests):
            other = first.setdefault(digest, row)
            if other is row or other.value.name == row.value.name:
                continue
            message = (
                f"key {fingerprint(digest)} never matches: it belongs to {other.place} "
                f"({other.value.name!r})"
            )
            yield error(place_of(row.place, "keys"), message)
