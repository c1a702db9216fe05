"""Paces long responses, so that a narrow link stays usable for short ones."""

from __future__ import annotations

from collections.abc import Iterator
from typing import TYPE_CHECKING

from jayswitch.clock import MS_PER_S

if TYPE_CHECKING:
    from jayswitch.clock import Clock

# Long responses are sent in parts of this size; shorter responses are not delayed.
PART_BYTES = 16 * 1024
# Share of the link's bandwidth that is used. The rest covers protocol overhead, and
# what other processes on the VM send.
USED_SHARE = 0.95


class LinkPacer:
    """Sends long responses one after the other at the rate of the link.

    Otherwise each of them fills its TCP window, and the queue of the link grows with
    their number. Every other packet waits behind them: responses to nested calls,
    feeds, and the first packets of connections, whose peer then seems unreachable.
    """

    __slots__ = ("_busy_until_ms", "_bytes_per_ms", "_clock")

    def __init__(self, mbit_per_s: float, clock: Clock) -> None:
        """Takes the bandwidth of the link; 0 if it is unknown."""
        self._bytes_per_ms = mbit_per_s * USED_SHARE * 1e6 / 8 / MS_PER_S
        self._clock = clock
        self._busy_until_ms = 0.0

    def pace(self, body: Iterator[bytes], length: int | None) -> Iterator[bytes]:
        """Returns the body, delayed if it is long; the length is None if unknown."""
        if not self._bytes_per_ms:
            return body
        if length is not None and length <= PART_BYTES:
            self._occupy(length)
            return body
        return self._paced(body)

    def _paced(self, body: Iterator[bytes]) -> Iterator[bytes]:
        for data in body:
            # A body that has been read completely goes out in one turn, as responses
            # that share the link all end late.
            turn_ms = self._occupy(len(data))
            for start in range(0, len(data), PART_BYTES):
                delay_ms = turn_ms + start / self._bytes_per_ms - self._clock.now_ms()
                if delay_ms > 0:
                    self._clock.sleep_ms(delay_ms)
                yield data[start : start + PART_BYTES]

    def _occupy(self, size: int) -> float:
        """Reserves the link for some bytes; returns when their turn begins."""
        turn_ms = max(self._clock.now_ms(), self._busy_until_ms)
        self._busy_until_ms = turn_ms + size / self._bytes_per_ms
        return turn_ms
