"""Reports of observers about endpoints."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Literal

import msgspec

ObservedState = Literal["up", "down", "leaving"]


class InvalidObservationsError(ValueError):
    """Encoded observations cannot be decoded; run the same version everywhere."""


@dataclass(frozen=True)
class Load:
    """Load that an endpoint reported.

    Attributes:
        running: Requests that run.
        queued: Requests that wait in the endpoint.
        queued_tokens: Prompt tokens of the waiting requests.
        age_ms: Age of the report when the observer received it.
    """

    running: int = 0
    queued: int = 0
    queued_tokens: int = 0
    age_ms: int = 0


@dataclass(frozen=True)
class Observation:
    """What one observer knows about one endpoint.

    Attributes:
        endpoint: Name of the endpoint.
        incarnation: Identity of the endpoint's process, empty in a ``down`` report
            of an observer that has not reached the endpoint yet.
        state: The observed state.
        load: The reported load, ``None`` unless the state is ``up``.
        observer: Name of the observing router.
        sent_ms: Monotonic clock of the observer; only comparable with other
            reports of the same observer.
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

    Observations of the same observer and time share these fields, because the
    observations are most of the bytes of a heartbeat.

    Examples:
        >>> one = Observation("engine-1", "a", "up", Load(), "r1", 5)
        >>> decode_observations(encode_observations([one])) == [one]
        True
    """
    batches: dict[tuple[str, int], list[_Row]] = {}
    for one in observations:
        load = one.load
        numbers = (
            (load.running, load.queued, load.queued_tokens, load.age_ms)
            if load
            else None
        )
        row = _Row(one.endpoint, one.incarnation, one.state, numbers)
        batches.setdefault((one.observer, one.sent_ms), []).append(row)
    return msgspec.msgpack.encode([_Batch(*key, rows) for key, rows in batches.items()])


def decode_observations(data: bytes) -> list[Observation]:
    """Decode observations; empty data means none.

    Raises:
        InvalidObservationsError: If the data is malformed.
    """
    if not data:
        return []
    try:
        batches = msgspec.msgpack.decode(data, type=list[_Batch])
    except msgspec.DecodeError as error:
        raise InvalidObservationsError(
            f"observations are malformed ({error}), run the same version everywhere"
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
