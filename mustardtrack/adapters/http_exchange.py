"""HTTP/1.1 server whose answers may be streamed, over h11 and Twisted.

Unlike the klein server, it hands out request bytes unchanged and reports when the
caller has gone, which forwarding needs.
"""

import asyncio
import socket
from collections.abc import Callable, Sequence
from typing import Any

import h11
from twisted.internet.protocol import Factory, Protocol, connectionDone

from mustardtrack.configuration.routes import CallerLimits
from mustardtrack.logs import define_event, log_event

Headers = Sequence[tuple[bytes, bytes]]

REQUEST_MALFORMED = define_event(8901, "INFO", "request refused as malformed HTTP")
HANDLER_ERROR = define_event(8902, "ERROR", "request handler failed")

# Data that is not acknowledged for this long shows a caller that is gone silently.
CALLER_USER_TIMEOUT_MS = 10_000
LISTEN_BACKLOG = 512


class Exchange:
    """One request and its answer.

    Attributes:
        headers: Names in lower case, in the order of arrival.
        is_gone: Whether the caller closed the connection before the answer ended.
    """

    def __init__(
        self, connection: "ServerConnection", request: h11.Request, body: bytes
    ):
        self._connection = connection
        self.method: bytes = request.method
        self.target: bytes = request.target
        self.headers: list[tuple[bytes, bytes]] = list(request.headers)
        self.body = body
        self.is_gone = False
        self.is_started = False
        self.on_gone: Callable[[], None] | None = None

    @property
    def path(self) -> str:
        """Path of the target, without the query."""
        return self.target.decode("latin-1").partition("?")[0]

    @property
    def query(self) -> str:
        """Query of the target, empty if there is none."""
        return self.target.decode("latin-1").partition("?")[2]

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header given in lower case."""
        for key, value in self.headers:
            if key == name:
                return value
        return None

    def respond(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a whole answer."""
        length = [(b"content-length", b"%d" % len(body))]
        self.start(status, [*headers, *length])
        self.write(body)
        self.finish()

    def start(self, status: int, headers: Headers) -> None:
        """Send the status and the headers."""
        self.is_started = True
        if not self.is_gone:
            self._connection.send_head(self, status, headers)

    def write(self, data: bytes) -> None:
        """Send a part of the body."""
        if data and not self.is_gone:
            self._connection.send_event(h11.Data(data=data))

    def finish(self) -> None:
        """End the answer."""
        if not self.is_gone:
            self._connection.end_answer()

    def abort(self) -> None:
        """Break the connection off, so that the answer cannot look complete."""
        if not self.is_gone:
            self._connection.break_off()


Handler = Callable[[Exchange], Any]


