"""Adapters between the users' platform and beryltiller; they make no decisions."""
