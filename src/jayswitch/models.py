"""Base classes of the generated data types."""

from __future__ import annotations

import msgspec


class Model(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """A slotted data class that refuses unknown fields when decoded."""


class Change(msgspec.Struct, kw_only=True, tag=True, forbid_unknown_fields=True):
    """A change in the configuration log; its type name is stored with it.

    Unknown fields are refused, because a node must not apply a part of a change.
    """


class Message(msgspec.Struct, kw_only=True, tag=True, array_like=True):
    """A message between nodes, sent as an array that its type name heads.

    Fields at the end that this release does not know are ignored, so that nodes of
    two releases can talk; new fields are added at the end, with a default.
    """
