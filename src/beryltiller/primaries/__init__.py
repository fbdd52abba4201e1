"""Primaries under asynchronous replication: terms, evidence, detection, promotion.

A term is a numbered period in which at most one database of a group is primary. A
promotion starts the next term.
"""
