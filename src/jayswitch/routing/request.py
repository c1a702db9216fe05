"""A caller's request, the attempts made for it and its response."""

from __future__ import annotations

import uuid
from collections.abc import Iterator
from typing import TYPE_CHECKING

from jayswitch.messages.generated import Call, Header, Refusal, Unknown

if TYPE_CHECKING:
    from jayswitch.profiles.generated import Route
    from jayswitch.routing.retry_budget import RetryBudget

NO_UPSTREAM_RETRY_MS = 1000


class CallerRequest:
    """A request as received from a caller; timeout_ms is 0 if none was given.

    key is its idempotency key, empty if there is none. depth is the number of calls
    that it is nested in.
    """

    __slots__ = ("body", "depth", "headers", "key", "method", "path", "timeout_ms")

    def __init__(
        self,
        method: str,
        path: str,
        headers: list[Header],
        body: bytes,
        timeout_ms: float = 0,
        depth: int = 0,
        key: str = "",
    ) -> None:
        """Takes the path including the query string."""
        self.method = method
        self.path = path
        self.headers = headers
        self.body = body
        self.timeout_ms = timeout_ms
        self.depth = depth
        self.key = key


class CallerResponse:
    """Head of a response and its body, whose iterator may raise BodyTruncated."""

    __slots__ = ("body", "headers", "request_id", "status", "upstream")

    def __init__(
        self,
        request_id: str,
        upstream: str,
        status: int,
        headers: list[Header],
        body: Iterator[bytes],
    ) -> None:
        """Takes the upstream's response and the name of its node."""
        self.request_id = request_id
        self.upstream = upstream
        self.status = status
        self.headers = headers
        self.body = body


class BodyTruncated(Exception):
    """The body of a response is truncated and must not be treated as complete."""


class RequestAttempts:
    """State of the attempts made for one request."""

    __slots__ = (
        "budget",
        "call_id",
        "deadline_ms",
        "excluded",
        "last_reason",
        "may_have_run",
        "number",
        "profile",
        "proved_version",
        "request",
        "request_id",
        "retry_after_ms",
        "route",
        "version",
    )

    def __init__(
        self,
        request: CallerRequest,
        profile: str,
        route: Route,
        version: str,
        proved_version: str,
        deadline_ms: float,
        budget: RetryBudget,
    ) -> None:
        """Starts before the first attempt."""
        self.profile = profile
        self.budget = budget
        self.may_have_run = False
        self.request = request
        self.request_id = uuid.uuid4().hex
        self.route = route
        self.version = version
        self.proved_version = proved_version
        self.deadline_ms = deadline_ms
        self.number = 0
        self.call_id = ""
        self.excluded: set[str] = set()
        self.last_reason = f"no upstream of {route.service} {version} is available"
        self.retry_after_ms = NO_UPSTREAM_RETRY_MS

    @property
    def idempotent(self) -> bool:
        """Returns whether the route declares the request's method idempotent."""
        return self.request.method in self.route.idempotent_methods

    def record_failure(self, node: str, outcome: Refusal | Unknown) -> None:
        """Records an attempt that got no response.

        Later attempts use the proved version, whichever version was tried first.
        """
        self.version = self.proved_version
        self.excluded.add(node)
        self.last_reason = outcome.reason
        if isinstance(outcome, Refusal):
            self.retry_after_ms = max(1, outcome.retry_after_ms)
        else:
            self.may_have_run = True

    def next_call(self, reply_to: str, remaining_ms: float) -> Call:
        """Returns the message for the next attempt."""
        self.number += 1
        self.call_id = f"{self.request_id}.{self.number}"
        return Call(
            id=self.call_id,
            request_id=self.request_id,
            reply_to=reply_to,
            profile=self.profile,
            service=self.route.service,
            version=self.version,
            route=self.route.name,
            method=self.request.method,
            path=self.request.path,
            headers=self.request.headers,
            body=self.request.body,
            remaining_ms=remaining_ms,
            depth=self.request.depth,
            idempotent=self.idempotent,
            priority=self.route.priority,
            key=self.request.key,
        )
