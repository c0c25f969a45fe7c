"""Client of the control host that places prompts."""

import asyncio

import msgspec

from mustardtrack.adapters.metrics import CounterTable
from mustardtrack.adapters.zeromq import Bus, BusTimeoutError
from mustardtrack.logs import define_event, log_event
from mustardtrack.ports.synchronization import Progress
from mustardtrack.process.control_sync import ControlSync
from mustardtrack.routing.placements import Placement, PlacementRequest

PLACEMENT_LOST = define_event(
    8961, "WARNING", "prompts are placed without the leader, which does not answer"
)
SILENCE_JUDGED = define_event(
    8962, "INFO", "leader says whether a silent prompt still has its turn"
)

# An answer takes one round trip between zones and its queue; after this time the
# router places the prompt alone.
TIMEOUT_MS = 80
# Time without questions after one was not answered, so that requests do not wait
# for a leader that is gone.
PAUSE_S = 0.5
# Progress is sent in batches, since a message costs more than its content.
PROGRESS_PERIOD_S = 0.03
NO_PROGRESS = Progress([], [], [])


class PlacementClient:
    """Asks for placements and reports the progress of placed prompts."""

    def __init__(self, bus: Bus, links: ControlSync, metrics: CounterTable):
        self._bus = bus
        self._links = links
        self._metrics = metrics
        self._paused_until_s = 0.0
        self._placed: set[str] = set()
        self._read: list[str] = []
        self._ended: list[str] = []
        self._silent: set[str] = set()
        self._broken: list[str] = []
        self._refused: list[str] = []
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start to send progress."""
        self._task = asyncio.ensure_future(self._send_progress())

    async def stop(self) -> None:
        """Stop to send progress."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def ask(self, request: PlacementRequest) -> Placement | None:
        """Return where a prompt goes, None if the router must decide alone."""
        leader = self._links.view.leader
        loop = asyncio.get_running_loop()
        if not leader or not request.request_id or loop.time() < self._paused_until_s:
            self._metrics.count("placement.local")
            return None
        body = msgspec.msgpack.encode(request)
        answer = await self._ask_leader(leader, "place", body, request.request_id)
        if answer is None:
            self._paused_until_s = loop.time() + PAUSE_S
            return None
        placement = msgspec.msgpack.decode(answer, type=Placement)
        if placement.exceeds_caller_timeout:
            self._metrics.count("placement.hopeless")
            return placement
        if not placement.endpoint:
            self._metrics.count("placement.none")
            return placement if placement.is_authoritative else None
        self._metrics.count("placement.leader")
        self._placed.add(request.request_id)
        return placement

    async def is_queued(self, request_id: str) -> bool:
        """Return whether a placed prompt still waits for its turn at its engine.

        Without an answer the prompt counts as lost.
        """
        leader = self._links.view.leader
        if not leader or request_id not in self._placed:
            return False
        body = msgspec.msgpack.encode(request_id)
        answer = await self._ask_leader(leader, "queued", body, request_id)
        if answer is None:
            return False
        is_queued = msgspec.msgpack.decode(answer, type=bool)
        self._metrics.count(
            "placement.queued" if is_queued else "placement.passed_over"
        )
        log_event(SILENCE_JUDGED, request=request_id, is_queued=is_queued)
        return is_queued

    async def _ask_leader(
        self, leader: str, topic: str, body: bytes, request_id: str
    ) -> bytes | None:
        """Return the leader's answer, None if there is none in time."""
        try:
            return await self._bus.request(leader, topic, body, TIMEOUT_MS)
        except BusTimeoutError:
            self._metrics.count("placement.timeout")
            log_event(PLACEMENT_LOST, leader=leader, request=request_id)
            return None

    def record_prefilled(self, request_id: str) -> None:
        """Report the first token of a prompt."""
        if request_id in self._placed:
            self._read.append(request_id)

    def record_end(self, request_id: str) -> None:
        """Report the end of a request."""
        if request_id in self._placed:
            self._placed.discard(request_id)
            self._ended.append(request_id)

    def record_unreachable(self, endpoint_id: str) -> None:
        """Report an endpoint that does not answer."""
        self._silent.add(endpoint_id)

    def record_refusal(self, endpoint_id: str) -> None:
        """Report an engine that did not run a request."""
        self._refused.append(endpoint_id)

    def record_broken(self, fingerprint: str) -> None:
        """Report a request whose endpoint broke the connection."""
        self._broken.append(fingerprint)

    async def _send_progress(self) -> None:
        while True:
            await asyncio.sleep(PROGRESS_PERIOD_S)
            progress = Progress(
                self._read,
                self._ended,
                sorted(self._silent),
                self._broken,
                self._refused,
            )
            if progress == NO_PROGRESS:
                continue
            self._read, self._ended, self._silent = [], [], set()
            self._broken, self._refused = [], []
            leader = self._links.view.leader
            if leader:
                self._bus.post(leader, "progress", msgspec.msgpack.encode(progress))
