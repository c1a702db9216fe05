"""HTTP interface that controls a stand-in upstream and reads its counters."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING, Any

import msgspec

from jayswitch.standins.upstream import StandInUpstream, UpstreamBehaviour

if TYPE_CHECKING:
    from jayswitch.standins.announcer import Announcer

CONTROL_PREFIX = "/standin/"


class UpstreamReport(msgspec.Struct):
    """Counters of a stand-in; repeated_ids holds requests that ran more than once."""

    counts: dict[str, int]
    highest_in_flight: int
    repeated_ids: list[str]


class UpstreamControlApplication:
    """WSGI application that serves the upstream, and its controls below /standin/."""

    def __init__(self, upstream: StandInUpstream) -> None:
        """Takes the upstream; the announcer is optional and set afterwards."""
        self.announcer: Announcer | None = None
        self._upstream = upstream

    def __call__(
        self, environ: dict[str, Any], start_response: Callable
    ) -> Iterable[bytes]:
        """Handles one request."""
        path = environ["PATH_INFO"]
        if not path.startswith(CONTROL_PREFIX):
            return self._upstream(environ, start_response)
        body = environ["wsgi.input"].read()
        answer = self._run_action(path.removeprefix(CONTROL_PREFIX), body)
        start_response("200 OK", [("Content-Type", "application/json")])
        return [msgspec.json.encode(answer)]

    def _run_action(self, action: str, body: bytes) -> Any:
        upstream = self._upstream
        if action == "behaviour":
            upstream.behaviour = msgspec.json.decode(body, type=UpstreamBehaviour)
        elif action == "chill":
            upstream.reset_warm_up()
        elif action == "leave" and self.announcer is not None:
            self.announcer.leave()
        elif action == "runs":
            return dict(upstream.runs_by_id)
        repeated = [key for key, runs in upstream.runs_by_id.items() if runs > 1]
        return UpstreamReport(
            dict(upstream.counts), upstream.highest_in_flight, repeated[:100]
        )
