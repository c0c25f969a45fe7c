"""Tests of the cache index updates from cache events.

Guards against index entries that outlive an engine incarnation, and against lost
events that leave the confidence unchanged.
"""

import asyncio
from types import SimpleNamespace

import pytest

from mustardtrack.adapters.endpoint_client import EndpointError, EndpointResponse
from mustardtrack.adapters.metrics import InMemoryMetrics
from mustardtrack.process.cache_events import (
    CacheEventRow,
    CacheEventsTask,
    EventCursor,
    EventsBody,
    apply_events,
)
from mustardtrack.routing import CacheIndex


def body(incarnation, last, *events):
    return EventsBody(incarnation, 1, last, [CacheEventRow(*event) for event in events])


def test_stored_and_evicted_events_update_the_index():
    index, cursor = CacheIndex(100), EventCursor()
    answer = body("a", 2, (1, "stored", "0a"), (2, "stored", "0b"))
    assert apply_events(index, "e", cursor, answer, 0) == 0
    assert index.match("e", "a", (10, 11), 0).pieces == 2
    assert apply_events(index, "e", cursor, body("a", 3, (3, "evicted", "0b")), 0) == 0
    assert index.match("e", "a", (10, 11), 0).pieces == 1


def test_new_incarnation_clears_entries_of_the_previous_one():
    index, cursor = CacheIndex(100), EventCursor()
    apply_events(index, "e", cursor, body("a", 1, (1, "stored", "0a")), 0)
    apply_events(index, "e", cursor, body("b", 0), 0)
    assert index.match("e", "a", (10,), 0).pieces == 0
    assert index.match("e", "b", (10,), 0).pieces == 0


def test_lost_events_lower_the_confidence():
    index, cursor = CacheIndex(100), EventCursor()
    apply_events(index, "e", cursor, body("a", 1, (1, "stored", "0a")), 0)
    before = index.match("e", "a", (10,), 0).confidence
    assert apply_events(index, "e", cursor, body("a", 4, (4, "stored", "0c")), 0) == 2
    assert index.match("e", "a", (10,), 0).confidence < before


def test_repeated_events_and_unknown_digests_are_ignored():
    index, cursor = CacheIndex(100), EventCursor()
    answer = body("a", 2, (1, "stored", "0a"), (2, "evicted", "0a"))
    apply_events(index, "e", cursor, answer, 0)
    assert apply_events(index, "e", cursor, answer, 0) == 0
    assert index.match("e", "a", (10,), 0).pieces == 0
    apply_events(index, "e", cursor, body("a", 3, (3, "stored", "not hex")), 0)
    assert cursor.sequence == 3


@pytest.mark.parametrize(
    "answer",
    [b'{"x":' + b"[" * 200_000, b"x", EndpointError("answer_too_large", True)],
    ids=["nested", "not JSON", "too large"],
)
def test_unreadable_answer_does_not_end_the_task(answer):
    """Guards against a router that ends because of bytes of an engine."""

    class Client:
        async def call(self, *arguments, **options):
            if isinstance(answer, Exception):
                raise answer
            return EndpointResponse(200, {}, answer)

    metrics = InMemoryMetrics()
    task = CacheEventsTask(None, CacheIndex(100), str, Client(), None, metrics)
    asyncio.run(task._read(SimpleNamespace(name="e", address="10.0.0.1:1")))
    assert metrics.counters["cache_events.unreadable"] == 1
