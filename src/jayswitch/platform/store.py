"""Client of the platform's key-value store that implements the store interface."""

from __future__ import annotations

import base64
import logging
from collections import Counter
from typing import TYPE_CHECKING, Any
from urllib.parse import urlencode

import msgspec
import urllib3
from returns.result import Failure, Result, Success

from jayswitch.clock import MS_PER_S
from jayswitch.proxy.sockets import socket_options
from jayswitch.store.documents import InvalidDocument, decode_document
from jayswitch.store.exceptions import (
    CasConflict,
    LeaseExpired,
    StoreError,
    StoreThrottled,
    StoreUnavailable,
)
from jayswitch.store.interface import (
    Snapshot,
    StoredValue,
    WatchBatch,
    WatchEvent,
    Write,
)

if TYPE_CHECKING:
    from jayswitch.clock import Clock

# The store responds within 4 ms, or within several hundred milliseconds when slow.
CALL_TIMEOUT_MS = 1200
# A watch returns after its wait time at the latest; a slow store adds to that.
WATCH_MARGIN_MS = 1000
POOLED_CONNECTIONS = 6
# Responses of at least this size are logged with their transfer time.
LARGE_RESPONSE_BYTES = 64 * 1024
STATUS_OK = 200
STATUS_ERRORS_FROM = 400
STATUS_NOT_FOUND = 404
STATUS_GONE = 410
STATUS_PRECONDITION_FAILED = 412
STATUS_TOO_MANY_REQUESTS = 429

logger = logging.getLogger(__name__)


class ItemBody(msgspec.Struct):
    """One key as sent by the store; lease 0 means that it has no lease."""

    key: str
    value: str = ""
    revision: int = 0
    lease: int = 0
    # Set in an event that reports the deletion of the key.
    removed: bool = False


class RangeBody(msgspec.Struct):
    """A page of keys; as_of is the store revision."""

    items: list[ItemBody]
    has_more: bool = False
    as_of: int = 0


class EventsBody(msgspec.Struct):
    """Changes after a revision; as_of is the store revision."""

    events: list[ItemBody]
    as_of: int


class ConflictBody(msgspec.Struct):
    """The current state of the keys of a write whose expectation was not met."""

    items: list[ItemBody]


class RevisionBody(msgspec.Struct):
    """The revision of a committed change."""

    revision: int


class LeaseBody(msgspec.Struct):
    """The id of a granted lease."""

    lease: int


class IgnoredBody(msgspec.Struct):
    """A JSON object whose fields are ignored."""


