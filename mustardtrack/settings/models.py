"""Pydantic models of the settings file.

Units are suffixes of the key names: ``_ms`` milliseconds, ``_bytes`` bytes,
``_tokens`` tokens.
"""

from typing import Annotated, Literal

from pydantic import AfterValidator, BaseModel, ConfigDict, Field, model_validator

from mustardtrack.settings.seeded import split_address


def _validate_address(address: str) -> str:
    split_address(address)
    return address


Address = Annotated[str, AfterValidator(_validate_address)]
Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]
Milliseconds = Annotated[int, Field(gt=0, le=86_400_000)]


class SettingsModel(BaseModel):
    """Base of all settings models; rejects unknown keys."""

    model_config = ConfigDict(extra="forbid", frozen=True, strict=True)


class ControlPeer(SettingsModel):
    """Name, zone and addresses of one control replica."""

    name: Name
    zone: Name
    bus: Address
    operators: Address


class RouterPeer(SettingsModel):
    """Name, zone and addresses of one router."""

    name: Name
    zone: Name
    bus: Address
    callers: Address
    operators: Address


class TlsFiles(SettingsModel):
    """Certificate chain and private key in PEM files."""

    certificate_file: str
    key_file: str


class Timing(SettingsModel):
    """Periods and timeouts."""

    tick_ms: Milliseconds = 20
    heartbeat_ms: Milliseconds = 100
    election_timeout_ms: Milliseconds = 1000
    lease_ms: Milliseconds = 3000
    observe_ms: Milliseconds = 500
    router_heartbeat_ms: Milliseconds = 500
    discovery_ttl_ms: Milliseconds = 2000
    dispatch_window_ms: Milliseconds = 2000
    service_timeout_ms: Milliseconds = 30000
    first_token_timeout_ms: Milliseconds = 60000
    stream_idle_ms: Milliseconds = 15000
    caller_idle_ms: Milliseconds = 60000
    stop_limit_ms: Milliseconds = 120000

    @model_validator(mode="after")
    def _check_heartbeat_periods(self) -> "Timing":
        if self.heartbeat_ms * 3 > self.election_timeout_ms:
            raise ValueError(
                "heartbeat_ms must be at most a third of election_timeout_ms, "
                "or lost heartbeats cause elections"
            )
        if self.router_heartbeat_ms * 3 > self.lease_ms:
            raise ValueError(
                "router_heartbeat_ms must be at most a third of lease_ms, "
                "or one lost heartbeat removes a live router"
            )
        return self


class Limits(SettingsModel):
    """Limits on request size, buffering and concurrency of one router."""

    body_bytes: int = Field(default=4_194_304, ge=1024, le=67_108_864)
    answer_bytes: int = Field(default=16_777_216, ge=1024, le=268_435_456)
    stored_answer_bytes: int = Field(default=65_536, ge=0, le=1_048_576)
    connections: int = Field(default=4000, ge=8, le=100_000)
    stream_buffer_pieces: int = Field(default=256, ge=4, le=65_536)
    endpoint_concurrency: int = Field(default=16, ge=1, le=4096)
    max_output_tokens: int = Field(default=8192, ge=1, le=1_000_000)


class Settings(SettingsModel):
    """Settings of one ``mustardtrackd`` process."""

    role: Literal["control", "router"]
    name: Name
    deployment: Name
    control: list[ControlPeer] = Field(min_length=1)
    routers: list[RouterPeer] = Field(min_length=1)
    data_folder: str | None = None
    operator_token_hashes: list[str] = Field(min_length=1)
    platform_hosts_url: str | None = None
    parallel_weight_loads: int = Field(default=2, ge=1, le=64)
    piece_chars: int = Field(default=4096, ge=64, le=65_536)
    statsd: Address | None = None
    tls: TlsFiles | None = None
    timing: Timing = Timing()
    limits: Limits = Limits()

    @model_validator(mode="after")
    def _check_peers(self) -> "Settings":
        _require_unique("control", [peer.name for peer in self.control])
        _require_unique("routers", [peer.name for peer in self.routers])
        names = {peer.name for peer in self._peers_of_role()}
        if self.name not in names:
            raise ValueError(
                f"name {self.name!r} is not listed under the peers of role "
                f"{self.role!r}, add it there or correct the name"
            )
        if self.role == "control" and self.data_folder is None:
            raise ValueError("data_folder is required for role control")
        if self.role == "control" and len(self.control) % 2 == 0:
            raise ValueError("control needs an odd number of replicas, list 1, 3 or 5")
        return self

    def _peers_of_role(self) -> list[ControlPeer] | list[RouterPeer]:
        return self.control if self.role == "control" else self.routers

    def own_control(self) -> ControlPeer:
        """Return this process's entry under ``control``."""
        return next(peer for peer in self.control if peer.name == self.name)

    def own_router(self) -> RouterPeer:
        """Return this process's entry under ``routers``."""
        return next(peer for peer in self.routers if peer.name == self.name)


def _require_unique(key: str, names: list[str]) -> None:
    duplicates = sorted({name for name in names if names.count(name) > 1})
    if duplicates:
        raise ValueError(
            f"{key} lists {duplicates} more than once, names must be unique"
        )
