"""Guards against endpoints whose responses never end.

The stand-in sends until its peer closes. Each run has a client process of its own,
whose peak memory and processor time are those of one response.
"""

import socket
import threading
import time

import pytest

# Time that the caller of the request would wait.
DEADLINE_S = 2.0
# A router may use 128 MB, about half of which its libraries need.
MAX_GROWTH_BYTES = 32 * 1024 * 1024
# Bounds the client if it reads without a limit.
CLIENT_ADDRESS_SPACE_BYTES = 1024 * 1024 * 1024


class EndlessServer:
    """Server that answers each connection with a head and then parts without end.

    Args:
        head: Sent once.
        part: Repeated until the peer closes.
        is_early: Whether it sends before it has received a request.
        delay_s: Time between two parts, which are then sent one by one.

    Attributes:
        closed: Set once a peer has closed its connection.
    """

    def __init__(
        self, head: bytes, part: bytes, is_early: bool = False, delay_s: float = 0.0
    ):
        self._head = head
        self._delay_s = delay_s
        self._parts = part if delay_s else part * max(1, 16_384 // len(part))
        self._is_early = is_early
        self.closed = threading.Event()
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            connection, _ = self._listener.accept()
            threading.Thread(target=self._send, args=[connection], daemon=True).start()

    def _send(self, connection: socket.socket) -> None:
        try:
            if not self._is_early:
                connection.recv(4096)
            connection.sendall(self._head)
            while True:
                connection.sendall(self._parts)
                time.sleep(self._delay_s)
        except OSError:
            self.closed.set()


MEASURE = """
    import resource
    from mustardtrack.adapters.upstream import (
        ConnectError, ConnectionBrokenError, ConnectionPool, ResponseData,
        ResponseEnd, ResponseInterrupted)
    LIMIT = int(sys.argv[2])
    resource.setrlimit(resource.RLIMIT_AS, (LIMIT, LIMIT))

    def peak_bytes():
        return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1024

    async def measure(read):
        pool = ConnectionPool(reactor)
        clock = asyncio.get_running_loop().time
        before, started_s = peak_bytes(), clock()
        try:
            outcome = await read(pool, sys.argv[1], started_s + float(sys.argv[3]))
        except MemoryError:
            outcome = "out of memory"
        elapsed_s = clock() - started_s
        await asyncio.sleep(0.2)
        return {"outcome": outcome, "elapsed_s": elapsed_s,
                "growth_bytes": peak_bytes() - before,
                "open": pool.open_count(sys.argv[1])}
"""

# Reads as the attempts of a router do: all parts of the response are kept.
READ_RESPONSE = (
    MEASURE
    + """
    async def read(pool, address, deadline_s):
        clock = asyncio.get_running_loop().time
        connection = await pool.open(address, 1.0)
        headers = [(b"host", b"e"), (b"x-id", b"r1")]
        connection.send(b"GET", b"/", headers, b"", b"x-id", b"r1")
        parts = []
        while (left_s := deadline_s - clock()) > 0:
            event = await connection.next_event(left_s)
            if isinstance(event, ResponseData):
                parts.append(event.data)
            if isinstance(event, ResponseInterrupted):
                return event.reason
            if isinstance(event, ResponseEnd):
                return "complete"
        return "held until the deadline"
    run(lambda: measure(read))
"""
)

OK = b"HTTP/1.1 200 OK\r\n"
OWN_ID = b"x-id: r1\r\n"
OTHER_ID = b"x-id: r0\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
ENDLESS_LENGTH = b"Content-Length: 1000000000000\r\n\r\n"
EVENT_STREAM = b"Content-Type: text/event-stream\r\n"
KIB = b"x" * 1024
CHUNK = b"400\r\n" + KIB + b"\r\n"
EMPTY_OTHER_RESPONSE = OK + OTHER_ID + b"Content-Length: 0\r\n\r\n"
ENDLESS_RESPONSES = {
    "bytes that are not HTTP": (b"", KIB),
    "status line": (b"HTTP/1.1 200 O", b"K"),
    "header line": (OK + b"x-filler: ", KIB),
    "header lines": (OK, b"x-filler: x\r\n"),
    "informational responses": (b"", b"HTTP/1.1 102 Processing\r\n\r\n"),
    "body with a length": (OK + OWN_ID + ENDLESS_LENGTH, KIB),
    "body without a length": (OK + OWN_ID + b"\r\n", KIB),
    "chunked body": (OK + OWN_ID + CHUNKED, CHUNK),
    "chunks of two bytes": (OK + OWN_ID + CHUNKED, b"2\r\nxx\r\n"),
    "chunk extension": (OK + OWN_ID + CHUNKED + b"1;", KIB),
    "chunk extensions": (OK + OWN_ID + CHUNKED, b"1;" + KIB + b"\r\nx\r\n"),
    "trailers": (OK + OWN_ID + CHUNKED + b"0\r\n", b"x-filler: x\r\n"),
    "response to another request": (OK + OTHER_ID + ENDLESS_LENGTH, KIB),
    "chunked response to another request": (OK + OTHER_ID + CHUNKED, CHUNK),
    "responses to other requests": (b"", EMPTY_OTHER_RESPONSE),
    "event without an end": (
        OK + OWN_ID + EVENT_STREAM + b"\r\n",
        b"data: " + KIB + b"\n",
    ),
    "comments": (OK + OWN_ID + EVENT_STREAM + CHUNKED, b"8\r\n: ping\n\n\r\n"),
    "events without end": (
        OK + OWN_ID + EVENT_STREAM + CHUNKED,
        b"10\r\nid: 1\ndata: ab\n\n\r\n",
    ),
}


@pytest.mark.parametrize("kind", ENDLESS_RESPONSES)
def test_endless_response_is_interrupted_before_the_deadline(run_on_reactor, kind):
    """Guards against requests held past their deadline and exhausted memory."""
    server = EndlessServer(*ENDLESS_RESPONSES[kind])
    result = run_on_reactor(
        READ_RESPONSE,
        server.address,
        str(CLIENT_ADDRESS_SPACE_BYTES),
        str(DEADLINE_S),
    )
    assert result["outcome"] not in (
        "complete",
        "held until the deadline",
        "out of memory",
    ), result
    assert result["elapsed_s"] < DEADLINE_S, result
    assert result["growth_bytes"] < MAX_GROWTH_BYTES, result
    assert result["open"] == 0, result
    assert server.closed.wait(5)


# Memory of a router's host less what a router without requests takes.
MAX_SUM_GROWTH_BYTES = 83 * 1000 * 1000
CONNECTIONS_AT_ONCE = 250
# A sound response is read beside them. Its reader is slower than the endless servers.
READ_MANY_RESPONSES = (
    MEASURE
    + """
    COUNT = int(sys.argv[4])
    async def read_one(pool, address, deadline_s):
        clock = asyncio.get_running_loop().time
        connection = await pool.open(address, 5.0)
        headers = [(b"host", b"e"), (b"x-id", b"r1")]
        connection.send(b"GET", b"/", headers, b"", b"x-id", b"r1")
        parts = []
        while (left_s := deadline_s - clock()) > 0:
            event = await connection.next_event(left_s)
            if isinstance(event, ResponseData):
                parts.append(event.data)
            if isinstance(event, ResponseInterrupted):
                break
            if isinstance(event, ResponseEnd):
                return "complete"
        connection.abort()
        return "interrupted" if event else "held until the deadline"

    async def read(pool, address, deadline_s):
        # The machine may be busy.
        deadline_s = asyncio.get_running_loop().time() + 10.0
        sound = asyncio.ensure_future(read_one(pool, sys.argv[5], deadline_s))
        await asyncio.sleep(0.3)
        endless = [read_one(pool, address, deadline_s) for _ in range(COUNT)]
        outcomes = await asyncio.gather(*endless)
        return [await sound, sorted(set(outcomes))]
    run(lambda: measure(read))
"""
)


class SlowServer:
    """Server that answers with a large body in two halves."""

    def __init__(self) -> None:
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._answer, daemon=True).start()

    def _answer(self) -> None:
        connection, _ = self._listener.accept()
        connection.recv(4096)
        half = KIB * 1024
        length = b"Content-Length: %d\r\n\r\n" % (2 * len(half))
        connection.sendall(OK + OWN_ID + length + half)
        time.sleep(3.0)
        connection.sendall(half)


