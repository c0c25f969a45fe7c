"""HTTP/1.1 server with streaming responses, over h11 and Twisted.

Unlike the klein server, it passes request bytes on unchanged and reports when the
caller disconnects. Both are needed to forward requests.
"""

import asyncio
import random
import socket
from collections.abc import Callable, Sequence
from typing import Any

import h11
from twisted.internet.error import ConnectionDone
from twisted.internet.interfaces import IPushProducer
from twisted.internet.protocol import Factory, Protocol, connectionDone
from twisted.python.failure import Failure
from zope.interface import implementer

from mustardtrack.admission.memoryaccount import (
    CONNECTION_BYTES,
    MEMORY,
    Caller,
    MemoryAccount,
    header_cost,
)
from mustardtrack.admission.retryafter import choose_retry_after_s
from mustardtrack.configuration.routes import CallerLimits
from mustardtrack.logs import define_event, log_event

Headers = Sequence[tuple[bytes, bytes]]

REQUEST_MALFORMED = define_event(8901, "INFO", "malformed HTTP request rejected")
UNSENT_RESPONSES_TOO_LARGE = define_event(
    8903, "WARNING", "caller's connection reset: unread responses are too large"
)
REQUEST_TOO_SLOW = define_event(
    8904, "INFO", "caller's request rejected: it did not arrive in time"
)
NO_MEMORY_FOR_REQUEST = define_event(
    8905, "WARNING", "caller's request refused: no memory for the rest of it"
)
HELD_TOO_MUCH = define_event(
    8907, "WARNING", "caller's connection reset: the process holds too much"
)
TOO_MANY_CALLERS = define_event(
    8906, "WARNING", "caller's connection closed: too many open connections"
)
HANDLER_FAILED = define_event(8902, "ERROR", "request handler failed")

# A caller that leaves data unacknowledged for this long counts as disconnected.
CALLER_TCP_USER_TIMEOUT_MS = 10_000
# Multiple of the idle timeout within which a request must arrive as a whole, however
# steadily its parts come.
MAX_BODY_IDLE_TIMES = 4
REQUEST_TIMEOUT_STATUS = 408
NO_MEMORY_STATUS = 503
# Reading from a caller pauses while it has sent more than this ahead of a response.
MAX_BYTES_AHEAD = 65_536
LISTEN_BACKLOG = 512
CLOSE_POLL_S = 0.02
# A caller that has connected or begun a request sends the rest within this time; it
# allows two round trips between availability zones and one retransmission.
LAST_REQUEST_WAIT_MS = 300


class Exchange:
    """One request and its response.

    Attributes:
        headers: Request headers in the order of arrival, with names in lower case.
        is_disconnected: Whether the connection was lost before the response ended.
        is_started: Whether the head of the response was sent.
        on_disconnect: Called once if the connection is lost before the response ended.
    """

    def __init__(
        self, connection: "ServerConnection", request: h11.Request, body: bytes
    ):
        self._connection = connection
        self.method: bytes = request.method
        self.target: bytes = request.target
        self.headers: list[tuple[bytes, bytes]] = list(request.headers)
        self.body = body
        self.is_disconnected = False
        self.is_started = False
        self.on_disconnect: Callable[[], None] | None = None

    @property
    def path(self) -> str:
        """Path of the request target, without the query."""
        return self.target.decode("latin-1").partition("?")[0]

    @property
    def query(self) -> str:
        """Query of the request target, empty if there is none."""
        return self.target.decode("latin-1").partition("?")[2]

    @property
    def holder(self) -> Caller:
        """Connection for which the account of the process holds the request."""
        return self._connection

    @property
    def peer(self) -> str:
        """Address of the caller."""
        return self._connection.peer

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header; ``name`` is in lower case."""
        for key, value in self.headers:
            if key == name:
                return value
        return None

    def respond(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete response."""
        length = [(b"content-length", b"%d" % len(body))]
        self.start(status, [*headers, *length])
        self.write(body)
        self.finish()

    def start(self, status: int, headers: Headers) -> None:
        """Send the status and the headers."""
        self.is_started = True
        if not self.is_disconnected:
            self._connection.send_head(self, status, headers)

    def write(self, data: bytes) -> None:
        """Send a part of the response body."""
        # The response to a HEAD request has the length of a body, but no body.
        if data and self.method != b"HEAD" and not self.is_disconnected:
            self._connection.send_event(h11.Data(data=data))

    async def wait_writable(self, timeout_s: float) -> None:
        """Wait until the caller has read what was written, at most for the timeout.

        Returns immediately if only little is unread, or the caller disconnects.
        """
        if self._connection.writable.is_set():
            return
        try:
            async with asyncio.timeout(timeout_s):
                await self._connection.writable.wait()
        except TimeoutError:
            pass  # The response ends at its deadline.

    def finish(self) -> None:
        """End the response."""
        if not self.is_disconnected:
            self._connection.end_response()

    def abort(self) -> None:
        """Reset the connection, so that a partial response does not look complete."""
        if not self.is_disconnected:
            self._connection.abort_connection()


