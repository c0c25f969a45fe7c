"""Loopback subnets for deployments that run at the same time on one machine."""

import random
import socket

# Third octets to choose from; 127.0.0.x is left to single servers of tests.
OCTETS = range(2, 250)
# A listening socket on this port of the subnet's first address marks it as in use.
RESERVATION_PORT = 18707
MAX_TRIES = 500


class NoFreeSubnetError(Exception):
    """All tried subnets are in use; end other soaks and tests and repeat the run."""


class Subnet:
    """Reserved loopback subnet 127.0.N.x; other processes choose another one.

    The reservation ends with ``release`` or with the process.

    Args:
        octet: Third octet to reserve; None draws a free one.

    Raises:
        NoFreeSubnetError: If the subnet, or every drawn one, is in use.

    Examples:
        >>> with Subnet() as first, Subnet() as second:
        ...     first.octet == second.octet
        False
    """

    def __init__(self, octet: int | None = None):
        self.octet, self._socket = _reserve(octet)

    def __enter__(self) -> "Subnet":
        return self

    def __exit__(self, *exception: object) -> None:
        self.release()

    def address(self, host: int) -> str:
        """Return the address of a host by its last octet."""
        return f"127.0.{self.octet}.{host}"

    def release(self) -> None:
        """Let other processes reserve the subnet."""
        self._socket.close()


def _reserve(octet: int | None) -> tuple[int, socket.socket]:
    # Not seeded: runs with the same seed must draw different subnets.
    choices = random.SystemRandom().choices(OCTETS, k=MAX_TRIES)
    for choice in choices if octet is None else [octet]:
        try:
            return choice, socket.create_server((f"127.0.{choice}.1", RESERVATION_PORT))
        except OSError:
            continue  # Another process has reserved it.
    raise NoFreeSubnetError("no free subnet of 127.0.0.0/8; end other soaks or tests")
