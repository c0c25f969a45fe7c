"""Guards against bad input that raises an untyped error or ends a process.

An untyped error answers an operator with 500, leaves a caller without an answer, or
ends the task that reads an endpoint's answers. More inputs: HYPOTHESIS_PROFILE=fuzz
bin/test FILE --hypothesis-seed=N.
"""

import copy
import json
import random

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from mustardtrack.platform.endpoints import (
    decode_cache_events,
    decode_cache_snapshot,
    decode_endpoint_list_page,
    decode_weights_report,
    decode_weights_request,
)
from mustardtrack.platform.headers import (
    EndpointInstructions,
    decode_request_headers,
    decode_response_headers,
    encode_instructions,
)
from mustardtrack.platform.manifests import ManifestError, decode_manifest
from mustardtrack.platform.tests.test_manifests import MANIFEST

DEEP = b"[" * 100_000
HUGE = 10**30
ENTRY = {
    "id": "i-1",
    "service": "s1",
    "address": "10.0.0.1:80",
    "zone": "a",
    "slots": 6,
    "state": "ready",
    "born": 5,
    "models": [{"name": "m", "version": 1}],
}


def changed(data, path, value):
    """Return a copy of nested data with one value replaced."""
    data = copy.deepcopy(data)
    target = data
    for step in path[:-1]:
        target = target[step]
    target[path[-1]] = value
    return data


@pytest.mark.parametrize(
    ("path", "value"),
    [
        (["limits"], 5),
        (["limits"], [1]),
        (["limits", "max-body-bytes"], float("nan")),
        (["limits", "max-body-bytes"], float("inf")),
        (["services", 0, "engine"], 5),
        (["services", 0, "engine", "models"], 5),
        (["services", 0, "engine", "models"], ["m"]),
        (["services", 0, "engine", "slots"], HUGE),
        (["services", 1, "name"], "s1"),
        (["routes", 0, "timeout-ms"], float("inf")),
        (["routes", 0, "priority"], HUGE),
        (["routes", 0, "traffic-split", 0, "weight"], float("nan")),
        (["tenants", 0, "api-keys"], 0),
        (["tenants", 0, "name"], "a\r\nTenant: b"),
        (["tenants", 0, "name"], "\ud800"),
        (["version"], HUGE),
        (["version"], True),
    ],
)
def test_bad_value_of_a_manifest_is_refused_with_its_name(path, value):
    content = json.dumps(changed(MANIFEST, path, value)).encode()
    with pytest.raises(ManifestError) as error:
        decode_manifest(content)
    named = [step for step in path if isinstance(step, str)]
    assert any(step.rstrip("s") in str(error.value) for step in [*named, "JSON"])


def test_number_that_overflows_a_float_is_refused():
    content = json.dumps(MANIFEST).replace("12000", "1e999").encode()
    with pytest.raises(ManifestError, match="timeout-ms"):
        decode_manifest(content)


@pytest.mark.parametrize(
    ("decode", "error"),
    [
        (decode_manifest, ManifestError),
        (decode_endpoint_list_page, ValueError),
        (decode_cache_events, ValueError),
        (decode_cache_snapshot, ValueError),
        (decode_weights_report, ValueError),
        (decode_weights_request, ValueError),
    ],
)
@pytest.mark.parametrize("body", [DEEP, b"", b"\xff", b"null", b"[]", b"9" * 5000])
def test_unreadable_body_is_refused(decode, error, body):
    with pytest.raises(error):
        decode(body)


@pytest.mark.parametrize(
    ("key", "value"),
    [
        ("id", "i-\u20ac"),
        ("id", "i-1\r\nx: y"),
        ("address", "10.0.0.1:http"),
        ("address", "10.0.0.1:99999"),
        ("address", ":80"),
        ("address", "not an ip!:8000"),
        ("address", "10.0.0.256:80"),
        ("address", "10.0.0.1:0"),
        ("address", "10.0.0.1:70000"),
        ("service", "\ud800"),
        ("zone", "\udfff"),
        ("slots", HUGE),
        ("slots", -1),
    ],
)
def test_entry_that_names_no_usable_endpoint_is_left_out(key, value):
    page = {"instances": [changed(ENTRY, [key], value), ENTRY], "next-token": None}
    entries = decode_endpoint_list_page(json.dumps(page).encode()).entries
    assert [entry.id for entry in entries] == ["i-1"]


