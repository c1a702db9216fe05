"""Tests of tracing a request through logs."""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from jayswitch.console.application import execute
from jayswitch.console.client import AdminClient
from jayswitch.console.commands.command import EXIT_OK, EXIT_REFUSED, Options

ID = "9c41d07be2a35f68"


def _line(at: str, vm: str, message: str, **fields: object) -> str:
    timestamp = f"2026-03-17 15:21:{at}"
    return json.dumps({"time": timestamp, "vm": vm, "message": message, **fields})


def _explain(source: Path, as_json: bool = False) -> int:
    client = AdminClient(["http://127.0.0.1:1"], "", "tester")
    words = ["requests", "explain", ID, str(source)]
    return execute(words, client, Options(as_json=as_json))


@pytest.fixture
def logs(tmp_path: Path) -> Path:
    """Returns a directory with the logs of two proxies."""
    near = [
        _line("00,000", "near", "configuration in force", version=6),
        _line("09,500", "near", "configuration in force", version=7),
        _line("10,200", "near", "attempt ended", request_id=ID, vm_asked="far"),
        _line("10,201", "near", "request answered", request_id=ID, status=503),
        _line("10,300", "near", "request answered", request_id="other", status=200),
    ]
    far = [
        "a line of another program",
        _line("10,100", "far", "request refused at the gate", request_id=ID, running=6),
    ]
    (tmp_path / "near.log").write_text("\n".join(near) + "\n")
    (tmp_path / "far.log").write_text("12.3 far " + "\n".join(far) + "\n")
    return tmp_path


class TestExplain:
    """Lines with a request id from several logs, and state changes, by time."""

    def test_lines_are_ordered_by_time_across_proxies(
        self, logs: Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        assert _explain(logs) == EXIT_OK
        lines = capsys.readouterr().out.splitlines()
        events = [line.split("  ")[1].strip().split(" ")[0] for line in lines]
        assert events == ["near", "far", "near", "near"]
        assert "version=7" in lines[0] and "status=503" in lines[3]

    def test_json_output_has_all_lines(
        self, logs: Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        assert _explain(logs, as_json=True) == EXIT_OK
        assert len(json.loads(capsys.readouterr().out)) == 4

    def test_unknown_id_is_refused(self, tmp_path: Path) -> None:
        (tmp_path / "empty.log").write_text("")
        assert _explain(tmp_path) == EXIT_REFUSED

    def test_missing_log_reports_the_remedy(
        self, tmp_path: Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        assert _explain(tmp_path / "none") != EXIT_OK
        assert "name a file" in capsys.readouterr().err
