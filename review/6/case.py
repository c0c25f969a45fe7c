"""Two core hosts are replaced as planned, one after the other: control is lost."""

import asyncio
import signal
import sys
from itertools import count
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from harness_2 import (  # noqa: E402
    BOUNDS,
    BROKEN,
    FRONT_PORT,
    HELD,
    OPERATOR_PORT,
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
    plain_service,
    request_headers,
    route,
    run_case,
)

# Each successor runs for longer than catch-up-s before a predecessor is stopped.
SUCCESSOR_S = BOUNDS["catch-up-s"] + 4.0
# Pause between the end of the first process and the stop of the second one.
PAUSE_S = 1.0
SERVED_S = 30.0
# The operator reads the manifest for much longer than contact-ms.
READ_S = 4 * BOUNDS["contact-ms"] / 1000
PERIOD_S = 0.1
CALM_S = 3.0


class Clients:
    """Clients that look things up."""

    def __init__(self, deployment: Deployment, record: Record):
        self._deployment, self._record = deployment, record
        self._numbers = count(1)
        self.answers: list[tuple[float, int]] = []

    async def send(self) -> None:
        """Send a look-up to one of the routers in turn."""
        number = next(self._numbers)
        routers = self._deployment.routers
        router, name = routers[number % len(routers)], f"r{number:05d}"
        headers, path = request_headers(name, 1000), f"/lookup/{number}"
        sent_s = self._record.now_s()
        self._record.add(f"client sends {name} GET {path} to {router}")
        answer = await call(f"{router}:{FRONT_PORT}", "GET", path, headers, b"", 2.0)
        self.answers.append((sent_s, answer.status))
        self._record.add(f"client gets {name}: {answer.status} {answer.body!r}")

    async def send_for(self, seconds: float) -> None:
        """Send look-ups at a constant rate, and wait for the answers."""
        tasks = []
        for _ in range(int(seconds / PERIOD_S)):
            tasks.append(asyncio.ensure_future(self.send()))
            await asyncio.sleep(PERIOD_S)
        await asyncio.gather(*tasks)

    def count(self, status: int, since_s: float, until_s: float) -> int:
        """Return the answers with a status to requests sent in a time."""
        return sum(
            1 for at, one in self.answers if one == status and since_s <= at < until_s
        )


async def stop_for_good(deployment: Deployment, record: Record, host: str) -> None:
    """Send SIGTERM to a core host and wait until its process has ended."""
    record.add(f"{host} gets SIGTERM and does not come back")
    process = deployment.processes.pop(host)
    process.send_signal(signal.SIGTERM)
    end_s = record.now_s() + BOUNDS["grace-s"]
    while process.poll() is None:
        if record.now_s() > end_s:
            raise UnusableError("a core host did not end within the grace period")
        await asyncio.sleep(0.02)
    record.add(f"{host} has ended")


async def replace_two(deployment: Deployment, record: Record, subnet: str) -> None:
    """Start two empty core hosts, and stop two of the first three afterwards."""
    kept, *removed = deployment.controls
    successors = [f"{subnet}.14", f"{subnet}.15"]
    for host in successors:
        deployment.start(host)
    await asyncio.sleep(SUCCESSOR_S)
    if not has_trouble():
        return
    await stop_for_good(deployment, record, removed[0])
    await asyncio.sleep(PAUSE_S)
    await stop_for_good(deployment, record, removed[1])
    deployment.controls = [kept, *successors]


async def read_back(deployment: Deployment, record: Record) -> bytes:
    """Read the manifest as the operator does at the end of a day."""
    end_s = record.now_s() + READ_S
    number = 0
    while record.now_s() < end_s:
        host = deployment.controls[number % len(deployment.controls)]
        number += 1
        address = f"{host}:{OPERATOR_PORT}"
        answer = await call(address, "GET", "/v1/config/get", None, b"", 1.0)
        record.add(f"operator reads at {host}: {answer.status} {answer.error}")
        if answer.status == 200:
            return answer.body
        await asyncio.sleep(0.2)
    return b""


async def case(record: Record) -> int:
    """Replace two core hosts as planned, and read the manifest back afterwards."""
    subnet = free_subnet()
    arrivals: list[Arrival] = []
    platform = Platform(f"{subnet}.31", record)
    await platform.start()
    for n in range(3):
        engine = Engine(f"a{n}", "app", platform, record, arrivals, f"{subnet}.31")
        await engine.start()
    deployment = Deployment(platform, record, subnet, 2)
    try:
        lookup = route("lookup", "idempotent", "app", **{"max-attempts": 2})
        await deployment.start_all(manifest(7, [lookup], [plain_service("app")]))
        clients = Clients(deployment, record)
        await clients.send_for(CALM_S)
        await replace_two(deployment, record, subnet)
        stopped_s = record.now_s()
        await clients.send_for(SERVED_S)
        content = await read_back(deployment, record)
        if deployment.exited():
            raise UnusableError(f"processes ended: {deployment.exited()}")
    finally:
        deployment.end()
    return judge(record, clients, stopped_s, content)


def judge(record: Record, clients: Clients, stopped_s: float, content: bytes) -> int:
    """Check that the acknowledged manifest comes when it is read back."""
    for second in range(0, int(SERVED_S), 2):
        since_s = stopped_s + second
        counts = [clients.count(one, since_s, since_s + 2) for one in (200, 503)]
        record.add(f"sent {second} s after the stops: {counts[0]} 200, {counts[1]} 503")
    record.add(f"the operator reads back {content!r}")
    if clients.count(200, 0, stopped_s) < 20:
        raise UnusableError("too little was served")
    return HELD if b'"version": 7' in content else BROKEN


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, case)
