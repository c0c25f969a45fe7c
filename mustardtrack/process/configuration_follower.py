"""Task that keeps a router's copy of the configuration up to date.

The task pulls changes from one control replica by long polling, so that committed
changes arrive without delay. If no control replica answers, it asks other routers.
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

SOURCE_UNAVAILABLE = define_event(
    8401, "WARNING", "configuration source is unavailable or stale"
)
SNAPSHOT_ADOPTED = define_event(8402, "INFO", "configuration snapshot applied")
CACHE_FILE_FAILED = define_event(
    8403, "WARNING", "configuration cache file cannot be read or written"
)
FIRST_CONFIGURATION = define_event(8404, "INFO", "initial configuration applied")

SOURCE_BEHIND = define_event(
    8405, "ERROR", "control group remains at an older revision than this router"
)

LONG_POLL_WAIT_MS = 2000
# Longer than a restarted replica needs to learn the commit index, one or two seconds.
BEHIND_TIMEOUT_MS = 10_000
REQUEST_MARGIN_MS = 500
MAX_SOURCE_STALE_MS = 3000
RETRY_DELAY_MS = 100
MAX_ROUTERS_ASKED_AT_START = 3


class ConfigurationFollower:
    """Follows the configuration of the control group.

    Args:
        bus: Message bus.
        configuration: The router's copy, changed only by this task.
        control: Bus addresses of the control replicas in order of preference.
        routers: Bus addresses of the other routers.
        clock: Clock.
        rng: Random source for the choice of routers to ask.
        cache_file: File for the last snapshot, None if the host has no disk.
    """

    def __init__(
        self,
        bus: Bus,
        configuration: ConfigurationCopy,
        control: Sequence[str],
        routers: Sequence[str],
        clock: Clock,
        rng: random.Random,
        cache_file: Path | None = None,
    ):
        self._bus = bus
        self._configuration = configuration
        self._control_addresses = list(control)
        self._router_addresses = list(routers)
        self._clock = clock
        self._rng = rng
        self._cache_file = cache_file
        self._changed = asyncio.Event()
        self._confirmed_ms = clock.now_ms()
        self._behind_logged = False

    @property
    def stale_ms(self) -> int:
        """Milliseconds since a leader confirmed the copy, or since the start."""
        return self._clock.now_ms() - self._confirmed_ms

    async def run(self) -> None:
        """Follow until cancelled."""
        if self._configuration.revision == 0:
            await self._fetch_initial_configuration()
        while True:
            if not await self._poll_control():
                await self._poll_routers()
                await asyncio.sleep(RETRY_DELAY_MS / 1000)

    async def wait_until_ready(self, timeout_ms: int) -> bool:
        """Wait for the initial configuration and return whether it has arrived."""
        deadline = self._clock.now_ms() + timeout_ms
        while self._configuration.revision == 0 and self._clock.now_ms() < deadline:
            await asyncio.sleep(0.02)
        return self._configuration.revision > 0

    async def answer(self, body: bytes) -> bytes:
        """Answer a follow request of another router."""
        request = msgspec.msgpack.decode(body, type=FollowRequest)
        changes = self._configuration.changes_since(request.have_revision)
        reply = FollowReply(
            revision=self._configuration.revision,
            changes=b"" if changes is None else encode_changes(changes),
            snapshot=self._configuration.snapshot() if changes is None else b"",
            stale_ms=self.stale_ms,
        )
        return msgspec.msgpack.encode(reply)

    async def _fetch_initial_configuration(self) -> None:
        """Ask several sources concurrently, to let a restarted router serve early.

        Each source answers with a whole snapshot, so only a few routers are asked.
        """
        count = min(MAX_ROUTERS_ASKED_AT_START, len(self._router_addresses))
        sources = self._control_addresses + self._rng.sample(
            self._router_addresses, count
        )
        await asyncio.gather(
            *(self._request_changes(address, 0) for address in sources)
        )
        if self._configuration.revision == 0:
            self._load_cache()
        if self._configuration.revision:
            log_event(FIRST_CONFIGURATION, revision=self._configuration.revision)

    async def _poll_control(self) -> bool:
        for _ in range(len(self._control_addresses)):
            reply = await self._request_changes(
                self._control_addresses[0], LONG_POLL_WAIT_MS
            )
            if reply is not None and reply.stale_ms < MAX_SOURCE_STALE_MS:
                self._record_confirmation(reply)
                return True
            log_event(SOURCE_UNAVAILABLE, address=self._control_addresses[0])
            self._control_addresses.append(self._control_addresses.pop(0))
        return False

    def _record_confirmation(self, reply: FollowReply) -> None:
        """Record the time at which a source with a leader confirmed the copy.

        A source that stays behind this router belongs to a control group that was
        formed anew; its answers do not confirm the copy, which becomes stale.
        """
        if reply.revision >= self._configuration.revision:
            self._confirmed_ms = self._clock.now_ms() - reply.stale_ms
            self._behind_logged = False
        elif self.stale_ms > BEHIND_TIMEOUT_MS and not self._behind_logged:
            self._behind_logged = True
            log_event(
                SOURCE_BEHIND,
                source=reply.revision,
                revision=self._configuration.revision,
            )

    async def _poll_routers(self) -> None:
        if self._router_addresses:
            address = self._rng.choice(self._router_addresses)
            reply = await self._request_changes(address, 0)
            if reply is not None and reply.stale_ms < self.stale_ms:
                self._confirmed_ms = self._clock.now_ms() - reply.stale_ms

    async def _request_changes(self, address: str, wait_ms: int) -> FollowReply | None:
        request = FollowRequest(self._configuration.revision, wait_ms)
        try:
            answer = await self._bus.request(
                address,
                "follow",
                msgspec.msgpack.encode(request),
                wait_ms + REQUEST_MARGIN_MS,
            )
        except BusTimeoutError:
            return None
        reply = msgspec.msgpack.decode(answer, type=FollowReply)
        self._apply_reply(reply)
        return reply

    def _apply_reply(self, reply: FollowReply) -> None:
        changes = decode_changes(reply.changes) if reply.changes else []
        if not self._configuration.apply(reply.revision, changes, reply.snapshot):
            return
        if reply.snapshot:
            log_event(SNAPSHOT_ADOPTED, revision=reply.revision)
        self._save_cache()

    def _load_cache(self) -> None:
        if self._cache_file is None or not self._cache_file.exists():
            return
        try:
            revision, snapshot = msgspec.msgpack.decode(
                self._cache_file.read_bytes(), type=tuple[int, bytes]
            )
            self._configuration.apply(revision, [], snapshot)
        except (OSError, msgspec.DecodeError) as error:
            log_event(CACHE_FILE_FAILED, error=str(error))

    def _save_cache(self) -> None:
        if self._cache_file is None:
            return
        data = msgspec.msgpack.encode(
            (self._configuration.revision, self._configuration.snapshot())
        )
        temporary = self._cache_file.with_suffix(".new")
        try:
            temporary.write_bytes(data)
            temporary.replace(self._cache_file)
        except OSError as error:
            log_event(CACHE_FILE_FAILED, error=str(error))
