"""Settings of a process that discovers its peers from seeds instead of a list.

They are validated by msgspec instead of pydantic, because importing pydantic would
add a tenth of a second to every restart of a router.
"""

from ipaddress import ip_address
from typing import Annotated, Literal

import msgspec

from mustardtrack.settings.numbers import normalize_numbers

Delay = Annotated[int, msgspec.Meta(ge=0, le=86_400_000)]
Milliseconds = Annotated[int, msgspec.Meta(gt=0, le=86_400_000)]
Seconds = Annotated[float, msgspec.Meta(gt=0, le=3600)]
Fraction = Annotated[float, msgspec.Meta(ge=0, le=1)]
Count = Annotated[int, msgspec.Meta(ge=0)]
Port = Annotated[int, msgspec.Meta(gt=0, lt=65536)]


def split_address(address: str) -> tuple[str, int]:
    """Split ``IP:PORT``.

    Raises:
        ValueError: If the host is not an IP address or the port is out of range.

    Examples:
        >>> split_address("127.0.0.1:8101")
        ('127.0.0.1', 8101)
    """
    host, separator, port = address.rpartition(":")
    if not separator or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"{address!r} is not a valid address, write IP:PORT")
    ip_address(host.strip("[]"))
    return host.strip("[]"), int(port)


class Listen(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Addresses on which this process listens; only those of its role are set."""

    callers: str | None = None
    readiness: str | None = None
    operators: str | None = None
    directory: str | None = None


class RetryBudgetSettings(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """Retry budget of the whole deployment.

    Attributes:
        ratio: Retries allowed per first attempt.
        window_s: Length of the window in which retries are counted.
        floor: Retries allowed in each window in addition to the ratio.
    """

    ratio: Fraction = 0.2
    window_s: Seconds = 10.0
    floor: Count = 50


class Bounds(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Time limits that the deployment guarantees.

    Attributes:
        list_lag_ms: Greatest age of what the platform's list shows when it is read.
        allotment_window_s: Window in which the allotments of client accounts are
            counted, None if accounts have none.
        allotment_overshoot: Fraction by which an allotment may be exceeded.
        allotment_slack: Amount by which an allotment may be exceeded in addition, in
            the unit of the allotments.
        adaptive_start: Whether endpoints that joined, were silent or failed get as
            much work as their answers allow, in place of fixed backoffs.
        fair_admission: Whether ranks and fair shares of accounts decide who is admitted
            while demand exceeds the capacity.
    """

    grace_s: Seconds = 8.0
    revoke_ms: Milliseconds = 5000
    order_lease_ms: Milliseconds = 3000
    directory_ttl_s: Seconds = 5.0
    weights_ms: Milliseconds = 15_000
    list_lag_ms: Delay = 1000
    allotment_window_s: Seconds | None = None
    allotment_overshoot: Annotated[float, msgspec.Meta(ge=0)] | None = None
    allotment_slack: Annotated[float, msgspec.Meta(ge=0)] | None = None
    adaptive_start: bool = False
    fair_admission: bool = False


class HostLimits(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Resources of the host that one process may use, None where they are not known.

    Attributes:
        memory_mb: Memory in MB (10**6 bytes) above which the process is killed.
        descriptors: Open files and sockets of the process.
        link_mbps: Bandwidth of the host's network link in Mbit/s.
        cpu_share: Fraction of each core that the process may use.
        cores: Speed of the processor as a multiple of one core.
    """

    memory_mb: Annotated[float, msgspec.Meta(gt=0)] | None = None
    descriptors: Annotated[int, msgspec.Meta(gt=0)] | None = None
    link_mbps: Annotated[float, msgspec.Meta(gt=0)] | None = None
    cpu_share: Annotated[float, msgspec.Meta(gt=0)] | None = None
    cores: Annotated[float, msgspec.Meta(gt=0)] | None = None

    @property
    def memory_bytes(self) -> int | None:
        """Memory in bytes."""
        return None if self.memory_mb is None else int(self.memory_mb * 1_000_000)


class SeededTiming(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """Periods and timeouts of the protocols between processes of a deployment."""

    tick_ms: Milliseconds = 20
    heartbeat_ms: Milliseconds = 100
    election_timeout_ms: Milliseconds = 600
    sync_hold_ms: Milliseconds = 400
    sync_timeout_ms: Milliseconds = 1200
    list_period_ms: Milliseconds = 1000


class SeededSettings(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """Settings of one ``mustardtrackd`` process that is started with seeds.

    Attributes:
        host: IP address of the host.
        seeds: Operator addresses of up to three control hosts.
        bootstrap: True only at the first start of the whole deployment.
        internal_ports: First and last port for traffic between processes.
        host_list: Address of the platform's list of endpoints.
        metrics_port: Port on which counters and histograms are served.
        tolerated_losses: Simultaneous control host failures to tolerate.
        limits: Resources of the host that this process may use.
    """

    role: Literal["control", "router"]
    name: Annotated[str, msgspec.Meta(min_length=1)]
    zone: str
    host: str
    seeds: Annotated[list[str], msgspec.Meta(min_length=1)]
    bootstrap: bool = False
    internal_ports: Annotated[list[Port], msgspec.Meta(min_length=1)]
    data_folder: str | None = None
    host_list: str | None = None
    metrics_port: Port | None = None
    listen: Listen
    tolerated_losses: Annotated[int, msgspec.Meta(ge=0, le=3)] = 1
    retries: RetryBudgetSettings = RetryBudgetSettings()
    bounds: Bounds = Bounds()
    limits: HostLimits = HostLimits()
    timing: SeededTiming = SeededTiming()

    @property
    def bus_address(self) -> str:
        """Bus address of this process; it also identifies a control replica."""
        return self.bus_address_of(self.host)

    def bus_address_of(self, host: str) -> str:
        """Return the bus address of the control replica on a host."""
        return f"{host}:{self.internal_ports[0]}"

    def seed_bus_addresses(self) -> list[str]:
        """Return the bus addresses of the seeds."""
        return [self.bus_address_of(seed.rpartition(":")[0]) for seed in self.seeds]


def validate_seeded_settings(data: dict[str, object]) -> SeededSettings:
    """Validate the parsed content of a settings file with seeds.

    Raises:
        ValueError: If a key is unknown, missing or has a value that is out of
            range or contradicts another; the message names the key.
    """
    settings = msgspec.convert(normalize_numbers(data, SeededSettings), SeededSettings)
    required: dict[str, str | None] = {"listen.callers": settings.listen.callers}
    if settings.role == "control":
        required = {
            "data_folder": settings.data_folder,
            "listen.operators": settings.listen.operators,
        }
    for key, value in required.items():
        if value is None:
            raise ValueError(f"{key} is required for role {settings.role}, add it")
    listen = settings.listen
    addresses = [("seeds", seed) for seed in settings.seeds]
    addresses += [
        (key, address)
        for key, address in (
            ("host_list", settings.host_list),
            ("listen.callers", listen.callers),
            ("listen.readiness", listen.readiness),
            ("listen.operators", listen.operators),
            ("listen.directory", listen.directory),
        )
        if address is not None
    ]
    for key, address in addresses:
        try:
            split_address(address)
        except ValueError as error:
            raise ValueError(f"{key}: {error}") from error
    timing = settings.timing
    if timing.heartbeat_ms * 3 > timing.election_timeout_ms:
        raise ValueError(
            "timing.heartbeat_ms must be at most a third of timing.election_timeout_ms,"
            " or lost heartbeats cause elections"
        )
    return settings
