"""Routers exceed the retry budget while they are restarted in turn.

Many users come at once, so that the engines are full and reject requests; each
rejected request may be sent to another engine within the budget of all routers. The
routers get SIGTERM in turn and start again.
"""

import asyncio
import json
import math
import random
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

import harness
from harness import Engine, Machine, Record, System

RATIO, FLOOR, WINDOW_S = 0.2, 56, 10.0
ROUTERS = 5
CLIENTS, REQUESTS_PER_S = 30, 30.0
# Every third client keeps an answer of the directory three times as long.
KEPT_TTLS = (1, 1, 3)
LOAD_S = 26.0
ROLL_AT_S, GAP_S = 6.0, 2.0
STOP_LIMIT_S = 9.0
RESTART_DELAY_S = 0.5

MANIFEST = {
    "version": 1,
    "routes": [
        {
            "name": "r-1",
            "host": "a.example",
            "path-prefix": "/a/",
            "kind": "idempotent",
            "timeout-ms": 1000,
            "target-latency-ms": 1000,
            "priority": 2,
            "service": "app",
            "max-attempts": 2,
        }
    ],
    "services": [{"name": "app", "health-path": "/health", "max-connections": 110}],
    "limits": {
        "max-header-bytes": 16_384,
        "max-body-bytes": 4_194_304,
        "header-timeout-ms": 3000,
        "idle-timeout-ms": 15_000,
    },
}


class Case:
    """State of one run."""

    def __init__(self, system: System, record: Record):
        self.system, self.record = system, record
        self.engines = [
            Engine(system, f"app-{number}", number, "app", 1, 1, 0.7)
            for number in range(3)
        ]
        self.sent_s: list[float] = []
        self.answers: dict[int, int] = {}

    async def look_up(self) -> tuple[list[str], float]:
        """Ask the directory for the addresses of routers."""
        for machine in random.sample(self.system.controls, 3):
            try:
                status, _, body = await asyncio.wait_for(
                    harness.call(
                        machine.host,
                        self.system.base + 3,
                        "GET",
                        "/v1/lookup?name=a.example&region=r&zone=zone-a",
                        [],
                        b"",
                    ),
                    1.0,
                )
            except (OSError, EOFError, TimeoutError):
                continue
            if status == 200:
                answer = json.loads(body)
                return answer["addresses"], answer["ttl-s"]
        return [], 0.5

    async def play_client(self, number: int) -> None:
        """Send requests at a constant rate to the routers that the directory names."""
        addresses: list[str] = []
        asks_at_s = 0.0
        await asyncio.sleep(number / REQUESTS_PER_S)
        tasks = []
        for _ in range(int(LOAD_S * REQUESTS_PER_S / CLIENTS)):
            if self.record.now_s() >= asks_at_s or not addresses:
                found, ttl_s = await self.look_up()
                addresses = found or addresses
                kept_s = ttl_s * KEPT_TTLS[number % len(KEPT_TTLS)]
                asks_at_s = self.record.now_s() + kept_s
            if addresses:
                address = random.choice(addresses)
                tasks.append(asyncio.ensure_future(self.send(address)))
            await asyncio.sleep(CLIENTS / REQUESTS_PER_S)
        await asyncio.gather(*tasks)

    async def send(self, address: str) -> None:
        """Send one request on a new channel."""
        host, _, port = address.rpartition(":")
        request_id = harness.new_id()
        headers = [
            ("Host", "a.example"),
            ("Request-Id", request_id),
            ("Deadline-Ms", "1000"),
        ]
        self.sent_s.append(self.record.now_s())
        self.record.write(f"{request_id} is sent to {address}")
        try:
            status, _, _ = await asyncio.wait_for(
                harness.call(host, int(port), "GET", "/a/x", headers, b""), 1.5
            )
        except (OSError, EOFError, TimeoutError):
            status = 0
        self.answers[status] = self.answers.get(status, 0) + 1
        self.record.write(f"{request_id} is answered with {status}")

    async def load(self) -> None:
        """Play all clients."""
        clients = [self.play_client(number) for number in range(CLIENTS)]
        await asyncio.gather(*clients)

    async def restart(self, machine: Machine) -> None:
        """Stop one router as planned and start it again."""
        machine.send(signal.SIGTERM)
        await machine.wait_exit(STOP_LIMIT_S)
        await asyncio.sleep(RESTART_DELAY_S)
        machine.start()

    async def roll(self) -> None:
        """Restart all routers in turn."""
        tasks = []
        for machine in self.system.routers:
            tasks.append(asyncio.ensure_future(self.restart(machine)))
            await asyncio.sleep(GAP_S)
        await asyncio.gather(*tasks)

    def repeats(self) -> list[float]:
        """Return the times of all arrivals beyond the first of each request."""
        seen: set[str] = set()
        times = []
        arrivals = sorted(one for engine in self.engines for one in engine.arrivals)
        for time_s, request_id in arrivals:
            if request_id in seen:
                times.append(time_s)
            seen.add(request_id)
        return times

    def worst_window(self) -> tuple[float, int, float]:
        """Return begin, repeats and allowance of the window that exceeds it most."""
        repeats = self.repeats()
        worst = (0.0, 0, math.inf)
        for begin_s in repeats:
            inside = self._count(repeats, begin_s)
            requests = max(
                self._count(self.sent_s, begin_s - before_s)
                for before_s in (0.0, WINDOW_S / 2, WINDOW_S)
            )
            allowed = RATIO * requests + FLOOR
            if worst[2] - worst[1] > allowed - inside:
                worst = (begin_s, inside, allowed)
        return worst

    def _count(self, times: list[float], begin_s: float) -> int:
        return sum(1 for one in times if begin_s <= one < begin_s + WINDOW_S)


async def main(system: System, record: Record, with_trouble: bool) -> int:
    """Play the case."""
    case = Case(system, record)
    await system.start(routers=ROUTERS)
    for engine in case.engines:
        await engine.start()
    await system.put_manifest(MANIFEST, 20)
    await system.wait_ready()
    await asyncio.sleep(3)
    load = asyncio.ensure_future(case.load())
    await asyncio.sleep(ROLL_AT_S)
    if with_trouble:
        await case.roll()
    await load
    begin_s, repeats, allowed = case.worst_window()
    text = (
        f"worst window of {WINDOW_S} s from {begin_s:.3f}: {repeats} repeats, "
        f"{allowed:.1f} allowed; answers {case.answers}"
    )
    record.write(text)
    print(text)
    return harness.BROKEN if repeats > allowed else harness.HELD


if __name__ == "__main__":
    sys.exit(harness.play(Path(__file__).resolve().parent, main))
