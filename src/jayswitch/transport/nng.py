"""Transport over nng: one pull socket per node and one push socket per peer."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import eventlet
import pynng
from eventlet import hubs
from eventlet.semaphore import Semaphore
from returns.pipeline import is_successful

from jayswitch.clock import MS_PER_S
from jayswitch.messages.codec import AnyMessage, decode, encode

if TYPE_CHECKING:
    from jayswitch.transport.interface import MessageHandler

MAX_MESSAGE_BYTES = 80 * 1024 * 1024
RECONNECT_MIN_MS = 20
RECONNECT_MAX_MS = 1000
SEND_BUFFER_MESSAGES = 0
RECEIVE_BUFFER_MESSAGES = 512
RECEIVE_BATCH = 64

logger = logging.getLogger(__name__)


class _Peer:
    """The push socket to one peer; a lock lets one task at a time wait on it."""

    __slots__ = ("push", "_lock")

    def __init__(self, push: pynng.Push0) -> None:
        self.push = push
        self._lock = Semaphore(1)

    @classmethod
    def dial(cls, address: str) -> _Peer:
        """Starts connecting in the background."""
        push = pynng.Push0(
            send_buffer_size=SEND_BUFFER_MESSAGES,
            reconnect_time_min=RECONNECT_MIN_MS,
            reconnect_time_max=RECONNECT_MAX_MS,
        )
        push.tcp_nodelay = True
        push.dial(address, block=False)
        return cls(push)

    def send(self, data: bytes, timeout_ms: float) -> bool:
        """Waits for the lock and the connection; returns False on timeout."""
        if not self._lock.acquire(timeout=max(timeout_ms, 0) / MS_PER_S):
            return False
        try:
            return self._send_locked(data, timeout_ms)
        finally:
            self._lock.release()

    def close(self) -> None:
        """Closes the socket once no task waits on its file descriptor."""
        with self._lock:
            self.push.close()

    def _send_locked(self, data: bytes, timeout_ms: float) -> bool:
        if self._try_send(data):
            return True
        with eventlet.Timeout(max(timeout_ms, 0) / MS_PER_S, False):
            while True:
                hubs.trampoline(self.push.send_fd, read=True)
                if self._try_send(data):
                    return True
                eventlet.sleep(0)
        return False

    def _try_send(self, data: bytes) -> bool:
        try:
            self.push.send(data, block=False)
        except pynng.TryAgain:
            return False
        return True


class NngTransport:
    """One-way messages over nng sockets, driven by the eventlet hub."""

    def __init__(self, ip: str, port: int) -> None:
        """Binds the inbox immediately, so that start-up fails if the port is in use."""
        self.address = f"tcp://{ip}:{port}"
        self.bytes_sent = 0
        self.bytes_received = 0
        self._peer_by_address: dict[str, _Peer] = {}
        self._inbox = pynng.Pull0(recv_buffer_size=RECEIVE_BUFFER_MESSAGES)
        self._inbox.recv_max_size = MAX_MESSAGE_BYTES
        self._inbox.listen(self.address)
        self._task: eventlet.greenthread.GreenThread | None = None
        self._closed = False

    def listen(self, handler: MessageHandler) -> None:
        """Starts the task that receives messages from the inbox."""
        self._task = eventlet.spawn(self._receive, handler)

    def send(self, address: str, message: AnyMessage, timeout_ms: float) -> bool:
        """Passes a message to nng; returns False if nng accepted none of it."""
        data = encode(message)
        try:
            sent = self._peer(address).send(data, timeout_ms)
        except pynng.NNGException as error:
            logger.debug(
                "message could not be sent",
                extra={"peer": address, "reason": str(error)},
            )
            return False
        if sent:
            self.bytes_sent += len(data)
        return sent

    def forget(self, address: str) -> None:
        """Closes the push socket of a peer in the background."""
        peer = self._peer_by_address.pop(address, None)
        if peer is not None:
            eventlet.spawn_n(peer.close)

    def close(self) -> None:
        """Stops the receiving task and closes every socket."""
        self._closed = True
        if self._task is not None:
            self._task.kill()
        for peer in self._peer_by_address.values():
            peer.push.close()
        self._peer_by_address.clear()
        self._inbox.close()

    def _peer(self, address: str) -> _Peer:
        peer = self._peer_by_address.get(address)
        if peer is None:
            peer = _Peer.dial(address)
            self._peer_by_address[address] = peer
        return peer

    def _receive(self, handler: MessageHandler) -> None:
        descriptor = self._inbox.recv_fd
        while not self._closed:
            for _ in range(RECEIVE_BATCH):
                try:
                    data = self._inbox.recv(block=False)
                except pynng.TryAgain:
                    hubs.trampoline(descriptor, read=True)
                    continue
                except pynng.Closed:
                    return
                self._deliver(data, handler)
            eventlet.sleep(0)

    def _deliver(self, data: bytes, handler: MessageHandler) -> None:
        self.bytes_received += len(data)
        result = decode(data)
        if not is_successful(result):
            logger.warning(
                "dropping undecodable message", extra={"reason": str(result.failure())}
            )
            return
        try:
            handler(result.unwrap())
        except Exception:
            logger.exception("message handler failed")
