"""HTTP/1.1 client and connection pool for endpoints, over h11 and Twisted.

It reports what the forwarder must know about a failure: whether any byte of the
request was sent and whether a response began. It also detects bytes that belong to
no request.
"""

import asyncio
import math
import re
import socket
from collections import Counter, deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any

import h11
from twisted.internet.error import ConnectionDone
from twisted.internet.interfaces import IHalfCloseableProtocol
from twisted.internet.protocol import ClientFactory, Protocol, connectionDone
from zope.interface import implementer

from mustardtrack.adapters.delivery import DeliveryCheck
from mustardtrack.adapters.unfinished import (
    MAX_UNFINISHED_BYTES,
    UnfinishedResponses,
)
from mustardtrack.admission.memoryaccount import Holder, MemoryAccount, header_cost
from mustardtrack.logs import Event, define_event, log_event
from mustardtrack.requests.event_stream import MAX_SPLIT_END_BYTES, find_last_event_end

Headers = Sequence[tuple[bytes, bytes]]

# A connection counts as dead if sent data is not acknowledged within this time.
TCP_USER_TIMEOUT_MS = 1200
# An idle connection is not reused within this margin of the keep-alive timeout of the
# endpoint, so that a request does not race with the close by the endpoint.
IDLE_CLOSE_MARGIN_S = 0.4
DEFAULT_KEEP_ALIVE_S = 4.0
MAX_PORT = 65_535
# Endpoints that state their keep-alive timeout in whole seconds keep an idle
# connection at least this long.
MIN_KEEP_ALIVE_S = 0.2
MAX_HEADER_BYTES = 65_536
# A response body may be as large as the largest body that callers may send.
MAX_RESPONSE_BODY_BYTES = 4_194_304
# Lines of the heads of one response. Parsed headers take many times their size.
MAX_HEAD_LINES = 512
# A response may have this many bytes outside of its body, and as many more as its
# body has, for chunks as small as single tokens.
MAX_FRAMING_BYTES = 2 * MAX_HEADER_BYTES
# Longest event of an event stream; an event has a few tokens.
MAX_EVENT_BYTES = 262_144
# Reading pauses while more than this is unread, and resumes at half of it.
MAX_UNREAD_BYTES = 262_144
MAX_INFORMATIONAL_RESPONSES = 16
# Each chunk takes processor time. Services may chunk finely; over time, no engine
# makes more tokens than this for one request.
MAX_CHUNK_BURST = 16_384
MAX_CHUNKS_PER_S = 1000
EVENT_STREAM_TYPE = b"text/event-stream"
HEAD_END = re.compile(rb"\n\r?\n")
# An end of a head may begin this many bytes before the data that completes it.
MAX_SPLIT_HEAD_END_BYTES = 2
# Late responses to earlier requests that may precede the expected response.
MAX_MISMATCHED_RESPONSES = 4
# Longest time for the answer to a call, however steadily its parts arrive.
MAX_CALL_DURATION_S = 5.0

RESPONSE_MALFORMED = define_event(
    8991, "WARNING", "response aborted: it is malformed or its head is too large"
)
TOO_MANY_UNFINISHED_BYTES = define_event(
    8990, "WARNING", "response aborted: unfinished responses are too large together"
)
BODY_TOO_LARGE = define_event(8992, "WARNING", "response aborted: body too large")
TOO_MANY_HEAD_LINES = define_event(
    8985, "WARNING", "response aborted: too many lines before its body"
)
TOO_MUCH_FRAMING = define_event(
    8993, "WARNING", "response aborted: too many bytes outside of its body"
)
TOO_MANY_INFORMATIONAL = define_event(
    8994, "WARNING", "response aborted: too many informational responses"
)
OTHER_RESPONSE_TOO_LARGE = define_event(
    8995, "WARNING", "response aborted: response to another request too large"
)
EVENT_TOO_LARGE = define_event(8997, "WARNING", "response aborted: event too large")
TOO_MANY_CHUNKS = define_event(8996, "WARNING", "response aborted: too many chunks")
BYTES_BEFORE_REQUEST = define_event(
    8998, "WARNING", "connection aborted: bytes before any request"
)
CALL_TOO_LONG = define_event(8999, "WARNING", "call aborted: its answer takes too long")


