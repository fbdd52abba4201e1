"""Stand-ins for outside systems, and small systems of processes on one machine."""
