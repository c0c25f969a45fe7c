"""Replicated log with leader election, snapshots and replacement of voters."""

from mustardtrack.agreement.core import Timing
from mustardtrack.agreement.effects import (
    Effects,
    LeadershipChange,
    NotLeader,
    Proposed,
    merge_effects,
)
from mustardtrack.agreement.entries import (
    Entry,
    PersistOp,
    ReplicaId,
    SaveEntries,
    SaveSnapshot,
    SaveVote,
    Snapshot,
    StoredState,
    TruncateFrom,
)
from mustardtrack.agreement.formation import FormationRefusedError, plan_formation
from mustardtrack.agreement.messages import Message, decode_message, encode_message
from mustardtrack.agreement.replica import Replica, ReplicaStatus

__all__ = [
    "SaveEntries",
    "Effects",
    "Entry",
    "FormationRefusedError",
    "LeadershipChange",
    "Message",
    "NotLeader",
    "PersistOp",
    "Proposed",
    "Replica",
    "ReplicaId",
    "ReplicaStatus",
    "SaveSnapshot",
    "SaveVote",
    "Snapshot",
    "StoredState",
    "Timing",
    "TruncateFrom",
    "decode_message",
    "encode_message",
    "merge_effects",
    "plan_formation",
]
