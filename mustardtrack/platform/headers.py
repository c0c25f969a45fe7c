"""Headers of requests and answers, decoded into typed records."""

from collections.abc import Iterable
from dataclasses import dataclass

REQUEST_ID = b"request-id"
DEADLINE = b"deadline-ms"
AUTHORIZATION = b"authorization"
LAST_EVENT_ID = b"last-event-id"
NOT_EXECUTED = b"not-executed"
# The endpoint's signature over an answer; without it an answer is not the endpoint's.
SIGNATURE = b"response-seal"

_EXPECT_INSTANCE = b"expect-instance"
_KEY_SCHEME = b"bearer "
# These concern one connection only.
_HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
    }
)
# The router sets these itself; what a caller sends in them must not be trusted.
_SET_BY_ROUTER = frozenset(
    {
        b"tenant",
        b"deadline-ms",
        _EXPECT_INSTANCE,
        b"expect-version",
        b"request-urgency",
        b"cache-salt",
        b"kv-fetch",
        b"kv-save",
        b"kv-from",
        b"kv-backup",
        b"hold",
        b"pin-ms",
        b"content-length",
    }
)

Headers = list[tuple[bytes, bytes]]


@dataclass(frozen=True)
class PromptPart:
    """One part of a prompt; ``digest`` is the wire's hexadecimal identity."""

    digest: str
    tokens: int


@dataclass(frozen=True)
class RequestMetadata:
    """What a caller states about its request.

    Attributes:
        request_id: Identity of this client attempt, None if it is missing.
        time_left_ms: How long the caller waits, None if it does not say.
        key: API key, None if it is missing or of another scheme.
        prompt_tokens: Tokens of the whole prompt, 0 if there is none.
        max_output_tokens: Limit of generated tokens.
        parts: Parts of the prompt in order; the last belongs to the request alone.
    """

    request_id: bytes | None
    host: str
    path: str
    time_left_ms: int | None
    key: str | None
    model: str
    prompt_tokens: int
    max_output_tokens: int
    parts: tuple[PromptPart, ...]


@dataclass(frozen=True)
class ReportedLoad:
    """Load of an endpoint as of one answer."""

    running: int
    waiting: int
    slots: int


@dataclass(frozen=True)
class AnswerMetadata:
    """What an endpoint states about its answer.

    Attributes:
        is_signed: Whether the answer carries the endpoint's signature.
        did_not_run: Whether the endpoint states that it did not run the request.
        is_encoded: Whether the body has a content encoding, which no endpoint uses.
        idle_s: Time for which it keeps the idle connection, None if not stated.
        weights_version: Version that answered, None if not stated.
    """

    is_signed: bool
    did_not_run: bool
    is_encoded: bool
    load: ReportedLoad | None
    idle_s: float | None
    weights_version: int | None


def read_request(target: bytes, headers: Headers) -> RequestMetadata:
    """Decode the headers of a caller's request."""
    values = _first_values(headers)
    prompt, output = _read_pair(values.get(b"token-usage"))
    host = values.get(b"host", b"").decode("latin-1").lower()
    return RequestMetadata(
        request_id=values.get(REQUEST_ID),
        host=host.partition(":")[0],
        path=target.decode("latin-1").partition("?")[0],
        time_left_ms=_read_int(values.get(DEADLINE)),
        key=_read_key(values.get(AUTHORIZATION)),
        model=values.get(b"model", b"").decode("latin-1"),
        prompt_tokens=prompt,
        max_output_tokens=output,
        parts=_read_parts(values.get(b"prefix-hash")),
    )


def read_answer(headers: Headers) -> AnswerMetadata:
    """Decode the headers of an endpoint's answer."""
    values = _first_values(headers)
    return AnswerMetadata(
        is_signed=SIGNATURE in values,
        did_not_run=NOT_EXECUTED in values,
        is_encoded=b"content-encoding" in values,
        load=_read_load(values.get(b"instance-load")),
        idle_s=_read_idle(values.get(b"keep-alive")),
        weights_version=_read_int(values.get(b"weight-versions")),
    )


