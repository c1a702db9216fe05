"""Upstream of the soak: limited slots, announcements, heartbeats and crashes."""

from __future__ import annotations

import socket
import time
from collections.abc import Callable

import eventlet
import msgspec
from eventlet.greenio import GreenSocket

from tests.harness.loopback import ReceivedRequest, exchange, read_request

SERVICE = "herdview"
HEARTBEAT_S = 0.4
WORK_S = 0.03


class Arrival:
    """A request at an upstream; its id begins with the VM at which it began."""

    __slots__ = ("at_s", "incarnation", "ran", "request_id", "unsafe")

    def __init__(self, request_id: str, incarnation: str, unsafe: bool) -> None:
        """Records the arrival at this moment."""
        self.at_s = time.monotonic()
        self.request_id = request_id
        self.incarnation = incarnation
        self.unsafe = unsafe
        self.ran = False

    @property
    def origin_vm(self) -> str:
        """Returns the VM at which the request began."""
        return self.request_id.partition("/")[0]


class Limit:
    """A phase in which an incarnation announced a rate limit."""

    __slots__ = ("from_s", "incarnation", "per_s", "until_s")

    def __init__(self, incarnation: str, per_s: float) -> None:
        """Starts the phase with the first response that announces it."""
        self.incarnation = incarnation
        self.per_s = per_s
        self.from_s = time.monotonic()
        self.until_s = float("inf")


class SoakUpstream:
    """Serves requests of one proxy, and reports to it."""

    def __init__(self, vm: str, address: tuple[str, int], control: str) -> None:
        """Listens at an address; control is the address for heartbeats."""
        self.arrivals: list[Arrival] = []
        self.limits: list[Limit] = []
        self.rate_limit_per_s: float | None = None
        self.leaving = False
        # Whether heartbeats say that the upstream is leaving; they may be late.
        self.reports_departure = True
        self.is_down = False
        self.ends_reports = False
        self._vm = vm
        self._control = control
        self._starts = 0
        self._running = 0
        self._open: set[GreenSocket] = set()
        self.slots = 6
        self.start()
        listener = eventlet.listen(address, backlog=256)
        eventlet.spawn(self._accept, listener)
        eventlet.spawn(self._report)

    def start(self) -> None:
        """Starts the next incarnation."""
        self._starts += 1
        self.id = f"i-{self._vm}-{self._starts}"
        self.started_ms = int(time.time() * 1000)
        self.leaving = False
        self.is_down = False
        self.announce_limit(None)
        self._sequence = 0

    def crash(self) -> None:
        """Breaks off all connections and serves nothing until the next start."""
        self.is_down = True
        self.announce_limit(None)
        for connection in list(self._open):
            _break_off(connection)

    def announce_limit(self, per_s: float | None) -> None:
        """Announces a rate limit in all responses from now on, or none."""
        if self.limits and self.limits[-1].until_s == float("inf"):
            self.limits[-1].until_s = time.monotonic()
        self.rate_limit_per_s = per_s

    def _accept(self, listener: GreenSocket) -> None:
        while True:
            connection, _ = listener.accept()
            if self.is_down:
                connection.close()
            else:
                eventlet.spawn_n(self._serve, connection)

    def _serve(self, connection: GreenSocket) -> None:
        self._open.add(connection)
        buffer = b""
        try:
            while True:
                received, buffer = read_request(connection, buffer)
                if received is None:
                    return
                self._respond(connection, received)
        except OSError:
            return
        finally:
            self._open.discard(connection)
            connection.close()

    def _respond(self, connection: GreenSocket, received: ReceivedRequest) -> None:
        request_id = received.header("Request-Id")
        echo = f"Request-Id: {request_id}\r\n" if request_id else ""
        if received.request_line.startswith("GET /health "):
            status = "503 Unavailable" if self.leaving else "200 OK"
            self._send(connection, status, f"Instance-Id: {self.id}\r\n", b"")
            return
        expected = received.header("Expected-Instance")
        if expected not in ("", self.id):
            self._send(connection, "421 Misdirected Request", echo, b"")
            return
        arrival = Arrival(request_id, self.id, "/book/" in received.request_line)
        self.arrivals.append(arrival)
        if self._running >= self.slots:
            rejection = f"{echo}Not-Executed: 1\r\n"
            self._send(connection, "503 Unavailable", rejection, b"")
            return
        arrival.ran = True
        self._running += 1
        try:
            eventlet.sleep(WORK_S)
        finally:
            self._running -= 1
        signed = f"{echo}Server-Signature: {self.id}\r\n"
        self._send(connection, "200 OK", signed, f"body of {request_id}".encode())

    def _send(
        self, connection: GreenSocket, status: str, headers: str, body: bytes
    ) -> None:
        if self.rate_limit_per_s is not None:
            headers += f"Server-Limit: {self.rate_limit_per_s}\r\n"
            if not self.limits or self.limits[-1].until_s < float("inf"):
                self.limits.append(Limit(self.id, self.rate_limit_per_s))
        if self.leaving:
            headers += "Server-Leaving: 1\r\n"
        head = f"HTTP/1.1 {status}\r\n{headers}Content-Length: {len(body)}\r\n\r\n"
        connection.sendall(head.encode() + body)

    def _report(self) -> None:
        while not self.ends_reports:
            if not self.is_down:
                self._sequence += 1
                self._heartbeat()
            eventlet.sleep(HEARTBEAT_S)

    def _heartbeat(self) -> None:
        reports_departure = self.leaving and self.reports_departure
        body = msgspec.json.encode(
            {
                "service": SERVICE,
                "address": "127.0.0.1:1",
                "zone": "bunbury",
                "version": "v1",
                "slots": self.slots,
                "state": "draining" if reports_departure else "ready",
                "seq": self._sequence,
                "warmup_left_ms": 0,
                "born": self.started_ms,
            }
        )
        path = f"/rpc?call=instances.heartbeat&of={self.id}"
        head = f"POST {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n\r\n"
        with eventlet.Timeout(1.0, False):
            _ignoring_errors(lambda: exchange(self._control, head.encode() + body))


def _break_off(connection: GreenSocket) -> None:
    """Ends a connection; the task that serves it closes it."""
    try:
        connection.shutdown(socket.SHUT_RDWR)
    except OSError:
        return


def _ignoring_errors(call: Callable[[], object]) -> None:
    """Calls a proxy that may be away; the next heartbeat follows soon."""
    try:
        call()
    except OSError:
        return
