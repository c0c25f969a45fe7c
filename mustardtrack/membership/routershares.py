"""Shares of new connections that routers of different sizes get.

Load pattern: routers with a third of the processor, memory and bandwidth of others get
as many callers as those, since callers choose at random among the addresses of a
directory answer. The small ones are overloaded while the large ones are idle.

An answer names the address of a router as often as its share of the scarcest resource
asks for. Callers close open connections to routers that an answer does not name, so a
router stays in it, with fewer places, also when it is near a bound of its own.
"""

from collections.abc import Sequence

import msgspec

# Use of a bound from which a router gets fewer new connections, and the part of its
# share that is left when the bound is reached.
HIGH_PRESSURE = 0.8
LEAST_PART = 0.1
# Multiple of each resource that a router has beyond what its share of the work takes:
# routers have several descriptors for each connection that their processor can serve.
SPARE = (1, 1, 2, 1)
# Ratio of the largest to the smallest share up to which routers count as alike. An
# answer names each of them once then.
ALIKE_RATIO = 1.2


class RouterCapacity(msgspec.Struct, frozen=True, array_like=True):
    """Resources of a router and how much of them it uses; 0 for what is not known.

    Integers take a few bytes in the messages that each router sends several times a
    second.

    Attributes:
        millicores: Processor time in thousandths of one core.
        memory_mb: Memory in MB.
        descriptors: Open files and sockets.
        link_kbps: Bandwidth in kbit/s.
        pressure_percent: Largest used part of one of its bounds.
    """

    millicores: int = 0
    memory_mb: int = 0
    descriptors: int = 0
    link_kbps: int = 0
    pressure_percent: int = 0

    def resources(self) -> tuple[int, int, int, int]:
        """Return the resources that are compared between routers, as counted."""
        return self.millicores, self.memory_mb, self.descriptors, self.link_kbps


UNKNOWN_CAPACITY = RouterCapacity()


def weigh_routers(capacities: Sequence[RouterCapacity]) -> list[float]:
    """Return the share of each router relative to a mean one.

    The share follows from the resource of which a router has least, compared with the
    mean. Resources that some router does not know are left out.

    Examples:
        >>> small, large = RouterCapacity(500, 160), RouterCapacity(1500, 440)
        >>> [round(weight, 2) for weight in weigh_routers([small, small, large])]
        [0.6, 0.6, 1.74]
    """
    weights = [1.0] * len(capacities)
    resources = zip(*(one.resources() for one in capacities), strict=True)
    for values, spare in zip(resources, SPARE, strict=False):
        if min(values) <= 0:
            continue
        mean = sum(values) / len(values) / spare
        is_first = all(weight == 1.0 for weight in weights)
        weights = [
            value / mean if is_first else min(weight, value / mean)
            for weight, value in zip(weights, values, strict=True)
        ]
    if min(weights, default=1.0) * ALIKE_RATIO >= max(weights, default=1.0):
        weights = [1.0] * len(weights)
    return [
        weight * _part_under_pressure(one.pressure_percent / 100)
        for weight, one in zip(weights, capacities, strict=True)
    ]


def count_places(weights: Sequence[float], most: int) -> list[int]:
    """Return how often an answer names each router.

    Args:
        weights: Shares of the routers, in any unit.
        most: Places in an answer.

    Returns:
        At least one place each if there are as many places as routers; equal weights
        give one place each.

    Examples:
        >>> count_places([0.6, 0.6, 1.8], 64)
        [1, 1, 3]
        >>> count_places([1.0, 1.0, 0.1], 64)
        [10, 10, 1]
        >>> count_places([1.0, 2.0, 1.0], 3)
        [1, 1, 1]
    """
    if not weights:
        return []
    least = min(weight for weight in weights if weight > 0) if any(weights) else 1.0
    scale = min(1 / least, most / max(1e-9, sum(weights)))
    places = [max(1, round(weight * scale)) for weight in weights]
    while sum(places) > most and max(places) > 1:
        places[places.index(max(places))] -= 1
    return places


def _part_under_pressure(pressure: float) -> float:
    """Return the part of its share that a router gets near a bound of its own.

    Examples:
        >>> [round(_part_under_pressure(used), 2) for used in (0.5, 0.9, 1.0, 3.0)]
        [1.0, 0.55, 0.1, 0.1]
    """
    if not pressure > HIGH_PRESSURE:
        return 1.0
    used = min(1.0, (pressure - HIGH_PRESSURE) / (1 - HIGH_PRESSURE))
    return 1.0 - used * (1 - LEAST_PART)
