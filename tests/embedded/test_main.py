"""Tests of the embedded mode, run as a subprocess."""

from __future__ import annotations

import subprocess
import sys


class TestEmbeddedMode:
    """Store, nodes and upstreams in one process that uses sockets."""

    def test_serves_calls_and_exits_cleanly(self) -> None:
        finished = subprocess.run(
            [sys.executable, "-m", "jayswitch.embedded.main", "--seconds=4"],
            capture_output=True,
            text=True,
            timeout=120,
        )
        assert finished.returncode == 0, finished.stderr
        assert "answered-200" in finished.stdout
        assert "configuration version in force" in finished.stdout
