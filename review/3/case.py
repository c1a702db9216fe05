"""Answers are lost for a while; unsafe requests are refused for good."""

from __future__ import annotations

import asyncio
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))

from mesh import BROKEN, HELD, Callers, CannotRun, Mesh, Upstream, config, main, route

READS, LOGS = "herdview", "treatments"
# answer_lost of gctia-mesh: how = "reset", share = 0.6, x = 0.4, for 4 s.
LOST_SHARE, LOST_S = 0.4, 4.0
TIMES, GAP_S = 3, 1.0
AFTERWARDS_S = 70.0
LOG_WORK_S, READ_WORK_S = 0.01, 0.05
LOGS_PER_S, READS_PER_S = 60, 60
READ = "/read/1"
LOG = "/treat/1"


async def case(mesh: Mesh, callers: Callers, trouble: bool) -> int:
    services = [READS, READS, LOGS]
    zones = ["baton-rouge", "lake-charles", "corpus-christi"]
    await mesh.start(list(zip(zones, services, strict=True)))
    upstreams = [
        Upstream(
            vm,
            vm.service,
            6,
            LOG_WORK_S if vm.service == LOGS else READ_WORK_S,
            mesh.record,
        )
        for vm in mesh.vms
    ]
    for upstream in upstreams:
        await upstream.start()
    log_target = upstreams[2]
    log_route = route("treat", LOGS, "unsafe", 3000, 500, priority=1)
    read_route = route("read", LOGS, "safe", 2500, 400)
    mesh.store.put("op/config", config(7, [read_route, log_route], [READS, LOGS]))
    await mesh.wait_until_ready()
    await asyncio.sleep(2.0)
    # The operator moves the reads to a service of their own.
    moved = config(11, [read_route | {"service": READS}, log_route], [READS, LOGS])
    mesh.store.put("op/config", moved)
    await asyncio.sleep(3.0)
    tasks = []

    async def load(path: str, method: str, per_s: float, deadline_ms: int) -> None:
        while True:
            vm = random.choice(mesh.vms)
            attempt = callers.send(vm, method, "mesh.example", path, deadline_ms)
            tasks.append(asyncio.create_task(attempt))
            await asyncio.sleep(1 / per_s)

    loaders = [
        asyncio.create_task(load(LOG, "POST", LOGS_PER_S, 3000)),
        asyncio.create_task(load(READ, "GET", READS_PER_S, 2500)),
    ]
    await asyncio.sleep(2.0)
    trouble_s = time.monotonic()
    for _ in range(TIMES):
        log_target.lost_share = LOST_SHARE if trouble else 0.0
        await asyncio.sleep(LOST_S)
        log_target.lost_share = 0.0
        mesh.record.line("no answers are lost from here" if trouble else "no trouble")
        await asyncio.sleep(GAP_S)
    ended_s = time.monotonic()
    await asyncio.sleep(AFTERWARDS_S)
    until_s = time.monotonic()
    for loader in loaders:
        loader.cancel()
    await asyncio.gather(*tasks)

    def served(path: str, from_s: float, until_s: float) -> float:
        asked = [
            a
            for a in callers.attempts
            if path in (a.route, "") and from_s <= a.sent_s < until_s
        ]
        return sum(a.status == 200 for a in asked) / max(1, len(asked))

    before = served(LOG, 0.0, trouble_s - 0.2)
    if before < 0.9:
        raise CannotRun(f"only {before:.0%} were served before the disruption")
    # The rule is applied to the whole run, before and during the disruption too.
    logs, reads = served(LOG, 0.0, until_s), served(READ, 0.0, until_s)
    everything = served("", 0.0, until_s)
    late = served(LOG, ended_s + 15.0, until_s)
    late_runs = sum(run.at_s >= ended_s + 15.0 for run in log_target.runs)
    mesh.record.line(
        f"later than 15 s after the disruption: treatment logs served {late:.1%} "
        f"(before it: {before:.1%}), runs at their healthy target: {late_runs}"
    )
    mesh.record.line(
        f"whole run: treatment logs served {logs:.1%}, reads {reads:.1%}, all "
        f"{everything:.1%}; a quarter of that: {everything / 4:.1%}"
    )
    return BROKEN if logs < everything / 4 else HELD


main(case, __file__)
