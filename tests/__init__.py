"""Tests; run them with ``make test``."""
