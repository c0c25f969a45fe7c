"""Tests of the cache index updates from cache events.

Guards against index entries that outlive an engine incarnation, and against lost
events that leave the confidence unchanged.
"""

from mustardtrack.process.cache_events import (
    CacheEventRow,
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
