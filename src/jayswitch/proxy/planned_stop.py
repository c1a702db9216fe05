"""Planned stop of a proxy: callers move away, requests in progress end."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import TYPE_CHECKING

import eventlet

from jayswitch.clock import MS_PER_S

if TYPE_CHECKING:
    from jayswitch.proxy.process import ProxyProcess

# Readiness is polled every second; after two failed polls no new requests are sent.
READINESS_PROPAGATION_MS = 2300.0
# Requests that arrive this long after the start of the stop are refused if their
# deadline is later than the exit of this process. Earlier callers may not know of it.
REFUSE_LONG_REQUESTS_MS = 2500.0
# Fraction of the grace period after which all new requests are refused.
REFUSE_ALL_FRACTION = 0.75
# Part of the grace period reserved for closing the process.
EXIT_MARGIN_MS = 350.0
DRAIN_POLL_MS = 50.0
# A lease that cannot be revoked in this time expires, and the record with it.
REVOKE_TIMEOUT_MS = 250.0
# Callers are taken to have switched to other proxies after this long without requests.
DRAIN_IDLE_MS = 1000.0

logger = logging.getLogger(__name__)


class PlannedStop:
    """Stops a proxy within its grace period."""

    def __init__(self, process: ProxyProcess) -> None:
        """Takes the running process; its grace period starts now."""
        self._process = process
        self._clock = process.clock
        self._started_ms = self._clock.now_ms()
        self._grace_ms = process.settings.grace_s * MS_PER_S

    def run(self) -> bool:
        """Drains the proxy and stops accepting; returns False if requests were cut."""
        process = self._process
        logger.info("draining", extra={"in_flight": process.in_flight})
        process.draining = True
        process.inbound.draining = True
        process.outbound.draining = True
        if process.has_upstream:
            process.publisher.publish()
        else:
            # Other proxies send nothing here, so the record is not needed any more.
            eventlet.spawn_n(process.publisher.revoke_lease)
        self._clock.sleep_ms(READINESS_PROPAGATION_MS)
        self._wait_while(self._is_in_use, REFUSE_LONG_REQUESTS_MS)
        latest_ms = self._grace_ms - EXIT_MARGIN_MS
        process.inbound.latest_deadline_ms = self._started_ms + latest_ms
        process.outbound.latest_deadline_ms = self._started_ms + latest_ms
        self._wait_while(self._is_in_use, self._grace_ms * REFUSE_ALL_FRACTION)
        # Requests that arrive from here on might not finish before the process exits.
        process.inbound.refusing = True
        process.outbound.refusing = True
        process.stop_accepting()
        with eventlet.Timeout(REVOKE_TIMEOUT_MS / MS_PER_S, False):
            process.publisher.revoke_lease()
        self._wait_while(lambda: bool(process.in_flight), latest_ms)
        drained = not process.in_flight
        process.log_store_calls()
        logger.info("stopped", extra={"drained": drained})
        return drained

    def _wait_while(self, condition: Callable[[], bool], until_ms: float) -> None:
        """Waits until the given time since the start of the stop at the latest."""
        while condition() and self._clock.now_ms() < self._started_ms + until_ms:
            self._clock.sleep_ms(DRAIN_POLL_MS)

    def _is_in_use(self) -> bool:
        if self._callers_may_return():
            return True
        idle_ms = self._clock.now_ms() - self._process.outbound.last_request_ms
        return bool(self._process.in_flight) or idle_ms < DRAIN_IDLE_MS

    def _callers_may_return(self) -> bool:
        """Returns whether callers may still be sent to this VM after an idle period.

        This is the case while fewer than half of the data centre's proxies accept
        callers. It is also true if the upstream is stopping, because a VM that stops
        together with its upstream gains nothing by exiting sooner.
        """
        process = self._process
        data_centre = process.settings.data_centre
        if not process.directory.at_least_half_accept_callers(data_centre):
            return True
        has_left = process.local_upstream.current is not None
        return has_left and not process.has_upstream
