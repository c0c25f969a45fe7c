"""Timeline of one request, reconstructed from the logs of all processes."""

import json
import re
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

# Events that change a process's view of the deployment, by event number.
STATE_EVENTS = {
    8301: "leadership",
    8932: "endpoint list",
    8941: "route table",
    8942: "endpoint list",
    8943: "lost control host",
    8944: "regained control host",
    8945: "confirmation",
    8946: "confirmation",
}
# Fields that are not repeated in the details of a rendered line.
OMITTED_FIELDS = {"time", "level", "event", "text", "request"}
_PROCESS_PREFIX = re.compile(r"^\s*(?:-?\d+\.\d+\s+)?(\S+)\s+\{")


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
        """Timestamp by the clock of the process; the lines are sorted by it."""
        return str(self.fields.get("time", ""))

    @property
    def event(self) -> int:
        """Event number, 0 if the line has none."""
        number = self.fields.get("event")
        return number if isinstance(number, int) else 0


def read_log(name: str, lines: Iterable[str]) -> list[LogLine]:
    """Decode the structured lines of a log; other lines are skipped.

    Args:
        name: Name of the process, unless a line starts with a process name.
        lines: Lines of the log.
    """
    decoded = []
    for line in lines:
        start = line.find("{")
        if start < 0:
            continue
        try:
            fields = json.loads(line[start:])
        except ValueError:
            continue  # The line is truncated, because the process was killed.
        if isinstance(fields, dict):
            prefix = _PROCESS_PREFIX.match(line)
            decoded.append(LogLine(prefix.group(1) if prefix else name, fields))
    return decoded


def explain_request(request_id: str, lines: Iterable[LogLine]) -> list[str]:
    """Return the log lines of a request with the state that preceded each of them.

    The state consists of the latest state lines of the process that logged the line,
    of the last election of a leader and of the latest endpoint list of that leader.
    Each state line is included once, before the first line of the request that
    follows it.

    Args:
        request_id: Request id that the caller sent.
        lines: Lines of all processes, in any order.
    """
    ordered = sorted(lines, key=lambda line: line.time)
    state_by_process: dict[str, dict[str, LogLine]] = {}
    leader: LogLine | None = None
    included: set[int] = set()
    timeline: list[str] = []
    for line in ordered:
        kind = STATE_EVENTS.get(line.event)
        if kind is not None:
            state_by_process.setdefault(line.process, {})[kind] = line
            if line.event == 8301 and line.fields.get("role") == "leader":
                leader = line
        if line.fields.get("request") != request_id:
            continue
        context = list(state_by_process.get(line.process, {}).values())
        if leader is not None:
            context.append(leader)
            context.extend(_endpoint_list_of(leader, state_by_process))
        for state in sorted(context, key=lambda entry: entry.time):
            if id(state) not in included:
                included.add(id(state))
                timeline.append("  believed  " + _render(state))
        timeline.append(_render(line))
    return timeline


def _endpoint_list_of(
    leader: LogLine, state_by_process: dict[str, dict[str, LogLine]]
) -> list[LogLine]:
    endpoint_list = state_by_process.get(leader.process, {}).get("endpoint list")
    return [endpoint_list] if endpoint_list is not None else []


def _render(line: LogLine) -> str:
    details = " ".join(
        f"{key}={json.dumps(value)}"
        for key, value in line.fields.items()
        if key not in OMITTED_FIELDS
    )
    text = line.fields.get("text", "")
    return f"{line.time} {line.process} [{line.event}] {text} {details}".rstrip()