@pytest.mark.parametrize(
    "kind", ["body with a length", "body without a length", "chunked body"]
)
def test_endless_responses_are_bounded_together(run_on_reactor, kind):
    """Guards against memory filled by many responses that are small by themselves."""
    server, sound = EndlessServer(*ENDLESS_RESPONSES[kind]), SlowServer()
    result = run_on_reactor(
        READ_MANY_RESPONSES,
        server.address,
        str(CLIENT_ADDRESS_SPACE_BYTES),
        str(DEADLINE_S),
        str(CONNECTIONS_AT_ONCE),
        sound.address,
    )
    assert result["outcome"] == ["complete", ["interrupted"]], result
    assert result["growth_bytes"] < MAX_SUM_GROWTH_BYTES, result
    assert result["open"] == 0, result


HEADER_COUNT = 10_000
MANY_HEADERS = OK + OWN_ID + b"a:b\r\n" * HEADER_COUNT


@pytest.mark.parametrize("kind", ["headers of two bytes", "header line that stalls"])
def test_heads_are_bounded_together(run_on_reactor, kind):
    """Guards against memory filled by the heads of many responses."""
    # A head that stalls is just below the limit of a single one.
    head = {
        "headers of two bytes": MANY_HEADERS + ENDLESS_LENGTH,
        "header line that stalls": OK + b"x-filler: " + KIB * 63,
    }
    server = EndlessServer(head[kind], b"x", delay_s=0.5)
    result = run_on_reactor(
        READ_MANY_RESPONSES,
        server.address,
        str(CLIENT_ADDRESS_SPACE_BYTES),
        str(DEADLINE_S),
        str(4 * CONNECTIONS_AT_ONCE),
        SlowServer().address,
    )
    assert result["outcome"][0] == "complete", result
    assert result["growth_bytes"] < MAX_SUM_GROWTH_BYTES, result
    assert result["open"] == 0, result


