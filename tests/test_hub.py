"""Tests of the event loop's wait times."""

from __future__ import annotations

from unittest import mock

from eventlet.hubs.timer import Timer

from jayswitch.hub import LowWakeupHub


class TestWaits:
    """Waits are rounded up, and cancelled timers are skipped."""

    def test_wait_is_never_shorter_than_the_next_timer(self) -> None:
        hub = LowWakeupHub()
        hub.poll = mock.Mock()
        hub.do_poll(0.0004)
        hub.do_poll(0.0121)
        hub.do_poll(0)
        assert [call.args[0] for call in hub.poll.poll.mock_calls] == [1, 13, 0]

    def test_cancelled_timers_cause_no_wake_up(self) -> None:
        now_s = 0.0
        hub = LowWakeupHub(lambda: now_s)
        with mock.patch("eventlet.hubs.get_hub", return_value=hub):
            timers = [Timer(seconds, lambda: None) for seconds in (1, 2, 3)]
            for timer in timers:
                timer.scheduled_time = hub.add_timer(timer)
            hub.prepare_timers()
            assert hub.sleep_until() == 1
            timers[0].called = timers[1].called = True
            hub.timers_canceled = 2
            assert hub.sleep_until() == 3
            assert hub.timers_canceled == 0
            timers[2].called = True
            assert hub.sleep_until() is None
