"""Sets up eventlet and nng; must run before any socket is created."""

from __future__ import annotations

import gc
import os
import warnings

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

# All addresses are IP addresses, and importing the resolver takes half of the
# start-up time.
NO_GREENDNS_VARIABLE = "EVENTLET_NO_GREENDNS"

_prepared = False


def prepare(nng: bool = True) -> None:
    """Limits nng's threads and patches sockets and sleep for eventlet; idempotent.

    Locks are not patched, because all tasks run in one thread and nng's own threads
    call back into it. Processes that do not use nng start faster without it.
    """
    global _prepared
    if _prepared:
        return
    os.environ.setdefault(NO_GREENDNS_VARIABLE, "yes")
    if nng:
        _limit_nng_threads()
    with warnings.catch_warnings():
        warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")
        import eventlet
    eventlet.monkey_patch(
        socket=True, select=True, time=True, os=False, thread=False, psycopg=False
    )
    # Registering a descriptor with poll needs no system call, unlike with epoll, and a
    # proxy has few descriptors to poll.
    from jayswitch.hub import LowWakeupHub

    eventlet.hubs.use_hub(LowWakeupHub)
    _prepared = True


def _limit_nng_threads() -> None:
    # Imported before monkey patching, because nng's threads acquire Python locks, which
    # must be those of the operating system.
    import pynng

    for name, value in NNG_THREAD_LIMITS.items():
        parameter = getattr(pynng.lib, name)
        pynng.lib.nng_init_set_parameter(parameter, value)


def tune_garbage_collection() -> None:
    """Exempts start-up objects from garbage collection and lowers its frequency."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD_0, GC_THRESHOLD_1, GC_THRESHOLD_2)
