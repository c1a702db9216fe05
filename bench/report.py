"""Prints and plots figures and compares them with those of an earlier run."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path
from typing import Any

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot  # noqa: E402
from tabulate import tabulate  # noqa: E402


def flatten(figures: dict, prefix: str = "") -> Iterator[tuple[str, Any]]:
    """Yields each figure with its dotted name."""
    for name, value in figures.items():
        if isinstance(value, dict):
            yield from flatten(value, f"{prefix}{name}.")
        else:
            yield f"{prefix}{name}", value


def format_figure(value: Any) -> str:
    """Returns a figure as text; floats get three decimals."""
    return f"{value:.3f}" if isinstance(value, float) else str(value)


def print_report(report: dict) -> None:
    """Prints a table of figures for each deployment."""
    for name, figures in report["deployments"].items():
        print(f"\n{name} ({report['revision']})")
        rows = [[key, format_figure(value)] for key, value in flatten(figures)]
        print(tabulate(rows, headers=["figure", "value"], disable_numparse=True))


def print_comparison(earlier: dict, report: dict) -> None:
    """Prints the numeric figures of two runs side by side."""
    before = dict(flatten(earlier["deployments"]))
    after = dict(flatten(report["deployments"]))
    rows = [
        [key, format_figure(before[key]), format_figure(after[key])]
        for key in after
        if key in before and isinstance(after[key], int | float)
    ]
    headers = ["figure", earlier["revision"], report["revision"]]
    print(tabulate(rows, headers=headers, disable_numparse=True))


def plot(report: dict, path: Path) -> None:
    """Plots the required figures against their targets, one panel per measure."""
    panels = {
        "convergence (ms)": ("convergence", ["p50_ms", "p99_ms", "max_ms"], 8000),
        "control (bytes/s per node)": (
            "control",
            ["bytes_per_node_s", "bytes_per_node_s_max"],
            9000,
        ),
        "added latency (ms)": ("latency", ["added_p50_ms", "added_p99_ms"], 0.62),
        "memory per node (MB)": ("control", ["memory_mb_mean", "memory_mb_max"], 64),
    }
    figure, axes = pyplot.subplots(1, len(panels), figsize=(16, 4))
    for axis, (title, (measure, keys, bound)) in zip(axes, panels.items()):
        for offset, (name, figures) in enumerate(report["deployments"].items()):
            values = [figures.get(measure, {}).get(key, 0) for key in keys]
            positions = [index + 0.35 * offset for index in range(len(keys))]
            axis.bar(positions, values, width=0.35, label=name)
        axis.axhline(bound, color="black", linestyle="--", linewidth=1)
        axis.set_xticks(range(len(keys)), [key.replace("_ms", "") for key in keys])
        axis.tick_params(axis="x", labelrotation=20, labelsize=7)
        axis.set_title(f"{title}, target {bound}", fontsize=9)
    axes[0].legend()
    figure.tight_layout()
    figure.savefig(path, dpi=110)
