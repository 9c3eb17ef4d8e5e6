"""The entry process on the platform.

An entry is a front-end process that accepts calls about jobs. Several run at a time,
and the one that is elected leader also schedules the jobs.
"""