def forwarded_headers(headers: Headers, keeps_key: bool) -> Headers:
    """Return the caller's headers that an endpoint receives unchanged."""
    dropped = _SET_BY_ROUTER | _HOP_BY_HOP | _listed_in_connection(headers)
    if not keeps_key:
        dropped = dropped | {AUTHORIZATION}
    return [(name, value) for name, value in headers if name not in dropped]


def resume_headers(headers: Headers, last_event_id: bytes) -> Headers:
    """Return the headers of a stream that goes on after an event."""
    others = [one for one in headers if one[0] != LAST_EVENT_ID]
    return [*others, (LAST_EVENT_ID, last_event_id)]


def expect_instance(instance: str) -> tuple[bytes, bytes]:
    """Encode that only this start of an endpoint may take a call."""
    return _EXPECT_INSTANCE, instance.encode("latin-1")


def returned_headers(headers: Headers) -> Headers:
    """Return the endpoint's headers that a caller receives."""
    dropped = _HOP_BY_HOP | _listed_in_connection(headers)
    return [(name, value) for name, value in headers if name not in dropped]


@dataclass(frozen=True)
class Instructions:
    """What the router tells an endpoint beside the caller's request.

    Attributes:
        time_left_ms: Time after which the endpoint stops work.
        urgency: 0 is admitted first, 9 last.
        cache_salt: Requests share cached parts only under the same text.
        fetch_from: Endpoint or store that holds parts of the prompt.
        save_to: Store that is to receive the parts.
    """

    instance: str
    time_left_ms: int
    account: str | None = None
    urgency: int | None = None
    weights_version: int | None = None
    cache_salt: str | None = None
    fetch_from: str | None = None
    save_to: str | None = None


def instruction_headers(instructions: Instructions) -> Headers:
    """Encode instructions as headers."""
    optional = (
        (b"tenant", instructions.account),
        (b"request-urgency", instructions.urgency),
        (b"expect-version", instructions.weights_version),
        (b"cache-salt", instructions.cache_salt),
        (b"kv-fetch", instructions.fetch_from),
        (b"kv-save", instructions.save_to),
    )
    return [
        expect_instance(instructions.instance),
        (DEADLINE, b"%d" % instructions.time_left_ms),
        *((name, str(value).encode()) for name, value in optional if value is not None),
    ]


def retry_after(seconds: float) -> tuple[bytes, bytes]:
    """Encode when a caller may come back; fractions of seconds are allowed."""
    return b"retry-after", b"%.2f" % seconds


def _first_values(headers: Headers) -> dict[bytes, bytes]:
    values: dict[bytes, bytes] = {}
    for name, value in headers:
        values.setdefault(name, value)
    return values


def _read_int(value: bytes | None) -> int | None:
    if value is None or not value.strip().isdigit():
        return None
    return int(value)


def _read_pair(value: bytes | None) -> tuple[int, int]:
    first, _, second = (value or b"").partition(b",")
    return _read_int(first) or 0, _read_int(second) or 0


def _read_key(value: bytes | None) -> str | None:
    if value is None or not value.lower().startswith(_KEY_SCHEME):
        return None
    return value[len(_KEY_SCHEME) :].strip().decode("latin-1")


def _read_parts(value: bytes | None) -> tuple[PromptPart, ...]:
    if not value:
        return ()
    parts = []
    for item in value.split(b","):
        digest, _, tokens = item.strip().partition(b":")
        count = _read_int(tokens)
        if not digest or count is None:
            # A list that cannot be read names no shared part.
            return ()
        parts.append(PromptPart(digest.decode("latin-1"), count))
    return tuple(parts)


def _read_load(value: bytes | None) -> ReportedLoad | None:
    numbers = [_read_int(item) for item in (value or b"").split(b",")]
    if len(numbers) != 3:
        return None
    running, waiting, slots = numbers
    if running is None or waiting is None or not slots:
        return None
    return ReportedLoad(running, waiting, slots)


def _read_idle(value: bytes | None) -> float | None:
    for item in (value or b"").split(b","):
        name, _, seconds = item.strip().partition(b"=")
        if name.lower() == b"timeout":
            return _read_int(seconds)
    return None


def _listed_in_connection(headers: Iterable[tuple[bytes, bytes]]) -> frozenset[bytes]:
    names = set()
    for name, value in headers:
        if name == b"connection":
            names |= {item.strip().lower() for item in value.split(b",")}
    return frozenset(names)
