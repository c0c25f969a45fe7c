"""Claim table for non-idempotent calls, part of the replicated state machine."""

from collections import OrderedDict
from sys import intern
from typing import Any

import msgspec

from mustardtrack.idempotency.answers import Answer, limit_answer
from mustardtrack.idempotency.commands import DEFAULT_UNKNOWN_AFTER_MS
from mustardtrack.idempotency.keys import (
    KEY_REMEDY,
    IdempotencyKey,
    KeyFormatError,
    parse_key,
)
from mustardtrack.idempotency.outcomes import (
    AttemptEnded,
    BodyMismatch,
    ClaimOutcome,
    Completed,
    Expired,
    Granted,
    InProgress,
    KeyExpired,
    KeyInvalid,
    NotHeld,
    OutcomeUnknown,
    Released,
    Stored,
)
from mustardtrack.logs import define_event, log_event, require_invariant

CLAIM_RETENTION_MS = 24 * 3_600_000
# A claim is granted at most MAX_KEY_FUTURE_MS before the creation time of its key. The
# limits leave a margin, so that a key is too old before its claim is dropped.
MAX_KEY_AGE_MS = 23 * 3_600_000
MAX_KEY_FUTURE_MS = 5 * 60_000

SECOND_GRANT = define_event(
    3003, "ERROR", "claim granted while another attempt holds it"
)
CLOCK_MOVED_BACKWARDS = define_event(
    3004, "ERROR", "update would move the state clock backwards"
)
COMPLETED_WITHOUT_CLAIM = define_event(
    3005, "WARNING", "completion by an attempt that does not hold the claim"
)
KEY_ACCEPTED_AFTER_EXPIRY = define_event(
    3006, "ERROR", "key accepted although its claim may have been dropped"
)


class ClaimRecord(msgspec.Struct, array_like=True, gc=False):
    """State of one claim.

    ``attempt`` is empty while no attempt holds the claim, and ``answer`` until the
    claim is complete. The answer is stored encoded to save memory.
    """

    body_digest: str
    attempt: str
    router: str
    endpoint: str
    fence: int
    granted_wall_ms: int
    unknown_after_ms: int
    released: tuple[str, ...] = ()
    answer: bytes = b""


