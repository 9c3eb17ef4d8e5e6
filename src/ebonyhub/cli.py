"""The command line. Commands for operators call the admin API over HTTP."""

import argparse
import asyncio
import gc
import sys
from collections.abc import Sequence
from pathlib import Path
from typing import Any
from urllib.parse import quote
from uuid import uuid4

import msgspec
import yaml
from absl import logging

from . import __version__
from .app import serve
from .cli_parser import build_parser
from .cli_support import COMMANDS, CommandError, ExitCode, call_api, command, printable
from .entry.process import serve_on_platform
from .log_output import buffer_stream
from .platform.settings import load_node_settings, settings_path
from .resources import parse_resources
from .settings import load_settings


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
LIVE_STATE_KINDS = frozenset({"jobs", "machines", "waves", "workspaces"})


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


def print_workspaces(answer: dict[str, Any], output: str) -> None:
    """Print workspaces; a table shows amounts as CPU/MB/accelerators, limits 0 as -."""
    if output != "table":
        print_records(answer["items"], output)
    else:
        print_records([_workspace_row(item) for item in answer["items"]], output)
    if not answer["has_usage"]:
        print(
            f"use, shares and waiting jobs: ask the leader, {answer['leader']}",
            file=sys.stderr,
        )


def _workspace_row(item: dict[str, Any]) -> dict[str, Any]:
    row = {**item, "workspace": printable(item["workspace"])}
    row["limit"] = "/".join(str(amount or "-") for amount in row["limit"].values())
    if "used" in row:
        row["used"] = "/".join(str(amount) for amount in row["used"].values())
        share = row["fair_share"]
        row["fair_share"] = "-" if share is None else f"{share:.1%}"
    return row


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
        answer = call_api(args, "GET", f"/v1/{args.kind}")
        if args.kind == "workspaces":
            print_workspaces(answer, args.output)
        else:
            print_records(answer["items"], args.output)
        return ExitCode.SUCCESS
    if args.name:
        items = [call_api(args, "GET", f"/v1/resources/{args.kind}/{args.name}")]
    else:
        items = call_api(args, "GET", f"/v1/resources/{args.kind}")["items"]
    print_resources(items, args.output)
    return ExitCode.SUCCESS


@command("describe")
def run_describe(args: argparse.Namespace) -> ExitCode:
    """Print a job, a workspace, or a resource with its last five changes."""
    if args.kind == "job":
        print_records([call_api(args, "GET", f"/v1/jobs/{args.name}")], "yaml")
        return ExitCode.SUCCESS
    if args.kind == "workspace":
        # Names of workspaces may contain any character.
        item = call_api(args, "GET", f"/v1/workspaces/{quote(args.name, safe='')}")
    else:
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
