"""Headers that proxies read, set and exchange with each other."""

from __future__ import annotations

import msgspec

from jayswitch.http.headers import is_end_to_end

# Prefix of headers used between proxies; such headers of callers are dropped.
INTERNAL_PREFIX = "x-jayswitch-"
HOP_REQUEST = "X-Jayswitch-Request"
HOP_OUTCOME = "X-Jayswitch-Outcome"


class HeaderNames(msgspec.Struct, frozen=True):
    """Names of the headers that the deployment uses for each purpose."""

    request_id: str
    time_left_ms: str
    signature: str
    expected_upstream: str
    upstream_id: str
    caller_service: str
    not_run: str
    cold_left_ms: str
    load: str
    rate_limit: str
    leaving: str

    def set_by_proxies(self) -> frozenset[str]:
        """Returns the lower-case names of headers that callers cannot set."""
        return frozenset(
            name.lower()
            for name in (
                self.time_left_ms,
                self.expected_upstream,
                self.caller_service,
                "Content-Length",
            )
        )


def connection_options(headers: list[tuple[str, str]]) -> set[str]:
    """Returns the lower-case options listed in Connection headers."""
    options: set[str] = set()
    for name, value in headers:
        if name.lower() == "connection":
            options.update(option.strip().lower() for option in value.split(","))
    return options


def forwardable_headers(
    headers: list[tuple[str, str]], dropped: frozenset[str]
) -> list[tuple[str, str]]:
    """Returns the end-to-end headers that are passed on to the upstream."""
    options = connection_options(headers)
    return [
        (name, value)
        for name, value in headers
        if is_end_to_end(name)
        and name.lower() not in dropped
        and name.lower() not in options
        and not name.lower().startswith(INTERNAL_PREFIX)
    ]


def find_header(headers: list[tuple[str, str]], name: str) -> str | None:
    """Returns the first value of a header, ignoring case in its name."""
    lower_name = name.lower()
    for candidate, value in headers:
        if candidate.lower() == lower_name:
            return value
    return None
