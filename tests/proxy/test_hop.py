"""Tests of the protocol between two proxies, without a network."""

from __future__ import annotations

from collections.abc import Iterator

import eventlet
import pytest

from jayswitch.clock import VirtualClock
from jayswitch.fleet.revision_exchange import RevisionExchange
from jayswitch.platform.headers import platform_headers
from jayswitch.proxy.exceptions import (
    MalformedRequest,
    RequestNotSent,
    ResponseTruncated,
)
from jayswitch.proxy.headers import HOP_OUTCOME, HOP_REQUEST
from jayswitch.proxy.hop import (
    HopClient,
    hop_headers,
    outcome_headers,
    read_hop_request,
    request_from_hop,
)
from jayswitch.proxy.outcome import (
    Answered,
    ForwardedRequest,
    Headers,
    LoadReport,
    NotRun,
    OutcomeUnknown,
)
from jayswitch.rollout.trial import RouteAverages

NAMES = platform_headers()
LOAD = LoadReport(3, 1, 6, 100.0)


def _request() -> ForwardedRequest:
    request = ForwardedRequest("id-1", "GET", "/a", [("Host", "h")], b"", None)
    request.service, request.version, request.route = "herdview", "v1", "read"
    request.repeatable, request.rank = True, 2
    request.proved_averages = RouteAverages(120.0, 0.1)
    request.deadline_ms, request.objective_ms = 2000.0, 500.0
    request.caller_service = "robotdesk"
    return request


class FakeExchange:
    """A response from another proxy."""

    def __init__(self, headers: Headers, body: Iterator[bytes] = iter(())) -> None:
        """Takes the headers and the body."""
        self.status = 503
        self.headers = headers
        self.closed = False
        self._body = body

    def read(self) -> Iterator[bytes]:
        """Returns the body."""
        return self._body

    def close(self) -> None:
        """Records the call."""
        self.closed = True


class FakeHttpClient:
    """Returns a given exchange or raises a given error for every request."""

    def __init__(self, result: FakeExchange | Exception) -> None:
        """Takes the result of every request."""
        self.result = result

    def send(self, *arguments: object) -> FakeExchange:
        """Returns or raises the result."""
        if isinstance(self.result, Exception):
            raise self.result
        return self.result


def _send(result: FakeExchange | Exception) -> object:
    client = HopClient(
        FakeHttpClient(result),  # type: ignore[arg-type]
        RevisionExchange([]),
        NAMES,
        VirtualClock(),
    )
    return client.send("a:1", _request(), 1000.0)


class TestHopRequest:
    """Routing decisions survive the transfer to another proxy."""

    def test_decisions_survive_encoding(self) -> None:
        clock = VirtualClock()
        headers = hop_headers(_request(), "7,9", NAMES, clock)
        hop = read_hop_request(headers)
        received = request_from_hop("GET", "/a", headers, hop, NAMES, clock)
        for name in (
            "service",
            "version",
            "route",
            "repeatable",
            "rank",
            "proved_averages",
        ):
            assert getattr(received, name) == getattr(_request(), name)
        assert (received.deadline_ms, received.objective_ms) == (2000.0, 500.0)
        assert received.caller_service == "robotdesk" and hop.known == "7,9"
        assert received.headers == [("Host", "h")]

    def test_request_without_decisions_is_malformed(self) -> None:
        for headers in ([], [(HOP_REQUEST, "{")]):
            with pytest.raises(MalformedRequest):
                read_hop_request(headers)


class TestHopOutcome:
    """The sender decodes the outcome that the other proxy reported."""

    def test_refusal_is_decoded_as_not_run(self) -> None:
        reported = NotRun("full", 80.0, True, LOAD)
        outcome = _send(FakeExchange(outcome_headers(reported, "")))
        assert isinstance(outcome, NotRun)
        assert (outcome.reason, outcome.retry_after_ms) == ("full", 80.0)
        assert outcome.reached_upstream and outcome.load == LOAD

    def test_unknown_outcome_is_decoded_as_unknown(self) -> None:
        reported = OutcomeUnknown("reset", True, LOAD)
        outcome = _send(FakeExchange(outcome_headers(reported, "")))
        assert isinstance(outcome, OutcomeUnknown) and outcome.timed_out

    def test_reason_cannot_break_out_of_the_header(self) -> None:
        reported = OutcomeUnknown("garbage\r\n\r\nHTTP/1.1 200 OK")
        (_, text), _ = outcome_headers(reported, "")
        assert "\r" not in text and "\n" not in text

    def test_unreachable_proxy_yields_not_run(self) -> None:
        assert isinstance(_send(RequestNotSent("a:1", "refused")), NotRun)

    def test_response_without_an_outcome_is_unknown(self) -> None:
        assert isinstance(_send(FakeExchange([])), OutcomeUnknown)
        assert isinstance(_send(FakeExchange([(HOP_OUTCOME, "[]")])), OutcomeUnknown)

    def test_truncated_refusal_is_unknown(self) -> None:
        def truncated() -> Iterator[bytes]:
            raise ResponseTruncated("reset")
            yield b""

        exchange = FakeExchange(outcome_headers(NotRun("full"), ""), truncated())
        assert isinstance(_send(exchange), OutcomeUnknown)
        assert exchange.closed

    def test_unresponsive_proxy_times_out_and_its_connection_is_closed(self) -> None:
        def stalled() -> Iterator[bytes]:
            eventlet.sleep(60)
            yield b""

        exchange = FakeExchange(outcome_headers(NotRun("full"), ""), stalled())
        outcome = _send(exchange)
        assert isinstance(outcome, OutcomeUnknown) and outcome.timed_out
        assert exchange.closed

    def test_response_to_another_request_is_rejected(self) -> None:
        reported = Answered(200, [], iter(()), lambda: None, LOAD)
        headers = outcome_headers(reported, "")
        headers.append((NAMES.request_id, "other"))
        assert isinstance(_send(FakeExchange(headers)), OutcomeUnknown)
