"""Membership: which proxies are running, and how they divide connections."""
