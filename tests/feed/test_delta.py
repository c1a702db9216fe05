"""Tests of deltas between texts."""

from __future__ import annotations

import msgspec
import pytest
from hypothesis import given, strategies as st

from jayswitch.feed.delta import apply_delta, make_delta
from jayswitch.feed.exceptions import DeltaMismatch

TEXTS = st.lists(st.sampled_from([b"}", b"a", b"b}", b"c}{", b"", b"dd"])).map(b"".join)


class TestDelta:
    """A delta restores the later text or raises DeltaMismatch."""

    @given(TEXTS, TEXTS)
    def test_later_text_is_restored(self, earlier: bytes, later: bytes) -> None:
        assert apply_delta(earlier, make_delta(earlier, later)) == later

    @given(TEXTS, TEXTS, TEXTS)
    def test_wrong_base_is_detected(
        self, earlier: bytes, later: bytes, other: bytes
    ) -> None:
        delta = make_delta(earlier, later)
        try:
            assert apply_delta(other, delta) == later
        except DeltaMismatch:
            assert other != earlier

    def test_delta_of_a_few_changed_routes_is_small(self) -> None:
        routes = [{"name": f"r-{n}", "timeout_ms": 3000} for n in range(2000)]
        earlier = msgspec.json.encode({"version": "r1", "routes": routes})
        routes[700]["timeout_ms"] = 10
        routes.insert(20, {"name": "new", "timeout_ms": 5})
        del routes[1500]
        later = msgspec.json.encode({"version": "r2", "routes": routes})
        delta = make_delta(earlier, later)
        assert apply_delta(earlier, delta) == later
        assert len(msgspec.msgpack.encode(delta)) < 300

    def test_copy_of_missing_parts_is_rejected(self) -> None:
        delta = make_delta(b"a}b}c}d", b"a}b}c}d")
        with pytest.raises(DeltaMismatch):
            apply_delta(b"a", delta)
