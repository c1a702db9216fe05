"""Open-loop load generator: calls start on schedule, however long earlier ones take.

Runs as a separate process and prints its results as one line of JSON.
"""

from __future__ import annotations

from jayswitch import runtime

runtime.prepare()

import base64  # noqa: E402
import json  # noqa: E402
import random  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402
from collections import Counter  # noqa: E402

import eventlet  # noqa: E402
import urllib3  # noqa: E402
from hdrh.histogram import HdrHistogram  # noqa: E402

LOWEST_US = 1
HIGHEST_US = 60_000_000
SIGNIFICANT_DIGITS = 3
TIMEOUT_S = 10.0
US_PER_S = 1e6


class LoadGenerator:
    """Poisson arrivals of calls at a mean rate, spread over addresses and paths."""

    def __init__(self, plan: dict) -> None:
        """Takes a plan with addresses, paths, rate, seconds, write_share and seed."""
        self.histogram = HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)
        self.outcomes: Counter[str] = Counter()
        self.wrong: list[str] = []
        self.not_run_ids: list[str] = []
        self.answered_s: list[float] = []
        self.failed_s: list[float] = []
        self.versions: Counter[str] = Counter()
        self.version_s: list[tuple[float, str]] = []
        self._plan = plan
        self._random = random.Random(plan["seed"])
        self._http = urllib3.PoolManager(num_pools=512, maxsize=256, retries=False)
        self._pool = eventlet.GreenPool(5000)

    def run(self) -> dict:
        """Makes all calls and returns their counts and the encoded histogram."""
        rate = self._plan["rate"]
        start = time.monotonic()
        end = start + self._plan["seconds"]
        due = start
        number = 0
        while due < end:
            delay = due - time.monotonic()
            eventlet.sleep(max(0.0, delay))
            self._pool.spawn_n(self._call, number, due)
            number += 1
            due += self._random.expovariate(rate)
        self._pool.waitall()
        return {
            "calls": number,
            "outcomes": dict(self.outcomes),
            "wrong": self.wrong[:20],
            "wrong_count": len(self.wrong),
            "histogram": base64.b64encode(self.histogram.encode()).decode(),
            "answered_s": self.answered_s,
            "failed_s": self.failed_s,
            "version_s": self.version_s,
        }

    def _call(self, number: int, due: float) -> None:
        address = self._random.choice(self._plan["addresses"])
        read, write = self._random.choice(self._plan["paths"])
        is_write = self._random.random() < self._plan["write_share"]
        method, prefix = ("POST", write) if is_write else ("GET", read)
        try:
            response = self._http.request(
                method,
                f"{address}{prefix}/{number}",
                body=b"x" * 64 if is_write else None,
                timeout=TIMEOUT_S,
                retries=False,
            )
        except (urllib3.exceptions.HTTPError, OSError) as error:
            self.outcomes["lost"] += 1
            self.failed_s.append(time.time())
            self.wrong.append(f"{method} {address}: {error}")
            return
        self.histogram.record_value(int((time.monotonic() - due) * US_PER_S))
        self._record_response(response, prefix)

    def _record_response(self, response: urllib3.BaseHTTPResponse, prefix: str) -> None:
        outcome = response.headers.get("X-Jayswitch-Outcome", "direct")
        self.outcomes[f"{outcome}-{response.status}"] += 1
        now = time.time()
        if response.status == 200:
            self.answered_s.append(now)
            if prefix in self._plan["paths"][0]:
                version = response.headers.get("X-Version", "")
                self.version_s.append((now, version))
        else:
            self.failed_s.append(now)
        request_id = response.headers.get("X-Request-Id", "")
        if outcome == "answered" and request_id.encode() not in response.data:
            self.wrong.append(f"the answer to another request than {request_id}")


def main() -> None:
    """Runs the plan given as JSON in the first argument and prints the results."""
    runtime.tune_garbage_collection()
    print(json.dumps(LoadGenerator(json.loads(sys.argv[1])).run()))


if __name__ == "__main__":
    main()
