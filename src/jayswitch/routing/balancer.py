"""Load balancing: local upstream, nearest data centre, then the better of two."""

from __future__ import annotations

import random
from functools import partial
from hashlib import blake2b
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection

    from jayswitch.clock import Clock
    from jayswitch.membership.member import Member

LOAD_REPORT_TTL_MS = 2000.0
FAILURE_PENALTY_MS = 1000.0
# The penalty doubles with each consecutive failure up to this one, to 16 s.
MAX_COUNTED_FAILURES = 5
SATURATED = 1.0
# The upstream on this VM saves a hop. It is preferred while its score is below the
# first value and its service time is at most the second value times that of the
# fastest upstream in its data centre.
MAX_LOCAL_SCORE = 0.6
MAX_LOCAL_SLOWDOWN = 1.6


class UpstreamLoad:
    """Load of one upstream as observed by this node."""

    __slots__ = (
        "failures_in_row",
        "limit",
        "outstanding",
        "penalty_until_ms",
        "reported_in_flight",
        "reported_ms",
        "service_ms",
    )

    def __init__(self) -> None:
        """Starts without a load report."""
        self.failures_in_row = 0
        self.outstanding = 0
        self.limit = 0
        self.service_ms = 0.0
        self.reported_in_flight = 0
        self.reported_ms = float("-inf")
        self.penalty_until_ms = float("-inf")


class Balancer:
    """Tracks the load of upstreams by node and chooses among candidates."""

    def __init__(
        self,
        data_centre: str,
        region: str,
        clock: Clock,
        rng: random.Random,
        local_node: str = "",
    ) -> None:
        """Takes this node's location; local_node makes it prefer its own upstream."""
        self._local_node = local_node
        self.load_by_node: dict[str, UpstreamLoad] = {}
        self._data_centre = data_centre
        self._region = region
        self._clock = clock
        self._random = rng

    def choose(
        self, candidates: list[Member], excluded: Collection[str], key: str = ""
    ) -> Member | None:
        """Returns the upstream for one attempt, or None if all are excluded.

        With an idempotency key the choice depends only on the key, so that a
        repeated request reaches the gate that handled the first one.
        """
        remaining = [m for m in candidates if m.node not in excluded]
        if not remaining:
            return None
        if key:
            return max(remaining, key=partial(_rendezvous_weight, key))
        tiers = self._tiers(remaining)
        now_ms = self._clock.now_ms()
        local = self._preferred_local(tiers[0], now_ms)
        if local is not None:
            return local
        for tier in tiers:
            available = [m for m in tier if not self._is_penalized(m, now_ms)]
            best = self._less_loaded_of_two(available) if available else tier[0]
            if available and self.score(best) < SATURATED:
                return best
        return min((self._less_loaded_of_two(tier) for tier in tiers), key=self.score)

    def _preferred_local(self, near: list[Member], now_ms: float) -> Member | None:
        local = next((m for m in near if m.node == self._local_node), None)
        if local is None or self._is_penalized(local, now_ms):
            return None
        if self.score(local) >= MAX_LOCAL_SCORE:
            return None
        known = [self._load(m.node).service_ms for m in near]
        fastest_ms = min((ms for ms in known if ms > 0), default=0.0)
        slow = self._load(local.node).service_ms > fastest_ms * MAX_LOCAL_SLOWDOWN
        return None if fastest_ms > 0 and slow else local

    def score(self, member: Member) -> float:
        """Returns the estimated utilisation of an upstream's limit.

        While the upstream is penalised, the score is above SATURATED and grows with
        the rest of the penalty.
        """
        load = self._load(member.node)
        now_ms = self._clock.now_ms()
        if now_ms < load.penalty_until_ms:
            return SATURATED + (load.penalty_until_ms - now_ms)
        in_flight = load.outstanding
        limit = member.slots
        if now_ms - load.reported_ms < LOAD_REPORT_TTL_MS:
            in_flight = max(in_flight, load.reported_in_flight)
            limit = load.limit
        return in_flight / max(1, limit)

    def start(self, node: str) -> None:
        """Counts a call sent to an upstream's gate."""
        self._load(node).outstanding += 1

    def finish(self, node: str) -> None:
        """Counts a completed call."""
        load = self._load(node)
        load.outstanding = max(0, load.outstanding - 1)

    def report(
        self, node: str, in_flight: int, limit: int, service_ms: float = 0.0
    ) -> None:
        """Records the load that a gate reports with an outcome."""
        load = self._load(node)
        load.service_ms = service_ms
        load.reported_in_flight = in_flight
        load.limit = limit
        load.reported_ms = self._clock.now_ms()
        load.failures_in_row = 0

    def penalize(self, node: str, duration_ms: float) -> None:
        """Avoids an upstream for a time if there is another one."""
        self._load(node).penalty_until_ms = self._clock.now_ms() + duration_ms

    def suspect(self, node: str) -> None:
        """Avoids an upstream that did not respond, with exponential backoff."""
        load = self._load(node)
        load.failures_in_row += 1
        doublings = min(load.failures_in_row, MAX_COUNTED_FAILURES) - 1
        self.penalize(node, FAILURE_PENALTY_MS * 2**doublings)

    def is_suspected(self, node: str) -> bool:
        """Returns whether the latest attempt at an upstream got no response."""
        return self._load(node).failures_in_row > 0

    def forget(self, node: str) -> None:
        """Removes the load of an upstream that is gone."""
        self.load_by_node.pop(node, None)

    def _is_penalized(self, member: Member, now_ms: float) -> bool:
        return now_ms < self._load(member.node).penalty_until_ms

    def _load(self, node: str) -> UpstreamLoad:
        load = self.load_by_node.get(node)
        if load is None:
            load = self.load_by_node[node] = UpstreamLoad()
        return load

    def _tiers(self, members: list[Member]) -> list[list[Member]]:
        near, region, far = [], [], []
        for member in members:
            if member.data_centre == self._data_centre:
                near.append(member)
            elif member.region == self._region:
                region.append(member)
            else:
                far.append(member)
        return [tier for tier in (near, region, far) if tier]

    def _less_loaded_of_two(self, members: list[Member]) -> Member:
        first = self._random.choice(members)
        if len(members) == 1:
            return first
        second = self._random.choice(members)
        return first if self.score(first) <= self.score(second) else second


def _rendezvous_weight(key: str, member: Member) -> bytes:
    return blake2b(f"{key}\0{member.node}".encode(), digest_size=8).digest()


def split_point_for_key(key: str) -> float:
    """Returns a value from 0 to 100 that depends only on the key."""
    digest = blake2b(key.encode(), digest_size=4).digest()
    return int.from_bytes(digest) / 2**32 * 100
