"""HTTP client for endpoints: engines and plain services."""

import asyncio
import json
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any, cast

import msgspec
import treq
from twisted.internet import reactor as twisted_reactor
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.error import ConnectError, ConnectingCancelledError
from twisted.internet.interfaces import IStreamClientEndpoint
from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure
from twisted.web.client import Agent, HTTPConnectionPool, ResponseDone
from twisted.web.http_headers import Headers
from twisted.web.iweb import UNKNOWN_LENGTH, IAgentEndpointFactory
from zope.interface import implementer

reactor = cast(Any, twisted_reactor)

CONNECT_TIMEOUT_MS = 1000
POOLED_CONNECTIONS = 32
POOLED_IDLE_MS = 10_000
MAX_LINE_BYTES = 1_048_576
REFUSAL_LIMIT_BYTES = 65_536


class EndpointError(Exception):
    """A call to an endpoint failed.

    Attributes:
        may_have_run: False only if the endpoint cannot have run the call.
        reason: Short name for counters.
    """

    def __init__(self, reason: str, may_have_run: bool, detail: str = ""):
        super().__init__(f"{reason}: {detail}" if detail else reason)
        self.reason = reason
        self.may_have_run = may_have_run


@dataclass(frozen=True)
class EndpointAnswer:
    """Whole answer of a plain service or of a control command."""

    status: int
    headers: dict[str, str]
    body: bytes


class ChunkChoice(msgspec.Struct):
    """Generated text in the shape of the completions protocol."""

    text: str = ""


class Chunk(msgspec.Struct):
    """One server-sent event of an engine."""

    attempt_id: str = ""
    piece: int | None = None
    text: str = ""
    piece_count: int | None = None
    cached_tokens: int | None = None
    incarnation: str = ""
    choices: list[ChunkChoice] = []

    def content(self) -> str:
        """Return the text of this piece."""
        if self.text or not self.choices:
            return self.text
        return self.choices[0].text


class EngineStream:
    """Server-sent events of one attempt at one engine.

    Iterate it for :class:`Chunk` values. Reading pauses while more than
    ``buffer`` chunks wait to be consumed, so that a slow caller slows the engine.
    """

    def __init__(self, buffer: int):
        self._buffer = buffer
        self._items: deque[Chunk | EndpointError | None] = deque()
        self._waiter: asyncio.Future[bool] | None = None
        self._reader: _EventReader | None = None

    def attach(self, response: Any) -> None:
        """Read the body of a response."""
        self._reader = _EventReader(self)
        response.deliverBody(self._reader)

    def push(self, item: "Chunk | EndpointError | None") -> None:
        """Add a chunk, the end marker or the error that ends the stream."""
        self._items.append(item)
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(True)

    @property
    def is_full(self) -> bool:
        """Whether reading must pause."""
        return len(self._items) >= self._buffer

    async def next_chunk(self, timeout_ms: int) -> Chunk | None:
        """Return the next chunk, or None after the end marker.

        Raises:
            EndpointError: If the connection is lost, the data is malformed, or
                nothing arrives within ``timeout_ms``.
        """
        if not self._items and not await self._wait(timeout_ms):
            self.close()
            raise EndpointError("idle_timeout", may_have_run=True)
        item = self._items.popleft()
        if self._reader is not None and len(self._items) < self._buffer // 2:
            self._reader.resume()
        if isinstance(item, EndpointError):
            raise item
        return item

    async def _wait(self, timeout_ms: int) -> bool:
        """Wait for an item; False if the time is over.

        A future and a timer cost a third of ``asyncio.wait_for``, which creates a
        task for each token.
        """
        loop = asyncio.get_running_loop()
        waiter = self._waiter = loop.create_future()
        timer = loop.call_later(timeout_ms / 1000, _expire, waiter)
        try:
            return await waiter
        finally:
            timer.cancel()
            self._waiter = None

    def close(self) -> None:
        """Close the connection."""
        if self._reader is not None:
            self._reader.abort()


def _expire(waiter: "asyncio.Future[bool]") -> None:
    if not waiter.done():
        waiter.set_result(False)


