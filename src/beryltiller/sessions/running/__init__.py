"""Run statements at databases: placement, connections, retries and records."""