class PlatformStore:
    """Client of the platform's store.

    Each method makes one call; scan and read make one call for each page.
    """

    def __init__(self, address: str, clock: Clock) -> None:
        """Takes the address as IP:port; connects on the first call."""
        host, _, port = address.rpartition(":")
        self._pool = urllib3.HTTPConnectionPool(
            host, int(port), maxsize=POOLED_CONNECTIONS, socket_options=socket_options()
        )
        # Calls by kind; reads and watches also name the prefix. Failed calls count
        # once more, by status or as "no response".
        self.calls_by_kind: Counter[str] = Counter()
        self._clock = clock

    def get(self, key: str) -> Result[StoredValue | None, StoreError]:
        """Returns the key's value, or None if the key does not exist."""
        result = self._call(
            "get", "GET", "/kv-key?" + urlencode({"key": key}), ItemBody
        )
        match result:
            # _decode_response returns LeaseExpired for every status 404; in response to
            # a read, it means that the key does not exist.
            case Failure(LeaseExpired()):
                return Success(None)
        return result.bind(_decode_item)

    def scan(
        self, prefix: str, after: str = "", limit: int = 1000
    ) -> Result[list[StoredValue], StoreError]:
        """Returns the values below a prefix, ordered by key, after the given key."""
        return self._read_pages(prefix, after, limit, False).map(
            lambda snapshot: snapshot.values
        )

    def read(
        self, prefix: str, allow_stale: bool = False
    ) -> Result[Snapshot, StoreError]:
        """Returns every value below a prefix, with the revision of the first page."""
        return self._read_pages(prefix, "", None, allow_stale)

    def _read_pages(
        self, prefix: str, after: str, limit: int | None, allow_stale: bool
    ) -> Result[Snapshot, StoreError]:
        directory = prefix.partition("/")[0] + "/"
        kind = f"stale read {directory}" if allow_stale else f"read {directory}"
        values: list[StoredValue] = []
        revision = None
        while limit is None or len(values) < limit:
            query = {"prefix": prefix}
            if after:
                query["after"] = after
            if allow_stale:
                query["serializable"] = "1"
            path = "/kv-range?" + urlencode(query)
            result = self._call(kind, "GET", path, RangeBody)
            match result:
                case Failure(_):
                    return result
            page = result.unwrap()
            if revision is None:
                revision = _latest_revision(page) if allow_stale else page.as_of
            values += _decode_items(page.items)
            if not page.has_more or not page.items:
                break
            after = page.items[-1].key
        return Success(Snapshot(values, revision or 0))

    def put(
        self, key: str, value: bytes, expected_revision: int, lease: str = ""
    ) -> Result[int, StoreError]:
        """Writes the key if it has the expected revision (0: if it does not exist)."""
        return self.commit([Write(key, value, expected_revision, lease)])

    def commit(self, writes: list[Write]) -> Result[int, StoreError]:
        """Writes all keys atomically and returns the new revision."""
        body = {
            "expected": [
                {"key": write.key, "revision": write.expected_revision}
                for write in writes
                if write.expected_revision is not None
            ],
            "puts": [
                {
                    "key": write.key,
                    "value": base64.b64encode(write.value).decode(),
                    "lease": int(write.lease or 0),
                }
                for write in writes
            ],
            "remove": [],
        }
        result = self._call("commit", "POST", "/kv-txn", RevisionBody, body)
        return result.map(lambda decoded: decoded.revision)

    def delete(self, key: str, expected_revision: int) -> Result[None, StoreError]:
        """Deletes the key if it has the expected revision."""
        body = {
            "expected": [{"key": key, "revision": expected_revision}],
            "puts": [],
            "remove": [key],
        }
        result = self._call("delete", "POST", "/kv-txn", IgnoredBody, body)
        return result.map(lambda _: None)

    def grant_lease(self, ttl_ms: int) -> Result[str, StoreError]:
        """Creates a lease and returns its id."""
        body = {"ttl_ms": ttl_ms}
        result = self._call("grant_lease", "POST", "/kv-lease", LeaseBody, body)
        return result.map(lambda decoded: str(decoded.lease))

    def keep_alive(self, lease: str) -> Result[None, StoreError]:
        """Renews the lease for its time to live."""
        path = f"/kv-keep/{lease}"
        result = self._call("keep_alive", "POST", path, IgnoredBody)
        return result.map(lambda _: None)

    def revoke(self, lease: str) -> Result[None, StoreError]:
        """Revokes the lease, which deletes its keys."""
        result = self._call("revoke", "DELETE", f"/kv-lease-end/{lease}", IgnoredBody)
        return result.map(lambda _: None)

    def watch(
        self, prefix: str, after_revision: int, timeout_ms: int
    ) -> Result[WatchBatch, StoreError]:
        """Waits for changes below the prefix after the revision.

        A negative revision returns the current one immediately, without changes.
        """
        if after_revision < 0:
            query = urlencode({"prefix": prefix})
            path = "/kv-range?" + query
            first = self._call(f"read {prefix}", "GET", path, RangeBody)
            return first.map(lambda page: WatchBatch(page.as_of, []))
        query = urlencode(
            {"prefix": prefix, "after": after_revision, "wait_ms": timeout_ms}
        )
        result = self._call(
            f"watch {prefix}",
            "GET",
            "/kv-watch?" + query,
            EventsBody,
            timeout_ms=timeout_ms + WATCH_MARGIN_MS,
        )
        match result:
            case Failure(HistoryCompacted()):
                return Success(WatchBatch(after_revision, [], compacted=True))
        return result.map(_decode_events)

    def _call(
        self,
        kind: str,
        method: str,
        path: str,
        response_type: Any,
        body: Any = None,
        timeout_ms: float = CALL_TIMEOUT_MS,
    ) -> Result[Any, StoreError]:
        self.calls_by_kind[kind] += 1
        headers = {"Content-Type": "application/json"} if body is not None else {}
        try:
            response = self._pool.request(
                method,
                path,
                body=None if body is None else msgspec.json.encode(body),
                headers=headers,
                timeout=timeout_ms / MS_PER_S,
                retries=False,
                preload_content=False,
            )
            data = self._read_body(response, path)
            if response.status >= STATUS_ERRORS_FROM:
                self.calls_by_kind[f"{kind}: status {response.status}"] += 1
            return self._decode_response(response.status, data, path, response_type)
        except (urllib3.exceptions.HTTPError, OSError) as error:
            self.calls_by_kind[f"{kind}: no response"] += 1
            return Failure(StoreUnavailable(str(error)))
        except InvalidDocument as error:
            return Failure(StoreUnavailable(f"undecodable response: {error}"))

    def _read_body(self, response: urllib3.BaseHTTPResponse, path: str) -> bytes:
        started_ms = self._clock.now_ms()
        data = response.read()
        response.release_conn()
        if len(data) >= LARGE_RESPONSE_BYTES:
            logger.info(
                "large answer of the store",
                extra={
                    "path": path,
                    "bytes": len(data),
                    "on_the_way_ms": round(self._clock.now_ms() - started_ms),
                },
            )
        return data

    def _decode_response(
        self, status: int, data: bytes, path: str, response_type: Any
    ) -> Result[Any, StoreError]:
        if status == STATUS_OK:
            return Success(decode_document(data, response_type))
        if status == STATUS_PRECONDITION_FAILED:
            return Failure(CasConflict(path, _decode_revisions(data)))
        if status == STATUS_NOT_FOUND:
            return Failure(LeaseExpired(path))
        if status == STATUS_GONE:
            return Failure(HistoryCompacted())
        if status == STATUS_TOO_MANY_REQUESTS:
            return Failure(StoreThrottled())
        return Failure(StoreUnavailable(f"unexpected status {status}"))


