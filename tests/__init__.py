"""Test settings: deterministic hypothesis examples and no log output."""

from logging import ERROR, getLogger

from absl.logging import FATAL, set_verbosity
from hypothesis import HealthCheck, settings

settings.register_profile(
    "repeatable",
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=[HealthCheck.too_slow],
)
settings.load_profile("repeatable")
set_verbosity(FATAL)
getLogger("curio").setLevel(ERROR)
