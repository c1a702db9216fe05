"""What the upstream on this VM announces about itself in its responses."""

from __future__ import annotations

import logging
import math
from typing import TYPE_CHECKING

from jayswitch.proxy.headers import find_header

if TYPE_CHECKING:
    from jayswitch.clock import Clock
    from jayswitch.proxy.headers import HeaderNames
    from jayswitch.proxy.outcome import Headers

# Value of the header of an upstream that is about to stop.
LEAVING = "1"

logger = logging.getLogger(__name__)


class UpstreamNotices:
    """Rate limit and departure that one incarnation of an upstream has announced.

    rate_limit_per_s is the number of requests per second that the upstream takes from
    all proxies together; None while it announces no limit.
    """

    __slots__ = (
        "_clock",
        "_limited_ms",
        "_logged_invalid_limit",
        "_names",
        "is_leaving",
        "rate_limit_per_s",
    )

    def __init__(self, names: HeaderNames, clock: Clock) -> None:
        """Starts without any notice."""
        self.rate_limit_per_s: float | None = None
        self.is_leaving = False
        self._names = names
        self._clock = clock
        # When the latest response that announces a limit was received.
        self._limited_ms = float("-inf")
        self._logged_invalid_limit = False

    def read(self, headers: Headers) -> None:
        """Reads the notices of a response, which lifts no limit."""
        value = find_header(headers, self._names.rate_limit)
        limit_per_s = None if value is None else self._parse_rate(value)
        if limit_per_s is not None:
            self._limited_ms = self._clock.now_ms()
            self._set_limit(limit_per_s)
        if find_header(headers, self._names.leaving) == LEAVING:
            self.is_leaving = True

    def read_answer(self, headers: Headers, sent_ms: float) -> None:
        """Reads the response to a request that the upstream has run.

        Without a limit it lifts an earlier one, unless the request was sent before
        that was received: responses can overtake each other.
        """
        self.read(headers)
        is_limited = find_header(headers, self._names.rate_limit) is not None
        if not is_limited and sent_ms >= self._limited_ms:
            self._set_limit(None)

    def _set_limit(self, limit_per_s: float | None) -> None:
        previous_per_s = self.rate_limit_per_s
        if limit_per_s == previous_per_s:
            return
        self.rate_limit_per_s = limit_per_s
        logger.info(
            "upstream rate limit changed",
            extra={"limit_per_s": limit_per_s, "previous_per_s": previous_per_s},
        )

    def _parse_rate(self, value: str) -> float | None:
        """Returns a rate of 0 or more per second; None if the value is invalid."""
        try:
            rate = float(value)
        except ValueError:
            rate = math.nan
        if math.isfinite(rate) and rate >= 0:
            return rate
        if not self._logged_invalid_limit:
            self._logged_invalid_limit = True
            logger.warning("invalid upstream rate limit", extra={"value": value[:40]})
        return None
