"""Client of the control group for routers and control processes."""

import asyncio
from collections.abc import Sequence

import msgspec

from mustardtrack.adapters.zeromq import Bus, BusTimeoutError
from mustardtrack.configuration import Command, Outcome, decode_outcome, encode_command
from mustardtrack.ports import CommandReply, CommandRequest
from mustardtrack.settings import ControlPeer

ATTEMPT_TIMEOUT_MS = 500
RETRY_DELAY_MS = 50


class ControlUnavailableError(Exception):
    """No leader confirmed the command in time; it may still be committed.

    Resend it with the same command id to learn its result.
    """


class ControlClient:
    """Submits commands to the leader, which it finds by asking the replicas.

    Args:
        bus: Message bus of this process.
        replicas: The control replicas.
    """

    def __init__(self, bus: Bus, replicas: Sequence[ControlPeer]):
        self._bus = bus
        self._addresses = {peer.name: peer.bus for peer in replicas}
        self._names = [peer.name for peer in replicas]
        self._next_replica = 0

    async def submit(self, command: Command, timeout_ms: int) -> Outcome:
        """Commit a command and return its outcome.

        The command carries its own id, so resending it after a lost answer or a
        change of leader does not apply it twice.

        Raises:
            ControlUnavailableError: If it was not confirmed within ``timeout_ms``.
        """
        body = msgspec.msgpack.encode(CommandRequest(encode_command(command)))
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_ms / 1000
        while (remaining := deadline - loop.time()) > 0:
            wait_ms = min(ATTEMPT_TIMEOUT_MS, max(1, int(remaining * 1000)))
            reply = await self._submit_once(body, wait_ms)
            if reply.status == "committed":
                return decode_outcome(reply.outcome)
            await asyncio.sleep(RETRY_DELAY_MS / 1000)
        raise ControlUnavailableError(
            f"no control replica confirmed the command within {timeout_ms} ms, resend "
            "it with the same command id"
        )

    async def _submit_once(self, body: bytes, timeout_ms: int) -> CommandReply:
        name = self._names[self._next_replica]
        try:
            answer = await self._bus.request(
                self._addresses[name], "command", body, timeout_ms
            )
        except BusTimeoutError:
            self._select_replica("")
            return CommandReply("unknown")
        reply = msgspec.msgpack.decode(answer, type=CommandReply)
        if reply.status == "not_leader":
            self._select_replica(reply.leader)
        return reply

    def _select_replica(self, leader: str) -> None:
        """Select the leader, or the next replica if ``leader`` is unknown or empty."""
        if leader in self._addresses and leader != self._names[self._next_replica]:
            self._next_replica = self._names.index(leader)
        else:
            self._next_replica = (self._next_replica + 1) % len(self._names)
