"""Generates docs/CAPACITY.md, which extrapolates measured slopes to the target size.

Reads docs/measured/slopes.json (python -m bench.slopes) and docs/measured/bench.json
(make bench). The page shows how each figure is extrapolated.
"""

from __future__ import annotations

import json
from pathlib import Path

import msgspec

from jayswitch.messages.generated import Record
from jayswitch.rollout.outcomes import (
    KeyedOutcomes,
    OutcomeKey,
    RouteOutcomes,
)

ROOT = Path(__file__).resolve().parent.parent
MEASURED = ROOT / "docs" / "measured"

NODES = 12_000
SERVICES = 590
DATA_CENTRES = 12
CALLS_PER_S = 840_000
CHANGES_PER_DAY = 21_000
SECONDS_PER_DAY = 86_400
REPLACED_PER_DAY = 730
FAILED_PER_DAY = 58
ADDED_P99_MS = 0.62
CPU_PERCENT = 2.7
MEMORY_MB = 64.0
BYTES_PER_S = 9_000.0
CONVERGENCE_S = 8.0
RELAY_SLOTS = 2
FAN_OUT = 8
TARGETS_PER_PROFILE = 5
MOVES_SHARE = 0.1
MOVE_DURATION_S = 600
OUTCOME_REPORT_INTERVAL_S = 2.0
STORE_READS_PER_S = 2000
STORE_WRITES_PER_S = 500
COALESCE_MS = 15.0
LEASE_RENEWALS_PER_S = 0.5
MB = 1e6


def outcome_report_bytes() -> int:
    """Returns the size of a gate's report for two routes with eight buckets each."""
    buckets = {number: 1000 for number in range(8)}
    rows = [
        KeyedOutcomes(
            key=OutcomeKey("profile-123", "service-123", "v1", f"service-123-{kind}"),
            outcomes=RouteOutcomes(calls=8000, errors=3, latency_counts=buckets),
        )
        for kind in ("read", "write")
    ]
    record = Record(
        key="outcomes/vm-1234",
        kind="outcomes",
        origin="vm-1234",
        incarnation=1_800_000_000_000,
        counter=1000,
        service="service-123",
        payload=msgspec.msgpack.encode(rows),
    )
    return len(msgspec.msgpack.encode(record))


class Capacity:
    """Figures of the page, extrapolated from the measurements."""

    def __init__(self, slopes: dict, bench: dict) -> None:
        """Expects the contents of slopes.json and bench.json."""
        self.members = slopes["members"]
        self.configuration = slopes["configuration"]
        self.fleets = slopes["fleets"]
        self.bench = bench["deployments"]
        self.largest = self.fleets[-1]
        roles = self.largest["roles"]
        self.plain = roles["plain"]
        self.relay = roles["relay"]
        self.base_bytes, self.link_bytes = self.linear_fit("idle_bytes_per_s")
        self.base_cpu, self.link_cpu = self.linear_fit("idle_cpu_percent")
        self.changes_per_s = CHANGES_PER_DAY / SECONDS_PER_DAY
        self.nodes_per_centre = NODES / DATA_CENTRES
        self.upstreams_per_service = NODES / SERVICES

    def linear_fit(self, figure: str) -> tuple[float, float]:
        """Returns intercept and slope per link of the line through the two roles."""
        links = self.relay["links"] - self.plain["links"]
        slope = (self.relay[figure] - self.plain[figure]) / links
        return max(0.0, self.plain[figure] - slope * self.plain["links"]), slope

    def depth(self) -> int:
        """Returns the number of tree levels below the relays of one data centre."""
        level, reached, width = 0, 0, RELAY_SLOTS
        while reached < self.nodes_per_centre - RELAY_SLOTS:
            level += 1
            width *= FAN_OUT
            reached += width
        return level

    def members_known(self, nodes_below: float) -> float:
        """Returns how many members a node stores for itself and the nodes below it."""
        wanted = (TARGETS_PER_PROFILE + 1) * (nodes_below + 1)
        share_missed = (1 - 1 / SERVICES) ** wanted
        return NODES * (1 - share_missed)

    def memory_mb(self, members: float) -> float:
        """Returns the resident memory for these members and all configuration."""
        state = members * self.members["bytes_per_member"]
        state += SERVICES * self.configuration["bytes_per_service"]
        return self.plain["memory_mb"] + state / MB

    def control_bytes(self, links: int, children: int) -> float:
        """Returns the control bytes per second that a node sends."""
        entries = self.changes_per_s * self.configuration["entry_bytes"] * children
        churn = (2 * REPLACED_PER_DAY + FAILED_PER_DAY) / SECONDS_PER_DAY
        records = churn * 3 * self.members["wire_bytes_per_member"] * links
        return self.base_bytes + links * self.link_bytes + entries + records

    def control_cpu(self, links: int) -> float:
        """Returns the CPU usage of control traffic in percent of a core."""
        changes = self.changes_per_s * self.configuration["cpu_ms_per_change"] / 10
        return self.base_cpu + links * self.link_cpu + changes

    def outcome_reports_per_s(self) -> float:
        """Returns how many reports per second the gates of the whole fleet send."""
        moves = CHANGES_PER_DAY * MOVES_SHARE * MOVE_DURATION_S / SECONDS_PER_DAY
        return moves * self.upstreams_per_service / OUTCOME_REPORT_INTERVAL_S


