"""Gate of a node, which gets calls as messages from routers.

Only the gate sends calls to the node's upstream. The gate of a proxy, which forwards
HTTP requests, is in upstream_gate.py.
"""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Callable
from typing import TYPE_CHECKING, TypeAlias

import eventlet
from eventlet.event import Event
from greenlet import GreenletExit, greenlet
from returns.result import Failure, Success

from jayswitch.clock import MS_PER_S
from jayswitch.gate.admission import AdmissionQueue
from jayswitch.gate.concurrency_limiter import ConcurrencyLimiter
from jayswitch.gate.exceptions import (
    IncompleteUpstreamResponse,
    UpstreamFailure,
    UpstreamShed,
    UpstreamUnreachable,
)
from jayswitch.gate.reasons import (
    REASON_CANCELLED,
    REASON_DEADLINE,
    REASON_FULL,
    REASON_LEAVING,
    REASON_NO_UPSTREAM,
    REASON_OTHER_VERSION,
    REASON_OUT,
    REASON_REFUSED_BEFORE,
)
from jayswitch.gate.request_states import (
    AnswerCache,
    KeyedAnswer,
    RequestState,
    RequestStateStore,
)
from jayswitch.messages.generated import Answer, Call, Cancel, Chunk, Refusal, Unknown

if TYPE_CHECKING:
    from jayswitch.clock import Clock
    from jayswitch.gate.upstream import (
        Announcement,
        UpstreamClient,
        UpstreamResponse,
    )

MAX_WAIT_MS = 150.0
FULL_RETRY_AFTER_MS = 50
LEAVING_RETRY_AFTER_MS = 1000
SERVICE_TIME_WEIGHT = 0.1
CHUNK_WINDOW = 8
CHUNK_IDLE_TIMEOUT_MS = 30_000.0
ANNOUNCEMENT_TTL_MS = 3500.0
STATUS_SERVER_ERROR = 500

Reply: TypeAlias = Answer | Chunk | Refusal | Unknown
SendReply = Callable[[Reply], None]
OutcomeListener = Callable[[Call, bool, float | None], None]

logger = logging.getLogger(__name__)


class ChunkStream:
    """Flow control state for the chunks of one streamed answer."""

    __slots__ = ("credit_limit", "changed", "cancelled")

    def __init__(self) -> None:
        """Grants credit for the initial window, counted in chunks."""
        self.credit_limit = CHUNK_WINDOW
        self.cancelled = False
        self.changed = Event()

    def wake(self) -> None:
        """Wakes the sending task after the credit has changed."""
        changed, self.changed = self.changed, Event()
        changed.send(None)


