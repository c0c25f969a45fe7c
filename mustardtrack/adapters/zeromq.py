"""Message bus between the processes of the system, over ZeroMQ.

Every process binds one ROUTER socket and connects one DEALER socket to each of
its peers. Frames are MessagePack-encoded ``Envelope`` values.
"""

import asyncio
import itertools
from collections.abc import Awaitable, Callable, Iterable
from typing import cast

import msgspec
import zmq
import zmq.asyncio
from zmq.utils.monitor import recv_monitor_message

from mustardtrack.logs import define_event, log_event
from mustardtrack.ports import Envelope

HEARTBEAT_INTERVAL_MS = 1000
HEARTBEAT_TIMEOUT_MS = 3000
# Peers that start at the same time begin to listen within a few hundred milliseconds
# of each other.
MIN_RECONNECT_INTERVAL_MS = 50
MAX_RECONNECT_INTERVAL_MS = 200
# A host that lost power sends no reset, and the kernel would retransmit the SYN only
# after seconds.
CONNECT_TIMEOUT_MS = 500
SOCKET_QUEUE_MESSAGES = 2000
MAX_FRAME_BYTES = 8_388_608
MAX_CONCURRENT_TASKS = 2000

FRAME_REJECTED = define_event(8001, "WARNING", "bus frame rejected")
HANDLER_FAILED = define_event(8002, "ERROR", "bus handler failed")
CONNECTION_RESET = define_event(
    8003, "INFO", "bus connection reset after a request timeout"
)

Handler = Callable[[str, bytes], Awaitable[bytes | None]]


class BusTimeoutError(Exception):
    """A peer did not reply in time; it may have processed the request."""


