"""Limits and shares of workspaces (pure)."""
