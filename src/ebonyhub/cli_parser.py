"""Arguments of the command line."""

import argparse
import os
import sys
from typing import NoReturn

from .cli_support import ExitCode
from .configuration_check.command import (
    add_arguments as add_configuration_check_arguments,
)


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
    add_configuration_check_arguments(
        commands.add_parser(
            "check-configuration",
            help="check a configuration of the platform's operators",
        )
    )
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