# The caller of each request is slower than its endpoint.
LEAVE_UNREAD = (
    MEASURE
    + """
    async def read(pool, address, deadline_s):
        for _ in range(20):
            connection = await pool.open(address, 1.0)
            connection.send(b"GET", b"/", [(b"host", b"e")], b"")
        await asyncio.sleep(1.0)
        return "unread"
    run(lambda: measure(read))
"""
)


def test_unread_responses_take_little_memory(run_on_reactor):
    """Guards against memory filled by endpoints that are faster than the callers."""
    server = EndlessServer(*ENDLESS_RESPONSES["body with a length"])
    result = run_on_reactor(
        LEAVE_UNREAD,
        server.address,
        str(CLIENT_ADDRESS_SPACE_BYTES),
        str(DEADLINE_S),
    )
    assert result["growth_bytes"] < MAX_GROWTH_BYTES, result


CALL = (
    MEASURE
    + """
    async def read(pool, address, deadline_s):
        try:
            await pool.call(address, b"GET", b"/", [], b"", 0.5, 0.5, 1.0)
        except (ConnectError, ConnectionBrokenError) as error:
            return str(error)
    run(lambda: measure(read))
"""
)


@pytest.mark.parametrize(
    ("kind", "is_early"),
    [
        ("bytes that are not HTTP", True),
        ("body with a length", True),
        ("body with a length", False),
        ("body without a length", False),
        ("chunks of two bytes", False),
        ("informational responses", False),
    ],
)
def test_call_to_an_endless_endpoint_fails(run_on_reactor, kind, is_early):
    """Guards against leader tasks that wait for one endpoint or fill the memory."""
    server = EndlessServer(*ENDLESS_RESPONSES[kind], is_early)
    result = run_on_reactor(
        CALL,
        server.address,
        str(CLIENT_ADDRESS_SPACE_BYTES),
        str(DEADLINE_S),
    )
    assert result["outcome"], result
    assert result["elapsed_s"] < DEADLINE_S, result
    assert result["growth_bytes"] < MAX_GROWTH_BYTES, result
    assert result["open"] == 0, result
    assert server.closed.wait(5)


