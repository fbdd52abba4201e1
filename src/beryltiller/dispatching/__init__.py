"""Dispatching: carry statements and transactions to databases."""
