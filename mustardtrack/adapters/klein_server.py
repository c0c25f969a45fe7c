"""Klein HTTP server with input limits, for the caller and operator ports."""

import asyncio
import json
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any, cast

from klein import Klein
from twisted.internet import reactor as twisted_reactor
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IListeningPort
from twisted.internet.ssl import DefaultOpenSSLContextFactory
from twisted.web.http import HTTPChannel
from twisted.web.server import Request, Site

from mustardtrack.logs import define_event, log_event
from mustardtrack.settings import TlsFiles, split_address

CONNECTION_REFUSED = define_event(
    8101, "WARNING", "connection refused: too many open connections"
)
HANDLER_FAILED = define_event(8102, "ERROR", "request handler failed")
CERTIFICATE_RELOADED = define_event(8103, "INFO", "TLS certificate reloaded")

reactor = cast(Any, twisted_reactor)

# The connection is aborted if a request body exceeds its limit by more than this.
MAX_DISCARDED_BODY_BYTES = 1_048_576


class LimitedRequest(Request):
    """Request that stores at most ``body_limit_bytes`` of its body.

    Attributes:
        body_too_large: Whether part of the body was discarded.
    """

    body_limit_bytes = 4_194_304

    def __init__(self, channel: HTTPChannel, *args: Any, **kwargs: Any):
        super().__init__(channel, *args, **kwargs)
        self.body_too_large = False
        self._received_bytes = 0

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802 (Twisted)
        """Store a part of the body unless the limit is exceeded."""
        self._received_bytes += len(data)
        if self._received_bytes > self.body_limit_bytes:
            self.body_too_large = True
        if self._received_bytes > self.body_limit_bytes + MAX_DISCARDED_BODY_BYTES:
            self.channel.forceAbortClient()
        elif not self.body_too_large:
            super().handleContentChunk(data)


class LimitedSite(Site):
    """Site with a limit on open connections.

    Args:
        resource: Root resource.
        idle_timeout_ms: Time without traffic after which a connection is closed.
        max_connections: Largest number of open connections.
        max_body_bytes: Largest request body.
    """

    def __init__(
        self,
        resource: Any,
        idle_timeout_ms: int,
        max_connections: int,
        max_body_bytes: int,
    ):
        class_attributes = {"body_limit_bytes": max_body_bytes}
        request_class = type("SiteRequest", (LimitedRequest,), class_attributes)
        super().__init__(
            resource, requestFactory=request_class, timeout=idle_timeout_ms / 1000
        )
        self._max_connections = max_connections
        self.open_connections = 0
        self.noisy = False

    def buildProtocol(self, addr: Any) -> Any:  # noqa: N802 (Twisted)
        """Accept a connection, or refuse it at the limit."""
        if self.open_connections >= self._max_connections:
            log_event(CONNECTION_REFUSED, limit=self._max_connections)
            return None
        self.open_connections += 1
        protocol = super().buildProtocol(addr)
        original = protocol.connectionLost

        def connection_lost(reason: Any) -> None:
            self.open_connections -= 1
            original(reason)

        protocol.connectionLost = connection_lost
        return protocol

    def log(self, request: Any) -> None:
        """Suppress the access log; the handlers log request events."""


class ReloadingContextFactory(DefaultOpenSSLContextFactory):
    """TLS context factory that can reload its certificate at run time."""

    def reload(self) -> None:
        """Read the certificate and key files again.

        Raises:
            OpenSSL.SSL.Error: If the files are invalid; the previous pair stays in use.
        """
        previous = self._context
        self._context = None
        try:
            self.cacheContext()
        except Exception:
            self._context = previous
            raise
        log_event(CERTIFICATE_RELOADED)


def listen(
    site: Site, address: str, tls: TlsFiles | None
) -> tuple[IListeningPort, ReloadingContextFactory | None]:
    """Listen on ``IP:PORT``, with TLS if key files are given.

    Raises:
        twisted.internet.error.CannotListenError: If the address is in use.
    """
    host, port = split_address(address)
    if tls is None:
        return reactor.listenTCP(port, site, interface=host), None
    factory = ReloadingContextFactory(tls.key_file, tls.certificate_file)
    return reactor.listenSSL(port, site, factory, interface=host), factory


def run_handler(coroutine: Coroutine[Any, Any, bytes]) -> "Deferred[bytes]":
    """Wrap an asyncio coroutine in a deferred for klein."""
    return Deferred.fromFuture(asyncio.ensure_future(coroutine))


def add_route(
    app: Klein, path: str, handler: Callable[..., Awaitable[bytes]], **kwargs: Any
) -> None:
    """Route ``path`` to ``await handler(request, **path_arguments)``.

    An exception in the handler is logged, and the response has status 500.
    """

    async def handle_errors(request: Request, arguments: dict[str, Any]) -> bytes:
        try:
            return await handler(request, **arguments)
        except asyncio.CancelledError:
            raise
        except Exception as error:
            log_event(HANDLER_FAILED, path=path, error=repr(error))
            if request.startedWriting or request._disconnected:
                request.loseConnection()
                return b""
            return prepare_json_response(
                request, 500, {"error": {"message": "internal error"}}
            )

    def route(request: Request, **arguments: Any) -> "Deferred[bytes]":
        return run_handler(handle_errors(request, arguments))

    # Klein uses the function name as the endpoint name, which must be unique.
    route.__name__ = f"route_{len(app.endpoints)}"
    app.route(path, **kwargs)(route)


def prepare_json_response(
    request: Request, status: int, body: Any, headers: dict[str, str] | None = None
) -> bytes:
    """Set status and headers and return ``body`` encoded as JSON."""
    request.setResponseCode(status)
    request.setHeader("Content-Type", "application/json")
    for name, value in (headers or {}).items():
        request.setHeader(name, value)
    return json.dumps(body).encode()


def read_content(request: Request) -> bytes:
    """Return the body of a request."""
    return b"" if request.content is None else bytes(request.content.read())


def bearer_token(request: Request) -> str | None:
    """Return the bearer token of the request, if any."""
    header = request.getHeader("Authorization") or ""
    scheme, _, token = header.partition(" ")
    return token.strip() if scheme.lower() == "bearer" and token.strip() else None
