"""Compares two ways to keep the rate limits of engines, by number of routers.

    python -m bench.ratelimits --seed 1

``leader``: the leader holds one bucket for each limited engine; routers report limits
to it and it tells them to the others. ``routers``: each router holds a bucket of its
share and no message is sent. The table shows how much of the limit is used, the largest
number of requests of one engine in four seconds relative to what the limit allows
(1.5 times the limit and 5 more), and the entries and bytes of messages per second.
"""

import argparse
import random
from bisect import bisect_left

import msgspec

from mustardtrack.admission.ratelimits import RateLimits

WINDOW_MS = 4000
STEP_MS = 50
DAY_MS = 20_000
LIMIT_PER_S = 6.0
ENGINES_PER_ROUTER = 1
# Requests for one engine are a multiple of its limit.
DEMAND_FACTOR = 2.0
SYNC_PERIOD_MS = 400


class Run:
    """One run of routers that send to limited engines."""

    def __init__(self, way: str, routers: int, seed: int):
        self.way = way
        self.rng = random.Random(seed)
        self.engines = [f"e{n}" for n in range(max(8, routers * ENGINES_PER_ROUTER))]
        self.routers = [RateLimits(f"edge-{seed}-{n}") for n in range(routers)]
        self.leader = RateLimits("")
        self.sends: dict[str, list[int]] = {engine: [] for engine in self.engines}
        self.entries = 0
        self.bytes = 0

    def play(self) -> "Run":
        """Play the day and return the run."""
        rate = DEMAND_FACTOR * LIMIT_PER_S * len(self.engines) * STEP_MS / 1000
        for now_ms in range(0, DAY_MS, STEP_MS):
            for _ in range(round(rate)):
                router = self.rng.choice(self.routers)
                # A request is not bound to one engine.
                for engine in self.rng.sample(self.engines, 3):
                    if self._take(router, engine, now_ms):
                        self.sends[engine].append(now_ms)
                        router.observe(engine, LIMIT_PER_S, now_ms)
                        break
            if self.way == "leader":
                self._exchange(now_ms)
        return self

    def _take(self, router: RateLimits, engine: str, now_ms: int) -> bool:
        if self.way == "leader":
            return self.leader.take(engine, 1, now_ms)
        return router.take(engine, len(self.routers), now_ms)

    def _exchange(self, now_ms: int) -> None:
        for router in self.routers:
            report = router.take_report(now_ms)
            if report:
                self.entries += len(report)
                self.bytes += len(msgspec.msgpack.encode(report))
                self.leader.merge(report, now_ms)
        if now_ms % SYNC_PERIOD_MS == 0:
            known = self.leader.due_observations(now_ms)
            size = len(msgspec.msgpack.encode(known))
            self.entries += len(known) * len(self.routers)
            self.bytes += size * len(self.routers)
            for router in self.routers:
                router.merge(known, now_ms)

    def row(self) -> str:
        """Return the row of the table."""
        seconds = DAY_MS / 1000
        used = sum(map(len, self.sends.values()))
        possible = LIMIT_PER_S * seconds * len(self.engines)
        allowed = 1.5 * LIMIT_PER_S * WINDOW_MS / 1000 + 5
        most = max(_largest_window(times) for times in self.sends.values())
        return (
            f"{len(self.routers):7} {len(self.engines):7} {self.way:8} "
            f"{used / possible:6.2f} {most / allowed:8.2f} "
            f"{self.entries / seconds:11.0f} {self.bytes / seconds / 1000:9.1f}"
        )


def _largest_window(times: list[int]) -> int:
    since = [at_ms for at_ms in times if at_ms >= 3000]
    return max(
        (bisect_left(since, at_ms + WINDOW_MS) - index)
        for index, at_ms in enumerate([*since, DAY_MS])
    )


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    seed = parser.parse_args().seed
    print("routers engines way        used  largest   entries/s      kB/s")
    for routers in (8, 74, 370):
        for way in ("leader", "routers"):
            print(Run(way, routers, seed).play().row(), flush=True)


if __name__ == "__main__":
    main()
