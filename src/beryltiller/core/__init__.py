"""Values, ports and small helpers that every other part uses."""
