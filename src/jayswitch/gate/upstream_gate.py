"""Gate of a proxy: admits HTTP requests to the upstream on its VM.

The gate of a node, which gets calls as messages, is in gate.py.
"""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Callable, Iterator
from typing import TYPE_CHECKING

import eventlet
from eventlet.event import Event

from jayswitch.clock import MS_PER_S
from jayswitch.gate.circuit_breaker import CircuitBreaker
from jayswitch.gate.cold_rate_limiter import ColdRateLimiter
from jayswitch.gate.service_times import ServiceTimes
from jayswitch.gate.slots import SlotQueue
from jayswitch.gate.slowness import SlownessDetector
from jayswitch.proxy import reasons
from jayswitch.proxy.exceptions import ExchangeFailed, RequestNotSent, ResponseTruncated
from jayswitch.proxy.headers import find_header
from jayswitch.proxy.outcome import (
    MAX_BUFFERED_RESPONSE_BYTES,
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
HEALTH_TIMEOUT_MS = 300.0
# Bodies of rejections and health checks have a few bytes. They are read up to this
# length, so that the connection can be reused; with a longer body it is closed.
MAX_DISCARD_BYTES = 64 * 1024
HEALTH_RETRY_MS = 150.0
# Share of the setting cold_slack that is used. The rest covers varying network delay
# and requests that are in flight when the upstream becomes cold, which count too.
COLD_SLACK_SHARE = 0.5
# With less time left the request would be cancelled before the upstream has responded.
MIN_TIME_LEFT_MS = 10.0
MOST_URGENT_RANK = 0
# Memory for responses that have been read and not yet been passed on. Beyond it,
# responses are passed on as they arrive, and occupy their slot until then.
MAX_BUFFERED_BYTES = 16 * 1024 * 1024
STATUS_OK = 200
STATUS_MISDIRECTED = 421
STATUS_SERVER_ERROR = 500

UpstreamResponseListener = Callable[["ForwardedRequest", bool, float], None]

logger = logging.getLogger(__name__)


class ColdRateAllowance:
    """Allowance by which calls to a cold upstream may exceed its stated rate."""

    __slots__ = ("_factor", "_slack")

    def __init__(self, factor: float = 1.0, slack: float = 0.0) -> None:
        """Takes a factor on the rate and additional calls per second."""
        self._factor = factor
        self._slack = slack

    def calls_per_s(self, stated_per_s: float) -> float:
        """Returns the number of calls per second that a cold upstream may get."""
        return stated_per_s * self._factor + self._slack * COLD_SLACK_SHARE


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
        self.slots = SlotQueue(1, cold_limiter, clock)
        self.health_path = "/health"
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
        self._suspected = False
        self._buffered_bytes = 0
        self._buffered_responses = 0
        self._breaker = CircuitBreaker(clock)
        self._slowness = SlownessDetector(clock)
        self._check_running = False
        self._check_done = Event()

    @property
    def load(self) -> LoadReport:
        """Returns the current load; the limit of a cold upstream follows its rate.

        Responses on their way count as waiting: their slots are free, but the VM's link
        delays further responses until these have been sent.
        """
        limit = self.slots.limit
        if self.cold_limiter.is_cold:
            sustainable = int(
                self.cold_limiter.per_s * self._times.overall_ms / MS_PER_S
            )
            limit = max(1, min(limit, sustainable))
        waiting = self.slots.waiting + self._buffered_responses
        return LoadReport(self.slots.running, waiting, limit, self._times.overall_ms)

    def set_service(self, service: Service) -> None:
        """Applies the configuration of the upstream's service."""
        self.health_path = service.health_path
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
        self._suspected = False
        self.resize()

    def run(self, request: ForwardedRequest) -> AttemptOutcome:
        """Sends a request to the upstream or refuses it."""
        refusal = self._refusal(request)
        if refusal == reasons.HEALTH_CHECK_FAILING:
            self._wait_for_health_check(self._max_wait_ms(request))
            refusal = self._refusal(request)
        if refusal is not None:
            return self._refuse(request, refusal, self._retry_after_ms(refusal))
        wait_ms = self._max_wait_ms(request)
        expected_ms = self.slots.expected_wait_ms(request.rank, self._times.overall_ms)
        if expected_ms > wait_ms or not self.slots.acquire(request.rank, wait_ms):
            reason = (
                reasons.COLD_LIMIT_REACHED
                if self.cold_limiter.is_cold
                else reasons.LIMIT_REACHED
            )
            return self._refuse(request, reason, self._times.overall_ms / 2)
        try:
            outcome = self._run_in_slot(request)
        except BaseException:
            self.slots.release()
            raise
        if not isinstance(outcome, Answered):
            self.slots.release()
            return outcome
        return self._buffer(request, outcome)

    def _buffer(
        self, request: ForwardedRequest, response: Answered
    ) -> Answered | OutcomeUnknown:
        """Reads a short response, so that its slot does not wait for the caller's link.

        The response releases the slot when it is closed.
        """
        length = find_header(response.headers, "Content-Length")
        if length is None or not length.isdigit() or request.method == "HEAD":
            return response
        size = int(length)
        if size > min(
            MAX_BUFFERED_RESPONSE_BYTES, MAX_BUFFERED_BYTES - self._buffered_bytes
        ):
            return response
        started_ms = self._clock.now_ms()
        self._buffered_bytes += size
        try:
            body = b"".join(response.body)
        except ResponseTruncated as error:
            self._buffered_bytes -= size
            timed_out = request.time_to_deadline_ms(self._clock) <= 0
            if not timed_out:
                self._record_broken_response()
            self._log_incomplete(request, error.cause, started_ms)
            return OutcomeUnknown(error.cause, timed_out, self.load)
        except BaseException:
            self._buffered_bytes -= size
            raise
        finally:
            response.close()
        load = self.load
        self._buffered_responses += 1
        return Answered(
            response.status,
            response.headers,
            iter([body]),
            self._forget_buffered_callback(size),
            load,
        )

    def _forget_buffered_callback(self, size: int) -> Callable[[], None]:
        def close() -> None:
            self._buffered_bytes -= size
            self._buffered_responses -= 1

        return close

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
        if self._suspected:
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
        if not request.has_alternatives or is_cold:
            return False
        return self._slowness.rejects(request.repeatable)

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
            outcome = self._process_response(request, exchange, started_ms)
            completed = isinstance(outcome, Answered)
            return outcome
        except RequestNotSent as error:
            self._suspect_upstream(error.cause)
            return self._refuse(request, reasons.CONNECTION_REFUSED, DEFAULT_RETRY_MS)
        except ExchangeFailed as error:
            self._suspect_upstream(error.cause)
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
        self, request: ForwardedRequest, exchange: Exchange, started_ms: float
    ) -> AttemptOutcome:
        names = self._names
        echoed = find_header(exchange.headers, names.request_id)
        if echoed not in (None, request.request_id):
            # A late response to an earlier request; it is rejected whatever its status.
            exchange.close()
            return self._outcome_unknown(
                request, "the answer is another request's", started_ms
            )
        not_run = find_header(exchange.headers, names.not_run) is not None
        misdirected = exchange.status == STATUS_MISDIRECTED
        if (misdirected or not_run) and echoed is None and exchange.is_reused:
            # It may repeat the rejection of an earlier request on this connection.
            exchange.close()
            return self._outcome_unknown(
                request, "the rejection has no id on a reused connection", started_ms
            )
        if misdirected or not_run:
            self._discard(exchange)
            reason = reasons.MISDIRECTED if misdirected else reasons.REJECTED
            if misdirected:
                self._suspect_upstream(reason)
            return self._refuse(
                request, reason, self._times.overall_ms / 2, not misdirected
            )
        signature = find_header(exchange.headers, names.signature)
        if signature is None or echoed is None:
            exchange.close()
            reason = "the answer has no signature or no id"
            return self._outcome_unknown(request, reason, started_ms)
        self._record_response(request, exchange.status, started_ms)
        body = self._read(request, exchange)
        return Answered(
            exchange.status,
            exchange.headers,
            body,
            self._release_callback(exchange),
            self.load,
        )

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

    def _discard(self, exchange: Exchange) -> None:
        try:
            exchange.read_all(MAX_DISCARD_BYTES)
        except ResponseTruncated:
            self.counts["rejections_cut"] += 1
        finally:
            exchange.close()

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

    # Health

    def _suspect_upstream(self, reason: str) -> None:
        """Starts a health check and holds back requests until it has succeeded.

        A broken connection may indicate a new incarnation, which is cold.
        """
        self._client.forget(self._address)
        self._suspected = True
        logger.warning("upstream suspected", extra={"reason": reason})
        if not self._check_running:
            self._check_running = True
            self._check_done = Event()
            eventlet.spawn(self._check_health)

    def _check_health(self) -> None:
        try:
            while self._suspected and self._local_upstream.usable is not None:
                if self._is_healthy():
                    self._suspected = False
                    logger.info("upstream answers again")
                    return
                self._clock.sleep_ms(HEALTH_RETRY_MS)
            self._suspected = False
        finally:
            self._check_running = False
            self._check_done.send(None)

    def _wait_for_health_check(self, wait_ms: float) -> None:
        """Waits for a running health check, which takes a few milliseconds."""
        timeout_ms = min(wait_ms, HEALTH_TIMEOUT_MS)
        if self._check_running and timeout_ms > 0:
            with eventlet.Timeout(timeout_ms / MS_PER_S, False):
                self._check_done.wait()

    def confirm_restored(self) -> bool:
        """Checks whether the upstream restored from the stored state still runs.

        This avoids waiting for the next heartbeat. Only a successful response
        with the expected upstream id confirms it.
        """
        exchange = self._request_health()
        current = self._local_upstream.current
        if exchange is None or current is None or exchange.status != STATUS_OK:
            return False
        return find_header(exchange.headers, self._names.upstream_id) == current.id

    def _is_healthy(self) -> bool:
        """Checks whether the expected upstream responds; updates its cold time."""
        exchange = self._request_health()
        if exchange is None:
            return False
        current = self._local_upstream.current
        upstream_id = find_header(exchange.headers, self._names.upstream_id)
        # A rejection without an upstream id still shows that the upstream runs.
        return upstream_id is None or current is None or upstream_id == current.id

    def _request_health(self) -> Exchange | None:
        self.counts["health_checks"] += 1
        exchange = None
        headers = [("Host", self._address)]
        try:
            with eventlet.Timeout(HEALTH_TIMEOUT_MS / MS_PER_S):
                exchange = self._client.send(
                    self._address, "GET", self.health_path, headers, None
                )
                self._discard(exchange)
        except (RequestNotSent, ExchangeFailed, eventlet.Timeout) as error:
            logger.info("health check failed", extra={"reason": str(error)})
            return None
        finally:
            if exchange is not None:
                exchange.close()
        cold = find_header(exchange.headers, self._names.cold_left_ms)
        if cold is not None and cold.isdigit():
            self.cold_limiter.set_cold(float(cold))
        return exchange
