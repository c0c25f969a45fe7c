"""Guards against callers that fill the memory of a router or hold its connections.

Each run has a server process of its own, and its callers in the same process.
"""

import pytest

# Memory of a router's host less what a router without requests takes.
MAX_GROWTH_BYTES = 83 * 1000 * 1000

MEASURE = """
    import resource
    from mustardtrack.adapters.h11_server import HttpServer
    from mustardtrack.configuration.routes import CallerLimits

    def peak_bytes():
        return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1024

    class Caller:
        async def open(self, server):
            port = server._port.getHost().port
            self.reader, self.writer = await asyncio.open_connection(
                "127.0.0.1", port, limit=65_536)
            return self

        def send(self, data):
            self.writer.write(data)

        async def read_to_end(self, timeout_s):
            async with asyncio.timeout(timeout_s):
                try:
                    return (await self.reader.read(-1)).decode("latin-1")
                except ConnectionResetError:
                    return "reset"

    def serve(handler, **limits):
        server = HttpServer(handler, CallerLimits(**limits))
        server.listen(reactor, "127.0.0.1", 0)
        return server

    REQUEST = b"GET /x HTTP/1.1\\r\\nhost: a\\r\\n\\r\\n"
"""

LEAVE_UNREAD = (
    MEASURE
    + """
    BODY_BYTES, CALLERS = 4_000_000, 60

    async def main():
        def handle(exchange):
            exchange.respond(200, [(b"connection", b"close")], bytes(BODY_BYTES))
        server = serve(handle)
        before = peak_bytes()
        callers = []
        for _ in range(CALLERS):
            caller = await Caller().open(server)
            caller.reader._transport.pause_reading()
            caller.send(REQUEST)
            callers.append(caller)
            await asyncio.sleep(0.02)
        await asyncio.sleep(0.5)
        growth = peak_bytes() - before
        sound = await Caller().open(server)
        sound.send(REQUEST)
        answer = await sound.read_to_end(10.0)
        return [growth, len(answer) > BODY_BYTES]
    run(main)
"""
)


def test_unread_responses_are_bounded_together(run_on_reactor):
    """Guards against memory filled by answers to callers that do not read."""
    growth_bytes, is_answered = run_on_reactor(LEAVE_UNREAD)
    assert growth_bytes < MAX_GROWTH_BYTES
    assert is_answered


SEND_AHEAD = (
    MEASURE
    + """
    CALLERS, SECONDS = 4, 2.0

    async def main():
        release = asyncio.Event()
        async def handle(exchange):
            if exchange.path == "/x":
                await release.wait()
            exchange.respond(200, [], b"answer")
        server = serve(handle)
        before = peak_bytes()
        answers = []
        async def send_ahead():
            caller = await Caller().open(server)
            caller.send(REQUEST)
            block = (REQUEST.replace(b"/x", b"/y") * 2000)[:64 * 1024]
            end = asyncio.get_running_loop().time() + SECONDS
            while asyncio.get_running_loop().time() < end:
                try:
                    caller.send(block)
                    await asyncio.wait_for(caller.writer.drain(), 0.2)
                except TimeoutError:
                    pass
                if caller.writer.transport.get_write_buffer_size() > 200_000:
                    await asyncio.sleep(0.1)
            return caller
        callers = await asyncio.gather(*[send_ahead() for _ in range(CALLERS)])
        growth = peak_bytes() - before
        held = [len(one._http.trailing_data[0]) for one in server.connections]
        release.set()
        for caller in callers:
            data = b""
            while data.count(b"answer") < 1500:
                data += await asyncio.wait_for(caller.reader.read(65_536), 10.0)
            answers.append(data.count(b"200"))
        return [growth, max(held), min(answers)]
    run(main)
"""
)


def test_requests_sent_ahead_are_bounded_and_answered(run_on_reactor):
    """Guards against memory filled by a caller that does not wait for answers."""
    growth_bytes, held_bytes, answers = run_on_reactor(SEND_AHEAD)
    assert held_bytes <= 256 * 1024
    assert growth_bytes < 32_000_000
    assert answers >= 1500


