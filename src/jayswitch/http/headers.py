"""Header names that callers, nodes and upstreams exchange."""

from __future__ import annotations

REQUEST_ID_HEADER = "X-Request-Id"
TIMEOUT_HEADER = "X-Request-Timeout-Ms"
DEPTH_HEADER = "X-Jayswitch-Depth"
OUTCOME_HEADER = "X-Jayswitch-Outcome"
UPSTREAM_HEADER = "X-Jayswitch-Upstream"
SHED_HEADER = "X-Shed"
SHED_NOT_RUN = "not-run"
IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"

OUTCOME_ANSWERED = "answered"
OUTCOME_NOT_RUN = "not-run"
OUTCOME_UNKNOWN = "unknown"

_HOP_BY_HOP = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "proxy-connection",
        "expect",
    )
)
_NODE_MANAGED = frozenset(
    name.lower()
    for name in (REQUEST_ID_HEADER, TIMEOUT_HEADER, DEPTH_HEADER, "Content-Length")
)


def is_end_to_end(name: str) -> bool:
    """Tells whether a header is meant for the other end, not for the next hop."""
    return name.lower() not in _HOP_BY_HOP


def is_forwarded_from_caller(name: str) -> bool:
    """Tells whether a caller's header is passed on to the upstream as it is."""
    lower = name.lower()
    return lower not in _HOP_BY_HOP and lower not in _NODE_MANAGED
