"""Simulated network with delay, loss, duplication, partitions and paused nodes."""

from __future__ import annotations

import random

import eventlet

from jayswitch.clock import MS_PER_S, Clock
from jayswitch.messages.codec import AnyMessage, decode, encode
from jayswitch.messages.generated import Call
from jayswitch.transport.interface import MessageHandler


class FakeNetwork:
    """Delivers messages between transports and injects faults."""

    def __init__(self, clock: Clock, seed: int) -> None:
        """Takes the seed of delays, losses and duplicates."""
        self.loss_rate = 0.0
        self.duplication_rate = 0.0
        self.delay_ms = (0.3, 1.5)
        self.lost_calls = 0
        self.clock = clock
        self.random = random.Random(seed)
        self._transport_by_address: dict[str, FakeTransport] = {}
        self._partitions: set[frozenset[str]] = set()

    def transport(self, address: str, node: str, data_centre: str) -> FakeTransport:
        """Creates the transport of a starting node; a restart replaces the old one."""
        transport = FakeTransport(self, address, node, data_centre)
        self._transport_by_address[address] = transport
        return transport

    def partition(self, one: str, other: str) -> None:
        """Drops all messages between two data centres."""
        self._partitions.add(frozenset((one, other)))

    def heal(self) -> None:
        """Ends every partition."""
        self._partitions.clear()

    def is_partitioned(self, one: str, other: str) -> bool:
        """Returns whether messages between two data centres are dropped."""
        return frozenset((one, other)) in self._partitions

    def find(self, address: str) -> FakeTransport | None:
        """Returns the live transport at an address, or None."""
        found = self._transport_by_address.get(address)
        return found if found is not None and found.alive else None


class FakeTransport:
    """The transport of one node: sends messages and delivers received ones."""

    def __init__(
        self, network: FakeNetwork, address: str, node: str, data_centre: str
    ) -> None:
        """Starts alive and reachable."""
        self.address = address
        self.node = node
        self.data_centre = data_centre
        self.bytes_sent = 0
        self.alive = True
        self.paused = False
        self._network = network
        self._handler: MessageHandler | None = None
        self._queued: list[bytes] = []

    def listen(self, handler: MessageHandler) -> None:
        """Sets the handler that is called for each received message."""
        self._handler = handler

    def send(self, address: str, message: AnyMessage, timeout_ms: float) -> bool:
        """Sends a message; returns False only if no connection can be made."""
        while self.paused:
            self._network.clock.sleep_ms(50)
        if not self.alive:
            return False
        network = self._network
        target = network.find(address)
        if target is None:
            return False
        data = encode(message)
        self.bytes_sent += len(data)
        if network.is_partitioned(self.data_centre, target.data_centre):
            network.lost_calls += isinstance(message, Call)
            return True
        if network.random.random() < network.loss_rate:
            network.lost_calls += isinstance(message, Call)
            return True
        copies = 2 if network.random.random() < network.duplication_rate else 1
        for _ in range(copies):
            delay_ms = network.random.uniform(*network.delay_ms)
            eventlet.spawn_after(delay_ms / MS_PER_S, target.deliver, data)
        return True

    def deliver(self, data: bytes) -> None:
        """Passes a message to the handler, or queues it while the node is paused."""
        if not self.alive or self._handler is None:
            return
        if self.paused:
            self._queued.append(data)
            return
        self._handler(decode(data).unwrap())

    def resume(self) -> None:
        """Ends a pause and delivers the queued messages."""
        self.paused = False
        queued, self._queued = self._queued, []
        for data in queued:
            self.deliver(data)

    def forget(self, address: str) -> None:
        """Does nothing: there are no connections to close."""

    def close(self) -> None:
        """Makes the transport unreachable."""
        self.alive = False
