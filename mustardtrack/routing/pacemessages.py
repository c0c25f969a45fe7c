"""Messages about endpoints whose pace is being found."""

import msgspec


class PaceShare(msgspec.Struct, frozen=True, array_like=True):
    """Part of an endpoint's window that one router may use.

    Attributes:
        started_ms: Wall time of the start of the endpoint, part of its identity.
        window: Requests that all routers together may have at the endpoint at once,
            0 while nothing is to be sent to it.
        share: Requests that this router may have there.
        extra: Further request that it may have there for ``extra_ms`` from now.
        is_proven: Whether the endpoint has answered since its pace began. Until then
            it gets only requests that may be repeated.
    """

    started_ms: int
    window: float
    share: int
    extra: int = 0
    extra_ms: int = 0
    is_proven: bool = False


class PaceReport(msgspec.Struct, frozen=True, array_like=True):
    """What a router saw of one endpoint since its last report.

    Attributes:
        started_ms: Wall time of the start of the endpoint, part of its identity.
        ratios: Answer times, each divided by the expected one.
        refused: Requests that the endpoint refused to run.
        failed: Requests that failed at the endpoint.
        window: Window that the router holds, None in a report to a leader that has it.
        is_proven: Whether that window is of an endpoint that has answered.
    """

    started_ms: int
    ratios: list[float] = []
    refused: int = 0
    failed: int = 0
    window: float | None = None
    is_proven: bool = False
