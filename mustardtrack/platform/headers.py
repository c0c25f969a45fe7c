"""Encoding and decoding of the platform's HTTP request and response headers."""

import math
from collections.abc import Iterable
from dataclasses import dataclass

from mustardtrack.platform.values import parse_count, parse_decimal

REQUEST_ID = b"request-id"
DEADLINE = b"deadline-ms"
AUTHORIZATION = b"authorization"
LAST_EVENT_ID = b"last-event-id"
NOT_EXECUTED = b"not-executed"
# The endpoint's signature over its response; a response without it did not come
# from the endpoint.
SIGNATURE = b"response-seal"
LEAVING = b"server-leaving"
_RETRY_AFTER = b"retry-after"

_EXPECT_INSTANCE = b"expect-instance"
_BEARER_PREFIX = b"bearer "
# Headers that apply to a single connection and are not forwarded.
_HOP_BY_HOP_HEADERS = frozenset(
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
# Headers that only the router sets; values from the caller are untrusted and dropped.
_ROUTER_HEADERS = frozenset(
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
    """One part of a prompt, identified by its hexadecimal digest."""

    digest: str
    tokens: int


@dataclass(frozen=True)
class RequestMetadata:
    """Decoded headers of a caller's request.

    Attributes:
        request_id: Id of this attempt of the caller, None if the header is missing.
        time_left_ms: Time until the caller's deadline, None if not stated.
        key: API key, None if it is missing or not a bearer token.
        prompt_tokens: Tokens of the whole prompt, 0 if not stated.
        max_output_tokens: Limit of generated tokens, 0 if not stated.
        parts: Parts of the prompt in order; the last is specific to this request.
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
    """Load that an endpoint reports with a response.

    Attributes:
        slowdown: Duration of work at this moment as a multiple of the usual one, None
            if it is missing or malformed.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float | None = None


@dataclass(frozen=True)
class ResponseMetadata:
    """Decoded headers of an endpoint's response.

    Attributes:
        is_signed: Whether the response carries the endpoint's signature.
        did_not_run: Whether the endpoint states that it did not run the request.
        has_content_encoding: Whether the body is content-encoded, which no endpoint
            does.
        load: Load of the endpoint, None if missing or malformed.
        keep_alive_s: Keep-alive timeout of the connection, None if not stated.
        weights_version: Weights version that served the request, None if not stated.
        max_requests_per_s: Requests per second that the endpoint takes from all hosts
            together, None if it names no limit.
        is_leaving: Whether the endpoint announces that it is about to leave.
        retry_after_s: Time after which the endpoint wants to be asked again, None if
            it is missing or no number of seconds.
    """

    is_signed: bool
    did_not_run: bool
    has_content_encoding: bool
    load: ReportedLoad | None
    keep_alive_s: float | None
    weights_version: int | None
    max_requests_per_s: float | None = None
    is_leaving: bool = False
    retry_after_s: float | None = None


def decode_request_headers(target: bytes, headers: Headers) -> RequestMetadata:
    """Decode the headers of a caller's request."""
    values = _first_values(headers)
    prompt_token_count, output_token_limit = _parse_token_usage(
        values.get(b"token-usage")
    )
    host = values.get(b"host", b"").decode("latin-1").lower()
    return RequestMetadata(
        request_id=values.get(REQUEST_ID),
        host=host.partition(":")[0],
        path=target.decode("latin-1").partition("?")[0],
        time_left_ms=parse_count(values.get(DEADLINE)),
        key=_parse_bearer_token(values.get(AUTHORIZATION)),
        model=values.get(b"model", b"").decode("latin-1"),
        prompt_tokens=prompt_token_count,
        max_output_tokens=output_token_limit,
        parts=_parse_prompt_parts(values.get(b"prefix-hash")),
    )


def decode_response_headers(headers: Headers) -> ResponseMetadata:
    """Decode the headers of an endpoint's response."""
    values = _first_values(headers)
    return ResponseMetadata(
        is_signed=SIGNATURE in values,
        did_not_run=NOT_EXECUTED in values,
        has_content_encoding=b"content-encoding" in values,
        load=_parse_load(values.get(b"instance-load")),
        keep_alive_s=_parse_keep_alive(values.get(b"keep-alive")),
        weights_version=parse_count(values.get(b"weight-versions")),
        max_requests_per_s=parse_decimal(values.get(b"server-limit")),
        is_leaving=parse_count(values.get(LEAVING)) == 1,
        retry_after_s=_parse_retry_after(values.get(_RETRY_AFTER)),
    )


def filter_request_headers(headers: Headers, keep_authorization: bool) -> Headers:
    """Return the request headers that are forwarded to an endpoint unchanged."""
    dropped = _ROUTER_HEADERS | _HOP_BY_HOP_HEADERS | _connection_options(headers)
    if not keep_authorization:
        dropped = dropped | {AUTHORIZATION}
    return [(name, value) for name, value in headers if name not in dropped]


def build_resume_headers(headers: Headers, last_event_id: bytes) -> Headers:
    """Return the request headers that resume a stream after an event."""
    others = [header for header in headers if header[0] != LAST_EVENT_ID]
    return [*others, (LAST_EVENT_ID, last_event_id)]


def expect_instance_header(instance: str) -> tuple[bytes, bytes]:
    """Return the header that restricts a call to one instance of an endpoint."""
    return _EXPECT_INSTANCE, instance.encode("latin-1")


def filter_response_headers(headers: Headers) -> Headers:
    """Return the response headers that are forwarded to the caller."""
    dropped = _HOP_BY_HOP_HEADERS | _connection_options(headers)
    return [(name, value) for name, value in headers if name not in dropped]


@dataclass(frozen=True)
class EndpointInstructions:
    """Instructions of the router to an endpoint, sent with a forwarded request.

    Attributes:
        instance: Instance of the endpoint that may run the request.
        time_left_ms: Time until the deadline, when the endpoint aborts the request.
        account: Client account.
        urgency: Priority from 0, admitted first, to 9, admitted last.
        weights_version: Weights version that the request requires.
        cache_salt: Requests share KV cache entries only if their salts are equal.
        fetch_from: Endpoint or KV store to fetch cached prompt parts from.
        save_to: KV store to which prompt parts are written.
    """

    instance: str
    time_left_ms: int
    account: str | None = None
    urgency: int | None = None
    weights_version: int | None = None
    cache_salt: str | None = None
    fetch_from: str | None = None
    save_to: str | None = None


def encode_instructions(instructions: EndpointInstructions) -> Headers:
    """Encode the instructions as headers; values that are None are omitted."""
    optional = (
        (b"tenant", instructions.account),
        (b"request-urgency", instructions.urgency),
        (b"expect-version", instructions.weights_version),
        (b"cache-salt", instructions.cache_salt),
        (b"kv-fetch", instructions.fetch_from),
        (b"kv-save", instructions.save_to),
    )
    return [
        expect_instance_header(instructions.instance),
        (DEADLINE, b"%d" % instructions.time_left_ms),
        *((name, str(value).encode()) for name, value in optional if value is not None),
    ]


def retry_after_header(seconds: float) -> tuple[bytes, bytes]:
    """Return the header with the retry delay, rounded up to hundredths of a second.

    A delay that is rounded to 0 lets the caller return before there is room.
    """
    return _RETRY_AFTER, b"%.2f" % (math.ceil(seconds * 100) / 100)


def _first_values(headers: Headers) -> dict[bytes, bytes]:
    values: dict[bytes, bytes] = {}
    for name, value in headers:
        values.setdefault(name, value)
    return values


def _parse_token_usage(value: bytes | None) -> tuple[int, int]:
    prompt, _, output = (value or b"").partition(b",")
    return parse_count(prompt) or 0, parse_count(output) or 0


def _parse_bearer_token(value: bytes | None) -> str | None:
    if value is None or not value.lower().startswith(_BEARER_PREFIX):
        return None
    return value[len(_BEARER_PREFIX) :].strip().decode("latin-1")


def _parse_prompt_parts(value: bytes | None) -> tuple[PromptPart, ...]:
    if not value:
        return ()
    parts = []
    for item in value.split(b","):
        digest, _, tokens = item.strip().partition(b":")
        count = parse_count(tokens)
        if not digest or count is None:
            # A malformed list is treated as a prompt without shared parts.
            return ()
        parts.append(PromptPart(digest.decode("latin-1"), count))
    return tuple(parts)


def _parse_load(value: bytes | None) -> ReportedLoad | None:
    """Return the load in a header, whatever figures follow the known ones."""
    items = (value or b"").split(b",")
    numbers = [parse_count(item) for item in items[:3]]
    if len(numbers) < 3:
        return None
    running, waiting, slots = numbers
    if running is None or waiting is None or not slots:
        return None
    percent = parse_decimal(items[3]) if len(items) > 3 else None
    return ReportedLoad(running, waiting, slots, percent / 100 if percent else None)


def _parse_keep_alive(value: bytes | None) -> float | None:
    for item in (value or b"").split(b","):
        name, _, seconds = item.strip().partition(b"=")
        if name.lower() == b"timeout":
            return parse_count(seconds)
    return None


def _parse_retry_after(value: bytes | None) -> float | None:
    seconds = parse_decimal(value)
    # Numbers too long for a decimal count as very large, and dates are not supported.
    return parse_count(value) if seconds is None else seconds


def _connection_options(headers: Iterable[tuple[bytes, bytes]]) -> frozenset[bytes]:
    names = set()
    for name, value in headers:
        if name == b"connection":
            names |= {item.strip().lower() for item in value.split(b",")}
    return frozenset(names)
