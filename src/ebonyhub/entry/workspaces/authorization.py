"""Decides which workspace a call acts for (pure)."""

from expression import Error, Ok, Result

from ...configuration import Configuration, Queue
from ...errors import ErrorKind
from ...ids import NO_WORKSPACE, WorkspaceName


def authorize(
    configuration: Configuration, queue: Queue, key: bytes | None
) -> Result[WorkspaceName, ErrorKind]:
    """Return the workspace of a call to a queue; ``key`` is None without an API key.

    An unknown key is refused even where calls without a key are served: its caller
    means a workspace, and would not find its jobs.
    """
    if not configuration.workspaces:
        return Ok(NO_WORKSPACE)
    if key is None:
        if queue.allows_anonymous:
            return Ok(NO_WORKSPACE)
        return Error(ErrorKind.UNKNOWN_KEY)
    workspace = configuration.workspace_of_key(key)
    return Error(ErrorKind.UNKNOWN_KEY) if workspace is None else Ok(workspace)