class _EventReader(Protocol):
    """Parses server-sent events from a response body."""

    def __init__(self, stream: EngineStream):
        self._stream = stream
        self._rest = b""
        self._ended = False
        self._paused = False
        self._decoder = msgspec.json.Decoder(Chunk)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802 (Twisted)
        """Split the body into lines and queue the chunks."""
        *lines, self._rest = (self._rest + data).split(b"\n")
        for line in lines:
            self._receive_line(line.rstrip(b"\r"))
        if len(self._rest) > MAX_LINE_BYTES:
            self._end(EndpointError("line_too_long", may_have_run=True))
            self.abort()
        if self._stream.is_full and not self._paused:
            self._paused = True
            self.transport.pauseProducing()  # type: ignore[union-attr]

    def _receive_line(self, line: bytes) -> None:
        if not line.startswith(b"data:") or self._ended:
            return
        payload = line[5:].strip()
        if payload == b"[DONE]":
            self._end(None)
            return
        try:
            self._stream.push(self._decoder.decode(payload))
        except msgspec.DecodeError as error:
            self._end(EndpointError("malformed_chunk", True, str(error)))

    def connectionLost(self, reason: Failure = Failure(ResponseDone())) -> None:  # noqa: N802, B008
        """Report a body that ended without the end marker."""
        self._end(EndpointError("connection_lost", True, reason.getErrorMessage()))

    def _end(self, item: EndpointError | None) -> None:
        if not self._ended:
            self._ended = True
            self._stream.push(item)

    def resume(self) -> None:
        if self._paused:
            self._paused = False
            if self.transport is not None:
                self.transport.resumeProducing()  # type: ignore[union-attr]

    def abort(self) -> None:
        transport = cast(Any, self.transport)
        if transport is not None:
            transport.loseConnection()


class HttpEndpointClient:
    """Calls endpoints over HTTP/1.1."""

    def __init__(self) -> None:
        self._pool = HTTPConnectionPool(reactor, persistent=True)
        self._pool.maxPersistentPerHost = POOLED_CONNECTIONS
        self._pool.cachedConnectionTimeout = POOLED_IDLE_MS // 1000
        # A repeated request must be the decision of the retry policy.
        self._pool.retryAutomatically = False
        timeout = CONNECT_TIMEOUT_MS / 1000
        self._pooled = Agent(reactor, connectTimeout=timeout, pool=self._pool)
        self._single = Agent(reactor, connectTimeout=timeout)

    async def close(self) -> None:
        """Close idle connections."""
        await self._pool.closeCachedConnections().asFuture(asyncio.get_running_loop())

    async def open_stream(
        self, address: str, body: Mapping[str, Any], timeout_ms: int, buffer: int
    ) -> EngineStream:
        """Start a completion and return its stream.

        Args:
            address: ``IP:PORT`` of the engine.
            body: JSON fields of the request.
            timeout_ms: Limit until the response headers arrive.
            buffer: Largest number of chunks read ahead of the caller.

        Raises:
            EndpointError: If the engine cannot be reached or refuses. Its reason is
                ``refused_<status>`` for a status other than 200.
        """
        url = f"http://{address}/v1/completions"
        headers = {"Content-Type": "application/json"}
        data = msgspec.json.encode(body)
        response = await self._send(
            self._single, "POST", url, headers, data, timeout_ms
        )
        if response.code != 200:
            answer = await _read_limited(response, REFUSAL_LIMIT_BYTES, 1000)
            raise EndpointError(
                f"refused_{response.code}", may_have_run=not _says_not_run(answer)
            )
        stream = EngineStream(buffer)
        stream.attach(response.original)
        return stream

    async def call(
        self,
        address: str,
        method: str,
        path: str,
        headers: Mapping[str, str],
        body: bytes,
        timeout_ms: int,
        limit_bytes: int,
        pooled: bool = False,
        before_send: Callable[[], None] | None = None,
    ) -> EndpointAnswer:
        """Call an endpoint and return its whole answer.

        Calls that may not be repeated use a connection of their own, because a
        reused one can be closed by the endpoint after bytes were written.

        Args:
            address: ``IP:PORT`` of the endpoint.
            method: HTTP method.
            path: Path and query.
            headers: Request headers.
            body: Request body.
            timeout_ms: Limit for the whole call.
            limit_bytes: Largest body of the answer.
            pooled: Whether a connection may be reused.
            before_send: Called on the open connection immediately before the first
                byte is written. If it raises, nothing is written, the connection is
                closed and its exception is raised here.

        Raises:
            EndpointError: If there is no whole answer; ``may_have_run`` says whether
                the call can have reached the endpoint.
        """
        agent: Any = self._pooled if pooled else self._single
        if before_send is not None:
            agent = Agent.usingEndpointFactory(reactor, _GuardedFactory(before_send))
        url = f"http://{address}{path}"
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_ms / 1000
        response = await self._send(agent, method, url, headers, body, timeout_ms)
        remaining_ms = max(1, int((deadline - loop.time()) * 1000))
        content = await _read_limited(response, limit_bytes, remaining_ms)
        names = {
            name.decode("latin-1").lower(): values[0].decode("latin-1")
            for name, values in response.headers.getAllRawHeaders()
        }
        return EndpointAnswer(response.code, names, content)

    async def _send(
        self,
        agent: Any,
        method: str,
        url: str,
        headers: Mapping[str, str],
        data: bytes,
        timeout_ms: int,
    ) -> Any:
        deferred = treq.request(
            method,
            url,
            headers=Headers({name: [value] for name, value in headers.items()}),
            data=data or None,
            agent=agent,
            allow_redirects=False,
            unbuffered=True,
            browser_like_redirects=False,
        )
        # The deferred itself is cancelled on a time-out, which closes the connection.
        limit = _TimeLimit(deferred, timeout_ms)
        try:
            return await deferred.asFuture(asyncio.get_running_loop())
        except (ConnectError, ConnectingCancelledError) as error:
            raise EndpointError("connect_failed", False, str(error)) from error
        except asyncio.CancelledError:
            deferred.cancel()
            raise
        except _NotSentError as error:
            raise error.cause from error
        except Exception as error:
            raise EndpointError(limit.reason(), True, repr(error)) from error
        finally:
            limit.end()


