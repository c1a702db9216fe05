"""Tests of request head parsing, with fixed and randomly corrupted heads."""

from __future__ import annotations

import io
from typing import Any
from unittest import mock

import pytest
from hypothesis import given, strategies as st

from jayswitch.proxy.exceptions import MalformedRequest
from jayswitch.proxy.protocol import StrictProtocol, validate_head

HEAD = (
    b"POST /read/a%2fb?q=[1] HTTP/1.1\r\nHost: herd.example\r\n"
    b"Request-Id: r-1\r\nContent-Length: 3\r\nX-Odd:  a  b \r\n\r\n"
)


def _parse(data: bytes) -> tuple[bool, Any]:
    """Returns whether a head is accepted, and the protocol object that parsed it."""
    protocol = StrictProtocol.__new__(StrictProtocol)
    stream = io.BytesIO(data)
    protocol.raw_requestline = stream.readline()
    protocol.rfile = stream
    protocol.wfile = io.BytesIO()
    protocol.connection = mock.Mock()
    return protocol.parse_request(), protocol


class TestFixedHeads:
    """Accepted heads keep their target and headers unchanged."""

    def test_target_and_headers_are_unchanged(self) -> None:
        accepted, protocol = _parse(HEAD)
        assert accepted and not protocol.close_connection
        assert protocol.target == "/read/a%2fb?q=[1]"
        assert ("X-Odd", "a  b") in protocol.raw_headers
        assert protocol.get_environ()["CONTENT_LENGTH"] == "3"

    @pytest.mark.parametrize(
        ("line", "closes"),
        [
            (b"Connection: close\r\n", True),
            (b"Connection: Upgrade\r\nUpgrade: h2c\r\n", False),
            (b"", False),
        ],
    )
    def test_connection_persists_unless_the_caller_closes_it(
        self, line: bytes, closes: bool
    ) -> None:
        data = HEAD.replace(b"Content-Length: 3\r\n", line)
        accepted, protocol = _parse(data)
        assert accepted and bool(protocol.close_connection) is closes

    def test_http_1_0_connection_is_closed(self) -> None:
        accepted, protocol = _parse(HEAD.replace(b"HTTP/1.1", b"HTTP/1.0"))
        assert accepted and protocol.close_connection

    @pytest.mark.parametrize(
        "corruption",
        [
            (b"Content-Length: 3", b"Content-Length: +3"),
            (b"Content-Length: 3", b"Content-Length: 3\r\nContent-Length: 4"),
            (b"Content-Length: 3", b"Content-Length: 3\r\nContent-Length: 3"),
            (b"Content-Length: 3", b"Content-Length : 3"),
            (b"Content-Length: 3", b"Content-Length: 3\r\nTransfer-Encoding: chunked"),
            (b"Content-Length: 3", b"Transfer-Encoding: gzip"),
            (b"Content-Length: 3", b"Transfer-Encoding : chunked"),
            (b"Host: herd.example\r\n", b""),
            (b"Host: herd.example", b"Host: a\r\nHost: b"),
            (b"X-Odd: ", b" X-Odd: "),
            (b"/read/", b"http://elsewhere/read/"),
            (b"HTTP/1.1", b"HTTP/2.0"),
            (b"\r\nX-Odd", b"\nX-Odd"),
        ],
    )
    def test_ambiguous_head_is_rejected_and_closed(
        self, corruption: tuple[bytes, bytes]
    ) -> None:
        accepted, protocol = _parse(HEAD.replace(*corruption))
        assert not accepted and protocol.close_connection
        assert protocol.wfile.getvalue().startswith(b"HTTP/1.1 400 ")

    def test_truncated_head_is_rejected(self) -> None:
        for length in range(1, len(HEAD)):
            assert not _parse(HEAD[:length])[0]


class TestRandomCorruption:
    """A corrupted head is either rejected or has exactly one interpretation."""

    @given(
        at=st.integers(0, len(HEAD) - 1),
        inserted=st.sampled_from([b"\r", b"\n", b"\r\n", b" ", b":", b"\0", b"\x80"]),
        removed=st.integers(0, 3),
    )
    def test_accepted_head_has_unambiguous_framing(
        self, at: int, inserted: bytes, removed: int
    ) -> None:
        accepted, protocol = _parse(HEAD[:at] + inserted + HEAD[at + removed :])
        if not accepted:
            return
        names = [name.lower() for name, _ in protocol.raw_headers]
        assert names.count("host") == 1
        assert names.count("content-length") + names.count("transfer-encoding") <= 1
        assert protocol.target.startswith("/")
        for name, value in protocol.raw_headers:
            assert not set("\r\n\0 :") & set(name)
            assert not set("\r\n\0") & set(value)

    @given(st.lists(st.tuples(st.text(max_size=8), st.text(max_size=8)), max_size=5))
    def test_validation_accepts_only_token_names_and_one_host(
        self, headers: list[tuple[str, str]]
    ) -> None:
        try:
            value_by_name = validate_head("HTTP/1.1", "/", [("Host", "h"), *headers])
        except MalformedRequest:
            return
        assert value_by_name["host"] == "h"
        assert all(name and name.isascii() for name, _ in headers)
