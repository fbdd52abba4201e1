"""Membership: which proxies run, and how they share out work."""
