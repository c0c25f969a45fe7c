"""Guards against ends of processes that are missed, or taken from a fault of a link."""

import asyncio
import signal
import socket
import subprocess
import sys

import pytest

from mustardtrack.adapters.clock import SystemClock
from mustardtrack.adapters.processwatch import ProcessWatch, refuses_connections
from mustardtrack.adapters.zeromq import Bus

BUS_PROCESS = """
import asyncio, sys
from mustardtrack.adapters.zeromq import Bus

async def main():
    bus = Bus("peer", sys.argv[1])
    async def echo(sender, body):
        return body
    bus.handle("echo", echo)
    bus.start()
    print("started", flush=True)
    await asyncio.sleep(60)

asyncio.run(main())
"""
LIMIT_MS = 5000


def free_address():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


@pytest.fixture
def peer():
    """Start a bus in a process of its own."""
    address = free_address()
    process = subprocess.Popen(
        [sys.executable, "-c", BUS_PROCESS, address], stdout=subprocess.PIPE
    )
    assert process.stdout.readline() == b"started\n"
    yield address, process
    process.send_signal(signal.SIGCONT)
    process.kill()
    process.wait()
    process.stdout.close()


async def observe(address, disturb, duration_s):
    """Return the ends that are reported while a peer is disturbed."""
    clock, ends = SystemClock(), []
    watch = ProcessWatch(clock, lambda *end: ends.append(end))
    bus = Bus("observer", free_address())
    bus.report_lost_connections(watch.record_lost_connection)
    bus.start()
    try:
        assert await bus.request(address, "echo", b"x", LIMIT_MS) == b"x"
        began_ms = clock.now_ms()
        disturb()
        await asyncio.sleep(duration_s)
        assert all(began_ms <= probed_ms for _, probed_ms in ends)
        return {name for name, _ in ends}
    finally:
        watch.stop()
        await bus.stop()


def test_killed_process_is_reported(peer):
    """Guards against an end that shows only as an unanswered request."""
    address, process = peer
    assert asyncio.run(observe(address, process.kill, 0.3)) == {address}


def test_frozen_process_is_not_reported(peer):
    """Guards against a vote that is taken from a process that goes on later."""
    address, process = peer

    def freeze():
        process.send_signal(signal.SIGSTOP)

    assert asyncio.run(observe(address, freeze, 1.0)) == set()


def test_lost_connection_to_a_running_process_is_not_reported(peer):
    """Guards against a reset connection that passes for an end."""
    address, _ = peer

    async def scenario():
        ends = []
        watch = ProcessWatch(SystemClock(), lambda *end: ends.append(end))
        watch.record_lost_connection(address)
        await asyncio.sleep(0.6)
        watch.stop()
        return ends

    assert asyncio.run(scenario()) == []


def test_silent_host_is_not_reported():
    """Guards against a host without power that passes for an ended process."""
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        fillers = [socket.socket() for _ in range(3)]
        try:
            # Connections beyond the backlog get no answer.
            for filler in fillers:
                filler.setblocking(False)
                filler.connect_ex(listener.getsockname())
            assert asyncio.run(refuses_connections(address)) is False
        finally:
            for filler in fillers:
                filler.close()
