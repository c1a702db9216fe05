"""Selects an upstream for each attempt and decides whether to retry."""

from __future__ import annotations

import logging
import random
from collections import Counter
from collections.abc import Callable
from typing import TYPE_CHECKING

import eventlet

from jayswitch.clock import MS_PER_S
from jayswitch.proxy import reasons
from jayswitch.proxy.exceptions import ResponseTruncated
from jayswitch.proxy.headers import find_header
from jayswitch.proxy.outcome import (
    MAX_BUFFERED_RESPONSE_BYTES,
    Answered,
    NotRun,
    OutcomeUnknown,
)
from jayswitch.rollout.trial import RouteAverages
from jayswitch.routing.sliding_window_budget import SlidingWindowRetryBudget

if TYPE_CHECKING:
    from jayswitch.catalog.model import Route
    from jayswitch.clock import Clock
    from jayswitch.fleet.directory import Directory
    from jayswitch.gate.upstream_gate import UpstreamGate
    from jayswitch.membership.member import Member
    from jayswitch.proxy.hop import HopClient
    from jayswitch.proxy.outcome import AttemptOutcome, ForwardedRequest
    from jayswitch.routing.balancer import Balancer

# Upper bound on the nodes tried for one request; each refusal costs a round trip.
MAX_NODES_TRIED = 5
NO_AVAILABLE_UPSTREAM_RETRY_MS = 400.0
# An upstream that refused a request is avoided for this long if others are available.
REFUSAL_PENALTY_MS = 100.0
# Gates of this many slow upstreams may pass a request on.
MAX_SLOW_UPSTREAMS_SKIPPED = 2
# Penalty of an upstream that is slow or breaks off its responses.
UNSOUND_UPSTREAM_PENALTY_MS = 500.0
# Part of the deadline reserved for returning the response to the caller in time.
RESPONSE_RESERVE_MS = 5.0
STATUS_SERVER_ERROR = 500
UNSOUND_UPSTREAM_REASONS = {reasons.BREAKING_OFF, reasons.SLOW_UPSTREAM}

logger = logging.getLogger(__name__)

MemberSelector = Callable[[str, "list[Member]"], "list[Member]"]


class RetryBudgetSettings:
    """Limits of the retry budget that all proxies of the fleet share."""

    __slots__ = ("ratio", "slack", "window_s")

    def __init__(self, ratio: float, slack: float, window_s: float) -> None:
        """Takes retries per request and additional ones in window_s seconds."""
        self.ratio = ratio
        self.slack = slack
        self.window_s = window_s


class _AttemptHistory:
    """State of the attempts made for one request."""

    __slots__ = (
        "tried_nodes",
        "slow_nodes",
        "accepts_slow",
        "failed_response",
        "last_failure",
        "may_have_run",
        "attempts_sent",
        "timed_out",
    )

    def __init__(self) -> None:
        self.tried_nodes: set[str] = set()
        # Nodes whose gates have refused because their upstream is slow.
        self.slow_nodes: set[str] = set()
        self.accepts_slow = False
        self.attempts_sent = 0
        self.may_have_run = False
        self.timed_out = False
        self.last_failure: NotRun | OutcomeUnknown | None = None
        self.failed_response: Answered | None = None


