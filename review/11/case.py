"""New weights are named beside incomplete entries of another writer on the list."""

import asyncio
import json
import random
import sys
import time
from collections import OrderedDict
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from harness_3 import (  # noqa: E402
    ENGINE_PORT,
    HAS_TROUBLE,
    Client,
    Deployment,
    PlatformList,
    Record,
    Request,
    StandIns,
    build_entry,
    build_manifest,
    build_route,
    build_service,
    respond,
    respond_json,
    respond_not_executed,
    run_case,
)

MODEL = "m0"
ENGINES = 4
STORE_PORT = 18781
# New weights take an engine 1.9 s; 62.4 prompt tokens are read in a ms.
LOAD_S = 1.9
TOKENS_PER_S = 62_400
EVENTS = 5
EVENT_S = 0.02
# Prompts share one of these first parts, of which an engine has memory for two; a new
# one takes the place of the oldest in this period.
PREFIXES = 12
PREFIX_PERIOD_S = 0.4
PREFIX_TOKENS = 4000
OWN_TOKENS = 100
MEMORY_TOKENS = 9_000
STORE_TOKENS = 800_000
SEND_PERIOD_S = 0.06
LENGTH_S = 24.0
NAME_AT_S = 6.0


class Cache:
    """Parts under their texts, least recently used first, and events of changes."""

    def __init__(self, tokens: int):
        self.capacity = tokens
        self.parts: OrderedDict[tuple[str, str], tuple[int, int]] = OrderedDict()
        self.tokens = 0
        self.epoch = random.randrange(1, 10**6)
        self.events: list[list[object]] = []

    def _tell(self, sign: str, key: tuple[str, str], tokens: int) -> None:
        number = len(self.events) + 1
        self.events.append([number, sign, key[0], key[1], tokens, MODEL])

    def put(self, key: tuple[str, str], tokens: int, version: int) -> None:
        """Keep a part as it was made; one that is kept already stays."""
        if key in self.parts:
            self.parts.move_to_end(key)
            return
        self.parts[key] = (tokens, version)
        self.tokens += tokens
        self._tell("+", key, tokens)
        while self.tokens > self.capacity:
            old, (size, _) = self.parts.popitem(last=False)
            self.tokens -= size
            self._tell("-", old, 0)

    def clear(self) -> None:
        """Drop all parts."""
        for key in list(self.parts):
            self._tell("-", key, 0)
        self.parts.clear()
        self.tokens = 0

    async def answer(self, request: Request, writer: asyncio.StreamWriter) -> bool:
        """Answer calls about the cache; return whether this was one."""
        path, _, query = request.target.partition("?")
        last = len(self.events)
        if path == "/v1/kv-list":
            held = [
                [key[0], key[1], tokens, MODEL]
                for key, (tokens, _) in self.parts.items()
            ]
            data = {"boot-epoch": self.epoch, "next-token": last, "held": held}
            respond_json(writer, 200, data)
            return True
        if path != "/v1/kv-events":
            return False
        since = int(query.partition("=")[2] or 0)
        end_s = time.monotonic() + int(request.headers.get("wait-ms", "0")) / 1000
        while time.monotonic() < end_s and len(self.events) <= since:
            await asyncio.sleep(0.05)
        data = {
            "boot-epoch": self.epoch,
            "next-token": len(self.events),
            "lost": False,
            "events": self.events[since:],
        }
        respond_json(writer, 200, data)
        return True


