"""Adapters that implement the ports with real I/O."""
