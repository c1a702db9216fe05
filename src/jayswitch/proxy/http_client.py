"""HTTP client with persistent connections that sends each request at most once."""

from __future__ import annotations

import socket
from collections import deque
from collections.abc import Iterator
from typing import TYPE_CHECKING, Any

import urllib3
from urllib3.connection import HTTPConnection

from jayswitch.clock import MS_PER_S
from jayswitch.proxy.exceptions import ExchangeFailed, RequestNotSent, ResponseTruncated
from jayswitch.proxy.headers import find_header
from jayswitch.proxy.response_parser import ResponseParser
from jayswitch.proxy.sockets import ResetAwareSocket, socket_options

if TYPE_CHECKING:
    from jayswitch.clock import Clock
    from jayswitch.proxy.outcome import Headers

MAX_PORT = 65_535
READ_BYTES = 64 * 1024
# Connect timeout for an address to which the latest connect failed. It is above the
# round-trip time between regions, and most such peers are still unreachable.
RECONNECT_TIMEOUT_MS = 100.0
# Subtracted from the idle timeout that a server announces, to allow for clock
# differences and network latency.
IDLE_MARGIN_MS = 700.0
# Idle timeout of connections whose server announces none.
DEFAULT_IDLE_MS = 2500.0
# Requests with these methods carry no Content-Length if they have no body.
_METHODS_WITHOUT_BODY = frozenset(
    ("GET", "HEAD", "DELETE", "TRACE", "OPTIONS", "CONNECT")
)


class _Connection(HTTPConnection):
    """Establishes the connection; requests are written directly to its socket."""

    def _new_conn(self) -> Any:
        green_socket: Any = super()._new_conn()
        return ResetAwareSocket.from_green(green_socket)


class _IdleConnection:
    """A connection that may be reused until it expires."""

    __slots__ = ("connection", "until_ms")

    def __init__(self, connection: _Connection, until_ms: float) -> None:
        self.connection = connection
        self.until_ms = until_ms


class Exchange:
    """A request that has been sent, and its response."""

    __slots__ = (
        "_client",
        "_connection",
        "_finished",
        "_parser",
        "address",
        "is_reused",
    )

    def __init__(
        self,
        client: HttpClient,
        address: str,
        connection: _Connection,
        parser: ResponseParser,
        is_reused: bool,
    ) -> None:
        """Takes a parser that has read the head of the response.

        is_reused tells whether the connection carried an earlier request.
        """
        self.address = address
        self.is_reused = is_reused
        self._client = client
        self._connection = connection
        self._parser = parser
        self._finished = False

    @property
    def status(self) -> int:
        """Returns the status code of the response."""
        return self._parser.status

    @property
    def headers(self) -> Headers:
        """Returns the headers of the response."""
        return self._parser.headers

    def read(self) -> Iterator[bytes]:
        """Yields the body as it arrives; raises ResponseTruncated if cut short."""
        parser = self._parser
        while True:
            yield from parser.take_body_parts()
            if parser.is_complete:
                break
            try:
                _receive(self._connection, parser)
            except OSError as error:
                raise ResponseTruncated(str(error)) from error
        self._release_connection()

    def read_all(self, max_bytes: int) -> bytes:
        """Returns the body; raises ResponseTruncated if it is cut short or too long."""
        parts = []
        size = 0
        for part in self.read():
            size += len(part)
            if size > max_bytes:
                raise ResponseTruncated(f"the body is longer than {max_bytes} bytes")
            parts.append(part)
        return b"".join(parts)

    def close(self) -> None:
        """Closes the connection unless the whole body has been read."""
        if not self._finished:
            self._finished = True
            self._connection.close()

    def _release_connection(self) -> None:
        if self._finished:
            return
        self._finished = True
        if self._parser.allows_reuse:
            self._client.return_connection(self.address, self._connection, self.headers)
        else:
            self._connection.close()