class AttemptRunner:
    """Runs requests in sequential attempts, on the local upstream or another proxy."""

    def __init__(
        self,
        vm: str,
        gate: UpstreamGate,
        hops: HopClient,
        directory: Directory,
        balancer: Balancer,
        budget_settings: RetryBudgetSettings,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        """Takes the local gate, which serves attempts on this VM without a hop."""
        self.counts: Counter[str] = Counter()
        self.select_members: MemberSelector = lambda service, members: members
        self.members_of_proved_version: MemberSelector = (
            lambda service, members: members
        )
        self.on_withdrawn: Callable[[str, str], object] = lambda service, version: None
        self.is_on_trial: Callable[[str, str], bool] = lambda service, version: False
        self.is_evacuated: Callable[[str], bool] = lambda data_centre: False
        self._vm = vm
        self._gate = gate
        self._hops = hops
        self._directory = directory
        self._balancer = balancer
        self._budget_settings = budget_settings
        self._retry_budget_by_service: dict[str, SlidingWindowRetryBudget] = {}
        self._proved_averages_by_route: dict[str, RouteAverages] = {}
        self._clock = clock
        self._random = rng

    def run(self, request: ForwardedRequest, route: Route) -> AttemptOutcome:
        """Runs a request; returns NotRun only if no upstream has run it."""
        request.service = route.choose_service(self._random)
        request.route = route.name
        request.proved_averages = self._proved_averages_by_route.get(
            route.name, RouteAverages()
        )
        budget = self._retry_budget(request.service)
        budget.record_request()
        history = _AttemptHistory()
        members = self._members(request.service, self.select_members)
        while True:
            if request.time_to_deadline_ms(self._clock) <= RESPONSE_RESERVE_MS:
                history.timed_out = True
                break
            member = self._next_member(members, history)
            if member is None:
                break
            if history.attempts_sent and not budget.take(self._directory.size):
                self.counts["budget_spent"] += 1
                break
            outcome = self._run_attempt(request, member, history)
            if self.is_on_trial(request.service, member.version):
                # Retries after a trial attempt go to the proved version only.
                members = self._members(request.service, self.members_of_proved_version)
            if isinstance(outcome, Answered):
                if not self._should_retry_failed_response(
                    request, route, history, outcome
                ):
                    if history.failed_response is not None:
                        history.failed_response.close()
                    return outcome
                self._keep_failed_response(outcome, history)
            elif not self._may_try_next(request, route, history, outcome):
                break
        return self._final_outcome(history)

    def _next_member(
        self, members: list[Member], history: _AttemptHistory
    ) -> Member | None:
        """Returns an upstream that has not been tried; a slow one at the very last."""
        if history.accepts_slow:
            return None
        member = None
        if len(history.tried_nodes) < MAX_NODES_TRIED:
            member = self._balancer.choose(members, history.tried_nodes)
        if member is None and history.slow_nodes:
            history.accepts_slow = True
            slow = [m for m in members if m.node in history.slow_nodes]
            member = self._balancer.choose(slow, ())
        return member

    def _members(self, service: str, select: MemberSelector) -> list[Member]:
        members = [
            member
            for member in self._directory.members(service)
            if not self.is_evacuated(member.data_centre)
        ]
        return select(service, members)

    def _retry_budget(self, service: str) -> SlidingWindowRetryBudget:
        budget = self._retry_budget_by_service.get(service)
        if budget is None:
            settings = self._budget_settings
            budget = SlidingWindowRetryBudget(
                settings.ratio, settings.slack, settings.window_s, self._clock
            )
            self._retry_budget_by_service[service] = budget
        return budget

    # Single attempt

    def _run_attempt(
        self, request: ForwardedRequest, member: Member, history: _AttemptHistory
    ) -> AttemptOutcome:
        request.version = member.version
        may_pass_on = len(history.slow_nodes) < MAX_SLOW_UPSTREAMS_SKIPPED
        on_trial = self.is_on_trial(request.service, member.version)
        request.has_alternatives = (
            may_pass_on and not history.accepts_slow and not on_trial
        )
        history.tried_nodes.add(member.node)
        self._balancer.start(member.node)
        started_ms = self._clock.now_ms()
        try:
            outcome = self._dispatch(request, member)
            outcome = self._buffer_response(request, outcome)
        finally:
            self._balancer.finish(member.node)
        if isinstance(outcome, NotRun) and outcome.reason == reasons.SLOW_UPSTREAM:
            history.slow_nodes.add(member.node)
        self._update_routing(member, outcome)
        self._update_version_stats(request, member, outcome, started_ms)
        request.last_vm = member.node
        # If the first attempt succeeds, the log line of the request covers it as well.
        if history.tried_nodes != {member.node} or not _is_success(outcome):
            self._log_attempt(request, member, outcome, started_ms)
        if not isinstance(outcome, NotRun) or outcome.reached_upstream:
            history.attempts_sent += 1
        return outcome

    def _dispatch(self, request: ForwardedRequest, member: Member) -> AttemptOutcome:
        if member.node == self._vm:
            return self._gate.run(request)
        wait_ms = request.time_to_deadline_ms(self._clock) - RESPONSE_RESERVE_MS
        return self._hops.send(member.data_address, request, wait_ms)

    def _buffer_response(
        self, request: ForwardedRequest, outcome: AttemptOutcome
    ) -> AttemptOutcome:
        """Buffers a short response, so that the caller never receives it truncated."""
        if not isinstance(outcome, Answered):
            return outcome
        length = find_header(outcome.headers, "Content-Length")
        if length is None or not length.isdigit():
            return outcome
        if int(length) > MAX_BUFFERED_RESPONSE_BYTES or request.method == "HEAD":
            return outcome
        left_ms = max(
            1.0, request.time_to_deadline_ms(self._clock) - RESPONSE_RESERVE_MS
        )
        timeout = eventlet.Timeout(left_ms / MS_PER_S)
        try:
            body = b"".join(outcome.body)
        except ResponseTruncated as error:
            return OutcomeUnknown(error.cause, load=outcome.load)
        except eventlet.Timeout as expired:
            if expired is not timeout:
                raise
            return OutcomeUnknown("the rest of the answer did not come", True)
        finally:
            timeout.cancel()
            outcome.close()
        if len(body) != int(length):
            return OutcomeUnknown("the answer ended early", load=outcome.load)
        return Answered(
            outcome.status, outcome.headers, iter([body]), _noop, outcome.load
        )

    def _update_routing(self, member: Member, outcome: AttemptOutcome) -> None:
        load = outcome.load
        if load is not None:
            in_flight = load.running + load.waiting
            self._balancer.report(member.node, in_flight, load.limit, load.service_ms)
            if load.departing is not None:
                self._directory.report_departure(member.node, load.departing)
        unreachable = isinstance(outcome, NotRun) and (
            outcome.reason == reasons.PROXY_UNREACHABLE
        )
        unresponsive = isinstance(outcome, OutcomeUnknown) and load is None
        if unreachable or unresponsive:
            self._balancer.suspect(member.node)
            self._directory.report_unreachable(member.node)
        elif isinstance(outcome, NotRun) and outcome.reason in UNSOUND_UPSTREAM_REASONS:
            self._balancer.penalize(member.node, UNSOUND_UPSTREAM_PENALTY_MS)
        elif not isinstance(outcome, Answered):
            self._balancer.penalize(member.node, REFUSAL_PENALTY_MS)

    def _update_version_stats(
        self,
        request: ForwardedRequest,
        member: Member,
        outcome: AttemptOutcome,
        started_ms: float,
    ) -> None:
        if isinstance(outcome, NotRun):
            if outcome.reason == reasons.WITHDRAWN:
                self.on_withdrawn(request.service, member.version)
            return
        if self.is_on_trial(request.service, member.version):
            return
        if isinstance(outcome, Answered):
            failed = outcome.status >= STATUS_SERVER_ERROR
        elif outcome.timed_out:
            failed = True
        else:
            return
        elapsed_ms = self._clock.now_ms() - started_ms
        proved_averages = self._proved_averages_by_route.get(
            request.route, RouteAverages()
        )
        self._proved_averages_by_route[request.route] = proved_averages.updated(
            failed, elapsed_ms
        )

    def _log_attempt(
        self,
        request: ForwardedRequest,
        member: Member,
        outcome: AttemptOutcome,
        started_ms: float,
    ) -> None:
        fields = {
            "request_id": request.request_id,
            "to_vm": member.node,
            "service": request.service,
            "version": member.version,
            "elapsed_ms": round(self._clock.now_ms() - started_ms),
            "outcome": type(outcome).__name__,
        }
        if outcome.load is not None:
            fields["load"] = outcome.load.encode()
        if isinstance(outcome, Answered):
            fields["status"] = outcome.status
        else:
            fields["reason"] = outcome.reason
        logger.info("attempt ended", extra=fields)

    # Retry decisions

    def _should_retry_failed_response(
        self,
        request: ForwardedRequest,
        route: Route,
        history: _AttemptHistory,
        response: Answered,
    ) -> bool:
        failed = response.status >= STATUS_SERVER_ERROR
        if not failed or not self._is_retry_allowed(request, route, history):
            return False
        members = self._members(request.service, self.members_of_proved_version)
        others = [
            member for member in members if member.node not in history.tried_nodes
        ]
        in_time = request.time_to_deadline_ms(self._clock) > RESPONSE_RESERVE_MS
        return bool(others) and in_time and self._has_retry_budget(request.service)

    def _has_retry_budget(self, service: str) -> bool:
        return self._retry_budget(service).allows_retry(self._directory.size)

    def _keep_failed_response(
        self, response: Answered, history: _AttemptHistory
    ) -> None:
        """Keeps a 5xx response, which is returned if no later attempt succeeds."""
        if history.failed_response is not None:
            history.failed_response.close()
        history.failed_response = response
        history.may_have_run = True
        self.counts["repeats"] += 1

    def _is_retry_allowed(
        self, request: ForwardedRequest, route: Route, history: _AttemptHistory
    ) -> bool:
        if not request.repeatable or not request.is_replayable:
            return False
        return history.attempts_sent < route.max_attempts

    def _may_try_next(
        self,
        request: ForwardedRequest,
        route: Route,
        history: _AttemptHistory,
        outcome: NotRun | OutcomeUnknown,
    ) -> bool:
        history.last_failure = outcome
        if isinstance(outcome, OutcomeUnknown):
            history.may_have_run = True
            history.timed_out = outcome.timed_out
            return self._is_retry_allowed(request, route, history)
        if history.may_have_run and not request.repeatable:
            return False
        return request.is_replayable and history.attempts_sent < route.max_attempts

    def _final_outcome(self, history: _AttemptHistory) -> AttemptOutcome:
        if history.failed_response is not None:
            return history.failed_response
        if history.may_have_run:
            reason = (
                history.last_failure.reason
                if history.last_failure
                else reasons.NO_AVAILABLE_UPSTREAM
            )
            return OutcomeUnknown(reason, history.timed_out)
        if isinstance(history.last_failure, NotRun):
            return history.last_failure
        return NotRun(reasons.NO_AVAILABLE_UPSTREAM, NO_AVAILABLE_UPSTREAM_RETRY_MS)


def _is_success(outcome: AttemptOutcome) -> bool:
    return isinstance(outcome, Answered) and outcome.status < STATUS_SERVER_ERROR


def _noop() -> None:
    return
