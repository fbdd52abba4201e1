"""Admission: who is served next at a database, and why."""
