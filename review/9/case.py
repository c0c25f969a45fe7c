"""Poison stream: the engine crashes after the first event, on each engine again."""

import asyncio
import sys
from itertools import count
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from harness_2 import (  # noqa: E402
    BOUNDS,
    BROKEN,
    FRONT_PORT,
    HELD,
    Arrival,
    Deployment,
    Engine,
    Platform,
    Record,
    UnusableError,
    call,
    free_subnet,
    has_trouble,
    manifest,
    model_service,
    request_headers,
    route,
    run_case,
)

POISON = "/ask/poison"
BACK_AFTER_S = 2.0
PERIOD_S = 1.0
DURATION_S = 25.0
EVENTS = 5
ALLOWED = 3
CONTACT_S = BOUNDS["contact-ms"] / 1000


class PoisonedEngine(Engine):
    """Engine that streams events; one request crashes it with its first event."""

    slots = 64

    async def run(self, arrival: Arrival, writer: asyncio.StreamWriter) -> None:
        """Stream the answer."""
        self.begin_stream(arrival, writer)
        await asyncio.sleep(0.05)
        self.send_event(1, writer)
        if has_trouble() and POISON in arrival.line:
            await asyncio.sleep(0.03)
            self.crash(BACK_AFTER_S)
            raise ConnectionResetError
        for number in range(2, EVENTS + 1):
            await asyncio.sleep(0.02)
            self.send_event(number, writer)
        writer.write(b"0\r\n\r\n")


class Clients:
    """One client that repeats the poison, and others with sound requests."""

    def __init__(self, deployment: Deployment, record: Record):
        self._deployment, self._record = deployment, record
        self._numbers = count(1)
        self.sound: list[int] = []
        self.poison: list[int] = []

    async def send(self, path: str, statuses: list[int]) -> None:
        """Send a stream request to one of the routers in turn."""
        number = next(self._numbers)
        routers = self._deployment.routers
        router = routers[number % len(routers)]
        headers = request_headers(
            f"r{number:05d}",
            6000,
            Model="m",
            Token_Usage="383,15",
            Prefix_Hash=f"5c1e07a2:55,91bd3f06:37,{number:08x}:291",
        )
        self._record.add(f"client sends r{number:05d} POST {path} to {router}")
        address = f"{router}:{FRONT_PORT}"
        answer = await call(address, "POST", path, headers, b"question", 7.0)
        statuses.append(answer.status if answer.is_whole else 0)
        end = "whole" if answer.is_whole else f"not whole {answer.error}"
        self._record.add(f"client gets r{number:05d}: {answer.status} {end}")


async def case(record: Record) -> int:
    """Send the poison again and again, and count where it arrives."""
    subnet = free_subnet()
    arrivals: list[Arrival] = []
    platform = Platform(f"{subnet}.31", record)
    await platform.start()
    engines = [
        PoisonedEngine(f"e{n}", "pool", platform, record, arrivals, f"{subnet}.31", 1)
        for n in range(6)
    ]
    for engine in engines:
        await engine.start()
    deployment = Deployment(platform, record, subnet, 2)
    try:
        ask = route("ask", "streaming", "pool", sticky=True, resumable=False)
        await deployment.start_all(manifest(1, [ask], [model_service("pool")]))
        clients = Clients(deployment, record)
        await asyncio.sleep(5.0)
        tasks = []
        for step in range(int(DURATION_S / PERIOD_S)):
            tasks.append(asyncio.ensure_future(clients.send(POISON, clients.poison)))
            for n in range(4):
                path = f"/ask/{step}-{n}"
                tasks.append(asyncio.ensure_future(clients.send(path, clients.sound)))
                await asyncio.sleep(PERIOD_S / 4)
        await asyncio.gather(*tasks)
        if deployment.exited():
            raise UnusableError(f"processes ended: {deployment.exited()}")
    finally:
        deployment.end()
    return judge(record, arrivals, clients)


def judge(record: Record, arrivals: list[Arrival], clients: Clients) -> int:
    """Count the arrivals later than the contact time after the third crash."""
    times_s = [one.at_s for one in arrivals if POISON in one.line]
    record.add(f"poison answers {clients.poison}")
    record.add(f"sound answers whole with 200: {clients.sound.count(200)}")
    if clients.sound.count(200) < 20 or len(times_s) < 3:
        raise UnusableError("too little was served")
    if not has_trouble():
        return HELD
    late_s = [at_s for at_s in times_s if at_s > times_s[2] + 0.03 + CONTACT_S]
    record.add(f"the poison reached engines {len(times_s)} times")
    record.add(f"of these {len(late_s)} later than {CONTACT_S} s after the third crash")
    record.add(f"allowed are {ALLOWED}")
    return BROKEN if len(late_s) > ALLOWED else HELD


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, case)