class ConnectError(Exception):
    """The connection could not be opened; nothing was sent."""


class ConnectionBrokenError(Exception):
    """No complete response arrived; the request may have been executed."""


@dataclass(frozen=True)
class ResponseHead:
    """Status and headers of a response; header names are in lower case."""

    status: int
    headers: list[tuple[bytes, bytes]]

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header."""
        for key, value in self.headers:
            if key == name:
                return value
        return None


@dataclass(frozen=True)
class ResponseData:
    """Part of a response body."""

    data: bytes


@dataclass(frozen=True)
class ResponseEnd:
    """End of a complete response.

    Attributes:
        is_close: Whether only the close of the connection shows the end.
    """

    is_close: bool = False


@dataclass(frozen=True)
class ResponseInterrupted:
    """The connection ended or failed before the end of the response."""

    reason: str


ResponseEvent = ResponseHead | ResponseData | ResponseEnd | ResponseInterrupted


@implementer(IHalfCloseableProtocol)
class UpstreamConnection(Protocol, Holder):
    """One connection to an endpoint; carries one request at a time.

    Attributes:
        keep_alive_s: Keep-alive timeout of the endpoint for idle connections.
        is_reusable: Whether another request may be sent.
        is_aborted: Whether it was aborted; ``is_lost`` follows.
        ready: Resolved once the connection is open.
        on_lost: Called once when an open connection is lost.
        idle_before_request_s: Idle time of the connection before the current request.
        address: Address of the endpoint.
        unfinished: Shared with the other connections of a pool.
        account: Account of the process, shared with the connections of callers.
        is_relayed: Whether data of the response is passed on and not kept when read.
    """

    transport: Any

    def __init__(self, address: str = "") -> None:
        self.address = address
        self.unfinished = UnfinishedResponses[UpstreamConnection]()
        self.account = MemoryAccount()
        self.is_relayed = False
        self._http = self._new_http()
        self._events: deque[ResponseEvent] = deque()
        self._waiter: asyncio.Future[None] | None = None
        self._request: h11.Request | None = None
        self._expected_id: bytes | None = None
        self._id_header = b""
        self._is_discarding = False
        self._is_event_stream = False
        self._ends_with_connection = False
        self._has_body = False
        self._delivery: DeliveryCheck | None = None
        self._is_paused = False
        self._is_held_back = False
        self._request_bytes = 0
        self._unread_bytes = 0
        self._max_body_bytes = MAX_RESPONSE_BODY_BYTES
        self._reset_sizes()
        self.ready: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.keep_alive_s = DEFAULT_KEEP_ALIVE_S
        self.idle_since_s = 0.0
        self.idle_before_request_s = 0.0
        self.requests_sent = 0
        self.is_lost = False
        self._is_closed = False
        self.is_aborted = False
        self.is_reusable = False
        self.on_lost: Callable[[], None] | None = None

    @staticmethod
    def _new_http() -> h11.Connection:
        return h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEADER_BYTES)

    def _reset_sizes(self) -> None:
        self._received_bytes = 0
        self._head_bytes = 0
        self._head_lines = 0
        self._head_tail = b""
        self._is_head_complete = False
        self._body_bytes = 0
        self._discarded_bytes = 0
        self._informational_count = 0
        self._chunk_count = 0
        self._event_bytes = 0
        self._event_tail = b""
        self._mismatched_count = 0
        self._sent_s = asyncio.get_running_loop().time()

    def connectionMade(self) -> None:  # noqa: N802
        """Set the socket options and resolve ``ready``."""
        handle = self.transport.getHandle()
        handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        handle.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
        )
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
        max_body_bytes: int = MAX_RESPONSE_BODY_BYTES,
    ) -> None:
        """Send a request.

        Responses whose ``id_header`` carries another id are discarded. A response whose
        body exceeds ``max_body_bytes`` is interrupted.
        """
        self._max_body_bytes = max_body_bytes
        if self.requests_sent:
            self._http = self._new_http()
        self._events.clear()
        self._count_read(self._unread_bytes)
        self._release_unfinished()
        self._is_discarding = False
        self._ends_with_connection = False
        self._has_body = bool(body)
        self.is_relayed = False
        self._reset_sizes()
        self._id_header = id_header
        self._expected_id = expected_id
        self.requests_sent += 1
        self.is_reusable = False
        self._request = h11.Request(method=method, target=target, headers=list(headers))
        # Not joined here, as that would copy the body.
        self._write(self._request)
        if body:
            self._write(h11.Data(data=body))
        self._write(h11.EndOfMessage())
        self._request_bytes = len(body) + header_cost(headers)
        self._record_held(self._request_bytes)

    def _write(self, event: Any) -> None:
        data = self._http.send(event)
        if data:
            self.transport.write(data)

    async def next_event(self, timeout_s: float) -> ResponseEvent | None:
        """Return the next event of the response, or None after the timeout."""
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
            event = self._events.popleft()
            if isinstance(event, ResponseData):
                self._count_read(len(event.data))
            return event
        return ResponseInterrupted("closed") if self.is_lost else None

    def _count_read(self, size: int) -> None:
        self._unread_bytes -= size
        if self.is_relayed:
            self._record_unfinished()
        if self._is_paused and self._unread_bytes <= MAX_UNREAD_BYTES // 2:
            self._is_paused = False
            if not self._is_held_back:
                self.transport.resumeProducing()

    def hold_back(self, is_held_back: bool) -> None:
        """Pause or resume reading for the memory account."""
        self._is_held_back = is_held_back
        if self.is_lost or self.is_aborted or self._is_paused:
            return
        if is_held_back:
            self.transport.pauseProducing()
        else:
            self.transport.resumeProducing()

    def discard(self) -> None:
        """Abort the response because the process holds too much."""
        self._abort_largest()

    def _record_held(self, size: int) -> None:
        if not self.is_lost and not self.is_aborted:
            self.account.record_endpoint(self, size)

    def wake(self) -> None:
        """Make a waiting ``next_event`` return immediately."""
        _resolve(self._waiter)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parse received bytes."""
        if self._request is None:
            # Bytes after a complete response belong to no request.
            self.abort()
            return
        self._received_bytes += len(data)
        if not self._is_head_complete and not self._count_head_lines(data):
            self._abort_response(TOO_MANY_HEAD_LINES)
            return
        try:
            self._http.receive_data(data)
            self._read_events()
        except h11.RemoteProtocolError as error:
            log_event(RESPONSE_MALFORMED, address=self.address, error=str(error))
            self._interrupt_response(f"protocol error: {error}")
            return
        body_bytes = self._body_bytes + self._discarded_bytes
        if self._received_bytes - body_bytes > MAX_FRAMING_BYTES + body_bytes:
            self._abort_response(TOO_MUCH_FRAMING)
        self._record_unfinished()
        while self.unfinished.total_bytes > self.unfinished.max_bytes:
            self.unfinished.find_largest()._abort_largest()

    def _count_head_lines(self, data: bytes) -> bool:
        """Count the lines of the heads in the data; return False above the limit."""
        known = self._head_tail + data
        end = HEAD_END.search(known)
        lines = known.count(b"\n", len(self._head_tail), end.end() if end else None)
        self._head_tail = known[-MAX_SPLIT_HEAD_END_BYTES:]
        self._head_lines += lines
        return self._head_lines <= MAX_HEAD_LINES

    def _record_unfinished(self) -> None:
        """Record the bytes that the response keeps until it ends."""
        if self._request is None:
            self._release_unfinished()
            return
        unparsed = len(self._http.trailing_data[0])
        kept = self._body_bytes
        if self.is_relayed:
            kept = self._unread_bytes + self._event_bytes
        size = self._head_bytes + unparsed + kept
        self.unfinished.record(self, size)
        self._record_held(self._request_bytes + size)

    def _abort_largest(self) -> None:
        self._abort_response(TOO_MANY_UNFINISHED_BYTES)
        self._release_unfinished()

    def readConnectionLost(self) -> None:  # noqa: N802
        """Handle that the endpoint has ended its sending.

        A response without a length is complete once the request is delivered.
        """
        self.is_reusable = False
        if self._request is None or not self._ends_with_connection:
            self.transport.connectionLost(connectionDone)
            return
        self._delivery = DeliveryCheck(
            self.transport,
            on_delivered=lambda: self.transport.connectionLost(connectionDone),
            on_reset=lambda: self._interrupt_response("reset before its end"),
            is_ended=lambda: self.is_lost or self.is_aborted,
        )
        if self._has_body:
            self._delivery.begin()
        else:
            self._delivery.check()

    def writeConnectionLost(self) -> None:  # noqa: N802
        """Check whether the endpoint has taken the request."""
        if self._delivery is not None:
            # The transport is still in its own handler.
            asyncio.get_running_loop().call_soon(self._delivery.check)

    def connectionLost(self, reason: Any = connectionDone) -> None:  # noqa: N802
        """End the response; one without a length is complete after a clean close."""
        self.is_reusable = False
        if self._request is not None and reason.check(ConnectionDone):
            self._is_closed = True
            try:
                self._http.receive_data(b"")
                self._read_events()
            except h11.RemoteProtocolError:
                pass  # A truncated response is reported as interrupted below.
        self.is_lost = True
        self._release_unfinished()
        if self._request is not None:
            self._queue_event(ResponseInterrupted(reason.getErrorMessage()))
            self._request = None
        _resolve(self._waiter)
        if self.on_lost is not None:
            self.on_lost()

    def _abort_response(self, event: Event) -> None:
        """Abort a response that exceeds a limit."""
        if self._request is None:
            return
        log_event(
            event,
            address=self.address,
            received_bytes=self._received_bytes,
            body_bytes=self._body_bytes,
        )
        self._interrupt_response(event.text)

    def _interrupt_response(self, reason: str) -> None:
        self._request = None
        self._queue_event(ResponseInterrupted(reason))
        self.abort()

    def _read_events(self) -> None:
        # The data of one segment becomes one event, however small its chunks are.
        parts: list[bytes] = []
        try:
            while self._request is not None:
                event = self._http.next_event()
                if isinstance(event, h11.Data):
                    self._receive_body(event, parts)
                    continue
                self._queue_data(parts)
                if isinstance(event, h11.InformationalResponse):
                    self._informational_count += 1
                    if self._informational_count > MAX_INFORMATIONAL_RESPONSES:
                        self._abort_response(TOO_MANY_INFORMATIONAL)
                elif isinstance(event, h11.Response):
                    self._begin_response(event)
                elif isinstance(event, h11.EndOfMessage):
                    self._end_response()
                else:
                    return
        except h11.RemoteProtocolError:
            self._queue_data(parts)
            raise

    def _receive_body(self, event: h11.Data, parts: list[bytes]) -> None:
        """Append data to ``parts`` unless its response is discarded."""
        data = bytes(event.data)
        self._chunk_count += event.chunk_start
        if self._chunk_count > MAX_CHUNK_BURST and self._is_chunk_rate_exceeded():
            self._queue_data(parts)
            self._abort_response(TOO_MANY_CHUNKS)
            return
        if self._is_discarding:
            self._discarded_bytes += len(data)
            if self._discarded_bytes > MAX_RESPONSE_BODY_BYTES:
                self._abort_response(OTHER_RESPONSE_TOO_LARGE)
            return
        self._body_bytes += len(data)
        if self._body_bytes > self._max_body_bytes:
            self._queue_data(parts)
            self._abort_response(BODY_TOO_LARGE)
            return
        parts.append(data)

    def _release_unfinished(self) -> None:
        self.unfinished.record(self, 0)
        self.account.remove(self)

    def _is_chunk_rate_exceeded(self) -> bool:
        elapsed_s = asyncio.get_running_loop().time() - self._sent_s
        return self._chunk_count > MAX_CHUNK_BURST + MAX_CHUNKS_PER_S * elapsed_s

    def _queue_data(self, parts: list[bytes]) -> None:
        if not parts:
            return
        data = b"".join(parts)
        parts.clear()
        self._unread_bytes += len(data)
        if self._unread_bytes > MAX_UNREAD_BYTES and not self._is_paused:
            self._is_paused = True
            if not self._is_held_back:
                self.transport.pauseProducing()
        self._queue_event(ResponseData(data))
        if self._is_event_stream or self.is_relayed:
            self._measure_event(data)

    def _measure_event(self, data: bytes) -> None:
        """Abort a stream whose current event is too large."""
        known = self._event_tail + data
        self._event_tail = known[-MAX_SPLIT_END_BYTES:]
        end = find_last_event_end(known)
        self._event_bytes = len(known) - end if end else self._event_bytes + len(data)
        if self._event_bytes > MAX_EVENT_BYTES:
            self._abort_response(EVENT_TOO_LARGE)

    def _begin_response(self, event: h11.Response) -> None:
        head = ResponseHead(event.status_code, list(event.headers))
        echoed_id = head.header(self._id_header) if self._id_header else None
        is_mismatched = (
            self._expected_id is not None
            and echoed_id is not None
            and echoed_id != self._expected_id
        )
        self._is_discarding = is_mismatched
        self._is_head_complete = True
        self._head_bytes = sum(len(name) + len(value) for name, value in head.headers)
        content_type = head.header(b"content-type") or b""
        self._is_event_stream = content_type.lower().startswith(EVENT_STREAM_TYPE)
        self._ends_with_connection = (
            head.header(b"content-length") is None
            and head.header(b"transfer-encoding") is None
        )
        if not is_mismatched:
            self._queue_event(head)

    def _end_response(self) -> None:
        trailing, closed = self._http.trailing_data
        keeps_alive = (
            self._http.our_state is h11.DONE and self._http.their_state is h11.DONE
        )
        if self._is_discarding:
            self._discard_response(trailing, keeps_alive)
            return
        self.is_reusable = (
            keeps_alive and not trailing and not closed and not self.is_lost
        )
        self._request = None
        self._release_unfinished()
        self._queue_event(ResponseEnd(self._is_closed))

    def _discard_response(self, trailing: bytes, keeps_alive: bool) -> None:
        """Discard a response to an earlier request and wait for the expected one."""
        self._mismatched_count += 1
        request = self._request
        if (
            not keeps_alive
            or self._mismatched_count > MAX_MISMATCHED_RESPONSES
            or request is None
        ):
            self._interrupt_response("response to another request")
            return
        self._is_discarding = self._is_head_complete = False
        self._head_tail = b""
        self._http = self._new_http()
        # The request is already on the wire; only the parser must be told of it.
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

    def _queue_event(self, event: ResponseEvent) -> None:
        self._events.append(event)
        _resolve(self._waiter)

    def abort(self) -> None:
        """Abort the connection; the endpoint drops the request on it."""
        self.is_reusable = False
        self.is_aborted = True
        self._release_unfinished()
        self.transport.abortConnection()