def margin(value: float, bound: float) -> str:
    """Returns the margin below the bound, or the shortfall, as text."""
    if value <= bound:
        return f"holds, {100 * (1 - value / bound):.0f}% left"
    return f"**shortfall, {value / bound:.1f} times**"


def role_rows(c: Capacity) -> list[str]:
    """Returns the table of extrapolated costs by role."""
    below_first = c.nodes_per_centre / (RELAY_SLOTS * FAN_OUT)
    relay_links = FAN_OUT + DATA_CENTRES - 1 + RELAY_SLOTS - 1
    roles = [
        ("plain, leaf", c.members_known(0), 1, 0),
        ("plain, inner", c.members_known(below_first), FAN_OUT + 1, FAN_OUT),
        ("relay", NODES, relay_links, FAN_OUT),
    ]
    rows = [
        "| role | members held | links | bytes/s | of 9 KB/s | core % | of 2.7%"
        " | MB | of 64 MB |",
        "|---|---|---|---|---|---|---|---|---|",
    ]
    report_bytes = c.outcome_reports_per_s() / DATA_CENTRES * outcome_report_bytes()
    for name, members, links, children in roles:
        sent = c.control_bytes(links, children)
        if name == "relay":
            sent += report_bytes
        cpu = c.control_cpu(links)
        memory = c.memory_mb(members)
        rows.append(
            f"| {name} | {members:.0f} | {links} | {sent:.0f} |"
            f" {margin(sent, BYTES_PER_S)} | {cpu:.2f} | {margin(cpu, CPU_PERCENT)}"
            f" | {memory:.1f} | {margin(memory, MEMORY_MB)} |"
        )
    received = c.outcome_reports_per_s() * outcome_report_bytes()
    rows.append(
        f"| driver, in addition, received | | | {received:.0f} |"
        f" {margin(received, BYTES_PER_S)} | | | | |"
    )
    return rows


