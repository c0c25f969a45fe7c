"""Generates the table of refusal reasons in ``docs/api.md``.

``python -m mustardtrack.requests.catalogue`` prints the table.
"""

from mustardtrack.requests.reasons import REASONS, Reason

HEADER = (
    "| code | status | ran | message | remedy | retry after |",
    "| --- | --- | --- | --- | --- | --- |",
)


def render_reasons() -> str:
    """Return all refusal reasons as a Markdown table, in definition order.

    Examples:
        >>> render_reasons().splitlines()[0]
        '| code | status | ran | message | remedy | retry after |'
    """
    return "\n".join([*HEADER, *(_render_row(reason) for reason in REASONS.values())])


def _render_row(reason: Reason) -> str:
    retry_after = (
        "–" if reason.retry_after_ms is None else f"{reason.retry_after_ms} ms"
    )
    cells = [
        f"`{reason.code}`",
        str(reason.http_status),
        f"`{reason.ran}`",
        reason.message,
        reason.remedy,
        retry_after,
    ]
    return "| " + " | ".join(cells) + " |"


if __name__ == "__main__":
    print(render_reasons())
