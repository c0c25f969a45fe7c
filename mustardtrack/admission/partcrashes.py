"""Identification of prompt parts that crash the engines which begin to answer them.

Load pattern: prompts that have one part in common crash each engine that begins to
answer them, and no two of them are alike. Every crash also takes the prompts that wait
at the same engine, and all of these share their first parts with sound prompts. The
leading control host collects the prompts lost with each crash and the parts that were
answered since. It refuses the parts that lost prompts have in common, as soon as chance
no longer explains why all of them were lost.
"""

from collections import OrderedDict, deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

import msgspec

from mustardtrack.logs import define_event, log_event

PARTS_REFUSED = define_event(
    8811, "WARNING", "prompt parts that crash engines are refused"
)
PARTS_ACCEPTED = define_event(8812, "INFO", "prompt parts are no longer refused")

# Crashes in succession after which parts may be refused; fewer can be chance.
MIN_CRASHES = 3
# Probability that unrelated losses explain the crashes of any suspected part, below
# which parts are refused.
MAX_CHANCE = 0.01
# Other prompts that must have been answered meanwhile. When engines answer nothing at
# all, no part is the cause.
MIN_ANSWERS = 10
# Lost prompts of one engine within this time belong to one crash.
CRASH_WINDOW_MS = 1000
# Evidence and refusals end this long after the last crash.
EVIDENCE_LIFETIME_MS = 600_000
# A host forgets refusals of another one when no router has held them for this long.
ADOPTION_LIFETIME_MS = 5000
# A search takes milliseconds when many prompts are lost.
SEARCH_PERIOD_MS = 100
MAX_CRASHES = 64
# An engine runs up to 64 prompts and queues others.
MAX_PROMPTS_PER_CRASH = 128
MAX_ANSWERED_PARTS = 4096
MAX_SUSPECTS = 256
MAX_ADOPTED = 64
# Interval over which numbers of prompts are summed.
COUNT_INTERVAL_MS = 200


class LostPrompt(msgspec.Struct, frozen=True, array_like=True):
    """Prompt whose engine closed the connection before the answer was complete.

    Attributes:
        parts: Names of its shared parts.
        sent_age_ms: Time since it was sent to the engine.
        lost_age_ms: Time since the connection was closed.
        has_output: Whether a part of the answer had arrived.
    """

    request_id: str
    endpoint: str
    parts: list[str]
    sent_age_ms: int
    lost_age_ms: int
    has_output: bool


class RefusedParts(msgspec.Struct, frozen=True, array_like=True):
    """Parts of which a prompt may not hold all.

    Attributes:
        parts: Names of the parts, sorted.
        crashes: Crashes in succession of prompts with these parts.
        last_crash_age_ms: Time since the last of them.
        source: Control process that found them.
    """

    parts: list[str]
    crashes: int
    last_crash_age_ms: int
    source: str


class CrashEvidence(msgspec.Struct, frozen=True, array_like=True):
    """What the leader tells routers about crashes.

    Attributes:
        revision: Differs from that of all earlier evidence, also of other leaders.
        refused: Parts that are refused.
        suspects: Time since the last crash of each part that may have caused one.
        released: Time since an operator released a part.
    """

    revision: str
    refused: list[RefusedParts] = []
    suspects: dict[str, int] = {}
    released: dict[str, int] = {}


def part_name(model: str, digest: str) -> str:
    """Return the name of a part: a part may crash the engines of one model only."""
    return f"{model}:{digest}"


@dataclass
class _LostPrompt:
    parts: frozenset[str]
    sent_ms: int
    lost_ms: int
    has_output: bool


@dataclass
class _Crash:
    """Prompts lost with one crash of an endpoint, by request id.

    Attributes:
        lost_count: All lost prompts without output, also those whose parts were
            answered since.
    """

    endpoint: str
    at_ms: int
    prompts: dict[str, _LostPrompt] = field(default_factory=dict)
    lost_count: int = 0

    def suspects(self) -> dict[str, _LostPrompt]:
        """Return the prompts that may have caused the crash.

        An engine that had begun to answer a prompt was not crashed by that, unless
        there is no other prompt.
        """
        waiting = {
            request_id: prompt
            for request_id, prompt in self.prompts.items()
            if not prompt.has_output
        }
        return waiting or self.prompts