def _resolve(waiter: "asyncio.Future[None] | None") -> None:
    if waiter is not None and not waiter.done():
        waiter.set_result(None)


class _SingleConnectionFactory(ClientFactory):
    """Twisted factory that returns one given connection."""

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
        ConnectError: If the connection is not open within the timeout.
    """
    connection = UpstreamConnection(f"{host}:{port}")
    connector = reactor.connectTCP(
        host, port, _SingleConnectionFactory(connection), timeout=timeout_s
    )
    try:
        await connection.ready
    except asyncio.CancelledError:
        connector.disconnect()
        raise
    return connection


async def _receive_answer(
    connection: UpstreamConnection, read_timeout_s: float, total_timeout_s: float
) -> tuple[int, bytes]:
    """Return the status and the body of a response.

    Raises:
        ConnectionBrokenError: If the response is interrupted or takes too long.
    """
    clock = asyncio.get_running_loop().time
    deadline_s = clock() + total_timeout_s
    status, body = 0, bytearray()
    while (left_s := deadline_s - clock()) > 0:
        event = await connection.next_event(min(read_timeout_s, left_s))
        if isinstance(event, ResponseHead):
            status = event.status
        elif isinstance(event, ResponseData):
            body += event.data
        elif isinstance(event, ResponseEnd):
            return status, bytes(body)
        elif isinstance(event, ResponseInterrupted):
            # The exception refers to this frame while it is handled.
            body.clear()
            raise ConnectionBrokenError(event.reason)
        elif left_s > read_timeout_s:
            break
    else:
        log_event(CALL_TOO_LONG, address=connection.address)
    body.clear()
    raise ConnectionBrokenError("response timed out")


class ConnectionPool:
    """Connection pool of one process, by endpoint.

    Args:
        reactor: Reactor of the process.
        account: Account of the process, shared with its listeners.
    """

    def __init__(self, reactor: Any, account: MemoryAccount | None = None):
        self._reactor = reactor
        self._account = account or MemoryAccount()
        self._idle: dict[str, list[UpstreamConnection]] = {}
        self._open: Counter[str] = Counter()
        # Where the memory of the host is known, the account bounds all answers.
        self._unfinished = UnfinishedResponses[UpstreamConnection](
            self._account.limit_bytes or MAX_UNFINISHED_BYTES
        )

    def take(self, key: str, max_idle_s: float = math.inf) -> UpstreamConnection | None:
        """Return the most recently used idle connection of an endpoint.

        Args:
            key: Pool key of the endpoint.
            max_idle_s: Connections idle for at least this long are not returned.
        """
        now_s = asyncio.get_running_loop().time()
        idle = self._idle.get(key, [])
        while idle:
            connection = idle[-1]
            idle_s = now_s - connection.idle_since_s
            max_reusable_idle_s = max(
                MIN_KEEP_ALIVE_S, connection.keep_alive_s - IDLE_CLOSE_MARGIN_S
            )
            if (
                connection.is_lost
                or not connection.is_reusable
                or idle_s >= max_reusable_idle_s
            ):
                idle.pop()
                if not connection.is_lost:
                    connection.transport.loseConnection()
                continue
            # The others are idle for longer, as the list is ordered by last use.
            if idle_s >= max_idle_s:
                return None
            connection.idle_before_request_s = idle_s
            return idle.pop()
        return None

    def close_longest_idle(self, key: str) -> None:
        """Close the connection to an endpoint that has been idle for longest."""
        idle = self._idle.get(key, [])
        if idle:
            connection = idle.pop(0)
            if not connection.is_lost:
                connection.transport.loseConnection()

    def _close_longest_idle_of_all(self) -> None:
        keys = [key for key, idle in self._idle.items() if idle]
        if keys:
            key = min(keys, key=lambda key: self._idle[key][0].idle_since_s)
            self.close_longest_idle(key)

    async def open(self, address: str, timeout_s: float) -> UpstreamConnection:
        """Open a new connection.

        Raises:
            ConnectError: If the connection is not open within the timeout, the address
                is malformed, or the endpoint sends bytes before any request.
        """
        host, _, port = address.rpartition(":")
        if not (port.isascii() and port.isdigit() and int(port) <= MAX_PORT):
            raise ConnectError(f"malformed address {address!r}")
        most = self._account.max_endpoints
        if most is not None and self._open.total() >= most:
            self._close_longest_idle_of_all()
        # Counted before it is open, so that concurrent requests respect the limit.
        self._open[address] += 1
        try:
            connection = await open_connection(
                self._reactor, host, int(port), timeout_s
            )
        except BaseException:
            self._decrement_open_count(address)
            raise
        if connection.is_lost:
            self._decrement_open_count(address)
            raise ConnectError("closed before the request")
        connection.on_lost = lambda: self._decrement_open_count(address)
        connection.unfinished = self._unfinished
        connection.account = self._account
        if connection.is_aborted:
            log_event(BYTES_BEFORE_REQUEST, address=address)
            raise ConnectError("bytes before the request")
        return connection

    def _decrement_open_count(self, address: str) -> None:
        self._open[address] -= 1
        if not self._open[address]:
            del self._open[address]

    def open_count(self, address: str) -> int:
        """Return the number of open and opening connections to an address."""
        return self._open[address]

    def has_idle(self, key: str) -> bool:
        """Return whether an idle connection to an endpoint may be reused."""
        return any(
            not connection.is_lost and connection.is_reusable
            for connection in self._idle.get(key, ())
        )

    async def call(
        self,
        address: str,
        method: bytes,
        target: bytes,
        headers: Headers,
        body: bytes,
        connect_timeout_s: float,
        read_timeout_s: float,
        total_timeout_s: float = MAX_CALL_DURATION_S,
        max_body_bytes: int = MAX_RESPONSE_BODY_BYTES,
        may_send: Callable[[], bool] = lambda: True,
    ) -> tuple[int, bytes]:
        """Send a request and return the status and the body of the response.

        Args:
            address: Address ``IP:PORT``, also used as the pool key.
            method: HTTP method.
            target: Request target.
            headers: Request headers without ``host`` and ``content-length``.
            body: JSON body, empty if there is none.
            connect_timeout_s: Time limit for opening a new connection.
            read_timeout_s: Longest time between two events of the response.
            total_timeout_s: Time limit for the response.
            max_body_bytes: Largest accepted response body.
            may_send: Checked once the connection is open, immediately before the
                request is sent.

        Raises:
            ConnectError: If a new connection cannot be opened, or the request may not
                be sent any more.
            ConnectionBrokenError: If no complete response arrived.
        """
        connection = self.take(address)
        if connection is None:
            connection = await self.open(address, connect_timeout_s)
            connection.is_reusable = True
        if not may_send():
            self.put(address, connection)
            raise ConnectError("not sent: the permission has ended")
        request_headers = [(b"host", address.encode()), *headers]
        if body:
            request_headers.append((b"content-type", b"application/json"))
            request_headers.append((b"content-length", b"%d" % len(body)))
        connection.send(
            method, target, request_headers, body, max_body_bytes=max_body_bytes
        )
        try:
            answer = await _receive_answer(connection, read_timeout_s, total_timeout_s)
        except ConnectionBrokenError as error:
            connection.abort()
            raise ConnectionBrokenError(f"{address}: {error}") from None
        except asyncio.CancelledError:
            # The response would otherwise arrive without a reader.
            connection.abort()
            raise
        self.put(address, connection)
        return answer

    def put(self, key: str, connection: UpstreamConnection) -> None:
        """Return a connection to the pool, or close it if it is not reusable."""
        if not connection.is_reusable or connection.is_lost:
            if not connection.is_lost:
                connection.transport.loseConnection()
            return
        connection.idle_since_s = asyncio.get_running_loop().time()
        self._idle.setdefault(key, []).append(connection)

    def close_idle(self, key: str) -> None:
        """Close all idle connections to an endpoint."""
        for connection in self._idle.pop(key, []):
            if not connection.is_lost:
                connection.transport.loseConnection()
