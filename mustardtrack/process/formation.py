"""First formation of the control group, started by an operator."""

import asyncio

import msgspec

from mustardtrack.adapters.zeromq import Bus, BusTimeoutError
from mustardtrack.agreement import FormationRefusedError, plan_formation
from mustardtrack.ports import FormReply, FormRequest
from mustardtrack.settings import ControlPeer

FORM_TIMEOUT_MS = 3000


async def form_group(bus: Bus, peers: list[ControlPeer]) -> list[tuple[str, str]]:
    """Form the control group from all configured replicas.

    A step that was interrupted can be repeated. A group that exists cannot be
    formed a second time with empty disks.

    Args:
        bus: Message bus.
        peers: All control replicas of the settings.

    Returns:
        Name and disk identity of each voter.

    Raises:
        FormationRefusedError: If a replica does not answer or belongs to another
            group.
    """
    replies = await asyncio.gather(*(_ask(bus, peer, FormRequest()) for peer in peers))
    voters = plan_formation([peer.name for peer in peers], replies)
    pairs = [(voter.name, voter.disk) for voter in voters]
    await asyncio.gather(*(_ask(bus, peer, FormRequest(pairs)) for peer in peers))
    return pairs


async def _ask(bus: Bus, peer: ControlPeer, request: FormRequest) -> FormReply:
    body = msgspec.msgpack.encode(request)
    try:
        answer = await bus.request(peer.bus, "form", body, FORM_TIMEOUT_MS)
    except BusTimeoutError as error:
        raise FormationRefusedError(
            f"{peer.name} does not answer at {peer.bus}; start it and form again"
        ) from error
    return msgspec.msgpack.decode(answer, type=FormReply)
