"""JSON bodies of the store's HTTP interface."""

from __future__ import annotations

import msgspec

from jayswitch.store.interface import StoredValue


class PutBody(msgspec.Struct):
    """Request body of a write."""

    value: bytes
    expected_revision: int
    lease: str = ""


class LeaseBody(msgspec.Struct):
    """Request and response body of a lease grant."""

    ttl_ms: int = 0
    lease: str = ""


class RevisionBody(msgspec.Struct):
    """Response to a write."""

    revision: int


class ScanBody(msgspec.Struct):
    """Response to a scan."""

    values: list[StoredValue]


class ErrorBody(msgspec.Struct):
    """Response to a failed call; the codes are those in store.exceptions."""

    code: str
    detail: str = ""
