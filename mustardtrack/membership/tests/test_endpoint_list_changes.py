"""Guards against routers whose endpoint list diverges from the control hosts."""

from hypothesis import given
from hypothesis import strategies as st

from mustardtrack.membership.endpoint_list import EndpointList, ListedEndpoint
from mustardtrack.membership.endpoint_list_changes import (
    MAX_RETAINED_LISTS,
    EndpointListChange,
    EndpointListHistory,
    apply_list_change,
)


def endpoint(number, version, is_loading):
    return ListedEndpoint(
        f"e{number}", 0, "s", "10.0.0.1:1", "a", 8, False, is_loading, {"m": version}
    )


ENDPOINTS = st.builds(
    lambda chosen: tuple(endpoint(*one) for one in chosen),
    st.lists(
        st.tuples(st.integers(0, 9), st.integers(1, 3), st.booleans()),
        unique_by=lambda one: one[0],
    ),
)


@given(st.lists(ENDPOINTS, min_size=2, max_size=6), st.data())
def test_change_yields_the_newest_list(contents, data):
    history = EndpointListHistory()
    lists = [EndpointList(1, n, content) for n, content in enumerate(contents)]
    for endpoint_list in lists:
        history.add(endpoint_list)
    known = data.draw(st.sampled_from(lists))
    change = history.change_since(known.list_version)
    found = apply_list_change(known, change)
    assert found.list_version == lists[-1].list_version
    assert set(one.id for one in found.endpoints) == set(
        one.id for one in lists[-1].endpoints
    )
    assert sorted(found.endpoints, key=lambda one: one.id) == sorted(
        lists[-1].endpoints, key=lambda one: one.id
    )


def test_change_with_a_different_base_is_not_applied():
    """Guards against applying a change after a newer list from another host."""
    change = EndpointListChange((1, 1), (1, 2), (), ())
    assert apply_list_change(EndpointList(1, 3), change) is None


def test_unknown_base_requires_the_full_list():
    history = EndpointListHistory()
    history.add(EndpointList(2, 1))
    assert history.change_since((1, 7)) is None


def test_history_is_bounded():
    history = EndpointListHistory()
    for sequence in range(MAX_RETAINED_LISTS + 5):
        history.add(EndpointList(1, sequence))
    assert history.change_since((1, 4)) is None
    assert history.change_since((1, 5)) is not None
