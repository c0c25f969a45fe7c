"""Guards against bytes between zones that say what the router knows already.

Load pattern: many routers ask each control host several times a second while nothing
changes.
"""

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from mustardtrack.ports.sync_messages import SyncReply
from mustardtrack.ports.syncdetails import UNKNOWN, KnownDetails, omit_known


def make_reply(**changes):
    fields = {
        "stale_ms": 5,
        "revision": 9,
        "document_version": 4,
        "content": b"",
        "weights": {"model": 2},
        "endpoints": None,
        "controls": [f"10.0.0.{number}:7340" for number in range(6)],
        "router_count": 57,
        "leader": "10.0.0.1:7340",
        "prefill_rates": {"s": 61.2},
    }
    return SyncReply(**{**fields, **changes})


def send(reply, known, control="c1"):
    """Return the reply as the router applies it, and its size in bytes."""
    body = msgspec.msgpack.encode(omit_known(reply, known.digest(control)))
    decoded = msgspec.msgpack.decode(body, type=SyncReply)
    return known.restore(control, decoded), len(body)


def test_unchanged_details_are_sent_once():
    known = KnownDetails()
    first, first_bytes = send(make_reply(), known)
    second, second_bytes = send(make_reply(stale_ms=7), known)
    assert second.controls == first.controls == make_reply().controls
    assert (second.weights, second.leader) == ({"model": 2}, "10.0.0.1:7340")
    assert second.stale_ms == 7
    assert second_bytes < first_bytes / 3


@pytest.mark.parametrize(
    "change",
    [
        {"weights": {"model": 3}},
        {"controls": []},
        {"leader": ""},
        {"leader": "10.0.0.2:7340"},
        {"refused": ["f"]},
        {"prefill_rates": {}},
        {"prefill_rates": {"s": 75.0}},
    ],
)
def test_changed_details_are_sent(change):
    """Guards against a router that keeps an old leader or refuses what is allowed."""
    known = KnownDetails()
    send(make_reply(), known)
    changed, _ = send(make_reply(**change), known)
    for name, value in change.items():
        assert getattr(changed, name) == value
    # What changes back is sent again.
    back, _ = send(make_reply(), known)
    assert back.leader == make_reply().leader and back.weights == {"model": 2}


def test_details_are_kept_by_control_host():
    """Guards against the leader of one host that is taken for that of another."""
    known = KnownDetails()
    send(make_reply(), known, "c1")
    send(make_reply(leader="other"), known, "c2")
    assert send(make_reply(), known, "c1")[0].leader == make_reply().leader
    assert send(make_reply(leader="other"), known, "c2")[0].leader == "other"


def test_reply_of_an_earlier_release_is_whole():
    """Guards against routers that are upgraded before the control hosts."""
    known = KnownDetails()
    send(make_reply(), known)
    old = make_reply(leader="old")
    assert known.restore("c1", old) is old
    assert send(make_reply(), known)[0].leader == make_reply().leader


def test_router_that_has_lost_the_details_asks_for_them():
    known = KnownDetails()
    reply = omit_known(make_reply(), UNKNOWN)
    omitted = omit_known(make_reply(), reply.details_digest)
    with pytest.raises(ValueError, match="c1"):
        known.restore("c1", omitted)
    assert known.digest("c1") == UNKNOWN
    assert send(make_reply(), known)[0].controls == make_reply().controls


CHANGES = st.fixed_dictionaries(
    {
        "weights": st.sampled_from([{}, {"m": 1}, {"m": 2}]),
        "leader": st.sampled_from(["", "a", "b"]),
        "refused": st.sampled_from([[], ["x"]]),
        "stale_ms": st.integers(0, 100),
    }
)


@given(st.lists(CHANGES, max_size=20))
def test_router_always_applies_the_details_of_the_host(changes):
    known = KnownDetails()
    for change in changes:
        applied, _ = send(make_reply(**change), known)
        for name, value in change.items():
            assert getattr(applied, name) == value
