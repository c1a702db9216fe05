"""Tests of choosing upstreams and of trying again, without a network."""

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
    """Returns a whole answer."""
    headers = [("Content-Length", "2")]
    return Answered(status, headers, iter([b"ok"]), lambda: None, LOAD)


class FakeHops:
    """Proxies that answer as told, in turn; it notes who was asked."""

    def __init__(self, outcomes: list[AttemptOutcome]) -> None:
        """Takes the outcomes; the last one is repeated."""
        self.asked: list[str] = []
        self._outcomes = outcomes

    def send(
        self, address: str, request: ForwardedRequest, wait_ms: float
    ) -> AttemptOutcome:
        """Returns the next outcome."""
        self.asked.append(address)
        return self._outcomes.pop(0) if len(self._outcomes) > 1 else self._outcomes[0]


class Caller:
    """A runner with three upstreams elsewhere."""

    def __init__(self, *outcomes: AttemptOutcome, kind: RouteKind) -> None:
        """Takes what the upstreams' proxies will say."""
        self.clock = VirtualClock()
        self.hops = FakeHops(list(outcomes))
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
        """Runs one request."""
        request = ForwardedRequest("id", "GET", "/", [], body, None)
        request.deadline_ms = self.clock.now_ms() + TIMEOUT_MS
        request.objective_ms = self.clock.now_ms() + 500
        request.repeatable = self.route.kind.repeatable
        return self.runner.run(request, self.route)


READ = RouteKind.IDEMPOTENT
BOOK = RouteKind.NON_IDEMPOTENT


class TestTruth:
    """NotRun is said only of what has run nowhere."""

    def test_booking_is_not_tried_again_after_an_unknown_outcome(self) -> None:
        caller = Caller(OutcomeUnknown("reset", load=LOAD), kind=BOOK)
        assert isinstance(caller.run(), OutcomeUnknown)
        assert len(caller.hops.asked) == 1

    def test_booking_goes_on_after_refusals(self) -> None:
        caller = Caller(NotRun(reasons.LIMIT_REACHED, load=LOAD), ok(), kind=BOOK)
        assert isinstance(caller.run(), Answered)
        assert len(set(caller.hops.asked)) == 2

    def test_read_is_tried_elsewhere(self) -> None:
        caller = Caller(OutcomeUnknown("reset", load=LOAD), ok(), kind=READ)
        assert isinstance(caller.run(), Answered)
        assert len(set(caller.hops.asked)) == 2

    def test_refusal_after_an_unknown_outcome_is_no_refusal(self) -> None:
        caller = Caller(
            OutcomeUnknown("reset", load=LOAD), NotRun(reasons.LIMIT_REACHED), kind=READ
        )
        assert isinstance(caller.run(), OutcomeUnknown)

    def test_everyone_refusing_is_a_refusal_with_a_time(self) -> None:
        caller = Caller(NotRun(reasons.LIMIT_REACHED, 80.0, load=LOAD), kind=BOOK)
        outcome = caller.run()
        assert isinstance(outcome, NotRun) and outcome.retry_after_ms == 80.0

    def test_stream_that_was_sent_is_not_sent_again(self) -> None:
        caller = Caller(NotRun(reasons.LIMIT_REACHED, load=LOAD), ok(), kind=READ)
        assert isinstance(caller.run(iter([b"part"])), NotRun)
        assert len(caller.hops.asked) == 1


class TestBounds:
    """Attempts stay within the route's number, the budget and the time."""

    def test_no_more_upstreams_run_it_than_the_route_allows(self) -> None:
        caller = Caller(OutcomeUnknown("reset", load=LOAD), kind=READ)
        caller.run()
        assert len(caller.hops.asked) == 2

    def test_spent_budget_ends_repeats(self) -> None:
        caller = Caller(OutcomeUnknown("reset", load=LOAD), kind=READ)
        for _ in range(100):
            caller.run()
        repeats = len(caller.hops.asked) - 100
        # One proxy of three has a third of the slack, and its own requests' share.
        assert repeats <= 0.2 * 100 + 60 / 3

    def test_refusals_cost_no_budget(self) -> None:
        caller = Caller(NotRun(reasons.LIMIT_REACHED, load=LOAD), kind=READ)
        for _ in range(200):
            caller.run()
        assert len(caller.hops.asked) == 600

    def test_silent_rest_of_an_answer_ends_with_the_deadline(self) -> None:
        def silent() -> Iterator[bytes]:
            yield b"o"
            eventlet.sleep(60)

        headers = [("Content-Length", "2")]
        answer = Answered(200, headers, silent(), lambda: None, LOAD)
        caller = Caller(answer, kind=BOOK)
        outcome = caller.run()
        assert isinstance(outcome, OutcomeUnknown) and outcome.timed_out
        assert caller.clock.now_ms() <= TIMEOUT_MS


class TestFailures:
    """A failing answer is repeated where that may help, and kept if it does not."""

    def test_failed_read_is_repeated(self) -> None:
        caller = Caller(ok(500), ok(), kind=READ)
        outcome = caller.run()
        assert isinstance(outcome, Answered) and outcome.status == 200

    def test_failed_booking_is_not(self) -> None:
        caller = Caller(ok(500), ok(), kind=BOOK)
        outcome = caller.run()
        assert isinstance(outcome, Answered) and outcome.status == 500

    def test_failure_is_delivered_if_nothing_better_comes(self) -> None:
        caller = Caller(ok(500), NotRun(reasons.LIMIT_REACHED), kind=READ)
        outcome = caller.run()
        assert isinstance(outcome, Answered) and outcome.status == 500