class ClaimTable:
    """Grants each key to at most one running attempt.

    ``wall_ms`` is the clock of the replicated state. It never moves backwards. It
    advances to the time of the proposer of a claim, and only if the age of the
    claim's key, whose creation time the client's clock sets, is accepted at that
    time. A single control host with a wrong clock therefore cannot expire the keys
    of all callers.
    """

    def __init__(self) -> None:
        self.wall_ms = 0
        self._latest_dropped_grant_wall_ms = -CLAIM_RETENTION_MS
        # Ordered by grant time, so that expiry reads only the oldest records. A plain
        # dict needs linear time to find its first item after removals.
        self._records: OrderedDict[tuple[str, bytes], ClaimRecord] = OrderedDict()

    def __len__(self) -> int:
        return len(self._records)

    def claim(
        self,
        account: str,
        key: str,
        body_digest: str,
        attempt: str,
        router: str,
        wall_ms: int,
        fence: int,
        endpoint: str = "",
        unknown_after_ms: int = DEFAULT_UNKNOWN_AFTER_MS,
    ) -> ClaimOutcome:
        """Grant the key to the attempt, or return why it must not run.

        Args:
            account: Client account.
            key: Idempotency key of the caller.
            body_digest: Digest of method, path and body.
            attempt: Attempt id; repeated claims with the same id are idempotent.
            router: Router that dispatches the call.
            wall_ms: Unix time of the proposer in milliseconds.
            fence: Fencing token of a new grant: the log index of this command.
            endpoint: Endpoint that the router intends to use.
            unknown_after_ms: Time after the grant at which the outcome of a claim
                that is neither complete nor released counts as unknown.
        """
        try:
            parsed = parse_key(key)
        except KeyFormatError:
            return KeyInvalid(KEY_REMEDY)
        record_key = (intern(account), parsed.value)
        now_ms = max(self.wall_ms, wall_ms)
        record = self._records.get(record_key)
        key_expired = _check_key_age(parsed, now_ms)
        if key_expired is None:
            self._advance_clock(now_ms)
        if record is not None and now_ms < record.granted_wall_ms + CLAIM_RETENTION_MS:
            outcome = self._resolve_existing(record, body_digest, attempt)
            if outcome is not None:
                return outcome
        if key_expired is not None:
            return key_expired
        self._grant(
            record_key,
            ClaimRecord(
                body_digest,
                attempt,
                intern(router),
                intern(endpoint),
                fence,
                self.wall_ms,
                unknown_after_ms,
                record.released if record else (),
            ),
            parsed,
        )
        return Granted(attempt, fence)

    def complete(
        self, account: str, key: str, attempt: str, answer: Answer
    ) -> Completed | NotHeld:
        """Store the answer of the attempt that holds the claim."""
        record = self._find(account, key)
        if record is None or not attempt or record.attempt != attempt:
            log_event(COMPLETED_WITHOUT_CLAIM, account=account, attempt=attempt)
            return NotHeld("another attempt holds the claim, or it has expired")
        if not record.answer:
            record.answer = msgspec.msgpack.encode(limit_answer(answer))
        return Completed()

    def release(self, account: str, key: str, attempt: str) -> Released | NotHeld:
        """Release the claim of an attempt that sent no byte.

        A claim is kept if it is complete or has been open for so long that its
        outcome counts as unknown.
        """
        record = self._find(account, key)
        if record is not None and attempt in record.released:
            return Released()
        if record is None or not attempt or record.attempt != attempt:
            return NotHeld("another attempt holds the claim, or it has expired")
        if record.answer:
            return NotHeld("the claim is complete")
        if self._is_unknown(record):
            return NotHeld("the outcome already counts as unknown")
        record.released = (*record.released, attempt)
        record.attempt = ""
        return Released()

    def expire(self, wall_ms: int) -> Expired:
        """Drop claims that were granted at least 24 h ago.

        The age is measured by ``wall_ms`` or the state clock, whichever is earlier.
        """
        return Expired(self._drop_expired(min(wall_ms, self.wall_ms)))

    def dump(self) -> list[Any]:
        """Return the contents of the table as values that msgspec can encode."""
        records = [
            (account, key, record) for (account, key), record in self._records.items()
        ]
        return [self.wall_ms, self._latest_dropped_grant_wall_ms, records]

    @classmethod
    def load(cls, data: list[Any]) -> "ClaimTable":
        """Rebuild a table from the decoded result of :meth:`dump`."""
        table = cls()
        table.wall_ms, table._latest_dropped_grant_wall_ms, records = data
        for account, key, fields in records:
            record = msgspec.convert(fields, ClaimRecord)
            record.router = intern(record.router)
            record.endpoint = intern(record.endpoint)
            table._records[intern(account), key] = record
        return table

    def _find(self, account: str, key: str) -> ClaimRecord | None:
        try:
            return self._records.get((account, parse_key(key).value))
        except KeyFormatError:
            return None

    def _is_unknown(self, record: ClaimRecord) -> bool:
        return self.wall_ms - record.granted_wall_ms >= record.unknown_after_ms

    def _resolve_existing(
        self, record: ClaimRecord, body_digest: str, attempt: str
    ) -> ClaimOutcome | None:
        """Return the outcome for an existing record, None if it can be granted."""
        if record.body_digest != body_digest:
            return BodyMismatch()
        if record.answer:
            return Stored(msgspec.msgpack.decode(record.answer, type=Answer))
        if record.attempt and self._is_unknown(record):
            return _describe_unknown(record)
        if attempt in record.released:
            return AttemptEnded(attempt)
        if not record.attempt:
            return None
        if record.attempt == attempt:
            return Granted(attempt, record.fence)
        return InProgress(record.granted_wall_ms)

    def _grant(
        self, record_key: tuple[str, bytes], record: ClaimRecord, key: IdempotencyKey
    ) -> None:
        previous = self._records.get(record_key)
        require_invariant(
            previous is None or not previous.attempt,
            SECOND_GRANT,
            attempt=record.attempt,
        )
        require_invariant(
            key.created_wall_ms
            > self._latest_dropped_grant_wall_ms + MAX_KEY_FUTURE_MS,
            KEY_ACCEPTED_AFTER_EXPIRY,
            attempt=record.attempt,
        )
        self._records.pop(record_key, None)
        self._records[record_key] = record

    def _advance_clock(self, now_ms: int) -> None:
        require_invariant(now_ms >= self.wall_ms, CLOCK_MOVED_BACKWARDS, now_ms=now_ms)
        self.wall_ms = now_ms
        self._drop_expired(now_ms)

    def _drop_expired(self, now_ms: int) -> int:
        count = 0
        while self._records:
            granted_ms = next(iter(self._records.values())).granted_wall_ms
            if granted_ms + CLAIM_RETENTION_MS > now_ms:
                break
            self._records.popitem(last=False)
            self._latest_dropped_grant_wall_ms = max(
                self._latest_dropped_grant_wall_ms, granted_ms
            )
            count += 1
        return count


def _check_key_age(key: IdempotencyKey, now_ms: int) -> KeyExpired | None:
    age_ms = now_ms - key.created_wall_ms
    if age_ms > MAX_KEY_AGE_MS:
        return KeyExpired("too_old", "unknown", "check the earlier call's effect")
    if age_ms < -MAX_KEY_FUTURE_MS:
        return KeyExpired("in_future", "not_run", "correct the clock of the caller")
    return None


def _describe_unknown(record: ClaimRecord) -> OutcomeUnknown:
    where = record.endpoint or "the service"
    return OutcomeUnknown(
        record.endpoint,
        record.granted_wall_ms,
        f"ask {where} whether the call of attempt {record.attempt} took effect; "
        "send a new key only if it did not",
    )
