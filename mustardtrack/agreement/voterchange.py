"""Choice of the next change of the voter set, one voter at a time.

The voter set follows the running replicas while there are more of them than
``target_voters``: a host that is replaced, with or without notice, and a lost one can
then be gone at the same time. Its size stays odd, because an even set tolerates no
more losses than a set with one voter less and needs one more reply for each entry.

The newest hosts vote: a host that is replaced is older than its successor, and the page
of the deployment counts it no longer once the successor has caught up. Hosts that have
no vote are therefore the oldest ones.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from mustardtrack.agreement.entries import ReplicaId


@dataclass(frozen=True)
class Member:
    """What the leader knows of a voter or learner.

    Attributes:
        is_reachable: Whether it replied within the election timeout.
        is_leaving: Whether it is stopping and asked to be replaced.
        is_ready: Whether it is a learner that holds every committed entry and may
            vote; False for voters.
        is_leader: Whether it is the leader itself.
        created_ms: Time of day at which its disk was formatted, 0 if unknown.
    """

    replica: ReplicaId
    is_reachable: bool = True
    is_leaving: bool = False
    is_ready: bool = False
    is_leader: bool = False
    created_ms: int = 0

    @property
    def is_staying(self) -> bool:
        """Whether it can be counted on after the others have left."""
        return self.is_reachable and not self.is_leaving


@dataclass(frozen=True)
class VoterChange:
    """Replica that is added to the voters or removed from them."""

    replica: ReplicaId
    is_added: bool


@dataclass(frozen=True)
class VoterView:
    """Inputs of the choice, as known to the leader at one time.

    Attributes:
        voters: Voters in the order in which they were added, oldest first.
        learners: Replicas that receive entries but do not vote.
        target: Desired number of voters; 0 admits only replicas with the name of a
            voter.
    """

    voters: Sequence[Member]
    learners: Sequence[Member]
    target: int

    @property
    def most_voters(self) -> int:
        """Largest voter set that running replicas are added to.

        A target of ``2 * n + 1`` tolerates ``n`` losses. With ``4 * n + 1`` voters,
        ``n`` voters can be replaced and ``n`` others lost at the same time.
        """
        return 2 * self.target - 1

    def has_successor(self) -> bool:
        """Return whether a voter that leaves can be removed from the voters."""
        has_learner = any(learner.is_staying for learner in self.learners)
        return self.target > 0 and (len(self.voters) > self.target or has_learner)


def choose_voter_change(view: VoterView) -> VoterChange | None:
    """Return the change that is needed and currently safe, None if there is none."""
    for choose in _CHOICES:
        change = choose(view)
        if change is not None:
            return change
    return None


def _remove_replaced(view: VoterView) -> VoterChange | None:
    """Remove the older of two voters with the same name, which have other disks."""
    newest: dict[str, ReplicaId] = {}
    for voter in view.voters:
        name = voter.replica.name
        if name in newest:
            return VoterChange(newest[name], is_added=False)
        newest[name] = voter.replica
    return None


def _add_new_disk(view: VoterView) -> VoterChange | None:
    """Add the new disk of a voter whose former disk no longer replies."""
    names = {voter.replica.name for voter in view.voters}
    return _add_first(view, lambda learner: learner.replica.name in names)


def _remove_surplus(view: VoterView) -> VoterChange | None:
    """Remove a voter that leaves or does not reply if enough others remain."""
    if not 0 < view.target < len(view.voters):
        return None
    leaving = [voter for voter in view.voters if voter.is_leaving]
    lost = [voter for voter in view.voters if not voter.is_reachable]
    for removed in (*leaving, *lost):
        remaining = [voter for voter in view.voters if voter is not removed]
        # Without a reachable majority of the remaining voters, the removal itself
        # could not be committed.
        if _has_reachable_majority(remaining):
            return VoterChange(removed.replica, is_added=False)
    return None


def _replace_voter(view: VoterView) -> VoterChange | None:
    """Add a learner for a missing voter, or for one that leaves or does not reply.

    The voter that it replaces is removed next, as a surplus voter.
    """
    if len(view.voters) > view.target:
        return None
    is_complete = len(view.voters) == view.target
    if is_complete and all(voter.is_staying for voter in view.voters):
        return None
    return _add_first(view, lambda learner: True)


def _grow(view: VoterView) -> VoterChange | None:
    """Add a learner if that leads to a larger set of odd size."""
    size = len(view.voters)
    if not 0 < view.target <= size < view.most_voters:
        return None
    ready = sum(learner.is_ready for learner in view.learners)
    missing = 1 if size % 2 == 0 else 2
    return _add_first(view, lambda learner: True) if ready >= missing else None


def _add_newer(view: VoterView) -> VoterChange | None:
    """Add a learner that is newer than a voter, which gives up its vote next."""
    size = len(view.voters)
    if not 0 < view.target <= size or size % 2 == 0:
        return None
    if size == 1 or not all(voter.is_staying for voter in view.voters):
        return None
    oldest_ms = _oldest_follower(view).created_ms
    return _add_first(view, lambda learner: learner.created_ms > oldest_ms)


def _shrink(view: VoterView) -> VoterChange | None:
    """Remove a voter from a set of even size that no learner can complete.

    The oldest one but the leader is removed. It goes on as a learner.
    """
    size = len(view.voters)
    if not 0 < view.target < size or size % 2 == 1:
        return None
    can_grow = size < view.most_voters
    if can_grow and any(learner.is_staying for learner in view.learners):
        return None
    oldest = _oldest_follower(view)
    remaining = [voter for voter in view.voters if voter is not oldest]
    if not _has_reachable_majority(remaining):
        return None
    return VoterChange(oldest.replica, is_added=False)


_CHOICES: tuple[Callable[[VoterView], VoterChange | None], ...] = (
    _remove_replaced,
    _add_new_disk,
    _remove_surplus,
    _replace_voter,
    _grow,
    _add_newer,
    _shrink,
)


def _oldest_follower(view: VoterView) -> Member:
    """Return the voter beside the leader whose disk was formatted first.

    Among voters of the same or unknown age it is the one that was added first.
    """
    followers = [voter for voter in view.voters if not voter.is_leader]
    return min(followers, key=lambda voter: voter.created_ms)


def _add_first(
    view: VoterView, is_wanted: Callable[[Member], bool]
) -> VoterChange | None:
    """Add the newest wanted learner that the voters can take."""
    newest_first = sorted(view.learners, key=lambda one: one.created_ms, reverse=True)
    for learner in newest_first:
        if not learner.is_ready or not is_wanted(learner):
            continue
        name = learner.replica.name
        is_known = any(
            voter.is_reachable for voter in view.voters if voter.replica.name == name
        )
        if not is_known and _has_reachable_majority([*view.voters, learner]):
            return VoterChange(learner.replica, is_added=True)
    return None


def _has_reachable_majority(voters: Sequence[Member]) -> bool:
    reachable = sum(voter.is_reachable for voter in voters)
    return reachable > len(voters) // 2
