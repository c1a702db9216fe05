"""Fake network between nodes: delays, losses, repetitions, cuts and pauses."""

from __future__ import annotations

import random

import eventlet

from jayswitch.clock import MS_PER_S, Clock
from jayswitch.messages.codec import AnyMessage, decode, encode
from jayswitch.messages.generated import Call
from jayswitch.transport.interface import MessageHandler


class FakeNetwork:
    """Delivers messages between transports, with the faults set on it."""

    def __init__(self, clock: Clock, seed: int) -> None:
        """Takes the seed of delays and losses."""
        self.loss_rate = 0.0
        self.duplication_rate = 0.0
        self.delay_ms = (0.3, 1.5)
        self.lost_calls = 0
        self.clock = clock
        self.random = random.Random(seed)
        self._transport_by_address: dict[str, FakeTransport] = {}
        self._partitions: set[frozenset[str]] = set()

    def transport(self, address: str, node: str, data_centre: str) -> FakeTransport:
        """Returns the transport of a node that starts or starts again."""
        transport = FakeTransport(self, address, node, data_centre)
        self._transport_by_address[address] = transport
        return transport

    def partition(self, one: str, other: str) -> None:
        """Cuts two data centres off from each other."""
        self._partitions.add(frozenset((one, other)))

    def heal(self) -> None:
        """Ends every cut."""
        self._partitions.clear()

    def is_partitioned(self, one: str, other: str) -> bool:
        """Tells whether two data centres are cut off from each other."""
        return frozenset((one, other)) in self._partitions

    def find(self, address: str) -> FakeTransport | None:
        """Returns the live transport under an address."""
        found = self._transport_by_address.get(address)
        return found if found is not None and found.alive else None


class FakeTransport:
    """One inbox and the sending side towards all others."""

    def __init__(
        self, network: FakeNetwork, address: str, node: str, data_centre: str
    ) -> None:
        """Is alive and reachable from the start."""
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
        """Calls the handler for each message that arrives."""
        self._handler = handler

    def send(self, address: str, message: AnyMessage, timeout_ms: float) -> bool:
        """Sends a message; False only where no connection can be made."""
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
        """Hands a message to the node, or keeps it while the node is paused."""
        if not self.alive or self._handler is None:
            return
        if self.paused:
            self._queued.append(data)
            return
        self._handler(decode(data).unwrap())

    def resume(self) -> None:
        """Ends a pause; what arrived meanwhile is delivered."""
        self.paused = False
        queued, self._queued = self._queued, []
        for data in queued:
            self.deliver(data)

    def forget(self, address: str) -> None:
        """Has no connections to close."""

    def close(self) -> None:
        """Is no longer reachable."""
        self.alive = False
