"""The hop between two proxies: how a request and its decisions are carried."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from typing import TYPE_CHECKING

import eventlet
import msgspec

from jayswitch.clock import MS_PER_S
from jayswitch.http.headers import is_end_to_end
from jayswitch.proxy import reasons
from jayswitch.proxy.exceptions import (
    AnswerCut,
    ExchangeBroken,
    MalformedRequest,
    NotSent,
)
from jayswitch.proxy.headers import (
    HOP_OUTCOME,
    HOP_REQUEST,
    INTERNAL_PREFIX,
    find,
)
from jayswitch.proxy.outcome import (
    Answered,
    ForwardedRequest,
    LoadReport,
    NotRun,
    OutcomeUnknown,
)
from jayswitch.rollout.trial import Usual

if TYPE_CHECKING:
    from jayswitch.clock import Clock
    from jayswitch.fleet.knowledge import Knowledge
    from jayswitch.proxy.headers import HeaderNames
    from jayswitch.proxy.http_client import Exchange, HttpClient
    from jayswitch.proxy.outcome import AttemptOutcome, Headers

UNREACHED_RETRY_MS = 300.0
# Connections between proxies are kept for long: their servers never end idle ones.
HOP_KEEP_ALIVE = ("Keep-Alive", "timeout=30")
LONGEST_REASON = 200


class HopRequest(msgspec.Struct, omit_defaults=True):
    """The decisions of a sending proxy, as they travel with a request.

    objective_ms is what is left; known is how far the sender has followed the store.
    """

    service: str
    version: str
    route: str
    sender: str
    known: str
    usual: Usual
    objective_ms: float = 0.0
    rank: int = 0
    repeatable: bool = False


class HopKind(Enum):
    """What became of a request at the proxy beside its upstream."""

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    TIMED_OUT = "timed-out"


class HopOutcome(msgspec.Struct, omit_defaults=True):
    """What a proxy tells a sender beside the upstream's answer."""

    kind: HopKind
    known: str = ""
    reason: str = ""
    retry_after_ms: float = 0.0
    reached_upstream: bool = False
    load: LoadReport | None = None


_request_decoder = msgspec.json.Decoder(HopRequest)
_outcome_decoder = msgspec.json.Decoder(HopOutcome)


def hop_headers(
    request: ForwardedRequest, known: str, names: HeaderNames, clock: Clock
) -> Headers:
    """Returns a request's headers with its decisions, for another proxy."""
    now_ms = clock.now_ms()
    hop = HopRequest(
        service=request.service,
        version=request.version,
        route=request.route,
        sender=request.origin_vm,
        known=known,
        usual=request.usual,
        objective_ms=round(request.objective_ms - now_ms),
        rank=request.rank,
        repeatable=request.repeatable,
    )
    headers = list(request.headers)
    headers.append((HOP_REQUEST, _header_text(hop)))
    headers.append((names.time_left_ms, str(int(request.deadline_ms - now_ms))))
    headers.append((names.caller_service, request.caller_service))
    if request.body_length is not None:
        headers.append(("Content-Length", str(request.body_length)))
    return headers


def read_hop_request(headers: Headers) -> HopRequest:
    """Returns the decisions in a request's headers; raises MalformedRequest."""
    text = find(headers, HOP_REQUEST) or ""
    try:
        return _request_decoder.decode(text.encode("latin-1"))
    except msgspec.MsgspecError as error:
        raise MalformedRequest(f"decisions of the sender: {error}") from error


def request_from_hop(
    method: str,
    target: str,
    headers: Headers,
    hop: HopRequest,
    names: HeaderNames,
    clock: Clock,
) -> ForwardedRequest:
    """Returns the request that another proxy has sent, without its body."""
    now_ms = clock.now_ms()
    kept = _without_hop_headers(headers, names)
    request_id = find(headers, names.request_id) or ""
    request = ForwardedRequest(request_id, method, target, kept, b"", None)
    request.service = hop.service
    request.version = hop.version
    request.repeatable = hop.repeatable
    request.rank = hop.rank
    request.route = hop.route
    request.usual = hop.usual
    request.origin_vm = hop.sender
    request.objective_ms = now_ms + hop.objective_ms
    request.deadline_ms = now_ms + _number(headers, names.time_left_ms)
    request.caller_service = find(headers, names.caller_service) or ""
    return request


