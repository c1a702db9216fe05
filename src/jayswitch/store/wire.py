"""Requests and answers of the store's HTTP interface, as JSON."""

from __future__ import annotations

import msgspec

from jayswitch.store.interface import StoredValue


class PutBody(msgspec.Struct):
    """Body of a write."""

    value: bytes
    expected_revision: int
    lease: str = ""


class LeaseBody(msgspec.Struct):
    """Body of a lease request and of its answer."""

    ttl_ms: int = 0
    lease: str = ""


class RevisionBody(msgspec.Struct):
    """Answer to a write."""

    revision: int


class ScanBody(msgspec.Struct):
    """Answer to a scan."""

    values: list[StoredValue]


class ErrorBody(msgspec.Struct):
    """Answer to a call that did not succeed; code as in store.exceptions."""

    code: str
    detail: str = ""
