"""Report of the users' measures for a running system."""

from collections.abc import Iterable, Mapping, Sequence
from typing import Any

BAR_CHARS = 30
COUNTS = ("completed", "refused", "failed", "prompt_tokens", "output_tokens")


def render_report(statuses: Sequence[Mapping[str, Any]]) -> str:
    """Return one Markdown page from the statuses of the processes.

    Counts of several routers are added. Percentiles cannot be added, so the worst
    router's value is shown.

    Args:
        statuses: Answers of ``GET /operator/status``; unreachable processes have
            the key ``error``.

    Examples:
        >>> print(render_report([{"name": "r1", "role": "router"}]).splitlines()[0])
        # mustardtrack report
    """
    routers = [one for one in statuses if one.get("role") == "router"]
    lines = ["# mustardtrack report", "", "## Processes", ""]
    lines += _render_processes(statuses)
    for title, key in (("Service by class", "classes"), ("By account", "accounts")):
        merged = merge_measures(one.get("measures", {}).get(key, {}) for one in routers)
        lines += ["", f"## {title}", "", *_render_measures(merged)]
        lines += _render_bars(merged, "first_token_p99_ms", "Time to first token, p99")
        lines += _render_bars(merged, "hit_rate", "Prefix hit rate")
    return "\n".join(lines) + "\n"


def merge_measures(
    parts: Iterable[Mapping[str, Mapping[str, Any]]],
) -> dict[str, dict[str, Any]]:
    """Merge the measures of several routers by name.

    Examples:
        >>> row = {"completed": 2, "prompt_tokens": 10, "hit_rate": 0.5}
        >>> merge_measures([{"urgent": row}, {"urgent": row}])["urgent"]["completed"]
        4
    """
    merged: dict[str, dict[str, Any]] = {}
    for part in parts:
        for name, row in part.items():
            merged[name] = _merge(merged[name], row) if name in merged else dict(row)
    return dict(sorted(merged.items()))


def _merge(one: Mapping[str, Any], other: Mapping[str, Any]) -> dict[str, Any]:
    merged: dict[str, Any] = {}
    for key in one:
        if key in COUNTS:
            merged[key] = one[key] + other.get(key, 0)
        elif key != "hit_rate":
            merged[key] = max(one[key], other.get(key, 0))
    total = merged["prompt_tokens"]
    cached = sum(row["hit_rate"] * row["prompt_tokens"] for row in (one, other))
    merged["hit_rate"] = round(cached / total, 4) if total else 0
    return merged


def _render_processes(statuses: Sequence[Mapping[str, Any]]) -> list[str]:
    rows = [
        (
            one.get("name", one.get("address", "")),
            one.get("role", ""),
            one.get("phase", one.get("replica", one.get("error", ""))),
            one.get("revision", ""),
            one.get("stale_ms", ""),
        )
        for one in statuses
    ]
    return _render_table(("process", "role", "state", "revision", "stale ms"), rows)


def _render_measures(measures: Mapping[str, Mapping[str, Any]]) -> list[str]:
    if not measures:
        return ["No request has been served yet."]
    columns = list(next(iter(measures.values())))
    rows = [
        (name, *(row.get(column, "") for column in columns))
        for name, row in measures.items()
    ]
    return _render_table(("name", *columns), rows)


def _render_table(columns: Sequence[str], rows: Iterable[Sequence[Any]]) -> list[str]:
    lines = ["| " + " | ".join(columns) + " |", "| --- " * len(columns) + "|"]
    return lines + ["| " + " | ".join(map(str, row)) + " |" for row in rows]


def _render_bars(
    measures: Mapping[str, Mapping[str, Any]], key: str, title: str
) -> list[str]:
    values = {name: row[key] for name, row in measures.items() if key in row}
    largest = max(values.values(), default=0)
    if not largest:
        return []
    width = max(map(len, values))
    bars = [
        f"{name:{width}} {'#' * round(BAR_CHARS * value / largest):{BAR_CHARS}} {value}"
        for name, value in values.items()
    ]
    return ["", f"{title}:", "", "```", *bars, "```"]