Handler = Callable[[Exchange], Any]


@implementer(IPushProducer)
class ServerConnection(Protocol, Caller):
    """Connection of a caller; its requests are handled one after another.

    A request that was sent ahead begins only while the answers before it are read.

    Attributes:
        writable: Set unless more is written than the transport buffers.
    """

    transport: Any

    def __init__(self, server: "HttpServer"):
        self._server = server
        self._http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=server.limits.header_bytes * 2
        )
        self._request: h11.Request | None = None
        # One buffer: a list of parts would take 48 bytes for each part of one byte.
        self._body = bytearray()
        self._timer: Any = None
        self._is_closed = False
        self._is_head_begun = False
        self._body_ends_s = 0.0
        self._unsent_bytes = 0
        self._is_reading_paused = False
        self._is_held_back = False
        self._is_lost = False
        self._bytes_ahead = 0
        self._exchange_bytes = 0
        self._is_reading_events = False
        self.writable = asyncio.Event()
        self.writable.set()
        self.exchange: Exchange | None = None
        self.last_exchange: Exchange | None = None

    def connectionMade(self) -> None:  # noqa: N802
        """Set the socket options and start the idle timer."""
        handle = self.transport.getHandle()
        handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        handle.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, CALLER_TCP_USER_TIMEOUT_MS
        )
        self.transport.registerProducer(self, True)
        self._server.connections.add(self)
        self._record()
        self._restart_timer(
            self._server.limits.idle_timeout_ms, self._close_idle_connection
        )

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parse received bytes."""
        try:
            self._http.receive_data(data)
            self._read_events()
        except h11.RemoteProtocolError as error:
            self._reject_malformed(error)
        self._limit_bytes_ahead()
        self._limit_request_time()
        self._record()

    def _limit_request_time(self) -> None:
        """Bound the time for the rest of a request that was received in part."""
        if self.exchange is not None or self._is_closed or self._server.is_closing:
            return
        if not self.writable.is_set():
            return  # It begins once the answers before it are read.
        limits = self._server.limits
        if self._request is not None:
            left_s = self._body_ends_s - asyncio.get_running_loop().time()
            left_ms = min(limits.idle_timeout_ms, max(0.0, left_s) * 1000)
            self._restart_timer(left_ms, self._reject_slow_request)
        elif not self._is_head_begun and self._http.trailing_data[0]:
            self._is_head_begun = True
            self._restart_timer(limits.header_timeout_ms, self._reject_slow_request)

    def _limit_bytes_ahead(self) -> None:
        """Pause reading while a caller has sent much ahead of its response.

        The request in progress is answered; a disconnect is noticed when its response
        is written.
        """
        self._bytes_ahead = len(self._http.trailing_data[0])
        is_waiting = self.exchange is not None or not self.writable.is_set()
        self._pause_reading(is_waiting and self._bytes_ahead > MAX_BYTES_AHEAD)

    def _pause_reading(self, is_ahead: bool) -> None:
        was_paused = self._is_reading_paused or self._is_held_back
        self._is_reading_paused = is_ahead
        self._change_reading(was_paused)

    def _change_reading(self, was_paused: bool) -> None:
        is_paused = self._is_reading_paused or self._is_held_back
        if is_paused == was_paused or self._is_lost:
            return
        if is_paused:
            self.transport.pauseProducing()
        else:
            self.transport.resumeProducing()

    def hold_back(self, is_held_back: bool) -> None:
        """Pause or resume reading for the memory account."""
        was_paused = self._is_reading_paused or self._is_held_back
        self._is_held_back = is_held_back
        self._change_reading(was_paused)

    def discard(self) -> None:
        """Reset the connection because the process holds too much."""
        is_read = self.writable.is_set()
        log_event(
            HELD_TOO_MUCH if is_read else UNSENT_RESPONSES_TOO_LARGE,
            peer=self.peer,
            unsent_bytes=0 if is_read else self._unsent_bytes,
            **self._describe_memory(),
        )
        self._is_lost = True
        self.transport.abortConnection()

    def refuse_partial(self) -> None:
        """Refuse a request that was received in part for lack of memory."""
        log_event(NO_MEMORY_FOR_REQUEST, peer=self.peer, **self._describe_memory())
        after_s = choose_retry_after_s(MEMORY, None, self._server.rng)
        self._reject(NO_MEMORY_STATUS, [(b"retry-after", b"%.2f" % after_s)])

    def close_now(self) -> None:
        """Close the connection at once to make room for another caller."""
        log_event(TOO_MANY_CALLERS, peer=self.peer, **self._describe_memory())
        # A close through the reactor would free the descriptor only after further
        # connections were accepted.
        self.transport.connectionLost(Failure(ConnectionDone()))

    def _describe_memory(self) -> dict[str, int | None]:
        account = self._server.account
        return {
            "total_bytes": account.total_bytes,
            "limit_bytes": account.limit_bytes,
        }

    @property
    def peer(self) -> str:
        """Address of the caller."""
        peer = self.transport.getPeer()
        return f"{peer.host}:{peer.port}"

    def _record(self) -> None:
        """Record what is held for this connection in the account of the process."""
        if self._is_lost:
            return
        unread = 0 if self.writable.is_set() else self._unsent_bytes
        held = CONNECTION_BYTES + self._bytes_ahead + len(self._body)
        is_waiting = self.exchange is None and not unread and not self._is_closed
        has_part = self._request is not None or self._bytes_ahead > 0
        self._server.account.record_caller(
            self,
            held + self._exchange_bytes + unread,
            unread=unread,
            is_partial=is_waiting and has_part,
            is_idle=is_waiting and not has_part,
        )

    def connectionLost(self, reason: Any = connectionDone) -> None:  # noqa: N802
        """Notify the handler of the request in progress."""
        self._server.connections.discard(self)
        self._is_lost = True
        self._server.account.remove(self)
        self._stop_timer()
        self.writable.set()
        exchange, self.exchange = self.exchange, None
        # Without this cycle, the unsent bytes of the transport are freed at once.
        self.last_exchange = None
        if exchange is not None:
            exchange.is_disconnected = True
            if exchange.on_disconnect is not None:
                exchange.on_disconnect()

    def pauseProducing(self) -> None:  # noqa: N802
        """Note that the transport has more to send than it buffers."""
        self.writable.clear()

    def resumeProducing(self) -> None:  # noqa: N802
        """Note that the transport has sent everything, and go on with requests."""
        self.writable.set()
        if self.exchange is None and not self._is_closed:
            self._go_on()
        self._record()

    def stopProducing(self) -> None:  # noqa: N802
        """Note that the connection is lost."""
        self.writable.set()

    def close(self) -> None:
        """Close the connection once everything is sent."""
        self._is_closed = True
        # A transport with a paused producer would not close.
        self.transport.unregisterProducer()
        self.transport.loseConnection()

    def is_between_requests(self) -> bool:
        """Return whether a response was sent and no byte of another request came."""
        is_waiting = self.exchange is None and self._request is None
        has_bytes = bool(self._http.trailing_data[0])
        return is_waiting and not has_bytes and self.last_exchange is not None

    def close_when_answered(self) -> None:
        """Close the connection after its answer, or after a wait for a first request.

        Closed at once, it would leave a caller that sends its request at this moment
        without an answer.
        """
        if self.is_between_requests():
            self.close()
        elif self.exchange is None:
            self._restart_timer(LAST_REQUEST_WAIT_MS, self._close_idle_connection)

    def _read_events(self) -> None:
        # A handler that responds at once ends its exchange within the loop below, which
        # then reads the next request. A call for each would exceed the stack.
        if self._is_reading_events:
            return
        self._is_reading_events = True
        try:
            self._read_requests()
        finally:
            self._is_reading_events = False

    def _read_requests(self) -> None:
        while self.exchange is None and self.writable.is_set():
            event = self._http.next_event()
            if event is h11.NEED_DATA:
                if self._http.they_are_waiting_for_100_continue:
                    continue_response = h11.InformationalResponse(
                        status_code=100, headers=[]
                    )
                    self.send_event(continue_response)
                return
            if event is h11.PAUSED:
                return
            if isinstance(event, h11.Request):
                self._begin_request(event)
            elif isinstance(event, h11.Data):
                self._add_body(event.data)
            elif isinstance(event, h11.EndOfMessage):
                self._complete_request()
            elif isinstance(event, h11.ConnectionClosed):
                self.close()
                return

    def _begin_request(self, request: h11.Request) -> None:
        self._request = request
        self._body = bytearray()
        self._exchange_bytes = header_cost(request.headers)
        self._is_head_begun = False
        limit_s = MAX_BODY_IDLE_TIMES * self._server.limits.idle_timeout_ms / 1000
        self._body_ends_s = asyncio.get_running_loop().time() + limit_s

    def _add_body(self, data: bytes) -> None:
        if len(self._body) + len(data) > self._server.limits.body_bytes:
            raise h11.RemoteProtocolError("body too large", error_status_hint=413)
        self._body += data

    def _complete_request(self) -> None:
        assert self._request is not None
        self._stop_timer()
        exchange = Exchange(self, self._request, bytes(self._body))
        self.exchange = self.last_exchange = exchange
        self._request = None
        self._exchange_bytes += len(self._body)
        self._body = bytearray()
        try:
            result = self._server.handler(exchange)
        except Exception as error:
            self._handle_failure(exchange, error)
            return
        if asyncio.iscoroutine(result):
            self._server.spawn(self._await_handler(exchange, result))

    async def _await_handler(self, exchange: Exchange, coroutine: Any) -> None:
        try:
            await coroutine
        except asyncio.CancelledError as error:
            self._handle_failure(exchange, error)
            raise
        except Exception as error:
            self._handle_failure(exchange, error)

    def _handle_failure(self, exchange: Exchange, error: BaseException) -> None:
        log_event(HANDLER_FAILED, target=exchange.target.decode(), error=repr(error))
        if exchange.is_started:
            exchange.abort()
        else:
            exchange.respond(500, [], b"")

    def _reject_malformed(self, error: h11.RemoteProtocolError) -> None:
        status = error.error_status_hint
        log_event(REQUEST_MALFORMED, reason=str(error), status=status)
        self._reject(status)

    def _reject_slow_request(self) -> None:
        self._timer = None
        part = "header" if self._request is None else "body"
        log_event(REQUEST_TOO_SLOW, part=part, body_bytes=len(self._body))
        self._reject(REQUEST_TIMEOUT_STATUS)

    def _reject(self, status: int, headers: Headers = ()) -> None:
        """Answer a request that was not received, and close the connection."""
        self._stop_timer()
        self._body = bytearray()
        if self._http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            head = [*headers, (b"content-length", b"0"), (b"connection", b"close")]
            self.send_event(h11.Response(status_code=status, headers=head))
            self.send_event(h11.EndOfMessage())
        self.close()

    def send_head(self, exchange: Exchange, status: int, headers: Headers) -> None:
        """Send the status and headers of the response to ``exchange``."""
        response_headers = list(headers)
        if self._server.is_stopping:
            response_headers.append((b"connection", b"close"))
        self.send_event(h11.Response(status_code=status, headers=response_headers))

    def send_event(self, event: Any) -> None:
        """Serialize and send one h11 event."""
        data = self._http.send(event)
        if data:
            if self.writable.is_set():
                self._unsent_bytes = 0
            self._unsent_bytes += len(data)
            self.transport.write(data)
            if not self.writable.is_set():
                self._record()

    def end_response(self) -> None:
        """End the response, then read the next request or close the connection."""
        self.send_event(h11.EndOfMessage())
        if self.exchange is not None:
            # ``last_exchange`` outlives the request; its body may be large.
            self.exchange.body = b""
            self.exchange = None
            self._exchange_bytes = 0
        is_reusable = (
            self._http.our_state is h11.DONE
            and self._http.their_state is h11.DONE
            and not self._server.is_closing
        )
        if is_reusable:
            self._http.start_next_cycle()
            self._restart_timer(
                self._server.limits.idle_timeout_ms, self._close_idle_connection
            )
            self._go_on()
            self._record()
        else:
            self.close()

    def _go_on(self) -> None:
        """Read the requests that were sent ahead."""
        try:
            self._read_events()
        except h11.RemoteProtocolError as error:
            self._reject_malformed(error)
        self._limit_bytes_ahead()
        self._limit_request_time()

    def abort_connection(self) -> None:
        """Reset the connection."""
        self.exchange = None
        self.transport.abortConnection()

    def _restart_timer(self, timeout_ms: float, expire: Callable[[], None]) -> None:
        self._stop_timer()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(timeout_ms / 1000, expire)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _close_idle_connection(self) -> None:
        self._timer = None
        self.close()


class HttpServer(Factory):
    """Listens on one address and passes each request to a handler.

    Args:
        handler: Called with each complete request; may be a coroutine function.
        limits: Size limits and idle timeout of caller connections.
        account: Account of the process, shared by its listeners.
    """

    def __init__(
        self,
        handler: Handler,
        limits: CallerLimits | None = None,
        account: MemoryAccount | None = None,
    ):
        self.handler = handler
        self.limits = limits or CallerLimits()
        self.connections: set[ServerConnection] = set()
        self.account = account or MemoryAccount()
        self.rng = random.Random()
        self.is_stopping = False
        self.is_closing = False
        self._tasks: set[asyncio.Task[None]] = set()
        self._port: Any = None

    def buildProtocol(self, address: Any) -> ServerConnection | None:  # noqa: N802
        """Return the protocol of a new connection, None to close it at once."""
        if not self.account.has_room_for_caller():
            log_event(TOO_MANY_CALLERS, peer=f"{address.host}:{address.port}")
            return None
        return ServerConnection(self)

    def listen(self, reactor: Any, host: str, port: int) -> None:
        """Start accepting connections."""
        self._port = reactor.listenTCP(port, self, LISTEN_BACKLOG, host)

    def spawn(self, coroutine: Any) -> None:
        """Run a handler; a reference protects its task from garbage collection."""
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def open_exchanges(self) -> list[Exchange]:
        """Return the exchanges whose response has not ended."""
        return [
            connection.exchange
            for connection in self.connections
            if connection.exchange is not None
        ]

    def has_partial_requests(self) -> bool:
        """Return whether a request was received in part on any connection."""
        return any(connection._request is not None for connection in self.connections)

    def stop_listening(self) -> None:
        """Accept the connections that are waiting, and no others after them."""
        if self._port is not None:
            # Waiting connections would be reset, with requests on them.
            self._port.doRead()
            self._port.stopListening()
            self._port = None

    def close_kept_connections(self) -> None:
        """Close the connections that callers keep open between two requests."""
        for connection in list(self.connections):
            if connection.is_between_requests():
                connection.close()

    def close_connections(self) -> None:
        """Close each connection once its open exchange has ended and is sent."""
        self.is_closing = True
        for connection in list(self.connections):
            connection.close_when_answered()

    async def wait_closed(self, timeout_s: float) -> list[Exchange]:
        """Wait until all connections are closed.

        Returns:
            The last exchange of each connection that was still open after the timeout,
            whose response was not completely sent.
        """
        deadline_s = asyncio.get_running_loop().time() + timeout_s
        while self.connections:
            left_s = deadline_s - asyncio.get_running_loop().time()
            if left_s <= 0:
                break
            await asyncio.sleep(min(CLOSE_POLL_S, left_s))
        return [
            connection.last_exchange
            for connection in self.connections
            if connection.last_exchange is not None
        ]
