"""Observations of endpoints and their encoding for heartbeats."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Literal

import msgspec

ObservedState = Literal["up", "down", "leaving"]


class InvalidObservationsError(ValueError):
    """Encoded observations cannot be decoded, for example after a version mismatch."""


@dataclass(frozen=True)
class Load:
    """Load reported by an endpoint.

    Attributes:
        running: Number of running requests.
        queued: Number of requests queued at the endpoint.
        queued_tokens: Prompt tokens of the queued requests.
        age_ms: Age of the report when the observer received it.
    """

    running: int = 0
    queued: int = 0
    queued_tokens: int = 0
    age_ms: int = 0


@dataclass(frozen=True)
class Observation:
    """State of one endpoint reported by one observer.

    Attributes:
        endpoint: Name of the endpoint.
        incarnation: Identity of the endpoint's process, empty in a ``down`` report
            of an observer that has never reached the endpoint.
        state: The observed state.
        load: The reported load, ``None`` unless the state is ``up``.
        observer: Name of the observing router.
        sent_ms: Monotonic clock of the observer; comparable only between reports
            of the same observer.
    """

    endpoint: str
    incarnation: str
    state: ObservedState
    load: Load | None
    observer: str
    sent_ms: int


class _Row(msgspec.Struct, array_like=True, frozen=True):
    endpoint: str
    incarnation: str
    state: ObservedState
    load: tuple[int, int, int, int] | None


class _Batch(msgspec.Struct, array_like=True, frozen=True):
    observer: str
    sent_ms: int
    rows: list[_Row]


def encode_observations(observations: Iterable[Observation]) -> bytes:
    """Encode observations for ``RouterHeartbeat.observations``.

    Observations of the same observer and time are grouped to encode these fields
    once, because observations make up most of the bytes of a heartbeat.

    Examples:
        >>> observation = Observation("engine-1", "a", "up", Load(), "r1", 5)
        >>> decode_observations(encode_observations([observation])) == [observation]
        True
    """
    batches: dict[tuple[str, int], list[_Row]] = {}
    for observation in observations:
        load = observation.load
        load_fields = (
            (load.running, load.queued, load.queued_tokens, load.age_ms)
            if load
            else None
        )
        row = _Row(
            observation.endpoint,
            observation.incarnation,
            observation.state,
            load_fields,
        )
        batches.setdefault((observation.observer, observation.sent_ms), []).append(row)
    return msgspec.msgpack.encode([_Batch(*key, rows) for key, rows in batches.items()])


def decode_observations(data: bytes) -> list[Observation]:
    """Decode observations; empty data contains none.

    Raises:
        InvalidObservationsError: If the data is malformed.
    """
    if not data:
        return []
    try:
        batches = msgspec.msgpack.decode(data, type=list[_Batch])
    except msgspec.DecodeError as error:
        raise InvalidObservationsError(
            f"observations are malformed ({error}), run the same version on all hosts"
        ) from error
    return [
        Observation(
            row.endpoint,
            row.incarnation,
            row.state,
            Load(*row.load) if row.load else None,
            batch.observer,
            batch.sent_ms,
        )
        for batch in batches
        for row in batch.rows
    ]
