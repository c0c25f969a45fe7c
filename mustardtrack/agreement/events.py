"""Numbered log events and invariants of the replicated log."""

from mustardtrack.logs import define_event

COMMITTED_ENTRY_REMOVED = define_event(
    1000, "ERROR", "a committed entry would be removed from the log"
)
TWO_LEADERS_IN_TERM = define_event(1001, "ERROR", "two leaders in the same term")
COMMIT_ORDER_BROKEN = define_event(
    1002, "ERROR", "committed entries would be delivered out of order"
)
SECOND_VOTE_IN_TERM = define_event(
    1003, "ERROR", "a second vote would be granted in one term"
)
LOG_GAP = define_event(1004, "ERROR", "entries would leave a gap in the log")
UNSAFE_VOTER_CHANGE = define_event(
    1005, "ERROR", "voter sets would change by more than one voter at a time"
)
SNAPSHOT_NOT_COMMITTED = define_event(
    1006, "ERROR", "a snapshot would cover entries that are not committed"
)
ACK_BEYOND_SENT_ENTRIES = define_event(
    1007, "WARNING", "ignored an acknowledgement of entries that were not sent"
)
DISK_ROLLED_BACK = define_event(
    1008, "ERROR", "a replica lost entries that it had acknowledged"
)
OWN_DISK_REFUSED = define_event(
    1009,
    "ERROR",
    "the leader refuses this disk; stop, remove the data folder, start again",
)
ROLE_CHANGED = define_event(1010, "INFO", "role, term or leader changed")
LEADER_LOST_QUORUM = define_event(
    1011, "WARNING", "the leader steps down because its lease expired"
)
VOTERS_CHANGED = define_event(1012, "INFO", "the leader changes the voter set")
JOIN_REFUSED = define_event(
    1013, "DEBUG", "ignored a join request; no voter has the name of its sender"
)
PROCESS_ENDED = define_event(1015, "INFO", "the process of another replica has ended")
ELECTION_WITHOUT_MAJORITY = define_event(
    1014, "WARNING", "an election timed out without a majority of the voters"
)
