"""Delivery of weight loads to engines by the leader of the control group."""

import asyncio
from typing import Any

import msgspec

from mustardtrack.adapters.endpoint_client import EndpointError, HttpEndpointClient
from mustardtrack.configuration import Configuration, FinishLoad, WeightLoad
from mustardtrack.logs import define_event, log_event
from mustardtrack.process.control_client import ControlClient, ControlUnavailableError
from mustardtrack.process.replica_task import ReplicaTask

LOAD_SENT = define_event(8711, "INFO", "weight load sent")
LOAD_ENDED = define_event(8712, "INFO", "weight load completed or failed")

LOAD_TIMEOUT_MS = 60_000
FINISH_TIMEOUT_MS = 10_000
POLL_PERIOD_MS = 100
MAX_ANSWER_BYTES = 65_536


class WeightLoadTask:
    """Sends pending weight loads while this replica is leader.

    A deposed leader may still send a load that the new leader also sends. Both carry
    the same fencing token: an engine that checks tokens treats the second one as a
    duplicate, an engine that does not check them loads the same weights twice.

    Args:
        replica: The replica task of this process.
        control: Client of the control group.
        http: HTTP client for endpoints.
    """

    def __init__(
        self,
        replica: ReplicaTask[Configuration],
        control: ControlClient,
        http: HttpEndpointClient,
    ):
        self._replica = replica
        self._control = control
        self._http = http
        self._deliveries: dict[str, asyncio.Task[None]] = {}

    async def run(self) -> None:
        """Send loads until cancelled."""
        while True:
            if self._replica.is_leader():
                for load in self._replica.state_machine.deliverable_loads():
                    self._start_delivery(load)
            await asyncio.sleep(POLL_PERIOD_MS / 1000)

    def _start_delivery(self, load: WeightLoad) -> None:
        if load.name in self._deliveries:
            return
        task = asyncio.ensure_future(self._deliver(load))
        self._deliveries[load.name] = task
        task.add_done_callback(lambda _: self._deliveries.pop(load.name, None))

    async def _deliver(self, load: WeightLoad) -> None:
        endpoints: Any = self._replica.state_machine.objects("endpoint")
        endpoint = endpoints.get(load.endpoint)
        if endpoint is None:
            return
        log_event(LOAD_SENT, endpoint=load.endpoint, fence=load.fence)
        body = msgspec.json.encode(
            {
                "model": load.model,
                "weights_version": load.weights_version,
                "fence": load.fence,
            }
        )
        try:
            answer = await self._http.call(
                endpoint.address,
                "POST",
                "/orders/load",
                {"Content-Type": "application/json"},
                body,
                LOAD_TIMEOUT_MS,
                MAX_ANSWER_BYTES,
            )
            ok = answer.status == 200
        except EndpointError:
            ok = False
        log_event(LOAD_ENDED, endpoint=load.endpoint, fence=load.fence, ok=ok)
        try:
            command = FinishLoad(load.endpoint, load.fence, ok)
            await self._control.submit(command, FINISH_TIMEOUT_MS)
        except ControlUnavailableError:
            # The load stays pending and the leader sends it again.
            return