class Engine:
    """One model engine."""

    def __init__(self, pool: "Pool", number: int, host: str):
        self.pool = pool
        self.id = f"i-{number}"
        self.host = host
        self.address = f"{host}:{ENGINE_PORT}"
        self.version = 1
        self.seq = 0
        self.active = 0
        self.is_busy = False
        self.cache = Cache(MEMORY_TOKENS)

    def models(self) -> list[dict[str, Any]]:
        """Return the weights as reports and the list state them."""
        return [{"name": MODEL, "version": self.version, "adapters": []}]

    def entry(self) -> dict[str, Any]:
        """Return the platform's entry."""
        return build_entry(
            self.id, self.address, slots=64, stage="colocated", models=self.models()
        )

    def other_entry(self) -> dict[str, Any]:
        """Return the other writer's entry: models, version and others are missing."""
        names = ("id", "service", "address", "zone", "slots", "state")
        entry = self.entry()
        return {name: entry[name] for name in names}

    async def answer(self, request: Request, writer: asyncio.StreamWriter) -> None:
        """Answer one request."""
        expected = request.headers.get("expect-instance", self.id)
        if expected != self.id:
            respond_not_executed(writer, 421, request)
        elif request.target == "/v1/report":
            report = {
                "stage": "colocated",
                "models": self.models(),
                "busy": self.is_busy,
                "seq": self.seq,
                "queued": 0,
                "active": self.active,
                "kv-used": 0,
                "kv-total": MEMORY_TOKENS,
                "handles": 0,
            }
            respond_json(writer, 200, report)
        elif request.target == "/v1/order":
            self._order(request, writer)
        elif not await self.cache.answer(request, writer):
            await self._run(request, writer)
        await writer.drain()

    def _order(self, request: Request, writer: asyncio.StreamWriter) -> None:
        body = json.loads(request.body)
        if self.is_busy or body.get("expected-revision", self.seq) != self.seq:
            respond(writer, 409, [], b"")
        elif body["version"] == self.version:
            respond(writer, 200, [], b"")
        else:
            self.seq += 1
            self.is_busy = True
            asyncio.ensure_future(self._load(body["version"]))
            respond(writer, 202, [], b"")

    async def _load(self, version: int) -> None:
        while self.active:
            await asyncio.sleep(0.01)
        await asyncio.sleep(LOAD_S)
        self.cache.clear()
        self.version = version
        self.is_busy = False
        self.pool.record.write(f"engine {self.id}: has weights {version}")

    async def _run(self, request: Request, writer: asyncio.StreamWriter) -> None:
        request_id = request.headers.get("request-id", "")
        wanted = request.headers.get("expect-version", str(self.version))
        if wanted != str(self.version):
            respond_not_executed(writer, 421, request)
            return
        if self.is_busy:
            respond_not_executed(writer, 503, request)
            return
        self.active += 1
        try:
            uncached = self._read_prompt(request, request_id)
            await asyncio.sleep(uncached / TOKENS_PER_S)
            lines = (
                f"Request-Id: {request_id}\r\nResponse-Seal: s-{request_id}\r\n"
                f"Weight-Versions: {self.version}\r\nInstance-Load: {self.active},0,64"
                "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
            )
            writer.write(f"HTTP/1.1 200 X\r\n{lines}\r\n".encode())
            for number in range(1, EVENTS + 1):
                await asyncio.sleep(EVENT_S)
                event = b"id: %d\ndata: x\n\n" % number
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            writer.write(b"0\r\n\r\n")
        finally:
            self.active -= 1

    def _read_prompt(self, request: Request, request_id: str) -> int:
        """Use what is cached, read the rest; return the tokens that were read."""
        headers = request.headers
        text = headers.get("cache-salt", "")
        items = [item.split(":") for item in headers["prefix-hash"].split(",")]
        source = self.pool.cache_at(headers.get("kv-fetch", ""))
        used, is_leading, uncached = [], True, 0
        for part, size in items:
            key, tokens = (text, part), int(size)
            made = self.cache.parts.get(key) if is_leading else None
            where = "own"
            if made is None and is_leading and source is not None:
                made, where = source.parts.get(key), headers["kv-fetch"]
            if made is None:
                is_leading = False
                uncached += tokens
                self.cache.put(key, tokens, self.version)
                continue
            self.cache.put(key, tokens, made[1])
            used.append((part, made[1], where))
        stale = [one for one in used if one[1] != self.version]
        expected = headers.get("expect-version", "not stated")
        self.pool.record.write(
            f"engine {self.id}: runs {request_id} on weights {self.version}, text "
            f"{text!r}, expected weights {expected}, "
            f"parts used (id, weights that made it, kept at): {used}"
            + (" STALE" if stale else "")
        )
        self.pool.stale += bool(stale)
        self.pool.runs += 1
        store = self.pool.cache_at(headers.get("kv-save", ""))
        if store is not None:
            for part, size in items:
                held = self.cache.parts.get((text, part))
                if held is not None:
                    store.put((text, part), int(size), held[1])
        return uncached


