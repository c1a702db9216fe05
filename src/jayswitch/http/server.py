"""WSGI server on eventlet with a graceful shutdown."""

from __future__ import annotations

import errno
import logging
import socket
from collections import deque
from collections.abc import Callable, Iterable
from typing import Any, TypeAlias

import eventlet
from eventlet import wsgi
from eventlet.event import Event
from eventlet.greenio import GreenSocket

WsgiApplication: TypeAlias = Callable[[dict[str, Any], Callable], Iterable[bytes]]

MAX_CONNECTIONS = 4096
BACKLOG = 512
# Exceeds every request line that the configurable header limits allow.
MAX_REQUEST_LINE_BYTES = 64 * 1024

_wsgi_logger = logging.getLogger("jayswitch.wsgi")
_wsgi_logger.setLevel(logging.ERROR)


class DrainingListener:
    """A listening socket that can stop accepting before the server shuts down.

    Eventlet's server closes idle connections as soon as accept() fails, which would
    disconnect a caller that has just connected. accept() therefore blocks after
    stop_accepting() and fails only after finish().
    """

    def __init__(
        self,
        listener: socket.socket,
        on_accept: Callable[[socket.socket], None] | None = None,
    ) -> None:
        """Initializes the listener with a hook that runs on accepted connections."""
        self._listener = listener
        self._on_accept = on_accept
        self._stopped = False
        self._finished = Event()
        # Connections that were established before accepting stopped.
        self._pending: deque[tuple[GreenSocket, Any]] = deque()

    def __getattr__(self, name: str) -> Any:
        """Delegates all other attributes to the listening socket."""
        return getattr(self._listener, name)

    def accept(self) -> tuple[socket.socket, Any]:
        """Returns a connection; fails after finish() once accepting has stopped."""
        try:
            if not self._stopped:
                return self._accept()
        except OSError:
            if not self._stopped:
                raise
        if self._pending:
            return self._pending.popleft()
        self._finished.wait()
        raise OSError(errno.EPIPE, "the server has stopped")

    def _accept(self) -> tuple[socket.socket, Any]:
        connection, address = self._listener.accept()
        if self._on_accept is not None:
            self._on_accept(connection)
        return connection, address

    def stop_accepting(self) -> None:
        """Shuts the listening socket down, so that new connections are refused.

        The system resets connections that have been established but not accepted, so
        these are accepted first.
        """
        if self._stopped:
            return
        self._stopped = True
        self._accept_established()
        try:
            self._listener.shutdown(socket.SHUT_RDWR)
        except OSError:
            # Some systems report ENOTCONN for a listening socket.
            return

    def _accept_established(self) -> None:
        raw_listener = getattr(self._listener, "fd", self._listener)
        while True:
            try:
                raw_connection, address = raw_listener.accept()
            except OSError:
                return
            connection = GreenSocket(raw_connection)
            if self._on_accept is not None:
                self._on_accept(connection)
            self._pending.append((connection, address))

    def finish(self) -> None:
        """Makes accept() fail, so that the server closes idle connections and ends."""
        if not self._finished.ready():
            self._finished.send(None)


class HttpServer:
    """A listening socket and the task that accepts its connections."""

    def __init__(
        self,
        ip: str,
        port: int,
        application: WsgiApplication,
        protocol: type[wsgi.HttpProtocol] = wsgi.HttpProtocol,
        on_accept: Callable[[socket.socket], None] | None = None,
    ) -> None:
        """Binds immediately, so that start-up fails if the port is in use.

        Port 0 selects a free port.
        """
        listener = eventlet.listen((ip, port), backlog=BACKLOG)
        listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.address = f"http://{ip}:{listener.getsockname()[1]}"
        self._listener = DrainingListener(listener, on_accept)
        self._application = application
        self._protocol = protocol

    def start(self) -> None:
        """Starts the task that accepts connections."""
        eventlet.spawn(
            wsgi.server,
            self._listener,
            self._application,
            log=_wsgi_logger,
            log_output=False,
            max_size=MAX_CONNECTIONS,
            debug=False,
            minimum_chunk_size=1,
            capitalize_response_headers=False,
            protocol=self._protocol,
            url_length_limit=MAX_REQUEST_LINE_BYTES,
        )

    def stop_accepting(self) -> None:
        """Refuses new connections; open ones are still served."""
        self._listener.stop_accepting()

    def stop(self) -> None:
        """Also closes idle connections; requests in flight continue."""
        self._listener.stop_accepting()
        self._listener.finish()
