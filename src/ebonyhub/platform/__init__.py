"""Adapter to the users' platform: names, formats and calls, and no decisions.

Every name of the platform's wire stays in this folder. The rest of the package uses
the types of ``ebonyhub.cluster``, ``ebonyhub.jobs`` and ``ebonyhub.fleet``.
"""
