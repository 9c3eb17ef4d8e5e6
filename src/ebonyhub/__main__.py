"""Entry point of ``python -m ebonyhub``; runs the command line."""

import sys

from .launcher import main

sys.exit(main())
