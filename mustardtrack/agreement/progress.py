"""What a leader knows about one other replica."""

from dataclasses import dataclass

from mustardtrack.agreement.entries import Snapshot


@dataclass
class SnapshotTransfer:
    """Snapshot that is being sent in pieces."""

    snapshot: Snapshot
    offset: int = 0


@dataclass
class Progress:
    """Replication state of one replica.

    Attributes:
        next_index: First entry to send next.
        match_index: Last entry that the replica has acknowledged as durable.
        sent_index: Last entry ever sent in this term; acknowledgements beyond
            it are false.
        probing: True while it is unknown where the logs agree; then only one
            request is sent per heartbeat or reply.
        sequence: Number of the last message sent.
        match_sequence: Value of ``sequence`` when ``match_index`` was learned;
            replies to later messages must not show a shorter log.
        acked_sent_ms: When the latest acknowledged message was sent.
        heard_ms: When the last reply arrived.
    """

    next_index: int
    heard_ms: int
    match_index: int = 0
    sent_index: int = 0
    probing: bool = True
    probe_sent: bool = False
    sequence: int = 0
    match_sequence: int = 0
    acked_sent_ms: int | None = None
    transfer: SnapshotTransfer | None = None
    rolled_back: bool = False

    def next_sequence(self) -> int:
        """Number the next message."""
        self.sequence += 1
        return self.sequence

    def acknowledge(self, sent_ms: int, now_ms: int) -> None:
        """Record a reply to a message sent at ``sent_ms``."""
        self.heard_ms = now_ms
        if self.acked_sent_ms is None or sent_ms > self.acked_sent_ms:
            self.acked_sent_ms = sent_ms

    def advance(self, match_index: int) -> None:
        """Record durable entries and resume pipelining."""
        if match_index > self.match_index:
            self.match_index = match_index
            self.match_sequence = self.sequence
        self.next_index = max(self.next_index, match_index + 1)
        self.probing = False
        if self.transfer and match_index >= self.transfer.snapshot.index:
            self.transfer = None

    def step_back(self, hint_index: int) -> None:
        """Restart sending at the last index that may agree."""
        self.next_index = max(
            self.match_index + 1, min(self.next_index, hint_index + 1)
        )
        self.probing = True
        self.probe_sent = False
