"""Tests of the rate limit that an upstream announces."""

from __future__ import annotations

import random

import eventlet
import pytest

from jayswitch.clock import MS_PER_S, VirtualClock
from jayswitch.gate.rate_limiter import RateLimiter
from jayswitch.gate.upstream_gate import UpstreamGate
from jayswitch.model.experiment import Experiment
from jayswitch.model.generated import RequestKind, Scenario, UpstreamGroup
from jayswitch.platform.headers import platform_headers
from jayswitch.proxy import reasons
from jayswitch.proxy.outcome import Answered, NotRun

WINDOW_MS = 4 * MS_PER_S
NAMES = platform_headers()


def _sent_times(limiter: RateLimiter, clock: VirtualClock, until_ms: float) -> list:
    sent = []
    while clock.now_ms() < until_ms:
        delay_ms = limiter.delay_ms()
        if delay_ms <= 0:
            limiter.record()
            sent.append(clock.now_ms())
        clock.sleep_ms(max(delay_ms, 0.5))
    return sent


class TestRateLimiter:
    """Requests in any window stay within the limit and a short burst."""

    def test_nothing_is_limited_without_a_limit(self) -> None:
        limiter = RateLimiter(VirtualClock())
        assert not limiter.is_limited
        assert limiter.delay_ms(1000) == 0

    @pytest.mark.parametrize("per_s", [0.3, 1.0, 5.2, 9.3, 80.0])
    def test_window_holds_the_limit_under_constant_demand(self, per_s: float) -> None:
        clock = VirtualClock()
        limiter = RateLimiter(clock)
        limiter.set_limit(per_s)
        sent = _sent_times(limiter, clock, clock.now_ms() + 20 * MS_PER_S)
        allowed = per_s * WINDOW_MS / MS_PER_S + max(1.0, per_s / 4)
        for begin in sent:
            assert sum(begin <= at < begin + WINDOW_MS for at in sent) <= allowed
        assert len(sent) >= 0.95 * per_s * 20 - 1

    def test_limit_that_is_announced_again_fills_no_bucket(self) -> None:
        clock = VirtualClock()
        limiter = RateLimiter(clock)
        limiter.set_limit(5.0)
        for _ in range(50):
            limiter.set_limit(5.0)
        assert limiter.delay_ms() > 0

    def test_lower_limit_takes_the_saved_burst_away(self) -> None:
        clock = VirtualClock()
        limiter = RateLimiter(clock)
        limiter.set_limit(100.0)
        clock.sleep_ms(1000)
        limiter.set_limit(1.0)
        assert limiter.delay_ms() == 0
        limiter.record()
        assert limiter.delay_ms() >= 900

    def test_pause_of_the_process_saves_no_more_than_a_burst(self) -> None:
        clock = VirtualClock()
        limiter = RateLimiter(clock)
        limiter.set_limit(8.0)
        clock.sleep_ms(60 * MS_PER_S)
        until_ms = clock.now_ms() + 1
        assert len(_sent_times(limiter, clock, until_ms)) <= 2

    def test_limit_of_zero_leaves_a_rare_request(self) -> None:
        # Only a response can lift the limit.
        limiter = RateLimiter(VirtualClock())
        limiter.set_limit(0.0)
        assert 1000 <= limiter.delay_ms() <= 4000


class GateFixture:
    """The gate of a simulated upstream that announces a rate limit throughout."""

    def __init__(self, rate_limit_per_s: float, slots: int = 18) -> None:
        """Takes the limit, in requests per second, and the slots of the upstream."""
        group = UpstreamGroup(
            service="herdview",
            data_centre="bunbury",
            count=1,
            slots=slots,
            rate_limit_per_s=rate_limit_per_s,
        )
        self.kind = RequestKind(
            name="read",
            service="herdview",
            work_ms=200,
            objective_ms=800,
            deadline_ms=2000,
        )
        scenario = Scenario(duration_s=1, groups=[group], kinds=[self.kind])
        self.experiment = Experiment(scenario, NAMES, 1)
        self.vm = next(iter(self.experiment.fleet.vm_by_name.values()))
        self.gate: UpstreamGate = self.vm.gate
        self.clock = self.experiment.fleet.clock
        self.outcomes: list[object] = []

    def send(self) -> None:
        """Sends one request to the gate and records its outcome."""
        outcome = self.experiment.fleet.request(
            self.vm, self.kind, self.kind.deadline_ms
        )
        self.outcomes.append(outcome)

    def load(self, per_s: float, duration_s: float) -> None:
        """Sends requests at random intervals and waits for all of them."""
        rng = random.Random(1)
        until_ms = self.clock.now_ms() + duration_s * MS_PER_S
        while self.clock.now_ms() < until_ms:
            eventlet.spawn_n(self.send)
            self.clock.sleep_ms(rng.expovariate(per_s) * MS_PER_S)
        self.clock.sleep_ms(3000)

    def most_in_window(self) -> int:
        """Returns the most requests in a window."""
        arrivals = self.vm.upstream.arrivals_ms
        return max(
            sum(begin <= at < begin + WINDOW_MS for at in arrivals)
            for begin in arrivals
        )


class TestGate:
    """A gate refuses what does not fit, and says when to return."""

    def test_refusal_names_the_rate_and_a_time_to_return(self) -> None:
        fixture = GateFixture(2.0)
        fixture.load(40, 5)
        refused = [o for o in fixture.outcomes if isinstance(o, NotRun)]
        at_rate = [o for o in refused if o.reason == reasons.RATE_LIMIT_REACHED]
        assert len(at_rate) > 100
        assert all(outcome.retry_after_ms > 0 for outcome in at_rate)

    # Guards against a restarted gate that sends a burst before it learns the limit.
    @pytest.mark.parametrize("rate_limit_per_s", [1.0, 2.0, 6.0])
    def test_restart_of_the_gate_does_not_exceed_the_limit(
        self, rate_limit_per_s: float
    ) -> None:
        fixture = GateFixture(rate_limit_per_s)
        fixture.gate.notices.probe()
        fixture.load(60, 5)
        before = fixture.most_in_window()
        # The next process knows neither the limit nor what was sent.
        fixture.gate.restart()
        fixture.gate.notices.probe()
        fixture.load(60, 5)
        allowed = rate_limit_per_s * WINDOW_MS / MS_PER_S + 5
        assert before <= allowed
        assert fixture.most_in_window() <= allowed

    def test_probe_ends_with_the_first_response(self) -> None:
        fixture = GateFixture(-1.0, slots=6)
        fixture.gate.notices.probe()
        fixture.load(20, 4)
        served = sum(isinstance(o, Answered) for o in fixture.outcomes)
        assert not fixture.gate.slots.is_probing
        assert served >= 0.9 * len(fixture.outcomes)

    def test_load_report_follows_the_rate(self) -> None:
        fixture = GateFixture(10.0)
        fixture.load(40, 3)
        # At 200 ms a request, 10 requests per second keep two slots busy.
        assert fixture.gate.load.limit <= 3
