"""Measures how cost scales with size and writes build/bench/slopes.json.

Figures that scale with the size of the fleet are measured on daemons on this machine;
those that scale with the state of one node are measured on its tables in this process.
"""

from __future__ import annotations

from jayswitch import runtime

runtime.prepare()

import gc  # noqa: E402
import json  # noqa: E402
import time  # noqa: E402
from pathlib import Path  # noqa: E402

import msgspec  # noqa: E402
import psutil  # noqa: E402
from absl import app, flags  # noqa: E402

from bench import measures  # noqa: E402
from bench.local_cluster import LocalCluster  # noqa: E402
from jayswitch.clock import Clock  # noqa: E402
from jayswitch.config.changes import apply_entry  # noqa: E402
from jayswitch.config.codec import encode_entry, encode_state  # noqa: E402
from jayswitch.config.generated import ProfileSet, ServiceSet  # noqa: E402
from jayswitch.config.replica import ConfigReplica  # noqa: E402
from jayswitch.config.state import ConfigState, Entry  # noqa: E402
from jayswitch.embedded.deployments import PADDOCKLINE  # noqa: E402
from jayswitch.membership.member import (  # noqa: E402
    KIND_MEMBER,
    Member,
    decode_member,
)
from jayswitch.membership.records import RecordTable  # noqa: E402
from jayswitch.messages.generated import Record  # noqa: E402
from jayswitch.profiles.generated import Profile  # noqa: E402
from jayswitch.routing.table import UpstreamDirectory  # noqa: E402

FLAGS = flags.FLAGS

flags.DEFINE_list("nodes", ["12", "60", "150"], "Fleet sizes to measure.")
flags.DEFINE_string("slopes", "build/bench/slopes.json", "File for the slopes.")

MEMBERS = 12_000
SERVICES = 590
CHANGES = 50
ROUTED_SERVICES = 6


def resident_bytes() -> int:
    """Returns the resident memory of this process after a garbage collection."""
    gc.collect()
    return psutil.Process().memory_info().rss


def member_record(number: int) -> Record:
    """Returns a member record in the form that nodes publish."""
    member = Member(
        node=f"vm-{number}",
        data_centre=f"data-centre-{number % 12}",
        region=f"region-{number % 6}",
        data_address=f"tcp://10.1.{number // 250}.{number % 250}:7102",
        control_address=f"tcp://10.1.{number // 250}.{number % 250}:7103",
        admin_address=f"http://10.1.{number // 250}.{number % 250}:7101",
        service=f"service-{number % SERVICES}",
        version="v1",
        state="up",
        slots=20,
    )
    return Record(
        key=f"member/vm-{number}",
        kind=KIND_MEMBER,
        origin=f"vm-{number}",
        incarnation=1_800_000_000_000,
        counter=1,
        service=member.service,
        payload=msgspec.msgpack.encode(member),
    )


def measure_members() -> dict:
    """Measures the memory, CPU time and wire bytes per known member."""
    data = [msgspec.msgpack.encode(member_record(n)) for n in range(MEMBERS)]
    table, directory = RecordTable("me", Clock()), UpstreamDirectory()
    before = resident_bytes()
    started = time.process_time()
    for number, item in enumerate(data):
        record = msgspec.msgpack.decode(item, type=Record)
        table.merge(record, "peer")
        if number % SERVICES >= ROUTED_SERVICES:
            continue
        member = decode_member(record)
        assert member is not None
        directory.put(member)
    seconds = time.process_time() - started
    return {
        "bytes_per_member": (resident_bytes() - before) / MEMBERS,
        "cpu_us_per_member": 1e6 * seconds / MEMBERS,
        "wire_bytes_per_member": sum(map(len, data)) / MEMBERS,
    }


