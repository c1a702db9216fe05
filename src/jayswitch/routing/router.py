"""The entry node's part of a call: choice, attempts, retries and the truth."""

from __future__ import annotations

import random
import uuid
from collections import Counter
from collections.abc import Callable, Iterator
from typing import TYPE_CHECKING, TypeAlias

import eventlet
from eventlet.queue import Empty, LightQueue
from returns.result import Failure, Result, Success

from jayswitch.clock import MS_PER_S
from jayswitch.gate.reasons import REASONS_OF_LOAD
from jayswitch.messages.generated import (
    Answer,
    Call,
    Cancel,
    Chunk,
    Credit,
    Header,
    Refusal,
    Unknown,
)
from jayswitch.routing.balancer import Balancer, point_of_key
from jayswitch.routing.exceptions import (
    CallFailure,
    DepthExceeded,
    NoRoute,
    NotRun,
    OutcomeUnknown,
)
from jayswitch.routing.retry import RetryBudget
from jayswitch.routing.table import RoutingTable, UpstreamDirectory, random_point

if TYPE_CHECKING:
    from jayswitch.clock import Clock
    from jayswitch.gate.gate import Gate, Reply
    from jayswitch.membership.member import Member
    from jayswitch.profiles.generated import Route
    from jayswitch.transport.interface import Transport

MAX_ATTEMPTS = 4
MAX_DEPTH = 16
CONNECT_TIMEOUT_MS = 250.0
CANCEL_WAIT_MS = 20.0
CHUNK_TIMEOUT_MS = 30_000.0
CREDIT_EVERY_CHUNKS = 4
CREDIT_WINDOW = 8
NO_UPSTREAM_RETRY_MS = 1000
SHARE_OF_TIME_BEFORE_RETRY = 0.5
FREE_ATTEMPTS = 3
REASON_UNREACHABLE = "its node could not be reached"

Outcome: TypeAlias = Answer | Refusal | Unknown
OutcomeListener = Callable[[Call, bool], None]


class CallerRequest:
    """A request as it came from a caller; the timeout is 0 if none was given."""

    __slots__ = ("body", "depth", "headers", "key", "method", "path", "timeout_ms")

    def __init__(
        self,
        method: str,
        path: str,
        headers: list[Header],
        body: bytes,
        timeout_ms: float = 0,
        depth: int = 0,
        key: str = "",
    ) -> None:
        """Takes the path with its query string."""
        self.method = method
        self.path = path
        self.headers = headers
        self.body = body
        self.timeout_ms = timeout_ms
        self.depth = depth
        self.key = key


class CallerAnswer:
    """A complete head and an iterator over the body, which may fail when read."""

    __slots__ = ("body", "headers", "request_id", "status", "upstream")

    def __init__(
        self,
        request_id: str,
        upstream: str,
        status: int,
        headers: list[Header],
        body: Iterator[bytes],
    ) -> None:
        """Takes what the upstream answered and the name of its node."""
        self.request_id = request_id
        self.upstream = upstream
        self.status = status
        self.headers = headers
        self.body = body


class AnswerCut(Exception):
    """The body of an answer ended early; the caller must not take it for whole."""


class Attempts:
    """What has been tried for one request."""

    __slots__ = (
        "budget",
        "call_id",
        "deadline_ms",
        "excluded",
        "last_reason",
        "may_have_run",
        "number",
        "profile",
        "request",
        "request_id",
        "retry_after_ms",
        "route",
        "version",
    )

    def __init__(
        self,
        request: CallerRequest,
        profile: str,
        route: Route,
        version: str,
        deadline_ms: float,
        budget: RetryBudget,
    ) -> None:
        """Starts before the first attempt."""
        self.profile = profile
        self.budget = budget
        self.may_have_run = False
        self.request = request
        self.request_id = uuid.uuid4().hex
        self.route = route
        self.version = version
        self.deadline_ms = deadline_ms
        self.number = 0
        self.call_id = ""
        self.excluded: set[str] = set()
        self.last_reason = f"no upstream of {route.service} {version} is available"
        self.retry_after_ms = NO_UPSTREAM_RETRY_MS

    @property
    def idempotent(self) -> bool:
        """Tells whether the route allows the method to run more than once."""
        return self.request.method in self.route.idempotent_methods

    def note(self, node: str, outcome: Refusal | Unknown) -> None:
        """Takes over what an attempt without an answer has shown."""
        self.excluded.add(node)
        self.last_reason = outcome.reason
        if isinstance(outcome, Refusal):
            self.retry_after_ms = max(1, outcome.retry_after_ms)
        else:
            self.may_have_run = True

    def next_call(self, reply_to: str, remaining_ms: float) -> Call:
        """Returns the message of the next attempt."""
        self.number += 1
        self.call_id = f"{self.request_id}.{self.number}"
        return Call(
            id=self.call_id,
            request_id=self.request_id,
            reply_to=reply_to,
            profile=self.profile,
            service=self.route.service,
            version=self.version,
            route=self.route.name,
            method=self.request.method,
            path=self.request.path,
            headers=self.request.headers,
            body=self.request.body,
            remaining_ms=remaining_ms,
            depth=self.request.depth,
            idempotent=self.idempotent,
            priority=self.route.priority,
            key=self.request.key,
        )


