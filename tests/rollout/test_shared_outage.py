"""Tests of an outage that affects both versions of a service, with several seeds."""

from __future__ import annotations

import pytest

from tests.harness.mesh import Mesh
from tests.scenarios.conftest import add_nodes, fail_all_upstreams
from tests.scenarios.test_controls import build_mesh


class TestSharedOutage:
    """Guards against marking the new version as bad while all upstreams fail."""

    @pytest.mark.parametrize("seed", [1, 2, 8, 14])
    def test_new_version_is_not_marked_bad(self, seed: int) -> None:
        mesh = Mesh(seed)
        build_mesh(mesh, count=4, rate=80)
        add_nodes(mesh, 4, "herdview", "v2")
        mesh.wait(5)
        mesh.set_profile({"herdview": "v2"}, 120_000)
        mesh.wait(30)
        fail_all_upstreams(mesh, 10)
        mesh.wait(20)
        marks = [node.node.parts.watcher.mark for node in mesh.live_nodes()]
        move = next(
            iter(mesh.nodes_by_name["herdview-0"].node.parts.replica.state.moves_by_id)
        )
        assert [mark(move) for mark in marks] == [None] * len(marks)
        mesh.stop_traffic()
        mesh.oracle.check()
