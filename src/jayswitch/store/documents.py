"""Decodes JSON documents that other writers may have produced."""

from __future__ import annotations

from typing import TypeVar

import msgspec

from jayswitch.exceptions import JayswitchError

T = TypeVar("T")

# Largest integer that JSON numbers carry exactly; timestamps and counters stay below.
MAX_JSON_INTEGER = 2**53 - 1


class InvalidDocument(JayswitchError):
    """A document is not of the expected type."""

    code = "invalid-document"

    def __init__(self, reason: str) -> None:
        """Takes what is wrong with the document."""
        super().__init__(f"invalid document: {reason}", "correct its writer")


def decode_document(data: bytes, document_type: type[T]) -> T:
    """Decodes a JSON document; raises InvalidDocument whatever is wrong with it."""
    try:
        return msgspec.json.decode(data, type=document_type)
    # Values below unknown keys are skipped by recursion, whatever the type.
    except (msgspec.MsgspecError, RecursionError, ValueError) as error:
        raise InvalidDocument(str(error)) from error
