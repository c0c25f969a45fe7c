"""Guards against malformed entries that are accepted or that hide valid ones."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from mustardtrack.platform.endpoints import (
    decode_cache_events,
    decode_cache_snapshot,
    decode_endpoint_list_page,
    decode_weights_report,
    decode_weights_request,
    encode_weights_order,
    endpoint_list_target,
)

ENTRY = {
    "id": "i-1",
    "service": "s",
    "address": "10.0.0.9:8080",
    "zone": "z",
    "slots": 64,
    "state": "ready",
    "models": [{"name": "m", "version": 3, "adapters": []}],
    "born": 17,
}
MALFORMED_ENTRIES = [
    None,
    5,
    {},
    {**ENTRY, "id": 7},
    {**ENTRY, "state": "other"},
    {**ENTRY, "slots": "x"},
    {**ENTRY, "address": None},
    {**ENTRY, "address": "nowhere"},
    {**ENTRY, "service": ""},
]


def encode_page(entries, next_token=None):
    return json.dumps({"instances": entries, "next-token": next_token}).encode()


def test_endpoint_list_entry_is_decoded():
    page = decode_endpoint_list_page(encode_page([ENTRY], "p-50"))
    [endpoint] = page.entries
    assert (endpoint.id, endpoint.started_ms, endpoint.weights) == ("i-1", 17, {"m": 3})
    assert not endpoint.is_draining
    assert (page.next_token, page.skipped) == ("p-50", 0)


@pytest.mark.parametrize("entry", MALFORMED_ENTRIES)
def test_malformed_entry_is_skipped(entry):
    page = decode_endpoint_list_page(encode_page([entry, ENTRY]))
    assert [endpoint.id for endpoint in page.entries] == ["i-1"]
    assert page.skipped == 1


def test_page_without_instance_list_is_an_error():
    for body in (b"", b"[]", b"{}", b'{"instances": 5}'):
        with pytest.raises(ValueError):
            decode_endpoint_list_page(body)


JSON_VALUES = (
    st.none() | st.booleans() | st.integers() | st.text(max_size=5) | st.just([])
)


@given(st.sampled_from(sorted(ENTRY)), JSON_VALUES)
def test_unexpected_field_value_never_raises(key, value):
    page = decode_endpoint_list_page(encode_page([{**ENTRY, key: value}, ENTRY]))
    assert page.entries[-1].id == "i-1"


def test_weights_order_contains_holder_and_fencing_token():
    order = json.loads(encode_weights_order("m", 2, "c1", 9, None))
    assert (order["holder"], order["fence"], order["switch-mode"]) == ("c1", 9, "queue")
    assert "expected-revision" not in order


def test_weights_order_names_the_orders_that_the_engine_reported():
    """Guards against orders that an engine carries out after newer ones."""
    body = b'{"models": [], "busy": false, "seq": 4}'
    accepted_orders = decode_weights_report(body).accepted_orders
    order = json.loads(encode_weights_order("m", 2, "c1", 9, accepted_orders))
    assert order["expected-revision"] == 4


@pytest.mark.parametrize("seq", ["true", "-1", '"4"', "null", "4.5", "1e999"])
def test_count_of_orders_that_is_no_number_is_not_known(seq):
    """Guards against orders that an engine refuses because of an odd report."""
    body = b'{"models": [], "seq": %s}' % seq.encode()
    assert decode_weights_report(body).accepted_orders is None


def test_weights_request_requires_model_and_version():
    assert decode_weights_request(b'{"model": "m", "version": 2}') == ("m", 2)
    for body in (b"{}", b"[]", b'{"model": "m", "version": true}', b"x"):
        with pytest.raises(ValueError):
            decode_weights_request(body)


def test_page_token_is_escaped():
    assert endpoint_list_target("a&b") == b"/instances?page-token=a%26b"


def test_cache_events_are_decoded_and_malformed_ones_skipped():
    body = {
        "boot-epoch": 7,
        "next-token": 120,
        "lost": True,
        "events": [
            [1, "+", "s", "5c", 800, "m"],
            [2, "-", "s", "91", 128, "m"],
            [3, "?", "s", "x", 1, "m"],
            "x",
            [4],
            [5, "+", "s", "y", None, "m"],
        ],
    }
    events = decode_cache_events(json.dumps(body).encode())
    assert (events.epoch, events.following, events.has_gap) == ("7", 120, True)
    assert events.changes == [("s", "5c", 800), ("s", "91", 0)]
    for bad in (b"", b"[]", b"{}"):
        with pytest.raises(ValueError):
            decode_cache_events(bad)


def test_cache_snapshot_is_decoded_as_additions():
    body = b'{"boot-epoch":7,"next-token":12,"held":[["s","d",80,"m"],"x",["s"]]}'
    snapshot = decode_cache_snapshot(body)
    assert (snapshot.epoch, snapshot.following) == ("7", 12)
    assert snapshot.changes == [("s", "d", 80)]
    with pytest.raises(ValueError):
        decode_cache_snapshot(b"[]")
