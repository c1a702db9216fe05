"""Callers leave while a failed answer is tried again elsewhere: slots leak."""

from __future__ import annotations

import asyncio
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))

from mesh import (
    BROKEN,
    HELD,
    Callers,
    CannotRun,
    Mesh,
    Upstream,
    Vm,
    config,
    main,
    route,
)

LEDGER, RECORDS = "tank-ledger", "ticket-records"
LEVEL, ARCHIVE = "/level/1", "/archive/1"
# srv_grey with errors, as in the site files: x = 0.45, one target.
FAILING_SHARE, GREY_S = 0.45, 5.0
# give_up: the share of the site files; the clients leave after half the objective.
LEAVING_SHARE, OBJECTIVE_MS = 0.3, 500
TIMES, GAP_S = 2, 1.5
AFTERWARDS_S = 70.0
DEADLINE_MS = 1000
SLOTS, LEDGER_WORK_S = 6, 0.06
# Targets of one service differ in speed; those of the site by a factor of 0.6 to 1.4.
FIRST_WORK_S, SECOND_WORK_S = 0.1, 0.23
RECORDS_PER_S, LEDGER_PER_S = 25, 100


async def case(mesh: Mesh, callers: Callers, trouble: bool) -> int:
    services = [LEDGER, LEDGER, RECORDS, RECORDS]
    zones = ["baton-rouge", "lake-charles", "lake-charles", "corpus-christi"]
    await mesh.start(list(zip(zones, services, strict=True)))
    work_s = [LEDGER_WORK_S, LEDGER_WORK_S, FIRST_WORK_S, SECOND_WORK_S]
    upstreams = [
        Upstream(vm, vm.service, SLOTS, work, mesh.record)
        for vm, work in zip(mesh.vms, work_s, strict=True)
    ]
    for upstream in upstreams:
        await upstream.start()
    first, second = upstreams[2:]
    routes = [
        route("level", LEDGER, "safe", 1200, 500),
        route("archive", RECORDS, "download", DEADLINE_MS, OBJECTIVE_MS),
    ]
    mesh.store.put("op/config", config(7, routes, [LEDGER, RECORDS]))
    await mesh.wait_until_ready()
    await asyncio.sleep(3.0)
    tasks = []
    are_leaving = False

    async def load(vms: list[Vm], path: str, per_s: float, deadline_ms: int) -> None:
        while True:
            leave_s = None
            if are_leaving and random.random() < LEAVING_SHARE:
                leave_s = OBJECTIVE_MS / 2 / 1000
            vm = random.choice(vms)
            attempt = callers.send(
                vm, "GET", "mesh.example", path, deadline_ms, leave_s
            )
            tasks.append(asyncio.create_task(attempt))
            await asyncio.sleep(1 / per_s)

    loaders = [
        asyncio.create_task(load(mesh.vms[:2], LEVEL, LEDGER_PER_S, 1200)),
        asyncio.create_task(load([mesh.vms[2]], ARCHIVE, RECORDS_PER_S, DEADLINE_MS)),
    ]
    await asyncio.sleep(2.0)
    for _ in range(TIMES):
        if trouble:
            first.failing_share, are_leaving = FAILING_SHARE, True
            mesh.record.line(f"{first.id} fails; callers leave early")
        await asyncio.sleep(GREY_S)
        first.failing_share, are_leaving = 0.0, False
        mesh.record.line("no target fails and no caller leaves from here")
        await asyncio.sleep(GAP_S)
    # Planned work: the other target is emptied and taken away.
    if not await second.leave():
        raise CannotRun("the leaving target got no acknowledgement")
    mesh.record.line(f"{second.id} has left; {first.id} stays and is healthy")
    left_s = time.monotonic()
    await asyncio.sleep(AFTERWARDS_S)
    until_s = time.monotonic()
    for loader in loaders:
        loader.cancel()
    await asyncio.gather(*tasks)

    def served(path: str, from_s: float) -> float:
        asked = [
            a
            for a in callers.attempts
            if path in (a.route, "") and from_s <= a.sent_s < until_s
        ]
        return sum(a.status == 200 for a in asked) / max(1, len(asked))

    state = await mesh.vms[2].dump()
    mesh.record.line(
        f"idle now; the proxy beside {first.id} reports load {state['load']}, "
        f"gate {state['counts']['gate']}"
    )
    late, late_runs = served(ARCHIVE, left_s), sum(r.at_s >= left_s for r in first.runs)
    mesh.record.line(
        f"since the other target has left: archives served {late:.1%}, runs at the "
        f"healthy target: {late_runs}"
    )
    archives, levels = served(ARCHIVE, 0.0), served(LEVEL, 0.0)
    everything = served("", 0.0)
    mesh.record.line(
        f"whole run: archives served {archives:.1%}, levels {levels:.1%}, all "
        f"{everything:.1%}; a quarter of that: {everything / 4:.1%}"
    )
    return BROKEN if archives < everything / 4 else HELD


main(case, __file__)
