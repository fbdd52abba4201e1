"""Replacement of primaries: when it is needed, its steps, and their execution."""
