"""Delivery of a request whose response ends with its connection.

An endpoint may end its sending before it has read the whole request. A response without
a length is complete then only if the endpoint takes the rest of the request too: one
that resets the connection has broken off.
"""

import array
import asyncio
import fcntl
import socket
import termios
from collections.abc import Callable
from typing import Any

# Interval at which the kernel is asked what the endpoint has not acknowledged.
POLL_S = 0.002


class DeliveryCheck:
    """Waits until a half-closed connection has delivered the request or was reset.

    Call :meth:`begin` once the endpoint has ended its sending, and :meth:`check` when
    the transport reports that its writing side is closed.

    Args:
        transport: Transport of the connection.
        on_delivered: Called once the endpoint has acknowledged the whole request.
        on_reset: Called if the connection was reset before that.
        is_ended: Returns whether the connection has ended in another way.
    """

    def __init__(
        self,
        transport: Any,
        on_delivered: Callable[[], None],
        on_reset: Callable[[], None],
        is_ended: Callable[[], bool],
    ):
        self._transport = transport
        self._on_delivered = on_delivered
        self._on_reset = on_reset
        self._is_ended = is_ended

    def begin(self) -> None:
        """Send the rest of the request and close the writing side.

        The transport reports a failure to write as a lost connection.
        """
        self._transport.loseWriteConnection()

    def check(self) -> None:
        """Report the result, or check again later while there is none."""
        if self._is_ended():
            return
        handle = self._transport.getHandle()
        if handle.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            self._on_reset()
        elif count_unacknowledged(handle):
            asyncio.get_running_loop().call_later(POLL_S, self.check)
        else:
            self._on_delivered()


def count_unacknowledged(handle: socket.socket) -> int:
    """Return the bytes that the kernel holds because they are not acknowledged.

    Returns 0 where the kernel does not tell.
    """
    count = array.array("i", [0])
    try:
        # The number of SIOCOUTQ is that of TIOCOUTQ.
        fcntl.ioctl(handle, termios.TIOCOUTQ, count)
    except OSError:
        return 0
    return count[0]
