"""Benchmarks and long test runs."""
