"""Benchmarks, loads and scenarios."""
