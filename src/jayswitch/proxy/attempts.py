"""Chooses upstreams for a request and decides whether to try another one."""

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
from jayswitch.proxy.headers import find
from jayswitch.proxy.outcome import Answered, NotRun, OutcomeUnknown
from jayswitch.rollout.trial import Usual
from jayswitch.routing.window_budget import WindowBudget

if TYPE_CHECKING:
    from jayswitch.catalog.model import Route
    from jayswitch.clock import Clock
    from jayswitch.fleet.directory import Directory
    from jayswitch.gate.upstream_gate import UpstreamGate
    from jayswitch.membership.member import Member
    from jayswitch.proxy.hop import HopClient
    from jayswitch.proxy.outcome import AttemptOutcome, ForwardedRequest
    from jayswitch.routing.balancer import Balancer

# Proxies that may be asked for one request; a refusal there costs a round trip.
MAX_HOPS = 5
NO_CANDIDATE_RETRY_MS = 400.0
# A refusing upstream is avoided for this long while others take work.
REFUSAL_PENALTY_MS = 100.0
# Answers up to this size are read whole before the caller gets their head.
MAX_BUFFERED_RESPONSE_BYTES = 1024 * 1024
# Kept for the way back, so that the answer reaches the caller in time.
RETURN_MS = 5.0
STATUS_SERVER_ERROR = 500

logger = logging.getLogger(__name__)

VersionChooser = Callable[[str, "list[Member]"], "list[Member]"]


class BudgetTerms:
    """The bounds of the retry budget that the fleet shares."""

    __slots__ = ("ratio", "slack", "window_s")

    def __init__(self, ratio: float, slack: float, window_s: float) -> None:
        """Takes repeats per request, repeats on top, and the window in seconds."""
        self.ratio = ratio
        self.slack = slack
        self.window_s = window_s


class _Progress:
    """What has been tried for one request."""

    __slots__ = (
        "asked",
        "failed_response",
        "last",
        "may_have_run",
        "sent",
        "timed_out",
    )

    def __init__(self) -> None:
        self.asked: set[str] = set()
        self.sent = 0
        self.may_have_run = False
        self.timed_out = False
        self.last: NotRun | OutcomeUnknown | None = None
        self.failed_response: Answered | None = None


