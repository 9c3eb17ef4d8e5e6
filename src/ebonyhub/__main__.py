"""Runs the command line with ``python -m ebonyhub``."""

import sys

from .cli import main

sys.exit(main())