@pytest.mark.parametrize(
    ("path", "value"),
    [
        (["born"], HUGE),
        (["born"], True),
        (["models", 0, "version"], HUGE),
        (["models", 0, "version"], True),
        (["models", 0, "name"], "\ud800"),
    ],
)
def test_bad_optional_value_does_not_prevent_replication_of_the_list(path, value):
    page = {"instances": [changed(ENTRY, path, value)]}
    entries = decode_endpoint_list_page(json.dumps(page).encode()).entries
    assert msgspec.msgpack.encode(entries)
    assert entries[0].started_ms in (0, 5) and entries[0].weights in ({}, {"m": 1})


ODD_ENTRIES = {
    "deep list": b"[" * 5000 + b"]" * 5000,
    "deep object": b'{"a":' * 100_000 + b"1" + b"}" * 100_000,
    "long number": b'{"id": "i-2", "slots": ' + b"9" * 5000 + b"}",
    "no number": b'{"id": "i-2", "slots": NaN}',
    "bytes": b'{"id": "\xff\xfe"}',
    "control character": b'{"id": "\x01"}',
    "no JSON": b"{id: i-2, 'a, b': [}]}".replace(b"[}]", b"[{}]"),
    "brackets in text": b'{"id": "]}, {", "slots": NaN}',
}


@pytest.mark.parametrize("kind", ODD_ENTRIES)
@pytest.mark.parametrize("position", [0, 1, 2])
def test_odd_entry_hides_no_other_entry(kind, position):
    """Guards against a list that is not followed while an odd entry is on it."""
    entries = [json.dumps(changed(ENTRY, ["id"], f"i-{n}")).encode() for n in (0, 1)]
    entries.insert(position, ODD_ENTRIES[kind])
    body = b'{"instances": [%s], "next-token": "p"}' % b", ".join(entries)
    page = decode_endpoint_list_page(body)
    assert [entry.id for entry in page.entries] == ["i-0", "i-1"]
    assert (page.next_token, page.skipped) == ("p", 1)


@pytest.mark.parametrize("kind", ODD_ENTRIES)
@pytest.mark.parametrize("key", ["events", "held"])
def test_odd_change_hides_no_other_change_of_a_cache(kind, key):
    """Guards against cache events that are read again and again without progress."""
    change = b'[7, "+", "s", "b", 5, "m"]' if key == "events" else b'["s", "b", 5, "m"]'
    body = b'{"boot-epoch": 1, "next-token": 3, "%s": [%s, %s]}' % (
        key.encode(),
        ODD_ENTRIES[kind],
        change,
    )
    decode = decode_cache_events if key == "events" else decode_cache_snapshot
    decoded = decode(body)
    assert (decoded.changes, decoded.following) == ([("s", "b", 5)], 3)


def test_list_without_a_clear_structure_is_refused():
    """Guards against taking a part of a list for the whole."""
    entry = json.dumps(ENTRY).encode()
    for odd in (b'{"id": 1', b'"id', b"]", b"}"):
        with pytest.raises(ValueError, match="JSON"):
            decode_endpoint_list_page(b'{"instances": [%s, %s]}' % (odd, entry))


@pytest.mark.parametrize("key", ["events", "held"])
@pytest.mark.parametrize("value", [5, "x", {"a": 1}, True])
def test_cache_answer_without_a_list_is_refused(key, value):
    body = json.dumps({"boot-epoch": 1, "next-token": 1, key: value}).encode()
    decode = decode_cache_events if key == "events" else decode_cache_snapshot
    with pytest.raises(ValueError, match=key):
        decode(body)


