"""Assigns tasks to workers and tracks their runs.

``scheduler`` and the modules it is composed of do no I/O; ``controller`` connects them
to the store and the workers.
"""
