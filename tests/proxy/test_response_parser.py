"""Tests of the response parser with input split at arbitrary points."""

from __future__ import annotations

import pytest
from hypothesis import given, strategies as st

from jayswitch.proxy.exceptions import ResponseTruncated
from jayswitch.proxy.response_parser import ResponseParser

HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\nRequest-Id: r-1\r\n"
WITH_LENGTH = HEAD + b"\r\nwhole body"
CHUNKED = (
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"6\r\nwhole \r\n4\r\nbody\r\n0\r\n\r\n"
)


def _parse(data: bytes, has_body: bool = True) -> ResponseParser:
    parser = ResponseParser(has_body)
    parser.feed(data)
    return parser


def _body(parser: ResponseParser) -> bytes:
    return b"".join(parser.take_body_parts())


class TestCompleteResponses:
    """Responses whose end is determined by their framing."""

    @pytest.mark.parametrize("data", [WITH_LENGTH, CHUNKED])
    def test_framed_response_is_complete_and_connection_is_reusable(
        self, data: bytes
    ) -> None:
        parser = _parse(data)
        assert parser.is_complete and parser.allows_reuse
        assert (parser.status, _body(parser)) == (200, b"whole body")

    @given(data=st.sampled_from([WITH_LENGTH, CHUNKED]), splits=st.data())
    def test_result_does_not_depend_on_how_input_is_split(
        self, data: bytes, splits: st.DataObject
    ) -> None:
        at = splits.draw(st.lists(st.integers(0, len(data)), max_size=6).map(sorted))
        parser, body = ResponseParser(), b""
        for begin, end in zip([0, *at], [*at, len(data)], strict=True):
            assert not parser.is_complete or begin == end == len(data)
            parser.feed(data[begin:end])
            body += _body(parser)
        assert parser.allows_reuse and body == b"whole body"

    def test_interim_response_is_skipped(self) -> None:
        parser = _parse(b"HTTP/1.1 100 Continue\r\nX: y\r\n\r\n" + WITH_LENGTH)
        assert parser.status == 200 and parser.is_complete
        assert ("X", "y") not in parser.headers and _body(parser) == b"whole body"

    def test_response_to_head_has_no_body(self) -> None:
        parser = _parse(HEAD + b"\r\n", has_body=False)
        assert parser.is_complete and not parser.allows_reuse

    @pytest.mark.parametrize("status", [b"204 No Content", b"304 Not Modified"])
    def test_bodiless_status_is_complete(self, status: bytes) -> None:
        assert _parse(b"HTTP/1.1 " + status + b"\r\n\r\n").allows_reuse

    def test_response_without_length_ends_at_connection_close(self) -> None:
        parser = _parse(b"HTTP/1.1 200 OK\r\n\r\nwhole body")
        assert not parser.is_complete
        parser.feed_eof()
        assert parser.is_complete and not parser.allows_reuse
        assert _body(parser) == b"whole body"


class TestInvalidResponses:
    """Malformed and truncated responses."""

    @pytest.mark.parametrize("data", [WITH_LENGTH, CHUNKED])
    def test_truncated_response_is_never_complete(self, data: bytes) -> None:
        for length in range(1, len(data)):
            parser = _parse(data[:length])
            with pytest.raises(ResponseTruncated):
                parser.feed_eof()
            assert not parser.is_complete

    def test_eof_before_any_data_raises(self) -> None:
        with pytest.raises(ResponseTruncated):
            ResponseParser().feed_eof()

    @pytest.mark.parametrize(
        "data",
        [
            b"garbage\r\n\r\n",
            b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
            b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n"
            b"Transfer-Encoding: chunked\r\n\r\na",
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        ],
    )
    def test_ambiguous_framing_raises(self, data: bytes) -> None:
        with pytest.raises(ResponseTruncated):
            _parse(data)

    @pytest.mark.parametrize("surplus", [b"x", WITH_LENGTH, b"HTTP/1.1 500 No\r\n\r\n"])
    def test_surplus_bytes_prevent_reuse_and_are_discarded(
        self, surplus: bytes
    ) -> None:
        parser = _parse(WITH_LENGTH + surplus)
        assert parser.is_complete and not parser.allows_reuse
        assert (parser.status, _body(parser)) == (200, b"whole body")
        assert parser.headers.count(("Request-Id", "r-1")) == 1

    def test_connection_of_a_closing_server_is_not_reused(self) -> None:
        assert not _parse(HEAD + b"Connection: close\r\n\r\nwhole body").allows_reuse
        assert not _parse(WITH_LENGTH.replace(b"1.1", b"1.0")).allows_reuse


class TestUnboundedInput:
    """Framing that never ends is rejected after a bounded number of bytes."""

    MAX_FED_BYTES = 256 * 1024

    @pytest.mark.parametrize(
        ("start", "repeated"),
        [
            (b"HTTP/1.1 200 OK\r\nX: ", b"a" * 1024),
            (b"HTTP/1.1 200 OK\r\n", b"X-A: 1\r\n" * 128),
            (b"", b"HTTP/1.1 103 Early Hints\r\n\r\n" * 32),
            (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;", b"a" * 1024),
            (
                b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
                b"X-A: 1\r\n" * 128,
            ),
        ],
        ids=["header", "headers", "interim", "chunk-extension", "trailers"],
    )
    def test_endless_framing_raises(self, start: bytes, repeated: bytes) -> None:
        parser = _parse(start)
        fed = 0
        with pytest.raises(ResponseTruncated):
            while fed < self.MAX_FED_BYTES:
                parser.feed(repeated)
                fed += len(repeated)

    def test_long_body_is_accepted(self) -> None:
        parser = _parse(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        for _ in range(1000):
            parser.feed(b"400\r\n" + b"b" * 1024 + b"\r\n")
        assert len(_body(parser)) == 1000 * 1024
