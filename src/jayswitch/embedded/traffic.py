"""Light traffic for an embedded mesh, with a check of every response."""

from __future__ import annotations

import random
from collections import Counter
from typing import TYPE_CHECKING

import eventlet
import urllib3

from jayswitch.clock import MS_PER_S
from jayswitch.http.headers import OUTCOME_HEADER, REQUEST_ID_HEADER

if TYPE_CHECKING:
    from jayswitch.clock import Clock

CALL_TIMEOUT_MS = 10_000.0
READS_PER_WRITE = 4


class TrafficGenerator:
    """Calls nodes at a constant rate; each response must be complete and match."""

    def __init__(
        self,
        addresses: list[str],
        prefixes: list[tuple[str, str]],
        calls_per_s: float,
        clock: Clock,
    ) -> None:
        """Takes the addresses of nodes and pairs of read and write prefixes."""
        self.outcomes: Counter[str] = Counter()
        self.failures: list[str] = []
        self.started = 0
        self._addresses = addresses
        self._prefixes = prefixes
        self._interval_ms = MS_PER_S / calls_per_s
        self._clock = clock
        self._random = random.Random(7)
        self._http = urllib3.PoolManager(maxsize=16, retries=False)
        self._pool = eventlet.GreenPool(512)
        self._stopped = False

    def start(self) -> None:
        """Starts the task that makes the calls."""
        eventlet.spawn(self._run)

    def stop(self) -> None:
        """Stops making calls and waits for those in flight."""
        self._stopped = True
        self._pool.waitall()

    def _run(self) -> None:
        while not self._stopped:
            self._pool.spawn_n(self._call, self.started)
            self.started += 1
            self._clock.sleep_ms(self._interval_ms)

    def _call(self, number: int) -> None:
        address = self._random.choice(self._addresses)
        read_prefix, write_prefix = self._random.choice(self._prefixes)
        is_write = number % (READS_PER_WRITE + 1) == 0
        method, prefix = ("POST", write_prefix) if is_write else ("GET", read_prefix)
        try:
            response = self._http.request(
                method,
                f"{address}{prefix}/{number}",
                body=b"x" * 100 if is_write else None,
                timeout=CALL_TIMEOUT_MS / MS_PER_S,
                retries=False,
            )
        except (urllib3.exceptions.HTTPError, OSError) as error:
            self.outcomes["lost"] += 1
            self.failures.append(f"call {number} to {address}: {error}")
            return
        self._check(number, response)

    def _check(self, number: int, response: urllib3.BaseHTTPResponse) -> None:
        outcome = response.headers.get(OUTCOME_HEADER, "none")
        kind = f"{outcome}-{response.status}"
        self.outcomes[kind] += 1
        if outcome == "none":
            self.failures.append(
                f"call {number}: no outcome header, status {response.status}"
            )
        request_id = response.headers.get(REQUEST_ID_HEADER, "")
        if outcome == "answered" and request_id.encode() not in response.data:
            self.failures.append(f"call {number}: response belongs to another request")