class _TimeLimit:
    """Cancels a deferred after a time and remembers that it did."""

    def __init__(self, deferred: Any, timeout_ms: int):
        self._deferred = deferred
        self._expired = False
        loop = asyncio.get_running_loop()
        self._handle = loop.call_later(timeout_ms / 1000, self._expire)

    def _expire(self) -> None:
        self._expired = True
        self._deferred.cancel()

    def reason(self) -> str:
        return "timeout" if self._expired else "connection_lost"

    def end(self) -> None:
        self._handle.cancel()


class _NotSentError(Exception):
    """``before_send`` raised; no byte was written."""

    def __init__(self, cause: Exception):
        super().__init__(str(cause))
        self.cause = cause


@implementer(IAgentEndpointFactory)
class _GuardedFactory:
    """Makes endpoints that call ``before_send`` once they are connected."""

    def __init__(self, before_send: Callable[[], None]):
        self._before_send = before_send

    def endpointForURI(self, uri: Any) -> "_GuardedEndpoint":  # noqa: N802 (Twisted)
        endpoint = TCP4ClientEndpoint(
            reactor, uri.host, uri.port, timeout=CONNECT_TIMEOUT_MS / 1000
        )
        return _GuardedEndpoint(endpoint, self._before_send)


@implementer(IStreamClientEndpoint)
class _GuardedEndpoint:
    """The agent writes in the callback that follows the check."""

    def __init__(self, inner: TCP4ClientEndpoint, before_send: Callable[[], None]):
        self._inner = inner
        self._before_send = before_send

    def connect(self, factory: Any) -> Any:
        return self._inner.connect(factory).addCallback(self._check)

    def _check(self, protocol: Any) -> Any:
        try:
            self._before_send()
        except Exception as error:
            protocol.transport.abortConnection()
            raise _NotSentError(error) from error
        return protocol


def _says_not_run(body: bytes) -> bool:
    """Return whether the body of a refusal promises that nothing ran."""
    try:
        return bool(json.loads(body)["error"]["ran"] == "not_run")
    except (ValueError, KeyError, TypeError):
        return False


async def _read_limited(response: Any, limit_bytes: int, timeout_ms: int) -> bytes:
    """Read a body of at most ``limit_bytes``."""
    if response.length is not UNKNOWN_LENGTH and response.length > limit_bytes:
        _abort(response)
        raise EndpointError("answer_too_large", may_have_run=True)
    parts: list[bytes] = []
    size = 0

    def receive(data: bytes) -> None:
        nonlocal size
        size += len(data)
        if size > limit_bytes:
            raise EndpointError("answer_too_large", may_have_run=True)
        parts.append(data)

    deferred = treq.collect(response, receive)
    limit = _TimeLimit(deferred, timeout_ms)
    try:
        await deferred.asFuture(asyncio.get_running_loop())
    except EndpointError:
        raise
    except Exception as error:
        raise EndpointError(limit.reason(), True, repr(error)) from error
    finally:
        limit.end()
    return b"".join(parts)


def _abort(response: Any) -> None:
    closer = Protocol()
    response.original.deliverBody(closer)
    cast(Any, closer.transport).loseConnection()
