"""Takes requests of other proxies for the upstream on this VM."""

from __future__ import annotations

import logging
from collections.abc import Iterable, Iterator
from typing import TYPE_CHECKING, Any

import msgspec

from jayswitch.feed.messages import FEED_REQUEST, FEED_TARGET, FeedRequest
from jayswitch.http.status_lines import status_line
from jayswitch.proxy import reasons
from jayswitch.proxy.exceptions import CallerGone, MalformedRequest
from jayswitch.proxy.hangup import HangupWatch
from jayswitch.proxy.headers import find
from jayswitch.proxy.hop import (
    HOP_KEEP_ALIVE,
    outcome_headers,
    read_hop_request,
    request_from_hop,
)
from jayswitch.proxy.outcome import Answered, NotRun
from jayswitch.proxy.protocol import CONNECTION_VARIABLE, TARGET_VARIABLE
from jayswitch.proxy.wsgi_request import (
    answer_headers,
    close_connection,
    raw_headers,
    read_body,
    send_answer,
)

if TYPE_CHECKING:
    from jayswitch.clock import Clock
    from jayswitch.feed.server import FeedServer
    from jayswitch.fleet.knowledge import Knowledge
    from jayswitch.gate.upstream_gate import UpstreamGate
    from jayswitch.proxy.headers import HeaderNames
    from jayswitch.proxy.outcome import AttemptOutcome, ForwardedRequest
    from jayswitch.proxy.wsgi_request import StartResponse

# The sending proxy has checked the caller's limits already.
MAX_BODY_BYTES = 1 << 40
STOPPING_RETRY_MS = 200.0
STATUS_OK = 200
STATUS_CALLER_GONE = 499
STATUS_BAD_REQUEST = 400
STATUS_NOT_ANSWERED = 503

_feed_decoder = msgspec.json.Decoder(FeedRequest)

logger = logging.getLogger(__name__)


class InboundApplication:
    """Passes requests to the gate; every answer says what became of the request."""

    def __init__(
        self,
        gate: UpstreamGate,
        feeds: FeedServer,
        knowledge: Knowledge,
        names: HeaderNames,
        clock: Clock,
    ) -> None:
        """Takes the gate in front of the upstream."""
        self.draining = False
        self.refusing = False
        # Requests that may last longer than this are refused.
        self.ends_ms = float("inf")
        self.in_flight = 0
        self._gate = gate
        self._feeds = feeds
        self._knowledge = knowledge
        self._names = names
        self._clock = clock

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Serves one request of another proxy."""
        if environ[TARGET_VARIABLE] == FEED_TARGET:
            wanted = find(raw_headers(environ), FEED_REQUEST)
            if wanted is not None:
                return self._feed(wanted, environ, start_response)
        if self.draining:
            close_connection(environ)
        self.in_flight += 1
        watch = HangupWatch(environ[CONNECTION_VARIABLE].connection)
        try:
            request = self._read(environ)
            if self.refusing or request.deadline_ms > self.ends_ms:
                return self._tell(
                    NotRun(reasons.STOPPING, STOPPING_RETRY_MS), start_response, watch
                )
            if request.can_be_sent_again:
                watch.start()
            outcome = self._gate.run(request)
        except CallerGone:
            return self._end(environ, start_response, STATUS_CALLER_GONE, watch)
        except MalformedRequest:
            return self._end(environ, start_response, STATUS_BAD_REQUEST, watch)
        except BaseException:
            self._finish(watch)
            raise
        if isinstance(outcome, Answered):
            return self._answer(outcome, environ, start_response, watch)
        return self._tell(outcome, start_response, watch)

    def _feed(
        self, wanted: str, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Serves a feed; the stop of this process does not wait for it."""
        body = b""
        status = STATUS_NOT_ANSWERED
        if self.draining:
            close_connection(environ)
        else:
            try:
                request = _feed_decoder.decode(wanted.encode("latin-1"))
            except msgspec.MsgspecError as error:
                logger.warning("feed request unreadable", extra={"reason": str(error)})
                status = STATUS_BAD_REQUEST
            else:
                answer = self._feeds.answer(request)
                if answer is not None:
                    status, body = STATUS_OK, msgspec.msgpack.encode(answer)
        headers = [("Content-Length", str(len(body))), HOP_KEEP_ALIVE]
        start_response(status_line(status), headers)
        return [body]

    def _finish(self, watch: HangupWatch) -> None:
        watch.stop()
        self.in_flight -= 1

    def _read(self, environ: dict[str, Any]) -> ForwardedRequest:
        headers = raw_headers(environ)
        hop = read_hop_request(headers)
        self._knowledge.compare_with_vm(hop.known, hop.sender)
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

    def _answer(
        self,
        outcome: Answered,
        environ: dict[str, Any],
        start_response: StartResponse,
        watch: HangupWatch,
    ) -> Iterator[bytes]:
        headers = answer_headers(outcome.headers)
        headers += outcome_headers(outcome, self._knowledge.describe())
        body = send_answer(outcome, environ, headers, start_response)
        try:
            yield from body
        finally:
            outcome.close()
            self._finish(watch)

    def _tell(
        self,
        outcome: AttemptOutcome,
        start_response: StartResponse,
        watch: HangupWatch,
    ) -> Iterable[bytes]:
        self._finish(watch)
        headers = [
            *outcome_headers(outcome, self._knowledge.describe()),
            ("Content-Length", "0"),
        ]
        start_response(status_line(STATUS_NOT_ANSWERED), headers)
        return [b""]

    def _end(
        self,
        environ: dict[str, Any],
        start_response: StartResponse,
        status: int,
        watch: HangupWatch,
    ) -> Iterable[bytes]:
        self._finish(watch)
        close_connection(environ)
        start_response(status_line(status), [("Content-Length", "0")])
        return [b""]
