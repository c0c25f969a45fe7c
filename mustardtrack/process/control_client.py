"""Client of the control group, used by routers and by control processes."""

import asyncio
from collections.abc import Sequence

import msgspec

from mustardtrack.adapters.zeromq import Bus, BusTimeoutError
from mustardtrack.configuration import Command, Outcome, decode_outcome, encode_command
from mustardtrack.ports import CommandReply, CommandRequest
from mustardtrack.settings import ControlPeer

ATTEMPT_TIMEOUT_MS = 500
PAUSE_MS = 50


class ControlUnavailableError(Exception):
    """No leader confirmed the command in time; it may still take effect.

    Send it again under the same identity to learn its result.
    """


class ControlClient:
    """Submits commands to the leader, wherever it is.

    Args:
        bus: Message bus of this process.
        replicas: The control replicas.
    """

    def __init__(self, bus: Bus, replicas: Sequence[ControlPeer]):
        self._bus = bus
        self._addresses = {peer.name: peer.bus for peer in replicas}
        self._names = [peer.name for peer in replicas]
        self._next = 0

    async def submit(self, command: Command, timeout_ms: int) -> Outcome:
        """Commit a command and return its outcome.

        The command carries its own identity, so sending it again after a lost
        answer or a change of leader does not apply it twice.

        Raises:
            ControlUnavailableError: If it was not confirmed within ``timeout_ms``.
        """
        body = msgspec.msgpack.encode(CommandRequest(encode_command(command)))
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_ms / 1000
        while (remaining := deadline - loop.time()) > 0:
            wait_ms = min(ATTEMPT_TIMEOUT_MS, max(1, int(remaining * 1000)))
            reply = await self._ask(body, wait_ms)
            if reply.status == "committed":
                return decode_outcome(reply.outcome)
            await asyncio.sleep(PAUSE_MS / 1000)
        raise ControlUnavailableError(
            f"no control replica confirmed the command within {timeout_ms} ms, send it "
            "again under the same identity"
        )

    async def _ask(self, body: bytes, timeout_ms: int) -> CommandReply:
        name = self._names[self._next]
        try:
            answer = await self._bus.request(
                self._addresses[name], "command", body, timeout_ms
            )
        except BusTimeoutError:
            self._advance("")
            return CommandReply("unknown")
        reply = msgspec.msgpack.decode(answer, type=CommandReply)
        if reply.status == "not_leader":
            self._advance(reply.leader)
        return reply

    def _advance(self, leader: str) -> None:
        if leader in self._addresses and leader != self._names[self._next]:
            self._next = self._names.index(leader)
        else:
            self._next = (self._next + 1) % len(self._names)
