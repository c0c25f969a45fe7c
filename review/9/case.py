"""Dropped idle channels: an often repeated sound look-up is refused for a minute."""

import asyncio
import sys
from itertools import count
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from harness_2 import (  # noqa: E402
    BROKEN,
    FRONT_PORT,
    HELD,
    Arrival,
    Deployment,
    Engine,
    Headers,
    Platform,
    Record,
    UnusableError,
    call,
    free_subnet,
    has_trouble,
    manifest,
    plain_service,
    request_headers,
    route,
    run_case,
)

# The engine states this time-out for idle channels, and drops some sooner.
KEEP_ALIVE_S = 15
DROP_AFTER_S = 1.0
PERIOD_S = 1.0
FIRST_S = 5.0
LATER_S = 60.0
HOT = "/prices/today"


class DroppingEngine(Engine):
    """Engine that drops channels which were idle for a second, without notice."""

    def __init__(self, *arguments: object):
        super().__init__(*arguments)  # type: ignore[arg-type]
        self._used_s: dict[asyncio.StreamWriter, float] = {}
        self.dropped = 0

    async def _answer(
        self,
        line: str,
        headers: Headers,
        body: bytes,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        now_s = self.record.now_s()
        idle_s = now_s - self._used_s.get(writer, now_s)
        if has_trouble() and idle_s > DROP_AFTER_S:
            name = headers.get("request-id", "")
            self.record.add(f"engine {self.instance} resets a dropped channel: {name}")
            self.dropped += 1
            writer.transport.abort()
            raise ConnectionResetError
        await super()._answer(line, headers, body, reader, writer)
        self._used_s[writer] = self.record.now_s()

    def seal(self, arrival: Arrival) -> Headers:
        """Return the headers of each answer of an engine."""
        return {**super().seal(arrival), "Keep-Alive": f"timeout={KEEP_ALIVE_S}"}


class Clients:
    """Clients that look up the same on one route and different things on another."""

    def __init__(self, deployment: Deployment, record: Record):
        self._deployment, self._record = deployment, record
        self._numbers = count(1)
        self.first: list[int] = []
        self.later: list[int] = []

    async def send(self, path: str, statuses: list[int]) -> None:
        """Send a look-up to one of the routers in turn."""
        number = next(self._numbers)
        routers = self._deployment.routers
        router, name = routers[number // 2 % len(routers)], f"r{number:05d}"
        headers = request_headers(name, 1000)
        self._record.add(f"client sends {name} GET {path} to {router}")
        answer = await call(f"{router}:{FRONT_PORT}", "GET", path, headers, b"", 2.0)
        statuses.append(answer.status if answer.is_whole else 0)
        self._record.add(f"client gets {name}: {answer.status} {answer.body!r}")

    async def send_for(self, seconds: float, has_later: bool) -> None:
        """Send look-ups for a time."""
        for _ in range(int(seconds / PERIOD_S)):
            await self.send(f"/lookup/{next(self._numbers)}", self.first)
            await asyncio.sleep(PERIOD_S / 2)
            if has_later:
                await self.send(HOT, self.later)
            await asyncio.sleep(PERIOD_S / 2)


async def case(record: Record) -> int:
    """Add a route whose requests are all alike, and compare how both are served."""
    subnet = free_subnet()
    arrivals: list[Arrival] = []
    platform = Platform(f"{subnet}.31", record)
    await platform.start()
    engines = [
        DroppingEngine(f"a{n}", "app", platform, record, arrivals, f"{subnet}.31")
        for n in range(3)
    ]
    for engine in engines:
        await engine.start()
    deployment = Deployment(platform, record, subnet, 2)
    try:
        services = [plain_service("app")]
        lookup = route("lookup", "idempotent", "app", **{"max-attempts": 2})
        await deployment.start_all(manifest(1, [lookup], services))
        clients = Clients(deployment, record)
        await clients.send_for(FIRST_S, has_later=False)
        prices = route("prices", "idempotent", "app", **{"max-attempts": 2})
        content = manifest(2, [lookup, prices], services)
        await deployment.until(
            lambda: deployment.put_manifest(content), "route prices added"
        )
        await asyncio.sleep(3.0)
        clients.first.clear()
        await clients.send_for(LATER_S, has_later=True)
        if deployment.exited():
            raise UnusableError(f"processes ended: {deployment.exited()}")
    finally:
        deployment.end()
    record.add(f"channels dropped: {[engine.dropped for engine in engines]}")
    return judge(record, clients)


def judge(record: Record, clients: Clients) -> int:
    """Compare the served shares of the first route and of the later one."""
    shares = []
    for name, statuses in (("first", clients.first), ("later", clients.later)):
        served = statuses.count(200)
        shares.append(served / len(statuses))
        record.add(f"{name} route: {len(statuses)} requests, {served} served")
    if len(clients.later) < 20 or shares[0] < 0.5:
        raise UnusableError("too little was served")
    return BROKEN if shares[1] < shares[0] / 4 else HELD


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, case)
