"""Encoding of log entries and states for the store and for messages."""

from __future__ import annotations

import zlib

import msgspec
from returns.result import Failure, Result, Success

from jayswitch.config.exceptions import UnknownChange
from jayswitch.config.state import ConfigState, Entry
from jayswitch.exceptions import JayswitchError

_entry_decoder = msgspec.json.Decoder(Entry)
_state_decoder = msgspec.json.Decoder(ConfigState)


class _IndexOnly(msgspec.Struct):
    """The index of an entry, readable even if a later release wrote the change."""

    index: int


_index_decoder = msgspec.json.Decoder(_IndexOnly)


def encode_entry(entry: Entry) -> bytes:
    """Returns the entry as JSON."""
    return msgspec.json.encode(entry)


def entry_index(data: bytes) -> int:
    """Returns the index of an entry of any release; -1 if it cannot be decoded."""
    try:
        return _index_decoder.decode(data).index
    except msgspec.DecodeError:
        return -1


def decode_entry(data: bytes) -> Result[Entry, JayswitchError]:
    """Returns the entry, or why this release cannot decode it."""
    try:
        return Success(_entry_decoder.decode(data))
    except msgspec.DecodeError as error:
        return Failure(UnknownChange(entry_index(data), str(error)))


def encode_state(state: ConfigState) -> bytes:
    """Returns the state as zlib-compressed JSON."""
    return zlib.compress(msgspec.json.encode(state))


def decode_state(data: bytes) -> Result[ConfigState, JayswitchError]:
    """Returns the state, or why this release cannot decode it."""
    try:
        return Success(_state_decoder.decode(zlib.decompress(data)))
    except (msgspec.DecodeError, zlib.error) as error:
        return Failure(UnknownChange(-1, str(error)))
