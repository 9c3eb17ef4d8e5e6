"""Decides which task runs where and when; no module here does I/O."""
