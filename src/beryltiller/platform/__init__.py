"""Translate between the users' platform and the product; nothing is decided here."""