class Pool:
    """The engines and the store of kept KV cache."""

    def __init__(self, record: Record, deployment: Deployment, stand_ins: StandIns):
        self.record = record
        self.stale = self.runs = 0
        self.engines = [
            Engine(self, number, deployment.address(41 + number))
            for number in range(ENGINES)
        ]
        self.store = Cache(STORE_TOKENS)
        self._store_host = deployment.address(51)
        for engine in self.engines:
            stand_ins.listen(engine.host, ENGINE_PORT, engine.answer)
        stand_ins.listen(self._store_host, STORE_PORT, self._answer_store)

    async def _answer_store(
        self, request: Request, writer: asyncio.StreamWriter
    ) -> None:
        if not await self.store.answer(request, writer):
            respond(writer, 404, [], b"")
        await writer.drain()

    def cache_at(self, address: str) -> Cache | None:
        """Return the cache of the engine or store at an address."""
        if address == f"{self._store_host}:{STORE_PORT}":
            return self.store
        found = [one.cache for one in self.engines if one.address == address]
        return found[0] if found else None

    def entries(self) -> list[dict[str, Any]]:
        """Return what the list shows."""
        others = [one.other_entry() for one in self.engines] if HAS_TROUBLE else []
        return others + [one.entry() for one in self.engines]

    def manifest(self) -> dict[str, Any]:
        """Return the first manifest."""
        route = build_route("/quote/", "streaming", service="desk", resumable=True)
        route |= {"timeout-ms": 6000, "target-latency-ms": 1000, "priority": 0}
        route |= {"max-attempts": 2, "sticky": True, "target-gap-ms": 400}
        engine = {
            "slots": 64,
            "kv-capacity-tokens": MEMORY_TOKENS,
            "kv-token-bytes": 35136,
            "link-mbps": 180000.0,
            "moves": True,
            "backups": True,
            "stride": 3,
            "max-in-flight": 12,
            "pin-ms": 4000.0,
            "hold-ms": 2000.0,
            "handle_s": 5.0,
            "models": [{"name": MODEL}],
        }
        store = {
            "name": "keep",
            "kv-store-addr": f"{self._store_host}:{STORE_PORT}",
            "zone": "a",
            "kv-capacity-tokens": STORE_TOKENS,
            "link-mbps": 38000.0,
            "max-in-flight": 12,
        }
        pool = build_service(engine=engine)
        pool["max-connections"] = 370
        return build_manifest([route], [pool, store])


def main(record: Record, deployment: Deployment, stand_ins: StandIns) -> bool:
    """Send prompts while new weights are named; none may use parts of old ones."""
    pool = Pool(record, deployment, stand_ins)
    PlatformList(pool.entries).listen(deployment, stand_ins)
    deployment.start_all(pool.manifest())
    rng = random.Random(56)
    client = Client(record, deployment.routers)
    number, start_s, is_named = 0, time.monotonic(), False
    while (now_s := time.monotonic()) < start_s + LENGTH_S:
        number += 1
        if not is_named and now_s > start_s + NAME_AT_S:
            is_named = True
            client.start(lambda: deployment.name_weights(MODEL, 2))
        oldest = int((now_s - start_s) / PREFIX_PERIOD_S)
        prefix = oldest + rng.randrange(PREFIXES)
        headers = {
            "Model": MODEL,
            "Token-Usage": f"{PREFIX_TOKENS + OWN_TOKENS},5",
            "Prefix-Hash": f"a{prefix:x}:{PREFIX_TOKENS},b{number:x}:{OWN_TOKENS}",
        }
        client.begin(
            f"{number:016x}",
            number,
            f"/quote/{number}",
            deadline_ms=6000,
            headers=headers,
        )
        time.sleep(SEND_PERIOD_S)
    client.join()
    record.write(
        f"{pool.runs} runs, {pool.stale} of them on KV cache that was made under other "
        f"weights; {client.failed} of {client.sent} requests were not answered with 200"
    )
    return not pool.stale


if __name__ == "__main__":
    sys.exit(run_case(main, __file__))
