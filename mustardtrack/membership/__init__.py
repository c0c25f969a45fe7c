"""Endpoint observations, router leases and discovery."""

from mustardtrack.membership.endpoints import (
    EndpointState,
    EndpointTable,
    EndpointView,
)
from mustardtrack.membership.hosts import (
    HostAddress,
    HostHeartbeat,
    HostTable,
    HostView,
)
from mustardtrack.membership.observations import (
    InvalidObservationsError,
    Load,
    Observation,
    decode_observations,
    encode_observations,
)
from mustardtrack.membership.observers import (
    Router,
    choose_observers,
    observed_endpoints,
)
from mustardtrack.membership.platform_hosts import (
    LatestPlatformHostList,
    PlatformHostList,
)
from mustardtrack.membership.probes import ProbeAnswer, ProbeTable

__all__ = [
    "EndpointState",
    "EndpointTable",
    "EndpointView",
    "HostAddress",
    "HostHeartbeat",
    "HostTable",
    "HostView",
    "InvalidObservationsError",
    "Load",
    "Observation",
    "LatestPlatformHostList",
    "PlatformHostList",
    "ProbeAnswer",
    "ProbeTable",
    "Router",
    "choose_observers",
    "decode_observations",
    "encode_observations",
    "observed_endpoints",
]
