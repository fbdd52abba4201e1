"""Clients of databases, of the platform and of other proxies."""
