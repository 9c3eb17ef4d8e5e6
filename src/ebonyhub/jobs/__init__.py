"""Jobs: what callers submit, and how far it has come."""
