"""Benchmarks, load generators and fault scenarios; not part of a proxy."""
