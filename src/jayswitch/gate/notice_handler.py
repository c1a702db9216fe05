"""Applies what the upstream on this VM announces to the gate beside it."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import TYPE_CHECKING

from jayswitch.gate.upstream_notices import UpstreamNotices

if TYPE_CHECKING:
    from jayswitch.clock import Clock
    from jayswitch.fleet.records import Incarnation, Upstream
    from jayswitch.gate.local_upstream import LocalUpstream
    from jayswitch.gate.slots import SlotQueue
    from jayswitch.proxy.headers import HeaderNames
    from jayswitch.proxy.outcome import Headers

logger = logging.getLogger(__name__)


class NoticeHandler:
    """Holds the notices of the current incarnation and acts on each change."""

    def __init__(
        self,
        names: HeaderNames,
        local_upstream: LocalUpstream,
        slots: SlotQueue,
        clock: Clock,
    ) -> None:
        """Takes the slots, whose rate limiter follows the announced limit."""
        self.on_departure: Callable[[], None] = lambda: None
        self._names = names
        self._local_upstream = local_upstream
        self._slots = slots
        self._clock = clock
        self._notices = UpstreamNotices(names, clock)
        self._logged_sent = 0

    @property
    def rate_limit_per_s(self) -> float | None:
        """Returns the announced limit, in requests per second, or None."""
        return self._notices.rate_limit_per_s

    @property
    def departing(self) -> Incarnation | None:
        """Returns the incarnation that has announced that it is leaving, if any."""
        current = self._local_upstream.current
        if current is None or not self._notices.is_leaving:
            return None
        return current.incarnation

    def probe(self) -> None:
        """Sends one request at a time until the upstream has responded to one.

        An earlier process may have known a rate limit, which responses will tell.
        """
        self._slots.is_probing = True

    def restart(self) -> None:
        """Forgets the notices of the previous incarnation."""
        self._notices = UpstreamNotices(self._names, self._clock)
        self._slots.is_probing = False
        self._set_rate_limit(None)

    def read_rejection(self, sender: Upstream, headers: Headers) -> None:
        """Applies the notices of a response to a request that was not run."""
        self.read_health(sender, headers)
        self._end_probe()

    def read_answer(self, sender: Upstream, headers: Headers, sent_ms: float) -> None:
        """Applies the notices of a response to a request sent at a time."""
        if self._is_current(sender):
            self._notices.read_answer(headers, sent_ms)
            self._apply()
        self._end_probe()

    def read_health(self, sender: Upstream, headers: Headers) -> None:
        """Applies the notices of the response to a health check."""
        if self._is_current(sender):
            self._notices.read(headers)
            self._apply()

    def log_rate(self, sent: int) -> None:
        """Logs the requests sent since the last call while there is a limit.

        sent is the number of requests sent since the start.
        """
        recently_sent, self._logged_sent = sent - self._logged_sent, sent
        if self.rate_limit_per_s is not None:
            logger.info(
                "requests sent to a limited upstream",
                extra={"sent": recently_sent, "limit_per_s": self.rate_limit_per_s},
            )

    def _is_current(self, sender: Upstream) -> bool:
        current = self._local_upstream.current
        return current is not None and current.same_incarnation(sender)

    def _apply(self) -> None:
        self._set_rate_limit(self._notices.rate_limit_per_s)
        if self._notices.is_leaving and self._local_upstream.announce_departure():
            self.on_departure()

    def _end_probe(self) -> None:
        self._slots.is_probing = False
        self._slots.grant_free_slots()

    def _set_rate_limit(self, per_s: float | None) -> None:
        self._slots.rate_limiter.set_limit(per_s)
        self._slots.grant_free_slots()