ENDPOINT_CALL = (
    MEASURE
    + """
    async def read(pool, address, deadline_s):
        try:
            await HttpEndpointClient().call(
                address, "GET", "/", {}, b"", 1000, 65_536,
                pooled=sys.argv[4] == "pooled")
        except EndpointError as error:
            return error.reason
    run(lambda: measure(read))
"""
)
# Reads as a relay does, up to its idle timeout.
ENDPOINT_STREAM = (
    MEASURE
    + """
    async def read(pool, address, deadline_s):
        clock = asyncio.get_running_loop().time
        try:
            stream = await HttpEndpointClient().open_stream(address, {}, 1000, 16)
            while clock() < deadline_s:
                if await stream.next_chunk(1000) is None:
                    return "complete"
        except EndpointError as error:
            return error.reason
    run(lambda: measure(read))
"""
)
TO_CALLS = {
    "status line": "connection_lost",
    "header line": "connection_lost",
    "header lines": "connection_lost",
    "informational responses": "connection_lost",
    "body with a length": "answer_too_large",
    "body without a length": "answer_too_large",
    "chunked body": "answer_too_large",
    "chunk extension": "connection_lost",
    "chunk extensions": "connection_lost",
    "trailers": "connection_lost",
}


ANSWERS = [("unpooled", kind) for kind in TO_CALLS]
ANSWERS += [("pooled", "header lines"), ("pooled", "chunked body")]


@pytest.mark.parametrize(("pooling", "kind"), ANSWERS)
def test_endless_answer_fails_the_call(run_on_reactor, kind, pooling):
    """Guards against health checks and calls that fill the memory."""
    server = EndlessServer(*ENDLESS_RESPONSES[kind])
    result = run_on_reactor(
        ENDPOINT_CALL,
        server.address,
        str(CLIENT_ADDRESS_SPACE_BYTES),
        str(DEADLINE_S),
        pooling,
    )
    assert result["elapsed_s"] < DEADLINE_S, result
    assert result["growth_bytes"] < MAX_GROWTH_BYTES, result
    assert server.closed.wait(2), result
    assert result["outcome"] == TO_CALLS[kind], result


# Counts the connections that the reactor reads after the call has failed.
CLOSED_AFTER_TIMEOUT = """
    async def main():
        before = len(reactor.getReaders())
        try:
            await HttpEndpointClient().call(
                sys.argv[1], "GET", "/", {}, b"", 500, 65_536)
        except EndpointError as error:
            await asyncio.sleep(0.5)
            return [error.reason, len(reactor.getReaders()) - before]
    run(main)
"""


@pytest.mark.parametrize(
    "kind", ["header lines", "body without a length", "chunked body"]
)
def test_steady_answer_without_end_closes_its_connection(run_on_reactor, kind):
    """Guards against connections that stay open after their call has failed."""
    server = EndlessServer(*ENDLESS_RESPONSES[kind], delay_s=0.1)
    result = run_on_reactor(
        CLOSED_AFTER_TIMEOUT,
        server.address,
    )
    assert result == ["timeout", 0]


