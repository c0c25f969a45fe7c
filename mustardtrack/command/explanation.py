"""Story of one request from the logs of all processes."""

import json
import re
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

# Events that change what a process believes, in the order of the catalogue.
BELIEFS = {
    8301: "leadership",
    8932: "endpoint list",
    8941: "route table",
    8942: "endpoint list",
    8943: "lost control host",
    8944: "regained control host",
    8945: "confirmation",
    8946: "confirmation",
}
# Fields that the first part of a line shows already.
SHOWN_FIELDS = {"time", "level", "event", "text", "request"}
_NAMED_LINE = re.compile(r"^\s*(?:-?\d+\.\d+\s+)?(\S+)\s+\{")


@dataclass(frozen=True)
class LogLine:
    """One structured log line.

    Attributes:
        process: Name of the process, or of its log file.
        fields: Decoded line.
    """

    process: str
    fields: dict[str, Any]

    @property
    def time(self) -> str:
        """Time of day at the process, which orders the lines."""
        return str(self.fields.get("time", ""))

    @property
    def event(self) -> int:
        """Number of the event, 0 if the line has none."""
        number = self.fields.get("event")
        return number if isinstance(number, int) else 0


def read_log(name: str, lines: Iterable[str]) -> list[LogLine]:
    """Decode the lines of a log; lines that are not structured are left out.

    Args:
        name: Name of the process, unless a line begins with one itself.
        lines: Lines of the log.
    """
    found = []
    for line in lines:
        start = line.find("{")
        if start < 0:
            continue
        try:
            fields = json.loads(line[start:])
        except ValueError:
            continue  # A line that was cut when the process was killed.
        if isinstance(fields, dict):
            named = _NAMED_LINE.match(line)
            found.append(LogLine(named.group(1) if named else name, fields))
    return found


def explain_request(request_id: str, lines: Iterable[LogLine]) -> list[str]:
    """Return the lines of a request in order, each with what its process believed.

    Args:
        request_id: Id that the caller sent.
        lines: Lines of all processes, in any order.
    """
    ordered = sorted(lines, key=lambda line: line.time)
    beliefs: dict[str, dict[str, LogLine]] = {}
    leader: LogLine | None = None
    shown: set[int] = set()
    story: list[str] = []
    for line in ordered:
        kind = BELIEFS.get(line.event)
        if kind is not None:
            beliefs.setdefault(line.process, {})[kind] = line
            if line.event == 8301 and line.fields.get("role") == "leader":
                leader = line
        if line.fields.get("request") != request_id:
            continue
        known = list(beliefs.get(line.process, {}).values())
        if leader is not None:
            known.append(leader)
            known.extend(_believed_by(leader, beliefs))
        for belief in sorted(known, key=lambda one: one.time):
            if id(belief) not in shown:
                shown.add(id(belief))
                story.append("  believed  " + _render(belief))
        story.append(_render(line))
    return story


def _believed_by(
    leader: LogLine, beliefs: dict[str, dict[str, LogLine]]
) -> list[LogLine]:
    listed = beliefs.get(leader.process, {}).get("endpoint list")
    return [listed] if listed is not None else []


def _render(line: LogLine) -> str:
    details = " ".join(
        f"{key}={json.dumps(value)}"
        for key, value in line.fields.items()
        if key not in SHOWN_FIELDS
    )
    text = line.fields.get("text", "")
    return f"{line.time} {line.process} [{line.event}] {text} {details}".rstrip()
