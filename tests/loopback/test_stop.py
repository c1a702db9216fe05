"""Tests of a planned stop over real sockets."""

from __future__ import annotations

import eventlet
from eventlet.greenio import GreenSocket

from tests.harness.loopback import (
    LoopbackDeployment,
    RawUpstream,
    ReceivedRequest,
    answer_ok,
    connect,
    exchange,
    receive,
    request,
    wait_until,
)


class StoppingProxy:
    """A proxy to be stopped while callers keep sending requests."""

    def __init__(self) -> None:
        """Starts the proxy and waits until it serves requests."""
        self.loopback, self.upstream = LoopbackDeployment(), RawUpstream("i-1")
        self.proxy = self.loopback.add_vm("vm-1", self.upstream)
        self.address = self.proxy.settings.callers_address
        wait_until(lambda: exchange(self.address, request()).status == 200)

    def readiness_status(self) -> int:
        """Returns the status of the readiness check."""
        head = b"GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n"
        return exchange(self.proxy.settings.readiness_address, head).status


class TestPlannedStop:
    """A stop cuts no accepted request, however long callers keep sending."""

    def test_requests_during_a_stop_are_never_cut(self) -> None:
        stopping = StoppingProxy()

        def answer_slowly(
            up: RawUpstream, connection: GreenSocket, received: ReceivedRequest
        ) -> None:
            eventlet.sleep(0.2)
            answer_ok(up, connection, received)

        stopping.upstream.answer = answer_slowly
        stop = eventlet.spawn(stopping.proxy.stop)
        statuses: list[int] = []
        cut = 0
        while not stop.dead:
            try:
                connection = connect(stopping.address)
            except OSError:
                break
            connection.sendall(request("/book/1", "POST"))
            answer = receive(connection)
            cut += answer.ended and not answer.status
            statuses.append(answer.status)
        assert stop.wait() is True
        assert cut == 0
        assert statuses[0] == 200
        assert set(statuses) <= {200, 503}

    def test_request_that_may_outlast_the_process_is_refused(self) -> None:
        # Guards against requests accepted so late that the process's exit cuts them.
        stopping = StoppingProxy()
        wait_until(lambda: "vm-1" in stopping.proxy.directory.record_by_vm)

        def answer_too_late(
            up: RawUpstream, connection: GreenSocket, received: ReceivedRequest
        ) -> None:
            eventlet.sleep(60)

        stopping.upstream.answer = answer_too_late
        stop = eventlet.spawn(stopping.proxy.stop)
        eventlet.sleep(4.3)
        answer = exchange(stopping.address, request("/book/1", "POST"))
        assert answer.status == 503
        assert stop.wait() is True

    def test_stop_ends_readiness_at_once_and_closes_connections(self) -> None:
        stopping = StoppingProxy()
        assert stopping.readiness_status() == 200
        eventlet.spawn(stopping.proxy.stop)
        eventlet.sleep(0)
        assert stopping.readiness_status() == 503
        answer = exchange(stopping.address, request())
        assert answer.status == 200 and "Connection: close" in answer.head

    def test_stop_without_requests_removes_the_node_record(self) -> None:
        stopping = StoppingProxy()
        store = stopping.loopback.store
        assert stopping.proxy.stop() is True
        wait_until(lambda: store.read("jayswitch/nodes/vm-1") is None)
        assert store.read("jayswitch-last/vm-1") is not None

    def test_stop_after_the_upstream_has_left_takes_one_call(self) -> None:
        stopping = StoppingProxy()
        loopback, proxy = stopping.loopback, stopping.proxy
        store = loopback.store
        # Until the proxy knows its proved version, the coordinator may write it again.
        wait_until(lambda: "herdview" in proxy.rules.proved_version_by_service)
        loopback.send_heartbeat(proxy, stopping.upstream, seq=2, state="draining")
        before = store.store.calls_by_kind.copy()
        stop = eventlet.spawn(proxy.stop)
        wait_until(lambda: store.read("jayswitch/nodes/vm-1") is None)
        assert not stop.dead
        assert stop.wait() is True
        calls = store.store.calls_by_kind - before
        assert calls["revoke"] == 1
        assert calls["commit"] == 0

    def test_last_proxy_of_a_data_centre_stays_as_long_as_it_may(self) -> None:
        stopping = StoppingProxy()
        wait_until(lambda: "vm-1" in stopping.proxy.directory.record_by_vm)
        stop = eventlet.spawn(stopping.proxy.stop)
        # A proxy whose callers can use other proxies would have stopped by now.
        eventlet.sleep(3.5)
        assert exchange(stopping.address, request()).status == 200
        assert stop.wait() is True
