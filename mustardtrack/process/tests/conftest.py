"""Fixture with a small deployment of real processes."""

import pytest

from mustardtrack.testing.fleet import Fleet
from mustardtrack.testing.local_deployment import Deployment


@pytest.fixture(scope="module")
def deployment(tmp_path_factory):
    """Return a running deployment of 3 control replicas and 2 routers."""
    with Fleet(tmp_path_factory.mktemp("deployment")) as fleet:
        deployment = Deployment(fleet, "zwolle", routers=2)
        deployment.start()
        yield deployment
