"""Names of the HTTP headers that the platform's callers and upstreams use."""

from __future__ import annotations

from jayswitch.proxy.headers import HeaderNames


def platform_headers() -> HeaderNames:
    """Returns the platform's names of the headers that proxies read and set."""
    return HeaderNames(
        request_id="Request-Id",
        # The caller's remaining time budget, not a timestamp.
        time_left_ms="Deadline-Ms",
        # Set by the upstream that ran the request; forwarded, never generated here.
        signature="Server-Signature",
        expected_upstream="Expected-Instance",
        upstream_id="Instance-Id",
        caller_service="Caller-Service",
        # Present if the upstream rejected the request without executing it.
        not_run="Not-Executed",
        # Milliseconds until the upstream has warmed up.
        cold_left_ms="Cold-Ms",
        # Comma-separated counts: running requests, queued requests, slots.
        load="Server-Load",
        # Requests per second that the upstream takes from all proxies together.
        rate_limit="Server-Limit",
        # "1" in the responses of an upstream that is about to stop.
        leaving="Server-Leaving",
    )