def measure_configuration() -> dict:
    """Measures the cost of the whole configuration and of one change to a node."""
    state = ConfigState()
    replica = ConfigReplica()

    def add(change: object) -> bytes:
        nonlocal state
        entry = Entry(
            index=state.version + 1,
            change_id="0" * 32,
            author="operator",
            at_ms=1_800_000_000_000,
            change=change,
        )
        state = apply_entry(state, entry).unwrap()
        return encode_entry(entry)

    entries = [add(ServiceSet(service=f"service-{n}")) for n in range(SERVICES)]
    for number in range(SERVICES):
        entries.append(add(ProfileSet(profile=profile_for(number, "v1"))))
    before = resident_bytes()
    for data in entries:
        replica.apply_if_next(data)
    growth_bytes = resident_bytes() - before
    changes = [add(ProfileSet(profile=profile_for(0, "v1"))) for _ in range(CHANGES)]
    started = time.process_time()
    for data in changes:
        replica.apply_if_next(data)
    seconds = time.process_time() - started
    return {
        "bytes_per_service": growth_bytes / SERVICES,
        "snapshot_bytes": len(encode_state(state)),
        "entry_bytes": sum(map(len, changes)) / CHANGES,
        "cpu_ms_per_change": 1000 * seconds / CHANGES,
    }


def profile_for(number: int, version: str) -> Profile:
    """Returns a profile with five target services and two routes to each."""
    targets = [f"service-{(number + step) % SERVICES}" for step in range(5)]
    document = {
        "name": f"profile-{number}",
        "routes": [
            {
                "name": f"{target}-{kind}",
                "prefix": f"/{target}/{kind}",
                "service": target,
            }
            for target in targets
            for kind in ("read", "write")
        ],
        "targets": [{"service": target, "version": version} for target in targets],
    }
    return msgspec.convert(document, Profile)


def measure_fleet(nodes: int) -> dict:
    """Measures a fleet of daemons, those beyond the deployment without upstreams."""
    cluster = LocalCluster(PADDOCKLINE)
    try:
        cluster.start(extra_nodes=nodes - 11)
        return {
            "nodes": nodes,
            "hops_max": max(cluster.dump(vm)["hops"] for vm in cluster.vms),
            "convergence": measures.measure_convergence(cluster),
            "control": measures.measure_control(cluster),
            "roles": measure_roles(cluster),
        }
    finally:
        cluster.stop()


def measure_roles(cluster: LocalCluster) -> dict:
    """Measures the idle control traffic, CPU and memory of relays and plain nodes."""
    dumps = [cluster.dump(vm) for vm in cluster.vms]
    processes = cluster.processes()
    cpu = [sum(process.cpu_times()[:2]) for process in processes]
    started = time.monotonic()
    time.sleep(10)
    seconds = time.monotonic() - started
    cpu_seconds_used = [sum(p.cpu_times()[:2]) - c for p, c in zip(processes, cpu)]
    after = [cluster.dump(vm)["control_bytes_sent"] for vm in cluster.vms]
    figures: dict = {}
    for role, is_relay in (("relay", True), ("plain", False)):
        rows = [n for n, dump in enumerate(dumps) if dump["is_relay"] is is_relay]
        if not rows:
            continue
        sent = [after[n] - dumps[n]["control_bytes_sent"] for n in rows]
        links = sum(len(dumps[n]["links"]) for n in rows) / len(rows)
        memory = [processes[n].memory_info().rss / 1e6 for n in rows]
        figures[role] = {
            "nodes": len(rows),
            "links": links,
            "idle_bytes_per_s": sum(sent) / len(rows) / seconds,
            "idle_cpu_percent": 100
            * sum(cpu_seconds_used[n] for n in rows)
            / len(rows)
            / seconds,
            "memory_mb": sum(memory) / len(memory),
        }
    return figures


def main(argv: list[str]) -> int:
    """Measures all slopes and writes them after each fleet size."""
    slopes: dict = {
        "members": measure_members(),
        "configuration": measure_configuration(),
        "fleets": [],
    }
    path = Path(FLAGS.slopes)
    path.parent.mkdir(parents=True, exist_ok=True)
    for nodes in FLAGS.nodes:
        slopes["fleets"].append(measure_fleet(int(nodes)))
        path.write_text(json.dumps(slopes, indent=2))
    print(json.dumps(slopes, indent=2))
    return 0


if __name__ == "__main__":
    app.run(main)
