"""Load pattern: a data centre loses power, and its proxies stay in the directory.

Until their records expire, each sender tries each of these proxies again at growing
intervals. Nested calls with little time left fail if every attempt takes the whole
connect timeout.
"""

from __future__ import annotations

import pytest

from jayswitch.clock import VirtualClock
from jayswitch.proxy import http_client
from jayswitch.proxy.exceptions import RequestNotSent
from jayswitch.proxy.http_client import RECONNECT_TIMEOUT_MS, HttpClient

CONNECT_TIMEOUT_MS = 250.0
ADDRESS = "10.1.0.9:80"


class SilentNetwork:
    """Takes the place of connections; none is established until the power is back."""

    def __init__(self) -> None:
        """Starts without power."""
        self.has_power = False
        self.timeouts_ms: list[float] = []

    def connection(self, host: str, port: int, timeout: float, **_: object) -> object:
        """Returns a connection that records its connect timeout."""
        self.timeouts_ms.append(timeout * 1000)
        return SilentConnection(self)


class SilentConnection:
    """A connection to a VM that may have no power."""

    def __init__(self, network: SilentNetwork) -> None:
        """Takes the network."""
        self._network = network
        self.sock = self

    def connect(self) -> None:
        """Fails as after a connect timeout."""
        if not self._network.has_power:
            raise TimeoutError("timed out")

    def settimeout(self, timeout: float | None) -> None:
        """Does nothing."""

    def close(self) -> None:
        """Does nothing."""


class TestUnreachableProxies:
    """Only the first attempt at an unreachable proxy takes the whole timeout."""

    def test_further_attempts_are_short(self, monkeypatch: pytest.MonkeyPatch) -> None:
        network = SilentNetwork()
        monkeypatch.setattr(http_client, "_Connection", network.connection)
        client = HttpClient(VirtualClock(), CONNECT_TIMEOUT_MS)
        for _ in range(4):
            with pytest.raises(RequestNotSent):
                client.send(ADDRESS, "GET", "/", [], None)
        assert network.timeouts_ms[0] == CONNECT_TIMEOUT_MS
        assert set(network.timeouts_ms[1:]) == {RECONNECT_TIMEOUT_MS}

    def test_proxy_that_is_reached_again_gets_the_whole_timeout(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        network = SilentNetwork()
        monkeypatch.setattr(http_client, "_Connection", network.connection)
        client = HttpClient(VirtualClock(), CONNECT_TIMEOUT_MS)
        with pytest.raises(RequestNotSent):
            client.send(ADDRESS, "GET", "/", [], None)
        network.has_power = True
        client._connect(ADDRESS)
        client._connect(ADDRESS)
        assert network.timeouts_ms[-1] == CONNECT_TIMEOUT_MS
