"""The command line. Commands for operators call the admin API over HTTP."""

import argparse
import asyncio
import gc
import os
import sys
from collections.abc import Callable, Sequence
from enum import IntEnum
from pathlib import Path
from typing import Any, NoReturn
from uuid import uuid4

import msgspec
import yaml
from absl import logging

from . import __version__
from .app import serve
from .entry.process import serve_on_platform
from .http_client import Header, SmallResponse, request_once
from .log_output import buffer_stream
from .platform.settings import load_node_settings, settings_path
from .resources import parse_resources
from .settings import load_settings


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


def print_resources(items: Sequence[dict[str, Any]], output: str) -> None:
    """Print resources as a table, JSON or YAML, as ``output`` says."""
    if output == "json":
        print(msgspec.json.format(msgspec.json.encode(items), indent=2).decode())
        return
    if output == "yaml":
        print(yaml.safe_dump_all(items, sort_keys=False), end="")
        return
    print(f"{'KIND':<10}{'NAME':<28}{'GENERATION':<12}SPEC")
    for item in items:
        spec = " ".join(f"{key}={value}" for key, value in item["spec"].items())
        print(f"{item['kind']:<10}{item['name']:<28}{item['generation']:<12}{spec}")


@command("serve")
def run_serve(args: argparse.Namespace) -> ExitCode:
    """Run an entry process with a settings file."""
    loaded = load_settings(Path(args.settings))
    if loaded.is_error():
        raise CommandError(ExitCode.USAGE, loaded.error)
    logging.set_verbosity(logging.INFO)
    logging.use_absl_handler()
    # The objects created so far live as long as the process, so the garbage collector
    # need not scan them.
    gc.freeze()
    asyncio.run(serve(loaded.ok))
    return ExitCode.SUCCESS


@command("serve-platform")
def run_serve_platform(args: argparse.Namespace) -> ExitCode:
    """Run an entry process with the settings that the platform provides."""
    loaded = load_node_settings(settings_path())
    if loaded.is_error():
        raise CommandError(ExitCode.USAGE, loaded.error)
    logging.set_verbosity(logging.INFO)
    logging.use_absl_handler()
    output = buffer_stream(sys.stdout)
    logging.get_absl_handler().python_handler.stream = output
    gc.freeze()
    try:
        asyncio.run(serve_on_platform(loaded.ok, output))
    finally:
        output.write_pending()
    return ExitCode.SUCCESS


@command("check-settings")
def run_check_settings(args: argparse.Namespace) -> ExitCode:
    """Check settings and resource files without starting a process."""
    problems: list[str] = []
    for name in args.files:
        problems += check_file(Path(name))
    if problems:
        raise CommandError(ExitCode.USAGE, "\n".join(problems))
    print(f"{len(args.files)} file(s) are valid")
    return ExitCode.SUCCESS


def check_file(path: Path) -> list[str]:
    """Return the errors in a file of settings, or of resources if it has a ``kind``."""
    try:
        text = path.read_text()
    except OSError as error:
        return [f"{path}: cannot be read: {error.strerror}"]
    if "\nkind:" in f"\n{text}":
        resources = parse_resources(str(path), text)
        return resources.error if resources.is_error() else []
    settings = load_settings(path)
    return [settings.error] if settings.is_error() else []


@command("apply")
def run_apply(args: argparse.Namespace) -> ExitCode:
    """Create or replace all resources of a file in one change."""
    path = Path(args.file)
    try:
        text = path.read_text()
    except OSError as error:
        message = f"{path}: cannot be read: {error.strerror}"
        raise CommandError(ExitCode.USAGE, message) from error
    parsed = parse_resources(str(path), text)
    if parsed.is_error():
        raise CommandError(ExitCode.USAGE, "\n".join(parsed.error))
    items = [{**r.to_builtins(), "generation": 0} for r in parsed.ok]
    change_id = args.change_id or str(uuid4())
    target = "/v1/apply?dry_run=true" if args.dry_run else "/v1/apply"
    headers = [(b"X-Change-Id", change_id.encode())]
    answer = call_api(args, "POST", target, items, headers)
    prefix = "would be" if args.dry_run else "accepted as"
    print(f"{len(items)} resource(s) {prefix} generation {answer['generation']}")
    return ExitCode.SUCCESS


# Kinds of ``get`` that are not declared resources but state of the running cluster.
LIVE_STATE_KINDS = frozenset({"jobs", "machines", "waves"})


def print_records(rows: Sequence[dict[str, Any]], output: str) -> None:
    """Print state of the cluster as a table, JSON or YAML, as ``output`` says."""
    if output == "json":
        print(msgspec.json.format(msgspec.json.encode(rows), indent=2).decode())
    elif output == "yaml":
        print(yaml.safe_dump(list(rows), sort_keys=False), end="")
    elif rows:
        print("  ".join(f"{name.upper():<18}" for name in rows[0]).rstrip())
        for row in rows:
            print("  ".join(f"{value!s:<18}" for value in row.values()).rstrip())


@command("explain")
def run_explain(args: argparse.Namespace) -> ExitCode:
    """Print why a job waits, which only the leader knows."""
    data = call_api(args, "GET", f"/v1/jobs/{args.job}")
    print(f"job {args.job} of queue {data['queue']} is {data['state']}")
    if "waits_because" not in data:
        raise CommandError(
            ExitCode.UNREACHABLE,
            f"only the leader, {data['leader']}, knows the reasons",
        )
    for reason in data["waits_because"]:
        print(f"- {reason}")
    return ExitCode.SUCCESS


