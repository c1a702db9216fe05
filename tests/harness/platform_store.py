"""Stand-in for the platform's store: its HTTP API on top of the memory store."""

from __future__ import annotations

import base64
from collections.abc import Callable, Iterable
from typing import Any
from urllib.parse import parse_qs

import msgspec
from returns.result import Failure, Result, Success

from jayswitch.clock import Clock
from jayswitch.http.status_lines import status_line
from jayswitch.standins.memory_store import MemoryStore
from jayswitch.store.exceptions import CasConflict, LeaseExpired, StoreThrottled
from jayswitch.store.interface import StoredValue, WatchEvent, Write

LEASE_PREFIX = "lease-"


class PlatformStoreApplication:
    """Serves the HTTP API of the store as the platform documents it."""

    def __init__(self, clock: Clock) -> None:
        """Creates an empty store."""
        self.store = MemoryStore(clock)
        self.forced_status = 0
        self.calls = 0

    def put(self, key: str, document: Any) -> None:
        """Writes a key as an operator does; bytes are stored without encoding."""
        data = (
            document if isinstance(document, bytes) else msgspec.json.encode(document)
        )
        assert isinstance(self.store.commit([Write(key, data)]), Success)

    def read(self, key: str) -> Any:
        """Returns the decoded value of a key, or None if there is no such key."""
        stored = self.store.get(key).unwrap()
        return None if stored is None else msgspec.json.decode(stored.value)

    def __call__(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Serves one request."""
        self.calls += 1
        parsed = parse_qs(environ.get("QUERY_STRING", ""))
        query = {name: values[0] for name, values in parsed.items()}
        body = environ["wsgi.input"].read()
        status, answer = self.forced_status, {}
        if not status:
            status, answer = self._serve(environ["PATH_INFO"], query, body)
        data = msgspec.json.encode(answer)
        headers = [("Content-Type", "application/json")]
        start_response(status_line(status), headers)
        return [data]

    def _serve(
        self, path: str, query: dict[str, str], body: bytes
    ) -> tuple[int, dict[str, Any]]:
        if path == "/kv-key":
            stored = self.store.get(query["key"]).unwrap()
            return (404, {}) if stored is None else (200, _item(stored))
        if path == "/kv-range":
            as_of = self.store.watch("", -1, 0).unwrap().revision
            found = self.store.scan(query["prefix"], query.get("after", ""), 500)
            items = [_item(value) for value in found.unwrap()]
            return 200, {"items": items, "has_more": False, "as_of": as_of}
        if path == "/kv-watch":
            return self._watch(query)
        if path == "/kv-txn":
            return self._transact(msgspec.json.decode(body))
        if path == "/kv-lease":
            lease = self.store.grant_lease(msgspec.json.decode(body)["ttl_ms"]).unwrap()
            return 200, {"lease": int(lease.removeprefix(LEASE_PREFIX))}
        lease = LEASE_PREFIX + path.rpartition("/")[2]
        if path.startswith("/kv-keep/"):
            return _status(self.store.keep_alive(lease)), {}
        return _status(self.store.revoke(lease)), {}

    def _watch(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        result = self.store.watch(
            query["prefix"], int(query["after"]), int(query["wait_ms"])
        )
        batch = result.unwrap()
        if batch.compacted:
            return 410, {}
        events = [_event(event) for event in batch.events]
        return 200, {"events": events, "as_of": batch.revision}

    def _transact(self, call: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        expected = {row["key"]: row["revision"] for row in call["expected"]}
        writes = [
            Write(
                put["key"],
                base64.b64decode(put["value"]),
                expected.get(put["key"]),
                f"{LEASE_PREFIX}{put['lease']}" if put["lease"] else "",
            )
            for put in call["puts"]
        ]
        result = self.store.commit(writes)
        status = _status(result)
        if status == 412:
            stored = [self.store.get(key).unwrap() for key in expected]
            return status, {"items": [_item(value) for value in stored if value]}
        return status, {"revision": result.unwrap()} if status == 200 else {}


def _status(result: Result[Any, Any]) -> int:
    match result:
        case Success(_):
            return 200
        case Failure(CasConflict()):
            return 412
        case Failure(LeaseExpired()):
            return 404
        case Failure(StoreThrottled()):
            return 429
    return 503


def _item(stored: StoredValue) -> dict[str, Any]:
    return {
        "key": stored.key,
        "value": base64.b64encode(stored.value).decode(),
        "revision": stored.revision,
        "created": stored.revision,
        "lease": int(stored.lease.removeprefix(LEASE_PREFIX) or 0),
    }


def _event(event: WatchEvent) -> dict[str, Any]:
    if event.value is None:
        return {"key": event.key, "revision": event.revision, "removed": True}
    return _item(StoredValue(event.key, event.value, event.revision))
