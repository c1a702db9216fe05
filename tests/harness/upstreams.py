"""Upstreams of a scenario: a client that calls the stand-in in the same process."""

from __future__ import annotations

import io
from collections import Counter
from typing import Any

import eventlet
from returns.result import Failure, Result, Success

from jayswitch.clock import MS_PER_S, Clock
from jayswitch.gate.exceptions import (
    IncompleteUpstreamResponse,
    UpstreamFailure,
    UpstreamShed,
    UpstreamUnreachable,
)
from jayswitch.gate.upstream import UpstreamResponse
from jayswitch.http.headers import SHED_HEADER, SHED_NOT_RUN
from jayswitch.messages.generated import Call, Header
from jayswitch.standins.upstream import StandInUpstream


class RunLog:
    """Requests that upstreams executed, recorded at the upstreams for the oracle."""

    def __init__(self, clock: Clock) -> None:
        """Starts empty."""
        self.runs_by_path: Counter[str] = Counter()
        self.started: list[tuple[float, str, str, str]] = []
        self._clock = clock

    def record(self, path: str, node: str, data_centre: str, version: str) -> None:
        """Records one execution."""
        self.runs_by_path[path] += 1
        self.started.append((self._clock.now_ms(), node, data_centre, version))

    def count(
        self,
        since_ms: float,
        data_centre: str = "",
        version: str = "",
        node: str = "",
    ) -> int:
        """Counts the matching executions that began at or after a time."""
        return sum(
            1
            for at_ms, run_node, run_data_centre, run_version in self.started
            if at_ms >= since_ms
            and data_centre in ("", run_data_centre)
            and version in ("", run_version)
            and node in ("", run_node)
        )


class FakeUpstreamClient:
    """Executes calls on a stand-in in the same process."""

    def __init__(
        self, standin: StandInUpstream, log: RunLog, node: str, data_centre: str
    ) -> None:
        """Takes the stand-in, the log of executions and the stand-in's location."""
        self.reachable = True
        self.lose_answers = 0.0
        self.standin = standin
        self._log = log
        self._node = node
        self._data_centre = data_centre

    def run(
        self, address: str, call: Call, remaining_ms: float
    ) -> Result[UpstreamResponse, UpstreamFailure]:
        """Executes the call once, within the remaining time."""
        if not self.reachable:
            return Failure(UpstreamUnreachable(address, "refused"))
        deadline = eventlet.Timeout(max(0.001, remaining_ms) / MS_PER_S)
        try:
            return self._run(call, remaining_ms)
        except eventlet.Timeout as timeout:
            if timeout is not deadline:
                raise
            return Failure(IncompleteUpstreamResponse("its time ran out"))
        finally:
            deadline.cancel()

    def cancel(self, address: str, call: Call) -> None:
        """Does nothing: the stand-in needs no notification of a cancelled call."""

    def _run(
        self, call: Call, remaining_ms: float
    ) -> Result[UpstreamResponse, UpstreamFailure]:
        status = {"line": "", "headers": []}

        def start_response(line: str, headers: list[tuple[str, str]]) -> None:
            status["line"] = line
            status["headers"] = headers

        if not self.standin._sheds():
            version = self.standin._version
            self._log.record(call.path, self._node, self._data_centre, version)
        environ: dict[str, Any] = {
            "PATH_INFO": call.path,
            "REQUEST_METHOD": call.method,
            "HTTP_X_REQUEST_ID": call.path,
            "HTTP_X_REQUEST_TIMEOUT_MS": str(int(remaining_ms)),
            "wsgi.input": io.BytesIO(call.body),
        }
        parts = self.standin(environ, start_response)
        if (SHED_HEADER, SHED_NOT_RUN) in status["headers"]:
            return Failure(UpstreamShed())
        try:
            body = b"".join(parts)
        except ConnectionAbortedError:
            return Failure(IncompleteUpstreamResponse("cut"))
        if self.standin._random.random() < self.lose_answers:
            return Failure(IncompleteUpstreamResponse("the answer was lost"))
        headers = [Header(name=name, value=value) for name, value in status["headers"]]
        number = int(status["line"].split()[0])
        return Success(UpstreamResponse(number, headers, body))
