"""Keeps connections open and sends each request at most once."""

from __future__ import annotations

import http.client
import socket
from collections import deque
from collections.abc import Iterator
from typing import TYPE_CHECKING, Any

import urllib3
from urllib3.connection import HTTPConnection
from urllib3.util import SKIP_HEADER

from jayswitch.clock import MS_PER_S
from jayswitch.proxy.exceptions import AnswerCut, ExchangeBroken, NotSent
from jayswitch.proxy.headers import connection_options, find
from jayswitch.proxy.sockets import ResetAwareSocket, socket_options

if TYPE_CHECKING:
    from jayswitch.clock import Clock
    from jayswitch.proxy.outcome import Headers

READ_BYTES = 64 * 1024
# Kept back from the idle time that a server states, for clocks and travel.
IDLE_MARGIN_MS = 700.0
# A connection whose server states no idle time is reused only this long.
UNSTATED_IDLE_MS = 2500.0
_BROKEN = (
    urllib3.exceptions.HTTPError,
    http.client.HTTPException,
    OSError,
    ValueError,
)


class _CheckedResponse(http.client.HTTPResponse):
    """Notices bytes that arrived behind the end of the answer."""

    surplus = False

    def _close_conn(self) -> None:
        # Called by http.client when the body is complete.
        if self.fp is not None and not self.will_close:
            self.surplus = self._has_surplus()
        super()._close_conn()  # type: ignore[misc]

    def _has_surplus(self) -> bool:
        raw = getattr(self.fp, "raw", None)
        sock = getattr(raw, "_sock", None)
        if sock is None:
            return True
        timeout = sock.gettimeout()
        sock.settimeout(0)
        try:
            return bool(self.fp.peek(1))
        except OSError:
            return False
        finally:
            sock.settimeout(timeout)


class _Connection(HTTPConnection):
    response_class = _CheckedResponse

    def _new_conn(self) -> Any:
        plain: Any = super()._new_conn()
        return ResetAwareSocket.from_green(plain)


class _Idle:
    __slots__ = ("connection", "until_ms")

    def __init__(self, connection: _Connection, until_ms: float) -> None:
        self.connection = connection
        self.until_ms = until_ms


class Exchange:
    """A request that has been sent and its answer."""

    __slots__ = (
        "_client",
        "_connection",
        "_finished",
        "_response",
        "address",
        "headers",
        "status",
    )

    def __init__(
        self,
        client: HttpClient,
        address: str,
        connection: _Connection,
        response: urllib3.response.HTTPResponse,
    ) -> None:
        """Takes the answer whose head has been read."""
        self.address = address
        self.status = response.status
        self.headers: Headers = list(response.headers.items())
        self._client = client
        self._connection = connection
        self._response = response
        self._finished = False

    @property
    def length(self) -> int | None:
        """Returns the stated length of the body; None if none is stated."""
        stated = find(self.headers, "Content-Length")
        return int(stated) if stated is not None and stated.isdigit() else None

    def read(self) -> Iterator[bytes]:
        """Yields the body as it arrives; raises AnswerCut if it ends early."""
        try:
            while True:
                data = self._response.read1(READ_BYTES)
                if not data:
                    break
                yield data
        except _BROKEN as error:
            raise AnswerCut(str(error)) from error
        self._finish()

    def close(self) -> None:
        """Abandons the exchange unless the whole body has been read."""
        if not self._finished:
            self._finished = True
            self._connection.close()

    def _finish(self) -> None:
        self._finished = True
        original = self._response._original_response
        surplus = getattr(original, "surplus", True)
        ends = "close" in connection_options(self.headers)
        if surplus or ends or self._connection.sock is None:
            self._connection.close()
            return
        self._client.keep(self.address, self._connection, self.headers)


class HttpClient:
    """Sends requests to addresses, each over a connection of its own."""

    def __init__(self, clock: Clock, connect_timeout_ms: float) -> None:
        """Takes how long a connection may take to be established."""
        self.opened = 0
        self._clock = clock
        self._connect_timeout_ms = connect_timeout_ms
        self._idle_by_address: dict[str, deque[_Idle]] = {}

    def send(
        self,
        address: str,
        method: str,
        target: str,
        headers: Headers,
        body: bytes | Iterator[bytes] | None,
    ) -> Exchange:
        """Sends a request and waits for the head of its answer.

        The target is sent byte for byte. Raises NotSent where nothing was sent and
        ExchangeBroken where the request may have arrived. Time limits are the
        caller's; an abandoned call closes its connection.
        """
        connection = self._take(address) or self._connect(address)
        sent = urllib3.HTTPHeaderDict()
        for name in ("User-Agent", "Accept-Encoding"):
            if find(headers, name) is None:
                sent[name] = SKIP_HEADER
        for name, value in headers:
            sent.add(name, value)
        try:
            connection.request(
                method,
                target,
                body=body,
                headers=sent,
                preload_content=False,
                decode_content=False,
            )
            response = connection.getresponse()
        except _BROKEN as error:
            connection.close()
            raise ExchangeBroken(address, str(error) or repr(error)) from error
        except BaseException:
            connection.close()
            raise
        return Exchange(self, address, connection, response)

    def keep(self, address: str, connection: _Connection, headers: Headers) -> None:
        """Keeps a connection for another request, as long as its server does."""
        idle_ms = _stated_idle_ms(headers)
        if idle_ms <= 0:
            connection.close()
            return
        idle = self._idle_by_address.setdefault(address, deque())
        idle.append(_Idle(connection, self._clock.now_ms() + idle_ms))

    def forget(self, address: str) -> None:
        """Closes the idle connections to an address."""
        for idle in self._idle_by_address.pop(address, ()):
            idle.connection.close()

    def close_expired(self) -> None:
        """Closes connections that have been idle for too long."""
        now_ms = self._clock.now_ms()
        for address, idle in list(self._idle_by_address.items()):
            while idle and idle[0].until_ms <= now_ms:
                idle.popleft().connection.close()
            if not idle:
                del self._idle_by_address[address]

    def _take(self, address: str) -> _Connection | None:
        idle = self._idle_by_address.get(address)
        now_ms = self._clock.now_ms()
        while idle:
            newest = idle.pop()
            if newest.until_ms > now_ms and _is_quiet(newest.connection):
                return newest.connection
            newest.connection.close()
        return None

    def _connect(self, address: str) -> _Connection:
        host, _, port = address.rpartition(":")
        connection = _Connection(
            host,
            int(port),
            timeout=self._connect_timeout_ms / MS_PER_S,
            socket_options=socket_options(),
        )
        try:
            connection.connect()
        except (urllib3.exceptions.HTTPError, OSError) as error:
            connection.close()
            raise NotSent(address, str(error)) from error
        except BaseException:
            connection.close()
            raise
        connection.timeout = None
        self.opened += 1
        return connection


def _is_quiet(connection: _Connection) -> bool:
    """Tells whether an idle connection is open and has received nothing."""
    sock = connection.sock
    if sock is None:
        return False
    real = getattr(sock, "fd", sock)
    try:
        real.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return True
    except OSError:
        return False
    # Either the end of the stream or bytes that belong to no request.
    return False


def _stated_idle_ms(headers: Headers) -> float:
    stated = find(headers, "Keep-Alive") or ""
    for parameter in stated.split(","):
        name, _, value = parameter.strip().partition("=")
        if name.lower() == "timeout" and value.isdigit():
            return int(value) * MS_PER_S - IDLE_MARGIN_MS
    return UNSTATED_IDLE_MS
