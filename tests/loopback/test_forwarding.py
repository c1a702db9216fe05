"""Tests of forwarding over sockets: content, framing, truncation, cancellation."""

from __future__ import annotations

import contextlib
import socket
import struct

import eventlet
import pytest
from eventlet.greenio import GreenSocket

from jayswitch.proxy.process import ProxyProcess
from tests.harness.loopback import (
    HOST,
    LoopbackDeployment,
    RawUpstream,
    ReceivedRequest,
    connect,
    exchange,
    receive,
    request,
    send_answer,
    signature_headers,
    wait_until,
)


class ProxyPair:
    """Two proxies: callers use `near`, the only announced upstream is at `far`."""

    def __init__(self) -> None:
        """Starts both and waits until `near` knows the upstream."""
        self.loopback = LoopbackDeployment()
        self.upstream = RawUpstream("i-1")
        self.far = self.loopback.add_vm("vm-far", self.upstream)
        self.idle_upstream = RawUpstream("i-0")
        self.near = self.loopback.add_vm(
            "vm-near", self.idle_upstream, send_first_heartbeat=False
        )
        wait_until(lambda: bool(self.near.directory.members("herdview")))
        self.address = self.near.settings.callers_address


@pytest.fixture
def pair() -> ProxyPair:
    """Returns two running proxies."""
    return ProxyPair()


def reset_connection(connection: GreenSocket) -> None:
    """Closes a connection with a TCP reset."""
    linger = struct.pack("ii", 1, 0)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    connection.close()


