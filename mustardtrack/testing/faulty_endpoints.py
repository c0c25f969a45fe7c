"""Stand-in endpoints of the fault soak, each behind a fault-injecting forwarder.

The endpoints count executions by request id, so that a soak can compare the responses
that callers received with the requests that were executed.
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
EVENT_INTERVAL_S = 0.01
# Time between two events by the first part of the path; a slow stream lasts 3.5 s.
STREAM_INTERVALS_S = {"stream": EVENT_INTERVAL_S, "slow": 3.5 / STREAM_EVENTS}
MAX_WORK_S = 0.03
CHUNK_BYTES = 16_384
SEAL_HEADER = "Response-Seal: x\r\n"


@dataclass
class RunLog:
    """Executions of requests at all endpoints.

    Attributes:
        runs: Number of executions by request id.
    """

    runs: Counter[str] = field(default_factory=Counter)


class FaultyEndpoint:
    """One endpoint and the forwarder in front of it.

    Attributes:
        refuse_share: Fraction of requests that are refused without being executed.
        lose_share: Fraction of executed requests whose response is lost.
        delay_s: Delay of every chunk on the connection.
        cut: Direction in which data is dropped: ``request``, ``answer`` or empty.
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
        self._connections: set[tuple[asyncio.StreamWriter, ...]] = set()
        self._blackholed_writers: set[asyncio.StreamWriter] = set()
        self._port = 0

    def host_list_entry(self) -> dict[str, Any]:
        """Return the endpoint's entry in the platform's host list."""
        return {
            "id": self.name,
            "service": self.service,
            "address": self.address,
            "zone": "a",
            "slots": SLOTS,
            "state": "draining" if self.is_draining else "ready",
        }

    async def start(self, host: str) -> None:
        """Listen on one port as the endpoint and on another one as its forwarder."""
        server = await asyncio.start_server(self._serve_requests, host, 0)
        self._port = server.sockets[0].getsockname()[1]
        forwarder = await asyncio.start_server(self._forward, host, 0)
        self.address = f"{host}:{forwarder.sockets[0].getsockname()[1]}"

    def reset_connections(self) -> None:
        """Reset all open connections."""
        for connection in list(self._connections):
            for writer in connection:
                writer.transport.abort()

    def blackhole_connections(self) -> None:
        """Drop all further data on open connections; new connections work."""
        for connection in list(self._connections):
            self._blackholed_writers.update(connection)

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        host = self.address.rpartition(":")[0]
        endpoint_reader, endpoint_writer = await asyncio.open_connection(
            host, self._port
        )
        connection = (writer, endpoint_writer)
        self._connections.add(connection)
        try:
            await asyncio.gather(
                self._relay(reader, endpoint_writer, "request"),
                self._relay(endpoint_reader, writer, "answer"),
            )
        except asyncio.CancelledError:
            # The soak ended. Writers that are left to their finalizer raise once the
            # event loop is closed.
            for opened in connection:
                opened.transport.abort()
        self._connections.discard(connection)
        self._blackholed_writers.difference_update(connection)

    async def _relay(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        direction: str,
    ) -> None:
        try:
            while data := await reader.read(CHUNK_BYTES):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                if self.cut == direction:
                    # TCP never delivers later bytes of a stream that lacks some.
                    self._blackholed_writers.add(writer)
                if writer in self._blackholed_writers:
                    continue
                writer.write(data)
                await writer.drain()
        except OSError:
            writer.transport.abort()
            return
        if writer not in self._blackholed_writers:
            writer.close()

    async def _serve_requests(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while await self._handle_request(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # A fault or the caller reset the connection, or the soak ended.
        writer.close()

    async def _handle_request(
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
        id_header = f"Request-Id: {request_id}\r\n"
        if headers.get("expect-instance") != self.name:
            writer.write(_format_response("421 Misdirected", id_header, b""))
            return True
        if self._rng.random() < self.refuse_share:
            writer.write(
                _format_response("503 Busy", id_header + "Not-Executed: 1\r\n", b"")
            )
            return True
        self._log.runs[request_id] += 1
        await asyncio.sleep(self._rng.random() * MAX_WORK_S)
        loses_response = self._rng.random() < self.lose_share
        interval_s = STREAM_INTERVALS_S.get(path.split("/")[1])
        if loses_response and interval_s is None:
            writer.transport.abort()
            return False
        if interval_s is not None:
            return await self._stream(
                writer, id_header, headers, loses_response, interval_s
            )
        writer.write(
            _format_response("200 OK", id_header + SEAL_HEADER, b"echo " + body)
        )
        await writer.drain()
        return True

    async def _stream(
        self,
        writer: asyncio.StreamWriter,
        id_header: str,
        headers: dict[str, str],
        loses_response: bool,
        interval_s: float,
    ) -> bool:
        """Stream the events after ``Last-Event-Id``, the last one received."""
        writer.write(
            f"HTTP/1.1 200 OK\r\n{id_header}{SEAL_HEADER}"
            "Content-Type: text/event-stream\r\n"
            "Transfer-Encoding: chunked\r\n\r\n".encode()
        )
        first = int(headers.get("last-event-id", 0)) + 1
        for number in range(first, STREAM_EVENTS + 1):
            if loses_response and number > STREAM_EVENTS // 2:
                writer.transport.abort()
                return False
            event = f"id: {number}\ndata: {headers.get('request-id')}\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(interval_s)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


def _format_response(status: str, headers: str, body: bytes) -> bytes:
    head = f"HTTP/1.1 {status}\r\n{headers}Content-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


class EndpointThread:
    """Runs all endpoints and the platform's host list on an event loop in a thread.

    Args:
        host: Address that all servers listen on.
        services: Number of endpoints of each service.
        seed: Seed of the random choices of the endpoints.

    Attributes:
        host_list_address: Address that serves the platform's host list.
    """

    def __init__(self, host: str, services: dict[str, int], seed: int):
        self.log = RunLog()
        rng = random.Random(seed)
        self.endpoints = [
            FaultyEndpoint(f"{service}-{number}", service, self.log, rng)
            for service, count in services.items()
            for number in range(count)
        ]
        self.host_list_address = ""
        self._host = host
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)

    def start(self) -> None:
        """Start the thread and listen on all ports."""
        self._thread.start()
        self.run(self._start())

    def run(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine on the event loop and wait for it."""
        asyncio.run_coroutine_threadsafe(coroutine, self._loop).result(timeout=10)

    def call_soon(self, function: Any) -> None:
        """Schedule a call of a function on the event loop without waiting for it."""
        self._loop.call_soon_threadsafe(function)

    def stop(self) -> None:
        """Close all connections and stop the event loop."""
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
        server = await asyncio.start_server(self._serve_host_list, self._host, 0)
        port = server.sockets[0].getsockname()[1]
        self.host_list_address = f"{self._host}:{port}"

    async def _serve_host_list(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while await reader.readuntil(b"\r\n\r\n"):
                entries = [endpoint.host_list_entry() for endpoint in self.endpoints]
                body = json.dumps({"instances": entries}).encode()
                writer.write(_format_response("200 OK", "", body))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            writer.close()
