"""Tests of summing a fleet's calls to the store from logs."""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from jayswitch.console.application import execute
from jayswitch.console.client import AdminClient
from jayswitch.console.commands.command import EXIT_OK, Options


def _line(vm: str, calls_by_kind: dict[str, int]) -> str:
    fields = {"message": "store calls", "calls_by_kind": calls_by_kind}
    return json.dumps({"time": "2026-03-17 15:21:00,000", "vm": vm, **fields})


def _run(source: Path, as_json: bool = False) -> int:
    client = AdminClient(["http://127.0.0.1:1"], "", "tester")
    words = ["store", "calls", str(source)]
    return execute(words, client, Options(as_json=as_json))


class TestStoreCalls:
    """Calls of all proxies and of all their lines add up by kind."""

    def test_calls_of_a_fleet_are_summed(
        self, tmp_path: Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        near = [_line("near", {"keep_alive": 3}), _line("near", {"keep_alive": 2})]
        (tmp_path / "near.log").write_text("\n".join(near) + "\n")
        (tmp_path / "far.log").write_text(
            _line("far", {"keep_alive": 1, "commit": 4}) + "\n"
        )
        assert _run(tmp_path, as_json=True) == EXIT_OK
        assert json.loads(capsys.readouterr().out) == {"keep_alive": 6, "commit": 4}

    def test_most_frequent_kind_comes_first(
        self, tmp_path: Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        (tmp_path / "near.log").write_text(_line("near", {"commit": 1, "get": 5}))
        assert _run(tmp_path) == EXIT_OK
        rows = capsys.readouterr().out.splitlines()
        assert [row.split()[0] for row in rows] == ["kind", "get", "commit"]

    def test_logs_without_calls_say_so(
        self, tmp_path: Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        (tmp_path / "empty.log").write_text("")
        assert _run(tmp_path) == EXIT_OK
        assert "no line" in capsys.readouterr().out
