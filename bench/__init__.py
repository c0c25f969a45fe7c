"""Benchmarks of decision code."""
