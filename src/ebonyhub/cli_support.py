"""What the commands of the command line share: exit codes, errors and API calls."""

import argparse
import asyncio
import os
from collections.abc import Callable, Sequence
from enum import IntEnum
from typing import Any

import msgspec

from .http_client import Header, SmallResponse, request_once


class ExitCode(IntEnum):
    """Exit codes of the command line, which the documentation lists."""

    SUCCESS = 0
    FAILED = 1
    USAGE = 2
    CONFLICT = 3
    NOT_FOUND = 4
    UNKNOWN = 5
    UNREACHABLE = 6


# Other statuses than 200 and these give FAILED.
EXIT_CODE_BY_HTTP_STATUS = {
    404: ExitCode.NOT_FOUND,
    409: ExitCode.CONFLICT,
    422: ExitCode.USAGE,
    503: ExitCode.UNREACHABLE,
    504: ExitCode.UNKNOWN,
}

Command = Callable[[argparse.Namespace], ExitCode]
COMMANDS: dict[str, Command] = {}


class CommandError(Exception):
    """Ends a command with a message on standard error and an exit code."""

    def __init__(self, code: ExitCode, message: str) -> None:
        super().__init__(message)
        self.code = code


def command(name: str) -> Callable[[Command], Command]:
    """Return a decorator that registers the function of a subcommand."""

    def register(function: Command) -> Command:
        COMMANDS[name] = function
        return function

    return register


def call_api(
    args: argparse.Namespace,
    method: str,
    target: str,
    body: Any = None,
    headers: Sequence[Header] = (),
) -> Any:
    """Call the admin API and return the decoded response; raises CommandError."""
    address, _, port = args.server.rpartition(":")
    if not port.isdigit():
        raise CommandError(
            ExitCode.USAGE, f"--server {args.server}: expected ADDRESS:PORT"
        )
    token = os.environ.get("EBONYHUB_TOKEN", "")
    request_headers = [(b"Authorization", f"Bearer {token}".encode()), *headers]
    data = None if body is None else msgspec.json.encode(body)
    result = asyncio.run(
        request_once(address, int(port), method, target, data, request_headers, 40.0)
    )
    if result.is_error():
        unknown = result.error.any_bytes_written and method != "GET"
        code = ExitCode.UNKNOWN if unknown else ExitCode.UNREACHABLE
        reason = f"{args.server}: {result.error.kind.value} {result.error.detail}"
        raise CommandError(code, reason)
    return decode_answer(result.ok)


def decode_answer(response: SmallResponse) -> Any:
    """Return the JSON of a successful response; raises CommandError otherwise."""
    try:
        data = msgspec.json.decode(response.body) if response.body else None
    except msgspec.DecodeError as error:
        message = f"response of the server is not valid JSON: {error}"
        raise CommandError(ExitCode.FAILED, message) from error
    if response.status == 200:
        return data
    code = EXIT_CODE_BY_HTTP_STATUS.get(response.status, ExitCode.FAILED)
    reasons = data.get("reasons", []) if isinstance(data, dict) else []
    error_name = data.get("error", "") if isinstance(data, dict) else ""
    lines = reasons or [f"status {response.status}"]
    raise CommandError(code, "\n".join(f"{error_name}: {line}" for line in lines))


def printable(value: object) -> str:
    """Return a text without line breaks and other control characters."""
    return "".join(c if c.isprintable() else ascii(c)[1:-1] for c in str(value))
