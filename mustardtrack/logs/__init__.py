"""Numbered log events and invariant checks that are always enabled."""

from mustardtrack.logs.events import (
    Event,
    InvariantViolationError,
    add_event_listener,
    configure_logging,
    define_event,
    defined_events,
    log_event,
    remove_event_listener,
    require_invariant,
)

__all__ = [
    "Event",
    "InvariantViolationError",
    "add_event_listener",
    "configure_logging",
    "define_event",
    "defined_events",
    "log_event",
    "remove_event_listener",
    "require_invariant",
]
