"""Tests of stopping a server while callers connect."""

from __future__ import annotations

import socket

import eventlet
import pytest

from jayswitch.http.server import HttpServer

REQUEST = b"GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"


@pytest.fixture
def server() -> HttpServer:
    """Returns a server that answers every request with 200."""

    def application(environ, start_response):
        start_response("200 OK", [("Content-Length", "2")])
        return [b"ok"]

    server = HttpServer("127.0.0.1", 0, application)
    server.start()
    eventlet.sleep(0)
    return server


def _connect(server: HttpServer) -> socket.socket:
    """Returns a connection that the system has established, without running tasks."""
    host, _, port = server.address.removeprefix("http://").partition(":")
    return eventlet.patcher.original("socket").create_connection((host, int(port)))


class TestStopAccepting:
    """A connection that was established before the stop is served.

    Closing a listening socket resets the connections in its accept queue, which their
    callers see as a response that never comes.
    """

    def test_connections_in_the_accept_queue_are_served(
        self, server: HttpServer
    ) -> None:
        connections = [_connect(server) for _ in range(20)]
        server.stop_accepting()
        for connection in connections:
            connection.sendall(REQUEST)
        eventlet.sleep(0.1)
        for connection in connections:
            connection.settimeout(2.0)
            assert connection.recv(100).startswith(b"HTTP/1.1 200")
            connection.close()
        server.stop()

    def test_connections_after_the_stop_are_refused(self, server: HttpServer) -> None:
        server.stop_accepting()
        with pytest.raises(ConnectionRefusedError):
            _connect(server)
        server.stop()

    def test_stop_may_be_repeated(self, server: HttpServer) -> None:
        server.stop_accepting()
        server.stop()
        server.stop()
