"""Messages between replicas and their encoding."""

import msgspec

from mustardtrack.agreement.entries import Entry, ReplicaId


class PreVoteRequest(msgspec.Struct, frozen=True, tag="pre_vote"):
    """Asks whether a vote in ``term`` would be granted, without changing state."""

    term: int
    last_index: int
    last_term: int


class PreVoteReply(msgspec.Struct, frozen=True, tag="pre_vote_reply"):
    """Answer to a pre-vote request.

    ``term`` is the requested term if granted, else the term of the sender.
    """

    term: int
    granted: bool


class VoteRequest(msgspec.Struct, frozen=True, tag="vote"):
    """Requests the vote in ``term``."""

    term: int
    last_index: int
    last_term: int


class VoteReply(msgspec.Struct, frozen=True, tag="vote_reply"):
    """Answer to a vote request."""

    term: int
    granted: bool


class AppendRequest(msgspec.Struct, frozen=True, tag="append"):
    """Entries after ``prev_index``, or a heartbeat without entries.

    ``sequence`` numbers the messages of a leader to one replica within a term.
    ``sent_ms`` is read from the leader's monotonic clock. Replies echo both.
    """

    term: int
    prev_index: int
    prev_term: int
    entries: tuple[Entry, ...]
    commit_index: int
    sequence: int
    sent_ms: int


class AppendReply(msgspec.Struct, frozen=True, tag="append_reply"):
    """Answer to an append request or to the last chunk of a snapshot.

    If ``success``, the sender's log is durable and matches the leader's up to
    ``match_index``. Otherwise ``hint_index`` is the highest index at which the
    logs may match. ``last_index`` is the end of the sender's log.
    """

    term: int
    success: bool
    match_index: int
    hint_index: int
    last_index: int
    sequence: int
    sent_ms: int


class SnapshotChunk(msgspec.Struct, frozen=True, tag="snapshot_piece"):
    """Part of a snapshot's state, from byte ``offset``."""

    term: int
    index: int
    snapshot_term: int
    voters: tuple[ReplicaId, ...]
    offset: int
    data: bytes
    last: bool
    sequence: int
    sent_ms: int


class SnapshotReply(msgspec.Struct, frozen=True, tag="snapshot_reply"):
    """Requests the snapshot at ``index`` from byte ``offset``."""

    term: int
    index: int
    offset: int
    sequence: int
    sent_ms: int


class JoinRequest(msgspec.Struct, frozen=True, tag="join"):
    """Asks the leader to replicate to the sender.

    The sender is not a voter, or may have been removed from the voters.
    """

    last_index: int


class JoinHint(msgspec.Struct, frozen=True, tag="join_hint"):
    """Answer of a replica that is not the leader to a join request.

    ``voters`` are the names of the voters that the sender knows, one of which may be
    the leader.
    """

    voters: tuple[str, ...]


class LeaveRequest(msgspec.Struct, frozen=True, tag="leave"):
    """Asks the leader to give the sender's vote to another replica.

    The sender is stopping. It repeats the request until it is no voter any more.
    """


class LeaveReply(msgspec.Struct, frozen=True, tag="leave_reply"):
    """Answers a leave request if no replica can take the vote of its sender."""

    term: int


class DiskRefused(msgspec.Struct, frozen=True, tag="disk_refused"):
    """Refuses a replica whose disk lost entries that it had acknowledged."""

    term: int
    acknowledged_index: int
    last_index: int


Message = (
    PreVoteRequest
    | PreVoteReply
    | VoteRequest
    | VoteReply
    | AppendRequest
    | AppendReply
    | SnapshotChunk
    | SnapshotReply
    | JoinRequest
    | JoinHint
    | LeaveRequest
    | LeaveReply
    | DiskRefused
)


class _Frame(msgspec.Struct, frozen=True, array_like=True):
    sender: tuple[str, str]
    receiver: tuple[str, str]
    message: Message


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(_Frame)


def encode_message(sender: ReplicaId, receiver: ReplicaId, message: Message) -> bytes:
    """Encode a message with the identities of its sender and receiver."""
    frame = _Frame((sender.name, sender.disk), (receiver.name, receiver.disk), message)
    return _ENCODER.encode(frame)


def decode_message(data: bytes, own_id: ReplicaId) -> tuple[ReplicaId, Message] | None:
    """Decode a message for this replica.

    Returns:
        The sender and the message, or None if the message is addressed to
        another replica or to another disk of this one.

    Raises:
        msgspec.DecodeError: If the data is not an encoded message.

    Examples:
        >>> a, b = ReplicaId("a", "1"), ReplicaId("b", "2")
        >>> data = encode_message(a, b, VoteReply(3, True))
        >>> decode_message(data, b)
        (ReplicaId(name='a', disk='1'), VoteReply(term=3, granted=True))
        >>> decode_message(data, ReplicaId("b", "new")) is None
        True
    """
    frame = _DECODER.decode(data)
    name, disk = frame.receiver
    if name != own_id.name or disk not in ("", own_id.disk):
        return None
    return ReplicaId(*frame.sender), frame.message
