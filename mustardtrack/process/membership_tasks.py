"""Tasks that probe endpoints, exchange heartbeats and read the platform's hosts."""

import asyncio
from collections.abc import Callable, Mapping
from typing import Any

import msgspec

from mustardtrack.adapters.endpoint_client import EndpointError, HttpEndpointClient
from mustardtrack.adapters.zeromq import Bus
from mustardtrack.configuration import ConfigurationCopy, Endpoint
from mustardtrack.logs import define_event, log_event
from mustardtrack.membership import (
    EndpointTable,
    HostHeartbeat,
    HostTable,
    Load,
    PlatformHostList,
    ProbeAnswer,
    ProbeTable,
    decode_observations,
    encode_observations,
    observed_endpoints,
)
from mustardtrack.ports import Clock, Metrics, RouterHeartbeat
from mustardtrack.settings import RouterPeer

PLATFORM_LIST_UNREADABLE = define_event(
    8450, "WARNING", "platform's host list could not be read"
)
MAX_HEALTH_BYTES = 65_536
PLATFORM_POLL_PERIOD_MS = 1000
MAX_PLATFORM_LIST_BYTES = 4_194_304


class _HealthLoad(msgspec.Struct):
    running: int = 0
    queued: int = 0
    queued_tokens: int = 0


class HealthBody(msgspec.Struct):
    """Body of an endpoint's ``GET /health``."""

    incarnation: str
    state: str = "up"
    models: dict[str, str] = {}
    load: _HealthLoad = msgspec.field(default_factory=_HealthLoad)
    age_ms: int = 0
    deterministic: bool = False


class PlatformHost(msgspec.Struct):
    """Entry of the platform's host list."""

    address: str
    state: str


class PlatformListBody(msgspec.Struct):
    """The platform's list of live and leaving hosts, which lags behind.

    ``as_of_wall_ms`` is the wall time of the list, 0 if the platform omits it.
    """

    hosts: list[PlatformHost]
    as_of_wall_ms: int = 0

    def addresses(self, state: str) -> frozenset[str]:
        """Return the addresses of the hosts in ``state``."""
        return frozenset(host.address for host in self.hosts if host.state == state)


async def probe_endpoint(
    http: HttpEndpointClient, address: str, timeout_ms: int
) -> HealthBody | None:
    """Return the health of an endpoint, None without a valid answer in time."""
    try:
        answer = await http.call(
            address, "GET", "/health", {}, b"", timeout_ms, MAX_HEALTH_BYTES
        )
        if answer.status != 200:
            return None
        return msgspec.json.decode(answer.body, type=HealthBody)
    except (EndpointError, msgspec.DecodeError):
        return None


class EndpointProbeTask:
    """Probes the endpoints that are assigned to this router.

    Args:
        name: Name of this router.
        configuration: Current configuration.
        hosts: Table of routers; the live ones share the endpoints among them.
        probes: Table that records the probe results.
        http: HTTP client.
        clock: Clock.
        period_ms: Interval between two probes of an endpoint, also their time-out.

    Attributes:
        models: Weights version of each model, as last reported by each endpoint.
    """

    def __init__(
        self,
        name: str,
        configuration: ConfigurationCopy,
        hosts: HostTable,
        probes: ProbeTable,
        http: HttpEndpointClient,
        clock: Clock,
        period_ms: int,
    ):
        self._name = name
        self._configuration = configuration
        self._hosts = hosts
        self._probes = probes
        self._http = http
        self._clock = clock
        self._period_ms = period_ms
        self._assigned_endpoints: list[str] = []
        self._assignment_key: Any = None
        self.models: dict[str, dict[str, str]] = {}

    async def run(self) -> None:
        """Probe until cancelled."""
        while True:
            started = self._clock.now_ms()
            endpoints: Any = self._configuration.objects("endpoint")
            self._assign(endpoints, started)
            await asyncio.gather(
                *(self._probe(endpoints[name]) for name in self._assigned_endpoints)
            )
            spent = self._clock.now_ms() - started
            await asyncio.sleep(max(10, self._period_ms - spent) / 1000)

    def _assign(self, endpoints: Mapping[str, Any], now_ms: int) -> None:
        routers = self._hosts.live_routers(now_ms)
        key = (tuple(endpoints), tuple(routers))
        if key == self._assignment_key:
            return
        self._assignment_key = key
        assigned = observed_endpoints(self._name, list(endpoints), routers)
        for name in set(self._assigned_endpoints) - set(assigned):
            self._probes.forget(name)
        self._assigned_endpoints = assigned

    async def _probe(self, endpoint: Endpoint) -> None:
        health = await probe_endpoint(self._http, endpoint.address, self._period_ms)
        answer = None
        if health is not None:
            state = "leaving" if health.state == "leaving" else "up"
            load = Load(
                health.load.running,
                health.load.queued,
                health.load.queued_tokens,
                health.age_ms,
            )
            answer = ProbeAnswer(health.incarnation, state, load)  # type: ignore[arg-type]
            self.models[endpoint.name] = health.models
        self._probes.record(endpoint.name, answer, self._clock.now_ms())


