"""Entry point of ``python -m ebonyhub``; runs the command line."""

import sys

from .cli import main

sys.exit(main())
