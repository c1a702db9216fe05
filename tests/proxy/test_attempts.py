"""Tests of upstream selection and retries, without a network."""

from __future__ import annotations

import random
from collections.abc import Iterator

import eventlet
import msgspec

from jayswitch.catalog.model import Route, RouteKind, WeightedService
from jayswitch.clock import VirtualClock
from jayswitch.fleet.directory import Directory
from jayswitch.fleet.records import NodeRecord, Upstream, UpstreamState, node_key
from jayswitch.proxy import reasons
from jayswitch.proxy.attempts import AttemptRunner, RetryBudgetSettings
from jayswitch.proxy.outcome import (
    Answered,
    AttemptOutcome,
    ForwardedRequest,
    LoadReport,
    NotRun,
    OutcomeUnknown,
)
from jayswitch.routing.balancer import Balancer
from jayswitch.store.interface import WatchEvent

SERVICE = "herdview"
LOAD = LoadReport(1, 0, 6, 100.0)
TIMEOUT_MS = 2000.0


def ok(status: int = 200) -> Answered:
    """Returns a complete response."""
    headers = [("Content-Length", "2")]
    return Answered(status, headers, iter([b"ok"]), lambda: None, LOAD)


class FakeHopClient:
    """Returns scripted outcomes in order and records the addresses called."""

    def __init__(self, outcomes: list[AttemptOutcome]) -> None:
        """Takes the outcomes; the last one is returned again for further calls."""
        self.addresses: list[str] = []
        self._outcomes = outcomes

    def send(
        self, address: str, request: ForwardedRequest, wait_ms: float
    ) -> AttemptOutcome:
        """Returns the next outcome."""
        self.addresses.append(address)
        return self._outcomes.pop(0) if len(self._outcomes) > 1 else self._outcomes[0]


class RunnerFixture:
    """An attempt runner with three upstreams on other VMs."""

    def __init__(self, *outcomes: AttemptOutcome, kind: RouteKind) -> None:
        """Takes the outcomes that the other proxies return."""
        self.clock = VirtualClock()
        self.hops = FakeHopClient(list(outcomes))
        rng = random.Random(1)
        directory = Directory()
        for name in ("a", "b", "c"):
            upstream = Upstream(name, 1, SERVICE, "v1", 6, UpstreamState.READY)
            record = NodeRecord(name, "bunbury", "swwa", name, 0, upstream)
            data = msgspec.json.encode(record)
            directory.apply(WatchEvent(node_key(name), data, 1))
        self.runner = AttemptRunner(
            "here",
            None,  # type: ignore[arg-type]
            self.hops,  # type: ignore[arg-type]
            directory,
            Balancer("bunbury", "swwa", self.clock, rng),
            RetryBudgetSettings(0.2, 60, 10),
            self.clock,
            rng,
        )
        self.route = Route(
            "r",
            "h",
            "/",
            kind,
            (WeightedService(SERVICE, 1),),
            TIMEOUT_MS,
            500,
            1,
            2,
        )

    def run(self, body: bytes | Iterator[bytes] = b"") -> AttemptOutcome:
        """Runs one request through the runner."""
        request = ForwardedRequest("id", "GET", "/", [], body, None)
        request.deadline_ms = self.clock.now_ms() + TIMEOUT_MS
        request.objective_ms = self.clock.now_ms() + 500
        request.repeatable = self.route.kind.repeatable
        return self.runner.run(request, self.route)


READ = RouteKind.IDEMPOTENT
WRITE = RouteKind.NON_IDEMPOTENT


class TestNotRun:
    """NotRun is returned only if no upstream has run the request."""

    def test_write_is_not_retried_after_an_unknown_outcome(self) -> None:
        fixture = RunnerFixture(OutcomeUnknown("reset", load=LOAD), kind=WRITE)
        assert isinstance(fixture.run(), OutcomeUnknown)
        assert len(fixture.hops.addresses) == 1

    def test_write_is_sent_elsewhere_after_a_refusal(self) -> None:
        fixture = RunnerFixture(
            NotRun(reasons.LIMIT_REACHED, load=LOAD), ok(), kind=WRITE
        )
        assert isinstance(fixture.run(), Answered)
        assert len(set(fixture.hops.addresses)) == 2

    def test_read_is_retried_on_another_upstream(self) -> None:
        fixture = RunnerFixture(OutcomeUnknown("reset", load=LOAD), ok(), kind=READ)
        assert isinstance(fixture.run(), Answered)
        assert len(set(fixture.hops.addresses)) == 2

    def test_refusal_after_an_unknown_outcome_stays_unknown(self) -> None:
        fixture = RunnerFixture(
            OutcomeUnknown("reset", load=LOAD), NotRun(reasons.LIMIT_REACHED), kind=READ
        )
        assert isinstance(fixture.run(), OutcomeUnknown)

    def test_refusal_by_all_upstreams_carries_retry_after(self) -> None:
        fixture = RunnerFixture(
            NotRun(reasons.LIMIT_REACHED, 80.0, load=LOAD), kind=WRITE
        )
        outcome = fixture.run()
        assert isinstance(outcome, NotRun) and outcome.retry_after_ms == 80.0

    def test_streamed_body_is_not_sent_twice(self) -> None:
        fixture = RunnerFixture(
            NotRun(reasons.LIMIT_REACHED, load=LOAD), ok(), kind=READ
        )
        assert isinstance(fixture.run(iter([b"part"])), NotRun)
        assert len(fixture.hops.addresses) == 1


