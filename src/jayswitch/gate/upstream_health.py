"""Health checks of the upstream on this VM, on suspicion only."""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Callable
from typing import TYPE_CHECKING

import eventlet
from eventlet.event import Event

from jayswitch.clock import MS_PER_S
from jayswitch.proxy.exceptions import ExchangeFailed, RequestNotSent, ResponseTruncated
from jayswitch.proxy.headers import find_header

if TYPE_CHECKING:
    from jayswitch.clock import Clock
    from jayswitch.fleet.records import Upstream
    from jayswitch.gate.cold_rate_limiter import ColdRateLimiter
    from jayswitch.gate.local_upstream import LocalUpstream
    from jayswitch.gate.rate_limiter import RateLimiter
    from jayswitch.proxy.headers import HeaderNames
    from jayswitch.proxy.http_client import Exchange, HttpClient
    from jayswitch.proxy.outcome import Headers

HEALTH_TIMEOUT_MS = 300.0
HEALTH_RETRY_MS = 150.0
# Bodies of rejections and health checks have a few bytes. They are read up to this
# length, so that the connection can be reused; with a longer body it is closed.
MAX_DISCARD_BYTES = 64 * 1024
STATUS_OK = 200

logger = logging.getLogger(__name__)


class UpstreamHealth:
    """Checks an upstream after a broken connection, and before it is used again.

    A broken connection may indicate a new incarnation, which is cold.
    """

    def __init__(
        self,
        address: str,
        local_upstream: LocalUpstream,
        cold_limiter: ColdRateLimiter,
        rate_limiter: RateLimiter,
        client: HttpClient,
        names: HeaderNames,
        counts: Counter[str],
        clock: Clock,
    ) -> None:
        """Takes the upstream's address and state, and the counters of its gate."""
        self.path = "/health"
        self.is_suspected = False
        self.on_response: Callable[[Upstream, Headers], None] = (
            lambda upstream, headers: None
        )
        self._address = address
        self._local_upstream = local_upstream
        self._cold_limiter = cold_limiter
        self._rate_limiter = rate_limiter
        self._client = client
        self._names = names
        self._counts = counts
        self._clock = clock
        self._check_running = False
        self._check_done = Event()

    def suspect(self, reason: str) -> None:
        """Starts a health check; the upstream is suspected until it has succeeded."""
        self._client.forget(self._address)
        self.is_suspected = True
        logger.warning("upstream suspected", extra={"reason": reason})
        if not self._check_running:
            self._check_running = True
            self._check_done = Event()
            eventlet.spawn(self._check)

    def wait_for_check(self, wait_ms: float) -> None:
        """Waits for a running health check, which takes a few milliseconds."""
        timeout_ms = min(wait_ms, HEALTH_TIMEOUT_MS)
        if self._check_running and timeout_ms > 0:
            with eventlet.Timeout(timeout_ms / MS_PER_S, False):
                self._check_done.wait()

    def confirms_current(self) -> bool:
        """Checks whether the upstream restored from the stored state still runs.

        This avoids waiting for the next heartbeat. Only a successful response
        with the expected upstream id confirms it.
        """
        exchange = self._request()
        current = self._local_upstream.current
        if exchange is None or current is None or exchange.status != STATUS_OK:
            return False
        return find_header(exchange.headers, self._names.upstream_id) == current.id

    def discard(self, exchange: Exchange) -> None:
        """Reads a short response to its end, so that its connection can be reused."""
        try:
            exchange.read_all(MAX_DISCARD_BYTES)
        except ResponseTruncated:
            self._counts["rejections_cut"] += 1
        finally:
            exchange.close()

    def _check(self) -> None:
        try:
            while self.is_suspected and self._local_upstream.usable is not None:
                if self._is_healthy():
                    self.is_suspected = False
                    logger.info("upstream answers again")
                    return
                delay_ms = max(HEALTH_RETRY_MS, self._rate_limiter.delay_ms())
                self._clock.sleep_ms(delay_ms)
            self.is_suspected = False
        finally:
            self._check_running = False
            self._check_done.send(None)

    def _is_healthy(self) -> bool:
        """Checks whether the expected upstream responds; updates its cold time."""
        exchange = self._request()
        if exchange is None:
            return False
        current = self._local_upstream.current
        upstream_id = find_header(exchange.headers, self._names.upstream_id)
        # A rejection without an upstream id still shows that the upstream runs.
        return upstream_id is None or current is None or upstream_id == current.id

    def _request(self) -> Exchange | None:
        self._counts["health_checks"] += 1
        # A health check takes a slot like any request.
        self._rate_limiter.record()
        exchange = None
        headers = [("Host", self._address)]
        try:
            with eventlet.Timeout(HEALTH_TIMEOUT_MS / MS_PER_S):
                exchange = self._client.send(
                    self._address, "GET", self.path, headers, None
                )
                self.discard(exchange)
        except (RequestNotSent, ExchangeFailed, eventlet.Timeout) as error:
            logger.info("health check failed", extra={"reason": str(error)})
            return None
        finally:
            if exchange is not None:
                exchange.close()
        cold = find_header(exchange.headers, self._names.cold_left_ms)
        if cold is not None and cold.isdigit():
            self._cold_limiter.set_cold(float(cold))
        current = self._local_upstream.current
        upstream_id = find_header(exchange.headers, self._names.upstream_id)
        if current is not None and upstream_id == current.id:
            self.on_response(current, exchange.headers)
        return exchange
