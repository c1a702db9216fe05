"""Load pattern: downloads over narrow links keep an upstream's slots occupied.

The upstream hands a response to its gate within its service time, but the caller's
link takes several times as long. If the slot stays occupied until the caller has
everything, the upstream idles while its callers are refused.
"""

from __future__ import annotations

import random
from collections.abc import Iterator

import eventlet
import pytest

from jayswitch.clock import VirtualClock
from jayswitch.fleet.records import Upstream, UpstreamState
from jayswitch.gate import response_buffer
from jayswitch.gate.cold_rate_limiter import ColdRateLimiter
from jayswitch.gate.local_upstream import Heartbeat, LocalUpstream
from jayswitch.gate.upstream_gate import UpstreamGate
from jayswitch.membership.member import Member
from jayswitch.platform.headers import platform_headers
from jayswitch.proxy.exceptions import ResponseTruncated
from jayswitch.proxy.link_pacer import LinkPacer
from jayswitch.proxy.outcome import Answered, ForwardedRequest, OutcomeUnknown
from jayswitch.routing.balancer import Balancer

SLOTS = 3
SERVICE_MS = 100.0
TRANSFER_MS = 300.0
BODY = b"x" * 90_000
OBJECTIVE_MS = 1000.0
# Four fifths of what the upstream can serve.
REQUESTS_PER_S = 0.8 * SLOTS * 1000.0 / SERVICE_MS
REQUESTS = 200
# Half of these are more than a link of 4 Mbit/s can carry.
NARROW_DOWNLOADS_PER_S = 14.0


class DownloadExchange:
    """A response with a body that is available at once."""

    def __init__(self, request_id: str, body: bytes, length: int) -> None:
        """Takes the body and the length that the head announces."""
        self.status = 200
        self.headers = [
            ("Request-Id", request_id),
            ("Server-Signature", "s"),
            ("Content-Length", str(length)),
        ]
        self.closed = False
        self.is_reused = False
        self._body = body
        self._length = length

    def read(self) -> Iterator[bytes]:
        """Yields the body; raises if it is shorter than announced."""
        yield self._body
        if len(self._body) < self._length:
            raise ResponseTruncated("the connection ended")

    def read_all(self, max_bytes: int) -> bytes:
        """Returns the body."""
        return b"".join(self.read())

    def close(self) -> None:
        """Records that the exchange is closed."""
        self.closed = True


class DownloadUpstream:
    """Responds to each request after the service time."""

    def __init__(self, clock: VirtualClock) -> None:
        """Serves complete bodies at first."""
        self.body = BODY
        self._clock = clock

    def send(self, address: str, method: str, target: str, headers, body) -> object:
        """Returns the response to one request."""
        self._clock.sleep_ms(SERVICE_MS)
        request_id = dict(headers)["Request-Id"]
        return DownloadExchange(request_id, self.body, len(BODY))

    def forget(self, address: str) -> None:
        """Does nothing."""


class Downloads:
    """Callers that download over narrow links through one gate."""

    def __init__(self) -> None:
        """Starts a gate in front of one upstream."""
        self.clock = clock = VirtualClock()
        local = LocalUpstream("archive", 1e9, clock, lambda ms: None)
        upstream = Upstream("i-1", 1, "archive", "v1", SLOTS, UpstreamState.READY)
        local.handle_heartbeat(Heartbeat(upstream, 0.0))
        self.upstream = DownloadUpstream(clock)
        self.gate = UpstreamGate(
            "a:1",
            local,
            ColdRateLimiter(clock),
            self.upstream,  # type: ignore[arg-type]
            platform_headers(),
            clock,
        )
        self.gate.resize()
        self.outcomes: list[object] = []

    def request(self, number: int) -> ForwardedRequest:
        """Returns a request with its deadlines."""
        headers = [("Request-Id", str(number))]
        request = ForwardedRequest(str(number), "GET", "/x", headers, b"", None)
        now_ms = self.clock.now_ms()
        request.service, request.rank = "archive", 2
        request.objective_ms = now_ms + OBJECTIVE_MS
        request.deadline_ms = now_ms + 4 * OBJECTIVE_MS
        return request

    def download(self, number: int) -> None:
        """Runs one request and reads its response slowly."""
        outcome = self.gate.run(self.request(number))
        if isinstance(outcome, Answered):
            for _ in outcome.body:
                self.clock.sleep_ms(TRANSFER_MS)
            outcome.close()
        self.outcomes.append(outcome)

    def run(self, count: int) -> None:
        """Starts requests at a constant rate and waits for all of them."""
        for number in range(count):
            eventlet.spawn(self.download, number)
            self.clock.sleep_ms(1000.0 / REQUESTS_PER_S)
        self.clock.sleep_ms(10_000)


