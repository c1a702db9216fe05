"""Socket options and a socket class that detect failed peers."""

from __future__ import annotations

import errno
import socket

from eventlet.greenio import GreenSocket

# A connection is closed if sent data stays unacknowledged for this long, which is
# less than the shortest caller deadline in either reference deployment (1000 ms).
UNACKNOWLEDGED_TIMEOUT_MS = 900
# Keepalive probes detect within 3 s a peer that lost power before responding.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2


def socket_options() -> list[tuple[int, int, int | bytes]]:
    """Returns the options as arguments of setsockopt."""
    return [
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS),
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    ]


def apply_options(sock: socket.socket) -> None:
    """Sets the options on an accepted connection."""
    for level, name, value in socket_options():
        sock.setsockopt(level, name, value)


class ResetAwareSocket(GreenSocket):
    """Raises OSError if the peer resets the connection.

    Eventlet's sockets report a reset as end of stream, which makes a response
    without Content-Length look complete.
    """

    @classmethod
    def from_green(cls, sock: GreenSocket) -> ResetAwareSocket:
        """Wraps a connection; keeps the original, which closes it when collected."""
        aware = cls(sock.fd)
        aware.origin = sock
        return aware

    def recv(self, bufsize: int, flags: int = 0) -> bytes:
        """Receives data; returns no bytes only at the end of the stream."""
        return self._recv_loop(self._receive, b"", bufsize, flags)

    def _receive(self, bufsize: int, flags: int) -> bytes:
        try:
            return self.fd.recv(bufsize, flags)
        except ConnectionResetError as error:
            raise OSError(errno.ECONNABORTED, "the peer reset it") from error
