"""Hypothesis profiles shared by the whole test suite."""

import os

from hypothesis import HealthCheck, settings
from loguru import logger

# State machines log thousands of events, which hide the output of a failure.
logger.remove()

settings.register_profile(
    "ci",
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)
settings.register_profile("explore", deadline=None)
settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "ci"))
