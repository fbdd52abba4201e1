"""The process of a proxy: actors, servers, settings."""
