"""Takes requests of callers on this VM and answers each with what is known."""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from typing import TYPE_CHECKING, Any

import msgspec

from jayswitch.clock import MS_PER_S
from jayswitch.exceptions import JayswitchError
from jayswitch.http.status_lines import status_line
from jayswitch.proxy import reasons
from jayswitch.proxy.exceptions import AnswerCut, CallerGone, MalformedRequest
from jayswitch.proxy.hangup import HangupWatch
from jayswitch.proxy.headers import find, forwardable
from jayswitch.proxy.outcome import Answered, ForwardedRequest, NotRun, OutcomeUnknown
from jayswitch.proxy.protocol import CONNECTION_VARIABLE, TARGET_VARIABLE
from jayswitch.proxy.wsgi_request import (
    answer_headers,
    close_connection,
    raw_headers,
    read_body,
    send_answer,
)

if TYPE_CHECKING:
    from jayswitch.catalog.model import Catalog
    from jayswitch.clock import Clock
    from jayswitch.proxy.attempts import AttemptRunner
    from jayswitch.proxy.headers import HeaderNames
    from jayswitch.proxy.outcome import AttemptOutcome
    from jayswitch.proxy.wsgi_request import StartResponse

STATUS_NOT_FOUND = 404
STATUS_HEADERS_TOO_LARGE = 431
STATUS_CALLER_GONE = 499
STATUS_BAD_GATEWAY = 502
STATUS_UNAVAILABLE = 503
STATUS_TIMEOUT = 504
STARTING_RETRY_MS = 500.0
REQUEST_VARIABLE = "jayswitch.request"

logger = logging.getLogger(__name__)


class CallerOutcome(msgspec.Struct):
    """What is told to a caller in place of an upstream's answer."""

    status: int
    reason: str
    retry_after_ms: float = 0.0