def outcome_headers(outcome: AttemptOutcome, known: str) -> Headers:
    """Returns what a proxy tells the sender beside the upstream's answer."""
    told = HopOutcome(HopKind.ANSWERED, known, load=outcome.load)
    if isinstance(outcome, NotRun):
        told.kind = HopKind.NOT_RUN
        told.reason = outcome.reason[:LONGEST_REASON]
        told.retry_after_ms = outcome.retry_after_ms
        told.reached_upstream = outcome.reached_upstream
    elif isinstance(outcome, OutcomeUnknown):
        told.kind = HopKind.TIMED_OUT if outcome.timed_out else HopKind.UNKNOWN
        told.reason = outcome.reason[:LONGEST_REASON]
    return [(HOP_OUTCOME, _header_text(told)), HOP_KEEP_ALIVE]


class HopClient:
    """Sends requests to the proxies beside other upstreams."""

    def __init__(
        self,
        client: HttpClient,
        knowledge: Knowledge,
        names: HeaderNames,
        clock: Clock,
    ) -> None:
        """Takes the client that keeps the connections."""
        self._client = client
        self._knowledge = knowledge
        self._names = names
        self._clock = clock

    def send(
        self, address: str, request: ForwardedRequest, wait_ms: float
    ) -> AttemptOutcome:
        """Sends a request to a proxy and waits for what became of it."""
        timeout = eventlet.Timeout(max(1.0, wait_ms) / MS_PER_S)
        exchange = None
        try:
            exchange = self._client.send(
                address,
                request.method,
                request.target,
                hop_headers(
                    request, self._knowledge.describe(), self._names, self._clock
                ),
                request.body or None,
            )
            return self._outcome(address, request, exchange)
        except NotSent:
            return NotRun(reasons.PROXY_UNREACHED, UNREACHED_RETRY_MS)
        except (ExchangeBroken, AnswerCut) as error:
            return OutcomeUnknown(error.cause)
        except eventlet.Timeout as expired:
            if exchange is not None:
                exchange.close()
            if expired is not timeout:
                raise
            return OutcomeUnknown("no answer came in time", timed_out=True)
        finally:
            timeout.cancel()

    def _outcome(
        self, address: str, request: ForwardedRequest, exchange: Exchange
    ) -> AttemptOutcome:
        try:
            text = find(exchange.headers, HOP_OUTCOME) or ""
            told = _outcome_decoder.decode(text.encode("latin-1"))
        except msgspec.MsgspecError:
            exchange.close()
            return OutcomeUnknown(f"the proxy answered {exchange.status} by itself")
        self._knowledge.compare(told.known, address)
        if told.kind is HopKind.ANSWERED:
            return self._answer(request, exchange, told.load)
        try:
            for _ in exchange.read():
                continue
        finally:
            exchange.close()
        if told.kind is HopKind.NOT_RUN:
            return NotRun(
                told.reason, told.retry_after_ms, told.reached_upstream, told.load
            )
        return OutcomeUnknown(told.reason, told.kind is HopKind.TIMED_OUT, told.load)

    def _answer(
        self, request: ForwardedRequest, exchange: Exchange, load: LoadReport | None
    ) -> AttemptOutcome:
        echoed = find(exchange.headers, self._names.request_id)
        if echoed != request.request_id:
            exchange.close()
            return OutcomeUnknown("the answer is another request's", load=load)
        close: Callable[[], None] = exchange.close
        return Answered(exchange.status, exchange.headers, exchange.read(), close, load)


def _header_text(told: HopRequest | HopOutcome) -> str:
    """Returns JSON, in which no character can end the header."""
    return msgspec.json.encode(told).decode("latin-1")


def _without_hop_headers(headers: Headers, names: HeaderNames) -> Headers:
    dropped = names.set_by_proxies()
    return [
        (name, value)
        for name, value in headers
        if name.lower() not in dropped
        and not name.lower().startswith(INTERNAL_PREFIX)
        and is_end_to_end(name)
    ]


def _number(headers: Headers, name: str) -> int:
    text = find(headers, name) or "0"
    return int(text) if text.lstrip("-").isdigit() else 0