def test_cache_event_with_a_number_out_of_range_is_skipped():
    events = [[1, "+", "s", "a", HUGE, "m"], [2, "+", "s", "b", 5, "m"]]
    body = json.dumps({"boot-epoch": 1, "next-token": 3, "events": events}).encode()
    assert decode_cache_events(body).changes == [("s", "b", 5)]


@pytest.mark.parametrize("key", ["events", "held"])
def test_cache_answer_with_a_lone_surrogate_can_be_sent(key):
    """Guards against text that raises where it is logged or sent."""
    odd, sound = ["\ud800", "a", 5, "m"], ["", "b", 5, "m"]
    changes = [odd, ["s", *odd[:1], 5], sound]
    if key == "events":
        changes = [[1, "+", *change] for change in changes]
    body = json.dumps({"boot-epoch": "\ud800", "next-token": 1, key: changes}).encode()
    decode = decode_cache_events if key == "events" else decode_cache_snapshot
    decoded = decode(body)
    assert msgspec.msgpack.encode(decoded)
    assert decoded.changes == [("", "b", 5)]


def test_list_whose_next_page_cannot_be_requested_is_refused():
    """Guards against a part of a list that is taken for the whole."""
    page = {"instances": [ENTRY], "next-token": "\ud800"}
    with pytest.raises(ValueError, match="next-token"):
        decode_endpoint_list_page(json.dumps(page).encode())


def test_deadline_of_thousands_of_digits_is_a_long_deadline():
    headers = [(b"deadline-ms", b"9" * 5000), (b"token-usage", b"9" * 5000 + b",1")]
    metadata = decode_request_headers(b"/x", headers)
    assert metadata.time_left_ms is not None and metadata.time_left_ms >= 10**9
    assert msgspec.msgpack.encode(metadata.prompt_tokens * 1000)


JSON_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(st.characters(exclude_categories=()), max_size=5)
    | st.sampled_from([HUGE, -HUGE, "m", "s1", "10.0.0.1:80", "ready"]),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(
            st.sampled_from(
                [*MANIFEST, *ENTRY, "instances", "events", "held", "next-token"]
            ),
            inner,
            max_size=4,
        )
    ),
    max_leaves=12,
)


def list_paths(data, path=()):
    """Return the paths of all values in nested data."""
    items = (
        data.items()
        if isinstance(data, dict)
        else enumerate(data)
        if isinstance(data, list)
        else ()
    )
    found = [path] if path else []
    for key, value in items:
        found += list_paths(value, (*path, key))
    return found


ANSWERS = {
    decode_endpoint_list_page: {"instances": [ENTRY, ENTRY], "next-token": "p"},
    decode_cache_events: {
        "boot-epoch": 1,
        "next-token": 3,
        "lost": False,
        "events": [[1, "+", "s", "a", 5, "m"]],
    },
    decode_cache_snapshot: {
        "boot-epoch": 1,
        "next-token": 3,
        "held": [["s", "a", 5, "m"]],
    },
    decode_weights_report: {"models": [{"name": "m", "version": 1}]},
    decode_weights_request: {"model": "m", "version": 1},
    decode_manifest: MANIFEST,
}


def bodies(answer):
    """Return a strategy of bodies near a valid one, and of arbitrary bytes."""
    paths = st.sampled_from(list_paths(answer))
    near = st.builds(
        lambda path, value: changed(answer, path, value), paths, JSON_VALUES
    )
    encoded = (near | JSON_VALUES).map(lambda data: json.dumps(data).encode())
    cut = st.builds(lambda body, end: body[:end], encoded, st.integers(0, 400))
    return encoded | cut | st.binary(max_size=60)


DECODERS_AND_BODIES = st.sampled_from(list(ANSWERS)).flatmap(
    lambda decode: st.tuples(st.just(decode), bodies(ANSWERS[decode]))
)


def check_decoder(decode, body):
    """Decode a body, and assert that a refusal is a typed error."""
    try:
        decoded = decode(body)
    except ManifestError:
        assert decode is decode_manifest
    except ValueError:
        assert decode is not decode_manifest
    else:
        if decode is not decode_manifest:
            msgspec.msgpack.encode(decoded)


