"""Protocol between two proxies: transfers requests, routing decisions and outcomes."""

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
    ExchangeFailed,
    MalformedRequest,
    RequestNotSent,
    ResponseTruncated,
)
from jayswitch.proxy.headers import (
    HOP_OUTCOME,
    HOP_REQUEST,
    INTERNAL_PREFIX,
    find_header,
)
from jayswitch.proxy.outcome import (
    Answered,
    ForwardedRequest,
    LoadReport,
    NotRun,
    OutcomeUnknown,
)
from jayswitch.rollout.trial import RouteAverages

if TYPE_CHECKING:
    from jayswitch.clock import Clock
    from jayswitch.fleet.revision_exchange import RevisionExchange
    from jayswitch.proxy.headers import HeaderNames
    from jayswitch.proxy.http_client import Exchange, HttpClient
    from jayswitch.proxy.outcome import AttemptOutcome, Headers

UNREACHABLE_RETRY_MS = 300.0
# Proxies reuse connections to each other after long idle times, as their servers
# never close idle connections.
HOP_KEEP_ALIVE = ("Keep-Alive", "timeout=30")
MAX_REASON_LENGTH = 200


class HopRequest(msgspec.Struct, omit_defaults=True):
    """Routing decisions of the sending proxy, sent in a header of the request.

    objective_ms is the time left until the target latency is exceeded; known holds the
    newest store revisions that the sender has seen; usual holds the proved version's
    averages on the route.
    """

    service: str
    version: str
    route: str
    sender: str
    known: str
    usual: RouteAverages
    objective_ms: float = 0.0
    rank: int = 0
    repeatable: bool = False
    has_alternatives: bool = False


class HopOutcomeKind(Enum):
    """Result of a request at the proxy that is local to the upstream."""

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    TIMED_OUT = "timed-out"


class HopOutcome(msgspec.Struct, omit_defaults=True):
    """Outcome that a proxy reports to the sender along with the response."""

    kind: HopOutcomeKind
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
    """Returns the headers for forwarding a request to another proxy."""
    now_ms = clock.now_ms()
    hop = HopRequest(
        service=request.service,
        version=request.version,
        route=request.route,
        sender=request.origin_vm,
        known=known,
        usual=request.proved_averages,
        objective_ms=round(request.objective_ms - now_ms),
        rank=request.rank,
        repeatable=request.repeatable,
        has_alternatives=request.has_alternatives,
    )
    headers = list(request.headers)
    headers.append((HOP_REQUEST, _encode_header(hop)))
    headers.append((names.time_left_ms, str(int(request.deadline_ms - now_ms))))
    headers.append((names.caller_service, request.caller_service))
    if request.body_length is not None:
        headers.append(("Content-Length", str(request.body_length)))
    return headers


def read_hop_request(headers: Headers) -> HopRequest:
    """Decodes the routing decisions; raises MalformedRequest if they are invalid."""
    text = find_header(headers, HOP_REQUEST) or ""
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
    """Builds the request that another proxy has sent, without its body."""
    now_ms = clock.now_ms()
    forwarded_headers = _without_hop_headers(headers, names)
    request_id = find_header(headers, names.request_id) or ""
    request = ForwardedRequest(request_id, method, target, forwarded_headers, b"", None)
    request.service = hop.service
    request.version = hop.version
    request.repeatable = hop.repeatable
    request.has_alternatives = hop.has_alternatives
    request.rank = hop.rank
    request.route = hop.route
    request.proved_averages = hop.usual
    request.origin_vm = hop.sender
    request.objective_ms = now_ms + hop.objective_ms
    request.deadline_ms = now_ms + _parse_int_header(headers, names.time_left_ms)
    request.caller_service = find_header(headers, names.caller_service) or ""
    return request


