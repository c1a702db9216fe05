"""MessagePack codec for the messages between nodes."""

from __future__ import annotations

from typing import TypeAlias

import msgspec
from returns.result import Failure, Result, Success

from jayswitch.messages.exceptions import UndecodableMessage
from jayswitch.messages.generated import (
    Answer,
    Call,
    Cancel,
    Chunk,
    Credit,
    Join,
    JoinReply,
    Refusal,
    Sync,
    Unknown,
)

AnyMessage: TypeAlias = (
    Answer
    | Call
    | Cancel
    | Chunk
    | Credit
    | Join
    | JoinReply
    | Refusal
    | Sync
    | Unknown
)

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[AnyMessage] = msgspec.msgpack.Decoder(AnyMessage)


def encode(message: AnyMessage) -> bytes:
    """Returns the message as MessagePack."""
    return _encoder.encode(message)


def decode(data: bytes) -> Result[AnyMessage, UndecodableMessage]:
    """Returns the decoded message, or why the data could not be decoded."""
    try:
        return Success(_decoder.decode(data))
    except (msgspec.DecodeError, RecursionError) as error:
        return Failure(UndecodableMessage(str(error)))
