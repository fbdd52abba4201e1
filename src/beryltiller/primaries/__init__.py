"""Primaries of database groups: terms, evidence of terms, detection and promotion."""
