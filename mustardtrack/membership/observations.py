"""Reports of observers about endpoints."""

from collections.abc import Sequence
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


def encode_observations(observations: Sequence[Observation]) -> bytes:
    """Encode observations for ``RouterHeartbeat.observations``.

    Examples:
        >>> one = Observation("engine-1", "a", "up", Load(), "r1", 5)
        >>> decode_observations(encode_observations([one])) == [one]
        True
    """
    return msgspec.msgpack.encode(list(observations))


def decode_observations(data: bytes) -> list[Observation]:
    """Decode observations; empty data means none.

    Raises:
        InvalidObservationsError: If the data is malformed.
    """
    if not data:
        return []
    try:
        return msgspec.msgpack.decode(data, type=list[Observation])
    except msgspec.DecodeError as error:
        raise InvalidObservationsError(
            f"observations are malformed ({error}), run the same version everywhere"
        ) from error
