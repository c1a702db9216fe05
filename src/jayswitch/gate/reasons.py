"""Reasons for which a gate refuses a call."""

from __future__ import annotations

from jayswitch.gate.exceptions import UpstreamShed

REASON_FULL = "full"
REASON_DEADLINE = "the deadline cannot be met"
REASON_SHED = UpstreamShed.code
REASON_LEAVING = "leaving"
REASON_OUT = "data centre out of service"
REASON_NO_UPSTREAM = "no upstream has announced itself here"
REASON_OTHER_VERSION = "another service or version runs here"
REASON_REFUSED_BEFORE = "refused before"
REASON_CANCELLED = "cancelled"

# Reasons that lie in the load of a gate. Routers take a refusal for any other reason as
# a sign of stale membership data.
LOAD_REASONS = frozenset((REASON_FULL, REASON_DEADLINE, REASON_SHED))
