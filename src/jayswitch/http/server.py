"""Serves a WSGI application with eventlet and stops without cutting requests."""

from __future__ import annotations

import logging
import socket
from collections.abc import Callable, Iterable
from typing import Any, TypeAlias

import eventlet
from eventlet import wsgi

WsgiApplication: TypeAlias = Callable[[dict[str, Any], Callable], Iterable[bytes]]

MAX_CONNECTIONS = 4096
BACKLOG = 512

_silent = logging.getLogger("jayswitch.wsgi")
_silent.setLevel(logging.ERROR)


class HttpServer:
    """One listening socket and the task that accepts its connections."""

    def __init__(self, ip: str, port: int, application: WsgiApplication) -> None:
        """Binds at once, so that a taken port fails at start-up; 0 picks a port."""
        self._listener = eventlet.listen((ip, port), backlog=BACKLOG)
        self._listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.address = f"http://{ip}:{self._listener.getsockname()[1]}"
        self._application = application
        self._task: eventlet.greenthread.GreenThread | None = None

    def start(self) -> None:
        """Starts to accept connections."""
        self._task = eventlet.spawn(
            wsgi.server,
            self._listener,
            self._application,
            log=_silent,
            log_output=False,
            max_size=MAX_CONNECTIONS,
            debug=False,
            minimum_chunk_size=1,
        )

    def stop(self) -> None:
        """Refuses new connections; requests in flight go on."""
        if self._task is None:
            return
        self._task.kill()
        try:
            self._listener.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self._task = None
