"""HTTP/1.1 client for endpoints: model engines and plain services."""

import asyncio
import json
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any, cast

import msgspec
import treq
from twisted.internet import reactor as twisted_reactor
from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.error import ConnectError, ConnectingCancelledError
from twisted.internet.interfaces import IStreamClientEndpoint
from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure
from twisted.web.client import Agent, HTTPConnectionPool, ResponseDone
from twisted.web.http import PotentialDataLoss
from twisted.web.http_headers import Headers
from twisted.web.iweb import UNKNOWN_LENGTH, IAgentEndpointFactory
from zope.interface import implementer

from mustardtrack.adapters.unfinished import (
    MAX_UNFINISHED_BYTES,
    UnfinishedResponses,
)
from mustardtrack.logs import define_event, log_event

reactor = cast(Any, twisted_reactor)

CONNECT_TIMEOUT_MS = 1000
MAX_POOLED_CONNECTIONS_PER_HOST = 32
POOL_IDLE_TIMEOUT_MS = 10_000
# A status has three digits, the first of which is not 0.
STATUS_CODES = range(100, 1000)
# Longest event of a stream; an event has a few tokens.
MAX_LINE_BYTES = 262_144
# Reading of a stream pauses while more than this is unread, and resumes at half of it.
MAX_UNREAD_BYTES = 262_144
MAX_ERROR_BODY_BYTES = 65_536
MAX_HEAD_BYTES = 65_536

HEAD_TOO_LARGE = define_event(
    8851, "WARNING", "connection aborted: head of the response too large"
)
BODY_TIMED_OUT = define_event(
    8852, "WARNING", "connection closed: call ended before its response"
)


class EndpointError(Exception):
    """A call to an endpoint failed.

    Attributes:
        may_have_run: False only if the endpoint cannot have executed the call.
        reason: Short identifier of the failure, used in metric names.
    """

    def __init__(self, reason: str, may_have_run: bool, detail: str = ""):
        super().__init__(f"{reason}: {detail}" if detail else reason)
        self.reason = reason
        self.may_have_run = may_have_run


@dataclass(frozen=True)
class EndpointResponse:
    """Complete response of an endpoint."""

    status: int
    headers: dict[str, str]
    body: bytes


class ChunkChoice(msgspec.Struct):
    """Generated text in the format of the completions API."""

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
        """Return the generated text of the chunk."""
        if self.text or not self.choices:
            return self.text
        return self.choices[0].text


class EngineStream:
    """Server-sent events of one attempt at one engine.

    :meth:`next_chunk` returns the chunks in order. Reading from the connection pauses
    while ``max_buffered_chunks`` chunks or too many bytes are waiting, so that a slow
    consumer applies back-pressure to the engine.
    """

    def __init__(self, max_buffered_chunks: int):
        self._max_buffered_chunks = max_buffered_chunks
        # Each item has the size of its line.
        self._items: deque[tuple[Chunk | EndpointError | None, int]] = deque()
        self._unread_bytes = 0
        self._next_item_waiter: asyncio.Future[bool] | None = None
        self._reader: _EventReader | None = None

    def attach(self, response: Any) -> None:
        """Start to read the body of a response."""
        self._reader = _EventReader(self)
        response.deliverBody(self._reader)

    def push(self, item: "Chunk | EndpointError | None", size: int = 0) -> None:
        """Queue a chunk, the end marker (None) or the error that ends the stream."""
        self._items.append((item, size))
        self._unread_bytes += size
        if self._next_item_waiter is not None and not self._next_item_waiter.done():
            self._next_item_waiter.set_result(True)

    @property
    def is_full(self) -> bool:
        """Whether the buffer is full and reading must pause."""
        return (
            len(self._items) >= self._max_buffered_chunks
            or self._unread_bytes >= MAX_UNREAD_BYTES
        )

    async def next_chunk(self, timeout_ms: int) -> Chunk | None:
        """Return the next chunk, or None after the end marker.

        Raises:
            EndpointError: If the connection is lost, the data is malformed, or
                nothing arrives within ``timeout_ms``.
        """
        if not self._items and not await self._wait_for_item(timeout_ms):
            self.close()
            raise EndpointError("idle_timeout", may_have_run=True)
        item, size = self._items.popleft()
        self._unread_bytes -= size
        if (
            self._reader is not None
            and len(self._items) < self._max_buffered_chunks // 2
            and self._unread_bytes <= MAX_UNREAD_BYTES // 2
        ):
            self._reader.resume()
        if isinstance(item, EndpointError):
            raise item
        return item

    async def _wait_for_item(self, timeout_ms: int) -> bool:
        """Wait for an item; return False on a timeout.

        A future and a timer cost a third of ``asyncio.wait_for``, which would create
        a task for each token.
        """
        loop = asyncio.get_running_loop()
        waiter = self._next_item_waiter = loop.create_future()
        timer = loop.call_later(timeout_ms / 1000, _resolve_as_expired, waiter)
        try:
            return await waiter
        finally:
            timer.cancel()
            self._next_item_waiter = None

    def close(self) -> None:
        """Close the connection."""
        if self._reader is not None:
            self._reader.close()


