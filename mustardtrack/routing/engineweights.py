"""Weights versions of the engines, from the platform's list and their reports.

Load pattern: the list lags behind the engines, and the load of an engine that is
noticed late keeps it out of service. A report shows a completed load earlier. An engine
may also return to older weights: an order that it received without an answer may be
carried out seconds later, after a newer one.
"""

from collections.abc import Sequence
from dataclasses import dataclass

import msgspec

from mustardtrack.membership.endpoint_list import ListedEndpoint


@dataclass(frozen=True)
class WeightsReturn:
    """Engine whose listed version of a model is older than the one listed before."""

    endpoint_id: str
    model: str
    version: int
    previous_version: int


class EngineWeights:
    """Newest known weights versions of the listed engines."""

    def __init__(self) -> None:
        self._reported: dict[str, dict[str, int]] = {}
        self._listed: dict[str, ListedEndpoint] = {}

    def record_report(self, endpoint_id: str, weights: dict[str, int]) -> None:
        """Record the versions that an engine reports."""
        self._reported[endpoint_id] = weights

    def record_list(self, entries: Sequence[ListedEndpoint]) -> list[WeightsReturn]:
        """Record a list and return the engines that have older weights than before."""
        returns = [
            WeightsReturn(entry.id, model, version, previous_version)
            for entry in entries
            if (previous := self._listed.get(entry.id)) is not None
            for model, version in entry.weights.items()
            if (previous_version := previous.weights.get(model, 0)) > version
        ]
        self._listed = {entry.id: entry for entry in entries}
        known = self._listed.keys()
        self._reported = {
            endpoint_id: weights
            for endpoint_id, weights in self._reported.items()
            if endpoint_id in known
        }
        return returns

    def merge(self, entry: ListedEndpoint) -> ListedEndpoint:
        """Return a listed engine with the newest known versions."""
        reported = self._reported.get(entry.id)
        if not reported:
            return entry
        newest = {
            model: max(version, reported.get(model, 0))
            for model, version in entry.weights.items()
        }
        return msgspec.structs.replace(entry, weights=newest)
