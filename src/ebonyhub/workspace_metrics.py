"""Metrics of workspaces, computed when they are read.

A collector that is asked at each scrape costs nothing in between, and a workspace that
was removed, or a leader's figures after its term, leave no label behind.
"""

from collections.abc import Iterator
from math import fsum

from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    Metric,
)
from prometheus_client.registry import Collector

from .ids import NO_WORKSPACE, WorkspaceName
from .jobs.model import Resources
from .refused_calls import (
    MAX_NAMED_WORKSPACES,
    OTHER_WORKSPACES,
    sorted_by_name,
)
from .scheduling.workspaces.status import WorkspaceStatus
from .workspace_reports import WorkspaceReports, resources_to_builtins

PREFIX = "ebonyhub_workspace_"


class WorkspaceCollector(Collector):
    """Yields the metrics of workspaces; none where no workspaces are configured."""

    def __init__(self, reports: WorkspaceReports) -> None:
        self.reports = reports

    def collect(self) -> Iterator[Metric]:
        """Yield each family with at most 256 workspaces and ``other``."""
        configured = self.reports.configured()
        if not configured:
            return
        self.reports.refused.keep_only(configured.keys())
        # New workspaces are usually appended, so the order of the configuration keeps
        # the labels of the others.
        named = set(list(configured)[:MAX_NAMED_WORKSPACES])
        yield self._refusals(named)
        statuses = self.reports.statuses()
        if statuses is not None:
            groups: dict[WorkspaceName, list[WorkspaceStatus]] = {}
            for name, status in statuses.items():
                if name != NO_WORKSPACE:
                    label = name if name in named else OTHER_WORKSPACES
                    groups.setdefault(label, []).append(status)
            yield from _gauges(groups)

    def _refusals(self, named: set[WorkspaceName]) -> Metric:
        family = CounterMetricFamily(
            f"{PREFIX}refused_calls",
            "Refused calls on this entry by workspace (empty: none known) and reason.",
            labels=("workspace", "reason"),
        )
        totals: dict[tuple[str, str], int] = {}
        for name, counts in self.reports.refused.counts.items():
            has_label = name in named or name == NO_WORKSPACE
            label = name if has_label else OTHER_WORKSPACES
            for kind, count in sorted_by_name(counts):
                key = (label, kind.value)
                totals[key] = totals.get(key, 0) + count
        for labels, total in totals.items():
            family.add_metric(labels, total)
        return family


def _gauges(groups: dict[WorkspaceName, list[WorkspaceStatus]]) -> Iterator[Metric]:
    used = _gauge("used", "Reserved by runs: CPU in thousandths of a core.", "resource")
    limit = _gauge("limit", "Limit on what may be reserved, if any.", "resource")
    weight = _gauge("weight", "Weight, also jobs per second without delay.")
    fair_share = _gauge("fair_share", "Share during a shortage, if there is one.")
    waiting = _gauge("waiting_jobs", "Jobs with tasks that wait.")
    over_rate = _gauge("over_rate_jobs", "Jobs beyond the rate of the workspace.")
    for label, statuses in groups.items():
        total = Resources()
        for status in statuses:
            total += status.used
        for resource, amount in resources_to_builtins(total).items():
            used.add_metric((label, resource), amount)
        # The sum over workspaces, some of them without a limit, limits nothing.
        if label != OTHER_WORKSPACES:
            for resource, amount in resources_to_builtins(statuses[0].limit).items():
                if amount:
                    limit.add_metric((label, resource), amount)
        weight.add_metric((label,), fsum(status.weight for status in statuses))
        shares = [s.fair_share for s in statuses if s.fair_share is not None]
        if shares:
            fair_share.add_metric((label,), fsum(shares))
        waiting.add_metric((label,), sum(s.waiting_jobs for s in statuses))
        over_rate.add_metric((label,), sum(s.over_rate_jobs for s in statuses))
    yield from (used, limit, weight, fair_share, waiting, over_rate)


def _gauge(name: str, text: str, *labels: str) -> GaugeMetricFamily:
    return GaugeMetricFamily(f"{PREFIX}{name}", text, labels=("workspace", *labels))
