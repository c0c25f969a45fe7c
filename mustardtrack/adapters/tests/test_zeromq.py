"""Guards against lost replies, malformed frames and waits for a dead peer."""

import asyncio
import socket
from contextlib import asynccontextmanager

import pytest
import zmq

from mustardtrack.adapters.zeromq import Bus, BusTimeoutError


def free_address():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


@asynccontextmanager
async def two_buses():
    addresses = [free_address(), free_address()]
    buses = [Bus(f"bus-{number}", addresses[number]) for number in range(2)]
    for bus in buses:
        bus.start()
    try:
        yield buses, addresses
    finally:
        for bus in buses:
            await bus.stop()


def test_replies_out_of_order_reach_their_own_requests():
    async def scenario():
        async with two_buses() as (buses, addresses):

            async def echo(sender, body):
                await asyncio.sleep(0.05 if body == b"slow" else 0)
                return sender.encode() + body

            buses[1].handle("echo", echo)
            return await asyncio.gather(
                buses[0].request(addresses[1], "echo", b"slow", 5000),
                buses[0].request(addresses[1], "echo", b"fast", 5000),
            )

    assert asyncio.run(scenario()) == [b"bus-0slow", b"bus-0fast"]


def test_request_to_an_absent_peer_times_out():
    async def scenario():
        async with two_buses() as (buses, _):
            with pytest.raises(BusTimeoutError, match="did not answer"):
                await buses[0].request(free_address(), "echo", b"", 100)

    asyncio.run(scenario())


def test_malformed_frame_and_failing_handler_do_not_stop_the_bus():
    async def scenario():
        async with two_buses() as (buses, addresses):

            async def fail_or_echo(sender, body):
                if body == b"fail":
                    raise ValueError("test")
                return body

            buses[1].handle("echo", fail_or_echo)
            invalid_sender = zmq.Context.instance().socket(zmq.DEALER)
            invalid_sender.connect(f"tcp://{addresses[1]}")
            invalid_sender.send(b"\xc1 not an envelope")
            invalid_sender.close(linger=100)
            with pytest.raises(BusTimeoutError):
                await buses[0].request(addresses[1], "echo", b"fail", 100)
            return await buses[0].request(addresses[1], "echo", b"again", 5000)

    assert asyncio.run(scenario()) == b"again"


@pytest.mark.parametrize("loop_iterations", range(6))
def test_request_that_is_answered_and_cancelled_at_once_is_cancelled(loop_iterations):
    """Guards against a cancellation that is lost when the reply has just arrived.

    A task that sends requests in a loop would then go on, and a graceful shutdown
    that waits for it would never end.
    """

    async def scenario():
        async with two_buses() as (buses, addresses):

            async def echo(sender, body):
                return body

            buses[1].handle("echo", echo)
            await buses[0].request(addresses[1], "echo", b"", 5000)
            task = asyncio.ensure_future(
                buses[0].request(addresses[1], "silent", b"", 5000)
            )
            await asyncio.sleep(0.05)
            peer = buses[0]._peers[addresses[1]]
            request_id = next(iter(peer._pending_replies))
            peer.complete_request(request_id, b"late")
            for _ in range(loop_iterations):
                await asyncio.sleep(0)
            was_done = task.done()
            task.cancel()
            await asyncio.wait([task])
            return was_done or task.cancelled()

    assert asyncio.run(scenario())
