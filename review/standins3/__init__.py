"""Stand-ins for the cases of review 3; they need the standard library only."""
