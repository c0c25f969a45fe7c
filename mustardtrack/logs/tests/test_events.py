"""Guards against duplicate event numbers and unreported invariant violations."""

import io
import json

import pytest
from loguru import logger

from mustardtrack.logs import (
    InvariantViolationError,
    add_event_listener,
    configure_logging,
    define_event,
    log_event,
    remove_event_listener,
    require_invariant,
)

EXAMPLE_EVENT = define_event(9901, "ERROR", "example invariant")


def test_event_number_cannot_be_reused():
    with pytest.raises(ValueError, match="already used"):
        define_event(9901, "ERROR", "something else")


def test_violated_invariant_raises_and_notifies_listeners():
    recorded = []

    def record_event(event, fields):
        recorded.append((event.number, fields))

    add_event_listener(record_event)
    try:
        require_invariant(True, EXAMPLE_EVENT)
        with pytest.raises(InvariantViolationError):
            require_invariant(False, EXAMPLE_EVENT, index=3)
    finally:
        remove_event_listener(record_event)
    assert recorded == [(9901, {"index": 3})]


def test_log_lines_are_json_with_event_number():
    stream = io.StringIO()
    configure_logging(stream)
    try:
        log_event(EXAMPLE_EVENT, endpoint="engine-1")
    finally:
        logger.remove()
    line = json.loads(stream.getvalue())
    assert line["event"] == 9901
    assert line["endpoint"] == "engine-1"
