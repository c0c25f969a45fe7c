"""Tells when the process at an address of the bus has ended.

A lost connection alone may be a fault of the network. That a process has ended is known
once its host refuses new connections, because a process listens at its address from its
start to its end. A host without power or behind a partition does not answer at all,
which proves nothing.
"""

import asyncio
from collections.abc import Callable

from mustardtrack.ports import Clock
from mustardtrack.settings.seeded import split_address

# Delays before each attempt to connect after a connection was lost. A process that is
# being killed may accept connections for a moment after it has closed others.
PROBE_DELAYS_S = (0.0, 0.005, 0.02, 0.05, 0.1, 0.2)
PROBE_TIMEOUT_S = 0.5


class ProcessWatch:
    """Probes processes whose connection was lost.

    Args:
        clock: Clock of the listener's times.
        on_end: Called as ``on_end(address, probed_ms)`` after each probe that was
            refused; ``probed_ms`` is when the probe began.
    """

    def __init__(self, clock: Clock, on_end: Callable[[str, int], None]):
        self._clock = clock
        self._on_end = on_end
        self._probes: dict[str, asyncio.Task[None]] = {}

    def record_lost_connection(self, address: str) -> None:
        """Probe the process at an address, unless that is being done."""
        if address not in self._probes:
            probe = asyncio.ensure_future(self._probe_repeatedly(address))
            self._probes[address] = probe
            probe.add_done_callback(lambda _: self._probes.pop(address, None))

    def stop(self) -> None:
        """End all probes."""
        for probe in self._probes.values():
            probe.cancel()

    async def _probe_repeatedly(self, address: str) -> None:
        for delay_s in PROBE_DELAYS_S:
            await asyncio.sleep(delay_s)
            probed_ms = self._clock.now_ms()
            if await refuses_connections(address):
                self._on_end(address, probed_ms)


async def refuses_connections(address: str) -> bool:
    """Return whether the host of an address ``IP:PORT`` refuses connections to it."""
    host, port = split_address(address)
    try:
        async with asyncio.timeout(PROBE_TIMEOUT_S):
            _, writer = await asyncio.open_connection(host, port)
    except ConnectionRefusedError:
        return True
    except OSError:  # Among them is TimeoutError.
        return False
    writer.transport.abort()
    return False
