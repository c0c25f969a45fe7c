"""Guards against callers that fill the memory of a router or hold its connections.

Each run has a server process of its own, and its callers in the same process.
"""

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
