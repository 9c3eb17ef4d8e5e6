"""Reports that are drawn from the entries' logs."""
