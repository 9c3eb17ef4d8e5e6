"""Starts the command line; entry processes ignore reload signals until they are up.

SIGHUP ends a process by default, and importing the command line takes a third of a
second.
"""

import signal
import sys

SERVING_COMMANDS = frozenset({"serve", "serve-platform"})


def main() -> int:
    """Run the command line and return its exit code."""
    if not SERVING_COMMANDS.isdisjoint(sys.argv[1:]):
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from .cli import main as run_command_line

    return run_command_line()
