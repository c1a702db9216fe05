"""A short soak with fixed seeds; `make soak` runs more seeds for longer."""

from __future__ import annotations

import pytest

from tests.soak.soak import run_seed

SIZE = 4
FAULT_S = 8.0


class TestSoak:
    """Promises to callers and upstreams hold under faults from outside."""

    # An even seed has planned work only, in which no request may be cut.
    @pytest.mark.parametrize("seed", [2, 3])
    def test_no_promise_is_broken(self, seed: int) -> None:
        assert run_seed(seed, SIZE, FAULT_S) == 0