class OutboundApplication:
    """Routes the requests of callers; one task serves each connection."""

    def __init__(
        self,
        vm: str,
        caller_service: str,
        runner: AttemptRunner,
        names: HeaderNames,
        clock: Clock,
    ) -> None:
        """Takes the service on whose behalf callers on this VM send requests."""
        self.catalog: Catalog | None = None
        self.draining = False
        self.refusing = False
        # Requests that may last longer than this are refused.
        self.ends_ms = float("inf")
        self.in_flight = 0
        self.counts: Counter[str] = Counter()
        self.on_answer: Callable[[int, float], None] = lambda status, elapsed_ms: None
        self.last_request_ms = float("-inf")
        self._vm = vm
        self._caller_service = caller_service
        self._runner = runner
        self._names = names
        self._dropped = names.set_by_proxies()
        self._clock = clock

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Serves one request of a caller."""
        self.in_flight += 1
        started_ms = self.last_request_ms = self._clock.now_ms()
        if self.draining:
            close_connection(environ)
        watch = HangupWatch(environ[CONNECTION_VARIABLE].connection)
        try:
            outcome = self._serve(environ, watch, started_ms)
        except MalformedRequest as error:
            close_connection(environ)
            outcome = CallerOutcome(error.status, error.cause)
        except CallerGone:
            close_connection(environ)
            outcome = CallerOutcome(STATUS_CALLER_GONE, "the caller has left")
        except BaseException:
            self._finish(watch)
            raise
        self._log(environ, outcome, started_ms)
        if isinstance(outcome, Answered):
            return self._answer(outcome, environ, start_response, watch)
        self._finish(watch)
        return self._tell(outcome, start_response)

    def _finish(self, watch: HangupWatch) -> None:
        watch.stop()
        self.in_flight -= 1

    def _serve(
        self, environ: dict[str, Any], watch: HangupWatch, started_ms: float
    ) -> Answered | CallerOutcome:
        catalog = self.catalog
        if catalog is None or self.refusing:
            close_connection(environ)
            reason = reasons.STOPPING if self.refusing else reasons.STARTING
            return CallerOutcome(STATUS_UNAVAILABLE, reason, STARTING_RETRY_MS)
        headers = raw_headers(environ)
        self._check_size(headers, catalog)
        target = environ[TARGET_VARIABLE]
        host = find(headers, "Host") or ""
        route = catalog.route_for(_host_name(host), target.partition("?")[0])
        if route is None:
            return CallerOutcome(STATUS_NOT_FOUND, f"no route of {host} matches")
        body, length = read_body(environ, catalog.limits.body_bytes)
        request = ForwardedRequest(
            find(headers, self._names.request_id) or "",
            environ["REQUEST_METHOD"],
            target,
            forwardable(headers, self._dropped),
            body,
            length,
        )
        left = find(headers, self._names.time_left_ms) or ""
        timeout_ms = route.timeout_ms
        if left.isdigit():
            timeout_ms = min(timeout_ms, float(left))
        request.deadline_ms = started_ms + timeout_ms
        request.objective_ms = started_ms + route.objective_ms
        request.repeatable = route.kind.repeatable
        request.rank = route.rank
        request.caller_service = self._caller_service
        request.origin_vm = self._vm
        if request.deadline_ms > self.ends_ms:
            close_connection(environ)
            return CallerOutcome(
                STATUS_UNAVAILABLE, reasons.STOPPING, STARTING_RETRY_MS
            )
        if request.can_be_sent_again:
            watch.start()
        outcome = self._judge(self._runner.run(request, route))
        environ[REQUEST_VARIABLE] = request
        return outcome

    def _check_size(self, headers: list[tuple[str, str]], catalog: Catalog) -> None:
        size = sum(len(name) + len(value) + 4 for name, value in headers)
        if size > catalog.limits.header_bytes:
            raise MalformedRequest(
                "the headers are too large", STATUS_HEADERS_TOO_LARGE
            )

    def _judge(self, outcome: AttemptOutcome) -> Answered | CallerOutcome:
        """Returns what the caller is told; 503 only if the request has not run."""
        if isinstance(outcome, Answered):
            return outcome
        if isinstance(outcome, NotRun):
            return CallerOutcome(
                STATUS_UNAVAILABLE, outcome.reason, outcome.retry_after_ms
            )
        assert isinstance(outcome, OutcomeUnknown)
        status = STATUS_TIMEOUT if outcome.timed_out else STATUS_BAD_GATEWAY
        return CallerOutcome(status, outcome.reason)

    def _answer(
        self,
        answer: Answered,
        environ: dict[str, Any],
        start_response: StartResponse,
        watch: HangupWatch,
    ) -> Iterator[bytes]:
        headers = answer_headers(answer.headers)
        try:
            yield from send_answer(answer, environ, headers, start_response)
        except (AnswerCut, JayswitchError) as error:
            self.counts["answers_cut"] += 1
            logger.warning(
                "answer cut",
                extra={
                    "request_id": find(answer.headers, self._names.request_id),
                    "reason": str(error),
                },
            )
            raise
        finally:
            answer.close()
            self._finish(watch)

    def _tell(
        self, outcome: CallerOutcome, start_response: StartResponse
    ) -> Iterable[bytes]:
        body = msgspec.json.encode(outcome)
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(body))),
        ]
        if outcome.status == STATUS_UNAVAILABLE:
            seconds = max(1.0, outcome.retry_after_ms) / MS_PER_S
            headers.append(("Retry-After", f"{seconds:.3f}"))
        start_response(status_line(outcome.status), headers)
        return [body]

    def _log(
        self,
        environ: dict[str, Any],
        outcome: Answered | CallerOutcome,
        started_ms: float,
    ) -> None:
        elapsed_ms = self._clock.now_ms() - started_ms
        self.counts[str(outcome.status)] += 1
        self.on_answer(outcome.status, elapsed_ms)
        request_id = find(raw_headers(environ), self._names.request_id)
        fields = {
            "request_id": request_id,
            "status": outcome.status,
            "elapsed_ms": round(elapsed_ms),
            "config": self.catalog.version if self.catalog else 0,
        }
        request = environ.get(REQUEST_VARIABLE)
        if request is not None:
            fields["to_vm"] = request.last_vm
            fields["service"] = request.service
            fields["route"] = request.route
            fields["version"] = request.version
        if isinstance(outcome, Answered) and outcome.load is not None:
            fields["load"] = outcome.load.encode()
        if isinstance(outcome, CallerOutcome):
            fields["reason"] = outcome.reason
            fields["retry_after_ms"] = round(outcome.retry_after_ms)
        logger.info("request answered", extra=fields)


def _host_name(host: str) -> str:
    """Returns the host without its port, as routes name it."""
    name, colon, port = host.rpartition(":")
    return (name if colon and port.isdigit() else host).lower()