def target_rows(c: Capacity) -> list[str]:
    """Returns the table that compares each target with its extrapolation."""
    convergence = c.largest["convergence"]
    hops = c.depth() + 1
    measured_hops = max(1, c.largest["hops_max"])
    per_hop_ms = convergence["p99_ms"] / (measured_hops + 1)
    expected_s = per_hop_ms * (hops + 1) / 1000
    latency = max(d["sequential"]["through_added_p99_ms"] for d in c.bench.values())
    plain = min(d["sequential"]["plain_proxy_added_p99_ms"] for d in c.bench.values())
    call_cpu = max(d["latency"]["cpu_ms_per_call"] for d in c.bench.values())
    per_node = CALLS_PER_S / NODES
    relays = DATA_CENTRES * RELAY_SLOTS
    renewals = relays * LEASE_RENEWALS_PER_S
    reads = relays * (2 / 20 + 2 * c.changes_per_s + 1 / 1.9)
    boot_s = NODES * 2 / STORE_READS_PER_S
    snapshot = c.configuration["snapshot_bytes"]
    snapshot_s = snapshot * FAN_OUT / 1e6
    rows = [
        "| target | worked out | verdict | mechanism, and where it breaks first |",
        "|---|---|---|---|",
        f"| {NODES:,} targets, each with its node | {c.nodes_per_centre:.0f} nodes a"
        f" data centre in {c.depth()} levels below {RELAY_SLOTS} relays | measured to"
        f" {c.largest['nodes']} nodes | tree with bounded fan-out; an inner node holds"
        " the members of all services wanted below it |",
        f"| {SERVICES} services | snapshot of {snapshot / 1000:.0f} KB compressed |"
        f" {margin(snapshot, 1e6)} of a value | one snapshot value; must be split"
        " beyond 1 MB |",
        f"| {CALLS_PER_S:,} calls/s | {per_node:.0f} a node, {call_cpu:.2f} ms of"
        f" processor each, both nodes: {per_node * call_cpu / 10:.0f}% of a core |"
        " one core carries it | eventlet, one process; knee at about"
        f" {1000 / call_cpu:.0f} calls/s a node |",
        "| 16 deep | depth travels with the call, 17 is refused; no retry after"
        ' "unknown" below the first level | not measured at depth | budget of 10%'
        " once, not 10% to the 16th |",
        f"| {ADDED_P99_MS} ms added at p99 | {latency:.2f} ms, one call at a time |"
        f" {margin(latency, ADDED_P99_MS)} | one plain WSGI and urllib3 hop adds"
        f" {plain:.2f} ms here: the libraries alone exceed the target |",
        f"| {CHANGES_PER_DAY:,} changes a day, in force within {CONVERGENCE_S:.0f} s |"
        f" {per_hop_ms:.0f} ms a level at p99, {hops + 1} levels: {expected_s:.2f} s |"
        f" {margin(expected_s, CONVERGENCE_S)} | entries pushed at once on every"
        " link; a snapshot to a node that lags by over 512 entries |",
        f"| store writes | {renewals:.1f} renewals and {c.changes_per_s:.2f} changes a"
        f" second | {margin(renewals + c.changes_per_s, STORE_WRITES_PER_S)} |"
        f" {relays} leases in all, not {NODES:,} |",
        f"| store reads and watches | {reads:.1f} a second |"
        f" {margin(reads, STORE_READS_PER_S)} | relays alone read and watch |",
        f"| all {NODES:,} start at once | 2 reads each: {boot_s:.0f} s at"
        f" {STORE_READS_PER_S} reads/s | bounded, not within {CONVERGENCE_S:.0f} s |"
        " jitter, doubling delays; each parent then sends"
        f" {FAN_OUT} snapshots, {snapshot_s:.1f} MB |",
        f"| {FAILED_PER_DAY} VMs fail, {REPLACED_PER_DAY} are replaced a day |"
        f" {(REPLACED_PER_DAY + FAILED_PER_DAY) / 24:.0f} an hour, a few records each |"
        " holds | found dead in 3.5 heartbeats, removed after 5 more; callers avoid it"
        " at the first failed send |",
        "| a rack a week | its subtrees join again through the relays | scenario: every"
        " relay dies | jitter; a relay redirects to its smaller subtrees |",
        f"| a data centre every other month | {c.nodes_per_centre:.0f} members gone,"
        f" {c.nodes_per_centre * c.members['wire_bytes_per_member'] / 1000:.0f} KB"
        " a link, once | burst above 9 KB/s for seconds | the other relays drop the"
        " links and their records |",
        "| regions part for an hour | nothing is sent; afterwards what changed |"
        " scenario: cut off, then merged | peers' links stay, records of the other side"
        " stay and callers avoid them |",
    ]
    return rows