class AttemptRunner:
    """Runs requests: local upstream or another proxy, one attempt after another."""

    def __init__(
        self,
        vm: str,
        gate: UpstreamGate,
        hops: HopClient,
        directory: Directory,
        balancer: Balancer,
        budget_terms: BudgetTerms,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        """Takes the gate on this VM, which is asked without a hop."""
        self.counts: Counter[str] = Counter()
        self.choose_versions: VersionChooser = lambda service, members: members
        self.only_proved: VersionChooser = lambda service, members: members
        self.on_withdrawn: Callable[[str, str], object] = lambda service, version: None
        self.is_on_trial: Callable[[str, str], bool] = lambda service, version: False
        self.is_evacuated: Callable[[str], bool] = lambda data_centre: False
        self._vm = vm
        self._gate = gate
        self._hops = hops
        self._directory = directory
        self._balancer = balancer
        self._budget_terms = budget_terms
        self._budget_by_service: dict[str, WindowBudget] = {}
        self._usual_by_route: dict[str, Usual] = {}
        self._clock = clock
        self._random = rng

    def run(self, request: ForwardedRequest, route: Route) -> AttemptOutcome:
        """Runs a request; NotRun is returned only if it has run nowhere."""
        request.service = route.choose_service(self._random)
        request.route = route.name
        request.usual = self._usual_by_route.get(route.name, Usual())
        budget = self._budget(request.service)
        budget.note_request()
        progress = _Progress()
        members = self._members(request.service, self.choose_versions)
        while len(progress.asked) < MAX_HOPS:
            if request.left_ms(self._clock) <= RETURN_MS:
                progress.timed_out = True
                break
            member = self._balancer.choose(members, progress.asked)
            if member is None:
                break
            if progress.sent and not budget.take(self._directory.size):
                self.counts["budget_spent"] += 1
                break
            outcome = self._try(request, member, progress)
            if self.is_on_trial(request.service, member.version):
                # Whatever a version on trial did not answer goes to the proved one.
                members = self._members(request.service, self.only_proved)
            if isinstance(outcome, Answered):
                if not self._is_worth_repeating(request, route, progress, outcome):
                    if progress.failed_response is not None:
                        progress.failed_response.close()
                    return outcome
                self._set_aside(outcome, progress)
            elif not self._may_go_on(request, route, progress, outcome):
                break
        return self._conclude(progress)

    def _members(self, service: str, choose: VersionChooser) -> list[Member]:
        members = [
            member
            for member in self._directory.members(service)
            if not self.is_evacuated(member.data_centre)
        ]
        return choose(service, members)

    def _budget(self, service: str) -> WindowBudget:
        budget = self._budget_by_service.get(service)
        if budget is None:
            terms = self._budget_terms
            budget = WindowBudget(terms.ratio, terms.slack, terms.window_s, self._clock)
            self._budget_by_service[service] = budget
        return budget

    # One attempt

    def _try(
        self, request: ForwardedRequest, member: Member, progress: _Progress
    ) -> AttemptOutcome:
        request.version = member.version
        progress.asked.add(member.node)
        self._balancer.start(member.node)
        started_ms = self._clock.now_ms()
        try:
            outcome = self._ask(request, member)
            outcome = self._hold(request, outcome)
        finally:
            self._balancer.finish(member.node)
        self._learn(member, outcome)
        self._learn_version(request, member, outcome, started_ms)
        request.last_vm = member.node
        if progress.asked != {member.node} or not _is_plain(outcome):
            self._log(request, member, outcome, started_ms)
        if not isinstance(outcome, NotRun) or outcome.reached_upstream:
            progress.sent += 1
        return outcome

    def _ask(self, request: ForwardedRequest, member: Member) -> AttemptOutcome:
        if member.node == self._vm:
            return self._gate.run(request)
        wait_ms = request.left_ms(self._clock) - RETURN_MS
        return self._hops.send(member.data_address, request, wait_ms)

    def _hold(
        self, request: ForwardedRequest, outcome: AttemptOutcome
    ) -> AttemptOutcome:
        """Reads a short answer whole, so that the caller never sees it cut."""
        if not isinstance(outcome, Answered):
            return outcome
        length = find(outcome.headers, "Content-Length")
        if length is None or not length.isdigit():
            return outcome
        if int(length) > MAX_BUFFERED_RESPONSE_BYTES or request.method == "HEAD":
            return outcome
        left_ms = max(1.0, request.left_ms(self._clock) - RETURN_MS)
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
            outcome.status, outcome.headers, iter([body]), _nothing, outcome.load
        )

    def _learn(self, member: Member, outcome: AttemptOutcome) -> None:
        load = outcome.load
        if load is not None:
            in_flight = load.running + load.waiting
            self._balancer.report(member.node, in_flight, load.limit, load.service_ms)
        unreached = isinstance(outcome, NotRun) and (
            outcome.reason == reasons.PROXY_UNREACHED
        )
        silent = isinstance(outcome, OutcomeUnknown) and load is None
        if unreached or silent:
            self._balancer.suspect(member.node)
            self._directory.note_failure(member.node)
        elif not isinstance(outcome, Answered):
            self._balancer.penalize(member.node, REFUSAL_PENALTY_MS)

    def _learn_version(
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
        usual = self._usual_by_route.get(request.route, Usual())
        self._usual_by_route[request.route] = usual.after(failed, elapsed_ms)

    def _log(
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

    # Decisions

    def _is_worth_repeating(
        self,
        request: ForwardedRequest,
        route: Route,
        progress: _Progress,
        response: Answered,
    ) -> bool:
        failed = response.status >= STATUS_SERVER_ERROR
        if not failed or not self._may_repeat(request, route, progress):
            return False
        members = self._members(request.service, self.only_proved)
        others = [member for member in members if member.node not in progress.asked]
        in_time = request.left_ms(self._clock) > RETURN_MS
        return bool(others) and in_time and self._has_budget(request.service)

    def _has_budget(self, service: str) -> bool:
        return self._budget(service).has_room(self._directory.size)

    def _set_aside(self, response: Answered, progress: _Progress) -> None:
        """Keeps a failure, which the caller gets if nothing better comes."""
        if progress.failed_response is not None:
            progress.failed_response.close()
        progress.failed_response = response
        progress.may_have_run = True
        self.counts["repeats"] += 1

    def _may_repeat(
        self, request: ForwardedRequest, route: Route, progress: _Progress
    ) -> bool:
        if not request.repeatable or not request.can_be_sent_again:
            return False
        return progress.sent < route.max_attempts

    def _may_go_on(
        self,
        request: ForwardedRequest,
        route: Route,
        progress: _Progress,
        outcome: NotRun | OutcomeUnknown,
    ) -> bool:
        progress.last = outcome
        if isinstance(outcome, OutcomeUnknown):
            progress.may_have_run = True
            progress.timed_out = outcome.timed_out
            return self._may_repeat(request, route, progress)
        if progress.may_have_run and not request.repeatable:
            return False
        return request.can_be_sent_again and progress.sent < route.max_attempts

    def _conclude(self, progress: _Progress) -> AttemptOutcome:
        if progress.failed_response is not None:
            return progress.failed_response
        if progress.may_have_run:
            reason = progress.last.reason if progress.last else reasons.NO_CANDIDATE
            return OutcomeUnknown(reason, progress.timed_out)
        if isinstance(progress.last, NotRun):
            return progress.last
        return NotRun(reasons.NO_CANDIDATE, NO_CANDIDATE_RETRY_MS)


def _is_plain(outcome: AttemptOutcome) -> bool:
    """Tells whether the line on the request says all that there is to say."""
    return isinstance(outcome, Answered) and outcome.status < STATUS_SERVER_ERROR


def _nothing() -> None:
    return
