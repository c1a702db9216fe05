"""Base classes of the generated data types."""

from __future__ import annotations

import msgspec


class Model(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """A slotted data class that refuses unknown fields when decoded."""


class Change(msgspec.Struct, kw_only=True, tag=True, forbid_unknown_fields=True):
    """A change in the configuration log; its type name is stored with it.

    Unknown fields are refused, because a node must not apply a part of a change.
    """


class Message(msgspec.Struct, kw_only=True, tag=True, omit_defaults=True):
    """A message between nodes; its type name travels with it.

    Unknown fields are ignored, so that nodes of two releases can talk.
    """
