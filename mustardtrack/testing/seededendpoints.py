"""Stand-in endpoints of a seeded deployment, each behind a faulty connection.

The endpoints count every run by request id, so that a soak can compare what callers
were told with what was run.
"""

import asyncio
import json
import random
import threading
from collections import Counter
from collections.abc import Coroutine
from dataclasses import dataclass, field
from typing import Any

SLOTS = 6
STREAM_EVENTS = 12
EVENT_PAUSE_S = 0.01
LONGEST_WORK_S = 0.03
CHUNK_BYTES = 16_384
SIGNATURE = "Response-Seal: x\r\n"


@dataclass
class RunLog:
    """Runs of all endpoints.

    Attributes:
        runs: Number of runs by request id.
    """

    runs: Counter[str] = field(default_factory=Counter)


class FaultyEndpoint:
    """One endpoint and the forwarder before it.

    Attributes:
        refuse_share: Part of the requests that are refused as not run.
        lose_share: Part of the answers that are lost after the run.
        delay_s: Delay of every chunk on the connection.
        cut: Direction that is cut: ``request``, ``answer`` or none.
    """

    def __init__(self, name: str, service: str, log: RunLog, rng: random.Random):
        self.name = name
        self.service = service
        self.refuse_share = 0.0
        self.lose_share = 0.0
        self.delay_s = 0.0
        self.cut = ""
        self.address = ""
        self.is_draining = False
        self._log = log
        self._rng = rng
        self._links: set[tuple[asyncio.StreamWriter, ...]] = set()
        self._silent: set[asyncio.StreamWriter] = set()
        self._port = 0

    def describe(self) -> dict[str, Any]:
        """Return the endpoint's entry of the platform's list."""
        return {
            "id": self.name,
            "service": self.service,
            "address": self.address,
            "zone": "a",
            "slots": SLOTS,
            "state": "draining" if self.is_draining else "ready",
        }

    async def start(self, host: str) -> None:
        """Listen on a port for requests and on another for connections to it."""
        server = await asyncio.start_server(self._serve, host, 0)
        self._port = server.sockets[0].getsockname()[1]
        front = await asyncio.start_server(self._forward, host, 0)
        self.address = f"{host}:{front.sockets[0].getsockname()[1]}"

    def reset_connections(self) -> None:
        """Reset all open connections."""
        for link in list(self._links):
            for writer in link:
                writer.transport.abort()

    def silence_connections(self) -> None:
        """Let all open connections go silent for good; new ones work."""
        for link in list(self._links):
            self._silent.update(link)

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        host = self.address.rpartition(":")[0]
        other_reader, other_writer = await asyncio.open_connection(host, self._port)
        link = (writer, other_writer)
        self._links.add(link)
        try:
            await asyncio.gather(
                self._pump(reader, other_writer, "request"),
                self._pump(other_reader, writer, "answer"),
            )
        except asyncio.CancelledError:
            pass  # The soak ended.
        self._links.discard(link)
        self._silent.difference_update(link)

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        direction: str,
    ) -> None:
        try:
            while data := await reader.read(CHUNK_BYTES):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                if writer in self._silent or self.cut == direction:
                    continue
                writer.write(data)
                await writer.drain()
        except OSError:
            writer.transport.abort()
            return
        if writer not in self._silent:
            writer.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while await self._answer(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # A fault or the caller reset the connection, or the soak ended.
        writer.close()

    async def _answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        path = lines[0].split(" ")[1]
        headers = {
            name.lower(): value.strip()
            for name, _, value in (line.partition(":") for line in lines[1:])
        }
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        request_id = headers.get("request-id", "")
        echo = f"Request-Id: {request_id}\r\n"
        if headers.get("expect-instance") != self.name:
            writer.write(_plain("421 Misdirected", echo, b""))
            return True
        if self._rng.random() < self.refuse_share:
            writer.write(_plain("503 Busy", echo + "Not-Executed: 1\r\n", b""))
            return True
        self._log.runs[request_id] += 1
        await asyncio.sleep(self._rng.random() * LONGEST_WORK_S)
        loses = self._rng.random() < self.lose_share
        if loses and "/stream/" not in path:
            writer.transport.abort()
            return False
        if "/stream/" in path:
            return await self._stream(writer, echo, headers, loses)
        writer.write(_plain("200 OK", echo + SIGNATURE, b"echo " + body))
        await writer.drain()
        return True

    async def _stream(
        self,
        writer: asyncio.StreamWriter,
        echo: str,
        headers: dict[str, str],
        loses: bool,
    ) -> bool:
        """Send events from the one after ``Last-Event-Id``, which names the last."""
        writer.write(
            f"HTTP/1.1 200 OK\r\n{echo}{SIGNATURE}Content-Type: text/event-stream"
            "\r\nTransfer-Encoding: chunked\r\n\r\n".encode()
        )
        first = int(headers.get("last-event-id", 0)) + 1
        for number in range(first, STREAM_EVENTS + 1):
            if loses and number > STREAM_EVENTS // 2:
                writer.transport.abort()
                return False
            event = f"id: {number}\ndata: {headers.get('request-id')}\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(EVENT_PAUSE_S)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


def _plain(status: str, headers: str, body: bytes) -> bytes:
    head = f"HTTP/1.1 {status}\r\n{headers}Content-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


class EndpointThread:
    """All endpoints and the platform's list, on an event loop of their own."""

    def __init__(self, host: str, services: dict[str, int], seed: int):
        self.log = RunLog()
        rng = random.Random(seed)
        self.endpoints = [
            FaultyEndpoint(f"{service}-{number}", service, self.log, rng)
            for service, count in services.items()
            for number in range(count)
        ]
        self.list_address = ""
        self._host = host
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)

    def start(self) -> None:
        """Start to listen."""
        self._thread.start()
        self.run(self._start())

    def run(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine on the loop and wait for it."""
        asyncio.run_coroutine_threadsafe(coroutine, self._loop).result(timeout=10)

    def call(self, function: Any) -> None:
        """Call a function on the loop."""
        self._loop.call_soon_threadsafe(function)

    def stop(self) -> None:
        """End all connections and the loop."""
        self.run(self._end_tasks())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()

    async def _end_tasks(self) -> None:
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _start(self) -> None:
        for endpoint in self.endpoints:
            await endpoint.start(self._host)
        server = await asyncio.start_server(self._list, self._host, 0)
        port = server.sockets[0].getsockname()[1]
        self.list_address = f"{self._host}:{port}"

    async def _list(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while await reader.readuntil(b"\r\n\r\n"):
                entries = [endpoint.describe() for endpoint in self.endpoints]
                body = json.dumps({"instances": entries}).encode()
                writer.write(_plain("200 OK", "", body))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            writer.close()
