"""Admission: the order in which callers are served at a database, and why."""
