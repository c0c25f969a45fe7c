"""Guards against two deployments on the same loopback addresses."""

import pytest

from mustardtrack.testing.subnets import NoFreeSubnetError, Subnet


def test_reserved_subnet_is_refused_until_it_is_released():
    with Subnet() as first:
        with pytest.raises(NoFreeSubnetError):
            Subnet(first.octet)
    Subnet(first.octet).release()
