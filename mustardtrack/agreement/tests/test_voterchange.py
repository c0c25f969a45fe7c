"""Tests the choice of voter changes from what the leader knows, without a group."""

from dataclasses import replace

import pytest

from mustardtrack.agreement.entries import ReplicaId
from mustardtrack.agreement.voterchange import (
    Member,
    VoterChange,
    VoterView,
    choose_voter_change,
)

# Marks after the name of a replica: + leader, ! leaving, - unreachable, * ready.
MARKS = {"+": "is_leader", "!": "is_leaving", "*": "is_ready"}


def make_members(text):
    members = []
    for word in text.split():
        marks = {MARKS[mark]: True for mark in word[1:] if mark in MARKS}
        replica = ReplicaId(word[0], f"{word[0]}.1")
        members.append(Member(replica, is_reachable="-" not in word, **marks))
    return members


def choose(voters, learners="", target=3):
    view = VoterView(make_members(voters), make_members(learners), target)
    change = choose_voter_change(view)
    if change is None:
        return ""
    return ("+" if change.is_added else "-") + change.replica.name


@pytest.mark.parametrize(
    ("voters", "learners", "expected"),
    [
        # One host more than needed: no change, and it replaces one that goes.
        ("a+ b c", "d*", ""),
        ("a+ b! c", "d*", "+d"),
        ("a+ b- c", "d*", "+d"),
        ("a+! b c", "d*", "+d"),
        ("a+ b! c d", "", "-b"),
        ("a+! b c d", "", "-a"),
        # Nobody can take the vote.
        ("a+ b! c", "", ""),
        ("a+ b! c", "d", ""),
        ("a+ b! c", "d!", ""),
        # Two hosts more than needed vote too, four do, a tenth one does not.
        ("a+ b c", "d* e*", "+d"),
        ("a+ b c d", "e*", "+e"),
        ("a+ b c d e", "f*", ""),
        ("a+ b c d e", "f* g*", ""),
        # The second of two learners has not caught up yet.
        ("a+ b c", "d* e", ""),
        ("a+ b c d", "e", ""),
        # Both predecessors go.
        ("a+ b- c d e", "", "-b"),
        ("a+ c- d e", "", "-c"),
        # An even set goes back to an odd one; the oldest other voter gives up its vote.
        ("a+ b c d", "", "-b"),
        ("b c+ d e", "f-", "-b"),
        # The removal of the leaving one could not be committed before the lost one's.
        ("a! b- c- d+ e", "", "-b"),
        # A vacancy is filled first.
        ("a+ b", "d*", "+d"),
        ("a+ b", "d* e*", "+d"),
        # Without a majority nothing can be changed.
        ("a+ b- c-", "d*", ""),
    ],
)
def test_voters_follow_the_running_hosts(voters, learners, expected):
    """Guards against a voter set that one planned and one other loss can stop."""
    assert choose(voters, learners) == expected


def test_without_a_target_only_new_disks_of_voters_are_added():
    """Guards against voters that no operator has named."""
    assert choose("a+ b c", "d* e*", target=0) == ""
    assert choose("a+ b- c", "b*", target=0) == "+b"
    assert choose("a+ b c", "b*", target=0) == ""


def test_older_disk_of_a_voter_is_removed_first():
    """Guards against a lost disk that counts as a second voter of its host."""
    old, new = ReplicaId("b", "b.1"), ReplicaId("b", "b.2")
    voters = [Member(ReplicaId("a", "a.1"), is_leader=True), Member(old), Member(new)]
    change = choose_voter_change(VoterView(voters, make_members("d* e*"), 3))
    assert change == VoterChange(old, is_added=False)


@pytest.mark.parametrize(
    ("created_ms", "learners", "expected"),
    [
        # A newer learner votes, then the oldest voter beside the leader goes.
        ({"d": 9}, "d*", "+d"),
        ({"a": 1, "b": 2, "c": 3, "d": 4}, "d*", "+d"),
        # Nobody votes in place of a newer voter, nor of the leader.
        ({"a": 1, "b": 3, "c": 3, "d": 2}, "d*", ""),
        ({"a": 3, "b": 3, "c": 3, "d": 3}, "d*", ""),
        # It has not caught up.
        ({"d": 9}, "d", ""),
        # The newest of several.
        ({"d": 8, "e": 9}, "d* e*", "+e"),
    ],
)
def test_newest_hosts_vote(created_ms, learners, expected):
    """Guards against a successor that has no vote when its predecessor goes."""

    def with_times(text):
        return [
            replace(member, created_ms=created_ms.get(member.replica.name, 0))
            for member in make_members(text)
        ]

    view = VoterView(with_times("a+ b c"), with_times(learners), 3)
    change = choose_voter_change(view)
    assert ("" if change is None else f"+{change.replica.name}") == expected


@pytest.mark.parametrize(
    ("created_ms", "removed"),
    [
        ({"a": 1, "b": 2, "c": 3, "d": 4}, "b"),
        ({"a": 9, "b": 5, "c": 3, "d": 7}, "c"),
    ],
)
def test_oldest_voter_beside_the_leader_gives_up_its_vote(created_ms, removed):
    """Guards against a vote that moves back to the host that is replaced."""
    voters = [
        replace(member, created_ms=created_ms[member.replica.name])
        for member in make_members("a+ b c d")
    ]
    change = choose_voter_change(VoterView(voters, [], 3))
    assert change == VoterChange(ReplicaId(removed, f"{removed}.1"), is_added=False)


def test_single_leader_keeps_its_vote():
    """Guards against a group of one that has no follower to replace."""
    assert choose("a+", "b*", target=1) == ""