def outcome_headers(outcome: AttemptOutcome, known: str) -> Headers:
    """Returns the headers that report an outcome to the sending proxy."""
    hop_outcome = HopOutcome(HopOutcomeKind.ANSWERED, known, load=outcome.load)
    if isinstance(outcome, NotRun):
        hop_outcome.kind = HopOutcomeKind.NOT_RUN
        hop_outcome.reason = outcome.reason[:MAX_REASON_LENGTH]
        hop_outcome.retry_after_ms = outcome.retry_after_ms
        hop_outcome.reached_upstream = outcome.reached_upstream
    elif isinstance(outcome, OutcomeUnknown):
        hop_outcome.kind = (
            HopOutcomeKind.TIMED_OUT if outcome.timed_out else HopOutcomeKind.UNKNOWN
        )
        hop_outcome.reason = outcome.reason[:MAX_REASON_LENGTH]
    return [(HOP_OUTCOME, _encode_header(hop_outcome)), HOP_KEEP_ALIVE]


class HopClient:
    """Sends requests to the proxies of other VMs."""

    def __init__(
        self,
        client: HttpClient,
        revision_exchange: RevisionExchange,
        names: HeaderNames,
        clock: Clock,
    ) -> None:
        """Takes the HTTP client that pools the connections to other proxies."""
        self._client = client
        self._revision_exchange = revision_exchange
        self._names = names
        self._clock = clock

    def send(
        self, address: str, request: ForwardedRequest, wait_ms: float
    ) -> AttemptOutcome:
        """Sends a request to a proxy and waits for its outcome."""
        timeout = eventlet.Timeout(max(1.0, wait_ms) / MS_PER_S)
        exchange = None
        try:
            exchange = self._client.send(
                address,
                request.method,
                request.target,
                hop_headers(
                    request,
                    self._revision_exchange.header_value(),
                    self._names,
                    self._clock,
                ),
                request.body or None,
            )
            return self._read_outcome(address, request, exchange)
        except RequestNotSent:
            return NotRun(reasons.PROXY_UNREACHABLE, UNREACHABLE_RETRY_MS)
        except (ExchangeFailed, ResponseTruncated) as error:
            return OutcomeUnknown(error.cause)
        except eventlet.Timeout as expired:
            if exchange is not None:
                exchange.close()
            if expired is not timeout:
                raise
            return OutcomeUnknown("no answer came in time", timed_out=True)
        finally:
            timeout.cancel()

    def _read_outcome(
        self, address: str, request: ForwardedRequest, exchange: Exchange
    ) -> AttemptOutcome:
        try:
            text = find_header(exchange.headers, HOP_OUTCOME) or ""
            hop_outcome = _outcome_decoder.decode(text.encode("latin-1"))
        except msgspec.MsgspecError:
            exchange.close()
            return OutcomeUnknown(f"the proxy answered {exchange.status} by itself")
        self._revision_exchange.compare(hop_outcome.known, address)
        if hop_outcome.kind is HopOutcomeKind.ANSWERED:
            return self._accept_response(request, exchange, hop_outcome.load)
        try:
            for _ in exchange.read():
                continue
        finally:
            exchange.close()
        if hop_outcome.kind is HopOutcomeKind.NOT_RUN:
            return NotRun(
                hop_outcome.reason,
                hop_outcome.retry_after_ms,
                hop_outcome.reached_upstream,
                hop_outcome.load,
            )
        return OutcomeUnknown(
            hop_outcome.reason,
            hop_outcome.kind is HopOutcomeKind.TIMED_OUT,
            hop_outcome.load,
        )

    def _accept_response(
        self, request: ForwardedRequest, exchange: Exchange, load: LoadReport | None
    ) -> AttemptOutcome:
        echoed = find_header(exchange.headers, self._names.request_id)
        if echoed != request.request_id:
            exchange.close()
            return OutcomeUnknown("the answer is another request's", load=load)
        close: Callable[[], None] = exchange.close
        return Answered(exchange.status, exchange.headers, exchange.read(), close, load)


def _encode_header(message: HopRequest | HopOutcome) -> str:
    """Returns the message as JSON, in which CR and LF are escaped."""
    return msgspec.json.encode(message).decode("latin-1")


def _without_hop_headers(headers: Headers, names: HeaderNames) -> Headers:
    dropped = names.set_by_proxies()
    return [
        (name, value)
        for name, value in headers
        if name.lower() not in dropped
        and not name.lower().startswith(INTERNAL_PREFIX)
        and is_end_to_end(name)
    ]


def _parse_int_header(headers: Headers, name: str) -> int:
    text = find_header(headers, name) or "0"
    return int(text) if text.lstrip("-").isdigit() else 0
