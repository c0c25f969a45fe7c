"""Guards against more connections to an endpoint than it accepts from all routers."""

import pytest

from mustardtrack.admission.connections import connections_per_router


@pytest.mark.parametrize("limit", [1, 50, 110, 370, 700])
@pytest.mark.parametrize("routers", [1, 3, 8, 57, 74])
def test_equal_shares_of_all_routers_stay_within_the_limit(limit, routers):
    share = connections_per_router(limit, routers)
    assert share >= 1
    # Each router may open at least one connection, regardless of their number.
    assert share * routers <= max(limit, routers)
