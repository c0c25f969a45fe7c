"""Weights versions of the engines, from the platform's list and their reports.

Load pattern: the list lags behind the engines, and the load of an engine that is
noticed late keeps it out of service. A report shows a completed load earlier. An engine
may also return to older weights: an order that it received without an answer may be
carried out seconds later, after a newer one.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

import msgspec

from mustardtrack.membership.endpoint_list import ListedEndpoint


@dataclass(frozen=True)
class WeightsRollback:
    """Change of an engine to an older version of a model than the one listed before."""

    endpoint_id: str
    model: str
    version: int
    previous_version: int


@dataclass(frozen=True)
class _Report:
    weights: Mapping[str, int]
    received_ms: int


class EngineWeights:
    """Newest known weights versions of the listed engines.

    A report counts until a list that cannot be older has been read. Times are
    monotonic milliseconds.

    Args:
        list_lag_ms: Greatest age of what the list shows when it is read.

    Examples:
        >>> engine = ListedEndpoint("e", 0, "s", "", "a", 8, False, False, {"m": 1})
        >>> weights = EngineWeights(800)
        >>> weights.record_report("e", {"m": 2}, 100)
        >>> weights.record_list([engine], 500)
        []
        >>> weights.merge(engine).weights
        {'m': 2}
        >>> weights.record_list([engine], 900)
        []
        >>> weights.merge(engine).weights
        {'m': 1}
    """

    def __init__(self, list_lag_ms: int) -> None:
        self._list_lag_ms = list_lag_ms
        self._reports: dict[str, _Report] = {}
        self._listed: dict[str, ListedEndpoint] = {}

    def record_report(
        self, endpoint_id: str, weights: Mapping[str, int], now_ms: int
    ) -> None:
        """Record the versions that an engine reports."""
        self._reports[endpoint_id] = _Report(weights, now_ms)

    def record_list(
        self, entries: Sequence[ListedEndpoint], read_ms: int
    ) -> list[WeightsRollback]:
        """Record a list and return the engines that have older weights than before.

        Args:
            entries: Content of the list.
            read_ms: Time at which reading it began.
        """
        rollbacks = [
            WeightsRollback(entry.id, model, version, previous_version)
            for entry in entries
            if (previous := self._listed.get(entry.id)) is not None
            for model, version in entry.weights.items()
            if (previous_version := previous.weights.get(model, 0)) > version
        ]
        self._listed = {entry.id: entry for entry in entries}
        self._reports = {
            endpoint_id: report
            for endpoint_id, report in self._reports.items()
            if endpoint_id in self._listed
            and read_ms < report.received_ms + self._list_lag_ms
        }
        return rollbacks

    def merge(self, entry: ListedEndpoint) -> ListedEndpoint:
        """Return a listed engine with the newest known versions."""
        report = self._reports.get(entry.id)
        if report is None:
            return entry
        newest = {
            model: max(version, report.weights.get(model, 0))
            for model, version in entry.weights.items()
        }
        return msgspec.structs.replace(entry, weights=newest)
