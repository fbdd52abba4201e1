"""Connections to databases, and their limits per proxy."""
