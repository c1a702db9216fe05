"""Names and values of HTTP headers between callers, nodes and upstreams."""

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
    """Returns whether a header is end-to-end rather than hop-by-hop."""
    return name.lower() not in _HOP_BY_HOP


def is_forwarded_from_caller(name: str) -> bool:
    """Returns whether a caller's header is forwarded to the upstream unchanged."""
    lower = name.lower()
    return lower not in _HOP_BY_HOP and lower not in _NODE_MANAGED
