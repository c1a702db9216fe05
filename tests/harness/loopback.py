"""Runs proxies over loopback sockets, with stand-ins for the store and upstreams."""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Any

import eventlet
import msgspec
from eventlet.greenio import GreenSocket

from jayswitch.clock import Clock
from jayswitch.http.server import HttpServer
from jayswitch.platform.factory import start_proxy
from jayswitch.proxy.generated import ProxySettings
from jayswitch.proxy.process import ProxyProcess
from tests.harness.platform_store import PlatformStoreApplication

HOST = "herd.example"
SERVICE = "herdview"
RECEIVE_TIMEOUT_S = 10.0
WAIT_TIMEOUT_S = 10.0

CONFIG = {
    "version": "r1",
    "routes": [
        {
            "name": "read",
            "host": HOST,
            "prefix": "/read/",
            "kind": "safe",
            "timeout_ms": 3000,
            "slo_ms": 1000,
            "priority": 1,
            "max_attempts": 2,
            "service": SERVICE,
        },
        {
            "name": "book",
            "host": HOST,
            "prefix": "/book/",
            "kind": "unsafe",
            "timeout_ms": 3000,
            "slo_ms": 1000,
            "priority": 1,
            "max_attempts": 2,
            "service": SERVICE,
        },
    ],
    "services": [
        {"name": SERVICE, "health_path": "/health", "warmup_s": 1, "warmup_per_s": 5}
    ],
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 1 << 20,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    },
}

AnswerHandler = Callable[["RawUpstream", GreenSocket, "ReceivedRequest"], None]


class ReceivedRequest:
    """A request as it arrived at an upstream."""

    def __init__(self, head: str, body: bytes) -> None:
        """Splits the head into the request line and headers."""
        self.request_line, *lines = head.split("\r\n")
        self.headers = [tuple(line.split(": ", 1)) for line in lines if line]
        self.body = body

    def header(self, name: str) -> str:
        """Returns the value of a header, or an empty string if it is missing."""
        found = [value for key, value in self.headers if key.lower() == name.lower()]
        return found[0] if found else ""


def read_request(
    connection: GreenSocket, buffer: bytes
) -> tuple[ReceivedRequest | None, bytes]:
    """Reads a request after the bytes in the buffer; None if the connection ends.

    Returns also the bytes received after it.
    """
    while b"\r\n\r\n" not in buffer:
        data = connection.recv(65536)
        if not data:
            return None, buffer
        buffer += data
    head, _, buffer = buffer.partition(b"\r\n\r\n")
    received = ReceivedRequest(head.decode("latin-1"), b"")
    length = int(received.header("Content-Length") or 0)
    while len(buffer) < length:
        buffer += connection.recv(65536)
    received.body, buffer = buffer[:length], buffer[length:]
    return received, buffer


