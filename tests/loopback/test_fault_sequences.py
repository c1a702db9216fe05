"""Sequences of faults of upstreams over connections that are used again.

Each fault leaves something behind on its connection: a second copy of a response, a
rejection, a part of a head or body. Which request it meets next depends on the order,
so hypothesis draws the sequences and the places at which responses break off.
"""

from __future__ import annotations

import struct
from collections import Counter
from socket import SO_LINGER, SOL_SOCKET

import eventlet
import pytest
from eventlet.greenio import GreenSocket
from hypothesis import given, strategies as st

from tests.harness.loopback import (
    HOST,
    SERVICE,
    LoopbackDeployment,
    RawAnswer,
    RawUpstream,
    ReceivedRequest,
    connect,
    receive,
    wait_until,
)

REPEAT_DELAY_S = 0.002
BODY_REPEATS = 40
MAX_REQUESTS = 6
UNSAFE_STATUSES = {503, 429, 421, 408}


class Fault:
    """What an upstream does with one request; cut is a share of the response."""

    def __init__(self, kind: str, cut: float = 1.0) -> None:
        """Takes one of KINDS."""
        self.kind = kind
        self.cut = cut

    def __repr__(self) -> str:
        """Names the fault in a falsifying example."""
        return f"{self.kind}@{self.cut:.2f}"


KINDS = (
    "whole",
    "chunked",
    "until close",
    "copy later",
    "rejection later",
    "reject",
    "reject without id",
    "reject twice",
    "repeat previous first",
    "cut",
    "cut chunked",
    "reset",
)


def body_of(request_id: str) -> bytes:
    """Returns the only body that belongs to a request."""
    return f"<{request_id}>".encode() * BODY_REPEATS


def whole_response(request_id: str, framing: str = "length") -> bytes:
    """Returns a complete response."""
    body = body_of(request_id)
    head = f"HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\nServer-Signature: s\r\n"
    if framing == "length":
        return f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body
    if framing == "close":
        return f"{head}Connection: close\r\n\r\n".encode() + body
    chunks = f"{len(body):x}\r\n".encode() + body + b"\r\n0\r\n\r\n"
    return f"{head}Transfer-Encoding: chunked\r\n\r\n".encode() + chunks


def rejection(request_id: str) -> bytes:
    """Returns a rejection, with an id if one is given."""
    id_line = f"Request-Id: {request_id}\r\n" if request_id else ""
    head = f"HTTP/1.1 503 Full\r\nNot-Executed: 1\r\n{id_line}Content-Length: 0\r\n\r\n"
    return head.encode()


