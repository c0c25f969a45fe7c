"""HTTP/1.1 client to endpoints, over h11 and Twisted.

It shows what forwarding needs to know about a failure: whether any byte of the
request was sent, whether an answer began, and bytes that belong to no request.
"""

import asyncio
import math
import socket
from collections import Counter, deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any

import h11
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import ClientFactory, Protocol, connectionDone

Headers = Sequence[tuple[bytes, bytes]]

# A request that no endpoint acknowledges within this time is on a dead connection.
USER_TIMEOUT_MS = 1200
# An idle connection is used no later than this before the endpoint's stated limit,
# so that the request does not cross the endpoint's close.
IDLE_MARGIN_S = 0.4
DEFAULT_IDLE_S = 4.0
# An endpoint that states whole seconds keeps a connection at least this long.
SHORTEST_IDLE_S = 0.2
MAX_HEADER_BYTES = 65_536
# Late second answers that may precede the answer to the current request.
MAX_FOREIGN_ANSWERS = 4


class ConnectError(Exception):
    """No connection could be made; nothing was sent."""


class ConnectionBrokenError(Exception):
    """The connection ended or broke the protocol; the request may have run."""


@dataclass(frozen=True)
class AnswerHead:
    """Status and headers of an answer; header names are in lower case."""

    status: int
    headers: list[tuple[bytes, bytes]]

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header."""
        for key, value in self.headers:
            if key == name:
                return value
        return None


@dataclass(frozen=True)
class AnswerData:
    """Part of the body."""

    data: bytes


@dataclass(frozen=True)
class AnswerEnd:
    """End of a complete answer."""


@dataclass(frozen=True)
class Broken:
    """End of the connection before the end of the answer."""

    reason: str


AnswerEvent = AnswerHead | AnswerData | AnswerEnd | Broken


class UpstreamConnection(Protocol):
    """One connection to an endpoint; carries one request at a time.

    Attributes:
        idle_limit_s: Time for which the endpoint keeps an idle connection.
        is_reusable: Whether another request may be sent.
        ready: Done once the connection is open.
        on_lost: Called once when an open connection has ended.
        rested_s: Time for which it was idle before its present request.
    """

    transport: Any

    def __init__(self) -> None:
        self._http = self._new_http()
        self._events: deque[AnswerEvent] = deque()
        self._waiter: asyncio.Future[None] | None = None
        self._request: h11.Request | None = None
        self._expected_id: bytes | None = None
        self._id_header = b""
        self._skipping = False
        self._foreign = 0
        self.ready: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.idle_limit_s = DEFAULT_IDLE_S
        self.idle_since_s = 0.0
        self.rested_s = 0.0
        self.requests_sent = 0
        self.is_lost = False
        self.is_reusable = False
        self.on_lost: Callable[[], None] | None = None

    @staticmethod
    def _new_http() -> h11.Connection:
        return h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEADER_BYTES)

    def connectionMade(self) -> None:  # noqa: N802
        """Tell the waiting caller."""
        handle = self.transport.getHandle()
        handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
        if not self.ready.done():
            self.ready.set_result(None)

    def send(
        self,
        method: bytes,
        target: bytes,
        headers: Headers,
        body: bytes,
        id_header: bytes = b"",
        expected_id: bytes | None = None,
    ) -> None:
        """Send a request.

        Answers whose ``id_header`` names another request are dropped.
        """
        if self.requests_sent:
            self._http = self._new_http()
        self._events.clear()
        self._skipping = False
        self._foreign = 0
        self._id_header = id_header
        self._expected_id = expected_id
        self.requests_sent += 1
        self.is_reusable = False
        self._request = h11.Request(method=method, target=target, headers=list(headers))
        data = self._http.send(self._request) or b""
        if body:
            data += self._http.send(h11.Data(data=body)) or b""
        data += self._http.send(h11.EndOfMessage()) or b""
        self.transport.write(data)

    async def next_event(self, timeout_s: float) -> AnswerEvent | None:
        """Return the next part of the answer, or None after the timeout."""
        if not self._events and not self.is_lost:
            self._waiter = asyncio.get_running_loop().create_future()
            handle = asyncio.get_running_loop().call_later(
                max(0.0, timeout_s), _resolve, self._waiter
            )
            try:
                await self._waiter
            finally:
                handle.cancel()
                self._waiter = None
        if self._events:
            return self._events.popleft()
        return Broken("closed") if self.is_lost else None

    def wake(self) -> None:
        """Let ``next_event`` return now."""
        _resolve(self._waiter)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parse what arrived."""
        if self._request is None:
            # Bytes after a complete answer belong to no request.
            self.is_reusable = False
            self.transport.abortConnection()
            return
        try:
            self._http.receive_data(data)
            self._read_events()
        except h11.RemoteProtocolError as error:
            self._break(f"protocol error: {error}")

    def connectionLost(self, reason: Any = connectionDone) -> None:  # noqa: N802
        """End the answer, which may be complete if it had no length."""
        self.is_reusable = False
        if self._request is not None and reason.check(ConnectionDone):
            try:
                self._http.receive_data(b"")
                self._read_events()
            except h11.RemoteProtocolError:
                pass  # An answer that was cut is reported as broken below.
        self.is_lost = True
        if self._request is not None:
            self._add(Broken(reason.getErrorMessage()))
            self._request = None
        _resolve(self._waiter)
        if self.on_lost is not None:
            self.on_lost()

    def _break(self, reason: str) -> None:
        self.is_reusable = False
        self._request = None
        self._add(Broken(reason))
        self.transport.abortConnection()

    def _read_events(self) -> None:
        while self._request is not None:
            event = self._http.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            if isinstance(event, h11.InformationalResponse):
                continue
            if isinstance(event, h11.Response):
                self._begin_answer(event)
            elif isinstance(event, h11.Data):
                if not self._skipping:
                    self._add(AnswerData(bytes(event.data)))
            elif isinstance(event, h11.EndOfMessage):
                self._end_answer()
            else:
                return

    def _begin_answer(self, event: h11.Response) -> None:
        head = AnswerHead(event.status_code, list(event.headers))
        echoed = head.header(self._id_header) if self._id_header else None
        foreign = (
            self._expected_id is not None
            and echoed is not None
            and echoed != self._expected_id
        )
        self._skipping = foreign
        if not foreign:
            self._add(head)

    def _end_answer(self) -> None:
        trailing, closed = self._http.trailing_data
        keeps = self._http.our_state is h11.DONE and self._http.their_state is h11.DONE
        if self._skipping:
            self._skip_answer(trailing, keeps)
            return
        self.is_reusable = keeps and not trailing and not closed and not self.is_lost
        self._request = None
        self._add(AnswerEnd())

    def _skip_answer(self, trailing: bytes, keeps: bool) -> None:
        """Drop an answer to an earlier request and wait for the right one."""
        self._foreign += 1
        request = self._request
        if not keeps or self._foreign > MAX_FOREIGN_ANSWERS or request is None:
            self._break("answer to another request")
            return
        self._skipping = False
        self._http = self._new_http()
        # The request was sent already; the new parser must only know of it.
        self._http.send(
            h11.Request(
                method=request.method,
                target=request.target,
                headers=[
                    (name, value)
                    for name, value in request.headers
                    if name not in (b"content-length", b"transfer-encoding")
                ],
            )
        )
        self._http.send(h11.EndOfMessage())
        if trailing:
            self._http.receive_data(trailing)

    def _add(self, event: AnswerEvent) -> None:
        self._events.append(event)
        _resolve(self._waiter)

    def close(self) -> None:
        """Close the connection; an endpoint drops the request on it."""
        self.is_reusable = False
        self.transport.abortConnection()


