"""Load pattern: downloads fill the narrow link of the VM that serves them.

Each download keeps a TCP window of bytes in the queue of the link. Responses to nested
calls wait behind them until their callers time out, though the upstream has run them.
"""

from __future__ import annotations

import random
from collections.abc import Iterator

import eventlet

from jayswitch.clock import VirtualClock
from jayswitch.proxy.link_pacer import LinkPacer
from tests.harness.limited_links import LimitedLink

LINK_MBIT_PER_S = 10.0
TCP_WINDOW_BYTES = 64 * 1024
DOWNLOAD_BYTES = 90_000
SHORT_BYTES = 1500
# Downloads use 0.85 of the link on average.
DOWNLOADS_PER_S = 0.85 * LINK_MBIT_PER_S * 1e6 / 8 / DOWNLOAD_BYTES
SHORTS_PER_S = 10.0
DURATION_MS = 60_000.0
# Latency objective of the nested calls, less their service time.
SHORT_LIMIT_MS = 200.0
DOWNLOAD_OBJECTIVE_MS = 1300.0


class NarrowLink:
    """A link with a queue, into which each response puts up to a window at a time."""

    def __init__(self, pacer_mbit_per_s: float) -> None:
        """Takes the bandwidth that the pacer knows; 0 if it is unknown."""
        self.clock = VirtualClock()
        self.short_ms: list[float] = []
        self.download_ms: list[float] = []
        self._link = LimitedLink(self.clock, LINK_MBIT_PER_S)
        self._pacer = LinkPacer(pacer_mbit_per_s, self.clock)
        self._rng = random.Random(76)

    def run(self) -> None:
        """Sends downloads and short responses at random intervals."""
        eventlet.spawn_n(self._arrive, DOWNLOADS_PER_S, self._send_download)
        eventlet.spawn_n(self._arrive, SHORTS_PER_S, self._send_short)
        self.clock.sleep_ms(DURATION_MS + 10_000)

    def _arrive(self, per_s: float, send) -> None:
        end_ms = self.clock.now_ms() + DURATION_MS
        while self.clock.now_ms() < end_ms:
            eventlet.spawn_n(send)
            self.clock.sleep_ms(self._rng.expovariate(per_s) * 1000)

    def _send_download(self) -> None:
        started_ms = self.clock.now_ms()
        self._send(DOWNLOAD_BYTES)
        self.download_ms.append(self.clock.now_ms() - started_ms)

    def _send_short(self) -> None:
        started_ms = self.clock.now_ms()
        self._send(SHORT_BYTES)
        self.short_ms.append(self.clock.now_ms() - started_ms)

    def _send(self, size: int) -> None:
        for part in self._pacer.pace(iter([b"x" * size]), size):
            for start in range(0, len(part), TCP_WINDOW_BYTES):
                self._link.transmit(len(part[start : start + TCP_WINDOW_BYTES]))


def _quantile(values: list[float], share: float) -> float:
    return sorted(values)[int(len(values) * share)]


class TestNarrowLink:
    """Short responses pass while downloads use the link."""

    def test_short_responses_are_in_time(self) -> None:
        link = NarrowLink(LINK_MBIT_PER_S)
        link.run()
        assert _quantile(link.short_ms, 0.99) <= SHORT_LIMIT_MS

    def test_downloads_are_not_slower_than_over_a_filled_link(self) -> None:
        paced, filled = NarrowLink(LINK_MBIT_PER_S), NarrowLink(0.0)
        paced.run()
        filled.run()
        in_time = [
            sum(ms <= DOWNLOAD_OBJECTIVE_MS for ms in link.download_ms)
            for link in (paced, filled)
        ]
        assert len(paced.download_ms) == len(filled.download_ms)
        assert in_time[0] >= 0.95 * in_time[1]

    def test_body_is_passed_on_unchanged(self) -> None:
        pacer = LinkPacer(LINK_MBIT_PER_S, VirtualClock())

        def body() -> Iterator[bytes]:
            yield b"a" * 40_000
            yield b"b" * 5

        assert b"".join(pacer.pace(body(), None)) == b"a" * 40_000 + b"b" * 5
        assert b"".join(pacer.pace(iter([b"ok"]), 2)) == b"ok"
