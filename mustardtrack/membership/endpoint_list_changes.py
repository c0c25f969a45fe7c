"""Incremental updates of the endpoint list.

Load pattern: weights are replaced on tens of endpoints, so that the list changes many
times a second, and every control host informs every router. Full lists would use a
large part of the network link of a small host; an update contains only the endpoints
that differ.
"""

from collections import OrderedDict

import msgspec

from mustardtrack.membership.endpoint_list import EndpointList, ListedEndpoint

# Lists that a control host retains; a router polls at least once a second.
MAX_RETAINED_LISTS = 64


class EndpointListChange(msgspec.Struct, frozen=True, array_like=True):
    """Difference between a list and a newer one.

    Attributes:
        base: Term and sequence of the older list.
        order: Term and sequence of the newer list.
        changed: Endpoints that are new or differ.
        removed: Ids of endpoints that have left.
    """

    base: tuple[int, int]
    order: tuple[int, int]
    changed: tuple[ListedEndpoint, ...]
    removed: tuple[str, ...]


class EndpointListHistory:
    """Recent lists of one control host, from which differences are computed.

    Examples:
        >>> history = EndpointListHistory()
        >>> history.add(EndpointList(1, 1))
        >>> history.add(EndpointList(1, 2))
        >>> history.change_since((1, 1)).order
        (1, 2)
        >>> history.change_since((0, 0)) is None
        True
    """

    def __init__(self) -> None:
        self._lists: OrderedDict[tuple[int, int], EndpointList] = OrderedDict()

    def add(self, listed: EndpointList) -> None:
        """Add a list that is newer than all earlier ones."""
        self._lists[listed.order] = listed
        if len(self._lists) > MAX_RETAINED_LISTS:
            self._lists.popitem(last=False)

    def change_since(self, order: tuple[int, int]) -> EndpointListChange | None:
        """Return the change from a list to the newest, None if the base is unknown."""
        base = self._lists.get(order)
        if base is None:
            return None
        newest = next(reversed(self._lists.values()))
        before = {endpoint.id: endpoint for endpoint in base.endpoints}
        after = {endpoint.id for endpoint in newest.endpoints}
        return EndpointListChange(
            base=order,
            order=newest.order,
            changed=tuple(
                endpoint
                for endpoint in newest.endpoints
                if before.get(endpoint.id) != endpoint
            ),
            removed=tuple(
                endpoint_id for endpoint_id in before if endpoint_id not in after
            ),
        )


def apply_list_change(
    listed: EndpointList, change: EndpointListChange
) -> EndpointList | None:
    """Return the newer list, None if the change has a different base."""
    if change.base != listed.order:
        return None
    endpoints = {endpoint.id: endpoint for endpoint in listed.endpoints}
    for endpoint_id in change.removed:
        endpoints.pop(endpoint_id, None)
    endpoints.update({endpoint.id: endpoint for endpoint in change.changed})
    term, sequence = change.order
    return EndpointList(term, sequence, tuple(endpoints.values()))