class RawUpstream:
    """An upstream that reads raw requests and answers through a replaceable handler."""

    def __init__(self, upstream_id: str) -> None:
        """Listens on a free port and answers 200 by default."""
        self.id = upstream_id
        self.received_requests: list[ReceivedRequest] = []
        self.closed_early = 0
        self.answer: AnswerHandler = answer_ok
        self._listener = eventlet.listen(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        eventlet.spawn(self._accept)

    def _accept(self) -> None:
        while True:
            connection, _ = self._listener.accept()
            eventlet.spawn(self._serve, connection)

    def _serve(self, connection: GreenSocket) -> None:
        buffer = b""
        while True:
            received, buffer = read_request(connection, buffer)
            if received is None:
                return
            if received.request_line.startswith("GET /health "):
                send_answer(connection, f"Instance-Id: {self.id}\r\n")
                continue
            self.received_requests.append(received)
            self.answer(self, connection, received)
            if connection.fileno() < 0:
                return


def send_answer(
    connection: GreenSocket, headers: str = "", body: bytes = b"ok"
) -> None:
    """Sends a 200 answer with a Content-Length."""
    head = f"HTTP/1.1 200 OK\r\n{headers}Content-Length: {len(body)}\r\n\r\n"
    connection.sendall(head.encode() + body)


def answer_ok(
    upstream: RawUpstream, connection: GreenSocket, received: ReceivedRequest
) -> None:
    """Sends a complete answer with the headers that identify its request."""
    send_answer(connection, signature_headers(received), b"whole body")


def signature_headers(received: ReceivedRequest) -> str:
    """Returns the headers that identify an answer as the answer to a request."""
    return f"Request-Id: {received.header('Request-Id')}\r\nServer-Signature: s\r\n"


def free_port() -> int:
    """Returns an unused port."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class LoopbackDeployment:
    """A store, proxies and upstreams in one process, over real sockets."""

    def __init__(self) -> None:
        """Starts the store and writes the configuration to it."""
        self.store = PlatformStoreApplication(Clock())
        server = HttpServer("127.0.0.1", 0, self.store)
        server.start()
        self.store_address = server.address.removeprefix("http://")
        self.store.put("op/config", CONFIG)
        self.proxies: list[ProxyProcess] = []

    def add_vm(
        self,
        vm: str,
        upstream: RawUpstream,
        version: str = "v1",
        send_first_heartbeat: bool = True,
    ) -> ProxyProcess:
        """Starts a proxy for an upstream and sends the upstream's first heartbeat."""
        proxy = self.start_proxy(vm, upstream)
        if send_first_heartbeat:
            assert self.send_heartbeat(proxy, upstream, version=version) == 200
        return proxy

    def start_proxy(self, vm: str, upstream: RawUpstream) -> ProxyProcess:
        """Starts a proxy and waits until it is ready."""
        settings = ProxySettings(
            vm=vm,
            data_centre="bunbury",
            region="swwa",
            service=SERVICE,
            upstream_address=upstream.address,
            callers_address=f"127.0.0.1:{free_port()}",
            proxies_address=f"127.0.0.1:{free_port()}",
            readiness_address=f"127.0.0.1:{free_port()}",
            heartbeats_address=f"127.0.0.1:{free_port()}",
            metrics_port=free_port(),
            store_address=self.store_address,
            heartbeat_ms=60_000,
            retry_ratio=0.2,
            retry_slack=60,
            retry_window_s=10,
            drain_ms=2000,
            grace_s=6,
            exposure_share=0.1,
            exposure_slack=50,
            config_apply_ms=2000,
            first_start=False,
        )
        proxy = start_proxy(settings, Clock())
        wait_until(lambda: proxy.ready)
        self.proxies.append(proxy)
        return proxy

    def send_heartbeat(
        self, proxy: ProxyProcess, upstream: RawUpstream, seq: int = 1, **changes: Any
    ) -> int:
        """Sends a heartbeat and returns the status of the answer."""
        heartbeat = {
            "service": SERVICE,
            "address": upstream.address,
            "zone": "bunbury",
            "version": "v1",
            "slots": 4,
            "state": "ready",
            "seq": seq,
            "warmup_left_ms": 0,
            "born": 1000,
        } | changes
        body = msgspec.json.encode(heartbeat)
        path = f"/rpc?call=instances.heartbeat&of={upstream.id}"
        head = f"POST {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n\r\n"
        address = proxy.settings.heartbeats_address
        return exchange(address, head.encode() + body).status


class RawAnswer:
    """An answer as received from the socket."""

    def __init__(self, data: bytes, ended: bool) -> None:
        """Takes the received bytes and whether the connection ended or timed out."""
        self.data = data
        self.ended = ended
        head, _, self.body = data.partition(b"\r\n\r\n")
        self.head = head.decode("latin-1")
        self.status = int(self.head.split()[1]) if self.head else 0


def request(
    path: str = "/read/1", method: str = "GET", headers: str = "", body: bytes = b""
) -> bytes:
    """Returns a caller's request as bytes."""
    length = f"Content-Length: {len(body)}\r\n" if body else ""
    head = f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: r-1\r\n"
    return f"{head}Deadline-Ms: 2000\r\n{length}{headers}\r\n".encode() + body


def connect(address: str) -> GreenSocket:
    """Opens a connection to an address."""
    host, _, port = address.rpartition(":")
    return eventlet.connect((host, int(port)))


def exchange(address: str, data: bytes) -> RawAnswer:
    """Sends bytes on a new connection and returns one answer."""
    connection = connect(address)
    connection.sendall(data)
    answer = receive(connection)
    connection.close()
    return answer


def receive(connection: GreenSocket) -> RawAnswer:
    """Reads until an answer is complete, or the connection ends or times out."""
    connection.settimeout(RECEIVE_TIMEOUT_S)
    data = b""
    while not _is_complete(data):
        try:
            part = connection.recv(65536)
        except OSError:
            part = b""
        if not part:
            return RawAnswer(data, True)
        data += part
    return RawAnswer(data, False)


def wait_until(condition: Callable[[], bool]) -> None:
    """Waits until a condition holds; raises eventlet.Timeout after WAIT_TIMEOUT_S."""
    with eventlet.Timeout(WAIT_TIMEOUT_S):
        while not condition():
            eventlet.sleep(0.005)


def _is_complete(data: bytes) -> bool:
    head, separator, body = data.partition(b"\r\n\r\n")
    if not separator:
        return False
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            return len(body) >= int(line.split(b":")[1])
    return body.endswith(b"0\r\n\r\n")
