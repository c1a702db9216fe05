"""Base classes of the generated data classes."""

from __future__ import annotations

import msgspec


class Model(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """A slotted data class that rejects unknown fields when decoded."""


class Change(msgspec.Struct, kw_only=True, tag=True, forbid_unknown_fields=True):
    """A change in the configuration log, stored with its type name as the tag.

    Unknown fields are rejected, because a node must not apply a change partially.
    """


class Message(msgspec.Struct, kw_only=True, tag=True, array_like=True):
    """A message between nodes, encoded as an array that starts with its type name.

    Unknown trailing fields are ignored, so that nodes of two releases are compatible;
    new fields are appended with a default.
    """