class TestPassThrough:
    """Requests and answers are forwarded unchanged."""

    @pytest.mark.parametrize(
        "path", ["/read/a%2fb?q=[1]", "/read/%zz", "/read//x?", "/read/a;b=c?x=%5B"]
    )
    def test_target_is_the_same_bytes(self, pair: ProxyPair, path: str) -> None:
        assert exchange(pair.address, request(path)).status == 200
        assert pair.upstream.received_requests[0].request_line == f"GET {path} HTTP/1.1"

    def test_leading_slashes_are_not_merged(self, pair: ProxyPair) -> None:
        assert exchange(pair.address, request("//read/1")).status == 404
        assert pair.upstream.received_requests == []

    def test_only_protocol_headers_are_added(self, pair: ProxyPair) -> None:
        exchange(pair.address, request(headers="X-Own: 1\r\n"))
        names = {name.lower() for name, _ in pair.upstream.received_requests[0].headers}
        assert names == {
            "host",
            "request-id",
            "deadline-ms",
            "x-own",
            "expected-instance",
            "caller-service",
        }

    def test_hop_by_hop_headers_are_dropped(self, pair: ProxyPair) -> None:
        headers = "Connection: close, X-Hop\r\nX-Hop: 1\r\nX-Jayswitch-Kind: once\r\n"
        exchange(pair.address, request(headers=headers))
        received = pair.upstream.received_requests[0]
        assert (
            received.header("X-Hop") == "" and received.header("X-Jayswitch-Kind") == ""
        )

    def test_caller_service_is_overwritten_by_the_proxy(self, pair: ProxyPair) -> None:
        exchange(pair.address, request(headers="Caller-Service: forged\r\n"))
        values = [
            value
            for name, value in pair.upstream.received_requests[0].headers
            if name == "Caller-Service"
        ]
        assert values == ["herdview"]

    def test_deadline_header_does_not_increase(self, pair: ProxyPair) -> None:
        exchange(pair.address, request())
        assert (
            1000 < int(pair.upstream.received_requests[0].header("Deadline-Ms")) <= 2000
        )

    def test_bodies_with_length_and_in_chunks_arrive_complete(
        self, pair: ProxyPair
    ) -> None:
        exchange(pair.address, request("/book/1", "POST", body=b"x" * 3000))
        chunked = "Transfer-Encoding: chunked\r\n"
        data = request("/book/1", "POST", headers=chunked)
        exchange(pair.address, data + b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
        assert [received.body for received in pair.upstream.received_requests] == [
            b"x" * 3000,
            b"abcde",
        ]

    def test_long_body_is_forwarded(self, pair: ProxyPair) -> None:
        body = b"y" * (700 * 1024)
        answer = exchange(pair.address, request("/book/1", "POST", body=body))
        assert answer.status == 200
        assert pair.upstream.received_requests[0].body == body


class TestConnections:
    """Connections to proxies and upstreams are reused."""

    def test_requests_one_after_another_share_a_connection(
        self, pair: ProxyPair
    ) -> None:
        for _ in range(10):
            assert exchange(pair.address, request()).status == 200
        assert pair.near.hop_client.connections_opened == 1
        assert pair.far.upstream_client.connections_opened == 1


class TestFraming:
    """A request that two parsers could interpret differently is not forwarded."""

    @pytest.mark.parametrize(
        "headers",
        [
            "Content-Length: 3\r\nContent-Length: 30\r\n",
            "Content-Length: +3\r\n",
            "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
            "Transfer-Encoding : chunked\r\n",
            "Transfer-Encoding: gzip\r\n",
            f"Host: {HOST}\r\n",
            "no colon here\r\nContent-Length: 3\r\n",
            "X-Folded: a\r\n b\r\n",
        ],
    )
    def test_ambiguous_head_is_rejected(self, pair: ProxyPair, headers: str) -> None:
        smuggled = b"abc" + request("/read/smuggled")
        data = request("/book/1", "POST", headers=headers) + smuggled
        connection = connect(pair.address)
        connection.sendall(data)
        answer = receive(connection)
        assert answer.status == 400
        assert "Connection: close" in answer.head
        assert pair.upstream.received_requests == []

    def test_absolute_target_is_rejected(self, pair: ProxyPair) -> None:
        assert exchange(pair.address, request(f"http://{HOST}/read/1")).status == 400

    def test_body_that_ends_early_is_not_forwarded(self, pair: ProxyPair) -> None:
        connection = connect(pair.address)
        connection.sendall(request("/book/1", "POST", headers="Content-Length: 10\r\n"))
        connection.sendall(b"abc")
        connection.shutdown(socket.SHUT_WR)
        assert receive(connection).status in (0, 400)
        assert pair.upstream.received_requests == []

    def test_too_large_bodies_and_heads_are_rejected(self, pair: ProxyPair) -> None:
        headers = "Content-Length: 99999999\r\n"
        assert exchange(pair.address, request("/book/1", "POST", headers)).status == 413
        long = f"X-Long: {'a' * 17000}\r\n"
        assert exchange(pair.address, request(headers=long)).status == 431

    def test_long_header_within_the_limits_is_served(self, pair: ProxyPair) -> None:
        long = f"X-Long: {'a' * 12000}\r\n"
        assert exchange(pair.address, request(headers=long)).status == 200


class TestInvalidAnswers:
    """A caller never gets a truncated or foreign answer as its own complete one."""

    def test_unframed_answer_that_is_reset_is_not_complete(
        self, pair: ProxyPair
    ) -> None:
        def answer(
            _: RawUpstream, connection: GreenSocket, received: ReceivedRequest
        ) -> None:
            head = f"HTTP/1.1 200 OK\r\n{signature_headers(received)}\r\n"
            connection.sendall(head.encode() + b"x" * 500)
            eventlet.sleep(0.05)
            reset_connection(connection)

        pair.upstream.answer = answer
        got = exchange(pair.address, request("/book/1", "POST"))
        assert got.ended and not got.data.endswith(b"0\r\n\r\n")

    def test_unframed_answer_that_ends_is_complete(self, pair: ProxyPair) -> None:
        def answer(
            _: RawUpstream, connection: GreenSocket, received: ReceivedRequest
        ) -> None:
            head = f"HTTP/1.1 200 OK\r\n{signature_headers(received)}\r\n"
            connection.sendall(head.encode() + b"whole")
            connection.close()

        pair.upstream.answer = answer
        got = exchange(pair.address, request())
        assert got.status == 200 and got.data.endswith(b"0\r\n\r\n")

    def test_truncated_answer_to_an_unsafe_request_is_a_failure(
        self, pair: ProxyPair
    ) -> None:
        def answer(
            _: RawUpstream, connection: GreenSocket, received: ReceivedRequest
        ) -> None:
            head = (
                f"HTTP/1.1 200 OK\r\n{signature_headers(received)}"
                "Content-Length: 99\r\n\r\n"
            )
            connection.sendall(head.encode() + b"x" * 50)
            connection.close()

        pair.upstream.answer = answer
        assert exchange(pair.address, request("/book/1", "POST")).status == 502
        assert len(pair.upstream.received_requests) == 1

    def test_surplus_bytes_are_not_delivered(self, pair: ProxyPair) -> None:
        def answer(
            _: RawUpstream, connection: GreenSocket, received: ReceivedRequest
        ) -> None:
            send_answer(connection, signature_headers(received), b"first")
            send_answer(
                connection, "Request-Id: late\r\nServer-Signature: s\r\n", b"surplus"
            )

        pair.upstream.answer = answer
        for _ in range(4):
            got = exchange(pair.address, request())
            assert (got.status, got.body) == (200, b"first")

    def test_answer_of_another_request_is_not_delivered(self, pair: ProxyPair) -> None:
        def answer(
            _: RawUpstream, connection: GreenSocket, received: ReceivedRequest
        ) -> None:
            send_answer(connection, "Request-Id: other\r\nServer-Signature: s\r\n")

        pair.upstream.answer = answer
        assert exchange(pair.address, request("/book/1", "POST")).status == 502

    def test_malformed_answer_is_a_failure(self, pair: ProxyPair) -> None:
        def answer(
            _: RawUpstream, connection: GreenSocket, received: ReceivedRequest
        ) -> None:
            connection.sendall(b"garbage\r\n\r\n")
            connection.close()

        pair.upstream.answer = answer
        assert exchange(pair.address, request("/book/1", "POST")).status == 502


class TestEndlessInput:
    """Upstreams and callers that send without end are disconnected early."""

    MAX_SENT_BYTES = 32 * 1024 * 1024

    def _send_until_closed(
        self, connection: GreenSocket, start: bytes, part: bytes
    ) -> int:
        """Sends MAX_SENT_BYTES or until the peer closes; returns the bytes sent."""
        sent = 0
        try:
            connection.sendall(start)
            while sent < self.MAX_SENT_BYTES:
                connection.sendall(part)
                sent += len(part)
                eventlet.sleep(0)
        except OSError:
            pass
        return sent

    @pytest.mark.parametrize(
        ("start", "status"),
        [
            (b"HTTP/1.1 200 OK\r\nX: ", 502),
            (b"HTTP/1.1 200 OK\r\n\r\n", 502),
            (b"HTTP/1.1 503 X\r\nNot-Executed: 1\r\n\r\n", 503),
        ],
        ids=["head", "body-without-signature", "body-of-a-rejection"],
    )
    def test_endless_answer_ends_early(
        self, pair: ProxyPair, start: bytes, status: int
    ) -> None:
        sent = []

        def send_endless_answer(
            up: RawUpstream, connection: GreenSocket, received: ReceivedRequest
        ) -> None:
            sent.append(self._send_until_closed(connection, start, b"a" * 65536))
            connection.close()

        pair.upstream.answer = send_endless_answer
        answer = exchange(pair.address, request("/book/1", "POST"))
        assert answer.status == status
        wait_until(lambda: bool(sent))
        assert max(sent) < self.MAX_SENT_BYTES

    def test_endless_signed_body_ends_with_the_deadline(self, pair: ProxyPair) -> None:
        def send_endless_answer(
            up: RawUpstream, connection: GreenSocket, received: ReceivedRequest
        ) -> None:
            start = f"HTTP/1.1 200 OK\r\n{signature_headers(received)}\r\n".encode()
            connection.sendall(start)
            with contextlib.suppress(OSError):
                while True:
                    connection.sendall(b"a" * 1024)
                    eventlet.sleep(0.01)

        pair.upstream.answer = send_endless_answer
        connection = connect(pair.address)
        connection.sendall(request())
        answer = receive(connection)
        assert answer.ended
        assert not answer.data.endswith(b"0\r\n\r\n")

    def test_endless_request_head_is_refused(self, pair: ProxyPair) -> None:
        connection = connect(pair.address)
        start = b"GET /read/1 HTTP/1.1\r\nHost: x\r\nX: "
        assert (
            self._send_until_closed(connection, start, b"a" * 65536)
            < self.MAX_SENT_BYTES
        )


class TestRefusals:
    """Status 503 means that the request has not been executed and will not be."""

    def test_rejected_unsafe_request_is_refused_with_retry_after(
        self, pair: ProxyPair
    ) -> None:
        def answer(
            _: RawUpstream, connection: GreenSocket, received: ReceivedRequest
        ) -> None:
            head = "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            connection.sendall(head.encode())

        pair.upstream.answer = answer
        got = exchange(pair.address, request("/book/1", "POST"))
        assert got.status == 503 and "Retry-After: 0." in got.head

    def test_rejection_of_another_request_is_not_a_refusal(
        self, pair: ProxyPair
    ) -> None:
        def answer(
            _: RawUpstream, connection: GreenSocket, received: ReceivedRequest
        ) -> None:
            head = "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nRequest-Id: earlier\r\n"
            connection.sendall(f"{head}Content-Length: 0\r\n\r\n".encode())

        pair.upstream.answer = answer
        assert exchange(pair.address, request("/book/1", "POST")).status == 502
        assert len(pair.upstream.received_requests) == 1

    def test_unsafe_request_without_an_answer_is_not_reported_as_refused(
        self, pair: ProxyPair
    ) -> None:
        def answer(
            _: RawUpstream, connection: GreenSocket, received: ReceivedRequest
        ) -> None:
            reset_connection(connection)

        pair.upstream.answer = answer
        assert exchange(pair.address, request("/book/1", "POST")).status == 502
        assert len(pair.upstream.received_requests) == 1

    def test_unanswered_read_is_retried_on_another_upstream(
        self, pair: ProxyPair
    ) -> None:
        def answer(
            _: RawUpstream, connection: GreenSocket, received: ReceivedRequest
        ) -> None:
            reset_connection(connection)

        pair.upstream.answer = answer
        assert pair.loopback.send_heartbeat(pair.near, pair.idle_upstream) == 200
        wait_until(lambda: len(pair.near.directory.members("herdview")) == 2)
        statuses = [exchange(pair.address, request()).status for _ in range(6)]
        assert statuses == [200] * 6

    def test_deadline_ends_a_request_with_504(self, pair: ProxyPair) -> None:
        pair.upstream.answer = lambda *_: eventlet.sleep(5)
        data = request("/book/1", "POST").replace(b"-Ms: 2000", b"-Ms: 300")
        assert exchange(pair.address, data).status == 504


class TestCancellation:
    """The upstream is freed when the caller disconnects."""

    def test_closed_connection_reaches_the_upstream(self, pair: ProxyPair) -> None:
        ended: list[bool] = []

        def answer(
            _: RawUpstream, connection: GreenSocket, received: ReceivedRequest
        ) -> None:
            ended.append(connection.recv(1) == b"")

        pair.upstream.answer = answer
        connection = connect(pair.address)
        connection.sendall(request())
        wait_until(lambda: len(pair.upstream.received_requests) == 1)
        connection.close()
        wait_until(lambda: ended == [True])
        wait_until(lambda: _is_idle(pair.near) and _is_idle(pair.far))


def _is_idle(proxy: ProxyProcess) -> bool:
    return proxy.in_flight == 0 and proxy.gate.slots.running == 0
