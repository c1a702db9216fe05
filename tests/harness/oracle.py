"""Checks invariants by comparing calls' outcomes with upstreams' executions."""

from __future__ import annotations

from collections import Counter

from jayswitch.node.node import Node
from tests.harness.upstreams import RunLog


class CallRecord:
    """A call and its outcome as the caller saw it."""

    __slots__ = (
        "body",
        "latency_ms",
        "method",
        "outcome",
        "path",
        "reason",
        "started_ms",
        "status",
        "upstream",
    )

    def __init__(self, path: str, method: str, started_ms: float) -> None:
        """Starts without an outcome."""
        self.path = path
        self.method = method
        self.started_ms = started_ms
        self.outcome = "open"
        self.status = 0
        self.body = b""
        self.reason = ""
        self.upstream = ""
        self.latency_ms = 0.0


class Oracle:
    """Collects the records of a scenario and asserts the invariants on them."""

    def __init__(self, runs: RunLog) -> None:
        """Takes the log of executions at the upstreams."""
        self.calls: list[CallRecord] = []
        self.version_regressions: list[str] = []
        self.applied_ms_by_version: dict[int, dict[str, float]] = {}
        self.accepted_ms_by_version: dict[int, float] = {}
        self._runs = runs

    def observe(self, node: Node) -> None:
        """Records each configuration version that a node applies, and regressions."""
        seen = {"version": 0}

        def record_version(state: object) -> None:
            version = state.version
            if version < seen["version"]:
                self.version_regressions.append(f"{node.name} to {version}")
            seen["version"] = version
            now_ms = node.parts.clock.now_ms()
            self.applied_ms_by_version.setdefault(version, {}).setdefault(
                node.name, now_ms
            )

        node.parts.replica.on_change(record_version)

    def record_accepted(self, version: int, now_ms: float) -> None:
        """Records when the acceptance of a change was reported to the operator."""
        self.accepted_ms_by_version[version] = now_ms

    def outcomes(self, since_ms: float = 0.0) -> Counter[str]:
        """Counts the calls that started at or after a time, by outcome."""
        return Counter(
            call.outcome for call in self.calls if call.started_ms >= since_ms
        )

    def check(self) -> None:
        """Checks every invariant that must hold at any time."""
        self.check_calls()
        assert not self.version_regressions, self.version_regressions

    def check_calls(self) -> None:
        """Checks the outcome of every call against the executions at upstreams.

        A write runs at most once, a call reported as not run never runs, and an
        answered call has run and has its own answer in full.
        """
        for call in self.calls:
            runs = self._runs.runs_by_path[call.path]
            description = f"{call.method} {call.path}: {call.outcome} ({call.reason})"
            if call.method == "POST":
                assert runs <= 1, f"{description}, executed {runs} times"
            if call.outcome == "not-run":
                assert runs == 0, f"{description}, executed {runs} times"
            if call.outcome == "answered":
                assert runs >= 1, f"{description}, never executed"
                assert (
                    call.path.encode() in call.body
                ), f"{description}: {call.body[:80]!r}"
