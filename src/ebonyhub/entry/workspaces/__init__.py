"""API keys of workspaces, and the configuration that holds them on each entry."""
