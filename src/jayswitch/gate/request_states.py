"""State of recent requests at a gate, kept so that each runs at most once."""

from __future__ import annotations

from collections import OrderedDict
from enum import Enum
from typing import TYPE_CHECKING

from eventlet.event import Event

if TYPE_CHECKING:
    from jayswitch.clock import Clock
    from jayswitch.messages.generated import Answer

RETENTION_MS = 120_000.0
# Limit on the sum of all cached bodies; the oldest are evicted first.
MAX_CACHE_BYTES = 4 * 1024 * 1024


class RequestState(Enum):
    """State of a request, or of one attempt at it, at this gate."""

    WAITING = "waiting"
    HANDED_OVER = "handed-over"
    REFUSED = "refused"


class RequestStateEntry:
    """State and its time; what was refused is never handed to the upstream."""

    __slots__ = ("state", "recorded_ms")

    def __init__(self, state: RequestState, recorded_ms: float) -> None:
        """Takes the state and the time at which it was recorded."""
        self.state = state
        self.recorded_ms = recorded_ms


class RequestStateStore:
    """Keeps the states of requests and of their attempts for two minutes.

    Requests are stored by request id and attempts by call id.
    """

    def __init__(self, clock: Clock) -> None:
        """Starts empty."""
        self._clock = clock
        self._entry_by_id: OrderedDict[str, RequestStateEntry] = OrderedDict()

    def state_of(self, request_id: str) -> RequestState | None:
        """Returns the state of a request or attempt, or None if it is not known."""
        item = self._entry_by_id.get(request_id)
        return item.state if item is not None else None

    def record(self, request_id: str, state: RequestState) -> None:
        """Records the state and removes expired entries."""
        now_ms = self._clock.now_ms()
        self._entry_by_id.pop(request_id, None)
        self._entry_by_id[request_id] = RequestStateEntry(state, now_ms)
        while self._entry_by_id:
            oldest_id = next(iter(self._entry_by_id))
            if now_ms - self._entry_by_id[oldest_id].recorded_ms <= RETENTION_MS:
                return
            del self._entry_by_id[oldest_id]

    def __len__(self) -> int:
        """Returns the number of requests and attempts stored."""
        return len(self._entry_by_id)


class KeyedAnswer:
    """The pending or cached answer for an idempotency key."""

    __slots__ = ("answer", "done", "recorded_ms")

    def __init__(self, recorded_ms: float) -> None:
        """Starts without an answer."""
        self.answer: Answer | None = None
        self.done = Event()
        self.recorded_ms = recorded_ms


class AnswerCache:
    """Cache of answers by idempotency key, bounded by age and total size."""

    def __init__(self, clock: Clock) -> None:
        """Starts empty."""
        self._clock = clock
        self._item_by_key: OrderedDict[str, KeyedAnswer] = OrderedDict()
        self._bytes = 0

    def find(self, key: str) -> KeyedAnswer | None:
        """Returns the item for a key, or None if there is none or it has expired."""
        self._expire()
        return self._item_by_key.get(key)

    def begin(self, key: str) -> KeyedAnswer:
        """Registers a request with the key as in progress."""
        item = KeyedAnswer(self._clock.now_ms())
        self._item_by_key[key] = item
        return item

    def finish(self, item: KeyedAnswer, answer: Answer | None) -> None:
        """Stores the answer, or None if the outcome is unknown."""
        item.answer = answer
        if answer is not None:
            self._bytes += len(answer.body)
        item.done.send(None)
        self._expire()

    def abandon(self, key: str, item: KeyedAnswer) -> None:
        """Removes a key whose request was not run."""
        if self._item_by_key.get(key) is item:
            del self._item_by_key[key]
        item.done.send(None)

    def _expire(self) -> None:
        before_ms = self._clock.now_ms() - RETENTION_MS
        while self._item_by_key:
            key, item = next(iter(self._item_by_key.items()))
            if item.recorded_ms >= before_ms:
                break
            self._evict_answer(item)
            del self._item_by_key[key]
        for item in self._item_by_key.values():
            if self._bytes <= MAX_CACHE_BYTES:
                return
            self._evict_answer(item)

    def _evict_answer(self, item: KeyedAnswer) -> None:
        """Evicts the answer but keeps the key, so the request is not run again."""
        if item.answer is not None:
            self._bytes -= len(item.answer.body)
            item.answer = None