@command("get")
def run_get(args: argparse.Namespace) -> ExitCode:
    """Print the resources of a kind, or one of them."""
    if args.kind in LIVE_STATE_KINDS:
        items = call_api(args, "GET", f"/v1/{args.kind}")["items"]
        print_records(items, args.output)
        return ExitCode.SUCCESS
    if args.name:
        items = [call_api(args, "GET", f"/v1/resources/{args.kind}/{args.name}")]
    else:
        items = call_api(args, "GET", f"/v1/resources/{args.kind}")["items"]
    print_resources(items, args.output)
    return ExitCode.SUCCESS


@command("describe")
def run_describe(args: argparse.Namespace) -> ExitCode:
    """Print a job, or a resource with its last five changes."""
    if args.kind == "job":
        print_records([call_api(args, "GET", f"/v1/jobs/{args.name}")], "yaml")
        return ExitCode.SUCCESS
    item = call_api(args, "GET", f"/v1/resources/{args.kind}/{args.name}")
    records = call_api(args, "GET", "/v1/audit")["items"]
    label = f"{args.kind}/{args.name}"
    item["changes"] = [r for r in records if label in r["summary"]][-5:]
    if args.output == "json":
        print(msgspec.json.format(msgspec.json.encode(item), indent=2).decode())
    else:
        print(yaml.safe_dump(item, sort_keys=False), end="")
    return ExitCode.SUCCESS


@command("delete")
def run_delete(args: argparse.Namespace) -> ExitCode:
    """Delete one resource."""
    answer = call_api(args, "DELETE", f"/v1/resources/{args.kind}/{args.name}")
    print(f"{args.kind}/{args.name} deleted in generation {answer['generation']}")
    return ExitCode.SUCCESS


@command("watch")
def run_watch(args: argparse.Namespace) -> ExitCode:
    """Print each new generation until ``--count`` were printed (0: without end)."""
    generation = args.after
    printed = 0
    while args.count == 0 or printed < args.count:
        answer = call_api(args, "GET", f"/v1/watch?after={generation}")
        if answer["generation"] > generation:
            generation = answer["generation"]
            printed += 1
            print(f"generation {generation}", flush=True)
    return ExitCode.SUCCESS


@command("version")
def run_version(args: argparse.Namespace) -> ExitCode:
    """Print the version."""
    print(f"ebonyhub {__version__}")
    return ExitCode.SUCCESS


class Parser(argparse.ArgumentParser):
    """Argument parser that exits with ExitCode.USAGE on wrong arguments."""

    def error(self, message: str) -> NoReturn:
        """Print the usage and the error, and exit."""
        self.print_usage(sys.stderr)
        self.exit(ExitCode.USAGE, f"{self.prog}: error: {message}\n")


def build_parser() -> argparse.ArgumentParser:
    """Return the parser of the command line with all subcommands."""
    parser = Parser(
        prog="ebonyhub",
        description="Manage the capacity and maintenance of a fleet of VMs.",
    )
    commands = parser.add_subparsers(dest="command", required=True)
    serve_parser = commands.add_parser("serve", help="run an entry process")
    serve_parser.add_argument("--settings", required=True, metavar="FILE")
    check_parser = commands.add_parser(
        "check-settings", help="check settings and resource files"
    )
    check_parser.add_argument("files", nargs="+", metavar="FILE")
    commands.add_parser("serve-platform", help="run an entry process on the platform")
    commands.add_parser("version", help="print the version")
    server_options = Parser(add_help=False)
    default_server = os.environ.get("EBONYHUB_SERVER", "127.0.0.1:9080")
    server_options.add_argument(
        "--server", default=default_server, metavar="ADDRESS:PORT"
    )
    apply_parser = commands.add_parser(
        "apply",
        parents=[server_options],
        help="create or replace the resources of a file",
    )
    apply_parser.add_argument("-f", "--file", required=True)
    apply_parser.add_argument("--dry-run", action="store_true")
    apply_parser.add_argument(
        "--change-id",
        help="id of the change; a repeat with the same id has no second effect",
    )
    for name in ("get", "describe", "delete"):
        resource_parser = commands.add_parser(
            name, parents=[server_options], help=f"{name} resources"
        )
        resource_parser.add_argument("kind")
        resource_parser.add_argument("name", nargs="?" if name == "get" else None)
        choices = ["table", "json", "yaml"]
        resource_parser.add_argument("-o", "--output", choices=choices, default="table")
    explain_parser = commands.add_parser(
        "explain", parents=[server_options], help="print why a job waits"
    )
    explain_parser.add_argument("job")
    watch_parser = commands.add_parser(
        "watch", parents=[server_options], help="print each new generation"
    )
    watch_parser.add_argument("--after", type=int, default=0, metavar="GENERATION")
    watch_parser.add_argument(
        "--count", type=int, default=0, help="generations to print; 0: no limit"
    )
    return parser


def main(argv: Sequence[str] | None = None) -> int:
    """Run the command line and return its exit code."""
    args = build_parser().parse_args(argv)
    try:
        return COMMANDS[args.command](args)
    except CommandError as error:
        print(f"ebonyhub: {error}", file=sys.stderr)
        return error.code
    except KeyboardInterrupt:
        return ExitCode.FAILED


if __name__ == "__main__":
    sys.exit(main())
