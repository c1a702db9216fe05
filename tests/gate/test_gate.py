"""Tests of the gate: at-most-once execution, refusals, keys and cancellation."""

from __future__ import annotations

from collections import Counter

import eventlet
from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule
from returns.result import Failure, Success

from jayswitch.clock import VirtualClock
from jayswitch.gate.exceptions import (
    IncompleteUpstreamResponse,
    UpstreamShed,
    UpstreamUnreachable,
)
from jayswitch.gate.gate import Gate
from jayswitch.gate.upstream import Announcement, UpstreamResponse
from jayswitch.messages.generated import Answer, Call, Cancel, Refusal, Unknown
from jayswitch.virtual_hub import use_virtual_time

ATTEMPT_IDS = [f"r{number}.{attempt}" for number in range(4) for attempt in (1, 2)]


def call(call_id: str, key: str = "", idempotent: bool = False) -> Call:
    """Returns one attempt at a request."""
    return Call(
        id=call_id,
        request_id=call_id.rpartition(".")[0],
        reply_to="entry",
        profile="everyday",
        service="herdview",
        version="v1",
        route="write",
        method="POST",
        path="/treatments",
        headers=[],
        body=b"",
        remaining_ms=1000,
        depth=0,
        idempotent=idempotent,
        priority="normal",
        key=key,
    )


def announcement(slots: int = 4) -> Announcement:
    """Returns an announcement of the upstream."""
    return Announcement(
        service="herdview",
        version="v1",
        address="upstream",
        slots=slots,
        connections=10,
    )


class ScriptedClient:
    """Upstream client with a configurable outcome that counts executions."""

    def __init__(self, clock: VirtualClock) -> None:
        """Takes the clock; each run takes 20 ms."""
        self.runs_by_attempt: Counter[str] = Counter()
        self.runs_by_request: Counter[str] = Counter()
        self.outcome = "answer"
        self.clock = clock

    def run(self, address: str, attempt: Call, remaining_ms: float) -> object:
        """Runs an attempt unless the configured outcome is a refusal."""
        if self.outcome == "not reached":
            return Failure(UpstreamUnreachable(address, "refused"))
        if self.outcome == "shed":
            return Failure(UpstreamShed())
        self.runs_by_attempt[attempt.id] += 1
        self.runs_by_request[attempt.request_id] += 1
        self.clock.sleep_ms(20)
        if self.outcome == "break":
            return Failure(IncompleteUpstreamResponse("reset"))
        return Success(UpstreamResponse(200, [], attempt.id.encode()))

    def cancel(self, address: str, attempt: Call) -> None:
        """Ignores the cancellation."""


class GateMachine(RuleBasedStateMachine):
    """Calls and cancellations arrive duplicated, late and out of order."""

    @initialize()
    def build(self) -> None:
        """Creates a gate with an upstream."""
        use_virtual_time()
        self.clock = VirtualClock()
        self.client = ScriptedClient(self.clock)
        self.gate = Gate(self.client, 0, self.clock)
        self.gate.announce(announcement())
        self.sent: list[object] = []

    @rule(call_id=st.sampled_from(ATTEMPT_IDS))
    def deliver(self, call_id: str) -> None:
        """Delivers an attempt, possibly again."""
        eventlet.spawn_n(self.gate.handle, call(call_id), self.sent.append)
        eventlet.sleep(0)

    @rule(call_id=st.sampled_from(ATTEMPT_IDS))
    def cancel(self, call_id: str) -> None:
        """Delivers a cancellation, possibly before its call."""
        message = Cancel(id=call_id, reply_to="entry")
        self.gate.cancel(message, self.sent.append)

    @rule(outcome=st.sampled_from(["answer", "break", "shed", "not reached"]))
    def set_outcome(self, outcome: str) -> None:
        """Changes the outcome of later calls."""
        self.client.outcome = outcome

    @rule(out=st.booleans(), draining=st.booleans(), leaving=st.booleans())
    def set_state(self, out: bool, draining: bool, leaving: bool) -> None:
        """Takes the gate out of service or back in."""
        self.gate.set_out_of_service(out)
        self.gate.draining = draining
        self.gate.announcement.leaving = leaving

    @rule(ms=st.sampled_from([1, 10, 30, 200]))
    def wait(self, ms: int) -> None:
        """Advances the virtual clock."""
        self.clock.sleep_ms(ms)

    @invariant()
    def at_most_once(self) -> None:
        """No request runs twice, whatever the attempt."""
        if hasattr(self, "client"):
            assert max(self.client.runs_by_request.values(), default=0) <= 1

    @invariant()
    def refused_attempts_never_run(self) -> None:
        """A refused attempt never runs and occupies no slot."""
        if not hasattr(self, "client"):
            return
        refused = {m.id for m in self.sent if isinstance(m, Refusal)}
        assert not refused & set(self.client.runs_by_attempt)
        assert 0 <= self.gate.admission.in_flight <= 4

    @invariant()
    def answers_match_their_attempt(self) -> None:
        """An answer carries the body of its own attempt."""
        for message in getattr(self, "sent", []):
            if isinstance(message, Answer):
                assert message.body == message.id.encode()


