"""A request that crashes engines comes again after control was restarted in turn.

The control machines get SIGTERM in turn, the leader first, and start again. After each
restart the core is left alone until all machines are in touch; only then does the
request come again.
"""

import asyncio
import random
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

import harness
from harness import CannotRunError, Engine, Machine, Record, System

CONTACT_S = 3.0
# Time after a restart of a control machine until the request comes again; the rule
# judges machines that are in touch, `contact-ms` after the last such event.
CALM_S = 6.0
CRASH_LIMIT, ALLOWED_RETRIES = 3, 3
COMES_AGAIN_S = 0.7
POISON = "/a/poison"
STOP_LIMIT_S = 9.0

MANIFEST = {
    "version": 1,
    "routes": [
        {
            "name": "r-1",
            "host": "a.example",
            "path-prefix": "/a/",
            "kind": "idempotent",
            "timeout-ms": 1000,
            "target-latency-ms": 125,
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
            Engine(system, f"app-{number}", number, "app", 6, 24, 0.0225, POISON)
            for number in range(5)
        ]
        self.answers: dict[int, int] = {}
        self.is_calm = True

    async def send(self, target: str) -> int:
        """Send one request to a router drawn at random and return the status."""
        machine = random.choice(self.system.routers)
        request_id = harness.new_id()
        headers = [
            ("Host", "a.example"),
            ("Request-Id", request_id),
            ("Deadline-Ms", "1000"),
        ]
        self.record.write(f"{request_id} {target} is sent to {machine.name}")
        try:
            status, _, _ = await asyncio.wait_for(
                harness.call(
                    machine.host, self.system.base, "GET", target, headers, b""
                ),
                2.0,
            )
        except (OSError, EOFError, TimeoutError):
            status = 0
        self.record.write(f"{request_id} is answered with {status}")
        return status

    async def send_usual_requests(self) -> None:
        """Send small requests of other clients."""
        while True:
            status = await self.send(f"/a/{random.getrandbits(32)}")
            self.answers[status] = self.answers.get(status, 0) + 1
            await asyncio.sleep(0.05)

    async def repeat_poison(self) -> None:
        """Send the request again and again while all machines are in touch."""
        while True:
            if self.is_calm:
                await self.send(POISON)
            await asyncio.sleep(COMES_AGAIN_S)

    def crashes(self) -> list[tuple[float, str]]:
        """Return the crashes of all engines in order."""
        return sorted(crash for engine in self.engines for crash in engine.crashes)

    async def restart(self, machine: Machine) -> None:
        """Restart one control machine and wait until all machines are in touch."""
        self.is_calm = False
        await asyncio.sleep(1.5)
        machine.send(signal.SIGTERM)
        await machine.wait_exit(STOP_LIMIT_S)
        machine.start()
        await asyncio.sleep(CALM_S)
        await self.system.wait_ready()
        self.is_calm = True


async def main(system: System, record: Record, with_trouble: bool) -> int:
    """Play the case."""
    case = Case(system, record)
    await system.start(routers=2)
    for engine in case.engines:
        await engine.start()
    await system.put_manifest(MANIFEST, 20)
    await system.wait_ready()
    await asyncio.sleep(CONTACT_S)
    tasks = [
        asyncio.ensure_future(case.send_usual_requests()),
        asyncio.ensure_future(case.repeat_poison()),
    ]
    await asyncio.sleep(6)
    crashes = case.crashes()
    if len(crashes) < CRASH_LIMIT:
        raise CannotRunError("the request did not crash three engines")
    third_s = crashes[CRASH_LIMIT - 1][0]
    restarted: list[Machine] = []
    for _ in system.controls:
        leader = system.leader()
        left = [one for one in system.controls if one not in restarted]
        machine = leader if leader in left else left[0]
        record.write(f"the leader is {leader.name if leader else 'not known'}")
        if with_trouble:
            await case.restart(machine)
        else:
            await asyncio.sleep(CALM_S + 2.5)
        restarted.append(machine)
        await asyncio.sleep(7)
    for task in tasks:
        task.cancel()
    late = [crash for crash in case.crashes() if crash[0] > third_s + CONTACT_S]
    record.write(f"usual requests by status: {case.answers}")
    record.write(
        f"the third crash was at {third_s:.3f}; retries that reached engines more than "
        f"{CONTACT_S} s later, sent by machines in touch: {len(late)}"
    )
    print(record.now_s(), len(crashes), len(late), case.answers)
    return harness.BROKEN if len(late) > ALLOWED_RETRIES else harness.HELD


if __name__ == "__main__":
    sys.exit(harness.play(Path(__file__).resolve().parent, main))
