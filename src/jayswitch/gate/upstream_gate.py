"""Gate of a proxy: admits HTTP requests to the upstream on its VM.

The gate of a node, which gets calls as messages, is in gate.py.
"""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Callable, Iterator
from typing import TYPE_CHECKING

import eventlet

from jayswitch.clock import MS_PER_S
from jayswitch.gate.circuit_breaker import CircuitBreaker
from jayswitch.gate.cold_rate_limiter import ColdRateAllowance, ColdRateLimiter
from jayswitch.gate.notice_handler import NoticeHandler
from jayswitch.gate.rate_limiter import RateLimiter
from jayswitch.gate.response_buffer import ResponseBuffer
from jayswitch.gate.service_times import ServiceTimes
from jayswitch.gate.slots import SlotQueue
from jayswitch.gate.slowness import SlownessDetector
from jayswitch.gate.upstream_health import UpstreamHealth
from jayswitch.gate.upstream_response import ResponseKind, classify_response
from jayswitch.proxy import reasons
from jayswitch.proxy.exceptions import ExchangeFailed, RequestNotSent, ResponseTruncated
from jayswitch.proxy.outcome import (
    Answered,
    LoadReport,
    NotRun,
    OutcomeUnknown,
)

if TYPE_CHECKING:
    from jayswitch.catalog.model import Service
    from jayswitch.clock import Clock
    from jayswitch.fleet.records import Upstream
    from jayswitch.gate.local_upstream import LocalUpstream
    from jayswitch.proxy.headers import HeaderNames
    from jayswitch.proxy.http_client import Exchange, HttpClient
    from jayswitch.proxy.outcome import AttemptOutcome, ForwardedRequest

# Delay before a retry where a refusal states none: about the time in which one of the
# running calls ends.
DEFAULT_RETRY_MS = 200.0
# With less time left the request would be cancelled before the upstream has responded.
MIN_TIME_LEFT_MS = 10.0
MOST_URGENT_RANK = 0
STATUS_SERVER_ERROR = 500

UpstreamResponseListener = Callable[["ForwardedRequest", bool, float], None]

logger = logging.getLogger(__name__)


