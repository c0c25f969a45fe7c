"""A tenant becomes isolated while engines hold parts that its requests made.

Two tenants send prompts with the same opening. The operator then sends a manifest in
which one of them is isolated. The engine notes which request made each cached part,
and which requests use it.
"""

import asyncio
import json
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

import harness
from harness import CannotRunError, Engine, Record, Request, System

MODEL = "m0"
OPENING = "5c1e07a2"
KEYS = {"tenant-a": "key-of-a-0000000001", "tenant-b": "key-of-b-0000000001"}
CONFIG_APPLY_S = 2.0
ROUNDS = 10


def manifest(version: int, isolated: bool) -> dict[str, object]:
    """Return the manifest; ``isolated`` is the setting of the first tenant."""
    return {
        "version": version,
        "routes": [
            {
                "name": "r-1",
                "host": "a.example",
                "path-prefix": "/a/",
                "kind": "streaming",
                "timeout-ms": 6000,
                "target-latency-ms": 2500,
                "priority": 2,
                "service": "llm",
                "max-attempts": 1,
                "public": False,
                "sticky": True,
                "resumable": False,
                "target-gap-ms": 400,
            }
        ],
        "services": [
            {
                "name": "llm",
                "health-path": "/health",
                "max-connections": 370,
                "engine": {
                    "slots": 64,
                    "kv-capacity-tokens": 168_549,
                    "kv-token-bytes": 35_136,
                    "link-mbps": 180_000.0,
                    "models": [{"name": MODEL}],
                },
            }
        ],
        "limits": {
            "max-header-bytes": 16_384,
            "max-body-bytes": 4_194_304,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15_000,
        },
        "tenants": [
            {"name": "tenant-a", "api-keys": [KEYS["tenant-a"]], "isolated": isolated},
            {"name": "tenant-b", "api-keys": [KEYS["tenant-b"]], "isolated": False},
        ],
    }


class ModelEngine(Engine):
    """Engine that caches prompt parts by salt, as the pages describe.

    Attributes:
        makers: Tenant and id of the request that made each cached part.
        uses: Time, tenant and id of each run, and the makers of the parts it uses.
    """

    def __init__(self, system: System):
        super().__init__(system, "llm-1", 0, "llm", 64, 192, 0.05)
        self.makers: dict[tuple[str, str], tuple[str, str]] = {}
        self.uses: list[tuple[float, str, str, list[tuple[str, str]]]] = []

    async def start(self) -> None:
        """Start with version 1 of the model."""
        await super().start()
        models = [{"name": MODEL, "version": 1, "adapters": []}]
        self.system.engines[self.name]["models"] = models

    async def _answer(self, request: Request, writer: asyncio.StreamWriter) -> None:
        path = request.target.partition("?")[0]
        if path.startswith("/v1/"):
            await self._answer_call(path, writer)
            return
        salt = request.headers.get("cache-salt", "")
        tenant = request.headers.get("tenant", "")
        used = []
        is_cached = True
        for item in request.headers.get("prefix-hash", "").split(","):
            key = (salt, item.strip().partition(":")[0])
            is_cached = is_cached and key in self.makers
            if is_cached:
                used.append(self.makers[key])
            else:
                self.makers[key] = (tenant, request.id)
        now_s = self.system.record.now_s()
        self.uses.append((now_s, tenant, request.id, used))
        self.system.record.write(
            f"{self.name} runs {request.id} of {tenant} with Cache-Salt {salt!r}; "
            f"it uses parts made by {used or 'nobody'}"
        )
        await asyncio.sleep(self.work_s)
        headers = [
            ("Request-Id", request.id),
            ("Response-Seal", f"{self.id}.{request.id}"),
            ("Content-Type", "text/event-stream"),
            ("Weight-Versions", "1"),
        ]
        body = b"".join(b"id: %d\ndata: token\n\n" % number for number in (1, 2, 3))
        writer.write(harness.encode_response(200, headers, body))
        await writer.drain()

    async def _answer_call(self, path: str, writer: asyncio.StreamWriter) -> None:
        answer: dict[str, object] = {"boot-epoch": 1, "next-token": 0}
        if path == "/v1/kv-events":
            await asyncio.sleep(0.8)
            answer |= {"lost": False, "events": []}
        elif path == "/v1/kv-list":
            answer |= {"held": [[salt, part, 800, MODEL] for salt, part in self.makers]}
        else:
            answer = {
                "stage": "colocated",
                "models": [{"name": MODEL, "version": 1, "adapters": []}],
                "busy": False,
                "seq": 0,
            }
        body = json.dumps(answer).encode()
        headers = [("Content-Type", "application/json")]
        writer.write(harness.encode_response(200, headers, body))
        await writer.drain()


class Case:
    """State of one run."""

    def __init__(self, system: System, record: Record):
        self.system, self.record = system, record
        self.engine = ModelEngine(system)

    async def send(self, tenant: str) -> int:
        """Send a prompt of a tenant that begins with the common opening."""
        request_id = harness.new_id()
        machine = self.system.routers[len(self.engine.uses) % 2]
        headers = [
            ("Host", "a.example"),
            ("Request-Id", request_id),
            ("Model", MODEL),
            ("Token-Usage", "1000,3"),
            ("Prefix-Hash", f"{OPENING}:800,{request_id[:8]}:200"),
            ("Deadline-Ms", "6000"),
            ("Authorization", f"Bearer {KEYS[tenant]}"),
        ]
        try:
            status, _, _ = await asyncio.wait_for(
                harness.call(
                    machine.host, self.system.base, "POST", "/a/x", headers, b"prompt"
                ),
                8.0,
            )
        except (OSError, EOFError, TimeoutError):
            status = 0
        self.record.write(f"{tenant} gets {status} for {request_id}")
        return status

    async def send_rounds(self, tenants: tuple[str, ...]) -> None:
        """Send some prompts of the tenants.

        Raises:
            CannotRunError: If one of them is not served.
        """
        for _ in range(ROUNDS):
            for tenant in tenants:
                if await self.send(tenant) != 200:
                    raise CannotRunError("a prompt was not served")
                await asyncio.sleep(0.05)


async def main(system: System, record: Record, with_trouble: bool) -> int:
    """Play the case."""
    case = Case(system, record)
    await system.start(routers=2)
    await case.engine.start()
    await system.put_manifest(manifest(1, isolated=False), 20)
    await system.wait_ready()
    await asyncio.sleep(4)
    await case.send_rounds(("tenant-a",))
    await system.put_manifest(manifest(5, isolated=with_trouble), 20)
    await asyncio.sleep(CONFIG_APPLY_S + 1)
    since_s = record.now_s()
    record.write(f"tenant-a is isolated: {with_trouble}")
    await case.send_rounds(("tenant-b", "tenant-a"))
    isolated = {"tenant-a"} if with_trouble else set()
    shared = [
        (tenant, request_id, maker)
        for time_s, tenant, request_id, used in case.engine.uses
        for maker in used
        if time_s >= since_s and maker[0] != tenant and {tenant, maker[0]} & isolated
    ]
    text = f"runs that use parts across the wall: {len(shared)}"
    record.write(text)
    print(text)
    return harness.BROKEN if shared else harness.HELD


if __name__ == "__main__":
    sys.exit(harness.play(Path(__file__).resolve().parent, main))