class HttpClient:
    """Sends requests; each one has a connection exclusively while it runs."""

    def __init__(self, clock: Clock, connect_timeout_ms: float) -> None:
        """Takes the timeout for establishing a connection."""
        self.connections_opened = 0
        self._clock = clock
        self._connect_timeout_ms = connect_timeout_ms
        # Addresses to which the latest connect failed.
        self._unreachable: set[str] = set()
        self._idle_by_address: dict[str, deque[_IdleConnection]] = {}

    def send(
        self,
        address: str,
        method: str,
        target: str,
        headers: Headers,
        body: bytes | Iterator[bytes] | None,
    ) -> Exchange:
        """Sends a request and waits for the head of its response.

        The target is sent unchanged. Raises RequestNotSent if nothing was sent and
        ExchangeFailed if the request may have arrived. Timeouts are set by the
        calling code; an exception raised by one closes the connection.
        """
        kept = self._take_idle_connection(address)
        connection = kept or self._connect(address)
        parser = ResponseParser(method != "HEAD")
        try:
            _write_request(connection.sock, method, target, headers, body)
            while not parser.is_head_complete:
                _receive(connection, parser)
        except (OSError, ResponseTruncated) as error:
            connection.close()
            raise ExchangeFailed(address, str(error) or repr(error)) from error
        except BaseException:
            connection.close()
            raise
        return Exchange(self, address, connection, parser, kept is not None)

    def return_connection(
        self, address: str, connection: _Connection, headers: Headers
    ) -> None:
        """Keeps a connection for reuse until its idle timeout has passed."""
        idle_ms = _keep_alive_ms(headers)
        if idle_ms <= 0:
            connection.close()
            return
        idle = self._idle_by_address.setdefault(address, deque())
        idle.append(_IdleConnection(connection, self._clock.now_ms() + idle_ms))

    def forget(self, address: str) -> None:
        """Closes the idle connections to an address."""
        for idle in self._idle_by_address.pop(address, ()):
            idle.connection.close()

    def close_expired(self) -> None:
        """Closes the connections whose idle timeout has passed."""
        now_ms = self._clock.now_ms()
        for address, idle in list(self._idle_by_address.items()):
            while idle and idle[0].until_ms <= now_ms:
                idle.popleft().connection.close()
            if not idle:
                del self._idle_by_address[address]

    def _take_idle_connection(self, address: str) -> _Connection | None:
        idle = self._idle_by_address.get(address)
        now_ms = self._clock.now_ms()
        while idle:
            newest = idle.pop()
            if newest.until_ms > now_ms and _is_usable(newest.connection):
                return newest.connection
            newest.connection.close()
        return None

    def _connect(self, address: str) -> _Connection:
        timeout_ms = self._connect_timeout_ms
        if address in self._unreachable:
            timeout_ms = min(timeout_ms, RECONNECT_TIMEOUT_MS)
        host, port = _split_address(address)
        connection = _Connection(
            host,
            port,
            timeout=timeout_ms / MS_PER_S,
            socket_options=socket_options(),
        )
        try:
            connection.connect()
        except (urllib3.exceptions.HTTPError, OSError) as error:
            connection.close()
            self._unreachable.add(address)
            raise RequestNotSent(address, str(error)) from error
        except BaseException:
            connection.close()
            raise
        connection.sock.settimeout(None)
        self._unreachable.discard(address)
        self.connections_opened += 1
        return connection


def _split_address(address: str) -> tuple[str, int]:
    """Returns IP and port; raises RequestNotSent if there are none."""
    host, _, port = address.rpartition(":")
    is_host = host.isprintable() and host != "" and " " not in host
    is_port = port.isdecimal() and len(port) <= len(str(MAX_PORT))
    if is_host and is_port and 0 < int(port) <= MAX_PORT:
        return host, int(port)
    raise RequestNotSent(address[:80], "the address is not an IP and a port")


def _receive(connection: _Connection, parser: ResponseParser) -> None:
    sock: Any = connection.sock
    data = sock.recv(READ_BYTES)
    if data:
        parser.feed(data)
    else:
        parser.feed_eof()


def _write_request(
    sock: Any,
    method: str,
    target: str,
    headers: Headers,
    body: bytes | Iterator[bytes] | None,
) -> None:
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers]
    has_length = find_header(headers, "Content-Length") is not None
    if body is None or isinstance(body, bytes):
        payload = body or b""
        if not has_length and (payload or method not in _METHODS_WITHOUT_BODY):
            lines.append(f"Content-Length: {len(payload)}")
        sock.sendall(_join_head(lines) + payload)
        return
    if not has_length:
        lines.append("Transfer-Encoding: chunked")
    sock.sendall(_join_head(lines))
    for part in body:
        if not part:
            continue
        sock.sendall(part if has_length else b"%x\r\n%b\r\n" % (len(part), part))
    if not has_length:
        sock.sendall(b"0\r\n\r\n")


def _join_head(lines: list[str]) -> bytes:
    return "\r\n".join([*lines, "", ""]).encode("latin-1")


def _is_usable(connection: _Connection) -> bool:
    """Returns whether an idle connection is open and has no data to read."""
    sock = connection.sock
    if sock is None:
        return False
    raw_socket = getattr(sock, "fd", sock)
    try:
        raw_socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return True
    except OSError:
        return False
    # Readable means end of stream or data that belongs to no request.
    return False


def _keep_alive_ms(headers: Headers) -> float:
    keep_alive = find_header(headers, "Keep-Alive") or ""
    for parameter in keep_alive.split(","):
        name, _, value = parameter.strip().partition("=")
        if name.lower() == "timeout" and value.isdigit():
            return int(value) * MS_PER_S - IDLE_MARGIN_MS
    return DEFAULT_IDLE_MS