class ServerConnection(Protocol):
    """One connection of a caller; requests on it are answered in turn."""

    transport: Any

    def __init__(self, server: "HttpServer"):
        self._server = server
        self._http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=server.limits.header_bytes * 2
        )
        self._request: h11.Request | None = None
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._timer: Any = None
        self.exchange: Exchange | None = None

    def connectionMade(self) -> None:  # noqa: N802
        """Start to wait for the first request."""
        handle = self.transport.getHandle()
        handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        handle.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, CALLER_USER_TIMEOUT_MS
        )
        self._server.connections.add(self)
        self._restart_timer(self._server.limits.idle_timeout_ms)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parse what arrived."""
        try:
            self._http.receive_data(data)
            self._read_events()
        except h11.RemoteProtocolError as error:
            self._refuse_malformed(error)

    def connectionLost(self, reason: Any = connectionDone) -> None:  # noqa: N802
        """Tell the handler that the caller has gone."""
        self._server.connections.discard(self)
        self._stop_timer()
        exchange, self.exchange = self.exchange, None
        if exchange is not None:
            exchange.is_gone = True
            if exchange.on_gone is not None:
                exchange.on_gone()

    def _read_events(self) -> None:
        while self.exchange is None:
            event = self._http.next_event()
            if event is h11.NEED_DATA:
                if self._http.they_are_waiting_for_100_continue:
                    go_on = h11.InformationalResponse(status_code=100, headers=[])
                    self.send_event(go_on)
                return
            if event is h11.PAUSED:
                return
            if isinstance(event, h11.Request):
                self._begin_request(event)
            elif isinstance(event, h11.Data):
                self._add_body(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                self._complete_request()
            elif isinstance(event, h11.ConnectionClosed):
                self.transport.loseConnection()
                return

    def _begin_request(self, request: h11.Request) -> None:
        self._request = request
        self._body = []
        self._body_bytes = 0
        self._restart_timer(self._server.limits.idle_timeout_ms)

    def _add_body(self, data: bytes) -> None:
        self._body_bytes += len(data)
        if self._body_bytes > self._server.limits.body_bytes:
            raise h11.RemoteProtocolError("body too large", error_status_hint=413)
        self._body.append(data)

    def _complete_request(self) -> None:
        assert self._request is not None
        self._stop_timer()
        exchange = Exchange(self, self._request, b"".join(self._body))
        self.exchange = exchange
        self._request = None
        self._body = []
        try:
            result = self._server.handler(exchange)
        except Exception as error:
            self._fail(exchange, error)
            return
        if asyncio.iscoroutine(result):
            self._server.spawn(self._run(exchange, result))

    async def _run(self, exchange: Exchange, coroutine: Any) -> None:
        try:
            await coroutine
        except Exception as error:
            self._fail(exchange, error)

    def _fail(self, exchange: Exchange, error: Exception) -> None:
        log_event(HANDLER_ERROR, target=exchange.target.decode(), error=repr(error))
        if exchange.is_started:
            exchange.abort()
        else:
            exchange.respond(500, [], b"")

    def _refuse_malformed(self, error: h11.RemoteProtocolError) -> None:
        status = error.error_status_hint
        log_event(REQUEST_MALFORMED, reason=str(error), status=status)
        if self._http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            head = [(b"content-length", b"0"), (b"connection", b"close")]
            self.send_event(h11.Response(status_code=status, headers=head))
            self.send_event(h11.EndOfMessage())
        self.transport.loseConnection()

    def send_head(self, exchange: Exchange, status: int, headers: Headers) -> None:
        """Send status and headers of the answer to ``exchange``."""
        sent = list(headers)
        if self._server.is_stopping:
            sent.append((b"connection", b"close"))
        self.send_event(h11.Response(status_code=status, headers=sent))

    def send_event(self, event: Any) -> None:
        """Send one protocol event."""
        data = self._http.send(event)
        if data:
            self.transport.write(data)

    def end_answer(self) -> None:
        """End the answer and go on with the next request, if there may be one."""
        self.send_event(h11.EndOfMessage())
        self.exchange = None
        if self._http.our_state is h11.DONE and self._http.their_state is h11.DONE:
            self._http.start_next_cycle()
            self._restart_timer(self._server.limits.idle_timeout_ms)
            try:
                self._read_events()
            except h11.RemoteProtocolError as error:
                self._refuse_malformed(error)
        else:
            self.transport.loseConnection()

    def break_off(self) -> None:
        """Reset the connection."""
        self.exchange = None
        self.transport.abortConnection()

    def _restart_timer(self, timeout_ms: int) -> None:
        self._stop_timer()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(timeout_ms / 1000, self._expire)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _expire(self) -> None:
        self._timer = None
        self.transport.loseConnection()


class HttpServer(Factory):
    """Listens on one address and gives each request to a handler.

    Args:
        handler: Called with each complete request; may be a coroutine function.
        limits: What a peer may send.
    """

    def __init__(self, handler: Handler, limits: CallerLimits | None = None):
        self.handler = handler
        self.limits = limits or CallerLimits()
        self.connections: set[ServerConnection] = set()
        self.is_stopping = False
        self._tasks: set[asyncio.Task[None]] = set()
        self._port: Any = None

    def buildProtocol(self, address: Any) -> ServerConnection:  # noqa: N802
        """Return the protocol of a new connection."""
        return ServerConnection(self)

    def listen(self, reactor: Any, host: str, port: int) -> None:
        """Start to accept connections."""
        self._port = reactor.listenTCP(port, self, LISTEN_BACKLOG, host)

    def spawn(self, coroutine: Any) -> None:
        """Run a handler and keep it from being collected."""
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def open_exchanges(self) -> list[Exchange]:
        """Return the requests that are not answered yet."""
        return [one.exchange for one in self.connections if one.exchange is not None]

    def has_partial_requests(self) -> bool:
        """Return whether a request is arriving."""
        return any(one._request is not None for one in self.connections)

    def stop_listening(self) -> None:
        """Accept no more connections."""
        if self._port is not None:
            self._port.stopListening()
            self._port = None

    def close_connections(self) -> None:
        """Close all connections; call it once no request is open."""
        for connection in list(self.connections):
            connection.transport.loseConnection()
