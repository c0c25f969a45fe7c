"""Guards against headers that are trusted, lost or read as something else."""

from hypothesis import given
from hypothesis import strategies as st

from mustardtrack.platform.headers import (
    Instructions,
    forwarded_headers,
    instruction_headers,
    read_answer,
    read_request,
    returned_headers,
)

HEADERS = [
    (b"host", b"A.example:80"),
    (b"request-id", b"r1"),
    (b"deadline-ms", b"600"),
    (b"model", b"m"),
    (b"token-usage", b"1460,80"),
    (b"prefix-hash", b"5c:800, 91:410,e4:250"),
    (b"authorization", b"Bearer k1"),
]


def test_request_is_decoded():
    metadata = read_request(b"/x/y?q=1", HEADERS)
    assert metadata.host == "a.example"
    assert metadata.path == "/x/y"
    assert metadata.time_left_ms == 600
    assert metadata.key == "k1"
    assert (metadata.prompt_tokens, metadata.max_output_tokens) == (1460, 80)
    assert [part.tokens for part in metadata.parts] == [800, 410, 250]


def test_request_without_headers_states_nothing():
    metadata = read_request(b"/", [])
    assert metadata.request_id is None
    assert metadata.time_left_ms is None
    assert metadata.key is None
    assert metadata.parts == ()


def test_key_of_another_scheme_is_no_key():
    assert read_request(b"/", [(b"authorization", b"Basic k1")]).key is None


def test_caller_cannot_set_what_the_router_sets():
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
    sent = forwarded_headers(HEADERS + forged, keeps_key=False)
    names = [name.decode() for name, _ in sent]
    assert names == ["host", "request-id", "model", "token-usage", "prefix-hash"]


def test_headers_of_the_connection_end_there():
    headers = [(b"connection", b"close, x-hop"), (b"x-hop", b"1"), (b"x-end", b"2")]
    assert returned_headers(headers) == [(b"x-end", b"2")]


def test_answer_is_decoded():
    answer = read_answer(
        [
            (b"response-seal", b"s"),
            (b"instance-load", b"3,1,8"),
            (b"keep-alive", b"timeout=5, max=10"),
            (b"weight-versions", b"4"),
        ]
    )
    assert answer.is_signed and not answer.did_not_run
    assert (answer.load.running, answer.load.waiting, answer.load.slots) == (3, 1, 8)
    assert answer.idle_s == 5
    assert answer.weights_version == 4


def test_malformed_load_is_no_load():
    for value in (b"", b"1,2", b"a,b,c", b"1,2,0"):
        assert read_answer([(b"instance-load", value)]).load is None


def test_instructions_that_are_not_set_are_not_sent():
    names = [name for name, _ in instruction_headers(Instructions("i-1", 500))]
    assert names == [b"expect-instance", b"deadline-ms"]


@given(st.binary(max_size=40), st.binary(max_size=40))
def test_any_value_is_decoded_without_an_error(prefix, usage):
    read_request(b"/", [(b"prefix-hash", prefix), (b"token-usage", usage)])
    read_answer([(b"instance-load", prefix), (b"keep-alive", usage)])
