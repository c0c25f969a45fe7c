"""Replication progress of one replica, tracked by the leader."""

from dataclasses import dataclass

from mustardtrack.agreement.entries import Snapshot


@dataclass
class SnapshotTransfer:
    """Snapshot that is being sent in chunks."""

    snapshot: Snapshot
    offset: int = 0


@dataclass
class Progress:
    """Replication state of one replica.

    Attributes:
        next_index: Index of the next entry to send.
        last_reply_ms: When the last reply arrived.
        match_index: Last entry that the replica acknowledged as durable.
        sent_index: Last entry sent in this term; acknowledgements beyond it are
            invalid.
        probing: Whether it is unknown up to which index the logs match; while it
            is, only one request is sent per heartbeat or reply.
        probe_sent: Whether the one request allowed while probing was sent; reset
            by each heartbeat and by ``backtrack``.
        sequence: Number of the last message sent.
        match_sequence: Value of ``sequence`` when ``match_index`` was updated;
            a reply to a later message that reports a shorter log shows that the
            replica's disk was rolled back.
        last_acked_send_ms: When the latest acknowledged message was sent.
        transfer: Snapshot transfer in progress, if any.
        rolled_back: Whether the replica lost entries that it had acknowledged.
    """

    next_index: int
    last_reply_ms: int
    match_index: int = 0
    sent_index: int = 0
    probing: bool = True
    probe_sent: bool = False
    sequence: int = 0
    match_sequence: int = 0
    last_acked_send_ms: int | None = None
    transfer: SnapshotTransfer | None = None
    rolled_back: bool = False

    def next_sequence(self) -> int:
        """Return the sequence number of the next message."""
        self.sequence += 1
        return self.sequence

    def record_reply(self, sent_ms: int, now_ms: int) -> None:
        """Record a reply to a message sent at ``sent_ms``."""
        self.last_reply_ms = now_ms
        if self.last_acked_send_ms is None or sent_ms > self.last_acked_send_ms:
            self.last_acked_send_ms = sent_ms

    def advance(self, match_index: int) -> None:
        """Record durable entries and leave the probing state."""
        if match_index > self.match_index:
            self.match_index = match_index
            self.match_sequence = self.sequence
        self.next_index = max(self.next_index, match_index + 1)
        self.probing = False
        if self.transfer and match_index >= self.transfer.snapshot.index:
            self.transfer = None

    def backtrack(self, hint_index: int) -> None:
        """Continue by probing at the highest index that may match."""
        self.next_index = max(
            self.match_index + 1, min(self.next_index, hint_index + 1)
        )
        self.probing = True
        self.probe_sent = False
