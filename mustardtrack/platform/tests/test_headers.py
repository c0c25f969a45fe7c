"""Guards against headers that are wrongly trusted, dropped or misinterpreted."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from mustardtrack.platform.headers import (
    EndpointInstructions,
    decode_request_headers,
    decode_response_headers,
    encode_instructions,
    filter_request_headers,
    filter_response_headers,
    retry_after_header,
)
from mustardtrack.platform.values import MAX_HEADER_INTEGER

HEADERS = [
    (b"host", b"A.example:80"),
    (b"request-id", b"r1"),
    (b"deadline-ms", b"600"),
    (b"model", b"m"),
    (b"token-usage", b"1460,80"),
    (b"prefix-hash", b"5c:800, 91:410,e4:250"),
    (b"authorization", b"Bearer k1"),
]


def test_request_headers_are_decoded():
    metadata = decode_request_headers(b"/x/y?q=1", HEADERS)
    assert metadata.host == "a.example"
    assert metadata.path == "/x/y"
    assert metadata.time_left_ms == 600
    assert metadata.key == "k1"
    assert (metadata.prompt_tokens, metadata.max_output_tokens) == (1460, 80)
    assert [part.tokens for part in metadata.parts] == [800, 410, 250]


def test_missing_request_headers_give_defaults():
    metadata = decode_request_headers(b"/", [])
    assert metadata.request_id is None
    assert metadata.time_left_ms is None
    assert metadata.key is None
    assert metadata.parts == ()


def test_non_bearer_authorization_is_ignored():
    assert decode_request_headers(b"/", [(b"authorization", b"Basic k1")]).key is None


def test_caller_cannot_set_router_headers():
    forged = [
        (b"tenant", b"other"),
        (b"cache-salt", b"s"),
        (b"hold", b"h"),
        (b"pin-ms", b"1"),
        (b"kv-from", b"x"),
        (b"kv-backup", b"x"),
        (b"request-urgency", b"0"),
        (b"expect-instance", b"i"),
    ]
    sent = filter_request_headers(HEADERS + forged, keep_authorization=False)
    names = [name.decode() for name, _ in sent]
    assert names == ["host", "request-id", "model", "token-usage", "prefix-hash"]


def test_hop_by_hop_headers_are_not_forwarded():
    headers = [(b"connection", b"close, x-hop"), (b"x-hop", b"1"), (b"x-end", b"2")]
    assert filter_response_headers(headers) == [(b"x-end", b"2")]


def test_response_headers_are_decoded():
    metadata = decode_response_headers(
        [
            (b"response-seal", b"s"),
            (b"instance-load", b"3,1,8"),
            (b"keep-alive", b"timeout=5, max=10"),
            (b"weight-versions", b"4"),
        ]
    )
    assert metadata.is_signed and not metadata.did_not_run
    assert (metadata.load.running, metadata.load.waiting, metadata.load.slots) == (
        3,
        1,
        8,
    )
    assert metadata.keep_alive_s == 5
    assert metadata.weights_version == 4


def test_malformed_load_is_ignored():
    for value in (b"", b"1,2", b"a,b,c", b"1,2,0"):
        assert decode_response_headers([(b"instance-load", value)]).load is None


@pytest.mark.parametrize(
    ("value", "slowdown"),
    [
        (b"3,1,8", None),
        (b"3,1,8,100", 1.0),
        (b"3, 1, 8, 250", 2.5),
        (b"3,1,8,62.5", 0.625),
        (b"3,1,8,250,7", 2.5),
        (b"3,1,8,250,x,,-", 2.5),
        (b"3,1,8,", None),
        (b"3,1,8,x", None),
        (b"3,1,8,-250", None),
        (b"3,1,8,0", None),
    ],
)
def test_load_is_known_whatever_figures_follow(value, slowdown):
    """Guards against a load that is dropped because its header has gained a figure."""
    load = decode_response_headers([(b"instance-load", value)]).load
    assert (load.running, load.waiting, load.slots) == (3, 1, 8)
    assert load.slowdown == slowdown


@given(
    st.integers(0, 10**6),
    st.integers(0, 10**6),
    st.integers(1, 10**6),
    st.lists(st.binary(max_size=30), max_size=6),
)
def test_arbitrary_further_figures_leave_the_load(running, waiting, slots, further):
    value = b",".join([b"%d,%d,%d" % (running, waiting, slots), *further])
    load = decode_response_headers([(b"instance-load", value)]).load
    assert (load.running, load.waiting, load.slots) == (running, waiting, slots)
    assert load.slowdown is None or load.slowdown > 0


def test_unset_instructions_are_omitted():
    names = [name for name, _ in encode_instructions(EndpointInstructions("i-1", 500))]
    assert names == [b"expect-instance", b"deadline-ms"]


@given(st.binary(max_size=40), st.binary(max_size=40))
def test_arbitrary_header_values_never_raise(prefix, usage):
    decode_request_headers(b"/", [(b"prefix-hash", prefix), (b"token-usage", usage)])
    decode_response_headers([(b"instance-load", prefix), (b"keep-alive", usage)])


@pytest.mark.parametrize(
    ("value", "expected"),
    [
        (b"2.5", 2.5),
        (b"0", 0.0),
        (b"-3", None),
        (b"soon", None),
        (b"1e9", None),
        (b"Wed, 21 Oct 2015 07:28:00 GMT", None),
        (b"9" * 400, MAX_HEADER_INTEGER),
    ],
)
def test_only_a_number_of_seconds_is_a_time_to_return(value, expected):
    """Guards against a pause without end by an odd value."""
    assert decode_response_headers([(b"retry-after", value)]).retry_after_s == expected


@pytest.mark.parametrize(
    ("value", "expected"), [(b"1", True), (b"0", False), (b"", False), (b"x", False)]
)
def test_only_the_stated_value_announces_a_leave(value, expected):
    response = decode_response_headers([(b"server-leaving", value)])
    assert response.is_leaving is expected


@pytest.mark.parametrize(
    ("seconds", "text"), [(0.001, b"0.01"), (0.8, b"0.80"), (1.234, b"1.24")]
)
def test_refused_caller_is_not_told_to_return_too_early(seconds, text):
    """Guards against short delays that are rounded to none."""
    assert retry_after_header(seconds)[1] == text
