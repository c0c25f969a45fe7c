"""State of a replica that hands over its vote before its process ends."""

# Election timeouts without a leader after which the process no longer waits for one:
# an election takes at most one and a half of them unless votes are split.
ELECTIONS_WAITED_FOR = 3


class Departure:
    """Progress of the hand-over, as known to the replica that leaves."""

    def __init__(self) -> None:
        self._leader_seen_ms: int | None = None
        self._request_at_ms = 0
        self._has_successor = True

    @property
    def has_begun(self) -> bool:
        """Whether the process is stopping."""
        return self._leader_seen_ms is not None

    def begin(self, now_ms: int) -> None:
        """Record that the process is stopping."""
        if not self.has_begun:
            self._leader_seen_ms = now_ms

    def record_leader(self, has_successor: bool, now_ms: int) -> None:
        """Record contact with a leader, and whether it knows of a successor.

        A replica that was told that there is none does not wait any longer.
        """
        self._leader_seen_ms = now_ms
        self._has_successor = self._has_successor and has_successor

    def is_request_due(self, now_ms: int, interval_ms: int) -> bool:
        """Return whether the leader is to be asked, at most once in an interval."""
        if now_ms < self._request_at_ms:
            return False
        self._request_at_ms = now_ms + interval_ms
        return True

    def is_without_successor(self, now_ms: int, election_timeout_ms: int) -> bool:
        """Return whether no successor can be expected."""
        if self._leader_seen_ms is None:
            return False
        leaderless_ms = now_ms - self._leader_seen_ms
        limit_ms = ELECTIONS_WAITED_FOR * election_timeout_ms
        return not self._has_successor or leaderless_ms >= limit_ms
