"""Account of a process over the resources of its host, and the listeners that obey it.

It also holds the check that refuses requests for lack of memory.
"""

import os
from collections.abc import Iterable
from pathlib import Path
from typing import Any

from mustardtrack.adapters.h11_server import Handler, HttpServer
from mustardtrack.admission.memoryaccount import MEMORY, MemoryAccount
from mustardtrack.process.attempt_state import AdmittedRequest
from mustardtrack.process.request_admission import Rejection
from mustardtrack.settings import split_address
from mustardtrack.settings.seeded import HostLimits

PROCESS = Path("/proc/self")


def open_account(limits: HostLimits) -> MemoryAccount:
    """Return the account of this process, which has begun no work yet."""
    if limits.memory_bytes is None and limits.descriptors is None:
        return MemoryAccount()
    pages = int((PROCESS / "statm").read_text().split()[1])
    return MemoryAccount.of_host(
        limits.memory_bytes,
        limits.descriptors,
        used_bytes=pages * os.sysconf("SC_PAGE_SIZE"),
        used_descriptors=len(list((PROCESS / "fd").iterdir())),
    )


def open_listeners(
    reactor: Any,
    addresses: Iterable[str | None],
    handler: Handler,
    limits: HostLimits,
) -> list[HttpServer]:
    """Listen on each different address; the listeners share one account.

    Args:
        reactor: Reactor of the process.
        addresses: Addresses ``IP:PORT``, None for those that are not set.
        handler: Handler of the requests.
        limits: Resources of the host.
    """
    account = open_account(limits)
    servers = []
    for address in dict.fromkeys(addresses):
        if address is not None:
            server = HttpServer(handler, account=account)
            server.listen(reactor, *split_address(address))
            servers.append(server)
    return servers


class MemoryCheck:
    """Refuses new work of the callers that hold the most, before it is sent on."""

    def __init__(self, account: MemoryAccount):
        self._account = account

    def __call__(self, admitted: AdmittedRequest, now_ms: int) -> Rejection | None:
        """Return why a request is refused, None if it is not."""
        account, exchange = self._account, admitted.exchange
        if not account.must_refuse(exchange.holder):
            return None
        fields: dict[str, object] = {
            "peer": exchange.peer,
            "held_bytes": account.held_bytes(exchange.holder),
            "total_bytes": account.total_bytes,
            "limit_bytes": account.limit_bytes,
        }
        return Rejection(MEMORY, fields=fields)
