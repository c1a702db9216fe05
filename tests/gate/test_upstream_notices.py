"""Tests of what an upstream announces in its responses."""

from __future__ import annotations

import pytest

from jayswitch.clock import VirtualClock
from jayswitch.gate.upstream_notices import UpstreamNotices
from jayswitch.platform.headers import platform_headers

NAMES = platform_headers()


class TestRateLimit:
    """A limit holds until a response to a later request comes without one."""

    @pytest.mark.parametrize("value", ["12", "0", "0.5", "7.25"])
    def test_decimal_number_is_requests_per_second(self, value: str) -> None:
        notices = UpstreamNotices(NAMES, VirtualClock())
        notices.read_answer([(NAMES.rate_limit, value)], 0.0)
        assert notices.rate_limit_per_s == float(value)

    @pytest.mark.parametrize("value", ["", "many", "-1", "nan", "inf", "1,5"])
    def test_invalid_value_changes_nothing(self, value: str) -> None:
        notices = UpstreamNotices(NAMES, VirtualClock())
        notices.read_answer([(NAMES.rate_limit, "3")], 0.0)
        notices.read_answer([(NAMES.rate_limit, value)], 1.0)
        assert notices.rate_limit_per_s == 3.0

    def test_response_to_a_later_request_without_limit_lifts_it(self) -> None:
        clock = VirtualClock()
        notices = UpstreamNotices(NAMES, clock)
        notices.read_answer([(NAMES.rate_limit, "3")], 0.0)
        notices.read_answer([], clock.now_ms())
        assert notices.rate_limit_per_s is None

    def test_overtaken_response_does_not_lift_it(self) -> None:
        clock = VirtualClock()
        notices = UpstreamNotices(NAMES, clock)
        sent_ms = clock.now_ms()
        clock.sleep_ms(200)
        notices.read_answer([(NAMES.rate_limit, "3")], sent_ms + 100)
        notices.read_answer([], sent_ms)
        assert notices.rate_limit_per_s == 3.0

    def test_rejection_or_health_check_without_limit_does_not_lift_it(self) -> None:
        notices = UpstreamNotices(NAMES, VirtualClock())
        notices.read([(NAMES.rate_limit, "3")])
        notices.read([])
        assert notices.rate_limit_per_s == 3.0


class TestLeaving:
    """An upstream that announces its departure does not take it back."""

    def test_announcement_stays(self) -> None:
        notices = UpstreamNotices(NAMES, VirtualClock())
        notices.read([(NAMES.leaving, "1")])
        notices.read_answer([], 0.0)
        assert notices.is_leaving

    def test_other_value_announces_nothing(self) -> None:
        notices = UpstreamNotices(NAMES, VirtualClock())
        notices.read([(NAMES.leaving, "0")])
        assert not notices.is_leaving