def _resolve_as_expired(waiter: "asyncio.Future[bool]") -> None:
    if not waiter.done():
        waiter.set_result(False)


class _EventReader(Protocol):
    """Parses server-sent events from a response body."""

    def __init__(self, stream: EngineStream):
        self._stream = stream
        self._partial_line = bytearray()
        self._ended = False
        self._paused = False
        self._decoder = msgspec.json.Decoder(Chunk)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802 (Twisted)
        """Split the body into lines and queue the chunks in them."""
        self._partial_line += data
        if b"\n" in data:
            *lines, self._partial_line = self._partial_line.split(b"\n")
            for line in lines:
                self._receive_line(bytes(line.rstrip(b"\r")))
        if len(self._partial_line) > MAX_LINE_BYTES:
            self._end(EndpointError("line_too_long", may_have_run=True))
            self.close()
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
            self._stream.push(self._decoder.decode(payload), len(payload))
        except (msgspec.DecodeError, RecursionError) as error:
            # The decoder raises RecursionError for deeply nested bytes.
            self._end(EndpointError("malformed_chunk", True, str(error)))

    def connectionLost(self, reason: Failure = Failure(ResponseDone())) -> None:  # noqa: N802, B008
        """Queue an error if the body ended without the end marker."""
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

    def close(self) -> None:
        transport = cast(Any, self.transport)
        if transport is not None:
            transport.loseConnection()


class HttpEndpointClient:
    """Calls endpoints over HTTP/1.1."""

    def __init__(self) -> None:
        self._pool = HTTPConnectionPool(reactor, persistent=True)
        self._pool.maxPersistentPerHost = MAX_POOLED_CONNECTIONS_PER_HOST
        self._pool.cachedConnectionTimeout = POOL_IDLE_TIMEOUT_MS // 1000
        # Only the retry policy may repeat a request.
        self._pool.retryAutomatically = False
        self._unfinished: UnfinishedResponses[_BodyCollector] = UnfinishedResponses()
        factory = _LimitedEndpointFactory()
        self._pooled = Agent.usingEndpointFactory(reactor, factory, self._pool)
        self._unpooled = Agent.usingEndpointFactory(reactor, factory)

    async def close(self) -> None:
        """Close idle connections."""
        await self._pool.closeCachedConnections().asFuture(asyncio.get_running_loop())

    async def open_stream(
        self,
        address: str,
        body: Mapping[str, Any],
        timeout_ms: int,
        max_buffered_chunks: int,
    ) -> EngineStream:
        """Start a completion and return its stream.

        Args:
            address: ``IP:PORT`` of the engine.
            body: JSON fields of the request.
            timeout_ms: Time limit for the response headers.
            max_buffered_chunks: Number of unread chunks at which reading pauses.

        Raises:
            EndpointError: If the engine cannot be reached or rejects the request. The
                reason is ``refused_<status>`` for a status other than 200.
        """
        url = f"http://{address}/v1/completions"
        headers = {"Content-Type": "application/json"}
        data = msgspec.json.encode(body)
        response = await self._send(
            self._unpooled, "POST", url, headers, data, timeout_ms
        )
        if response.code != 200:
            error_body = await _read_limited(
                response, MAX_ERROR_BODY_BYTES, 1000, address, self._unfinished
            )
            raise EndpointError(
                f"refused_{response.code}", may_have_run=not _states_not_run(error_body)
            )
        stream = EngineStream(max_buffered_chunks)
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
        max_body_bytes: int,
        pooled: bool = False,
        before_send: Callable[[], None] | None = None,
    ) -> EndpointResponse:
        """Call an endpoint and return its complete response.

        Calls that must not be repeated use a new connection, because the endpoint
        may close a reused one after the request was written.

        Args:
            address: ``IP:PORT`` of the endpoint.
            method: HTTP method.
            path: Path and query.
            headers: Request headers.
            body: Request body.
            timeout_ms: Time limit for the whole call.
            max_body_bytes: Largest accepted response body.
            pooled: Whether a pooled connection may be reused.
            before_send: Called once the connection is open, immediately before the
                first byte is written. If it raises, nothing is written, the
                connection is closed and the exception is raised here.

        Raises:
            EndpointError: If no complete response arrives; ``may_have_run`` tells
                whether the call may have reached the endpoint.
        """
        agent: Any = self._pooled if pooled else self._unpooled
        if before_send is not None:
            agent = Agent.usingEndpointFactory(
                reactor, _LimitedEndpointFactory(before_send)
            )
        url = f"http://{address}{path}"
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_ms / 1000
        response = await self._send(agent, method, url, headers, body, timeout_ms)
        remaining_ms = max(1, int((deadline - loop.time()) * 1000))
        content = await _read_limited(
            response, max_body_bytes, remaining_ms, address, self._unfinished
        )
        response_headers = {
            name.decode("latin-1").lower(): values[0].decode("latin-1")
            for name, values in response.headers.getAllRawHeaders()
        }
        return EndpointResponse(response.code, response_headers, content)

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
        # Cancelling the deferred on a timeout also closes the connection.
        timeout = _DeferredTimeout(deferred, timeout_ms)
        try:
            response = await deferred.asFuture(asyncio.get_running_loop())
        except (ConnectError, ConnectingCancelledError) as error:
            raise EndpointError("connect_failed", False, str(error)) from error
        except asyncio.CancelledError:
            deferred.cancel()
            raise
        except _NotSentError as error:
            raise error.cause from error
        except Exception as error:
            raise EndpointError(timeout.failure_reason(), True, repr(error)) from error
        finally:
            timeout.stop()
        if response.code not in STATUS_CODES:
            _close_connection(response)
            raise EndpointError("malformed_status", True, f"status {response.code}")
        return response


