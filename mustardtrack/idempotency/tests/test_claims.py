"""Guards against wrong answers to resent calls and false refusals."""

import pytest

from mustardtrack.configuration import decode_outcome, encode_outcome
from mustardtrack.idempotency import (
    AttemptEnded,
    BodyMismatch,
    ClaimTable,
    Completed,
    DispatchGuard,
    Granted,
    InProgress,
    KeyExpired,
    KeyFormatError,
    KeyInvalid,
    NotHeld,
    OutcomeUnknown,
    Released,
    Stored,
    build_stored_answer,
    parse_key,
)
from mustardtrack.idempotency.answers import Answer
from mustardtrack.logs import InvariantViolationError

KEY = "017F22E2-79B0-7CC3-98C4-DC0C0C07398F"
NOW_MS = 1_645_557_742_000
HOUR_MS = 3_600_000
ANSWER = build_stored_answer(201, "application/json", b"{}")


def claim(table, attempt, wall_ms=NOW_MS, key=KEY, digest="d", fence=7):
    outcome = table.claim(
        "acme", key, digest, attempt, "router-1", wall_ms, fence, endpoint="desk-1"
    )
    assert decode_outcome(encode_outcome(outcome)) == outcome
    return outcome


def test_resend_gets_the_outcome_of_the_first_attempt():
    table = ClaimTable()
    assert claim(table, "a.1") == Granted("a.1", 7)
    assert claim(table, "a.1", fence=8) == Granted("a.1", 7)
    assert claim(table, "b.1", key=KEY.lower()) == InProgress(NOW_MS)
    assert claim(table, "b.1", digest="other") == BodyMismatch()
    assert table.complete("acme", KEY, "b.1", ANSWER) != Completed()
    assert table.complete("acme", KEY, "a.1", ANSWER) == Completed()
    assert (
        table.complete("acme", KEY, "a.1", build_stored_answer(500, "", b""))
        == Completed()
    )
    assert claim(table, "a.1") == claim(table, "b.1") == Stored(ANSWER)
    assert isinstance(table.release("acme", KEY, "a.1"), NotHeld)


def test_accounts_do_not_share_keys():
    table = ClaimTable()
    claim(table, "a.1")
    outcome = table.claim("other", KEY, "d", "b.1", "router-1", NOW_MS, 8)
    assert outcome == Granted("b.1", 8)


def test_released_key_is_granted_to_another_attempt_only():
    table = ClaimTable()
    claim(table, "a.1")
    assert table.release("acme", KEY, "a.1") == Released()
    assert claim(table, "a.1") == AttemptEnded("a.1")
    assert claim(table, "a.2", fence=9) == Granted("a.2", 9)
    assert table.release("acme", KEY, "a.1") == Released()
    assert claim(table, "a.3") == InProgress(NOW_MS)
    unknown = claim(table, "a.3", NOW_MS + 37_000)
    assert isinstance(unknown, OutcomeUnknown)
    assert claim(table, "a.1") == unknown


def test_outcome_of_open_claim_becomes_unknown_permanently():
    table = ClaimTable()
    claim(table, "a.1")
    later_ms = NOW_MS + 37_000
    assert claim(table, "b.1", later_ms - 1) == InProgress(NOW_MS)
    unknown = claim(table, "b.1", later_ms)
    assert isinstance(unknown, OutcomeUnknown) and unknown.endpoint == "desk-1"
    assert claim(table, "a.1", NOW_MS) == unknown
    assert isinstance(table.release("acme", KEY, "a.1"), NotHeld)
    assert table.complete("acme", KEY, "a.1", ANSWER) == Completed()
    assert claim(table, "b.1", later_ms) == Stored(ANSWER)


@pytest.mark.parametrize(
    ("age_ms", "outcome"),
    [
        (-5 * 60_000, Granted),
        (-5 * 60_000 - 1, KeyExpired),
        (23 * HOUR_MS, Granted),
        (23 * HOUR_MS + 1, KeyExpired),
    ],
)
def test_age_limits_of_keys(age_ms, outcome):
    found = claim(ClaimTable(), "a.1", NOW_MS + age_ms)
    assert isinstance(found, outcome)
    if isinstance(found, KeyExpired):
        assert found.ran == ("not_run" if age_ms < 0 else "unknown")


def test_claims_are_retained_for_exactly_one_day():
    table = ClaimTable()
    claim(table, "a.1")
    table.complete("acme", KEY, "a.1", ANSWER)
    day_ms = NOW_MS + 24 * HOUR_MS
    assert claim(table, "a.2", day_ms - 1) == Stored(ANSWER)
    assert isinstance(claim(table, "a.2", day_ms), KeyExpired)
    assert table.expire(day_ms).count == 0, (
        "the state clock has not reached the end of the retention"
    )
    created = f"{day_ms:012x}"
    claim(
        table, "b.1", day_ms, key=f"{created[:8]}-{created[8:]}-7000-8000-000000000000"
    )
    assert len(table) == 1


@pytest.mark.parametrize(
    "key", ["", KEY[:-1], "{" + KEY[1:], KEY.replace("-7", "-4"), "x" * 36, KEY + "\n"]
)
def test_malformed_keys_are_refused_as_not_run(key):
    assert isinstance(claim(ClaimTable(), "a.1", key=key), KeyInvalid)
    with pytest.raises(KeyFormatError, match="version 7"):
        parse_key(key)


def test_large_answer_is_replaced_by_its_digest():
    assert build_stored_answer(200, "", b"x" * 65_536).kept
    table = ClaimTable()
    claim(table, "a.1")
    body = b"x" * 65_537
    table.complete("acme", KEY, "a.1", Answer(200, "", body, "digest", len(body)))
    stored = claim(table, "a.2")
    assert stored.answer == Answer(200, "", b"", "digest", 65_537, kept=False)


def test_guard_allows_one_dispatch_within_the_window():
    assert not DispatchGuard(1000, 2000).allow(3000)
    assert not DispatchGuard(1000, 2000).allow(999)
    guard = DispatchGuard(1000, 2000)
    assert guard.allow(2999)
    with pytest.raises(InvariantViolationError, match="event 3002"):
        guard.allow(2999)
