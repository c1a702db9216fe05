"""Upstreams of the model, behind the interface of the gate's HTTP client."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator
from typing import TYPE_CHECKING

from jayswitch.proxy.headers import find_header

if TYPE_CHECKING:
    from jayswitch.clock import Clock
    from jayswitch.model.generated import RequestKind, UpstreamGroup
    from jayswitch.proxy.headers import HeaderNames
    from jayswitch.proxy.outcome import Headers

STATUS_OK = 200
STATUS_SERVER_ERROR = 500
# A cold upstream takes about twice as long, as in both deployments.
COLD_SLOWNESS = 2.0

# Makes a call of a kind within a time in ms; tells whether it was answered.
NestedCall = Callable[["RequestKind", float], bool]


class SimulatedExchange:
    """An answer without a body."""

    __slots__ = ("headers", "status")

    def __init__(self, status: int, headers: Headers) -> None:
        """Takes the head of the answer."""
        self.status = status
        self.headers = headers

    def read(self) -> Iterator[bytes]:
        """Returns the body, which is empty."""
        return iter(())

    def close(self) -> None:
        """Holds nothing."""


class SimulatedUpstream:
    """Takes the time that a request's kind says; requests name it in their target."""

    def __init__(
        self,
        group: UpstreamGroup,
        kind_by_name: dict[str, RequestKind],
        names: HeaderNames,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        """Takes what the upstreams of its group have in common."""
        self.runs = 0
        self.call: NestedCall = lambda kind, remaining_ms: True
        self._group = group
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
        """Runs a request."""
        self.runs += 1
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
        return SimulatedExchange(status, response_headers)

    def forget(self, address: str) -> None:
        """Keeps no connections."""

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
        cold_until_ms = self._started_ms + self._group.cold_s * 1000
        if self._clock.now_ms() < cold_until_ms:
            factor *= COLD_SLOWNESS
        return kind.work_ms * self._group.slowness * factor
