"""Routing of calls at the entry node: upstream choice, attempts and retries."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable, Iterator
from typing import TYPE_CHECKING, TypeAlias

import eventlet
from eventlet.queue import Empty, LightQueue
from returns.result import Failure, Result, Success

from jayswitch.clock import MS_PER_S
from jayswitch.gate.reasons import LOAD_REASONS
from jayswitch.messages.generated import (
    Answer,
    Call,
    Cancel,
    Chunk,
    Credit,
    Refusal,
    Unknown,
)
from jayswitch.routing.balancer import Balancer, split_point_for_key
from jayswitch.routing.exceptions import (
    CallFailure,
    DepthExceeded,
    NoRoute,
    NotRun,
    OutcomeUnknown,
)
from jayswitch.routing.request import (
    BodyTruncated,
    CallerRequest,
    CallerResponse,
    RequestAttempts,
)
from jayswitch.routing.retry_budget import RetryBudget
from jayswitch.routing.table import (
    RoutingTable,
    UpstreamDirectory,
    VersionSplit,
    random_split_point,
)

if TYPE_CHECKING:
    from jayswitch.clock import Clock
    from jayswitch.gate.gate import Gate, Reply
    from jayswitch.membership.member import Member
    from jayswitch.transport.interface import Transport

MAX_ATTEMPTS = 4
MAX_DEPTH = 16
CONNECT_TIMEOUT_MS = 250.0
CANCEL_WAIT_MS = 20.0
CHUNK_TIMEOUT_MS = 30_000.0
CREDIT_EVERY_CHUNKS = 4
CREDIT_WINDOW = 8
# Part of the time left after which a first attempt is cancelled if it may be retried.
EARLY_CANCEL_SHARE = 0.5
# If one of the first attempts, up to this number, is refused because of stale
# membership data, the retry does not count against the budget.
FREE_ATTEMPTS = 3
STARTING_RETRY_MS = 1000
REASON_STARTING = "this node has not received the configuration yet"
REASON_UNREACHABLE = "its node could not be reached"

Outcome: TypeAlias = Answer | Refusal | Unknown
OutcomeListener = Callable[[Call, bool], None]


class Router:
    """Routes requests to gates; never reports an unknown outcome as not run."""

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

    def call(self, request: CallerRequest) -> Result[CallerResponse, CallFailure]:
        """Runs a request; a failure states if it is certain that it did not run."""
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

    def _call(self, request: CallerRequest) -> Result[CallerResponse, CallFailure]:
        table = self.table
        route = table.route_for(request.path)
        if route is None and not table.config.version:
            return Failure(NotRun(REASON_STARTING, STARTING_RETRY_MS))
        if route is None:
            return Failure(NoRoute(request.path, table.profile_name))
        if request.depth > MAX_DEPTH:
            return Failure(DepthExceeded(request.depth))
        timeout_ms = float(route.timeout_ms)
        if request.timeout_ms > 0:
            timeout_ms = min(timeout_ms, request.timeout_ms)
        split = table.split_for(route.service, self._clock.wall_ms())
        version = self._choose_version(table, split, route.service, request.key)
        deadline_ms = self._clock.now_ms() + timeout_ms
        budget = self._budget_by_service.setdefault(route.service, RetryBudget())
        budget.deposit(table.retry_percent(route.service))
        attempts = RequestAttempts(
            request,
            table.profile_name,
            route,
            version,
            split.proved_version,
            deadline_ms,
            budget,
        )
        return self._run_attempts(attempts)

    def _choose_version(
        self, table: RoutingTable, split: VersionSplit, service: str, key: str
    ) -> str:
        point = split_point_for_key(key) if key else random_split_point(self._random)
        version = split.choose(point)
        if version == split.proved_version or split.move is None:
            return version
        is_bad = self.is_marked_bad(split.move.id)
        usable = self._directory.usable(service, version, table.config)
        return split.proved_version if is_bad or not usable else version

    def _run_attempts(
        self, attempts: RequestAttempts
    ) -> Result[CallerResponse, CallFailure]:
        while True:
            member = self._choose_upstream(attempts)
            remaining_ms = attempts.deadline_ms - self._clock.now_ms()
            if member is None or remaining_ms <= 0:
                break
            outcome = self._try_upstream(attempts, member, remaining_ms)
            if isinstance(outcome, Answer):
                return Success(self._build_caller_response(attempts, member, outcome))
            attempts.record_failure(member.node, outcome)
            if not self._may_retry(attempts, outcome):
                break
            self.counts["retries"] += 1
        if attempts.may_have_run:
            return Failure(OutcomeUnknown(attempts.last_reason))
        return Failure(NotRun(attempts.last_reason, attempts.retry_after_ms))

    def _choose_upstream(self, attempts: RequestAttempts) -> Member | None:
        usable = self._directory.usable(
            attempts.route.service, attempts.version, self.table.config
        )
        key = attempts.request.key
        return self._balancer.choose(usable, attempts.excluded, key)

    def _may_retry(self, attempts: RequestAttempts, outcome: Refusal | Unknown) -> bool:
        if attempts.number >= MAX_ATTEMPTS:
            return False
        if isinstance(outcome, Unknown):
            nested = attempts.request.depth > 0
            return attempts.idempotent and not nested and attempts.budget.take()
        # The first retries after a refusal by a leaving or lost gate are free: the
        # router chose that gate only because its membership data was stale.
        stale = outcome.reason not in LOAD_REASONS
        free = stale and attempts.number <= FREE_ATTEMPTS
        return free or attempts.budget.take()

    # One attempt

    def _try_upstream(
        self, attempts: RequestAttempts, member: Member, remaining_ms: float
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
        self._record_outcome(member, outcome, call)
        return outcome

    def _exchange(
        self, call: Call, member: Member, replies: LightQueue, attempts: RequestAttempts
    ) -> Outcome:
        if member.node == self._node:
            eventlet.spawn_n(self._gate.handle, call, self.receive)
        else:
            connect_ms = min(CONNECT_TIMEOUT_MS, call.remaining_ms)
            if not self._transport.send(member.data_address, call, connect_ms):
                self._balancer.suspect(member.node)
                return Refusal(id=call.id, reason=REASON_UNREACHABLE)
        early_ms = call.remaining_ms * EARLY_CANCEL_SHARE
        outcome = self._wait_for_reply(replies, early_ms)
        if outcome is None and not self._may_cancel_early(attempts):
            outcome = self._wait_for_reply(replies, call.remaining_ms - early_ms)
        if outcome is not None:
            return outcome
        return self._cancel(call, member, replies)

    def _may_cancel_early(self, attempts: RequestAttempts) -> bool:
        first = attempts.number == 1 and attempts.request.depth == 0
        return first and attempts.idempotent and attempts.budget.has_token

    def _wait_for_reply(self, replies: LightQueue, wait_ms: float) -> Outcome | None:
        try:
            return replies.get(timeout=max(wait_ms, 0) / MS_PER_S)
        except Empty:
            return None

    def _cancel(self, call: Call, member: Member, replies: LightQueue) -> Outcome:
        """Cancels a late call; its gate may still confirm that it never ran."""
        self.counts["cancels"] += 1
        cancel = Cancel(id=call.id, reply_to=self._transport.address)
        if member.node == self._node:
            self._gate.cancel(cancel, self.receive)
        else:
            self._transport.send(member.data_address, cancel, 0)
        outcome = self._wait_for_reply(replies, CANCEL_WAIT_MS)
        if outcome is not None:
            return outcome
        self._balancer.suspect(member.node)
        return Unknown(id=call.id, reason="no answer came in time")

    def _record_outcome(self, member: Member, outcome: Outcome, call: Call) -> None:
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

    # Replies

    def receive(self, message: Reply) -> None:
        """Passes a reply to the waiting task; counts replies that come too late."""
        replies = self._replies_by_id.get(message.id)
        if replies is None:
            self.counts["late_replies"] += 1
            return
        replies.put(message)

    def _build_caller_response(
        self, attempts: RequestAttempts, member: Member, answer: Answer
    ) -> CallerResponse:
        body: Iterator[bytes] = iter([answer.body])
        if answer.more:
            body = self._read_chunks(answer, member, self._replies_by_id[answer.id])
        return CallerResponse(
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
                raise BodyTruncated("the next chunk did not arrive in time") from None
            if not isinstance(chunk, Chunk) or chunk.seq < expected_seq:
                self.counts["unexpected_replies"] += 1
                continue
            if chunk.failed or chunk.seq != expected_seq:
                self.counts["answers_cut"] += 1
                raise BodyTruncated(chunk.failed or "a chunk of the answer was lost")
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
