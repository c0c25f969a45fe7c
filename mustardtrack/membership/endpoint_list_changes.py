"""Changes between versions of the endpoint list.

Load pattern: weights are replaced on tens of endpoints, so that the list changes many
times a second, and every control host sends it to every router. Full lists would use
a large part of the network link of a small host; a change contains only the endpoints
that differ.
"""

from collections import OrderedDict

import msgspec

from mustardtrack.membership.endpoint_list import EndpointList, ListedEndpoint

# Number of lists that a control host retains as bases of changes. A router polls at
# least once a second, so that its list is usually among them.
MAX_RETAINED_LISTS = 64


class EndpointListChange(msgspec.Struct, frozen=True, array_like=True):
    """Change from a list to a newer one.

    Attributes:
        base: Term and sequence of the older list.
        list_version: Term and sequence of the newer list.
        changed: Endpoints that are new or differ.
        removed: Ids of endpoints that have left.
    """

    base: tuple[int, int]
    list_version: tuple[int, int]
    changed: tuple[ListedEndpoint, ...]
    removed: tuple[str, ...]


class EndpointListHistory:
    """Recent lists of one control host, from which changes are computed.

    Examples:
        >>> history = EndpointListHistory()
        >>> history.add(EndpointList(1, 1))
        >>> history.add(EndpointList(1, 2))
        >>> history.change_since((1, 1)).list_version
        (1, 2)
        >>> history.change_since((0, 0)) is None
        True
    """

    def __init__(self) -> None:
        self._lists: OrderedDict[tuple[int, int], EndpointList] = OrderedDict()

    def add(self, endpoint_list: EndpointList) -> None:
        """Add a list that is newer than all earlier ones."""
        self._lists[endpoint_list.list_version] = endpoint_list
        if len(self._lists) > MAX_RETAINED_LISTS:
            self._lists.popitem(last=False)

    def change_since(self, list_version: tuple[int, int]) -> EndpointListChange | None:
        """Return the change from a list to the newest, None if the base is unknown."""
        base = self._lists.get(list_version)
        if base is None:
            return None
        newest = next(reversed(self._lists.values()))
        before = {endpoint.id: endpoint for endpoint in base.endpoints}
        after = {endpoint.id for endpoint in newest.endpoints}
        return EndpointListChange(
            base=list_version,
            list_version=newest.list_version,
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
    endpoint_list: EndpointList, change: EndpointListChange
) -> EndpointList | None:
    """Return the newer list, None if the change has a different base."""
    if change.base != endpoint_list.list_version:
        return None
    endpoints = {endpoint.id: endpoint for endpoint in endpoint_list.endpoints}
    for endpoint_id in change.removed:
        endpoints.pop(endpoint_id, None)
    endpoints.update({endpoint.id: endpoint for endpoint in change.changed})
    term, sequence = change.list_version
    return EndpointList(term, sequence, tuple(endpoints.values()))
