"""A forwarded request and the possible outcomes of an attempt to run it."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import TYPE_CHECKING, TypeAlias

import msgspec

from jayswitch.fleet.records import Incarnation
from jayswitch.rollout.trial import RouteAverages

if TYPE_CHECKING:
    from jayswitch.clock import Clock

Headers: TypeAlias = list[tuple[str, str]]

# Responses with a Content-Length up to this are read completely before they are passed
# on: by the gate to free the upstream's slot, by the caller's proxy so that the caller
# never gets a part.
MAX_BUFFERED_RESPONSE_BYTES = 1024 * 1024


class LoadReport(msgspec.Struct, frozen=True, omit_defaults=True):
    """State of an upstream as its local proxy knows it.

    service_ms is a moving average of the upstream's response time; departing is set
    once the upstream has announced that it is leaving.
    """

    running: int
    waiting: int
    limit: int
    service_ms: float
    departing: Incarnation | None = None

    def encode(self) -> str:
        """Returns the report as text for log fields."""
        return f"{self.running},{self.waiting},{self.limit},{self.service_ms:.0f}"


class ForwardedRequest:
    """A request with its routing decisions.

    deadline_ms and objective_ms are timestamps of the local clock; the route's target
    latency ends at the latter. A lower rank is more urgent. The body is either complete
    bytes or an iterator, which can be read only once.
    """

    __slots__ = (
        "body",
        "body_length",
        "caller_service",
        "deadline_ms",
        "has_alternatives",
        "headers",
        "last_vm",
        "method",
        "objective_ms",
        "origin_vm",
        "rank",
        "repeatable",
        "request_id",
        "route",
        "service",
        "target",
        "proved_averages",
        "version",
    )

    def __init__(
        self,
        request_id: str,
        method: str,
        target: str,
        headers: Headers,
        body: bytes | Iterator[bytes],
        body_length: int | None,
    ) -> None:
        """Takes the caller's request; the target holds path and query unchanged."""
        self.request_id = request_id
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.body_length = body_length
        self.service = ""
        self.version = ""
        self.route = ""
        self.proved_averages = RouteAverages()
        self.caller_service = ""
        self.origin_vm = ""
        self.last_vm = ""
        self.repeatable = False
        # Whether the sender can use other upstreams if this one is slow.
        self.has_alternatives = False
        self.rank = 0
        self.deadline_ms = 0.0
        self.objective_ms = 0.0

    @property
    def is_replayable(self) -> bool:
        """Returns whether the body is available for another attempt."""
        return isinstance(self.body, bytes)

    def time_to_deadline_ms(self, clock: Clock) -> float:
        """Returns the time until the deadline."""
        return self.deadline_ms - clock.now_ms()


class Answered:
    """An upstream's response, whose body may not have been received yet.

    Reading the body raises ResponseTruncated if it is cut short. close() must be
    called once; it discards the unread part.
    """

    __slots__ = ("_close", "body", "headers", "load", "status")

    def __init__(
        self,
        status: int,
        headers: Headers,
        body: Iterator[bytes],
        close: Callable[[], None],
        load: LoadReport | None = None,
    ) -> None:
        """Takes the head of the response and an iterator over its body."""
        self.status = status
        self.headers = headers
        self.body = body
        self.load = load
        self._close = close

    def close(self) -> None:
        """Closes the exchange."""
        self._close()


class NotRun:
    """The attempt has not been run by an upstream and will not be.

    reached_upstream is set if the upstream itself rejected the request.
    """

    __slots__ = ("load", "reached_upstream", "reason", "retry_after_ms")

    def __init__(
        self,
        reason: str,
        retry_after_ms: float = 0.0,
        reached_upstream: bool = False,
        load: LoadReport | None = None,
    ) -> None:
        """Takes the reason, one of jayswitch.proxy.reasons."""
        self.reason = reason
        self.retry_after_ms = retry_after_ms
        self.reached_upstream = reached_upstream
        self.load = load


class OutcomeUnknown:
    """The attempt was sent, but no complete response was received."""

    __slots__ = ("load", "reason", "timed_out")

    def __init__(
        self, reason: str, timed_out: bool = False, load: LoadReport | None = None
    ) -> None:
        """Takes the observed failure."""
        self.reason = reason
        self.timed_out = timed_out
        self.load = load


AttemptOutcome: TypeAlias = Answered | NotRun | OutcomeUnknown