@dataclass
class _Tally:
    """Crashes of prompts with one part.

    Attributes:
        first_ms: Time of the first crash.
        successions: Crashes of which each lost a prompt that was sent after the one
            before, since one cause can crash several endpoints at a time.
        crashes: All crashes.
        lost_count: All prompts without output that were lost with them.
        last_ms: Time of the last crash.
        succession_ms: Time of the last loss that counts as a succession.
        last_ids: Prompts with the part that were lost with that one.
        common: Parts that all lost prompts with this part have in common.
    """

    first_ms: int
    successions: int = 0
    crashes: int = 0
    lost_count: int = 0
    last_ms: int = 0
    succession_ms: int = 0
    last_ids: frozenset[str] = frozenset()
    common: frozenset[str] = frozenset()

    def add(self, crash: _Crash, prompts: dict[str, _LostPrompt]) -> None:
        """Add a crash with its prompts that hold the part."""
        sent_ms = max(prompt.sent_ms for prompt in prompts.values())
        is_retry = not self.last_ids.isdisjoint(prompts)
        if not self.crashes or is_retry or sent_ms > self.succession_ms:
            self.successions += 1
            self.succession_ms = max(prompt.lost_ms for prompt in prompts.values())
            self.last_ids = frozenset(prompts)
        self.crashes += 1
        self.lost_count += crash.lost_count
        self.last_ms = crash.at_ms
        common = frozenset.intersection(*(item.parts for item in prompts.values()))
        self.common = common & self.common if self.crashes > 1 else common


@dataclass
class _Refusal:
    parts: frozenset[str]
    crashes: int
    last_ms: int
    source: str
    offered_ms: int = 0


class _EventCount:
    """Number of events within the lifetime of evidence."""

    def __init__(self) -> None:
        self._counts: deque[tuple[int, int]] = deque()

    def add(self, count: int, now_ms: int) -> None:
        """Count events; those of one interval are summed."""
        counts = self._counts
        if counts and now_ms - counts[-1][0] < COUNT_INTERVAL_MS:
            began_ms, earlier = counts.pop()
            counts.append((began_ms, earlier + count))
        elif count:
            counts.append((now_ms, count))
        while counts and counts[0][0] < now_ms - EVIDENCE_LIFETIME_MS:
            counts.popleft()

    def count_since(self, since_ms: int) -> int:
        """Return the events of the intervals that began since a time."""
        return sum(count for began_ms, count in self._counts if began_ms >= since_ms)


