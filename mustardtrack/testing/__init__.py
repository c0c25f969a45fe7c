"""Stand-ins for outside systems, and helpers that start processes for tests."""

from mustardtrack.testing.client import call, open_request, read_stream
from mustardtrack.testing.fleet import Fleet, FleetProcess
from mustardtrack.testing.text import expected_text

__all__ = [
    "Fleet",
    "FleetProcess",
    "call",
    "expected_text",
    "open_request",
    "read_stream",
]
