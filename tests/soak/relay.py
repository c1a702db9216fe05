"""TCP relay on loopback that delays, resets, silences or cuts connections."""

from __future__ import annotations

import socket
import struct

import eventlet
from eventlet.greenio import GreenSocket

READ_BYTES = 64 * 1024
# With this option close() sends a reset.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class FaultRelay:
    """Passes connections on to an address; its faults apply to open ones, too.

    silent_to holds the directions ("client", "server") whose bytes are withheld; bytes
    are passed on once the direction is no longer silent.
    """

    def __init__(self, address: tuple[str, int], target: tuple[str, int]) -> None:
        """Listens at an address until the end of the program."""
        self.delay_s = 0.0
        self.refuses = False
        self.silent_to: set[str] = set()
        self._target = target
        self._open: set[GreenSocket] = set()
        self._listener = eventlet.listen(address, backlog=256)
        self.address = "{}:{}".format(*self._listener.getsockname())
        eventlet.spawn(self._accept)

    def reset_connections(self) -> None:
        """Resets all open connections."""
        for connection in list(self._open):
            _reset(connection)

    def heal(self) -> None:
        """Ends all faults."""
        self.delay_s = 0.0
        self.refuses = False
        self.silent_to = set()

    def _accept(self) -> None:
        while True:
            connection, _ = self._listener.accept()
            if self.refuses:
                _reset(connection)
                connection.close()
            else:
                eventlet.spawn_n(self._serve, connection)

    def _serve(self, connection: GreenSocket) -> None:
        try:
            server = eventlet.connect(self._target)
        except OSError:
            _reset(connection)
            connection.close()
            return
        self._open |= {connection, server}
        upward = eventlet.spawn(self._copy, connection, server, "server")
        self._copy(server, connection, "client")
        upward.wait()
        self._open -= {connection, server}
        for end in (connection, server):
            end.close()

    def _copy(self, source: GreenSocket, sink: GreenSocket, direction: str) -> None:
        try:
            while data := source.recv(READ_BYTES):
                if self.delay_s:
                    eventlet.sleep(self.delay_s)
                while direction in self.silent_to:
                    eventlet.sleep(0.02)
                sink.sendall(data)
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            _reset(sink)
            _reset(source)


def _reset(connection: GreenSocket) -> None:
    """Ends a connection; closing it, which its own task does, sends a reset."""
    try:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        connection.shutdown(socket.SHUT_RDWR)
    except OSError:
        return
