"""Detects that a caller closes its connection while its request is running."""

from __future__ import annotations

import socket
from typing import Any

from eventlet import hubs
from greenlet import getcurrent, greenlet

from jayswitch.proxy.exceptions import CallerDisconnected


class DisconnectWatcher:
    """Raises CallerDisconnected in the serving green thread on end of stream.

    The WSGI server does not read from the connection while the application runs, so
    the descriptor has no other reader.
    """

    __slots__ = ("_listener", "_socket", "_task", "disconnected")

    def __init__(self, sock: Any) -> None:
        """Takes the connection; the current green thread is the one to interrupt."""
        self.disconnected = False
        self._socket = getattr(sock, "fd", sock)
        self._task: greenlet | None = getcurrent()
        self._listener: Any = None

    def start(self) -> None:
        """Registers a read listener for the connection."""
        hub = hubs.get_hub()
        if self._listener is None:
            self._listener = hub.add(
                hub.READ,
                self._socket.fileno(),
                self._on_readable,
                self._on_readable,
                _ignore,
            )

    def stop(self) -> None:
        """Removes the listener, so that the server may read the connection again."""
        self._task = None
        self._remove()

    def _remove(self) -> None:
        if self._listener is not None:
            listener, self._listener = self._listener, None
            hubs.get_hub().remove(listener)

    def _on_readable(self, *_: Any) -> None:
        self._remove()
        try:
            data = self._socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            self.start()
            return
        except OSError:
            data = b""
        if data:
            # A pipelined request hides a later end of stream.
            return
        self.disconnected = True
        hubs.get_hub().schedule_call_global(0, self._interrupt)

    def _interrupt(self) -> None:
        if self._task is not None and not self._task.dead:
            task, self._task = self._task, None
            task.throw(CallerDisconnected())


def _ignore(*_: Any) -> None:
    return
