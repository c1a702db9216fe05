"""Tables and plots of the outcomes of an experiment and the load of its upstreams."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from tabulate import tabulate

from jayswitch.clock import MS_PER_S
from jayswitch.model.experiment import OUTCOMES

if TYPE_CHECKING:
    from jayswitch.model.experiment import Experiment


def kinds_table(experiment: Experiment) -> str:
    """Returns a table of outcome shares and latencies by request kind."""
    rows = []
    for kind in experiment.scenario.kinds:
        times = sorted(s.elapsed_ms for s in experiment.samples if s.kind == kind.name)
        if not times:
            continue
        shares = [experiment.outcome_share(kind.name, outcome) for outcome in OUTCOMES]
        median_ms, p99_ms = times[len(times) // 2], times[int(len(times) * 0.99)]
        rows.append([kind.name, len(times), *shares, median_ms, p99_ms])
    table_headers = ["kind", "requests", *OUTCOMES, "p50 ms", "p99 ms"]
    return tabulate(rows, table_headers, floatfmt=("", "", *[".3f"] * 4, ".0f", ".0f"))


def upstreams_table(experiment: Experiment) -> str:
    """Returns a table of request counts by upstream."""
    rows = [
        [
            vm.name,
            vm.data_centre,
            vm.upstream.runs,
            vm.gate.counts["answered"],
            vm.gate.counts["timed_out"],
            sum(
                count
                for name, count in vm.gate.counts.items()
                if name.startswith("refused")
            ),
        ]
        for vm in experiment.fleet.vm_by_name.values()
    ]
    table_headers = [
        "upstream",
        "data centre",
        "runs",
        "answered",
        "timed out",
        "refused",
    ]
    return tabulate(rows, table_headers)


def plot_outcomes(experiment: Experiment, path: str) -> None:
    """Writes a stacked plot of the outcomes by second of arrival."""
    # Imported here because it is slow to import and only plots need it.
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    count: Counter[tuple[str, int]] = Counter(
        (sample.outcome, int(sample.arrived_ms / MS_PER_S))
        for sample in experiment.samples
    )
    seconds = range(int(experiment.scenario.duration_s) + 1)
    lines = [[count[outcome, second] for second in seconds] for outcome in OUTCOMES]
    figure, axes = pyplot.subplots(figsize=(9, 4))
    axes.stackplot(list(seconds), lines, labels=list(OUTCOMES))
    axes.set_xlabel("second of arrival")
    axes.set_ylabel("requests")
    axes.legend(loc="lower left")
    figure.tight_layout()
    figure.savefig(path)
