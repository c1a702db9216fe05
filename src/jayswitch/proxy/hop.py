"""The hop between two proxies: how a request and its decisions are carried."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

import eventlet

from jayswitch.clock import MS_PER_S
from jayswitch.http.headers import end_to_end
from jayswitch.proxy import reasons
from jayswitch.proxy.exceptions import ExchangeBroken, NotSent
from jayswitch.proxy.headers import (
    HOP_FROM,
    HOP_KIND,
    HOP_KNOWN,
    HOP_LOAD,
    HOP_OBJECTIVE_MS,
    HOP_OUTCOME,
    HOP_RANK,
    HOP_REASON,
    HOP_ROUTE,
    HOP_SENT,
    HOP_SERVICE,
    HOP_USUAL,
    HOP_VERSION,
    INTERNAL_PREFIX,
    ONCE,
    REPEATABLE,
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

OUTCOME_ANSWERED = "answered"
OUTCOME_NOT_RUN = "not-run"
OUTCOME_UNKNOWN = "unknown"
OUTCOME_TIMED_OUT = "timed-out"
UNREACHED_RETRY_MS = 300.0
# Connections between proxies are kept for long: their servers never end idle ones.
HOP_IDLE_S = 30
LONGEST_REASON = 200


def hop_headers(
    request: ForwardedRequest, names: HeaderNames, clock: Clock
) -> list[tuple[str, str]]:
    """Returns a request's headers with its decisions, for another proxy."""
    now_ms = clock.now_ms()
    headers = list(request.headers)
    headers += [
        (HOP_SERVICE, request.service),
        (HOP_VERSION, request.version),
        (HOP_KIND, REPEATABLE if request.repeatable else ONCE),
        (HOP_RANK, str(request.rank)),
        (HOP_OBJECTIVE_MS, str(int(request.objective_ms - now_ms))),
        (HOP_ROUTE, request.route),
        (HOP_USUAL, request.usual.encode()),
        (HOP_FROM, request.origin_vm),
        (names.time_left_ms, str(int(request.deadline_ms - now_ms))),
        (names.caller_service, request.caller_service),
    ]
    if request.body_length is not None:
        headers.append(("Content-Length", str(request.body_length)))
    return headers


def request_from_hop(
    method: str,
    target: str,
    headers: Headers,
    names: HeaderNames,
    clock: Clock,
) -> ForwardedRequest:
    """Returns the request that another proxy has sent, without its body."""
    now_ms = clock.now_ms()
    kept = _without_hop_headers(headers, names)
    request_id = find(headers, names.request_id) or ""
    request = ForwardedRequest(request_id, method, target, kept, b"", None)
    request.service = find(headers, HOP_SERVICE) or ""
    request.version = find(headers, HOP_VERSION) or ""
    request.repeatable = find(headers, HOP_KIND) == REPEATABLE
    request.rank = _number(headers, HOP_RANK)
    request.objective_ms = now_ms + _number(headers, HOP_OBJECTIVE_MS)
    request.deadline_ms = now_ms + _number(headers, names.time_left_ms)
    request.caller_service = find(headers, names.caller_service) or ""
    request.origin_vm = find(headers, HOP_FROM) or ""
    request.route = find(headers, HOP_ROUTE) or ""
    request.usual = Usual.from_text(find(headers, HOP_USUAL))
    return request


def outcome_headers(outcome: AttemptOutcome) -> Headers:
    """Returns what a proxy tells the sender beside the upstream's answer."""
    headers: Headers = []
    if outcome.load is not None:
        headers.append((HOP_LOAD, outcome.load.encode()))
    if isinstance(outcome, Answered):
        headers.append((HOP_OUTCOME, OUTCOME_ANSWERED))
        headers.append(("Keep-Alive", f"timeout={HOP_IDLE_S}"))
        return headers
    headers.append((HOP_REASON, _header_text(outcome.reason)))
    headers.append(("Keep-Alive", f"timeout={HOP_IDLE_S}"))
    if isinstance(outcome, NotRun):
        headers.append((HOP_OUTCOME, OUTCOME_NOT_RUN))
        headers.append((HOP_SENT, str(int(outcome.reached_upstream))))
        headers.append(("Retry-After", f"{outcome.retry_after_ms / MS_PER_S:.3f}"))
        return headers
    unknown = OUTCOME_TIMED_OUT if outcome.timed_out else OUTCOME_UNKNOWN
    headers.append((HOP_OUTCOME, unknown))
    return headers


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
        try:
            exchange = self._client.send(
                address,
                request.method,
                request.target,
                self._headers(request),
                request.body or None,
            )
            self._knowledge.compare(find(exchange.headers, HOP_KNOWN))
            return self._outcome(request, exchange)
        except NotSent:
            return NotRun(reasons.PROXY_UNREACHED, UNREACHED_RETRY_MS)
        except ExchangeBroken as error:
            return OutcomeUnknown(error.cause)
        except eventlet.Timeout as expired:
            if expired is not timeout:
                raise
            return OutcomeUnknown("no answer came in time", timed_out=True)
        finally:
            timeout.cancel()

    def _headers(self, request: ForwardedRequest) -> Headers:
        headers = hop_headers(request, self._names, self._clock)
        headers.append((HOP_KNOWN, self._knowledge.describe()))
        return headers

    def _outcome(self, request: ForwardedRequest, exchange: Exchange) -> AttemptOutcome:
        load = LoadReport.from_text(find(exchange.headers, HOP_LOAD))
        outcome = find(exchange.headers, HOP_OUTCOME)
        reason = find(exchange.headers, HOP_REASON) or "no reason was given"
        if outcome == OUTCOME_ANSWERED:
            return self._answer(request, exchange, load)
        for _ in exchange.read():
            continue
        exchange.close()
        if outcome == OUTCOME_NOT_RUN:
            reached = find(exchange.headers, HOP_SENT) == "1"
            return NotRun(reason, _retry_after_ms(exchange.headers), reached, load)
        return OutcomeUnknown(reason, outcome == OUTCOME_TIMED_OUT, load)

    def _answer(
        self, request: ForwardedRequest, exchange: Exchange, load: LoadReport | None
    ) -> AttemptOutcome:
        echoed = find(exchange.headers, self._names.request_id)
        if echoed != request.request_id:
            exchange.close()
            return OutcomeUnknown("the answer is another request's", load=load)
        close: Callable[[], None] = exchange.close
        return Answered(exchange.status, exchange.headers, exchange.read(), close, load)


def _header_text(text: str) -> str:
    """Returns text that cannot end its header; it may quote an upstream's bytes."""
    printable = "".join(char if " " <= char <= "~" else " " for char in text)
    return printable[:LONGEST_REASON].strip()


def _without_hop_headers(headers: Headers, names: HeaderNames) -> Headers:
    dropped = names.set_by_proxies()
    return [
        (name, value)
        for name, value in headers
        if name.lower() not in dropped
        and not name.lower().startswith(INTERNAL_PREFIX)
        and end_to_end(name)
    ]


def _number(headers: Headers, name: str) -> int:
    text = find(headers, name) or "0"
    return int(text) if text.lstrip("-").isdigit() else 0


def _retry_after_ms(headers: Headers) -> float:
    try:
        return float(find(headers, "Retry-After") or 0) * MS_PER_S
    except ValueError:
        return UNREACHED_RETRY_MS