def _resolve(waiter: "asyncio.Future[None] | None") -> None:
    if waiter is not None and not waiter.done():
        waiter.set_result(None)


class _Connector(ClientFactory):
    noisy = False

    def __init__(self, connection: UpstreamConnection):
        self._connection = connection

    def buildProtocol(self, address: Any) -> UpstreamConnection:  # noqa: N802
        return self._connection

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:  # noqa: N802
        future = self._connection.ready
        if not future.done():
            future.set_exception(ConnectError(reason.getErrorMessage()))


async def open_connection(
    reactor: Any, host: str, port: int, timeout_s: float
) -> UpstreamConnection:
    """Connect to an endpoint.

    Raises:
        ConnectError: If there is no connection within the timeout.
    """
    connection = UpstreamConnection()
    connector = reactor.connectTCP(
        host, port, _Connector(connection), timeout=timeout_s
    )
    try:
        await connection.ready
    except asyncio.CancelledError:
        connector.disconnect()
        raise
    return connection


class ConnectionPool:
    """Idle connections of one process by endpoint."""

    def __init__(self, reactor: Any):
        self._reactor = reactor
        self._idle: dict[str, list[UpstreamConnection]] = {}
        self._open: Counter[str] = Counter()

    def take(
        self, key: str, longest_idle_s: float = math.inf
    ) -> UpstreamConnection | None:
        """Return the most recently used idle connection of an endpoint.

        Args:
            key: Endpoint.
            longest_idle_s: Idle time above which a connection is not used.
        """
        now_s = asyncio.get_running_loop().time()
        idle = self._idle.get(key, [])
        while idle:
            connection = idle[-1]
            age_s = now_s - connection.idle_since_s
            usable_s = max(SHORTEST_IDLE_S, connection.idle_limit_s - IDLE_MARGIN_S)
            if connection.is_lost or not connection.is_reusable or age_s >= usable_s:
                idle.pop()
                if not connection.is_lost:
                    connection.transport.loseConnection()
                continue
            # The last one was used last, so that the others are idle for longer.
            if age_s >= longest_idle_s:
                return None
            connection.rested_s = age_s
            return idle.pop()
        return None

    def close_oldest(self, key: str) -> None:
        """Close the connection of an endpoint that has been idle for longest."""
        idle = self._idle.get(key, [])
        if idle:
            connection = idle.pop(0)
            if not connection.is_lost:
                connection.transport.loseConnection()

    async def open(self, address: str, timeout_s: float) -> UpstreamConnection:
        """Open a new connection.

        Raises:
            ConnectError: If there is no connection within the timeout.
        """
        host, _, port = address.rpartition(":")
        # Counted from the start, so that requests at the same moment see each other.
        self._open[address] += 1
        try:
            connection = await open_connection(
                self._reactor, host, int(port), timeout_s
            )
        except BaseException:
            self._note_closed(address)
            raise
        if connection.is_lost:
            self._note_closed(address)
        connection.on_lost = lambda: self._note_closed(address)
        return connection

    def _note_closed(self, address: str) -> None:
        self._open[address] -= 1
        if not self._open[address]:
            del self._open[address]

    def open_count(self, address: str) -> int:
        """Return the connections to an address that are open or being opened."""
        return self._open[address]

    def has_idle(self, key: str) -> bool:
        """Return whether an idle connection of an endpoint may be reused."""
        return any(
            not one.is_lost and one.is_reusable for one in self._idle.get(key, ())
        )

    async def call(
        self,
        address: str,
        method: bytes,
        target: bytes,
        headers: Headers,
        body: bytes,
        connect_timeout_s: float,
        silence_s: float,
    ) -> tuple[int, bytes]:
        """Send a call and return the status and the whole body of its answer.

        Args:
            address: Address ``IP:PORT``, which also names the connection.
            method: HTTP method.
            target: Request target.
            headers: Headers without the host and the length.
            body: JSON body, empty if there is none.
            connect_timeout_s: Longest time until a new connection is open.
            silence_s: Longest time without a part of the answer.

        Raises:
            ConnectError: If there is no connection.
            ConnectionBrokenError: If the answer did not come or is not whole.
        """
        connection = self.take(address)
        if connection is None:
            connection = await self.open(address, connect_timeout_s)
        sent = [(b"host", address.encode()), *headers]
        if body:
            sent.append((b"content-type", b"application/json"))
            sent.append((b"content-length", b"%d" % len(body)))
        connection.send(method, target, sent, body)
        status, parts = 0, []
        while True:
            event = await connection.next_event(silence_s)
            if isinstance(event, AnswerHead):
                status = event.status
            elif isinstance(event, AnswerData):
                parts.append(event.data)
            elif isinstance(event, AnswerEnd):
                self.put(address, connection)
                return status, b"".join(parts)
            else:
                connection.close()
                reason = "no answer in time" if event is None else event.reason
                raise ConnectionBrokenError(f"{address}: {reason}")

    def put(self, key: str, connection: UpstreamConnection) -> None:
        """Keep a connection for reuse, or close it if it cannot be reused."""
        if not connection.is_reusable or connection.is_lost:
            if not connection.is_lost:
                connection.transport.loseConnection()
            return
        connection.idle_since_s = asyncio.get_running_loop().time()
        self._idle.setdefault(key, []).append(connection)

    def drop(self, key: str) -> None:
        """Close all idle connections of an endpoint."""
        for connection in self._idle.pop(key, []):
            if not connection.is_lost:
                connection.transport.loseConnection()
