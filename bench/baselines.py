"""Baseline routing policies that the policy of the router is compared with."""

import random
from abc import ABC, abstractmethod
from collections.abc import Sequence

from bench.engine import Engine, SimulatedRequest
from mustardtrack.routing import CacheIndex, Candidate, Match, rank_endpoints


class Baseline(ABC):
    """Routing policy of one router, without admission control."""

    def __init__(self, rng: random.Random, index: CacheIndex):
        self.rng = rng
        self.index = index
        self.open_requests: dict[str, int] = {}

    def assign(
        self, request: SimulatedRequest, available: Sequence[Candidate], now_ms: int
    ) -> str:
        """Choose an endpoint and count the request as open at it."""
        name = self.choose(request, available, now_ms)
        self.open_requests[name] = self.open_requests.get(name, 0) + 1
        return name

    def release(self, name: str) -> None:
        """Count an open request as ended."""
        self.open_requests[name] -= 1

    @abstractmethod
    def choose(
        self, request: SimulatedRequest, available: Sequence[Candidate], now_ms: int
    ) -> str:
        """Return the name of the chosen endpoint."""


class RandomChoice(Baseline):
    """Uniform random choice."""

    def choose(
        self, request: SimulatedRequest, available: Sequence[Candidate], now_ms: int
    ) -> str:
        """Return a random endpoint."""
        return self.rng.choice(available).name


class RoundRobin(Baseline):
    """Round robin that starts at a random endpoint."""

    def choose(
        self, request: SimulatedRequest, available: Sequence[Candidate], now_ms: int
    ) -> str:
        """Return the next endpoint of the list."""
        self.turn = getattr(self, "turn", self.rng.randrange(100)) + 1
        return available[self.turn % len(available)].name


class LeastLoaded(Baseline):
    """Least reported load plus this router's own open requests."""

    def choose(
        self, request: SimulatedRequest, available: Sequence[Candidate], now_ms: int
    ) -> str:
        """Return an endpoint with the lowest load; ties are broken at random."""

        def load_with_tie_break(each: Candidate) -> tuple[float, float]:
            total = each.running + each.queued + self.open_requests.get(each.name, 0)
            return total, self.rng.random()

        return min(available, key=load_with_tie_break).name


class BoundedLoadHashing(Baseline):
    """Hashing of the second prefix level, with a limit of 1.25 times the mean load."""

    def choose(
        self, request: SimulatedRequest, available: Sequence[Candidate], now_ms: int
    ) -> str:
        """Return the first endpoint in hash order that is within the load limit."""
        loads = {
            each.name: each.running + each.queued + self.open_requests.get(each.name, 0)
            for each in available
        }
        load_limit = 1.25 * (sum(loads.values()) + 1) / len(loads)
        ranked_names = rank_endpoints(
            request.chain[request.level_ends[1] - 1], list(loads)
        )
        return next(
            (name for name in ranked_names if loads[name] <= load_limit),
            ranked_names[0],
        )


class LongestPrefix(Baseline):
    """Longest prefix in the cache index, regardless of load."""

    def choose(
        self, request: SimulatedRequest, available: Sequence[Candidate], now_ms: int
    ) -> str:
        """Return the endpoint with the longest prefix; hash order breaks ties."""
        ranked_names = rank_endpoints(
            request.chain[request.level_ends[1] - 1], _names(available)
        )
        position_by_name = {
            name: position for position, name in enumerate(ranked_names)
        }

        def prefix_length_then_rank(each: Candidate) -> tuple[int, int]:
            match = self.index.match(each.name, each.incarnation, request.chain, now_ms)
            return match.pieces, -position_by_name[each.name]

        name = max(available, key=prefix_length_then_rank).name
        chosen = next(each for each in available if each.name == name)
        for digest in request.chain:
            self.index.record(name, chosen.incarnation, digest, 0.8, now_ms)
        return name


class OracleIndex(CacheIndex):
    """Cache index that reads the KV caches of the engines, not their cache events."""

    def __init__(self, engines: dict[str, Engine]):
        super().__init__(1)
        self._engines = engines

    def match(
        self, endpoint: str, incarnation: str, chain: Sequence[int], now_ms: int
    ) -> Match:
        """Return the prefix that the engine has cached."""
        pieces = self._engines[endpoint].cached_prefix_pieces(tuple(chain))
        return Match(pieces, 1.0 if pieces else 0.0)

    def holders(self, digest: int, limit: int = 8):  # type: ignore[no-untyped-def]
        """Return the engines that have a prefix piece cached."""
        held = [name for name, each in self._engines.items() if digest in each.kv_cache]
        return iter(held[:limit])


def _names(candidates: Sequence[Candidate]) -> list[str]:
    """Return the names of the candidates."""
    return [each.name for each in candidates]


BASELINES: dict[str, type[Baseline]] = {
    "random": RandomChoice,
    "round robin": RoundRobin,
    "least load": LeastLoaded,
    "bounded hashing": BoundedLoadHashing,
    "prefix first": LongestPrefix,
}
