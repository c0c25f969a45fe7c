"""Settings of a process that learns its peers from seeds instead of a list."""

from typing import Annotated, Literal

from pydantic import Field, model_validator

from mustardtrack.settings.models import Address, Milliseconds, Model

Seconds = Annotated[float, Field(gt=0, le=3600)]


class Listen(Model):
    """Addresses of this process, those of its role only."""

    callers: Address | None = None
    readiness: Address | None = None
    operators: Address | None = None
    directory: Address | None = None


class RetryLimits(Model):
    """Retry budget of the whole deployment.

    Attributes:
        ratio: Retries allowed per first attempt.
        window_s: Length of the window in which retries are counted.
        floor: Retries allowed in a window in addition to the ratio.
    """

    ratio: float = Field(default=0.2, ge=0, le=1)
    window_s: Seconds = 10.0
    floor: int = Field(default=50, ge=0)


class Bounds(Model):
    """Limits of time that the deployment promises."""

    grace_s: Seconds = 8.0
    revoke_ms: Milliseconds = 5000
    order_lease_ms: Milliseconds = 3000
    directory_ttl_s: Seconds = 5.0
    configuration_apply_ms: Milliseconds = 2000


class SeededTiming(Model):
    """Periods of this deployment's own protocols."""

    tick_ms: Milliseconds = 20
    heartbeat_ms: Milliseconds = 150
    election_timeout_ms: Milliseconds = 900
    sync_hold_ms: Milliseconds = 400
    sync_timeout_ms: Milliseconds = 1200
    list_period_ms: Milliseconds = 1000


class SeededSettings(Model):
    """Settings of one ``mustardtrackd`` process that is given seeds.

    Attributes:
        host: IP number of the host.
        seeds: Operator addresses of up to three control hosts.
        bootstrap: True only at the first start of the whole deployment.
        internal_ports: First and last port for traffic between processes.
        host_list: Address of the platform's list of endpoints.
        tolerated_losses: Control hosts whose loss at once must be borne.
    """

    role: Literal["control", "router"]
    name: Annotated[str, Field(min_length=1)]
    zone: str
    host: str
    seeds: list[Address] = Field(min_length=1)
    bootstrap: bool = False
    internal_ports: list[int] = Field(min_length=1)
    data_folder: str | None = None
    host_list: Address | None = None
    listen: Listen
    tolerated_losses: int = Field(default=1, ge=0, le=3)
    retries: RetryLimits = RetryLimits()
    bounds: Bounds = Bounds()
    timing: SeededTiming = SeededTiming()

    @model_validator(mode="after")
    def _check_role(self) -> "SeededSettings":
        if self.role == "control":
            self._require("data_folder", self.data_folder)
            self._require("listen.operators", self.listen.operators)
        else:
            self._require("listen.callers", self.listen.callers)
        return self

    def _require(self, key: str, value: str | None) -> None:
        if value is None:
            raise ValueError(f"{key} is required for role {self.role}, add it")

    @property
    def bus_address(self) -> str:
        """Address of this process on the bus; it also names a control replica."""
        return self.bus_address_of(self.host)

    def bus_address_of(self, host: str) -> str:
        """Return the bus address of the control replica on a host."""
        return f"{host}:{self.internal_ports[0]}"

    def seed_names(self) -> list[str]:
        """Return the bus addresses of the seeds."""
        return [self.bus_address_of(seed.rpartition(":")[0]) for seed in self.seeds]
