"""Runs the benchmarks and writes build/bench/latest.json with a plot."""

from __future__ import annotations

from jayswitch import runtime

runtime.prepare()

import json  # noqa: E402
import platform  # noqa: E402
import subprocess  # noqa: E402
import time  # noqa: E402
from collections.abc import Callable  # noqa: E402
from pathlib import Path  # noqa: E402

from absl import app, flags  # noqa: E402

from bench import measures  # noqa: E402
from bench.local_cluster import LocalCluster  # noqa: E402
from bench.report import plot, print_comparison, print_report  # noqa: E402
from jayswitch.embedded.deployments import DEPLOYMENTS, Deployment  # noqa: E402

FLAGS = flags.FLAGS

flags.DEFINE_list("deployments", sorted(DEPLOYMENTS), "Deployments to measure.")
flags.DEFINE_list("only", [], "Measures to take; all if empty.")
flags.DEFINE_string("output", "build/bench/latest.json", "File for the figures.")
flags.DEFINE_string("compare", "", "Earlier file of figures to compare with.")

MEASURES: dict[str, Callable[[LocalCluster], dict]] = {
    "convergence": measures.measure_convergence,
    "control": measures.measure_control,
    "sequential": measures.measure_sequential,
    "latency": measures.measure_latency,
    "data_centre": measures.measure_data_centre,
    "moves": measures.measure_moves,
}


def measure_deployment(deployment: Deployment) -> dict:
    """Starts a deployment and returns its figures."""
    cluster = LocalCluster(deployment)
    figures: dict = {}
    try:
        cluster.start()
        for name, measure_figures in MEASURES.items():
            if not FLAGS.only or name in FLAGS.only:
                figures[name] = measure_figures(cluster)
    finally:
        figures["unclean_exits"] = cluster.stop()
    return figures


def revision() -> str:
    """Returns the Git revision of the working tree."""
    command = ["git", "describe", "--always", "--dirty"]
    return subprocess.run(command, capture_output=True, text=True).stdout.strip()


def main(argv: list[str]) -> int:
    """Measures the chosen deployments, then writes and prints the report."""
    started = time.monotonic()
    report: dict = {
        "revision": revision(),
        "python": platform.python_version(),
        "deployments": {},
    }
    for name in FLAGS.deployments:
        report["deployments"][name] = measure_deployment(DEPLOYMENTS[name])
    report["seconds"] = time.monotonic() - started
    path = Path(FLAGS.output)
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(json.dumps(report, indent=2))
    print_report(report)
    plot(report, path.with_suffix(".png"))
    if FLAGS.compare:
        print_comparison(json.loads(Path(FLAGS.compare).read_text()), report)
    print(f"\nwritten to {path} in {report['seconds']:.0f} s")
    return 0


if __name__ == "__main__":
    app.run(main)
