"""The command ``check-configuration``."""

import argparse
from pathlib import Path

import msgspec

from ..cli_support import CommandError, ExitCode, call_api, command, printable
from ..configuration_view import ConfigurationView, view_configuration
from ..decoding import try_convert
from ..platform.config import decode_configuration
from ..platform.configuration_rows import MAX_DOCUMENT_BYTES, read_rows
from .checks import DEFAULT_TASK_CPU, check_rows
from .differences import Change, Difference, check_replacement, compare
from .findings import Finding, Severity, error


class Report(msgspec.Struct, frozen=True):
    """The result of the command, which is also its JSON output."""

    file: str
    valid: bool
    version: int | None
    # None if the configuration was compared with no other one.
    version_in_force: int | None
    findings: list[Finding]
    differences: list[Difference]


@command("check-configuration")
def run_check_configuration(args: argparse.Namespace) -> ExitCode:
    """Check a configuration, and compare it with the one in force."""
    value = _read(Path(args.file))
    in_force = _load_version_in_force(args)
    report = build_report(args.file, value, in_force, args.task_cpu)
    if args.output == "json":
        print(msgspec.json.format(msgspec.json.encode(report), indent=2).decode())
    else:
        print("\n".join(render(report)))
    return ExitCode.SUCCESS if report.valid else ExitCode.USAGE


def build_report(
    file: str, value: bytes, in_force: ConfigurationView | None, task_cpu: int
) -> Report:
    """Return all findings about a document and its differences, without I/O."""
    rows = read_rows(value)
    findings = check_rows(rows, task_cpu)
    if len(value) > MAX_DOCUMENT_BYTES:
        message = f"{len(value)} bytes; the store takes {MAX_DOCUMENT_BYTES} at most"
        findings.append(error("", message))
    differences: list[Difference] = []
    decoded = decode_configuration(value, rows.lists_workspaces)
    if decoded.is_error():
        if not findings:
            findings.append(error("", decoded.error))
    elif in_force is not None:
        new = view_configuration(decoded.ok)
        findings += check_replacement(in_force, new)
        differences = compare(in_force, new)
    return Report(
        file=file,
        valid=all(finding.severity is not Severity.ERROR for finding in findings),
        version=rows.version,
        version_in_force=in_force.version if in_force else None,
        findings=sorted(findings, key=lambda finding: finding.severity.value),
        differences=differences,
    )


def render(report: Report) -> list[str]:
    """Return the lines of the text output."""
    lines = [
        f"{finding.severity.value:<9}{printable(finding.place)}: "
        f"{printable(finding.message)}"
        for finding in report.findings
    ]
    lines += [_render_difference(difference) for difference in report.differences]
    found = [finding.severity for finding in report.findings]
    verdict = "valid" if report.valid else "not valid"
    summary = (
        f"{report.file}: {verdict}, {found.count(Severity.ERROR)} error(s), "
        f"{found.count(Severity.WARNING)} warning(s)"
    )
    if report.version_in_force is not None:
        summary += (
            f", {len(report.differences)} difference(s) from version "
            f"{report.version_in_force}"
        )
    return [*lines, summary]


def _render_difference(difference: Difference) -> str:
    row = " ".join(
        printable(part)
        for part in (difference.kind, difference.name, difference.field)
        if part
    )
    line = f"{difference.change.value:<13}{row}"
    if difference.change is Change.CHANGED:
        before, after = printable(difference.before), printable(difference.after)
        line += f": {before} -> {after}"
    return line


def _read(path: Path) -> bytes:
    try:
        return path.read_bytes()
    except OSError as cause:
        message = f"{path}: cannot be read: {cause.strerror}"
        raise CommandError(ExitCode.USAGE, message) from cause


def _load_version_in_force(args: argparse.Namespace) -> ConfigurationView | None:
    """Return the configuration to compare with; raises CommandError without it."""
    if args.against:
        value = _read(Path(args.against))
        decoded = decode_configuration(value, read_rows(value).lists_workspaces)
        if decoded.is_error():
            message = f"{args.against}: not a configuration: {decoded.error}"
            raise CommandError(ExitCode.USAGE, message)
        return view_configuration(decoded.ok)
    if args.server:
        answer = try_convert(
            call_api(args, "GET", "/v1/configuration"), ConfigurationView
        )
        if answer.is_error():
            message = f"{args.server}: the answer is no configuration: {answer.error}"
            raise CommandError(ExitCode.FAILED, message)
        return answer.ok
    return None


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of the command to its parser."""
    parser.add_argument("file", metavar="NEW", help="the configuration to check")
    other = parser.add_mutually_exclusive_group()
    other.add_argument("--against", metavar="FILE", help="configuration in force")
    other.add_argument(
        "--server",
        metavar="ADDRESS:PORT",
        help="status address of an entry, whose configuration is in force",
    )
    parser.add_argument("-o", "--output", choices=["text", "json"], default="text")
    parser.add_argument(
        "--task-cpu",
        type=positive_integer,
        default=DEFAULT_TASK_CPU,
        metavar="CPU",
        help="CPU of a useful task in thousandths of a core (default %(default)s)",
    )


def positive_integer(text: str) -> int:
    """Convert an argument; raises ValueError unless it is a positive integer."""
    number = int(text)
    if number < 1:
        raise ValueError(text)
    return number
