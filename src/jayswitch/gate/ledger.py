"""What a gate remembers of requests, so that each one runs at most once."""

from __future__ import annotations

from collections import OrderedDict
from enum import Enum
from typing import TYPE_CHECKING

from eventlet.event import Event

if TYPE_CHECKING:
    from jayswitch.clock import Clock
    from jayswitch.messages.generated import Answer

REQUEST_KEPT_MS = 120_000.0
ANSWERS_KEPT_BYTES = 4 * 1024 * 1024


class Fate(Enum):
    """What has become of a request at this gate."""

    WAITING = "waiting"
    HANDED_OVER = "handed-over"
    REFUSED = "refused"


class LedgerItem:
    """The fate of one request; a refused one is never handed over later."""

    __slots__ = ("fate", "noted_ms")

    def __init__(self, fate: Fate, noted_ms: float) -> None:
        """Takes the fate and the time it was noted."""
        self.fate = fate
        self.noted_ms = noted_ms


class RequestLedger:
    """Remembers requests for two minutes, by request id."""

    def __init__(self, clock: Clock) -> None:
        """Starts empty."""
        self._clock = clock
        self._item_by_id: OrderedDict[str, LedgerItem] = OrderedDict()

    def fate(self, request_id: str) -> Fate | None:
        """Returns the request's fate; None for one never seen."""
        item = self._item_by_id.get(request_id)
        return item.fate if item is not None else None

    def note(self, request_id: str, fate: Fate) -> None:
        """Stores the fate and forgets requests of long ago."""
        now_ms = self._clock.now_ms()
        self._item_by_id.pop(request_id, None)
        self._item_by_id[request_id] = LedgerItem(fate, now_ms)
        while self._item_by_id:
            oldest_id = next(iter(self._item_by_id))
            if now_ms - self._item_by_id[oldest_id].noted_ms <= REQUEST_KEPT_MS:
                return
            del self._item_by_id[oldest_id]

    def __len__(self) -> int:
        """Returns how many requests are remembered."""
        return len(self._item_by_id)


class KeyedAnswer:
    """The answer to a request with an idempotency key, once it is there."""

    __slots__ = ("answer", "done", "noted_ms")

    def __init__(self, noted_ms: float) -> None:
        """Starts without an answer."""
        self.answer: Answer | None = None
        self.done = Event()
        self.noted_ms = noted_ms


class AnswerCache:
    """Answers by idempotency key, bounded in bytes and time."""

    def __init__(self, clock: Clock) -> None:
        """Starts empty."""
        self._clock = clock
        self._item_by_key: OrderedDict[str, KeyedAnswer] = OrderedDict()
        self._bytes = 0

    def find(self, key: str) -> KeyedAnswer | None:
        """Returns the item under a key unless it has expired."""
        self._expire()
        return self._item_by_key.get(key)

    def begin(self, key: str) -> KeyedAnswer:
        """Notes that a request with the key is being handed over."""
        item = KeyedAnswer(self._clock.now_ms())
        self._item_by_key[key] = item
        return item

    def finish(self, item: KeyedAnswer, answer: Answer | None) -> None:
        """Stores the answer; None for an outcome that is not known."""
        item.answer = answer
        if answer is not None:
            self._bytes += len(answer.body)
        item.done.send(None)
        self._expire()

    def abandon(self, key: str, item: KeyedAnswer) -> None:
        """Forgets a key whose request was not run."""
        if self._item_by_key.get(key) is item:
            del self._item_by_key[key]
        item.done.send(None)

    def _expire(self) -> None:
        before_ms = self._clock.now_ms() - REQUEST_KEPT_MS
        while self._item_by_key:
            key, item = next(iter(self._item_by_key.items()))
            if item.noted_ms >= before_ms:
                break
            self._drop_answer(item)
            del self._item_by_key[key]
        for item in self._item_by_key.values():
            if self._bytes <= ANSWERS_KEPT_BYTES:
                return
            self._drop_answer(item)

    def _drop_answer(self, item: KeyedAnswer) -> None:
        """Frees an answer; that its request was run is still remembered."""
        if item.answer is not None:
            self._bytes -= len(item.answer.body)
            item.answer = None
