"""The process that runs a proxy: its actors, servers and settings."""
