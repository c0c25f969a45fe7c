"""Claims of non-idempotent calls, part of the replicated state machine."""

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

RETENTION_MS = 24 * 3_600_000
MAX_KEY_AGE_MS = 23 * 3_600_000
MAX_KEY_FUTURE_MS = 5 * 60_000

SECOND_GRANT = define_event(3003, "ERROR", "claim granted while another is open")
CLOCK_BACKWARDS = define_event(3004, "ERROR", "state clock would move backwards")
COMPLETED_WITHOUT_CLAIM = define_event(
    3005, "WARNING", "completion from an attempt that does not hold the claim"
)
KEY_ACCEPTED_AFTER_EXPIRY = define_event(
    3006, "ERROR", "key accepted whose claim may have been dropped"
)


class ClaimRecord(msgspec.Struct, array_like=True, gc=False):
    """State of one claim.

    ``attempt`` is empty while no attempt holds the claim, ``answer`` while it is not
    complete. The answer is kept encoded, which takes less memory.
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

    ``wall_ms`` is the clock of the state. It moves forward only with a claim whose
    key, created by the client's clock, agrees with the proposed time; a single
    control host with a wrong clock can therefore not expire the keys of all
    callers. It never moves backwards.
    """

    def __init__(self) -> None:
        self.wall_ms = 0
        self._dropped_wall_ms = -RETENTION_MS
        # In order of the grant, so that expiry reads only the oldest records. A
        # plain dict takes linear time to find its first item after removals.
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
        """Grant the key to the attempt, or tell why it must not run.

        Args:
            account: Client account.
            key: Idempotency key of the caller.
            body_digest: Digest of the call.
            attempt: Attempt id; claiming again with the same id is safe.
            router: Router that dispatches.
            wall_ms: Unix time of the proposer.
            fence: Log index of the claim.
            endpoint: Endpoint the router intends to use.
            unknown_after_ms: Time after which an open claim counts as unknown.
        """
        try:
            parsed = parse_key(key)
        except KeyFormatError:
            return KeyInvalid(KEY_REMEDY)
        place = (intern(account), parsed.value)
        now_ms = max(self.wall_ms, wall_ms)
        record = self._records.get(place)
        refusal = _check_age(parsed, now_ms)
        if refusal is None:
            self._advance(now_ms)
        if record is not None and now_ms < record.granted_wall_ms + RETENTION_MS:
            answer = self._answer_existing(record, body_digest, attempt)
            if answer is not None:
                return answer
        if refusal is not None:
            return refusal
        self._grant(
            place,
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
        """Free the claim of an attempt that sent no byte.

        A claim that is complete, or open for so long that its outcome counts as
        unknown, is kept.
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
        """Drop claims that were granted more than 24 h ago.

        The state clock is used where it is behind ``wall_ms``.
        """
        return Expired(self._drop_old(min(wall_ms, self.wall_ms)))

    def dump(self) -> list[Any]:
        """Return the table as values that msgspec can encode."""
        records = [
            (account, key, record) for (account, key), record in self._records.items()
        ]
        return [self.wall_ms, self._dropped_wall_ms, records]

    @classmethod
    def load(cls, data: list[Any]) -> "ClaimTable":
        """Rebuild a table from decoded values of :meth:`dump`."""
        table = cls()
        table.wall_ms, table._dropped_wall_ms, records = data
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

    def _answer_existing(
        self, record: ClaimRecord, body_digest: str, attempt: str
    ) -> ClaimOutcome | None:
        """Return the outcome that the record dictates, None if it is free."""
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
        self, place: tuple[str, bytes], record: ClaimRecord, key: IdempotencyKey
    ) -> None:
        previous = self._records.get(place)
        require_invariant(
            previous is None or not previous.attempt,
            SECOND_GRANT,
            attempt=record.attempt,
        )
        require_invariant(
            key.created_wall_ms > self._dropped_wall_ms + MAX_KEY_FUTURE_MS,
            KEY_ACCEPTED_AFTER_EXPIRY,
            attempt=record.attempt,
        )
        self._records.pop(place, None)
        self._records[place] = record

    def _advance(self, now_ms: int) -> None:
        require_invariant(now_ms >= self.wall_ms, CLOCK_BACKWARDS, now_ms=now_ms)
        self.wall_ms = now_ms
        self._drop_old(now_ms)

    def _drop_old(self, now_ms: int) -> int:
        count = 0
        while self._records:
            granted_ms = next(iter(self._records.values())).granted_wall_ms
            if granted_ms + RETENTION_MS > now_ms:
                break
            self._records.popitem(last=False)
            self._dropped_wall_ms = max(self._dropped_wall_ms, granted_ms)
            count += 1
        return count


def _check_age(key: IdempotencyKey, now_ms: int) -> KeyExpired | None:
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
