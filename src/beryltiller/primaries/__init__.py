"""Primaries under asynchronous replication: terms, evidence, detection, promotion."""