# The engine does not read the whole request, so that a part of it stays unsent.
CLOSED_WITH_UNSENT_REQUEST = (
    MEASURE
    + """
    BODY = bytes(32_000_000)
    async def read(pool, address, deadline_s):
        before = len(reactor.getReaders()) + len(reactor.getWriters())
        try:
            await HttpEndpointClient().call(
                address, "POST", "/", {}, BODY, 1000, 65_536)
        except EndpointError as error:
            await asyncio.sleep(1.0)
            after = len(reactor.getReaders()) + len(reactor.getWriters())
            return [error.reason, after - before]
    run(lambda: measure(read))
"""
)


@pytest.mark.parametrize(
    ("kind", "reason"),
    [
        # The answer is passed on once the request is sent.
        ("body without a length", "timeout"),
        ("chunked body", "timeout"),
        ("header lines", "connection_lost"),
    ],
)
def test_endless_answer_to_an_unread_request_closes_its_connection(
    run_on_reactor, kind, reason
):
    """Guards against connections that wait to send the rest of a request."""
    server = EndlessServer(*ENDLESS_RESPONSES[kind])
    result = run_on_reactor(
        CLOSED_WITH_UNSENT_REQUEST, server.address, str(CLIENT_ADDRESS_SPACE_BYTES), "0"
    )
    assert result["outcome"] == [reason, 0], result
    assert result["growth_bytes"] < MAX_GROWTH_BYTES, result
    assert server.closed.wait(2)


TO_STREAMS = {
    "status line": "connection_lost",
    "header lines": "connection_lost",
    "informational responses": "connection_lost",
    "body without a length": "line_too_long",
    "chunked body": "line_too_long",
    "chunk extension": "connection_lost",
    "trailers": "connection_lost",
    "comments": "idle_timeout",
}


@pytest.mark.parametrize("kind", TO_STREAMS)
def test_endless_stream_fails_its_attempt(run_on_reactor, kind):
    """Guards against relays that fill the memory with bytes that are no event."""
    server = EndlessServer(*ENDLESS_RESPONSES[kind])
    result = run_on_reactor(
        ENDPOINT_STREAM,
        server.address,
        str(CLIENT_ADDRESS_SPACE_BYTES),
        str(DEADLINE_S),
    )
    assert result["outcome"] == TO_STREAMS[kind], result
    assert result["growth_bytes"] < MAX_GROWTH_BYTES, result
    assert server.closed.wait(2), result


UNREAD_STREAMS = (
    MEASURE
    + """
    async def read(pool, address, deadline_s):
        client = HttpEndpointClient()
        streams = [
            await client.open_stream(address, {}, 5000, 16) for _ in range(20)]
        await asyncio.sleep(2.0)
        return len([await stream.next_chunk(1000) for stream in streams])
    run(lambda: measure(read))
"""
)
LARGE_CHUNK = b'data: {"text": "' + KIB * 200 + b'"}\n\n'


def test_unread_engine_streams_take_little_memory(run_on_reactor):
    """Guards against memory filled by a few large events of each stream."""
    server = EndlessServer(OK + EVENT_STREAM + b"\r\n", LARGE_CHUNK)
    result = run_on_reactor(
        UNREAD_STREAMS,
        server.address,
        str(CLIENT_ADDRESS_SPACE_BYTES),
        str(DEADLINE_S),
    )
    assert result["outcome"] == 20, result
    assert result["growth_bytes"] < MAX_GROWTH_BYTES, result


class ExcessServer(EndlessServer):
    """Server whose first answer is complete and followed by bytes without end.

    Args:
        answer: Sent for the first request.
        begin: ``"at once"``, ``"idle"`` (after a while) or ``"in use"`` (after another
            request).
        delay_s: Time between two parts.
    """

    def __init__(self, answer: bytes, begin: str, delay_s: float = 0.0):
        self._begin = begin
        super().__init__(answer, KIB, delay_s=delay_s)

    def _send(self, connection: socket.socket) -> None:
        try:
            connection.recv(4096)
            connection.sendall(self._head)
            if self._begin == "idle":
                time.sleep(0.3)
            elif self._begin == "in use":
                connection.recv(4096)
            while True:
                connection.sendall(self._parts)
                time.sleep(self._delay_s)
        except OSError:
            self.closed.set()