class FaultyDeployment:
    """Two proxies whose upstreams follow a script by request id."""

    def __init__(self) -> None:
        """Starts both proxies."""
        self.fault_by_id: dict[str, Fault] = {}
        self.runs: Counter[str] = Counter()
        self.number = 0
        # Holds the connections, so that a new one is never taken for an earlier one.
        self._previous_by_connection: dict[GreenSocket, bytes] = {}
        self.deployment = LoopbackDeployment()
        for vm in ("vm-1", "vm-2"):
            upstream = RawUpstream(f"i-{vm}")
            upstream.answer = self._answer
            self.deployment.add_vm(vm, upstream)
        self.proxies = self.deployment.proxies
        wait_until(
            lambda: all(len(p.directory.members(SERVICE)) == 2 for p in self.proxies)
        )
        self.address = self.proxies[0].settings.callers_address

    def reset(self) -> None:
        """Forgets faults that earlier sequences have left in the gates."""
        self.runs.clear()
        for proxy in self.proxies:
            proxy.gate.restart()
            proxy.balancer.load_by_node.clear()

    def _answer(
        self, upstream: RawUpstream, connection: GreenSocket, received: ReceivedRequest
    ) -> None:
        request_id = received.header("Request-Id")
        fault = self.fault_by_id[request_id]
        previous = self._previous_by_connection.get(connection, b"")
        if fault.kind.startswith("reject"):
            has_id = fault.kind != "reject without id"
            data = rejection(request_id if has_id else "")
            self._send(connection, data)
            if fault.kind == "reject twice":
                eventlet.spawn_after(REPEAT_DELAY_S, self._send, connection, data)
            return
        if fault.kind == "repeat previous first" and previous:
            self._send(connection, previous)
            eventlet.sleep(REPEAT_DELAY_S)
        self.runs[request_id] += 1
        self._respond(connection, request_id, fault)

    def _respond(self, connection: GreenSocket, request_id: str, fault: Fault) -> None:
        if fault.kind == "reset":
            connection.setsockopt(SOL_SOCKET, SO_LINGER, struct.pack("ii", 1, 0))
            connection.close()
            return
        framing = "chunked" if "chunked" in fault.kind else "length"
        if fault.kind == "until close":
            framing = "close"
        data = whole_response(request_id, framing)
        if fault.kind.startswith("cut"):
            data = data[: int((len(data) - 1) * fault.cut)]
        self._send(connection, data)
        if fault.kind.startswith("cut") or framing == "close":
            connection.close()
        elif fault.kind == "copy later":
            eventlet.spawn_after(REPEAT_DELAY_S, self._send, connection, data)
        elif fault.kind == "rejection later":
            late = rejection("")
            eventlet.spawn_after(REPEAT_DELAY_S, self._send, connection, late)

    def _send(self, connection: GreenSocket, data: bytes) -> None:
        self._previous_by_connection[connection] = data
        try:
            connection.sendall(data)
        except OSError:
            # The proxy has closed the connection.
            return

    def request(self, connection: GreenSocket, is_safe: bool, fault: Fault) -> str:
        """Sends a request and returns its id."""
        self.number += 1
        request_id = f"r-{self.number}"
        self.fault_by_id[request_id] = fault
        line = "GET /read/1" if is_safe else "POST /book/1"
        length = "" if is_safe else "Content-Length: 0\r\n"
        connection.sendall(
            f"{line} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {request_id}\r\n"
            f"Deadline-Ms: 1000\r\n{length}\r\n".encode()
        )
        return request_id


@pytest.fixture(scope="module")
def faulty(virtual_time: None) -> FaultyDeployment:
    """Returns a deployment that all sequences of this module share."""
    return FaultyDeployment()


def body(answer: RawAnswer) -> bytes:
    """Returns the body of a response without its framing."""
    if "chunked" not in answer.head.lower():
        return answer.body
    data, rest = b"", answer.body
    while rest:
        size, _, rest = rest.partition(b"\r\n")
        data += rest[: int(size, 16)]
        rest = rest[int(size, 16) + 2 :]
    return data


faults = st.builds(Fault, st.sampled_from(KINDS), st.floats(0.0, 1.0))
steps = st.tuples(st.booleans(), faults)


class TestFaultSequences:
    """Callers get their own whole response, or a truthful failure."""

    @given(sequence=st.lists(steps, min_size=2, max_size=MAX_REQUESTS))
    def test_no_fault_reaches_another_request(
        self, faulty: FaultyDeployment, sequence: list[tuple[bool, Fault]]
    ) -> None:
        faulty.reset()
        answers: dict[str, tuple[bool, RawAnswer]] = {}
        connection = connect(faulty.address)
        for is_safe, fault in sequence:
            request_id = faulty.request(connection, is_safe, fault)
            answer = receive(connection)
            answers[request_id] = (is_safe, answer)
            if answer.ended or "connection: close" in answer.head.lower():
                connection.close()
                connection = connect(faulty.address)
        connection.close()
        eventlet.sleep(2 * REPEAT_DELAY_S)
        for request_id, (is_safe, answer) in answers.items():
            self._check(faulty, request_id, is_safe, answer)

    def _check(
        self, faulty: FaultyDeployment, request_id: str, is_safe: bool, got: RawAnswer
    ) -> None:
        runs = faulty.runs[request_id]
        if got.status == 200 and not got.ended:
            assert body(got) == body_of(request_id)
            assert "server-signature: s" in got.head.lower()
            assert runs >= 1
        if not is_safe:
            assert runs <= 1
            assert got.status not in UNSAFE_STATUSES or runs == 0
