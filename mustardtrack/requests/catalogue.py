"""Generates the table of refusal reasons of ``docs/api.md``.

``python -m mustardtrack.requests.catalogue`` prints the table.
"""

from mustardtrack.requests.reasons import REASONS, Reason

HEADER = (
    "| code | status | ran | message | remedy | retry after |",
    "| --- | --- | --- | --- | --- | --- |",
)


def render_reasons() -> str:
    """Return all refusal reasons as a Markdown table, in the order of the code.

    Examples:
        >>> render_reasons().splitlines()[0]
        '| code | status | ran | message | remedy | retry after |'
    """
    return "\n".join([*HEADER, *(_render_row(one) for one in REASONS.values())])


def _render_row(reason: Reason) -> str:
    wait = "–" if reason.retry_after_ms is None else f"{reason.retry_after_ms} ms"
    cells = [
        f"`{reason.code}`",
        str(reason.http_status),
        f"`{reason.ran}`",
        reason.message,
        reason.remedy,
        wait,
    ]
    return "| " + " | ".join(cells) + " |"


if __name__ == "__main__":
    print(render_reasons())