class Gate:
    """Admits calls within the limit and runs each request at most once."""

    def __init__(self, client: UpstreamClient, warm_up_ms: float, clock: Clock) -> None:
        """Starts without an upstream until one announces itself."""
        self.announcement: Announcement | None = None
        self.announced_since_ms = 0
        self.out_of_service = False
        self.draining = False
        self.counts: Counter[str] = Counter()
        self.request_states = RequestStateStore(clock)
        self.limiter = ConcurrencyLimiter(1, warm_up_ms, clock)
        self.admission = AdmissionQueue(lambda: self.limiter.limit)
        self.on_outcome: OutcomeListener = lambda call, failed, latency_ms: None
        self._answers = AnswerCache(clock)
        self._client = client
        self._warm_up_ms = warm_up_ms
        self._clock = clock
        self._last_announced_ms = float("-inf")
        self._service_ms = 0.0
        self._stream_by_id: dict[str, ChunkStream] = {}
        self._task_by_id: dict[str, greenlet] = {}

    # Upstream state

    def announce(self, announcement: Announcement) -> bool:
        """Processes an announcement; returns whether it changed anything."""
        previous = self.announcement
        self._last_announced_ms = self._clock.now_ms()
        if announcement == previous:
            return False
        self.announcement = announcement
        if previous is None or _identity(previous) != _identity(announcement):
            self.announced_since_ms = self._clock.wall_ms()
            self.limiter = ConcurrencyLimiter(
                announcement.slots, self._warm_up_ms, self._clock
            )
        return True

    def expire_announcement(self) -> bool:
        """Drops an upstream whose announcement has expired; returns whether it did."""
        silent_ms = self._clock.now_ms() - self._last_announced_ms
        if self.announcement is None or silent_ms <= ANNOUNCEMENT_TTL_MS:
            return False
        self.announcement = None
        self.counts["upstream_silences"] += 1
        return True

    def set_out_of_service(self, out: bool) -> None:
        """Applies the data centre's state; a return to service restarts the ramp."""
        if self.out_of_service and not out:
            self.limiter.restart_ramp()
        self.out_of_service = out

    @property
    def accepts(self) -> bool:
        """Returns whether the gate accepts new calls."""
        announced = self.announcement is not None and not self.announcement.leaving
        return announced and not self.out_of_service and not self.draining

    # Calls

    def handle(self, call: Call, send: SendReply) -> None:
        """Runs or refuses a call; sends exactly one outcome and then any chunks.

        A duplicate message is dropped without an outcome, unless the call was
        refused; then it is refused again.
        """
        state = self.request_states.state_of(call.id)
        if state is RequestState.REFUSED:
            self._refuse(call, REASON_REFUSED_BEFORE, 0, send)
            return
        if state is not None:
            self.counts["duplicates_dropped"] += 1
            return
        if self.request_states.state_of(call.request_id) is RequestState.HANDED_OVER:
            send(Unknown(id=call.id, reason="handed over in an earlier attempt"))
            return
        reason = self._refusal_reason(call)
        if reason:
            self._refuse(call, reason, LEAVING_RETRY_AFTER_MS, send)
            return
        if call.key:
            self._handle_keyed(call, send)
            return
        self._admit(call, send)

    def cancel(self, message: Cancel, send: SendReply) -> None:
        """Cancels a call and reports whether it may have run."""
        state = self.request_states.state_of(message.id)
        self.counts["cancellations"] += 1
        if state is RequestState.HANDED_OVER:
            task = self._task_by_id.get(message.id)
            if task is not None:
                eventlet.kill(task)
            send(Unknown(id=message.id, reason="cancelled after it was handed over"))
            return
        self.request_states.record(message.id, RequestState.REFUSED)
        send(Refusal(id=message.id, reason=REASON_CANCELLED))

    def credit(self, call_id: str, up_to: int) -> None:
        """Allows an answer's chunks with sequence numbers below up_to to be sent."""
        stream = self._stream_by_id.get(call_id)
        if stream is not None and up_to > stream.credit_limit:
            stream.credit_limit = up_to
            stream.wake()

    def _refusal_reason(self, call: Call) -> str:
        announced = self.announcement
        if announced is None:
            return REASON_NO_UPSTREAM
        if announced.leaving or self.draining:
            return REASON_LEAVING
        if self.out_of_service:
            return REASON_OUT
        if (announced.service, announced.version) != (call.service, call.version):
            return REASON_OTHER_VERSION
        return ""

    def _handle_keyed(self, call: Call, send: SendReply) -> None:
        item = self._answers.find(call.key)
        if item is None:
            self._admit(call, send, self._answers.begin(call.key))
            return
        self.counts["keyed_repeats"] += 1
        with eventlet.Timeout(max(call.remaining_ms, 0) / MS_PER_S, False):
            item.done.wait()
        if item.answer is not None:
            send(_answer_for(call, item.answer))
        elif self._answers.find(call.key) is None:
            self._refuse(call, "the first request was not run", 0, send)
        else:
            send(Unknown(id=call.id, reason="the first request's outcome is unknown"))

    def _admit(
        self, call: Call, send: SendReply, keyed: KeyedAnswer | None = None
    ) -> None:
        arrived_ms = self._clock.now_ms()
        self.request_states.record(call.id, RequestState.WAITING)
        wait_ms = min(MAX_WAIT_MS, call.remaining_ms - self._service_ms)
        admitted = self.admission.acquire(call.priority, wait_ms)
        waited_ms = self._clock.now_ms() - arrived_ms
        reason = self._refusal_reason_after_wait(call, admitted, waited_ms)
        if reason:
            if admitted:
                self.admission.release(call.priority)
            if keyed is not None:
                self._answers.abandon(call.key, keyed)
            self._refuse(call, reason, FULL_RETRY_AFTER_MS, send)
            return
        self._task_by_id[call.id] = eventlet.getcurrent()
        try:
            self._run(call, call.remaining_ms - waited_ms, send, keyed)
        finally:
            self._task_by_id.pop(call.id, None)
            self.admission.release(call.priority)
            if keyed is not None and not keyed.done.ready():
                self._answers.finish(keyed, None)

    def _refusal_reason_after_wait(
        self, call: Call, admitted: bool, waited_ms: float
    ) -> str:
        if self.request_states.state_of(call.id) is RequestState.REFUSED:
            return REASON_CANCELLED
        if not admitted:
            return REASON_FULL
        if call.remaining_ms - waited_ms <= self._service_ms:
            return REASON_DEADLINE
        return self._refusal_reason(call)

    def _run(
        self,
        call: Call,
        remaining_ms: float,
        send: SendReply,
        keyed: KeyedAnswer | None,
    ) -> None:
        announced = self.announcement
        assert announced is not None
        self.request_states.record(call.id, RequestState.HANDED_OVER)
        if not call.idempotent:
            self.request_states.record(call.request_id, RequestState.HANDED_OVER)
        self.counts["handed_over"] += 1
        warming_up = self.limiter.is_warming_up
        started_ms = self._clock.now_ms()
        try:
            result = self._client.run(announced.address, call, remaining_ms)
        except GreenletExit:
            self._client.cancel(announced.address, call)
            self._record_failure(call, IncompleteUpstreamResponse("cancelled"))
            raise
        latency_ms = self._clock.now_ms() - started_ms
        match result:
            case Success(response):
                self._record_response(call, response, latency_ms, warming_up)
                self._send_answer(call, response, send, keyed)
            case Failure(error):
                self._record_failure(call, error)
                self._send_failure(call, error, send, keyed)

    # Outcomes

    def _record_response(
        self,
        call: Call,
        response: UpstreamResponse,
        latency_ms: float,
        warming_up: bool,
    ) -> None:
        failed = response.status >= STATUS_SERVER_ERROR
        self.on_outcome(call, failed, None if warming_up else latency_ms)
        self.limiter.on_status(failed)
        if failed:
            self.counts["upstream_errors"] += 1
            return
        self._service_ms += (latency_ms - self._service_ms) * SERVICE_TIME_WEIGHT
        self.limiter.on_success(call.route, latency_ms, self.admission.in_flight)

    def _record_failure(self, call: Call, error: UpstreamFailure) -> None:
        self.counts[error.code] += 1
        self.limiter.on_overload()
        if isinstance(error, IncompleteUpstreamResponse):
            self.on_outcome(call, True, None)

    def _send_failure(
        self,
        call: Call,
        error: UpstreamFailure,
        send: SendReply,
        keyed: KeyedAnswer | None,
    ) -> None:
        if isinstance(error, UpstreamShed | UpstreamUnreachable):
            if keyed is not None:
                self._answers.abandon(call.key, keyed)
            self._refuse(call, error.code, FULL_RETRY_AFTER_MS, send)
            return
        send(Unknown(id=call.id, reason=error.cause))

    def _send_answer(
        self,
        call: Call,
        response: UpstreamResponse,
        send: SendReply,
        keyed: KeyedAnswer | None,
    ) -> None:
        message = Answer(
            id=call.id,
            status=response.status,
            headers=response.headers,
            body=response.body,
            more=response.rest is not None,
            in_flight=self.admission.in_flight - 1,
            limit=self.limiter.limit,
        )
        self.counts["answered"] += 1
        if keyed is not None:
            whole = message if response.rest is None else None
            self._answers.finish(keyed, whole)
        if response.rest is None:
            send(message)
            return
        stream = self._stream_by_id[call.id] = ChunkStream()
        send(message)
        try:
            self._send_chunks(call, response, stream, send)
        finally:
            del self._stream_by_id[call.id]

    def _send_chunks(
        self,
        call: Call,
        response: UpstreamResponse,
        stream: ChunkStream,
        send: SendReply,
    ) -> None:
        assert response.rest is not None
        seq = 0
        try:
            for data in response.rest:
                if not self._wait_for_credit(stream, seq):
                    raise IncompleteUpstreamResponse("the entry node stopped reading")
                send(Chunk(id=call.id, seq=seq, data=data))
                seq += 1
        except IncompleteUpstreamResponse as error:
            self.counts["answers_cut"] += 1
            send(Chunk(id=call.id, seq=seq, data=b"", failed=error.cause))
            return
        send(Chunk(id=call.id, seq=seq, data=b"", last=True))

    def _wait_for_credit(self, stream: ChunkStream, seq: int) -> bool:
        until_ms = self._clock.now_ms() + CHUNK_IDLE_TIMEOUT_MS
        while seq >= stream.credit_limit and not stream.cancelled:
            left_ms = until_ms - self._clock.now_ms()
            if left_ms <= 0:
                return False
            with eventlet.Timeout(left_ms / MS_PER_S, False):
                stream.changed.wait()
        return not stream.cancelled

    def _refuse(
        self, call: Call, reason: str, retry_after_ms: int, send: SendReply
    ) -> None:
        self.counts["refused"] += 1
        self.request_states.record(call.id, RequestState.REFUSED)
        refusal = Refusal(
            id=call.id,
            reason=reason,
            retry_after_ms=retry_after_ms,
            in_flight=self.admission.in_flight,
            limit=self.limiter.limit,
        )
        send(refusal)


def _identity(announcement: Announcement) -> tuple[str, str, str, int]:
    return (
        announcement.service,
        announcement.version,
        announcement.address,
        announcement.slots,
    )


def _answer_for(call: Call, answer: Answer) -> Answer:
    return Answer(
        id=call.id, status=answer.status, headers=answer.headers, body=answer.body
    )
