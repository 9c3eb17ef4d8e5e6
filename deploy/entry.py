"""Starts an entry process from a checkout.

The package's parent folder goes on the path. The package's own folder never does, since
its folder ``platform`` would hide the standard library's module of that name.
"""

import sys
from pathlib import Path

SOURCE = Path(__file__).resolve().parent.parent / "src"

if __name__ == "__main__":
    sys.path[0] = str(SOURCE)
    from ebonyhub.launcher import main

    sys.argv = ["ebonyhub", "serve-platform"]
    sys.exit(main())