class HeartbeatTask:
    """Sends heartbeats with observations, and records those of other routers.

    Args:
        peer: Entry of this router in the settings.
        targets: Bus addresses of the other routers and of the control replicas.
        bus: Message bus.
        hosts: Table of routers.
        endpoints: Table of endpoints.
        probes: Results of this router's probes.
        clock: Clock.
        metrics: Metrics.
        period_ms: Interval between two heartbeats.
        revision: Returns the revision of the current configuration.
        collect_account_use: Returns the account usage since the last call.
        record_account_use: Records the account usage of another router.

    Attributes:
        is_draining: Whether the heartbeats announce that this router is draining.
        revisions: Configuration revision of each router, by name.
    """

    def __init__(
        self,
        peer: RouterPeer,
        targets: list[str],
        bus: Bus,
        hosts: HostTable,
        endpoints: EndpointTable,
        probes: ProbeTable,
        clock: Clock,
        metrics: Metrics,
        period_ms: int,
        revision: Callable[[], int],
        collect_account_use: Callable[[int], dict[str, tuple[int, int]]],
        record_account_use: Callable[[str, dict[str, tuple[int, int]], int], None],
    ):
        self._peer = peer
        self._targets = targets
        self._bus = bus
        self._hosts = hosts
        self._endpoints = endpoints
        self._probes = probes
        self._clock = clock
        self._metrics = metrics
        self._period_ms = period_ms
        self._revision = revision
        self._collect_account_use = collect_account_use
        self._record_account_use = record_account_use
        self._sequence = 0
        self.is_draining = False
        self.revisions: dict[str, int] = {}

    async def run(self) -> None:
        """Send heartbeats until cancelled."""
        while True:
            self.send()
            await asyncio.sleep(self._period_ms / 1000)

    def send(self) -> None:
        """Send one heartbeat to all other routers and control replicas."""
        now_ms = self._clock.now_ms()
        observations = self._probes.report(now_ms)
        heartbeat = RouterHeartbeat(
            name=self._peer.name,
            address=self._peer.callers,
            zone=self._peer.zone,
            # A router without a configuration refuses every request.
            state="up" if self._revision() and not self.is_draining else "draining",
            revision=self._revision(),
            sequence=self._sequence,
            observations=encode_observations(observations),
            account_use=self._collect_account_use(now_ms),
        )
        self._sequence += 1
        self._record_heartbeat(heartbeat, now_ms)
        body = msgspec.msgpack.encode(heartbeat)
        for address in self._targets:
            self._bus.post(address, "heartbeat", body)

    async def receive(self, sender: str, body: bytes) -> None:
        """Record a heartbeat of another router."""
        now_ms = self._clock.now_ms()
        heartbeat = msgspec.msgpack.decode(body, type=RouterHeartbeat)
        if self._record_heartbeat(heartbeat, now_ms):
            self._record_account_use(heartbeat.name, heartbeat.account_use, now_ms)

    def _record_heartbeat(self, heartbeat: RouterHeartbeat, now_ms: int) -> bool:
        state = "draining" if heartbeat.state == "draining" else "up"
        host_heartbeat = HostHeartbeat(
            heartbeat.name,
            heartbeat.address,
            heartbeat.zone,
            state,  # type: ignore[arg-type]
            heartbeat.sequence,
        )
        if not self._hosts.heartbeat(host_heartbeat, now_ms):
            return False
        self.revisions[heartbeat.name] = heartbeat.revision
        for observation in decode_observations(heartbeat.observations):
            self._endpoints.observe(observation, now_ms)
        return True


class PlatformListTask:
    """Polls the platform's list of live and leaving hosts.

    Args:
        url: ``http://IP:PORT/path`` of the list.
        on_host_list: Called with each list that was read.
        http: HTTP client.
    """

    def __init__(
        self,
        url: str,
        on_host_list: Callable[[PlatformHostList], None],
        http: HttpEndpointClient,
    ):
        self._address, _, path = url.removeprefix("http://").partition("/")
        self._path = f"/{path}"
        self._on_host_list = on_host_list
        self._http = http

    async def run(self) -> None:
        """Poll the list until cancelled."""
        while True:
            await self._read()
            await asyncio.sleep(PLATFORM_POLL_PERIOD_MS / 1000)

    async def _read(self) -> None:
        try:
            answer = await self._http.call(
                self._address,
                "GET",
                self._path,
                {},
                b"",
                PLATFORM_POLL_PERIOD_MS,
                MAX_PLATFORM_LIST_BYTES,
            )
            body = msgspec.json.decode(answer.body, type=PlatformListBody)
        except (EndpointError, msgspec.DecodeError) as error:
            log_event(PLATFORM_LIST_UNREADABLE, error=str(error))
            return
        self._on_host_list(
            PlatformHostList(
                body.as_of_wall_ms, body.addresses("live"), body.addresses("leaving")
            )
        )