CALL_TWICE = (
    MEASURE
    + """
    METHOD = sys.argv[4]
    async def call_pool(pool, address):
        return await pool.call(address, METHOD.encode(), b"/", [], b"", 0.5, 0.5, 1.0)

    client = None
    async def call_client(pool, address):
        global client
        client = client or HttpEndpointClient()
        answer = await client.call(
            address, METHOD, "/", {}, b"", 1000, 65_536, pooled=True)
        return answer.status, answer.body

    async def read(pool, address, deadline_s):
        call = {"pool": call_pool, "client": call_client}[sys.argv[5]]
        before = len(reactor.getReaders())
        status, body = await call(pool, address)
        await asyncio.sleep(0.1)
        try:
            await call(pool, address)
        except (ConnectError, ConnectionBrokenError, EndpointError):
            pass
        await asyncio.sleep(1.0)
        return [status, len(body), len(reactor.getReaders()) - before]
    run(lambda: measure(read))
"""
)
EMPTY_ANSWER = OK + b"Content-Length: 0\r\n\r\n"
EXCESS = {
    "after an answer": ("GET", EMPTY_ANSWER, "at once", 0.0),
    "while idle": ("GET", EMPTY_ANSWER, "idle", 0.0),
    "while idle, slowly": ("GET", EMPTY_ANSWER, "idle", 0.2),
    "while in use": ("GET", EMPTY_ANSWER, "in use", 0.0),
    "while in use, slowly": ("GET", EMPTY_ANSWER, "in use", 0.2),
    "body to HEAD": ("HEAD", OK + b"Content-Length: 1000000\r\n\r\n", "at once", 0.0),
    "body of 204": ("GET", b"HTTP/1.1 204 No Content\r\n\r\n", "at once", 0.0),
}


@pytest.mark.parametrize("caller", ["pool", "client"])
@pytest.mark.parametrize("kind", EXCESS)
def test_bytes_after_an_answer_end_its_connection(run_on_reactor, kind, caller):
    """Guards against kept connections whose bytes belong to no request."""
    method, answer, begin, delay_s = EXCESS[kind]
    server = ExcessServer(answer, begin, delay_s)
    result = run_on_reactor(
        CALL_TWICE,
        server.address,
        str(CLIENT_ADDRESS_SPACE_BYTES),
        str(DEADLINE_S),
        method,
        caller,
    )
    status = 204 if kind == "body of 204" else 200
    assert result["outcome"] == [status, 0, 0], result
    assert result["growth_bytes"] < MAX_GROWTH_BYTES, result
    assert server.closed.wait(2), result


CALL_MANY = (
    MEASURE
    + """
    async def read(pool, address, deadline_s):
        client = HttpEndpointClient()
        async def call():
            try:
                await client.call(address, "GET", "/", {}, b"", 8000, 4_194_304)
            except EndpointError as error:
                return error.reason
        return sorted(set(await asyncio.gather(*[call() for _ in range(100)])))
    run(lambda: measure(read))
"""
)


def test_answers_to_calls_are_bounded_together(run_on_reactor):
    """Guards against memory filled by the answers of many endpoints at once."""
    server = EndlessServer(*ENDLESS_RESPONSES["body without a length"])
    result = run_on_reactor(
        CALL_MANY, server.address, str(CLIENT_ADDRESS_SPACE_BYTES), str(DEADLINE_S)
    )
    assert result["outcome"] == ["answer_too_large"], result
    assert result["growth_bytes"] < MAX_SUM_GROWTH_BYTES, result
