"""What one router knows about prompt parts that crash engines.

It refuses prompts with the parts that the leader found, and tells the leader which
prompts were lost and which suspected parts were answered since. Lost prompts are kept,
so that a new leader learns of them.
"""

from collections import OrderedDict, deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass

import msgspec

from mustardtrack.admission.partcrashes import (
    EVIDENCE_LIFETIME_MS,
    MAX_ANSWERED_PARTS,
    CrashEvidence,
    LostPrompt,
    RefusedParts,
)

MAX_KEPT_PROMPTS = 512


class PartReport(msgspec.Struct, frozen=True, array_like=True):
    """Report of a router to the leader.

    Attributes:
        lost: Prompts that were lost with an engine.
        answer_count: Prompts that were answered whole since the last report.
        answered: Suspected parts that were answered, with the ages of the answers.
    """

    lost: list[LostPrompt] = []
    answer_count: int = 0
    answered: dict[str, int] = {}


EMPTY_REPORT = PartReport()


@dataclass(frozen=True)
class _KeptPrompt:
    """Lost prompt whose ages are counted from ``seen_ms``."""

    prompt: LostPrompt
    seen_ms: int

    def aged(self, now_ms: int) -> LostPrompt:
        added_ms = now_ms - self.seen_ms
        return msgspec.structs.replace(
            self.prompt,
            sent_age_ms=self.prompt.sent_age_ms + added_ms,
            lost_age_ms=self.prompt.lost_age_ms + added_ms,
        )


@dataclass(frozen=True)
class _Received:
    """Evidence of a leader, whose ages are counted from ``seen_ms``."""

    evidence: CrashEvidence
    seen_ms: int


class PartWatch:
    """Prompt parts that one router refuses, suspects or has seen answered.

    Attributes:
        on_refusal: Called when evidence with refusals was received.

    Examples:
        >>> watch = PartWatch()
        >>> refused = RefusedParts(["m:a", "m:b"], 3, 0, "c1")
        >>> watch.receive(CrashEvidence("c1:1", [refused]), 0)
        >>> watch.find_refused(["m:a", "m:c"]) is None
        True
        >>> watch.find_refused(["m:a", "m:b"]) is refused
        True
    """

    def __init__(self) -> None:
        self._received = _Received(CrashEvidence(""), 0)
        self._refused: list[tuple[frozenset[str], RefusedParts]] = []
        self._kept: deque[_KeptPrompt] = deque(maxlen=MAX_KEPT_PROMPTS)
        self._unsent: deque[_KeptPrompt] = deque(maxlen=MAX_KEPT_PROMPTS)
        self._answered_ms: OrderedDict[str, int] = OrderedDict()
        self._reported_ms: dict[str, int] = {}
        self._answer_count = 0
        self._leader = ""
        self.on_refusal: Callable[[], None] | None = None

    @property
    def revision(self) -> str:
        """Revision of the evidence that was received last."""
        return self._received.evidence.revision

    def receive(self, evidence: CrashEvidence, now_ms: int) -> None:
        """Replace the evidence by that of the leader."""
        self._received = _Received(evidence, now_ms)
        self._refused = [(frozenset(item.parts), item) for item in evidence.refused]
        self._reported_ms = {
            part: at_ms
            for part, at_ms in self._reported_ms.items()
            if part in evidence.suspects
        }
        for part, age_ms in evidence.released.items():
            self._forget(part, now_ms - age_ms)
        if self._refused and self.on_refusal is not None:
            self.on_refusal()

    def _forget(self, part: str, released_ms: int) -> None:
        """Drop the lost prompts with a part that was released after their loss."""
        kept = [
            item
            for item in self._kept
            if part not in item.prompt.parts
            or item.seen_ms - item.prompt.lost_age_ms > released_ms
        ]
        self._kept = deque(kept, maxlen=MAX_KEPT_PROMPTS)

    def find_refused(self, parts: Sequence[str]) -> RefusedParts | None:
        """Return the refusal of a prompt with these parts, None if it is accepted."""
        for refused, refusal in self._refused:
            if refused.issubset(parts):
                return refusal
        return None

    def offers(self, now_ms: int) -> list[RefusedParts]:
        """Return the refusals for hosts that may not know of them."""
        added_ms = now_ms - self._received.seen_ms
        aged = [
            msgspec.structs.replace(
                refusal, last_crash_age_ms=refusal.last_crash_age_ms + added_ms
            )
            for _, refusal in self._refused
        ]
        return [item for item in aged if item.last_crash_age_ms < EVIDENCE_LIFETIME_MS]

    def record_lost(self, prompt: LostPrompt, now_ms: int) -> None:
        """Record a prompt that was lost with its engine."""
        kept = _KeptPrompt(prompt, now_ms)
        self._kept.append(kept)
        self._unsent.append(kept)

    def record_answer(self, parts: Sequence[str], now_ms: int) -> None:
        """Record a prompt that was answered whole."""
        self._answer_count += 1
        for part in parts:
            self._answered_ms[part] = now_ms
            self._answered_ms.move_to_end(part)
        while len(self._answered_ms) > MAX_ANSWERED_PARTS:
            self._answered_ms.popitem(last=False)

    def take_report(self, leader: str, now_ms: int) -> PartReport:
        """Return what the leader does not know yet; a new leader gets all reports.

        Args:
            leader: Name of the leader, to which the report is sent.
            now_ms: Monotonic time.
        """
        unsent = list(self._unsent)
        if leader != self._leader:
            self._leader = leader
            self._reported_ms = {}
            oldest_ms = now_ms - EVIDENCE_LIFETIME_MS
            unsent = [item for item in self._kept if item.seen_ms >= oldest_ms]
        report = PartReport(
            [item.aged(now_ms) for item in unsent],
            self._answer_count,
            self._take_answered(now_ms),
        )
        self._unsent.clear()
        self._answer_count = 0
        return report

    def _take_answered(self, now_ms: int) -> dict[str, int]:
        """Return the suspects that were answered since their last crash."""
        answered = {}
        received = self._received
        for part, age_ms in received.evidence.suspects.items():
            crash_ms = received.seen_ms - age_ms
            answered_ms = self._answered_ms.get(part)
            if answered_ms is None or answered_ms <= crash_ms:
                continue
            if self._reported_ms.get(part, crash_ms) <= crash_ms:
                self._reported_ms[part] = answered_ms
                answered[part] = now_ms - answered_ms
        return answered
