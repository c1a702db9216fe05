"""Shared fixtures: patched sockets, and virtual time for each test."""

from __future__ import annotations

from collections.abc import Iterator

import pytest
from hypothesis import HealthCheck, settings

from jayswitch import runtime

runtime.prepare()

from jayswitch.virtual_hub import use_virtual_time  # noqa: E402
from tests.harness.mesh import Mesh  # noqa: E402

SUPPRESSED_HEALTH_CHECKS = [HealthCheck.too_slow, HealthCheck.filter_too_much]
settings.register_profile(
    "ci",
    derandomize=True,
    deadline=None,
    max_examples=40,
    stateful_step_count=25,
    suppress_health_check=SUPPRESSED_HEALTH_CHECKS,
    database=None,
)
settings.register_profile(
    "explore",
    deadline=None,
    max_examples=2000,
    stateful_step_count=60,
    suppress_health_check=SUPPRESSED_HEALTH_CHECKS,
)
settings.load_profile("ci")


@pytest.fixture(autouse=True)
def virtual_time() -> Iterator[None]:
    """Runs each test on a new virtual hub."""
    use_virtual_time()
    yield
    use_virtual_time()


@pytest.fixture
def mesh() -> Mesh:
    """Returns an empty mesh."""
    return Mesh()
