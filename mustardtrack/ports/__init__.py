"""Interfaces between the domain and its adapters, and messages between processes."""

from mustardtrack.ports.clock import Clock
from mustardtrack.ports.messages import (
    CommandReply,
    CommandRequest,
    Envelope,
    FollowReply,
    FollowRequest,
    FormReply,
    FormRequest,
    RouterHeartbeat,
    SuspectNotice,
)
from mustardtrack.ports.metrics import Metrics
from mustardtrack.ports.storage import ReplicaStorage, StorageDamagedError

__all__ = [
    "Clock",
    "CommandReply",
    "CommandRequest",
    "Envelope",
    "FollowReply",
    "FollowRequest",
    "FormReply",
    "FormRequest",
    "Metrics",
    "ReplicaStorage",
    "RouterHeartbeat",
    "StorageDamagedError",
    "SuspectNotice",
]