TestGateMachine = GateMachine.TestCase
TestGateMachine.settings = settings(max_examples=300)


class TestIdempotencyKey:
    """A request with a repeated key gets the outcome of the first one."""

    def run(self, outcome: str, second_after_ms: float) -> tuple[object, int]:
        """Sends two requests with one key; returns the second reply and run count."""
        clock = VirtualClock()
        client = ScriptedClient(clock)
        client.outcome = outcome
        gate = Gate(client, 0, clock)
        gate.announce(announcement())
        replies: dict[str, object] = {}

        def note(message: object) -> None:
            replies.setdefault(message.id, message)

        for call_id in ("r1.1", "r2.1"):
            eventlet.spawn_n(gate.handle, call(call_id, key="k"), note)
            clock.sleep_ms(second_after_ms)
        clock.sleep_ms(500)
        return replies["r2.1"], sum(client.runs_by_attempt.values())

    def test_repeated_request_gets_the_first_answer(self) -> None:
        reply, runs = self.run("answer", 100)
        assert isinstance(reply, Answer) and reply.body == b"r1.1"
        assert runs == 1

    def test_concurrent_request_waits_for_the_first(self) -> None:
        reply, runs = self.run("answer", 5)
        assert isinstance(reply, Answer)
        assert runs == 1

    def test_unknown_outcome_is_not_run_again(self) -> None:
        reply, runs = self.run("break", 100)
        assert isinstance(reply, Unknown)
        assert runs == 1

    def test_request_that_was_not_run_may_be_repeated(self) -> None:
        reply, runs = self.run("shed", 100)
        assert isinstance(reply, Refusal)
        assert runs == 0


class TestCancellation:
    """A cancelled call ends and the entry node is told whether it ran."""

    def test_call_that_was_handed_over(self) -> None:
        clock = VirtualClock()
        client = ScriptedClient(clock)
        gate = Gate(client, 0, clock)
        gate.announce(announcement())
        replies: list[object] = []
        eventlet.spawn_n(gate.handle, call("r1.1"), replies.append)
        clock.sleep_ms(5)
        gate.cancel(Cancel(id="r1.1", reply_to="entry"), replies.append)
        clock.sleep_ms(100)
        assert [type(reply) for reply in replies] == [Unknown]
        assert gate.admission.in_flight == 0

    def test_call_that_arrives_after_its_cancellation(self) -> None:
        clock = VirtualClock()
        client = ScriptedClient(clock)
        gate = Gate(client, 0, clock)
        gate.announce(announcement())
        replies: list[object] = []
        gate.cancel(Cancel(id="r1.1", reply_to="entry"), replies.append)
        gate.handle(call("r1.1"), replies.append)
        assert [type(reply) for reply in replies] == [Refusal, Refusal]
        assert not client.runs_by_attempt


class TestDeadline:
    """A call that cannot meet its deadline is refused before it is sent."""

    def test_call_without_enough_time_is_refused(self) -> None:
        clock = VirtualClock()
        client = ScriptedClient(clock)
        gate = Gate(client, 0, clock)
        gate.announce(announcement())
        replies: list[object] = []
        for number in range(30):
            gate.handle(call(f"warm{number}.1"), replies.append)
        late = call("late.1")
        late.remaining_ms = 5
        gate.handle(late, replies.append)
        assert isinstance(replies[-1], Refusal)
        assert "deadline" in replies[-1].reason
        assert client.runs_by_request["late"] == 0
