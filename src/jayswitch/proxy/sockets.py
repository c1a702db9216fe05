"""Socket options that make a silent peer visible."""

from __future__ import annotations

import errno
import socket

from eventlet.greenio import GreenSocket

# Unacknowledged bytes end a connection after this time: shorter than the least
# deadline of a caller in either deployment (1000 ms).
UNACKNOWLEDGED_TIMEOUT_MS = 900
# Probes notice a peer that lost power while it owes an answer, after 3 s.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2


def socket_options() -> list[tuple[int, int, int | bytes]]:
    """Returns options as setsockopt takes them."""
    return [
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS),
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    ]


def apply_options(sock: socket.socket) -> None:
    """Sets the options on a connection that was accepted."""
    for level, name, value in socket_options():
        sock.setsockopt(level, name, value)


class ResetAwareSocket(GreenSocket):
    """Raises when the peer resets the connection.

    Eventlet's own sockets report a reset as the end of the stream, which makes an
    answer without a length look complete.
    """

    @classmethod
    def from_green(cls, sock: GreenSocket) -> ResetAwareSocket:
        """Returns the same connection; the given object closes it when collected."""
        aware = cls(sock.fd)
        aware.origin = sock
        return aware

    def recv(self, bufsize: int, flags: int = 0) -> bytes:
        """Reads some bytes; returns none only at the end of the stream."""
        return self._recv_loop(self._receive, b"", bufsize, flags)

    def _receive(self, bufsize: int, flags: int) -> bytes:
        try:
            return self.fd.recv(bufsize, flags)
        except ConnectionResetError as error:
            raise OSError(errno.ECONNABORTED, "the peer reset it") from error
