"""Benchmarks and long-running tests."""
