"""Serves the requests of callers on this VM."""

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
from jayswitch.proxy.disconnect import DisconnectWatcher
from jayswitch.proxy.exceptions import (
    CallerDisconnected,
    MalformedRequest,
    ResponseTruncated,
)
from jayswitch.proxy.headers import find_header, forwardable_headers
from jayswitch.proxy.outcome import Answered, ForwardedRequest, NotRun, OutcomeUnknown
from jayswitch.proxy.protocol import CONNECTION_VARIABLE, TARGET_VARIABLE
from jayswitch.proxy.wsgi_request import (
    close_connection,
    raw_headers,
    read_body,
    response_headers,
    send_response,
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
STATUS_CALLER_DISCONNECTED = 499
STATUS_BAD_GATEWAY = 502
STATUS_UNAVAILABLE = 503
STATUS_TIMEOUT = 504
STOPPING_RETRY_MS = 500.0
# A starting proxy gets its configuration from relays in less than this.
STARTING_RETRY_MS = 250.0
REQUEST_VARIABLE = "jayswitch.request"

logger = logging.getLogger(__name__)


class ErrorResponse(msgspec.Struct):
    """Response to a caller if no upstream response is available."""

    status: int
    reason: str
    retry_after_ms: float = 0.0


class OutboundApplication:
    """Routes the requests of callers; each connection is served by one green thread."""

    def __init__(
        self,
        vm: str,
        caller_service: str,
        runner: AttemptRunner,
        names: HeaderNames,
        clock: Clock,
    ) -> None:
        """Takes the service that the callers on this VM belong to."""
        self.catalog: Catalog | None = None
        self.draining = False
        self.refusing = False
        # Requests with a later deadline are refused.
        self.latest_deadline_ms = float("inf")
        self.in_flight = 0
        self.counts: Counter[str] = Counter()
        self.on_response: Callable[[int, float], None] = lambda status, elapsed_ms: None
        self.last_request_ms = float("-inf")
        self._vm = vm
        self._caller_service = caller_service
        self._runner = runner
        self._names = names
        self._removed_headers = names.set_by_proxies()
        self._clock = clock

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Serves one request from a caller."""
        self.in_flight += 1
        started_ms = self.last_request_ms = self._clock.now_ms()
        if self.draining:
            close_connection(environ)
        watcher = DisconnectWatcher(environ[CONNECTION_VARIABLE].connection)
        try:
            outcome = self._serve(environ, watcher, started_ms)
        except MalformedRequest as error:
            close_connection(environ)
            outcome = ErrorResponse(error.status, error.cause)
        except CallerDisconnected:
            close_connection(environ)
            outcome = ErrorResponse(
                STATUS_CALLER_DISCONNECTED, "the caller closed the connection"
            )
        except BaseException:
            self._end_request(watcher)
            raise
        self._log_request(environ, outcome, started_ms)
        if isinstance(outcome, Answered):
            return self._send_response(outcome, environ, start_response, watcher)
        self._end_request(watcher)
        return self._send_error(outcome, start_response)

    def _end_request(self, watcher: DisconnectWatcher) -> None:
        watcher.stop()
        self.in_flight -= 1

    def _serve(
        self, environ: dict[str, Any], watcher: DisconnectWatcher, started_ms: float
    ) -> Answered | ErrorResponse:
        catalog = self.catalog
        if catalog is None or self.refusing:
            close_connection(environ)
            if self.refusing:
                return _unavailable(reasons.STOPPING, STOPPING_RETRY_MS)
            return _unavailable(reasons.STARTING, STARTING_RETRY_MS)
        headers = raw_headers(environ)
        self._check_header_size(headers, catalog)
        target = environ[TARGET_VARIABLE]
        host = find_header(headers, "Host") or ""
        route = catalog.route_for(_host_name(host), target.partition("?")[0])
        if route is None:
            return ErrorResponse(STATUS_NOT_FOUND, f"no route of {host} matches")
        body, length = read_body(environ, catalog.limits.body_bytes)
        request = ForwardedRequest(
            find_header(headers, self._names.request_id) or "",
            environ["REQUEST_METHOD"],
            target,
            forwardable_headers(headers, self._removed_headers),
            body,
            length,
        )
        time_left = find_header(headers, self._names.time_left_ms) or ""
        timeout_ms = route.timeout_ms
        if time_left.isdigit():
            timeout_ms = min(timeout_ms, float(time_left))
        request.deadline_ms = started_ms + timeout_ms
        request.objective_ms = started_ms + route.objective_ms
        request.repeatable = route.kind.repeatable
        request.rank = route.rank
        request.caller_service = self._caller_service
        request.origin_vm = self._vm
        if request.deadline_ms > self.latest_deadline_ms:
            close_connection(environ)
            return _unavailable(reasons.STOPPING, STOPPING_RETRY_MS)
        if request.is_replayable:
            watcher.start()
        outcome = self._to_caller_response(self._runner.run(request, route))
        environ[REQUEST_VARIABLE] = request
        return outcome

    def _check_header_size(
        self, headers: list[tuple[str, str]], catalog: Catalog
    ) -> None:
        size = sum(len(name) + len(value) + 4 for name, value in headers)
        if size > catalog.limits.header_bytes:
            raise MalformedRequest(
                "the headers are too large", STATUS_HEADERS_TOO_LARGE
            )

    def _to_caller_response(self, outcome: AttemptOutcome) -> Answered | ErrorResponse:
        """Maps an outcome to a response; 503 only if the request has not run."""
        if isinstance(outcome, Answered):
            return outcome
        if isinstance(outcome, NotRun):
            return ErrorResponse(
                STATUS_UNAVAILABLE, outcome.reason, outcome.retry_after_ms
            )
        assert isinstance(outcome, OutcomeUnknown)
        status = STATUS_TIMEOUT if outcome.timed_out else STATUS_BAD_GATEWAY
        return ErrorResponse(status, outcome.reason)

    def _send_response(
        self,
        response: Answered,
        environ: dict[str, Any],
        start_response: StartResponse,
        watcher: DisconnectWatcher,
    ) -> Iterator[bytes]:
        headers = response_headers(response.headers)
        try:
            yield from send_response(response, environ, headers, start_response)
        except (ResponseTruncated, JayswitchError) as error:
            self.counts["answers_cut"] += 1
            logger.warning(
                "answer cut",
                extra={
                    "request_id": find_header(response.headers, self._names.request_id),
                    "reason": str(error),
                },
            )
            raise
        finally:
            response.close()
            self._end_request(watcher)

    def _send_error(
        self, outcome: ErrorResponse, start_response: StartResponse
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

    def _log_request(
        self,
        environ: dict[str, Any],
        outcome: Answered | ErrorResponse,
        started_ms: float,
    ) -> None:
        elapsed_ms = self._clock.now_ms() - started_ms
        self.counts[str(outcome.status)] += 1
        self.on_response(outcome.status, elapsed_ms)
        request_id = find_header(raw_headers(environ), self._names.request_id)
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
        if isinstance(outcome, ErrorResponse):
            fields["reason"] = outcome.reason
            fields["retry_after_ms"] = round(outcome.retry_after_ms)
        logger.info("request answered", extra=fields)


def _unavailable(reason: str, retry_after_ms: float) -> ErrorResponse:
    return ErrorResponse(STATUS_UNAVAILABLE, reason, retry_after_ms)


def _host_name(host: str) -> str:
    """Returns the host in lower case and without its port."""
    name, colon, port = host.rpartition(":")
    return (name if colon and port.isdigit() else host).lower()
