"""What a node needs from the network between nodes."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from jayswitch.messages.codec import AnyMessage

MessageHandler = Callable[[AnyMessage], None]


class Transport(Protocol):
    """Sends one-way messages to the inboxes of other nodes.

    Messages may be lost, and a lost message is not reported.
    """

    address: str
    bytes_sent: int

    def send(self, address: str, message: AnyMessage, timeout_ms: float) -> bool:
        """Hands a message to the peer's connection.

        Returns False when no part of the message can have left this node; after
        True the message may or may not arrive.
        """

    def listen(self, handler: MessageHandler) -> None:
        """Calls the handler for each message that arrives; it must not block."""

    def forget(self, address: str) -> None:
        """Closes the connection to a peer that is no longer needed."""

    def close(self) -> None:
        """Closes every connection."""
