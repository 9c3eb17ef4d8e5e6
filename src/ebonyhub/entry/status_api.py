"""HTTP application for operators.

Serves metrics, the configuration, and the state of jobs, workspaces, VMs and waves.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import unquote

import msgspec
from blacksheep import Application, Content, Request, Response, Router
from prometheus_client import CollectorRegistry, generate_latest

from ..clock import SystemClock
from ..cluster.mirror import JobMirror
from ..configuration import Configuration
from ..configuration_view import view_configuration
from ..decoding import describe
from ..events import Event, log_event
from ..ids import NO_WORKSPACE, JobId, WorkspaceName
from ..metrics import Metrics
from ..refused_calls import RefusedCalls
from ..scheduling.controller import Controller
from ..scheduling.explain import explain_job
from ..workspace_metrics import WorkspaceCollector
from ..workspace_reports import WorkspaceOverview, WorkspaceReports

# Characters of a request's path that an answer repeats.
MAX_ECHO_LENGTH = 200


@dataclass(frozen=True, slots=True)
class StatusSources:
    """Data sources of the application.

    ``controller`` and ``workspaces`` return None on followers, and ``configuration``
    until the entry has one.
    """

    metrics: Metrics
    mirror: JobMirror
    controller: Callable[[], Controller | None]
    leader: Callable[[], str]
    configuration: Callable[[], Configuration | None] = lambda: None
    workspaces: Callable[[], WorkspaceOverview | None] = lambda: None
    refused: RefusedCalls = field(default_factory=lambda: RefusedCalls(SystemClock()))


class StatusApi(Application):
    """Read-only; only the leader can answer about runs, VMs and waves."""

    def __init__(self, sources: StatusSources) -> None:
        super().__init__(router=Router())
        self.sources = sources
        self.workspace_reports = WorkspaceReports(
            sources.configuration, sources.workspaces, sources.refused
        )
        self.workspace_registry = CollectorRegistry()
        self.workspace_registry.register(WorkspaceCollector(self.workspace_reports))

    async def handle(self, request: Request) -> Response:
        """Answer one request; an unexpected exception becomes an error response."""
        try:
            return self._answer(request)
        except Exception as error:
            log_event(Event.REQUEST_FAILED, error=describe(error))
            return _json(500, {"error": "internal", "reasons": []})

    def _answer(self, request: Request) -> Response:
        """Route a request by its path; unknown paths get a 404 answer."""
        path = request.url.path.decode("ascii", "replace").rstrip("/")
        if path == "/metrics":
            text = generate_latest(self.sources.metrics.registry)
            text += generate_latest(self.workspace_registry)
            return Response(200, content=Content(b"text/plain; version=0.0.4", text))
        if path == "/v1/jobs":
            return _json(200, {"items": self._jobs()})
        if path.startswith("/v1/jobs/"):
            return self._describe(JobId(path.removeprefix("/v1/jobs/")))
        if path in ("/v1/machines", "/v1/waves"):
            return self._fleet(path.removeprefix("/v1/"))
        if path == "/v1/workspaces":
            return self._workspaces()
        if path.startswith("/v1/workspaces/"):
            name = unquote(path.removeprefix("/v1/workspaces/"))
            return self._describe_workspace(WorkspaceName(name))
        if path == "/v1/configuration":
            return self._configuration()
        return _json(404, {"error": "not_found", "reasons": [path[:MAX_ECHO_LENGTH]]})

    def _jobs(self) -> list[dict[str, Any]]:
        return [
            {
                "job": job_id,
                "queue": job.queue,
                "state": job.visible_state.name.lower(),
            }
            for job_id, job in self.sources.mirror.jobs.items()
            if job.is_accepted
        ]

    def _describe(self, job_id: JobId) -> Response:
        job = self.sources.mirror.jobs.get(job_id)
        if job is None or not job.is_accepted:
            reason = f"no job {job_id[:MAX_ECHO_LENGTH]}"
            return _json(404, {"error": "not_found", "reasons": [reason]})
        data: dict[str, Any] = {
            "job": job_id,
            "queue": job.queue,
            "state": job.visible_state.name.lower(),
            "leader": self.sources.leader(),
        }
        controller = self.sources.controller()
        if controller is not None:
            now = controller.clock.monotonic()
            if job.accepted is not None:
                data["accepted_ms"] = job.accepted.accepted_ms
                if job.accepted.workspace:
                    data["workspace"] = job.accepted.workspace
            data["waits_because"] = explain_job(
                controller.scheduler, job_id, now, self.sources.workspaces()
            )
        return _json(200, data)

    def _workspaces(self) -> Response:
        """Return all workspaces; the rows of followers lack what only leaders know."""
        data = {
            "items": self.workspace_reports.items(),
            "leader": self.sources.leader(),
            "has_usage": self.sources.workspaces() is not None,
            "refused_without_workspace": self.sources.refused.by_reason(NO_WORKSPACE),
        }
        return _json(200, data)

    def _describe_workspace(self, name: WorkspaceName) -> Response:
        data = self.workspace_reports.describe(name)
        if data is None:
            reason = f"no workspace {name[:MAX_ECHO_LENGTH]}"
            return _json(404, {"error": "not_found", "reasons": [reason]})
        return _json(200, {**data, "leader": self.sources.leader()})

    def _configuration(self) -> Response:
        """Return the configuration in force here, with fingerprints of the keys."""
        configuration = self.sources.configuration()
        if configuration is None:
            reason = "this entry has no configuration yet"
            return _json(503, {"error": "configuration_missing", "reasons": [reason]})
        return _json(200, view_configuration(configuration))

    def _fleet(self, kind: str) -> Response:
        controller = self.sources.controller()
        if controller is None or controller.fleet is None:
            reason = f"ask the leader, {self.sources.leader()}"
            return _json(503, {"error": "not_leader", "reasons": [reason]})
        planner = controller.fleet.planner
        items: list[dict[str, Any]]
        if kind == "machines":
            changes = planner.changes
            items = [
                {
                    "machine": vm.vm_id,
                    "pool": vm.pool,
                    "state": vm.state.value,
                    "rack": vm.rack,
                    "change": (
                        changes[vm.vm_id].phase.value if vm.vm_id in changes else ""
                    ),
                }
                for vm in planner.vms.values()
            ]
        else:
            items = [
                {
                    "wave": state.wave.wave_id,
                    "machines": len(state.wave.vms),
                    "begun": len(state.begun),
                    "completed": state.completed,
                }
                for state in planner.waves.values()
            ]
        return _json(200, {"items": items})


def _json(status: int, data: Any) -> Response:
    return Response(
        status, content=Content(b"application/json", msgspec.json.encode(data))
    )
