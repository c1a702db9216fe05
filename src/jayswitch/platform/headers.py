"""Header names that the platform's callers and upstreams use."""

from __future__ import annotations

from jayswitch.proxy.headers import HeaderNames


def platform_headers() -> HeaderNames:
    """Returns the platform's names for the headers that proxies read and set."""
    return HeaderNames(
        request_id="Request-Id",
        # What is left of the caller's time, not a point in time.
        time_left_ms="Deadline-Ms",
        # Set by the upstream that ran the request; passed on, never made up.
        signature="Server-Signature",
        expected_upstream="Expected-Instance",
        upstream_id="Instance-Id",
        caller_service="Caller-Service",
        # Present when the upstream rejected the request before running it.
        not_run="Not-Executed",
        # Milliseconds for which the upstream stays cold.
        cold_left_ms="Cold-Ms",
        # Running requests, waiting requests and slots, separated by commas.
        load="Server-Load",
    )
