"""Baseline policies: each chooses an endpoint from load reports or prefixes."""

import random
from abc import ABC, abstractmethod
from collections.abc import Sequence

from bench.engine import Engine, Work
from mustardtrack.routing import CacheIndex, Candidate, Match, rank_endpoints


class Baseline(ABC):
    """Policy of one router without admission."""

    def __init__(self, rng: random.Random, index: CacheIndex):
        self.rng = rng
        self.index = index
        self.own: dict[str, int] = {}

    def pick(self, work: Work, up: Sequence[Candidate], now_ms: int) -> str:
        """Choose an endpoint and count the open request."""
        name = self.choose(work, up, now_ms)
        self.own[name] = self.own.get(name, 0) + 1
        return name

    def ended(self, name: str) -> None:
        """Count the end of a request."""
        self.own[name] -= 1

    @abstractmethod
    def choose(self, work: Work, up: Sequence[Candidate], now_ms: int) -> str:
        """Return the name of an endpoint."""


class RandomChoice(Baseline):
    """Uniform choice."""

    def choose(self, work: Work, up: Sequence[Candidate], now_ms: int) -> str:
        """Return the name of an endpoint."""
        return self.rng.choice(up).name


class RoundRobin(Baseline):
    """Each endpoint in turn."""

    def choose(self, work: Work, up: Sequence[Candidate], now_ms: int) -> str:
        """Return the name of an endpoint."""
        self.turn = getattr(self, "turn", self.rng.randrange(100)) + 1
        return up[self.turn % len(up)].name


class LeastLoad(Baseline):
    """Least reported load plus this router's own open requests."""

    def choose(self, work: Work, up: Sequence[Candidate], now_ms: int) -> str:
        """Return the name of an endpoint."""

        def load(each: Candidate) -> tuple[float, float]:
            total = each.running + each.queued + self.own.get(each.name, 0)
            return total, self.rng.random()

        return min(up, key=load).name


class BoundedHashing(Baseline):
    """Consistent hashing that skips endpoints above 1.25 times the mean load."""

    def choose(self, work: Work, up: Sequence[Candidate], now_ms: int) -> str:
        """Return the name of an endpoint."""
        loads = {
            each.name: each.running + each.queued + self.own.get(each.name, 0)
            for each in up
        }
        bound = 1.25 * (sum(loads.values()) + 1) / len(loads)
        ranked = rank_endpoints(work.chain[work.level_ends[1] - 1], list(loads))
        return next((name for name in ranked if loads[name] <= bound), ranked[0])


class PrefixFirst(Baseline):
    """Longest indexed prefix regardless of load."""

    def choose(self, work: Work, up: Sequence[Candidate], now_ms: int) -> str:
        """Return the name of an endpoint."""
        ranked = rank_endpoints(work.chain[work.level_ends[1] - 1], _names(up))
        order = {name: position for position, name in enumerate(ranked)}

        def key(each: Candidate) -> tuple[int, int]:
            match = self.index.match(each.name, each.incarnation, work.chain, now_ms)
            return match.pieces, -order[each.name]

        name = max(up, key=key).name
        chosen = next(each for each in up if each.name == name)
        for digest in work.chain:
            self.index.record(name, chosen.incarnation, digest, 0.8, now_ms)
        return name


class ExactIndex(CacheIndex):
    """Index that reads the caches of the engines instead of their events."""

    def __init__(self, engines: dict[str, Engine]):
        super().__init__(1)
        self._engines = engines

    def match(
        self, endpoint: str, incarnation: str, chain: Sequence[int], now_ms: int
    ) -> Match:
        """Read the cache of the engine."""
        pieces = self._engines[endpoint].matched(tuple(chain))
        return Match(pieces, 1.0 if pieces else 0.0)

    def holders(self, digest: int, limit: int = 8):  # type: ignore[no-untyped-def]
        """Return the engines that hold a piece."""
        held = [name for name, each in self._engines.items() if digest in each.cache]
        return iter(held[:limit])


def _names(candidates: Sequence[Candidate]) -> list[str]:
    """Return the engines that hold a piece."""
    return [each.name for each in candidates]


BASELINES: dict[str, type[Baseline]] = {
    "random": RandomChoice,
    "round robin": RoundRobin,
    "least load": LeastLoad,
    "bounded hashing": BoundedHashing,
    "prefix first": PrefixFirst,
}