class UpstreamGate:
    """Admits requests to one upstream within its capacity.

    Only the gate sends requests to the upstream, so a refused request has not run.
    """

    def __init__(
        self,
        address: str,
        local_upstream: LocalUpstream,
        cold_limiter: ColdRateLimiter,
        client: HttpClient,
        names: HeaderNames,
        clock: Clock,
        cold_rate_allowance: ColdRateAllowance | None = None,
    ) -> None:
        """Takes the upstream's address and its state from heartbeats."""
        self._cold_rate_allowance = cold_rate_allowance or ColdRateAllowance()
        self.counts: Counter[str] = Counter()
        self.rate_limiter = RateLimiter(clock)
        self.slots = SlotQueue(1, cold_limiter, self.rate_limiter, clock)
        self.data_centre_evacuated = False
        # Until the configuration and the moves are known, the upstream's version may be
        # withdrawn or its data centre evacuated.
        self.is_informed: Callable[[], bool] = lambda: True
        self.is_version_allowed: Callable[[str], bool] = lambda version: True
        self.on_upstream_response: UpstreamResponseListener = (
            lambda request, failed, latency_ms: None
        )
        self.cold_limiter = cold_limiter
        self._address = address
        self._local_upstream = local_upstream
        self._client = client
        self._names = names
        self._clock = clock
        self._times = ServiceTimes()
        self.buffer = ResponseBuffer()
        self._breaker = CircuitBreaker(clock)
        self._slowness = SlownessDetector(clock)
        self.notices = NoticeHandler(names, local_upstream, self.slots, clock)
        self.health = UpstreamHealth(
            address,
            local_upstream,
            cold_limiter,
            self.rate_limiter,
            client,
            names,
            self.counts,
            clock,
        )
        self.health.on_response = self.notices.read_health

    @property
    def load(self) -> LoadReport:
        """Returns the current load; the limit follows the rate if that is limited.

        Responses on their way count as waiting: their slots are free, but the VM's link
        delays further responses until these have been sent.
        """
        limit = self.slots.limit
        per_s = self.rate_limiter.per_s
        if self.cold_limiter.is_cold:
            per_s = min(per_s, self.cold_limiter.per_s)
        if per_s < float("inf"):
            sustainable = int(per_s * self._times.overall_ms / MS_PER_S)
            limit = max(1, min(limit, sustainable))
        waiting = self.slots.waiting + self.buffer.responses_held
        return LoadReport(
            self.slots.running,
            waiting,
            limit,
            self._times.overall_ms,
            self.notices.departing,
        )

    def set_service(self, service: Service) -> None:
        """Applies the configuration of the upstream's service."""
        self.health.path = service.health_path
        self.cold_limiter.per_s = self._cold_rate_allowance.calls_per_s(
            service.cold_calls_per_s
        )

    def resize(self) -> None:
        """Applies the number of slots of the current upstream."""
        current = self._local_upstream.current
        if current is not None and current.slots != self.slots.limit:
            self.slots.limit = max(1, current.slots)
            self.slots.grant_free_slots()

    def restart(self) -> None:
        """Discards connections and service times of the previous incarnation."""
        self._client.forget(self._address)
        self._times = ServiceTimes()
        self._breaker = CircuitBreaker(self._clock)
        self._slowness = SlownessDetector(self._clock)
        self.notices.restart()
        self.health.is_suspected = False
        self.resize()

    def run(self, request: ForwardedRequest) -> AttemptOutcome:
        """Sends a request to the upstream or refuses it."""
        refusal = self._refusal(request)
        if refusal == reasons.HEALTH_CHECK_FAILING:
            self.health.wait_for_check(self._max_wait_ms(request))
            refusal = self._refusal(request)
        if refusal is not None:
            return self._refuse(request, refusal, self._retry_after_ms(refusal))
        wait_ms = self._max_wait_ms(request)
        expected_ms = self.slots.expected_wait_ms(request.rank, self._times.overall_ms)
        if expected_ms > wait_ms or not self.slots.acquire(request.rank, wait_ms):
            return self._refuse_at_limit(request)
        try:
            outcome = self._run_in_slot(request)
        except BaseException:
            self.slots.release()
            raise
        if not isinstance(outcome, Answered):
            self.slots.release()
            return outcome
        return self._read_at_once(request, outcome)

    def _refuse_at_limit(self, request: ForwardedRequest) -> NotRun:
        reason = reasons.LIMIT_REACHED
        retry_after_ms = self._times.overall_ms / 2
        if self.rate_limiter.is_limited:
            reason = reasons.RATE_LIMIT_REACHED
            rate_delay_ms = self.rate_limiter.delay_ms(self.slots.waiting)
            retry_after_ms = max(retry_after_ms, rate_delay_ms)
        elif self.cold_limiter.is_cold:
            reason = reasons.COLD_LIMIT_REACHED
        return self._refuse(request, reason, retry_after_ms)

    def _read_at_once(
        self, request: ForwardedRequest, response: Answered
    ) -> Answered | OutcomeUnknown:
        """Reads a response if it is short; it releases its slot when it is closed."""
        if not self.buffer.can_hold(request, response):
            return response
        started_ms = self._clock.now_ms()
        try:
            return self.buffer.read(response, lambda: self.load)
        except ResponseTruncated as error:
            timed_out = request.time_to_deadline_ms(self._clock) <= 0
            if not timed_out:
                self._record_broken_response()
            self._log_incomplete(request, error.cause, started_ms)
            return OutcomeUnknown(error.cause, timed_out, self.load)

    def _refusal(self, request: ForwardedRequest) -> str | None:
        if not self.is_informed():
            return reasons.STARTING
        current = self._local_upstream.usable
        if current is None:
            left = self._local_upstream.current is not None
            return reasons.LEAVING if left else reasons.NO_UPSTREAM
        if current.service != request.service:
            return reasons.OTHER_UPSTREAM
        if request.version and current.version != request.version:
            return reasons.OTHER_UPSTREAM
        if not self.is_version_allowed(current.version):
            return reasons.WITHDRAWN
        if self.data_centre_evacuated:
            return reasons.EVACUATED
        if self.health.is_suspected:
            return reasons.HEALTH_CHECK_FAILING
        if self._breaker.rejects(request.repeatable):
            return reasons.BREAKING_OFF
        if self._is_too_slow_for(request):
            return reasons.SLOW_UPSTREAM
        if request.time_to_deadline_ms(self._clock) < MIN_TIME_LEFT_MS:
            return reasons.DEADLINE_TOO_NEAR
        return None

    def _is_too_slow_for(self, request: ForwardedRequest) -> bool:
        # A cold upstream is slow for some seconds, and needs requests all the same.
        is_cold = self.cold_limiter.is_cold
        self._slowness.log_change()
        if is_cold or not self._slowness.rejects(request.repeatable):
            return False
        if request.has_alternatives:
            return True
        expected_ms = self._slowness.expected_ms(request.proved_averages.latency_ms)
        return expected_ms > request.time_to_deadline_ms(self._clock)

    def _retry_after_ms(self, refusal: str) -> float:
        if refusal == reasons.BREAKING_OFF:
            return max(DEFAULT_RETRY_MS, self._breaker.retry_after_ms)
        return DEFAULT_RETRY_MS

    def _max_wait_ms(self, request: ForwardedRequest) -> float:
        """Returns the longest wait with which the latency objective is still met.

        The most urgent requests may wait until their deadline, because requests
        that have already run depend on them.
        """
        until_ms = min(request.objective_ms, request.deadline_ms)
        if request.rank <= MOST_URGENT_RANK:
            until_ms = request.deadline_ms
        service_ms = self._times.for_route(request.route)
        return max(0.0, until_ms - self._clock.now_ms() - service_ms)

    def _run_in_slot(self, request: ForwardedRequest) -> AttemptOutcome:
        refusal = self._refusal(request)
        if refusal is not None:
            return self._refuse(request, refusal)
        current = self._local_upstream.usable
        assert current is not None
        return self._send(request, current)

    def _send(self, request: ForwardedRequest, current: Upstream) -> AttemptOutcome:
        self.counts["sent"] += 1
        self._breaker.record_start()
        running = self._slowness.start(request.proved_averages.latency_ms)
        started_ms = self._clock.now_ms()
        completed = False
        left_ms = request.time_to_deadline_ms(self._clock)
        timeout = eventlet.Timeout(left_ms / MS_PER_S)
        exchange = None
        try:
            exchange = self._client.send(
                self._address,
                request.method,
                request.target,
                self._headers(request, current, left_ms),
                request.body or None,
            )
            outcome = self._process_response(request, current, exchange, started_ms)
            completed = isinstance(outcome, Answered)
            return outcome
        except RequestNotSent as error:
            self.health.suspect(error.cause)
            return self._refuse(request, reasons.CONNECTION_REFUSED, DEFAULT_RETRY_MS)
        except ExchangeFailed as error:
            self.health.suspect(error.cause)
            self._record_broken_response()
            return self._outcome_unknown(request, error.cause, started_ms)
        except eventlet.Timeout as expired:
            if expired is not timeout:
                raise
            completed = True
            return self._outcome_unknown(request, "its time ran out", started_ms, True)
        except BaseException:
            if exchange is not None:
                exchange.close()
            raise
        finally:
            timeout.cancel()
            self._slowness.finish(running, completed)

    def _headers(
        self, request: ForwardedRequest, current: Upstream, left_ms: float
    ) -> list[tuple[str, str]]:
        names = self._names
        headers = list(request.headers)
        headers.append((names.time_left_ms, str(max(1, int(left_ms)))))
        headers.append((names.expected_upstream, current.id))
        headers.append((names.caller_service, request.caller_service))
        if request.body_length is not None:
            headers.append(("Content-Length", str(request.body_length)))
        return headers

    def _process_response(
        self,
        request: ForwardedRequest,
        current: Upstream,
        exchange: Exchange,
        started_ms: float,
    ) -> AttemptOutcome:
        kind = classify_response(exchange, request.request_id, self._names)
        if kind.is_not_run:
            return self._process_rejection(request, current, exchange, kind)
        if kind is not ResponseKind.ANSWERED:
            exchange.close()
            return self._outcome_unknown(request, kind.value, started_ms)
        self.notices.read_answer(current, exchange.headers, started_ms)
        self._record_response(request, exchange.status, started_ms)
        body = self._read(request, exchange)
        return Answered(
            exchange.status,
            exchange.headers,
            body,
            self._release_callback(exchange),
            self.load,
        )

    def _process_rejection(
        self,
        request: ForwardedRequest,
        current: Upstream,
        exchange: Exchange,
        kind: ResponseKind,
    ) -> NotRun:
        self.health.discard(exchange)
        retry_after_ms = self._times.overall_ms / 2
        if kind is ResponseKind.MISDIRECTED:
            # The response is that of another upstream.
            self.health.suspect(reasons.MISDIRECTED)
            return self._refuse(request, reasons.MISDIRECTED, retry_after_ms)
        self.notices.read_rejection(current, exchange.headers)
        return self._refuse(request, reasons.REJECTED, retry_after_ms, True)

    def _read(self, request: ForwardedRequest, exchange: Exchange) -> Iterator[bytes]:
        left_ms = max(1.0, request.time_to_deadline_ms(self._clock))
        timeout = eventlet.Timeout(
            left_ms / MS_PER_S, ResponseTruncated("its time ran out")
        )
        try:
            yield from exchange.read()
        except ResponseTruncated:
            self.counts["answers_cut"] += 1
            raise
        finally:
            timeout.cancel()

    def _release_callback(self, exchange: Exchange) -> Callable[[], None]:
        def close() -> None:
            exchange.close()
            self.slots.release()

        return close

    def _record_response(
        self, request: ForwardedRequest, status: int, started_ms: float
    ) -> None:
        latency_ms = self._clock.now_ms() - started_ms
        failed = status >= STATUS_SERVER_ERROR
        self.counts["upstream_errors" if failed else "answered"] += 1
        if not failed:
            self._times.record(request.route, latency_ms)
        if self._breaker.record_success():
            logger.info("upstream completes responses again")
        self.on_upstream_response(request, failed, latency_ms)

    def _record_broken_response(self) -> None:
        if self._breaker.record_failure():
            self.counts["breaker_opened"] += 1
            logger.warning(
                "upstream breaks off every response",
                extra={"retry_after_ms": round(self._breaker.retry_after_ms)},
            )

    def _outcome_unknown(
        self,
        request: ForwardedRequest,
        reason: str,
        started_ms: float,
        timed_out: bool = False,
    ) -> OutcomeUnknown:
        latency_ms = self._clock.now_ms() - started_ms
        self.counts["timed_out" if timed_out else "broken"] += 1
        if timed_out:
            # A timeout counts against the version; a broken connection does not.
            self.on_upstream_response(request, True, latency_ms)
            self._times.record(request.route, latency_ms)
        self._log_incomplete(request, reason, started_ms)
        return OutcomeUnknown(reason, timed_out, self.load)

    def _log_incomplete(
        self, request: ForwardedRequest, reason: str, started_ms: float
    ) -> None:
        logger.warning(
            "upstream gave no whole answer",
            extra={
                "request_id": request.request_id,
                "reason": reason,
                "latency_ms": round(self._clock.now_ms() - started_ms),
            },
        )

    def _refuse(
        self,
        request: ForwardedRequest,
        reason: str,
        retry_after_ms: float = DEFAULT_RETRY_MS,
        reached_upstream: bool = False,
    ) -> NotRun:
        self.counts[f"refused: {reason}"] += 1
        logger.info(
            "request refused at the gate",
            extra={
                "request_id": request.request_id,
                "reason": reason,
                "route": request.route,
                "rank": request.rank,
                "left_ms": round(request.time_to_deadline_ms(self._clock)),
                "running": self.slots.running,
                "waiting": self.slots.waiting,
                "limit": self.slots.limit,
                "service_ms": round(self._times.overall_ms),
            },
        )
        return NotRun(reason, retry_after_ms, reached_upstream, self.load)