class TestLimits:
    """Attempts respect max_attempts, the retry budget and the deadline."""

    def test_attempts_are_limited_by_the_route(self) -> None:
        fixture = RunnerFixture(OutcomeUnknown("reset", load=LOAD), kind=READ)
        fixture.run()
        assert len(fixture.hops.addresses) == 2

    def test_exhausted_budget_stops_retries(self) -> None:
        fixture = RunnerFixture(OutcomeUnknown("reset", load=LOAD), kind=READ)
        for _ in range(100):
            fixture.run()
        retries = len(fixture.hops.addresses) - 100
        # A third of the slack plus the ratio of the proxy's requests is the upper bound
        # for one of three proxies; a proxy spends only half of that.
        assert retries <= 0.2 * 100 + 60 / 3

    def test_refusals_do_not_consume_budget(self) -> None:
        fixture = RunnerFixture(NotRun(reasons.LIMIT_REACHED, load=LOAD), kind=READ)
        for _ in range(200):
            fixture.run()
        assert len(fixture.hops.addresses) == 600

    def test_stalled_response_body_times_out_at_the_deadline(self) -> None:
        def stalled() -> Iterator[bytes]:
            yield b"o"
            eventlet.sleep(60)

        headers = [("Content-Length", "2")]
        response = Answered(200, headers, stalled(), lambda: None, LOAD)
        fixture = RunnerFixture(response, kind=WRITE)
        outcome = fixture.run()
        assert isinstance(outcome, OutcomeUnknown) and outcome.timed_out
        assert fixture.clock.now_ms() <= TIMEOUT_MS


class TestServerErrors:
    """A 5xx response is retried if possible and returned if no retry succeeds."""

    def test_failed_read_is_retried(self) -> None:
        fixture = RunnerFixture(ok(500), ok(), kind=READ)
        outcome = fixture.run()
        assert isinstance(outcome, Answered) and outcome.status == 200

    def test_failed_write_is_not_retried(self) -> None:
        fixture = RunnerFixture(ok(500), ok(), kind=WRITE)
        outcome = fixture.run()
        assert isinstance(outcome, Answered) and outcome.status == 500

    def test_server_error_is_returned_if_no_retry_succeeds(self) -> None:
        fixture = RunnerFixture(ok(500), NotRun(reasons.LIMIT_REACHED), kind=READ)
        outcome = fixture.run()
        assert isinstance(outcome, Answered) and outcome.status == 500


class TestWeightedDestinations:
    """A route's requests are divided among services, and stay with the one chosen."""

    def _fixture(self, *parts: tuple[str, float]) -> RunnerFixture:
        fixture = RunnerFixture(NotRun(reasons.LIMIT_REACHED, load=LOAD), kind=READ)
        destinations = tuple(WeightedService(name, weight) for name, weight in parts)
        fixture.route = msgspec.structs.replace(
            fixture.route, destinations=destinations
        )
        return fixture

    def test_shares_follow_the_weights(self) -> None:
        # The bound on a part's share of 200 requests, in each of many windows.
        for seed in range(500):
            rng = random.Random(seed)
            route = self._fixture(("a", 60), ("b", 30), ("c", 10)).route
            chosen = [route.choose_service(rng) for _ in range(200)]
            for destination in route.destinations:
                share = chosen.count(destination.service) / len(chosen)
                assert abs(share - destination.weight / 100) <= 0.2

    def test_request_for_a_service_without_upstreams_is_rejected(self) -> None:
        fixture = self._fixture(("empty", 1), (SERVICE, 1e-9))
        outcome = fixture.run()
        assert isinstance(outcome, NotRun)
        assert fixture.hops.addresses == []

    def test_request_that_does_not_fit_is_not_moved_to_another_service(self) -> None:
        fixture = self._fixture((SERVICE, 1), ("empty", 1e-9))
        assert isinstance(fixture.run(), NotRun)
        assert sorted(fixture.hops.addresses) == ["a", "b", "c"]
