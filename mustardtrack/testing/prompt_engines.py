"""Stand-in engines of the platform that stream short answers to prompts.

They serve their own entry in the platform's list of endpoints, and can be told to crash
on a prompt part or to name a limit of requests per second.
"""

import asyncio
import json
import threading
import time
from collections.abc import Coroutine
from dataclasses import dataclass, field
from itertools import takewhile
from typing import Any

SERVICE, MODEL = "pool", "m"
EVENT_COUNT = 4
EVENT_INTERVAL_S = 0.02
# Time between the response headers and the crash.
CRASH_DELAY_S = 0.03
RESTART_S = 0.8
START_TIMEOUT_S = 5.0


@dataclass(frozen=True)
class Arrival:
    """Request that reached an engine, with the monotonic time in seconds.

    Attributes:
        parts: Digests of its prompt parts.
        account: Client account, empty if it is not stated.
        salt: Cache salt, empty if it is not stated.
        target: Request target.
        part_makers: Account whose request computed each cached part that it uses.
    """

    at_s: float
    engine: int
    request_id: str
    parts: tuple[str, ...]
    account: str = ""
    salt: str = ""
    part_makers: tuple[str, ...] = ()
    target: str = ""


@dataclass
class PromptEngines:
    """Engines at ports of one loopback address, and the list that names them.

    Attributes:
        host: Address of all engines.
        count: Number of engines.
        crashing_parts: Engines crash when they begin to answer a prompt with one of
            these parts, and return after ``RESTART_S`` with a new identity.
        crashing_targets: Engines crash in the same way when they begin to answer a
            request for one of these targets.
        events_before_crash: Events of an answer that a crashing engine sends first.
        limits: Requests per second that an engine names in its answers, by engine.
        leaving: Engines that announce in their answers that they leave, while the list
            still names them as ready.
        odd_entries: Encoded entries of another writer on the platform's list.
        refusing: Engines that turn all requests away without running them.
        pauses_s: Time in seconds that an engine names when it turns a request away, by
            engine; an engine with an entry turns all requests away.
        part_makers: Account whose request computed each part that an engine caches, by
            engine, cache salt and digest. Engines that crash keep their parts.
        arrivals: Requests that reached an engine, oldest first.
        crashes_s: Monotonic times of the crashes, oldest first.
    """

    host: str
    count: int
    crashing_parts: set[str] = field(default_factory=set)
    crashing_targets: set[str] = field(default_factory=set)
    events_before_crash: int = 0
    limits: dict[int, float] = field(default_factory=dict)
    leaving: set[int] = field(default_factory=set)
    odd_entries: list[bytes] = field(default_factory=list)
    refusing: set[int] = field(default_factory=set)
    pauses_s: dict[int, str] = field(default_factory=dict)
    part_makers: dict[tuple[int, str, str], str] = field(default_factory=dict)
    arrivals: list[Arrival] = field(default_factory=list)
    crashes_s: list[float] = field(default_factory=list)

    def start(self) -> None:
        """Start all engines in a thread of their own."""
        self._loop = asyncio.new_event_loop()
        self._boots = [1] * self.count
        self._ports = [0] * self.count
        self._servers: dict[int, asyncio.Server] = {}
        self._writers: list[set[asyncio.StreamWriter]] = [
            set() for _ in range(self.count)
        ]
        self._tasks: set[asyncio.Future[None]] = set()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()
        self._run(self._start_servers())

    def stop(self) -> None:
        """Stop all engines."""
        self._run(self._stop_servers())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()

    def _run(self, coroutine: Coroutine[Any, Any, None]) -> None:
        future = asyncio.run_coroutine_threadsafe(coroutine, self._loop)
        future.result(START_TIMEOUT_S)

    async def _start_servers(self) -> None:
        for engine in range(self.count):
            await self._listen(engine)
        self._list = await asyncio.start_server(self._serve_list, self.host, 0)

    async def _stop_servers(self) -> None:
        for server in (*self._servers.values(), self._list):
            server.close()
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    @property
    def list_address(self) -> str:
        """Address that serves the platform's list of endpoints."""
        return f"{self.host}:{self._list.sockets[0].getsockname()[1]}"

    async def _listen(self, engine: int) -> None:
        server = await asyncio.start_server(
            lambda reader, writer: self._serve(engine, reader, writer),
            self.host,
            self._ports[engine],
        )
        self._ports[engine] = server.sockets[0].getsockname()[1]
        self._servers[engine] = server

    def _identity(self, engine: int) -> str:
        return f"i-{engine}-{self._boots[engine]}"

    async def _serve_list(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self._encode_list())
        finally:
            writer.close()

    def _encode_list(self) -> bytes:
        entries = [
            {
                "id": self._identity(engine),
                "service": SERVICE,
                "address": f"{self.host}:{self._ports[engine]}",
                "zone": "a",
                "slots": 64,
                "state": "ready",
                "models": [{"name": MODEL, "version": 1, "adapters": []}],
            }
            for engine in range(self.count)
        ]
        encoded = [*self.odd_entries, *(json.dumps(one).encode() for one in entries)]
        body = b'{"instances": [%s], "next-token": null}' % b", ".join(encoded)
        return _encode_head(200, b"content-length: %d\r\n" % len(body)) + body

    async def _serve(
        self, engine: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers[engine].add(writer)
        try:
            while True:
                await self._answer_request(engine, reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # The caller or a crash ended the connection, or the test is over.
        finally:
            self._writers[engine].discard(writer)
            writer.close()

    async def _answer_request(
        self, engine: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        pairs = (line.partition(":") for line in lines[1:] if line)
        headers = {name.lower(): value.strip() for name, _, value in pairs}
        await reader.readexactly(int(headers.get("content-length", "0")))
        if not lines[0].startswith("POST /x/"):
            writer.write(_encode_head(404, b"content-length: 0\r\n"))
            return
        if headers.get("expect-instance") != self._identity(engine):
            writer.write(_encode_head(421, b"not-executed: 1\r\ncontent-length: 0\r\n"))
            return
        entries = headers.get("prefix-hash", "").split(",")
        parts = tuple(entry.partition(":")[0] for entry in entries)
        request_id = headers["request-id"]
        target = lines[0].split(" ")[1]
        account = headers.get("tenant", "")
        salt = headers.get("cache-salt", "")
        makers = self._use_cache(engine, salt, parts, account)
        self.arrivals.append(
            Arrival(
                time.monotonic(),
                engine,
                request_id,
                parts,
                account,
                salt,
                makers,
                target,
            )
        )
        if engine in self.pauses_s or engine in self.refusing:
            fields = f"not-executed: 1\r\nrequest-id: {request_id}\r\n"
            if engine in self.pauses_s:
                fields += f"retry-after: {self.pauses_s[engine]}\r\n"
            fields += "content-length: 0\r\n"
            writer.write(_encode_head(503, fields.encode()))
            return
        is_crashing = bool(self.crashing_parts.intersection(parts[:-1]))
        is_crashing = is_crashing or target in self.crashing_targets
        await self._stream_answer(engine, writer, request_id, is_crashing)

    def _use_cache(
        self, engine: int, salt: str, parts: tuple[str, ...], account: str
    ) -> tuple[str, ...]:
        """Return who computed the leading cached parts, and cache the others."""
        keys = [(engine, salt, part) for part in parts]
        cached = list(takewhile(self.part_makers.__contains__, keys))
        makers = tuple(self.part_makers[key] for key in cached)
        for key in keys[len(cached) :]:
            self.part_makers[key] = account
        return makers

    async def _stream_answer(
        self,
        engine: int,
        writer: asyncio.StreamWriter,
        request_id: str,
        is_crashing: bool,
    ) -> None:
        fields = (
            "response-seal: s\r\ncontent-type: text/event-stream\r\n"
            f"transfer-encoding: chunked\r\nrequest-id: {request_id}\r\n"
        )
        if engine in self.leaving:
            fields += "server-leaving: 1\r\n"
        if engine in self.limits:
            fields += f"server-limit: {self.limits[engine]}\r\n"
        writer.write(_encode_head(200, fields.encode()))
        for number in range(self.events_before_crash if is_crashing else EVENT_COUNT):
            await asyncio.sleep(EVENT_INTERVAL_S)
            event = b"id: %d\ndata: x\n\n" % (number + 1)
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
        if is_crashing:
            await asyncio.sleep(CRASH_DELAY_S)
            self._crash(engine)
            raise ConnectionResetError
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    def replace(self, engine: int) -> None:
        """Replace an engine by one with a new identity at the same address."""
        self._boots[engine] += 1
        self.leaving.discard(engine)

    def _crash(self, engine: int) -> None:
        server = self._servers.pop(engine, None)
        if server is None:
            return  # Another prompt has crashed it already.
        self.crashes_s.append(time.monotonic())
        server.close()
        for writer in list(self._writers[engine]):
            writer.transport.abort()
        task = asyncio.ensure_future(self._restart(engine))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _restart(self, engine: int) -> None:
        await asyncio.sleep(RESTART_S)
        self._boots[engine] += 1
        await self._listen(engine)


def _encode_head(status: int, fields: bytes) -> bytes:
    return b"HTTP/1.1 %d X\r\n%s\r\n" % (status, fields)
