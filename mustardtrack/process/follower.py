"""Task that keeps a router's copy of the configuration up to date.

Changes are pulled by long polls from one control replica, so an accepted change
arrives at once. If no control replica answers, other routers are asked.
"""

import asyncio
import random
from collections.abc import Sequence
from pathlib import Path

import msgspec

from mustardtrack.adapters.zeromq import Bus, BusTimeoutError
from mustardtrack.configuration import (
    ConfigurationCopy,
    decode_changes,
    encode_changes,
)
from mustardtrack.logs import define_event, log_event
from mustardtrack.ports import Clock, FollowReply, FollowRequest

SOURCE_LOST = define_event(8401, "WARNING", "configuration source does not answer")
SNAPSHOT_USED = define_event(8402, "INFO", "configuration snapshot taken over")
CACHE_FAILED = define_event(8403, "WARNING", "configuration cache cannot be used")
FIRST_CONFIGURATION = define_event(8404, "INFO", "first configuration is in force")

SOURCE_BEHIND = define_event(
    8405, "ERROR", "control group stays at an older revision than this router"
)

POLL_WAIT_MS = 2000
# A replica that has just restarted knows what is committed within a second or two.
BEHIND_MS = 10_000
ANSWER_MARGIN_MS = 500
STALE_SOURCE_MS = 3000
RETRY_PAUSE_MS = 100
CATCH_UP_ROUTERS = 3


class FollowerTask:
    """Follows the configuration.

    Args:
        bus: Message bus.
        copy: The router's copy, changed only by this task.
        control: Bus addresses of the control replicas, preferred ones first.
        routers: Bus addresses of the other routers.
        clock: Clock.
        rng: Source of the order in which routers are asked.
        cache_file: File that keeps the last snapshot, if the host has a disk.
    """

    def __init__(
        self,
        bus: Bus,
        copy: ConfigurationCopy,
        control: Sequence[str],
        routers: Sequence[str],
        clock: Clock,
        rng: random.Random,
        cache_file: Path | None = None,
    ):
        self._bus = bus
        self._copy = copy
        self._control = list(control)
        self._routers = list(routers)
        self._clock = clock
        self._rng = rng
        self._cache_file = cache_file
        self._changed = asyncio.Event()
        self._heard_ms = clock.now_ms()
        self._behind_logged = False

    @property
    def stale_ms(self) -> int:
        """Milliseconds since a leader confirmed the copy, or since the start."""
        return self._clock.now_ms() - self._heard_ms

    async def run(self) -> None:
        """Follow until cancelled."""
        if self._copy.revision == 0:
            await self._catch_up()
        while True:
            if not await self._poll_control():
                await self._poll_routers()
                await asyncio.sleep(RETRY_PAUSE_MS / 1000)

    async def wait_until_ready(self, timeout_ms: int) -> bool:
        """Wait for the first configuration; return whether there is one."""
        deadline = self._clock.now_ms() + timeout_ms
        while self._copy.revision == 0 and self._clock.now_ms() < deadline:
            await asyncio.sleep(0.02)
        return self._copy.revision > 0

    async def answer(self, body: bytes) -> bytes:
        """Answer a follow request of another router."""
        request = msgspec.msgpack.decode(body, type=FollowRequest)
        changes = self._copy.changes_since(request.have_revision)
        reply = FollowReply(
            revision=self._copy.revision,
            changes=b"" if changes is None else encode_changes(changes),
            snapshot=self._copy.snapshot() if changes is None else b"",
            stale_ms=self.stale_ms,
        )
        return msgspec.msgpack.encode(reply)

    async def _catch_up(self) -> None:
        """Ask several sources at once, so that a restarted router serves at once.

        Each answers with a whole snapshot, so only a few routers are asked.
        """
        count = min(CATCH_UP_ROUTERS, len(self._routers))
        sources = self._control + self._rng.sample(self._routers, count)
        await asyncio.gather(*(self._ask(address, 0) for address in sources))
        if self._copy.revision == 0:
            self._load_cache()
        if self._copy.revision:
            log_event(FIRST_CONFIGURATION, revision=self._copy.revision)

    async def _poll_control(self) -> bool:
        for _ in range(len(self._control)):
            reply = await self._ask(self._control[0], POLL_WAIT_MS)
            if reply is not None and reply.stale_ms < STALE_SOURCE_MS:
                self._note_source(reply)
                return True
            log_event(SOURCE_LOST, address=self._control[0])
            self._control.append(self._control.pop(0))
        return False

    def _note_source(self, reply: FollowReply) -> None:
        """Record that a source with a leader answered.

        A source that stays behind this router belongs to another formation of the
        control group; the copy then counts as stale.
        """
        if reply.revision >= self._copy.revision:
            self._heard_ms = self._clock.now_ms() - reply.stale_ms
            self._behind_logged = False
        elif self.stale_ms > BEHIND_MS and not self._behind_logged:
            self._behind_logged = True
            log_event(
                SOURCE_BEHIND, source=reply.revision, revision=self._copy.revision
            )

    async def _poll_routers(self) -> None:
        if self._routers:
            address = self._rng.choice(self._routers)
            reply = await self._ask(address, 0)
            if reply is not None and reply.stale_ms < self.stale_ms:
                self._heard_ms = self._clock.now_ms() - reply.stale_ms

    async def _ask(self, address: str, wait_ms: int) -> FollowReply | None:
        request = FollowRequest(self._copy.revision, wait_ms)
        try:
            answer = await self._bus.request(
                address,
                "follow",
                msgspec.msgpack.encode(request),
                wait_ms + ANSWER_MARGIN_MS,
            )
        except BusTimeoutError:
            return None
        reply = msgspec.msgpack.decode(answer, type=FollowReply)
        self._use(reply)
        return reply

    def _use(self, reply: FollowReply) -> None:
        changes = decode_changes(reply.changes) if reply.changes else []
        if not self._copy.apply(reply.revision, changes, reply.snapshot):
            return
        if reply.snapshot:
            log_event(SNAPSHOT_USED, revision=reply.revision)
        self._save_cache()

    def _load_cache(self) -> None:
        if self._cache_file is None or not self._cache_file.exists():
            return
        try:
            revision, snapshot = msgspec.msgpack.decode(
                self._cache_file.read_bytes(), type=tuple[int, bytes]
            )
            self._copy.apply(revision, [], snapshot)
        except (OSError, msgspec.DecodeError) as error:
            log_event(CACHE_FAILED, error=str(error))

    def _save_cache(self) -> None:
        if self._cache_file is None:
            return
        data = msgspec.msgpack.encode((self._copy.revision, self._copy.snapshot()))
        temporary = self._cache_file.with_suffix(".new")
        try:
            temporary.write_bytes(data)
            temporary.replace(self._cache_file)
        except OSError as error:
            log_event(CACHE_FAILED, error=str(error))
