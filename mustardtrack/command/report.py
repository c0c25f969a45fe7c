"""Markdown report on the service statistics of a running deployment."""

from collections.abc import Iterable, Mapping, Sequence
from typing import Any

BAR_CHARS = 30
SUMMED_KEYS = ("completed", "refused", "failed", "prompt_tokens", "output_tokens")


def render_report(statuses: Sequence[Mapping[str, Any]]) -> str:
    """Render the statuses of the processes as one Markdown page.

    Counts are summed over the routers. Percentiles cannot be summed, so the largest
    value of any router is shown.

    Args:
        statuses: Responses of ``GET /operator/status``; a process that did not
            respond has the key ``error``.

    Examples:
        >>> print(render_report([{"name": "r1", "role": "router"}]).splitlines()[0])
        # mustardtrack report
    """
    routers = [status for status in statuses if status.get("role") == "router"]
    lines = ["# mustardtrack report", "", "## Processes", ""]
    lines += _render_processes(statuses)
    for title, key in (("Service by class", "classes"), ("By account", "accounts")):
        merged = merge_service_stats(
            router.get("measures", {}).get(key, {}) for router in routers
        )
        lines += ["", f"## {title}", "", *_render_service_stats(merged)]
        lines += _render_bars(merged, "first_token_p99_ms", "Time to first token, p99")
        lines += _render_bars(merged, "hit_rate", "Prefix hit rate")
    return "\n".join(lines) + "\n"


def merge_service_stats(
    parts: Iterable[Mapping[str, Mapping[str, Any]]],
) -> dict[str, dict[str, Any]]:
    """Merge the statistics of several routers by name.

    Examples:
        >>> row = {"completed": 2, "prompt_tokens": 10, "hit_rate": 0.5}
        >>> merged = merge_service_stats([{"urgent": row}, {"urgent": row}])
        >>> merged["urgent"]["completed"]
        4
    """
    merged: dict[str, dict[str, Any]] = {}
    for part in parts:
        for name, row in part.items():
            merged[name] = (
                _merge_rows(merged[name], row) if name in merged else dict(row)
            )
    return dict(sorted(merged.items()))


def _merge_rows(first: Mapping[str, Any], second: Mapping[str, Any]) -> dict[str, Any]:
    merged: dict[str, Any] = {}
    for key in first:
        if key in SUMMED_KEYS:
            merged[key] = first[key] + second.get(key, 0)
        elif key != "hit_rate":
            merged[key] = max(first[key], second.get(key, 0))
    total = merged["prompt_tokens"]
    cached = sum(row["hit_rate"] * row["prompt_tokens"] for row in (first, second))
    merged["hit_rate"] = round(cached / total, 4) if total else 0
    return merged


def _render_processes(statuses: Sequence[Mapping[str, Any]]) -> list[str]:
    rows = [
        (
            status.get("name", status.get("address", "")),
            status.get("role", ""),
            status.get("phase", status.get("replica", status.get("error", ""))),
            status.get("revision", ""),
            status.get("stale_ms", ""),
        )
        for status in statuses
    ]
    return _render_table(("process", "role", "state", "revision", "stale ms"), rows)


def _render_service_stats(stats: Mapping[str, Mapping[str, Any]]) -> list[str]:
    if not stats:
        return ["No request has been served yet."]
    columns = list(next(iter(stats.values())))
    rows = [
        (name, *(row.get(column, "") for column in columns))
        for name, row in stats.items()
    ]
    return _render_table(("name", *columns), rows)


def _render_table(columns: Sequence[str], rows: Iterable[Sequence[Any]]) -> list[str]:
    lines = ["| " + " | ".join(columns) + " |", "| --- " * len(columns) + "|"]
    return lines + ["| " + " | ".join(map(str, row)) + " |" for row in rows]


def _render_bars(
    stats: Mapping[str, Mapping[str, Any]], key: str, title: str
) -> list[str]:
    values = {name: row[key] for name, row in stats.items() if key in row}
    largest = max(values.values(), default=0)
    if not largest:
        return []
    width = max(map(len, values))
    bars = [
        f"{name:{width}} {'#' * round(BAR_CHARS * value / largest):{BAR_CHARS}} {value}"
        for name, value in values.items()
    ]
    return ["", f"{title}:", "", "```", *bars, "```"]
