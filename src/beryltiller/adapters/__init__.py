"""Adapters to outside systems and between proxies."""