class _DeferredTimeout:
    """Cancels a deferred after a timeout and records that it did."""

    def __init__(self, deferred: Any, timeout_ms: int):
        self._deferred = deferred
        self._expired = False
        loop = asyncio.get_running_loop()
        self._handle = loop.call_later(timeout_ms / 1000, self._cancel_deferred)

    def _cancel_deferred(self) -> None:
        self._expired = True
        self._deferred.cancel()

    def failure_reason(self) -> str:
        return "timeout" if self._expired else "connection_lost"

    def stop(self) -> None:
        self._handle.cancel()


class _NotSentError(Exception):
    """``before_send`` raised an exception; no byte was written."""

    def __init__(self, cause: Exception):
        super().__init__(str(cause))
        self.cause = cause


@implementer(IAgentEndpointFactory)
class _LimitedEndpointFactory:
    """Creates Twisted endpoints whose connections limit the head of each response.

    ``before_send`` is called after connecting, if it is given.
    """

    def __init__(self, before_send: Callable[[], None] | None = None):
        self._before_send = before_send

    def endpointForURI(self, uri: Any) -> "_LimitedEndpoint":  # noqa: N802 (Twisted)
        endpoint = TCP4ClientEndpoint(
            reactor, uri.host, uri.port, timeout=CONNECT_TIMEOUT_MS / 1000
        )
        address = f"{uri.host.decode('ascii')}:{uri.port}"
        return _LimitedEndpoint(endpoint, address, self._before_send)


@implementer(IStreamClientEndpoint)
class _LimitedEndpoint:
    """Twisted endpoint that calls ``before_send`` on the open connection.

    The agent writes the request in the callback that follows the check.
    """

    def __init__(
        self,
        inner: TCP4ClientEndpoint,
        address: str,
        before_send: Callable[[], None] | None,
    ):
        self._inner = inner
        self._address = address
        self._before_send = before_send

    def connect(self, factory: Any) -> Any:
        connecting = self._inner.connect(factory)
        connecting.addCallback(self._limit_head)
        if self._before_send is not None:
            connecting.addCallback(self._run_pre_send_check, self._before_send)
        return connecting

    def _limit_head(self, protocol: Any) -> Any:
        _HeadLimit(protocol, self._address)
        return protocol

    def _run_pre_send_check(
        self, protocol: Any, before_send: Callable[[], None]
    ) -> Any:
        try:
            before_send()
        except Exception as error:
            protocol.transport.abortConnection()
            raise _NotSentError(error) from error
        return protocol


