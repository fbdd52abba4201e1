"""Primaries: terms, evidence, and promotion under asynchronous replication."""
