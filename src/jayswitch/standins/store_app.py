"""HTTP interface of the store stand-in."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any
from urllib.parse import parse_qs, unquote

import msgspec
from returns.result import Failure, Result, Success

from jayswitch.http.status_lines import status_line
from jayswitch.standins.memory_store import MemoryStore
from jayswitch.store.exceptions import StoreError
from jayswitch.store.wire import (
    ErrorBody,
    LeaseBody,
    PutBody,
    RevisionBody,
    ScanBody,
)


class StoreApplication:
    """WSGI application that serves a MemoryStore; POST /faults injects faults."""

    def __init__(self, store: MemoryStore) -> None:
        """Takes the store to serve."""
        self._store = store

    def __call__(
        self, environ: dict[str, Any], start_response: Callable
    ) -> Iterable[bytes]:
        """Handles one call."""
        body = environ["wsgi.input"].read()
        query = {
            key: values[0]
            for key, values in parse_qs(environ.get("QUERY_STRING", "")).items()
        }
        path = unquote(environ["PATH_INFO"])
        match self._call(environ["REQUEST_METHOD"], path, query, body):
            case Success(value):
                start_response("200 OK", [("Content-Type", "application/json")])
                return [msgspec.json.encode(value)]
            case Failure(error):
                start_response(status_line(error.status), [])
                return [msgspec.json.encode(ErrorBody(error.code, error.cause))]
        raise AssertionError("result is neither a success nor a failure")

    def _call(
        self, method: str, path: str, query: dict[str, str], body: bytes
    ) -> Result[Any, StoreError]:
        store = self._store
        match method, path.split("/", 2)[1:]:
            case "GET", ["kv", key]:
                return store.get(key)
            case "PUT", ["kv", key]:
                put = msgspec.json.decode(body, type=PutBody)
                written = store.put(key, put.value, put.expected_revision, put.lease)
                return written.map(RevisionBody)
            case "DELETE", ["kv", key]:
                return store.delete(key, int(query["expected_revision"]))
            case "GET", ["scan"]:
                found = store.scan(
                    query.get("prefix", ""),
                    query.get("after", ""),
                    int(query.get("limit", "1000")),
                )
                return found.map(ScanBody)
            case "POST", ["leases"]:
                ttl_ms = msgspec.json.decode(body, type=LeaseBody).ttl_ms
                return store.grant_lease(ttl_ms).map(
                    lambda lease: LeaseBody(lease=lease)
                )
            case "POST", ["leases", lease]:
                return store.keep_alive(lease)
            case "DELETE", ["leases", lease]:
                return store.revoke(lease)
            case "GET", ["watch"]:
                return store.watch(
                    query.get("prefix", ""),
                    int(query["after"]),
                    int(query["timeout_ms"]),
                )
            case "POST", ["faults"]:
                for name, value in msgspec.json.decode(body).items():
                    setattr(store.faults, name, value)
                return Success(None)
            case "GET", ["calls"]:
                return Success(dict(store.calls_by_kind))
        return Failure(
            StoreError(f"unknown call {method} {path}", "see store/interface.py")
        )