class _HeadLimit:
    """Aborts a connection that receives too many bytes before a response begins.

    Twisted limits a single line of the head, but not the number of lines and of
    informational responses.
    """

    def __init__(self, protocol: Any, address: str):
        self._transport = protocol.transport
        self._address = address
        self._head_bytes = 0
        self._is_waiting = False
        self._send_request = protocol.request
        self._parse = protocol.dataReceived
        protocol.request = self._request
        protocol.dataReceived = self._receive

    def _request(self, request: Any) -> Any:
        self._head_bytes = 0
        self._is_waiting = True
        return self._send_request(request).addBoth(self._end_head)

    def _end_head(self, result: Any) -> Any:
        self._is_waiting = False
        return result

    def _receive(self, data: bytes) -> None:
        self._parse(data)
        if not self._is_waiting:
            return
        self._head_bytes += len(data)
        if self._head_bytes > MAX_HEAD_BYTES:
            self._is_waiting = False
            log_event(HEAD_TOO_LARGE, address=self._address)
            self._transport.abortConnection()


def _states_not_run(body: bytes) -> bool:
    """Return whether an error body states that the request was not executed."""
    try:
        return bool(json.loads(body)["error"]["ran"] == "not_run")
    except (ValueError, KeyError, TypeError, RecursionError):
        return False


async def _read_limited(
    response: Any,
    max_body_bytes: int,
    timeout_ms: int,
    address: str,
    unfinished: "UnfinishedResponses[_BodyCollector]",
) -> bytes:
    """Read a response body of at most ``max_body_bytes``."""
    if response.length is not UNKNOWN_LENGTH and response.length > max_body_bytes:
        _close_connection(response)
        raise EndpointError("answer_too_large", may_have_run=True)
    collector = _BodyCollector(max_body_bytes, address, unfinished)
    deferred = collector.ended
    response.original.deliverBody(collector)
    timeout = _DeferredTimeout(deferred, timeout_ms)
    try:
        return await deferred.asFuture(asyncio.get_running_loop())
    except EndpointError:
        raise
    except Exception as error:
        raise EndpointError(timeout.failure_reason(), True, repr(error)) from error
    finally:
        timeout.stop()


class _BodyCollector(Protocol):
    """Collects a response body and closes the connection if that is cancelled.

    Args:
        max_body_bytes: Largest accepted body.
        address: Address of the endpoint.
        unfinished: Bodies of the same client.

    Attributes:
        ended: Fires with the body, or with the reason why there is none.
    """

    def __init__(
        self,
        max_body_bytes: int,
        address: str,
        unfinished: "UnfinishedResponses[_BodyCollector]",
    ):
        self.address = address
        self.ended: Deferred[bytes] = Deferred(self._cancel)
        self._max_body_bytes = max_body_bytes
        self._unfinished = unfinished
        self._body = bytearray()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802 (Twisted)
        """Append data; the connection is closed if that is too much."""
        if self.ended.called:
            return
        self._body += data
        if len(self._body) > self._max_body_bytes:
            self._fail_as_too_large()
            return
        self._unfinished.record(self, len(self._body))
        while self._unfinished.total_bytes > MAX_UNFINISHED_BYTES:
            self._unfinished.find_largest()._fail_as_too_large()

    def connectionLost(self, reason: Failure = Failure(ResponseDone())) -> None:  # noqa: N802, B008
        """End the body; one without a length ends with its connection."""
        if self.ended.called:
            return
        body = bytes(self._body)
        self._release()
        if reason.check(ResponseDone, PotentialDataLoss):
            self.ended.callback(body)
        else:
            self.ended.errback(reason)

    def _fail_as_too_large(self) -> None:
        self._release()
        self._close()
        if not self.ended.called:
            error = EndpointError("answer_too_large", may_have_run=True)
            self.ended.errback(Failure(error))

    def _release(self) -> None:
        self._body.clear()
        self._unfinished.record(self, 0)

    def _cancel(self, deferred: "Deferred[bytes]") -> None:
        log_event(BODY_TIMED_OUT)
        self._release()
        self._close()

    def _close(self) -> None:
        transport = cast(Any, self.transport)
        if transport is not None:
            transport.loseConnection()


def _close_connection(response: Any) -> None:
    body_reader = Protocol()
    response.original.deliverBody(body_reader)
    cast(Any, body_reader.transport).loseConnection()