class TestSlowReaders:
    """A slot is free once the upstream has handed over its response."""

    def test_all_requests_within_the_upstreams_capacity_are_served(self) -> None:
        downloads = Downloads()
        downloads.run(REQUESTS)
        served = sum(isinstance(o, Answered) for o in downloads.outcomes)
        assert served == REQUESTS

    def test_slots_and_memory_are_freed(self) -> None:
        downloads = Downloads()
        downloads.run(20)
        assert downloads.gate.slots.running == 0
        assert downloads.gate.buffer.bytes_held == 0
        assert downloads.gate.load.waiting == 0

    def test_truncated_response_is_not_answered(self) -> None:
        downloads = Downloads()
        downloads.upstream.body = BODY[:100]
        downloads.run(5)
        assert all(isinstance(o, OutcomeUnknown) for o in downloads.outcomes)
        assert downloads.gate.slots.running == 0

    def test_responses_beyond_the_memory_limit_are_passed_on_as_they_arrive(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(response_buffer, "MAX_HELD_BYTES", 2 * len(BODY))
        downloads = Downloads()
        outcomes = [downloads.gate.run(downloads.request(n)) for n in range(3)]
        assert downloads.gate.slots.running == 1
        for outcome in outcomes:
            assert isinstance(outcome, Answered)
            assert b"".join(outcome.body) == BODY
            outcome.close()
        assert downloads.gate.slots.running == 0
        assert downloads.gate.buffer.bytes_held == 0


class TestLinksOfUnequalWidth:
    """Downloads go where the link is free, not only where slots are."""

    def test_downloads_are_in_time_beside_a_narrow_link(self) -> None:
        gates_by_node = {name: Downloads() for name in ("narrow", "wide")}
        clock = VirtualClock()
        pacer_by_node = {
            "narrow": LinkPacer(4.0, clock),
            "wide": LinkPacer(50.0, clock),
        }
        balancer = Balancer("a", "r", clock, random.Random(1))
        members = [_member(name) for name in gates_by_node]
        elapsed_ms: list[float] = []

        def download(number: int) -> None:
            started_ms = clock.now_ms()
            member = balancer.choose(members, ())
            assert member is not None
            downloads = gates_by_node[member.node]
            outcome = downloads.gate.run(downloads.request(number))
            load = downloads.gate.load
            in_flight = load.running + load.waiting
            balancer.report(member.node, in_flight, load.limit, load.service_ms)
            if isinstance(outcome, Answered):
                for _ in pacer_by_node[member.node].pace(outcome.body, len(BODY)):
                    continue
                outcome.close()
                elapsed_ms.append(clock.now_ms() - started_ms)

        for number in range(REQUESTS):
            eventlet.spawn(download, number)
            clock.sleep_ms(1000.0 / NARROW_DOWNLOADS_PER_S)
        clock.sleep_ms(10_000)
        in_time = sum(ms <= OBJECTIVE_MS for ms in elapsed_ms)
        assert in_time >= 0.95 * REQUESTS


def _member(name: str) -> Member:
    return Member(
        node=name,
        data_centre="a",
        region="r",
        data_address=name,
        control_address="",
        admin_address="",
        service="archive",
        version="v1",
        state="up",
        slots=SLOTS,
        since_ms=0,
    )
