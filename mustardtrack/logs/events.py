"""Numbered log events.

Each module defines the events that it logs as constants with
:func:`define_event`. ``docs/events.md`` lists all of them, and a test compares
the page with the code. Number ranges: 1000 agreement, 2000 configuration,
3000 idempotency, 4000 membership, 5000 routing, 6000 admission, 7000 requests,
8000 adapters and processes.
"""

import json
import sys
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, TextIO

from loguru import logger

from mustardtrack.logs.rate_limited_writer import RateLimitedWriter

LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")

EventListener = Callable[["Event", dict[str, Any]], None]

_EVENTS: dict[int, "Event"] = {}
_LISTENERS: list[EventListener] = []


@dataclass(frozen=True)
class Event:
    """One kind of log event."""

    number: int
    level: str
    text: str


class InvariantViolationError(AssertionError):
    """An invariant of the system does not hold.

    The unit of work that detects the violation must abort before it causes damage.

    Attributes:
        event: The log event of the invariant.
        fields: The values that violate the invariant.
    """

    def __init__(self, event: Event, fields: dict[str, Any]):
        super().__init__(f"event {event.number}: {event.text} {fields}")
        self.event = event
        self.fields = fields


def define_event(number: int, level: str, text: str) -> Event:
    """Define a numbered event.

    Args:
        number: Unique event number.
        level: One of ``LEVELS``.
        text: Constant message text; variable values belong in fields.

    Returns:
        The event, for use with :func:`log_event`.

    Raises:
        ValueError: If another event has the number or the level is unknown.

    Examples:
        >>> define_event(9900, "INFO", "example event").number
        9900
    """
    event = Event(number, level, text)
    if level not in LEVELS:
        raise ValueError(f"event {number} has unknown level {level!r}, use {LEVELS}")
    if _EVENTS.setdefault(number, event) != event:
        raise ValueError(f"event number {number} is already used, choose a free one")
    return event


def defined_events() -> list[Event]:
    """Return all events of the modules imported so far, sorted by number."""
    return [_EVENTS[number] for number in sorted(_EVENTS)]


def add_event_listener(listener: EventListener) -> None:
    """Call ``listener(event, fields)`` for each logged event."""
    _LISTENERS.append(listener)


def remove_event_listener(listener: EventListener) -> None:
    """Stop calling a listener added with :func:`add_event_listener`."""
    _LISTENERS.remove(listener)


def log_event(event: Event, **fields: Any) -> None:
    """Log an event with its fields and notify the listeners.

    Field values must never contain keys, tokens or request bodies.
    """
    logger.bind(event=event.number, fields=fields).log(event.level, event.text)
    for listener in _LISTENERS:
        listener(event, fields)


def require_invariant(condition: bool, event: Event, **fields: Any) -> None:
    """Log the event and raise if an invariant does not hold.

    Raises:
        InvariantViolationError: If ``condition`` is false.
    """
    if not condition:
        log_event(event, **fields)
        raise InvariantViolationError(event, fields)


def configure_logging(
    stream: TextIO | RateLimitedWriter | None = None, level: str = "INFO"
) -> None:
    """Write one JSON object per event to a stream, standard error by default."""
    target = stream or sys.stderr

    def write(message: Any) -> None:
        record = message.record
        line = {
            "time": record["time"].isoformat(timespec="milliseconds"),
            "level": record["level"].name,
            "event": record["extra"].get("event"),
            "text": record["message"],
            **record["extra"].get("fields", {}),
        }
        target.write(json.dumps(line, default=str) + "\n")
        target.flush()

    logger.remove()
    logger.add(write, level=level)
