"""Serve callers: sessions, their limits, isolation and shutdown."""
