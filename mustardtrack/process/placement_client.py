"""Client of the leading control host, which places prompts on engines."""

import asyncio
from collections.abc import Callable, Sequence

import msgspec

from mustardtrack.adapters.metrics import InMemoryMetrics
from mustardtrack.adapters.zeromq import Bus, BusTimeoutError
from mustardtrack.admission.partcrashes import LostPrompt
from mustardtrack.admission.partwatch import PartReport
from mustardtrack.logs import define_event, log_event
from mustardtrack.ports import Clock
from mustardtrack.ports.sync_messages import PromptProgress
from mustardtrack.process.control_sync import ControlSync
from mustardtrack.process.loss_reporter import LossReporter
from mustardtrack.routing.pacemessages import PaceReport
from mustardtrack.routing.placementmessages import Placement, PlacementRequest

PLACEMENT_TIMED_OUT = define_event(
    8961, "WARNING", "leader did not answer in time; placing prompts without it"
)
QUEUE_STATE_RECEIVED = define_event(
    8962, "INFO", "leader reported whether a prompt is still queued at its engine"
)

# Covers one round trip between availability zones and queueing; the router then
# places the prompt locally.
LEADER_TIMEOUT_MS = 80
# Time without placement requests after a time-out, so that prompts do not wait for a
# leader that is down.
LEADER_PAUSE_S = 0.5
# Progress is batched, since the cost of a message exceeds that of its content.
PROGRESS_PERIOD_S = 0.03
EMPTY_PROGRESS = PromptProgress([], [], [])


