"""Decision whether an engine loads a weights version or waits for the next one.

Load pattern: a new version is named every few seconds, and a load takes more than half
of that time. An engine that begins to load late in the life of a version is out of
service for a version that is superseded soon after the load, and is still loading when
the next version is named. It does better to serve until then.
"""

from collections.abc import Sequence

# Namings that are known before loads are postponed.
MIN_INTERVALS = 3
# Newest intervals from which the life of a version is estimated.
RECENT_INTERVALS = 8
# Time after the naming of a version for which the previous one keeps its value.
GRACE_MS = 1000
# Time in which a version must be of use after its load, as a fraction of the load. An
# engine that loads for longer than it then serves on the version loses more requests
# than it improves.
MIN_USE_FRACTION = 0.5
# Longest time for which a load is postponed, as a multiple of the expected life of the
# version that is postponed.
MAX_WAIT_LIVES = 1.5


def expected_life_ms(named_ms: Sequence[int], now_ms: int) -> float | None:
    """Return the expected time until the next version is named.

    Args:
        named_ms: Times at which versions of a model were named, ascending.
        now_ms: Time of the same clock.

    Returns:
        None if too few namings are known, or if the next one is overdue.

    Examples:
        >>> expected_life_ms([0, 4000, 8000, 12_000], 13_000)
        3000.0
        >>> expected_life_ms([0, 4000], 5000) is None
        True
    """
    recent = named_ms[-RECENT_INTERVALS - 1 :]
    intervals = [
        later - earlier for earlier, later in zip(recent, recent[1:], strict=False)
    ]
    if len(intervals) < MIN_INTERVALS:
        return None
    age_ms = now_ms - recent[-1]
    longer = [interval - age_ms for interval in intervals if interval > age_ms]
    return sum(longer) / len(longer) if longer else None


def is_worth_loading(
    life_ms: float | None, load_ms: float, superseded_for_ms: int, limit_ms: float
) -> bool:
    """Return whether an engine should load a version now and not wait for the next.

    Args:
        life_ms: Expected time until the next version, None if it is not known.
        load_ms: Expected time of a load, with the drain before it.
        superseded_for_ms: Time since the weights of the engine were superseded.
        limit_ms: Time after that naming by which the engine must have new weights.
    """
    if life_ms is None:
        return True
    # The load of the next version begins after up to ``MAX_WAIT_LIVES`` of that time.
    latest_end_ms = superseded_for_ms + MAX_WAIT_LIVES * life_ms + 2 * load_ms
    if latest_end_ms >= limit_ms:
        return True
    return life_ms + GRACE_MS - load_ms >= MIN_USE_FRACTION * load_ms
