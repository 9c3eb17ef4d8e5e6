"""Adapter to the users' platform: wire names, formats and calls, but no decisions.

The platform's wire names are used in this folder only. The rest of the package uses the
types of ``ebonyhub.cluster``, ``ebonyhub.jobs`` and ``ebonyhub.fleet``.
"""