# Sends the parts of a request one by one, and returns the answers and their time.
SLOW_REQUEST = (
    MEASURE
    + """
    import re, time
    PAUSE = b"\\r\\n" * 2
    LINE = b"\\r\\n"
    BODY_HEAD = LINE.join(
        [b"POST /x HTTP/1.1", b"host: a", b"content-length: 4000", b"", b""])
    FORMS = {
        "header that stalls": ([b"GET /x HTTP/1.1" + LINE + b"ho"], 0),
        "header that trickles": ([b"x"] * 100, 0.1),
        "body that stalls": ([BODY_HEAD, b"x"], 0),
        "body that trickles": ([BODY_HEAD] + [b"x"] * 100, 0.1),
        "second header that stalls": ([REQUEST, b"GET"], 0.2),
        "slow body": ([BODY_HEAD] + [b"x" * 500] * 8, 0.35),
        "slow header": ([REQUEST[:-2], REQUEST[-2:]], 0.4),
        "late second request": ([REQUEST, REQUEST], 0.6),
        "no request": ([], 0),
        "paused process": ([REQUEST[:-4], PAUSE], 0.1),
    }

    async def main():
        def handle(exchange):
            exchange.respond(200, [], b"answer")
        server = serve(handle, header_timeout_ms=800, idle_timeout_ms=int(sys.argv[2]))
        caller = await Caller().open(server)
        clock = asyncio.get_running_loop().time
        started_s = clock()
        parts, delay_s = FORMS[sys.argv[1]]
        async def send():
            for part in parts:
                caller.send(part)
                if part is PAUSE:
                    time.sleep(1.5)  # Both timers expire while nothing is read.
                await asyncio.sleep(delay_s)
        sending = asyncio.ensure_future(send())
        answer = await caller.read_to_end(9.0)
        elapsed_s = clock() - started_s
        sending.cancel()
        # The server learns of the end of its connection in the next round.
        await asyncio.sleep(0.05)
        statuses = [int(one) for one in re.findall("HTTP/1.1 ([0-9]+)", answer)]
        return [statuses, elapsed_s, len(server.connections)]
    run(main)
"""
)


@pytest.mark.parametrize(
    ("form", "idle_timeout_ms", "statuses", "least_s", "most_s"),
    [
        # Rejected before the idle timeout.
        ("header that stalls", 3000, [408], 0.7, 2.9),
        ("header that trickles", 3000, [408], 0.7, 2.9),
        ("second header that stalls", 3000, [200, 408], 0.9, 2.9),
        ("body that stalls", 1000, [408], 0.9, 3.9),
        # The whole request has four times the idle timeout.
        ("body that trickles", 1000, [408], 3.9, 8.0),
        # The idle timeout follows the last request.
        ("slow body", 1000, [200], 3.3, 8.0),
        ("slow header", 1000, [200], 1.3, 8.0),
        ("late second request", 1000, [200, 200], 1.5, 8.0),
        ("no request", 1000, [], 0.9, 8.0),
        ("paused process", 1000, [200], 1.5, 8.0),
    ],
)
def test_slow_requests_are_rejected_in_time(
    run_on_reactor, form, idle_timeout_ms, statuses, least_s, most_s
):
    """Guards against connections held by a part of a request, and sound ones cut."""
    answered, elapsed_s, connections = run_on_reactor(
        SLOW_REQUEST, form, str(idle_timeout_ms)
    )
    assert answered == statuses
    assert least_s <= elapsed_s <= most_s
    assert connections == 0


ANSWER_AT_ONCE = (
    MEASURE
    + """
    COUNT = 1500

    async def main():
        def handle(exchange):
            exchange.respond(200, [], b"answer")
        server = serve(handle)
        caller = await Caller().open(server)
        caller.send(REQUEST * COUNT)
        data = b""
        while data.count(b"answer") < COUNT:
            part = await asyncio.wait_for(caller.reader.read(65_536), 10.0)
            if not part:
                break
            data += part
        return data.count(b"answer")
    run(main)
"""
)


def test_requests_sent_ahead_are_answered_at_once(run_on_reactor):
    """Guards against a stack overflow in handlers that respond without waiting."""
    assert run_on_reactor(ANSWER_AT_ONCE) == 1500