class PartCrashes:
    """Crashes of endpoints by prompt parts, as known to one control process.

    Args:
        source: Name of this process start.

    Examples:
        >>> crashes = PartCrashes("c1")
        >>> crashes.record_answers(50, {}, 0)
        >>> for number in range(3):
        ...     lost = LostPrompt(str(number), f"e{number}", ["m:p"], 100, 0, False)
        ...     crashes.record_lost([lost], 1000 * number)
        >>> [refusal.parts for refusal in crashes.refused(2000)]
        [['m:p']]
    """

    def __init__(self, source: str) -> None:
        self._source = source
        self._crashes: list[_Crash] = []
        self._answered_ms: OrderedDict[str, int] = OrderedDict()
        self._released_ms: OrderedDict[str, int] = OrderedDict()
        self._answers = _EventCount()
        self._losses = _EventCount()
        self._counting_since_ms: int | None = None
        self._found: list[_Refusal] = []
        self._adopted: OrderedDict[frozenset[str], _Refusal] = OrderedDict()
        self._is_changed = False
        self._has_new_suspects = False
        self._next_search_ms = 0
        self._awaits_answers = False
        self._revision = 0

    def revision(self, now_ms: int) -> str:
        """Return the revision of the evidence that routers must know."""
        self._update(now_ms)
        return f"{self._source}:{self._revision}"

    def record_lost(self, prompts: Iterable[LostPrompt], now_ms: int) -> None:
        """Record prompts that were lost with an endpoint; repeated ones count once."""
        for prompt in prompts:
            self._record_lost(prompt, now_ms)

    def _record_lost(self, lost: LostPrompt, now_ms: int) -> None:
        lost_ms = now_ms - lost.lost_age_ms
        parts = frozenset(
            part for part in lost.parts if self._cleared_ms(part) < lost_ms
        )
        if now_ms - lost_ms > EVIDENCE_LIFETIME_MS:
            return
        if not parts:
            self._losses.add(not lost.has_output, lost_ms)
            return
        crash = self._find_crash(lost, lost_ms)
        if crash is None:
            crash = _Crash(lost.endpoint, lost_ms)
            self._crashes.append(crash)
            self._crashes.sort(key=lambda item: item.at_ms)
        if lost.request_id in crash.prompts:
            return
        self._losses.add(not lost.has_output, lost_ms)
        crash.lost_count += not lost.has_output
        if len(crash.prompts) >= MAX_PROMPTS_PER_CRASH:
            self._drop_prompt_with_output(crash)
        if len(crash.prompts) < MAX_PROMPTS_PER_CRASH:
            crash.prompts[lost.request_id] = _LostPrompt(
                parts, now_ms - lost.sent_age_ms, lost_ms, lost.has_output
            )
            self._has_new_suspects = True
        self._is_changed = True
        if len(self._crashes) > MAX_CRASHES:
            self._evict_crash(now_ms)

    def _find_crash(self, lost: LostPrompt, lost_ms: int) -> _Crash | None:
        for crash in reversed(self._crashes):
            is_near = abs(crash.at_ms - lost_ms) < CRASH_WINDOW_MS
            if crash.endpoint == lost.endpoint and is_near:
                return crash
        return None

    @staticmethod
    def _drop_prompt_with_output(crash: _Crash) -> None:
        for request_id, prompt in crash.prompts.items():
            if prompt.has_output:
                del crash.prompts[request_id]
                return

    def _evict_crash(self, now_ms: int) -> None:
        """Drop the oldest crash that no refusal explains, or else the oldest."""
        self._update(now_ms)
        refused = [refusal.parts for refusal in self._found]
        for crash in self._crashes:
            if not _is_explained(crash, refused):
                self._crashes.remove(crash)
                break
        else:
            del self._crashes[0]
        self._is_changed = True

    def record_answers(self, count: int, parts: Mapping[str, int], now_ms: int) -> None:
        """Record prompts that were answered whole.

        Args:
            count: Prompts answered since the last call.
            parts: Suspected parts of answered prompts with the ages of the answers.
            now_ms: Monotonic time.
        """
        if self._counting_since_ms is None:
            self._counting_since_ms = now_ms
        self._answers.add(count, now_ms)
        self._is_changed = self._is_changed or self._awaits_answers
        for part, age_ms in parts.items():
            self._clear(part, now_ms - age_ms)

    def _clear(self, part: str, answered_ms: int) -> None:
        """Remove a part from the crashes before a whole answer to it."""
        known_ms = self._answered_ms.pop(part, answered_ms)
        self._answered_ms[part] = max(known_ms, answered_ms)
        if len(self._answered_ms) > MAX_ANSWERED_PARTS:
            self._answered_ms.popitem(last=False)
        for crash in self._crashes:
            for request_id, prompt in list(crash.prompts.items()):
                if part in prompt.parts and prompt.lost_ms < answered_ms:
                    prompt.parts -= {part}
                    self._is_changed = True
                    if not prompt.parts:
                        del crash.prompts[request_id]
        self._crashes = [crash for crash in self._crashes if crash.prompts]

    def _cleared_ms(self, part: str) -> int:
        never_ms = -EVIDENCE_LIFETIME_MS
        answered_ms = self._answered_ms.get(part, never_ms)
        return max(answered_ms, self._released_ms.get(part, never_ms))

    def adopt(self, offered: Iterable[RefusedParts], now_ms: int) -> None:
        """Adopt refusals that a router holds and another process found.

        A new leader refuses these parts although it has not seen their crashes.
        """
        for refusal in offered:
            last_ms = now_ms - refusal.last_crash_age_ms
            parts = frozenset(
                part for part in refusal.parts if self._cleared_ms(part) < last_ms
            )
            if refusal.source == self._source or not parts:
                continue
            if parts not in self._adopted:
                self._revision += 1
            self._adopted[parts] = _Refusal(
                parts, refusal.crashes, last_ms, refusal.source, now_ms
            )
            self._adopted.move_to_end(parts)
            if len(self._adopted) > MAX_ADOPTED:
                self._adopted.popitem(last=False)

    def release(self, part: str, now_ms: int) -> bool:
        """Accept all prompts with a refused part again; return whether it was refused.

        The parts that are refused together with it are released, too.
        """
        self._update(now_ms)
        released = frozenset[str]().union(
            *(refusal.parts for refusal in self._refusals() if part in refusal.parts)
        )
        for name in released:
            self._released_ms[name] = now_ms
            self._clear(name, now_ms)
        while len(self._released_ms) > MAX_ANSWERED_PARTS:
            self._released_ms.popitem(last=False)
        for parts in [item for item in self._adopted if item & released]:
            del self._adopted[parts]
        self._is_changed = True
        self._next_search_ms = now_ms
        self._revision += bool(released)
        return bool(released)

    def refused(self, now_ms: int) -> list[RefusedParts]:
        """Return all refusals."""
        self._update(now_ms)
        return [
            RefusedParts(
                sorted(refusal.parts),
                refusal.crashes,
                max(0, now_ms - refusal.last_ms),
                refusal.source,
            )
            for refusal in self._refusals()
        ]

    def _refusals(self) -> list[_Refusal]:
        found = [refusal.parts for refusal in self._found]
        adopted = [
            refusal
            for refusal in self._adopted.values()
            if not any(parts <= refusal.parts for parts in found)
        ]
        return self._found + adopted

    def evidence(self, now_ms: int) -> CrashEvidence:
        """Return what routers must know."""
        refused = self.refused(now_ms)
        suspects: dict[str, int] = {}
        for crash in reversed(self._crashes):
            for prompt in crash.suspects().values():
                for part in prompt.parts:
                    if len(suspects) < MAX_SUSPECTS:
                        age_ms = max(0, now_ms - prompt.lost_ms)
                        suspects[part] = min(age_ms, suspects.get(part, age_ms))
        released = {part: now_ms - at_ms for part, at_ms in self._released_ms.items()}
        return CrashEvidence(self.revision(now_ms), refused, suspects, released)

    def _update(self, now_ms: int) -> None:
        """Drop expired evidence and find the refused parts again if it changed."""
        oldest_ms = now_ms - EVIDENCE_LIFETIME_MS
        if self._crashes and self._crashes[0].at_ms < oldest_ms:
            self._drop_expired_crashes(oldest_ms)
        for parts, refusal in list(self._adopted.items()):
            is_held = refusal.offered_ms >= now_ms - ADOPTION_LIFETIME_MS
            if not is_held or refusal.last_ms < oldest_ms:
                del self._adopted[parts]
                self._revision += 1
        if not self._is_changed or now_ms < self._next_search_ms:
            return
        self._is_changed = False
        self._next_search_ms = now_ms + SEARCH_PERIOD_MS
        before = {refusal.parts: refusal for refusal in self._found}
        self._found = self._find_refused()
        after = {refusal.parts: refusal for refusal in self._found}
        for parts in after.keys() - before.keys():
            refusal = after[parts]
            log_event(PARTS_REFUSED, parts=sorted(parts), crashes=refusal.crashes)
        for parts in before.keys() - after.keys():
            log_event(PARTS_ACCEPTED, parts=sorted(parts))
        # Routers report answers to the parts that they know as suspects.
        if self._has_new_suspects or before.keys() != after.keys():
            self._revision += 1
        self._has_new_suspects = False

    def _drop_expired_crashes(self, oldest_ms: int) -> None:
        """Drop old crashes, except those of refusals that have newer ones, too."""
        refused = [item.parts for item in self._found if item.last_ms >= oldest_ms]
        kept = [
            crash
            for crash in self._crashes
            if crash.at_ms >= oldest_ms or _is_explained(crash, refused)
        ]
        self._is_changed = self._is_changed or len(kept) < len(self._crashes)
        self._crashes = kept

    def _find_refused(self) -> list[_Refusal]:
        """Return the parts that explain most crashes, then those of the others."""
        found: list[_Refusal] = []
        known = frozenset[str]().union(*(refusal.parts for refusal in self._found))
        crashes = self._crashes
        self._awaits_answers = False
        while True:
            tallies = _count_crashes(crashes)
            candidates = []
            for part, tally in tallies.items():
                if tally.successions < MIN_CRASHES:
                    continue
                chance = len(tallies) * self._chance(tally)
                if part not in known and chance > MAX_CHANCE:
                    # More answers to other prompts can show that it is no chance.
                    self._awaits_answers = True
                    continue
                candidates.append((tally.successions, tally.crashes, part))
            if not candidates:
                return found
            tally = tallies[max(candidates)[2]]
            found.append(
                _Refusal(tally.common, tally.successions, tally.last_ms, self._source)
            )
            crashes = [
                crash for crash in crashes if not _is_explained(crash, [tally.common])
            ]

    def _chance(self, tally: _Tally) -> float:
        """Return the probability that the prompts with a part were lost by chance.

        The rate of losses is that of the crashes without the part, since the others
        would be its effect.
        """
        since_ms = max(tally.first_ms, self._counting_since_ms or 0)
        answered = self._answers.count_since(since_ms)
        if answered < MIN_ANSWERS:
            return 1.0
        lost = max(0, self._losses.count_since(since_ms) - tally.lost_count)
        # One lost prompt more than seen, since few prompts prove little.
        return float(((lost + 1) / (lost + answered + 2)) ** tally.successions)


def _is_explained(crash: _Crash, refused: list[frozenset[str]]) -> bool:
    prompts = crash.suspects().values()
    return any(parts <= prompt.parts for prompt in prompts for parts in refused)


def _count_crashes(crashes: list[_Crash]) -> dict[str, _Tally]:
    tallies: dict[str, _Tally] = {}
    for crash in crashes:
        by_part: dict[str, dict[str, _LostPrompt]] = {}
        for request_id, prompt in crash.suspects().items():
            for part in prompt.parts:
                by_part.setdefault(part, {})[request_id] = prompt
        for part, prompts in by_part.items():
            tally = tallies.setdefault(part, _Tally(first_ms=crash.at_ms))
            tally.add(crash, prompts)
    return tallies