class PlacementClient:
    """Requests placements and reports the progress of placed prompts.

    Attributes:
        take_allotment_usage: Returns the usage of allotments that is not reported yet.
        take_withdrawn_counts: Returns the ids of counts that were withdrawn since.
    """

    def __init__(
        self,
        bus: Bus,
        control_sync: ControlSync,
        metrics: InMemoryMetrics,
        clock: Clock,
    ):
        self._bus = bus
        self._clock = clock
        self._control_sync = control_sync
        self._metrics = metrics
        self._paused_until_s = 0.0
        self._placed: set[str] = set()
        self._first_tokens: list[str] = []
        self._ended: list[str] = []
        self._unresponsive: set[str] = set()
        self._losses = LossReporter(bus, control_sync, clock)
        self._not_run: list[str] = []
        self.take_allotment_usage: Callable[[], dict[str, float]] = dict
        self.take_withdrawn_counts: Callable[[], list[str]] = list
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start sending progress and losses."""
        self._losses.start()
        self._task = asyncio.ensure_future(self._send_progress())

    async def stop(self, confirm_s: float = 0.0) -> None:
        """Stop sending progress once all losses are recorded.

        Args:
            confirm_s: Longest time to wait for that.
        """
        await self._losses.stop(confirm_s)
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def request_placement(self, request: PlacementRequest) -> Placement | None:
        """Return the placement of a prompt, None if the router must place it."""
        if not request.request_id or not self._may_ask():
            self._metrics.count("placement.local")
            return None
        body = msgspec.msgpack.encode(request)
        answer = await self.ask_leader("place", body, request.request_id)
        if answer is None:
            return None
        placement = msgspec.msgpack.decode(answer, type=Placement)
        if placement.exceeds_caller_timeout:
            if placement.lacks_memory:
                self._metrics.count("placement.memory")
            self._metrics.count("placement.hopeless")
            return placement
        if placement.delay_ms:
            self._metrics.count("placement.delayed")
        if not placement.endpoint:
            self._metrics.count("placement.none")
            return placement if placement.is_authoritative else None
        self._metrics.count("placement.leader")
        if placement.is_paced:
            self._metrics.count("placement.paced")
        self._placed.add(request.request_id)
        return placement

    def _may_ask(self) -> bool:
        is_paused = asyncio.get_running_loop().time() < self._paused_until_s
        return bool(self._control_sync.view.leader) and not is_paused

    async def ask_leader(
        self, topic: str, body: bytes, request_id: str
    ) -> bytes | None:
        """Return the answer of the leader, None if it does not answer in time.

        After a time-out, the leader is not asked for some time.
        """
        if not self._may_ask():
            return None
        leader = self._control_sync.view.leader
        answer = await self._request_leader(leader, topic, body, request_id)
        if answer is None:
            loop = asyncio.get_running_loop()
            self._paused_until_s = loop.time() + LEADER_PAUSE_S
        return answer

    async def is_queued(self, request_id: str) -> bool:
        """Return whether a placed prompt is still queued at its engine.

        Without an answer from the leader, the prompt is assumed not to be queued.
        """
        leader = self._control_sync.view.leader
        if not leader or request_id not in self._placed:
            return False
        body = msgspec.msgpack.encode(request_id)
        answer = await self._request_leader(leader, "queued", body, request_id)
        if answer is None:
            return False
        is_queued = msgspec.msgpack.decode(answer, type=bool)
        self._metrics.count(
            "placement.queued" if is_queued else "placement.passed_over"
        )
        log_event(QUEUE_STATE_RECEIVED, request=request_id, is_queued=is_queued)
        return is_queued

    async def _request_leader(
        self, leader: str, topic: str, body: bytes, request_id: str
    ) -> bytes | None:
        """Return the answer of the leader, None after a time-out."""
        try:
            return await self._bus.request(leader, topic, body, LEADER_TIMEOUT_MS)
        except BusTimeoutError:
            self._metrics.count("placement.timeout")
            log_event(PLACEMENT_TIMED_OUT, leader=leader, request=request_id)
            return None

    def record_first_token(self, request_id: str) -> None:
        """Report the first token of a prompt."""
        if request_id in self._placed:
            self._first_tokens.append(request_id)

    def record_end(self, request_id: str) -> None:
        """Report the end of a request."""
        if request_id in self._placed:
            self._placed.discard(request_id)
            self._ended.append(request_id)

    def record_unresponsive(self, endpoint_id: str) -> None:
        """Report an endpoint that did not answer."""
        self._unresponsive.add(endpoint_id)

    def record_not_run(self, endpoint_id: str) -> None:
        """Report an engine that did not run a request."""
        self._not_run.append(endpoint_id)

    def record_broken_connection(self, fingerprint: str, counted_once_at: str) -> None:
        """Report a request whose endpoint broke the connection or the answer.

        Args:
            fingerprint: Digest of the request.
            counted_once_at: Id of the endpoint if equal requests that it breaks off at
                the same time count once, empty if each counts.
        """
        self._losses.record(fingerprint, counted_once_at)

    def record_lost_prompt(self, prompt: LostPrompt) -> None:
        """Report a prompt whose engine closed the connection."""
        self._control_sync.view.parts.record_lost(prompt, self._clock.now_ms())

    def record_answer(self, parts: Sequence[str]) -> None:
        """Report a prompt with these shared parts that was answered whole."""
        self._control_sync.view.parts.record_answer(parts, self._clock.now_ms())

    async def _send_progress(self) -> None:
        view = self._control_sync.view
        told_leader = ""
        while True:
            await asyncio.sleep(PROGRESS_PERIOD_S)
            leader = view.leader
            parts, limits, leaving = PartReport(), {}, []
            loads = view.endpoints.notices.loads.take_report(self._clock.now_ms())
            usage: dict[str, float] = {}
            withdrawn: list[str] = []
            paces: dict[str, PaceReport] = {}
            if leader:
                usage = self.take_allotment_usage()
                withdrawn = self.take_withdrawn_counts()
                notices = view.endpoints.notices
                if leader != told_leader:
                    view.limits.report_again()
                    notices.report_again()
                    view.pace.report_again()
                    told_leader = leader
                parts = view.parts.take_report(leader, self._clock.now_ms())
                limits = view.limits.take_report(self._clock.now_ms())
                leaving = notices.take_leaving_report()
                paces = view.pace.take_report()
            progress = PromptProgress(
                self._first_tokens,
                self._ended,
                sorted(self._unresponsive),
                [],
                self._not_run,
                parts,
                limits,
                leaving,
                [],
                usage,
                withdrawn,
                loads,
                paces,
            )
            if progress == EMPTY_PROGRESS:
                continue
            self._first_tokens, self._ended, self._unresponsive = [], [], set()
            self._not_run = []
            if leader:
                self._bus.post(leader, "progress", msgspec.msgpack.encode(progress))
