"""Callers of one proxy, which use their connections until the process is gone."""

from __future__ import annotations

import random
import time

import eventlet
from eventlet.greenio import GreenSocket

from jayswitch.clock import MS_PER_S
from tests.harness.loopback import HOST, RawAnswer, connect

DEADLINE_MS = 3000
PAUSE_S = 0.1
UNSAFE_SHARE = 0.4


class Outcome:
    """What a caller saw of one request; status 0 if the connection ended before."""

    __slots__ = (
        "answer",
        "ended_s",
        "is_cut",
        "is_whole",
        "request_id",
        "sent_s",
        "unsafe",
        "vm",
    )

    def __init__(self, vm: str, request_id: str, unsafe: bool) -> None:
        """Records that the request is sent now."""
        self.vm = vm
        self.request_id = request_id
        self.unsafe = unsafe
        self.sent_s = time.monotonic()
        self.ended_s = float("inf")
        self.is_whole = False
        # Whether the proxy ended the connection before the whole answer.
        self.is_cut = False
        self.answer: RawAnswer | None = None

    @property
    def status(self) -> int:
        """Returns the status; 0 without an answer."""
        return self.answer.status if self.answer is not None else 0

    def announces_departure_of(self) -> str:
        """Returns the incarnation whose answer announces its departure, if any."""
        if self.answer is None or "Server-Leaving: 1" not in self.answer.head:
            return ""
        _, _, rest = self.answer.head.partition("Server-Signature: ")
        return rest.partition("\r\n")[0]


class Callers:
    """Several callers on one VM, each with one connection."""

    def __init__(self, vm: str, address: str, count: int, rng: random.Random) -> None:
        """Starts the callers."""
        self.outcomes: list[Outcome] = []
        self.stopped = False
        self._vm = vm
        self._address = address
        self._random = rng
        self._serial = 0
        for _ in range(count):
            eventlet.spawn_n(self._call_repeatedly)

    def _call_repeatedly(self) -> None:
        connection: GreenSocket | None = None
        while not self.stopped:
            eventlet.sleep(self._random.expovariate(1 / PAUSE_S))
            try:
                connection = connection or connect(self._address)
            except OSError:
                eventlet.sleep(0.1)
                continue
            if not self._call(connection):
                connection.close()
                connection = None

    def _call(self, connection: GreenSocket) -> bool:
        """Sends one request; returns whether its connection may be used again."""
        self._serial += 1
        unsafe = self._random.random() < UNSAFE_SHARE
        outcome = Outcome(self._vm, f"{self._vm}/{self._serial}", unsafe)
        method, path = ("POST", "/book/1") if unsafe else ("GET", "/read/1")
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n"
            f"Request-Id: {outcome.request_id}\r\nDeadline-Ms: {DEADLINE_MS}\r\n"
            + ("Content-Length: 0\r\n" if unsafe else "")
            + "\r\n"
        )
        try:
            connection.sendall(head.encode())
        except OSError:
            return False
        self.outcomes.append(outcome)
        data = b""
        with eventlet.Timeout(2 * DEADLINE_MS / MS_PER_S, False):
            data = _receive(connection, outcome)
        outcome.ended_s = time.monotonic()
        if data:
            outcome.answer = RawAnswer(data, not outcome.is_whole)
        return outcome.is_whole and b"connection: close" not in data.lower()


def _receive(connection: GreenSocket, outcome: Outcome) -> bytes:
    data = b""
    while not outcome.is_whole:
        try:
            part = connection.recv(65536)
        except OSError:
            part = b""
        if not part:
            outcome.is_cut = True
            break
        data += part
        head, separator, body = data.partition(b"\r\n\r\n")
        _, _, rest = head.lower().partition(b"content-length:")
        length = rest.partition(b"\r\n")[0].strip()
        outcome.is_whole = bool(separator and length and len(body) >= int(length))
    return data
