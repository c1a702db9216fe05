"""Prepares eventlet and nng; must be imported before any socket is made."""

from __future__ import annotations

import gc
import warnings

# pynng is imported first: its C threads take Python locks, which must be real.
import pynng

NNG_THREAD_LIMITS = {
    "NNG_INIT_NUM_TASK_THREADS": 2,
    "NNG_INIT_MAX_TASK_THREADS": 2,
    "NNG_INIT_NUM_EXPIRE_THREADS": 1,
    "NNG_INIT_MAX_EXPIRE_THREADS": 1,
    "NNG_INIT_NUM_POLLER_THREADS": 1,
    "NNG_INIT_MAX_POLLER_THREADS": 1,
    "NNG_INIT_NUM_RESOLVER_THREADS": 1,
}
GC_THRESHOLD_0 = 50_000
GC_THRESHOLD_1 = 20
GC_THRESHOLD_2 = 50

_prepared = False


def prepare() -> None:
    """Limits nng's threads and makes sockets and sleeps cooperative; idempotent.

    Locks stay those of the operating system: every task runs in one thread, and
    nng's threads call back into it.
    """
    global _prepared
    if _prepared:
        return
    for name, value in NNG_THREAD_LIMITS.items():
        parameter = getattr(pynng.lib, name)
        pynng.lib.nng_init_set_parameter(parameter, value)
    with warnings.catch_warnings():
        warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")
        import eventlet
    eventlet.monkey_patch(
        socket=True, select=True, time=True, os=False, thread=False, psycopg=False
    )
    _prepared = True


def settle_memory() -> None:
    """Exempts start-up objects from garbage collection and makes it rarer."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD_0, GC_THRESHOLD_1, GC_THRESHOLD_2)
