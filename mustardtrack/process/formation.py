"""First formation of the control group, started by an operator."""

import asyncio

import msgspec

from mustardtrack.adapters.zeromq import Bus, BusTimeoutError
from mustardtrack.ports import FormReply, FormRequest
from mustardtrack.settings import ControlPeer

FORM_TIMEOUT_MS = 3000


class FormationError(Exception):
    """The group was not formed; the message names the replica and the remedy."""


async def form_group(bus: Bus, peers: list[ControlPeer]) -> list[tuple[str, str]]:
    """Form the control group from all configured replicas.

    Every replica must answer that it is unformed or that it belongs to the very
    group that would be formed, so a step that was interrupted can be repeated
    and a group that exists cannot be formed a second time with empty disks.

    Args:
        bus: Message bus.
        peers: All control replicas of the settings.

    Returns:
        Name and disk identity of each voter.

    Raises:
        FormationError: If a replica does not answer or belongs to another group.
    """
    replies = await asyncio.gather(*(_ask(bus, peer, FormRequest()) for peer in peers))
    voters = sorted((reply.name, reply.disk) for reply in replies)
    for reply in replies:
        if reply.formed and sorted(reply.voters) != voters:
            raise FormationError(
                f"{reply.name} already belongs to a group with other disks; start "
                "the replicas of that group, a replica with an empty disk rejoins it "
                "by itself"
            )
    request = FormRequest(voters)
    await asyncio.gather(*(_ask(bus, peer, request) for peer in peers))
    return voters


async def _ask(bus: Bus, peer: ControlPeer, request: FormRequest) -> FormReply:
    body = msgspec.msgpack.encode(request)
    try:
        answer = await bus.request(peer.bus, "form", body, FORM_TIMEOUT_MS)
    except BusTimeoutError as error:
        raise FormationError(
            f"{peer.name} does not answer at {peer.bus}; start it and repeat the command"
        ) from error
    return msgspec.msgpack.decode(answer, type=FormReply)
