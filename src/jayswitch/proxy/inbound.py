"""Serves requests that other proxies forward to the upstream on this VM."""

from __future__ import annotations

import logging
from collections.abc import Iterable, Iterator
from typing import TYPE_CHECKING, Any

import msgspec

from jayswitch.feed.messages import FEED_PATH, FEED_REQUEST_HEADER, FeedRequest
from jayswitch.http.status_lines import status_line
from jayswitch.proxy import reasons
from jayswitch.proxy.disconnect import DisconnectWatcher
from jayswitch.proxy.exceptions import CallerDisconnected, MalformedRequest
from jayswitch.proxy.headers import find_header
from jayswitch.proxy.hop import (
    HOP_KEEP_ALIVE,
    outcome_headers,
    read_hop_request,
    request_from_hop,
)
from jayswitch.proxy.outcome import Answered, NotRun
from jayswitch.proxy.protocol import CONNECTION_VARIABLE, TARGET_VARIABLE
from jayswitch.proxy.wsgi_request import (
    close_connection,
    raw_headers,
    read_body,
    response_headers,
    send_response,
)

if TYPE_CHECKING:
    from jayswitch.clock import Clock
    from jayswitch.feed.server import FeedServer
    from jayswitch.fleet.revision_exchange import RevisionExchange
    from jayswitch.gate.upstream_gate import UpstreamGate
    from jayswitch.proxy.headers import HeaderNames
    from jayswitch.proxy.link_pacer import LinkPacer
    from jayswitch.proxy.outcome import AttemptOutcome, ForwardedRequest
    from jayswitch.proxy.wsgi_request import StartResponse

# The sending proxy has already enforced the configured body limit.
MAX_BODY_BYTES = 1 << 40
STOPPING_RETRY_MS = 200.0
STATUS_OK = 200
STATUS_CALLER_DISCONNECTED = 499
STATUS_BAD_REQUEST = 400
STATUS_UNAVAILABLE = 503

_feed_decoder = msgspec.json.Decoder(FeedRequest)

logger = logging.getLogger(__name__)


class InboundApplication:
    """Passes requests to the gate; responses carry the outcome in a header.

    Responses to malformed requests and to senders that disconnected carry none.
    """

    def __init__(
        self,
        gate: UpstreamGate,
        feeds: FeedServer,
        revision_exchange: RevisionExchange,
        names: HeaderNames,
        pacer: LinkPacer,
        clock: Clock,
    ) -> None:
        """Takes the gate that admits requests to the local upstream."""
        self.draining = False
        self.refusing = False
        # Requests with a later deadline are refused.
        self.latest_deadline_ms = float("inf")
        self.in_flight = 0
        self._gate = gate
        self._feeds = feeds
        self._revision_exchange = revision_exchange
        self._names = names
        self._pacer = pacer
        self._clock = clock

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Serves one request from another proxy."""
        if environ[TARGET_VARIABLE] == FEED_PATH:
            feed_header = find_header(raw_headers(environ), FEED_REQUEST_HEADER)
            if feed_header is not None:
                return self._serve_feed(feed_header, environ, start_response)
        if self.draining:
            close_connection(environ)
        self.in_flight += 1
        watcher = DisconnectWatcher(environ[CONNECTION_VARIABLE].connection)
        try:
            request = self._parse_request(environ)
            if self.refusing or request.deadline_ms > self.latest_deadline_ms:
                return self._send_outcome(
                    NotRun(reasons.STOPPING, STOPPING_RETRY_MS), start_response, watcher
                )
            if request.is_replayable:
                watcher.start()
            outcome = self._gate.run(request)
        except CallerDisconnected:
            return self._send_status_and_close(
                environ, start_response, STATUS_CALLER_DISCONNECTED, watcher
            )
        except MalformedRequest:
            return self._send_status_and_close(
                environ, start_response, STATUS_BAD_REQUEST, watcher
            )
        except BaseException:
            self._end_request(watcher)
            raise
        if isinstance(outcome, Answered):
            return self._send_response(outcome, environ, start_response, watcher)
        return self._send_outcome(outcome, start_response, watcher)

    def _serve_feed(
        self, feed_header: str, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Serves a feed request, which is not counted as in flight during shutdown."""
        body = b""
        status = STATUS_UNAVAILABLE
        if self.draining:
            close_connection(environ)
        else:
            try:
                request = _feed_decoder.decode(feed_header.encode("latin-1"))
            except msgspec.MsgspecError as error:
                logger.warning(
                    "cannot decode feed request", extra={"reason": str(error)}
                )
                status = STATUS_BAD_REQUEST
            else:
                response = self._feeds.respond(request)
                if response is not None:
                    status, body = STATUS_OK, msgspec.msgpack.encode(response)
        headers = [("Content-Length", str(len(body))), HOP_KEEP_ALIVE]
        start_response(status_line(status), headers)
        return [body]

    def _end_request(self, watcher: DisconnectWatcher) -> None:
        watcher.stop()
        self.in_flight -= 1

    def _parse_request(self, environ: dict[str, Any]) -> ForwardedRequest:
        headers = raw_headers(environ)
        hop = read_hop_request(headers)
        self._revision_exchange.compare_with_vm(hop.known, hop.sender)
        request = request_from_hop(
            environ["REQUEST_METHOD"],
            environ[TARGET_VARIABLE],
            headers,
            hop,
            self._names,
            self._clock,
        )
        request.body, request.body_length = read_body(environ, MAX_BODY_BYTES)
        return request

    def _send_response(
        self,
        outcome: Answered,
        environ: dict[str, Any],
        start_response: StartResponse,
        watcher: DisconnectWatcher,
    ) -> Iterator[bytes]:
        headers = response_headers(outcome.headers)
        headers += outcome_headers(outcome, self._revision_exchange.header_value())
        body = send_response(outcome, environ, headers, start_response)
        length = find_header(outcome.headers, "Content-Length")
        known_length = int(length) if length is not None and length.isdigit() else None
        try:
            yield from self._pacer.pace(body, known_length)
        finally:
            outcome.close()
            self._end_request(watcher)

    def _send_outcome(
        self,
        outcome: AttemptOutcome,
        start_response: StartResponse,
        watcher: DisconnectWatcher,
    ) -> Iterable[bytes]:
        self._end_request(watcher)
        headers = [
            *outcome_headers(outcome, self._revision_exchange.header_value()),
            ("Content-Length", "0"),
        ]
        start_response(status_line(STATUS_UNAVAILABLE), headers)
        return [b""]

    def _send_status_and_close(
        self,
        environ: dict[str, Any],
        start_response: StartResponse,
        status: int,
        watcher: DisconnectWatcher,
    ) -> Iterable[bytes]:
        self._end_request(watcher)
        close_connection(environ)
        start_response(status_line(status), [("Content-Length", "0")])
        return [b""]
