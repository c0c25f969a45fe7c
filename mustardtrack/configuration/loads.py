"""Scheduling of pending weight loads."""

from collections.abc import Iterable

from mustardtrack.configuration.objects import WeightLoad


def weight_load_name(endpoint: str, fence: int) -> str:
    """Return the object name of a weight load."""
    return f"{endpoint}#{fence}"


def select_loads(pending: Iterable[WeightLoad], limit: int) -> list[WeightLoad]:
    """Select the loads that may run now.

    Only the oldest load of each endpoint is selected, so that an endpoint that
    ignores fencing tokens never runs two at once. At most ``limit`` loads are
    selected, in order of their fencing tokens. A selected load stays selected until
    it is finished, because later loads have higher tokens.

    Examples:
        >>> loads = [WeightLoad(f"e#{n}", n, "e", "m", "v", n) for n in (4, 9)]
        >>> [load.fence for load in select_loads(loads, limit=2)]
        [4]
    """
    selected: dict[str, WeightLoad] = {}
    for load in sorted(pending, key=lambda item: item.fence):
        if len(selected) == limit:
            break
        selected.setdefault(load.endpoint, load)
    return list(selected.values())
