"""Socket options that make a silent peer visible."""

from __future__ import annotations

import socket

# Unacknowledged bytes end a connection after this time: shorter than the least
# deadline of a caller in either deployment (1000 ms).
UNACKNOWLEDGED_TIMEOUT_MS = 900
# Probes notice a peer that lost power while it owes an answer, after 3 s.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2


def socket_options() -> list[tuple[int, int, int]]:
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
