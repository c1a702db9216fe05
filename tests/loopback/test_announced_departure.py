"""Tests of upstreams that announce in their responses that they are leaving.

Such a response can reach a caller long before the upstream's next heartbeat, and binds
the proxy that passes it on whatever becomes of the store and of other proxies.
"""

from __future__ import annotations

import eventlet
from eventlet.greenio import GreenSocket

from jayswitch.proxy.process import ProxyProcess
from tests.harness.loopback import (
    LoopbackDeployment,
    RawUpstream,
    ReceivedRequest,
    answer_ok,
    exchange,
    request,
    send_answer,
    signature_headers,
    wait_until,
)

LEAVING = "Server-Leaving: 1\r\n"


def answer_leaving(
    upstream: RawUpstream, connection: GreenSocket, received: ReceivedRequest
) -> None:
    """Sends a complete response that announces the departure of its upstream."""
    send_answer(connection, signature_headers(received) + LEAVING, b"whole body")


class Departure:
    """A proxy whose callers are served by the upstream of another VM."""

    def __init__(self) -> None:
        """Starts both proxies and waits until the callers are served."""
        self.loopback = LoopbackDeployment()
        self.upstream = RawUpstream("i-2")
        self.origin = self.loopback.start_proxy("vm-1", RawUpstream("i-1"))
        self.remote = self.loopback.add_vm("vm-2", self.upstream)
        wait_until(lambda: self.status() == 200)

    def status(self) -> int:
        """Returns the status of a request of a caller on the first VM."""
        address = self.origin.settings.callers_address
        return exchange(address, request()).status

    def announce(self) -> None:
        """Serves one caller with a response that announces the departure."""
        self.upstream.answer = answer_leaving
        assert self.status() == 200
        self.upstream.answer = answer_ok
        self.upstream.received_requests.clear()

    def restart_remote(self) -> ProxyProcess:
        """Replaces the proxy beside the upstream by one that knows no departure."""
        restarted = self.loopback.start_proxy("vm-2", self.upstream)
        wait_until(lambda: restarted.local_upstream.usable is not None)
        address = restarted.settings.proxies_address
        wait_until(lambda: self.origin.directory.address_of("vm-2") == address)
        return restarted


class TestAnnouncedDeparture:
    """An upstream that announces its departure gets no new requests."""

    # Guards against a departure that is passed on to callers but not obeyed.
    def test_upstream_gets_no_request_after_its_announcement(self) -> None:
        departure = Departure()
        departure.announce()
        assert departure.status() == 503
        assert departure.upstream.received_requests == []

    # Guards against a restarted gate that undoes what its callers' proxies have seen.
    def test_announcement_binds_after_a_restart_of_the_gate(self) -> None:
        departure = Departure()
        # The state is not stored in time.
        departure.remote.gate.notices.on_departure = lambda: None
        departure.announce()
        departure.restart_remote()
        for _ in range(5):
            assert departure.status() == 503
        assert departure.upstream.received_requests == []

    def test_announcement_binds_while_the_store_is_away(self) -> None:
        departure = Departure()
        departure.loopback.store.forced_status = 503
        departure.announce()
        eventlet.sleep(0.3)
        assert departure.status() == 503
        assert departure.upstream.received_requests == []

    def test_announcement_is_stored_for_the_next_process(self) -> None:
        departure = Departure()
        departure.announce()
        store = departure.loopback.store
        wait_until(
            lambda: store.read("jayswitch-last/vm-2")["state"] == "leaving",
        )

    def test_next_incarnation_is_used_again(self) -> None:
        departure = Departure()
        departure.announce()
        heartbeat = departure.loopback.send_heartbeat(
            departure.remote, departure.upstream, born=2000
        )
        assert heartbeat == 200
        wait_until(lambda: departure.status() == 200)

    def test_announcement_of_another_upstream_at_the_address_is_ignored(self) -> None:
        departure = Departure()

        def answer_misdirected(
            up: RawUpstream, connection: GreenSocket, received: ReceivedRequest
        ) -> None:
            request_id = f"Request-Id: {received.header('Request-Id')}\r\n"
            connection.sendall(
                b"HTTP/1.1 421 Misdirected Request\r\n"
                + f"{request_id}{LEAVING}Content-Length: 0\r\n\r\n".encode()
            )

        departure.upstream.answer = answer_misdirected
        assert departure.status() == 503
        departure.upstream.answer = answer_ok
        wait_until(lambda: departure.status() == 200)
