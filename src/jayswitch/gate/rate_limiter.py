"""Limits requests to the rate that the upstream on this VM announces."""

from __future__ import annotations

from typing import TYPE_CHECKING

from jayswitch.clock import MS_PER_S

if TYPE_CHECKING:
    from jayswitch.clock import Clock

# Requests that may be sent at once after a pause: those of this time, or one.
BURST_MS = 250.0
# Only a response lifts a limit, so an upstream that takes nothing gets a request at
# this rate all the same.
MIN_RATE_PER_S = 0.25
# Part of a request by which sums of fractions may be off.
ROUNDING_TOLERANCE = 1e-6
MIN_DELAY_MS = 1.0


class RateLimiter:
    """Token bucket for the requests to one upstream; unlimited at first.

    Only one proxy sends requests to an upstream, so its bucket holds the limit for the
    whole fleet.
    """

    __slots__ = ("_clock", "_per_s", "_tokens", "_updated_ms")

    def __init__(self, clock: Clock) -> None:
        """Starts without a limit."""
        self._clock = clock
        self._per_s: float | None = None
        self._tokens = 0.0
        self._updated_ms = clock.now_ms()

    @property
    def is_limited(self) -> bool:
        """Returns whether a limit is in force."""
        return self._per_s is not None

    @property
    def per_s(self) -> float:
        """Returns the permitted requests per second; infinity without a limit."""
        return float("inf") if self._per_s is None else self._per_s

    def set_limit(self, per_s: float | None) -> None:
        """Sets the limit in requests per second, or lifts it.

        The bucket is empty when a limit begins, because the requests before count too.
        """
        self._refill()
        if self._per_s is None:
            self._tokens = 0.0
        self._per_s = None if per_s is None else max(MIN_RATE_PER_S, per_s)
        if self._per_s is not None:
            self._tokens = min(self._tokens, self._capacity(self._per_s))

    def delay_ms(self, ahead: int = 0) -> float:
        """Returns the time until a request may be sent after others ahead of it."""
        if self._per_s is None:
            return 0.0
        self._refill()
        missing = ahead + 1 - self._tokens
        if missing <= ROUNDING_TOLERANCE:
            return 0.0
        return max(MIN_DELAY_MS, missing / self._per_s * MS_PER_S)

    def record(self) -> None:
        """Counts a request, also one that was sent without waiting for its turn."""
        if self._per_s is not None:
            self._refill()
            self._tokens -= 1.0

    def _refill(self) -> None:
        now_ms = self._clock.now_ms()
        elapsed_ms, self._updated_ms = now_ms - self._updated_ms, now_ms
        if self._per_s is not None:
            added = self._per_s * elapsed_ms / MS_PER_S
            self._tokens = min(self._capacity(self._per_s), self._tokens + added)

    @staticmethod
    def _capacity(per_s: float) -> float:
        return max(1.0, per_s * BURST_MS / MS_PER_S)