class Router:
    """Routes callers' requests to gates and tells callers only what is known."""

    def __init__(
        self,
        node: str,
        gate: Gate,
        transport: Transport,
        balancer: Balancer,
        directory: UpstreamDirectory,
        table: RoutingTable,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        """Takes the local gate, which is called without the transport."""
        self.table = table
        self.counts: Counter[str] = Counter()
        self.in_flight = 0
        self.on_outcome: OutcomeListener = lambda call, failed: None
        self.is_marked_bad: Callable[[str], bool] = lambda move_id: False
        self._node = node
        self._gate = gate
        self._transport = transport
        self._balancer = balancer
        self._directory = directory
        self._clock = clock
        self._random = rng
        self._replies_by_id: dict[str, LightQueue] = {}
        self._budget_by_service: dict[str, RetryBudget] = {}

    def call(self, request: CallerRequest) -> Result[CallerAnswer, CallFailure]:
        """Runs a request; a failure says whether it is known not to have run."""
        self.counts["calls"] += 1
        self.in_flight += 1
        try:
            result = self._call(request)
        finally:
            self.in_flight -= 1
        match result:
            case Success(_):
                self.counts["answered"] += 1
            case Failure(error):
                self.counts[error.code] += 1
        return result

    def _call(self, request: CallerRequest) -> Result[CallerAnswer, CallFailure]:
        table = self.table
        route = table.route_for(request.path)
        if route is None:
            return Failure(NoRoute(request.path, table.profile_name))
        if request.depth > MAX_DEPTH:
            return Failure(DepthExceeded(request.depth))
        timeout_ms = float(route.timeout_ms)
        if request.timeout_ms > 0:
            timeout_ms = min(timeout_ms, request.timeout_ms)
        version = self._choose_version(table, route.service, request.key)
        deadline_ms = self._clock.now_ms() + timeout_ms
        budget = self._budget_by_service.setdefault(route.service, RetryBudget())
        budget.deposit(table.retry_percent(route.service))
        attempts = Attempts(
            request, table.profile_name, route, version, deadline_ms, budget
        )
        return self._attempt(attempts)

    def _choose_version(self, table: RoutingTable, service: str, key: str) -> str:
        split = table.split_for(service, self._clock.wall_ms())
        point = point_of_key(key) if key else random_point(self._random)
        version = split.choose(point)
        if version == split.proved_version or split.move is None:
            return version
        is_bad = self.is_marked_bad(split.move.id)
        usable = self._directory.usable(service, version, table.config)
        return split.proved_version if is_bad or not usable else version

    def _attempt(self, attempts: Attempts) -> Result[CallerAnswer, CallFailure]:
        while True:
            member = self._choose_upstream(attempts)
            remaining_ms = attempts.deadline_ms - self._clock.now_ms()
            if member is None or remaining_ms <= 0:
                break
            outcome = self._try_upstream(attempts, member, remaining_ms)
            if isinstance(outcome, Answer):
                return Success(self._to_answer(attempts, member, outcome))
            attempts.note(member.node, outcome)
            if not self._may_retry(attempts, outcome):
                break
            self.counts["retries"] += 1
        if attempts.may_have_run:
            return Failure(OutcomeUnknown(attempts.last_reason))
        return Failure(NotRun(attempts.last_reason, attempts.retry_after_ms))

    def _choose_upstream(self, attempts: Attempts) -> Member | None:
        usable = self._directory.usable(
            attempts.route.service, attempts.version, self.table.config
        )
        key = attempts.request.key
        return self._balancer.choose(usable, attempts.excluded, key)

    def _may_retry(self, attempts: Attempts, outcome: Refusal | Unknown) -> bool:
        if attempts.number >= MAX_ATTEMPTS:
            return False
        if isinstance(outcome, Unknown):
            nested = attempts.request.depth > 0
            return attempts.idempotent and not nested and attempts.budget.take()
        # A gate that is gone or leaving costs nothing at first, because the router
        # would not have asked it had the news arrived in time.
        stale = outcome.reason not in REASONS_OF_LOAD
        free = stale and attempts.number <= FREE_ATTEMPTS
        return free or attempts.budget.take()

    # One attempt

    def _try_upstream(
        self, attempts: Attempts, member: Member, remaining_ms: float
    ) -> Outcome:
        call = attempts.next_call(self._transport.address, remaining_ms)
        replies: LightQueue = LightQueue()
        self._replies_by_id[call.id] = replies
        self._balancer.start(member.node)
        try:
            outcome = self._exchange(call, member, replies, attempts)
        finally:
            self._balancer.finish(member.node)
            self._replies_by_id.pop(call.id, None)
        if isinstance(outcome, Answer) and outcome.more:
            self._replies_by_id[call.id] = replies
        self._learn(member, outcome, call)
        return outcome

    def _exchange(
        self, call: Call, member: Member, replies: LightQueue, attempts: Attempts
    ) -> Outcome:
        if member.node == self._node:
            eventlet.spawn_n(self._gate.handle, call, self.receive)
        else:
            connect_ms = min(CONNECT_TIMEOUT_MS, call.remaining_ms)
            if not self._transport.send(member.data_address, call, connect_ms):
                self._balancer.suspect(member.node)
                return Refusal(id=call.id, reason=REASON_UNREACHABLE)
        early_ms = call.remaining_ms * SHARE_OF_TIME_BEFORE_RETRY
        outcome = self._await(replies, early_ms)
        if outcome is None and not self._gives_up_early(attempts):
            outcome = self._await(replies, call.remaining_ms - early_ms)
        if outcome is not None:
            return outcome
        return self._cancel(call, member, replies)

    def _gives_up_early(self, attempts: Attempts) -> bool:
        first = attempts.number == 1 and attempts.request.depth == 0
        return first and attempts.idempotent and attempts.budget.has_token

    def _await(self, replies: LightQueue, wait_ms: float) -> Outcome | None:
        try:
            return replies.get(timeout=max(wait_ms, 0) / MS_PER_S)
        except Empty:
            return None

    def _cancel(self, call: Call, member: Member, replies: LightQueue) -> Outcome:
        """Stops a late call; its gate may still know that it never ran."""
        self.counts["cancels"] += 1
        cancel = Cancel(id=call.id, reply_to=self._transport.address)
        if member.node == self._node:
            self._gate.cancel(cancel, self.receive)
        else:
            self._transport.send(member.data_address, cancel, 0)
        outcome = self._await(replies, CANCEL_WAIT_MS)
        if outcome is not None:
            return outcome
        self._balancer.suspect(member.node)
        return Unknown(id=call.id, reason="no answer came in time")

    def _learn(self, member: Member, outcome: Outcome, call: Call) -> None:
        failed = isinstance(outcome, Unknown)
        if isinstance(outcome, Answer):
            self._balancer.report(member.node, outcome.in_flight, outcome.limit)
            failed = outcome.status >= 500
        if isinstance(outcome, Refusal):
            if outcome.limit:
                self._balancer.report(member.node, outcome.in_flight, outcome.limit)
            if outcome.reason != REASON_UNREACHABLE:
                self._balancer.penalize(member.node, outcome.retry_after_ms)
            return
        self.on_outcome(call, failed)

    # Answers

    def receive(self, message: Reply) -> None:
        """Hands a reply to the task that waits for it; late ones are counted."""
        replies = self._replies_by_id.get(message.id)
        if replies is None:
            self.counts["late_replies"] += 1
            return
        replies.put(message)

    def _to_answer(
        self, attempts: Attempts, member: Member, answer: Answer
    ) -> CallerAnswer:
        body: Iterator[bytes] = iter([answer.body])
        if answer.more:
            body = self._read_chunks(answer, member, self._replies_by_id[answer.id])
        return CallerAnswer(
            attempts.request_id, member.node, answer.status, answer.headers, body
        )

    def _read_chunks(
        self, answer: Answer, member: Member, replies: LightQueue
    ) -> Iterator[bytes]:
        self.in_flight += 1
        try:
            yield answer.body
            yield from self._read_later_chunks(answer.id, member, replies)
        finally:
            self.in_flight -= 1
            self._replies_by_id.pop(answer.id, None)

    def _read_later_chunks(
        self, call_id: str, member: Member, replies: LightQueue
    ) -> Iterator[bytes]:
        expected_seq = 0
        while True:
            try:
                chunk = replies.get(timeout=CHUNK_TIMEOUT_MS / MS_PER_S)
            except Empty:
                raise AnswerCut("the next part of the answer did not come") from None
            if not isinstance(chunk, Chunk) or chunk.seq < expected_seq:
                self.counts["unexpected_replies"] += 1
                continue
            if chunk.failed or chunk.seq != expected_seq:
                self.counts["answers_cut"] += 1
                raise AnswerCut(chunk.failed or "a part of the answer was lost")
            if chunk.last:
                return
            yield chunk.data
            expected_seq += 1
            if expected_seq % CREDIT_EVERY_CHUNKS == 0:
                self._send_credit(call_id, member, expected_seq + CREDIT_WINDOW)

    def _send_credit(self, call_id: str, member: Member, up_to: int) -> None:
        if member.node == self._node:
            self._gate.credit(call_id, up_to)
            return
        credit = Credit(id=call_id, up_to=up_to)
        self._transport.send(member.data_address, credit, CONNECT_TIMEOUT_MS)
