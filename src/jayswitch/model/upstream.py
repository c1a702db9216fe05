"""Simulated upstreams with the interface of the gate's HTTP client."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator
from typing import TYPE_CHECKING

from jayswitch.clock import MS_PER_S
from jayswitch.proxy.headers import find_header

if TYPE_CHECKING:
    from jayswitch.clock import Clock
    from jayswitch.model.generated import RequestKind, UpstreamGroup
    from jayswitch.proxy.headers import HeaderNames
    from jayswitch.proxy.outcome import Headers

STATUS_OK = 200
STATUS_SERVER_ERROR = 500
# In both reference deployments, a cold upstream takes about twice as long for a
# request.
COLD_SLOWNESS = 2.0

# Sends a nested request of a kind with a timeout in ms and returns whether an
# answer without a server error arrived.
NestedCall = Callable[["RequestKind", float], bool]


class SimulatedExchange:
    """Response without a body."""

    __slots__ = ("headers", "status")

    def __init__(self, status: int, headers: Headers) -> None:
        """Takes the status and headers of the response."""
        self.status = status
        self.headers = headers

    def read(self) -> Iterator[bytes]:
        """Returns an empty body."""
        return iter(())

    def close(self) -> None:
        """Does nothing, as there is no connection."""


class SimulatedUpstream:
    """Simulates the processing time of requests.

    The request kind is taken from the path.
    """

    def __init__(
        self,
        group: UpstreamGroup,
        kind_by_name: dict[str, RequestKind],
        names: HeaderNames,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        """Takes the group that sets the speed and the cold time."""
        self.runs = 0
        self.arrivals_ms: list[float] = []
        self.call: NestedCall = lambda kind, remaining_ms: True
        self.group = group
        self._kind_by_name = kind_by_name
        self._names = names
        self._clock = clock
        self._random = rng
        self._started_ms = clock.now_ms()

    def send(
        self,
        address: str,
        method: str,
        target: str,
        headers: Headers,
        body: bytes | Iterator[bytes] | None,
    ) -> SimulatedExchange:
        """Runs a request, including its nested requests, and returns the response."""
        self.runs += 1
        self.arrivals_ms.append(self._clock.now_ms())
        kind = self._kind_by_name[target.removeprefix("/")]
        remaining_ms = float(find_header(headers, self._names.time_left_ms) or 0)
        until_ms = self._clock.now_ms() + remaining_ms
        status = STATUS_OK
        if self._random.random() < kind.calls_share:
            status = self._make_nested_calls(kind, until_ms)
        self._clock.sleep_ms(self._work_ms(kind))
        request_id = find_header(headers, self._names.request_id) or ""
        response_headers = [
            (self._names.request_id, request_id),
            (self._names.signature, "model"),
        ]
        if self.is_limited:
            limit = str(self.group.rate_limit_per_s)
            response_headers.append((self._names.rate_limit, limit))
        return SimulatedExchange(status, response_headers)

    def forget(self, address: str) -> None:
        """Does nothing, as connections are not pooled."""

    def _make_nested_calls(self, kind: RequestKind, until_ms: float) -> int:
        called = self._kind_by_name[kind.calls]
        for _ in range(kind.calls_count):
            remaining_ms = min(called.deadline_ms, until_ms - self._clock.now_ms())
            if remaining_ms <= 0 or not self.call(called, remaining_ms):
                return STATUS_SERVER_ERROR
        return STATUS_OK

    def _work_ms(self, kind: RequestKind) -> float:
        # The mean of a log-normal distribution is exp(mu + sigma^2 / 2).
        factor = self._random.lognormvariate(-(kind.spread**2) / 2, kind.spread)
        cold_until_ms = self._started_ms + self.group.cold_s * MS_PER_S
        if self._clock.now_ms() < cold_until_ms:
            factor *= COLD_SLOWNESS
        return kind.work_ms * self._slowness() * factor

    @property
    def is_limited(self) -> bool:
        """Returns whether the upstream announces a rate limit at this moment."""
        group = self.group
        is_in_phase = self._is_in_phase(group.limited_from_s, group.limited_for_s)
        return group.rate_limit_per_s >= 0 and is_in_phase

    def _slowness(self) -> float:
        """Returns the factor on the processing time at this moment."""
        group = self.group
        is_slow = self._is_in_phase(group.slow_from_s, group.slow_for_s)
        return group.slowness if is_slow else 1.0

    def _is_in_phase(self, from_s: float, for_s: float) -> bool:
        """Returns whether a phase lasts at this moment; 0 s stand for no end."""
        since_s = (self._clock.now_ms() - self._started_ms) / MS_PER_S
        return not for_s or 0 <= since_s - from_s < for_s