@given(DECODERS_AND_BODIES)
def test_decoders_of_bodies_raise_only_typed_errors(decoder_and_body):
    check_decoder(*decoder_and_body)


ODD_VALUES = [
    *(None, True, False, 0, -1, 2**31, 2**63, 2**64, HUGE, -HUGE, 0.5, -0.0, 1e308),
    *(float("nan"), float("inf"), "", "m", "s1", "10.0.0.1:80", "\ud800", "\r\n", "\0"),
    *([], {}, [[]], [None], {"a": []}, "9" * 400, "x" * 300),
]
ODD_BYTES = [
    *(b"[", b"]", b"{", b"}", b",", b":", b'"', b"\\", b"\\u", b"\\ud800", b"\xff"),
    *(
        b"\x00",
        b"\xef\xbb\xbf",
        b"NaN",
        b"-Infinity",
        b"1e999",
        b"-",
        b"0x1",
        b"9" * 400,
    ),
    *(b"[" * 200, b'{"a":' * 200, b"null", b"/*", b"\n", b" " * 50),
]
PATHS = {decode: list_paths(answer) for decode, answer in ANSWERS.items()}
MUTATIONS_PER_SEED = 20


def mutate_bytes(body, rng):
    """Return a body with a part removed, repeated, overwritten or inserted."""
    start = rng.randrange(len(body) + 1)
    end = min(len(body), start + rng.choice((0, 1, 2, 8, 40)))
    middle = rng.choice(
        (
            b"",
            body[start:end] * 2,
            rng.choice(ODD_BYTES),
            bytes((rng.randrange(256),)),
            body[end:start:-1],
        )
    )
    return body[:start] + middle + body[end:]


def mutate_answer(decode, rng):
    """Return a body near a valid one, with some values and some bytes replaced."""
    answer = ANSWERS[decode]
    for _ in range(rng.randrange(4)):
        path = rng.choice(PATHS[decode])
        try:
            answer = changed(answer, path, rng.choice(ODD_VALUES))
        except (TypeError, KeyError, IndexError):
            continue  # A value on the path was replaced before.
    body = json.dumps(answer).encode()
    for _ in range(rng.randrange(4)):
        body = mutate_bytes(body, rng)
    return body


@given(st.integers(0, 2**64 - 1))
def test_decoders_refuse_mutated_bodies_with_typed_errors(seed):
    """Guards as above with many more inputs in the same time."""
    rng = random.Random(seed)
    for _ in range(MUTATIONS_PER_SEED):
        decode = rng.choice(list(ANSWERS))
        check_decoder(decode, mutate_answer(decode, rng))


HEADER_NAMES = st.sampled_from(
    [
        b"request-id",
        b"deadline-ms",
        b"authorization",
        b"token-usage",
        b"prefix-hash",
        b"model",
        b"host",
        b"instance-load",
        b"keep-alive",
        b"weight-versions",
        b"connection",
    ]
)
HEADER_VALUES = st.binary(max_size=30) | st.sampled_from(
    [b"9" * 5000, b"-1", b"a:1,b:2", b"timeout=9", b"timeout=" + b"9" * 99, b"1,2,3"]
)


@given(st.binary(max_size=30), st.lists(st.tuples(HEADER_NAMES, HEADER_VALUES)))
def test_decoders_of_headers_never_raise(target, headers):
    metadata = decode_request_headers(target, headers)
    msgspec.msgpack.encode([metadata.prompt_tokens, metadata.time_left_ms])
    decode_response_headers(headers)


@given(st.sampled_from(list_paths(MANIFEST["tenants"])), JSON_VALUES)
def test_accepted_account_name_is_a_valid_header(path, value):
    manifest = {**MANIFEST, "tenants": changed(MANIFEST["tenants"], path, value)}
    try:
        table = decode_manifest(json.dumps(manifest).encode())
    except ManifestError:
        return
    for account in (table.accounts or {}).values():
        headers = encode_instructions(EndpointInstructions("i-1", 5, account.name))
        assert not any(b"\n" in value or b"\r" in value for _, value in headers)
