"""Interface to the message transport between nodes."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from jayswitch.messages.codec import AnyMessage

MessageHandler = Callable[[AnyMessage], None]


class Transport(Protocol):
    """Sends one-way messages to the inboxes of other nodes.

    Messages may be lost without notice.
    """

    address: str
    bytes_sent: int

    def send(self, address: str, message: AnyMessage, timeout_ms: float) -> bool:
        """Passes a message to the peer's connection.

        Returns False if no part of the message can have left this node. After True,
        the message may or may not arrive.
        """

    def listen(self, handler: MessageHandler) -> None:
        """Calls the handler, which must not block, for each received message."""

    def forget(self, address: str) -> None:
        """Closes the connection to a peer that is no longer needed."""

    def close(self) -> None:
        """Closes every connection."""
