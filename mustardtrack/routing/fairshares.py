"""Max-min fair shares of what was served lately.

Load pattern: one of many accounts sends several times its usual demand. Each account
gets what it asks for up to a level that is the same for all, so that only those above
the level bear what cannot be served, and an account that asks for little gets all.
"""

from collections.abc import Iterable
from dataclasses import dataclass

# Amount in tokens that makes no difference; a member with less is forgotten.
FORGOTTEN_AMOUNT = 1.0


@dataclass
class _Usage:
    asked: float = 0.0
    served: float = 0.0


class FairShares:
    """What the members of a group asked for and got; both decay over time.

    Examples:
        >>> shares = FairShares()
        >>> shares.ask("large", 900); shares.serve("large", 600)
        >>> shares.ask("small", 100); shares.serve("small", 50)
        >>> shares.is_over("large"), shares.is_over("small")
        (True, False)
    """

    def __init__(self) -> None:
        self._usages: dict[str, _Usage] = {}

    @property
    def is_empty(self) -> bool:
        """Whether no member asked for anything lately."""
        return not self._usages

    def ask(self, member: str, amount: float) -> None:
        """Count a request, whether it is served or not."""
        self._usages.setdefault(member, _Usage()).asked += amount

    def serve(self, member: str, amount: float) -> None:
        """Count a request that is served; it was counted as asked for before."""
        self._usages.setdefault(member, _Usage()).served += amount

    def decay(self, factor: float) -> None:
        """Give less weight to what was counted so far."""
        for usage in self._usages.values():
            usage.asked *= factor
            usage.served *= factor
        self._usages = {
            member: usage
            for member, usage in self._usages.items()
            if usage.asked >= FORGOTTEN_AMOUNT
        }

    def is_over(self, member: str) -> bool:
        """Return whether a member got more than the level of the group."""
        usage = self._usages.get(member)
        if usage is None or len(self._usages) < 2:
            return False
        served = sum(other.served for other in self._usages.values())
        asked = (other.asked for other in self._usages.values())
        # The tolerance covers rounding when all demands are met.
        return usage.served > fair_level(asked, served) + FORGOTTEN_AMOUNT

    def served_part(self, further: float = 0.0) -> float:
        """Return the served part of what all members asked for, 1 without demand.

        Args:
            further: Amount that was asked for and counts as served, too.
        """
        asked = sum(usage.asked for usage in self._usages.values())
        served = sum(usage.served for usage in self._usages.values())
        return (served + further) / asked if asked > 0 else 1.0


def fair_level(demands: Iterable[float], capacity: float) -> float:
    """Return the level up to which each demand is met so that all use the capacity.

    Returns:
        Infinity if the capacity meets all demands.

    Examples:
        >>> fair_level([100, 900, 900], 700)
        300.0
    """
    ordered = sorted(demands)
    for position, demand in enumerate(ordered):
        level = capacity / (len(ordered) - position)
        if demand > level:
            return level
        capacity -= demand
    return float("inf")
