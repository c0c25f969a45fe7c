"""Initial formation of the control group by an operator or by the seeds."""

import asyncio
from collections.abc import Mapping
from typing import Any

import msgspec

from mustardtrack.adapters.zeromq import Bus, BusTimeoutError
from mustardtrack.agreement import (
    FormationRefusedError,
    ReplicaId,
    plan_formation,
)
from mustardtrack.ports import FormReply, FormRequest
from mustardtrack.process.replica_task import ReplicaTask

FORM_TIMEOUT_MS = 3000


async def form_group(
    bus: Bus, addresses: Mapping[str, str], timeout_ms: int = FORM_TIMEOUT_MS
) -> list[tuple[str, str]]:
    """Form the control group from all configured replicas.

    An interrupted formation can be repeated. An existing group cannot be formed a
    second time with empty disks.

    Args:
        bus: Message bus.
        addresses: Bus address of each control replica by its name.
        timeout_ms: Time-out of the request to one replica.

    Returns:
        Name and disk identity of each voter.

    Raises:
        FormationRefusedError: If a replica does not answer or belongs to another
            group.
    """

    async def request_all(request: FormRequest) -> list[FormReply]:
        return await asyncio.gather(
            *(
                _request_form(bus, name, address, request, timeout_ms)
                for name, address in addresses.items()
            )
        )

    voters = plan_formation(list(addresses), await request_all(FormRequest()))
    pairs = [(voter.name, voter.disk) for voter in voters]
    await request_all(FormRequest(pairs))
    return pairs


async def _request_form(
    bus: Bus, name: str, address: str, request: FormRequest, timeout_ms: int
) -> FormReply:
    body = msgspec.msgpack.encode(request)
    try:
        answer = await bus.request(address, "form", body, timeout_ms)
    except BusTimeoutError as error:
        raise FormationRefusedError(
            f"{name} does not answer at {address}; start it and repeat the formation"
        ) from error
    return msgspec.msgpack.decode(answer, type=FormReply)


async def handle_form_request(
    task: ReplicaTask[Any], replica_id: ReplicaId, body: bytes
) -> bytes:
    """Answer a formation request, and store the voters if it contains them."""
    request = msgspec.msgpack.decode(body, type=FormRequest)
    if request.voters:
        await task.form(tuple(ReplicaId(*pair) for pair in request.voters))
    status = task.status()
    voters = [(voter.name, voter.disk) for voter in status.voters]
    return msgspec.msgpack.encode(
        FormReply(replica_id.name, replica_id.disk, status.formed, voters)
    )