class HistoryCompacted(StoreError):
    """The store has compacted the changes after the given revision."""

    code = "history-gone"

    def __init__(self) -> None:
        """Sets the cause and the remedy."""
        super().__init__(
            "the store has compacted its change history", "read the prefix again"
        )


def _decode_revisions(data: bytes) -> dict[str, int] | None:
    """Returns the current revisions in the response to a write that was rejected."""
    try:
        body = decode_document(data, ConflictBody)
    except InvalidDocument as error:
        logger.warning("undecodable conflict", extra={"reason": str(error)})
        return None
    return {item.key: item.revision for item in body.items}


def _latest_revision(page: RangeBody) -> int:
    """Returns the revision up to which a stale page is complete.

    as_of may be the current revision, which is later than the state of a stale page.
    """
    return max((item.revision for item in page.items), default=0)


def _decode_item(item: ItemBody) -> Result[StoredValue, StoreError]:
    try:
        value = base64.b64decode(item.value, validate=True)
    except ValueError as error:
        return Failure(
            StoreUnavailable(f"value of {item.key} is not valid base64: {error}")
        )
    lease = str(item.lease) if item.lease else ""
    return Success(StoredValue(item.key, value, item.revision, lease))


def _decode_items(items: list[ItemBody]) -> list[StoredValue]:
    values = []
    for item in items:
        match _decode_item(item):
            case Failure(error):
                logger.warning("store item skipped", extra={"reason": error.cause})
            case Success(value):
                values.append(value)
    return values


def _decode_events(body: EventsBody) -> WatchBatch:
    events = []
    for item in body.events:
        if item.removed:
            events.append(WatchEvent(item.key, None, item.revision))
            continue
        match _decode_item(item):
            case Failure(error):
                logger.warning("store event skipped", extra={"reason": error.cause})
            case Success(stored):
                events.append(WatchEvent(stored.key, stored.value, stored.revision))
    return WatchBatch(body.as_of, events)
