"""Runs the soak in real time, which real processes need."""

from __future__ import annotations

from collections.abc import Iterator

import pytest
from eventlet import hubs

from jayswitch.virtual_hub import use_virtual_time


@pytest.fixture(autouse=True, scope="module")
def virtual_time() -> Iterator[None]:
    """Uses eventlet's default hub instead of the virtual one."""
    hubs.use_hub()
    yield
    use_virtual_time()
