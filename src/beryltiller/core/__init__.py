"""Values, ports and small helpers that all other packages use."""