class Bus:
    """Sends and receives envelopes.

    The bus and all its sockets belong to one event loop. A peer is identified by
    its address ``IP:PORT``.

    Args:
        name: Name of this process, sent with each envelope.
        address: Address ``IP:PORT`` to listen on.
    """

    def __init__(self, name: str, address: str):
        self._name = name
        self._address = address
        self._context = zmq.asyncio.Context()
        self._listener: zmq.asyncio.Socket | None = None
        self._handlers: dict[str, Handler] = {}
        self._peers: dict[str, _Peer] = {}
        self._request_ids = itertools.count(1)
        self._tasks: set[asyncio.Task[None]] = set()
        self._on_lost_connection: Callable[[str], None] | None = None
        self._decoder = msgspec.msgpack.Decoder(Envelope)
        self.bytes_sent = 0
        self.bytes_received = 0

    def handle(self, topic: str, handler: Handler) -> None:
        """Register ``handler(sender, body)`` for the messages of a topic.

        Bytes that the handler returns are sent as the reply to a request.
        """
        self._handlers[topic] = handler

    def report_lost_connections(self, listener: Callable[[str], None]) -> None:
        """Call ``listener(address)`` whenever a connection to a peer is lost.

        Call this before the first connection is opened.
        """
        self._on_lost_connection = listener

    def start(self) -> None:
        """Bind the listening socket and start receiving.

        Raises:
            zmq.ZMQError: If the address cannot be bound.
        """
        self._listener = self._context.socket(zmq.ROUTER)
        _set_socket_options(self._listener)
        self._listener.bind(f"tcp://{self._address}")
        self._spawn(self._receive_requests(self._listener))

    def connect(self, addresses: Iterable[str]) -> None:
        """Open connections to peers ahead of the first message."""
        for address in addresses:
            if address != self._address:
                self._peer(address)

    async def stop(self) -> None:
        """Close all sockets; pending requests time out at their senders."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for peer in self._peers.values():
            peer.close()
        if self._listener is not None:
            self._listener.close(linger=200)
        self._context.term()

    def post(self, address: str, topic: str, body: bytes) -> bool:
        """Send a one-way message without waiting.

        Returns:
            False if there is no connection or its queue is full. The message is then
            dropped; the protocols over the bus resend every one-way message.
        """
        frame = self._encode(topic, body)
        return self._peer(address).try_send(frame)

    async def request(
        self, address: str, topic: str, body: bytes, timeout_ms: int
    ) -> bytes:
        """Send a request and wait for its reply.

        Raises:
            BusTimeoutError: If no reply arrived within ``timeout_ms``. The connection
                is reset, since it may be half-open, unless another reply arrived
                on it recently.
        """
        request_id = next(self._request_ids)
        peer = self._peer(address)
        frame = self._encode(topic, body, request_id)
        try:
            # ``asyncio.wait_for`` in Python 3.11 loses a cancellation that arrives
            # together with the reply.
            async with asyncio.timeout(timeout_ms / 1000):
                return await peer.send_request(request_id, frame)
        except TimeoutError as error:
            self._reset_connection(address, peer)
            raise BusTimeoutError(
                f"{address} did not answer {topic!r} within {timeout_ms} ms"
            ) from error

    def _encode(self, topic: str, body: bytes, request_id: int = 0) -> bytes:
        frame = msgspec.msgpack.encode(Envelope(self._name, topic, body, request_id))
        self.bytes_sent += len(frame)
        return frame

    def _peer(self, address: str) -> "_Peer":
        peer = self._peers.get(address)
        if peer is None:
            peer = _Peer(self._context, address)
            self._peers[address] = peer
            self._spawn(self._receive_replies(peer))
            if self._on_lost_connection is not None:
                self._spawn(peer.watch_connection(self._on_lost_connection))
        return peer

    def _reset_connection(self, address: str, peer: "_Peer") -> None:
        if self._peers.get(address) is not peer or peer.has_recent_reply():
            return
        del self._peers[address]
        peer.close()
        log_event(CONNECTION_RESET, address=address)

    def _spawn(self, coroutine: Awaitable[None]) -> None:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _decode(self, frame: bytes) -> Envelope | None:
        self.bytes_received += len(frame)
        try:
            return self._decoder.decode(frame)
        except msgspec.DecodeError as error:
            log_event(FRAME_REJECTED, reason=str(error))
            return None

    async def _receive_requests(self, listener: zmq.asyncio.Socket) -> None:
        while True:
            parts = await listener.recv_multipart()
            envelope = self._decode(parts[-1])
            if envelope is None:
                continue
            if len(self._tasks) > MAX_CONCURRENT_TASKS:
                log_event(FRAME_REJECTED, reason="too many open requests")
                continue
            self._spawn(self._handle_request(listener, parts[0], envelope))

    async def _handle_request(
        self, listener: zmq.asyncio.Socket, identity: bytes, envelope: Envelope
    ) -> None:
        handler = self._handlers.get(envelope.topic)
        if handler is None:
            log_event(FRAME_REJECTED, reason=f"unknown topic {envelope.topic!r}")
            return
        try:
            body = await handler(envelope.sender, envelope.body)
        except Exception as error:
            log_event(HANDLER_FAILED, topic=envelope.topic, error=repr(error))
            return
        if body is None or not envelope.request_id:
            return
        reply = Envelope(self._name, envelope.topic, body, envelope.request_id, True)
        frame = msgspec.msgpack.encode(reply)
        self.bytes_sent += len(frame)
        await listener.send_multipart([identity, frame])

    async def _receive_replies(self, peer: "_Peer") -> None:
        while not peer.closed:
            frame = await peer.receive()
            if frame is None:
                return
            envelope = self._decode(frame)
            if envelope is not None and envelope.is_reply:
                peer.complete_request(envelope.request_id, envelope.body)


class _Peer:
    """Connection to one peer and its pending requests."""

    def __init__(self, context: zmq.asyncio.Context, address: str):
        self._address = address
        self._monitor: zmq.asyncio.Socket | None = None
        self._socket = context.socket(zmq.DEALER)
        _set_socket_options(self._socket)
        # Without IMMEDIATE, messages to an absent peer are queued and arrive stale.
        self._socket.setsockopt(zmq.IMMEDIATE, 1)
        self._socket.connect(f"tcp://{address}")
        self._pending_replies: dict[int, asyncio.Future[bytes]] = {}
        self._last_reply_s = 0.0
        self.closed = False

    def try_send(self, frame: bytes) -> bool:
        if self.closed:
            return False
        # With NOBLOCK the returned future is already done.
        send_result = cast(
            "asyncio.Future[object]", self._socket.send(frame, flags=zmq.NOBLOCK)
        )
        return send_result.exception() is None

    async def send_request(self, request_id: int, frame: bytes) -> bytes:
        future: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()
        self._pending_replies[request_id] = future
        try:
            while not self.try_send(frame):
                await asyncio.sleep(0.01)
            return await future
        finally:
            del self._pending_replies[request_id]

    async def receive(self) -> bytes | None:
        try:
            return await self._socket.recv()
        except (zmq.ZMQError, asyncio.CancelledError):
            return None

    async def watch_connection(self, on_lost: Callable[[str], None]) -> None:
        """Call ``on_lost(address)`` whenever the connection is lost, until closed."""
        if self.closed:
            return
        self._monitor = self._socket.get_monitor_socket(zmq.EVENT_DISCONNECTED)
        while not self.closed:
            try:
                await recv_monitor_message(self._monitor)
            except (zmq.ZMQError, asyncio.CancelledError):
                return
            if not self.closed:
                on_lost(self._address)

    def complete_request(self, request_id: int, body: bytes) -> None:
        self._last_reply_s = asyncio.get_running_loop().time()
        future = self._pending_replies.get(request_id)
        if future is not None and not future.done():
            future.set_result(body)

    def has_recent_reply(self) -> bool:
        age_s = asyncio.get_running_loop().time() - self._last_reply_s
        return age_s * 1000 < HEARTBEAT_TIMEOUT_MS

    def close(self) -> None:
        self.closed = True
        if self._monitor is not None:
            self._socket.disable_monitor()
            self._monitor.close(linger=0)
        self._socket.close(linger=0)


def _set_socket_options(socket: zmq.asyncio.Socket) -> None:
    socket.setsockopt(zmq.HEARTBEAT_IVL, HEARTBEAT_INTERVAL_MS)
    socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS)
    socket.setsockopt(zmq.HEARTBEAT_TTL, HEARTBEAT_TIMEOUT_MS)
    socket.setsockopt(zmq.SNDHWM, SOCKET_QUEUE_MESSAGES)
    socket.setsockopt(zmq.RCVHWM, SOCKET_QUEUE_MESSAGES)
    socket.setsockopt(zmq.MAXMSGSIZE, MAX_FRAME_BYTES)
    socket.setsockopt(zmq.RECONNECT_IVL, MIN_RECONNECT_INTERVAL_MS)
    socket.setsockopt(zmq.RECONNECT_IVL_MAX, MAX_RECONNECT_INTERVAL_MS)
    socket.setsockopt(zmq.CONNECT_TIMEOUT, CONNECT_TIMEOUT_MS)
    socket.setsockopt(zmq.LINGER, 0)