def slope_rows(c: Capacity) -> list[str]:
    """Returns the tables of measured slopes."""
    rows = [
        "| nodes | deepest | p50 ms | p99 ms | max ms | bytes/s mean | bytes/s max"
        " | core % | MB mean |",
        "|---|---|---|---|---|---|---|---|---|",
    ]
    for fleet in c.fleets:
        convergence, control = fleet["convergence"], fleet["control"]
        rows.append(
            f"| {fleet['nodes']} | {fleet['hops_max']} | {convergence['p50_ms']:.0f}"
            f" | {convergence['p99_ms']:.0f} | {convergence['max_ms']:.0f}"
            f" | {control['bytes_per_node_s']:.0f}"
            f" | {control['bytes_per_node_s_max']:.0f}"
            f" | {control['cpu_percent_per_node']:.2f}"
            f" | {control['memory_mb_mean']:.1f} |"
        )
    rows += ["", "| role in the largest fleet | links | idle bytes/s | core % | MB |"]
    rows.append("|---|---|---|---|---|")
    for name, role in c.largest["roles"].items():
        rows.append(
            f"| {name} | {role['links']:.1f} | {role['idle_bytes_per_s']:.0f}"
            f" | {role['idle_cpu_percent']:.2f} | {role['memory_mb']:.1f} |"
        )
    return rows


def render_page(c: Capacity) -> str:
    """Returns the page as Markdown."""
    members, configuration = c.members, c.configuration
    lines = [
        "# Capacity at the target",
        "",
        "Written by `python tools/capacity.py` from `docs/measured/`; renew the slopes",
        "with `python -m bench.slopes`, the rest with `make bench`. Measured on one",
        "machine of 8 shared cores, each daemon a process on its own address; beyond",
        "the measured range the figures are extrapolated, in a straight line.",
        "",
        "## Measured slopes",
        "",
        *slope_rows(c),
        "",
        f"- one member known: {members['bytes_per_member']:.0f} B of memory,"
        f" {members['wire_bytes_per_member']:.0f} B on the wire,"
        f" {members['cpu_us_per_member']:.0f} us ({NODES:,} members)",
        f"- one service configured: {configuration['bytes_per_service']:.0f} B of"
        f" memory ({SERVICES} services, five targets and ten routes each)",
        f"- one change: {configuration['entry_bytes']:.0f} B,"
        f" {configuration['cpu_ms_per_change']:.2f} ms to apply",
        f"- one gate's report on a move: {outcome_report_bytes()} B",
        f"- one idle link: {c.link_bytes:.0f} B/s and {c.link_cpu:.3f}% of a core, on"
        f" top of {c.base_bytes:.0f} B/s and {c.base_cpu:.2f}% (the line through the"
        " two roles)",
        "",
        "## By role",
        "",
        "Base and links x bytes of an idle link, plus changes x entry x children, plus",
        "churn x member x links; moves are taken as"
        f" {MOVES_SHARE:.0%} of the changes, each of"
        f" {MOVE_DURATION_S} s.",
        "A relay also sends its data centre's reports on moves, once, towards the"
        " driver.",
        "",
        *role_rows(c),
        "",
        "A gate adds its requests of the last two minutes: at"
        f" {CALLS_PER_S / NODES:.0f} calls/s about"
        f" {CALLS_PER_S / NODES * 120:.0f} ids. The store holds one snapshot, some 600"
        f" entries and {DATA_CENTRES * RELAY_SLOTS + 1} leased keys.",
        "",
        "## By target",
        "",
        *target_rows(c),
        "",
        "## Shortfalls and what follows",
        "",
        "- Added latency: no change of ours brings two hops of these libraries below",
        "  what one costs; the users may weigh the library or the target.",
        "- Where a role's bytes or memory exceed the bound above: split the reports",
        "  over several judges, one for each move; let inner nodes pass records on for",
        "  services that only nodes below them want without decoding them; send",
        "  heartbeats between relays less often than to children.",
        "- Joining: the herd of a whole start is bounded by the store's reads; a first",
        "  relay named in the settings would halve them.",
        "",
    ]
    return "\n".join(lines)


def main() -> None:
    """Reads the measurements and writes the page."""
    slopes = json.loads((MEASURED / "slopes.json").read_text())
    bench = json.loads((MEASURED / "bench.json").read_text())
    target = ROOT / "docs" / "CAPACITY.md"
    target.write_text(render_page(Capacity(slopes, bench)))


if __name__ == "__main__":
    main()
