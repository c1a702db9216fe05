"""HTTP client for the key-value store, used by nodes; proxies use platform.store."""

from __future__ import annotations

from collections import Counter
from typing import Any, TypeVar
from urllib.parse import quote, urlencode

import msgspec
import urllib3
from returns.result import Failure, Result, Success

from jayswitch.clock import MS_PER_S
from jayswitch.store.documents import InvalidDocument, decode_document
from jayswitch.store.exceptions import (
    CasConflict,
    LeaseExpired,
    StoreError,
    StoreThrottled,
    StoreUnavailable,
)
from jayswitch.store.interface import Snapshot, StoredValue, WatchBatch, Write
from jayswitch.store.wire import (
    ErrorBody,
    LeaseBody,
    PutBody,
    RevisionBody,
    ScanBody,
)

CALL_TIMEOUT_MS = 2000
WATCH_MARGIN_MS = 2000
POOL_SIZE = 4

T = TypeVar("T")


class HttpStore:
    """Client of the HTTP interface of the platform's key-value service."""

    def __init__(self, base_url: str) -> None:
        """Initializes the client with a base URL; connects on the first call."""
        self._base_url = base_url.rstrip("/")
        self._pool = urllib3.PoolManager(maxsize=POOL_SIZE, retries=False)
        self.calls_by_kind: Counter[str] = Counter()

    def get(self, key: str) -> Result[StoredValue | None, StoreError]:
        """Returns the key's value, or None if the key does not exist."""
        result = self._call("GET", f"/kv/{quote(key)}", StoredValue | None)
        return result

    def scan(
        self, prefix: str, after: str = "", limit: int = 1000
    ) -> Result[list[StoredValue], StoreError]:
        """Returns the values under a prefix, ordered by key, after the given key."""
        query = urlencode({"prefix": prefix, "after": after, "limit": limit})
        return self._call("GET", f"/scan?{query}", ScanBody).map(
            lambda body: body.values
        )

    def read(
        self, prefix: str, allow_stale: bool = False
    ) -> Result[Snapshot, StoreError]:
        """Returns every value under a prefix; this service has no stale reads.

        The revision is read first, so that no change after it is missed.
        """
        first = self.watch(prefix, -1, 0)
        return first.bind(
            lambda batch: self.scan(prefix).map(
                lambda values: Snapshot(values, batch.revision)
            )
        )

    def put(
        self, key: str, value: bytes, expected_revision: int, lease: str = ""
    ) -> Result[int, StoreError]:
        """Writes if the key has the expected revision (0: if it does not exist)."""
        body = PutBody(value, expected_revision, lease)
        return self._call("PUT", f"/kv/{quote(key)}", RevisionBody, body).map(
            lambda written: written.revision
        )

    def commit(self, writes: list[Write]) -> Result[int, StoreError]:
        """Writes one key; this service has no transactions over several keys.

        The key must have an expected revision.
        """
        if len(writes) != 1 or writes[0].expected_revision is None:
            return Failure(
                StoreUnavailable(
                    "a transaction must have one key with an expected revision"
                )
            )
        write = writes[0]
        assert write.expected_revision is not None
        return self.put(write.key, write.value, write.expected_revision, write.lease)

    def delete(self, key: str, expected_revision: int) -> Result[None, StoreError]:
        """Deletes the key if it has the expected revision."""
        query = urlencode({"expected_revision": expected_revision})
        return self._call("DELETE", f"/kv/{quote(key)}?{query}", type(None))

    def grant_lease(self, ttl_ms: int) -> Result[str, StoreError]:
        """Returns the id of a new lease."""
        body = LeaseBody(ttl_ms=ttl_ms)
        return self._call("POST", "/leases", LeaseBody, body).map(
            lambda granted: granted.lease
        )

    def keep_alive(self, lease: str) -> Result[None, StoreError]:
        """Renews the lease for its time to live."""
        return self._call("POST", f"/leases/{quote(lease)}", type(None))

    def revoke(self, lease: str) -> Result[None, StoreError]:
        """Revokes the lease and deletes its keys."""
        return self._call("DELETE", f"/leases/{quote(lease)}", type(None))

    def watch(
        self, prefix: str, after_revision: int, timeout_ms: int
    ) -> Result[WatchBatch, StoreError]:
        """Waits for changes under the prefix after the revision."""
        query = urlencode(
            {"prefix": prefix, "after": after_revision, "timeout_ms": timeout_ms}
        )
        wait_ms = timeout_ms + WATCH_MARGIN_MS
        return self._call("GET", f"/watch?{query}", WatchBatch, timeout_ms=wait_ms)

    def _call(
        self,
        method: str,
        path: str,
        response_type: Any,
        body: msgspec.Struct | None = None,
        timeout_ms: int = CALL_TIMEOUT_MS,
    ) -> Result[Any, StoreError]:
        self.calls_by_kind[f"{method} {path.partition('?')[0].split('/')[1]}"] += 1
        data = None if body is None else msgspec.json.encode(body)
        try:
            response = self._pool.request(
                method,
                self._base_url + path,
                body=data,
                timeout=timeout_ms / MS_PER_S,
                retries=False,
            )
            return self._parse(response, path, response_type)
        except (urllib3.exceptions.HTTPError, OSError) as error:
            return Failure(StoreUnavailable(str(error)))
        except InvalidDocument as error:
            return Failure(StoreUnavailable(f"invalid response: {error}"))

    def _parse(
        self, response: urllib3.BaseHTTPResponse, path: str, response_type: Any
    ) -> Result[Any, StoreError]:
        if response.status == 200:
            return Success(decode_document(response.data, response_type))
        error = decode_document(response.data, ErrorBody)
        return Failure(error_from_body(error, path))


def error_from_body(error: ErrorBody, path: str) -> StoreError:
    """Returns the typed error for the service's error code."""
    if error.code == CasConflict.code:
        return CasConflict(error.detail or path)
    if error.code == LeaseExpired.code:
        return LeaseExpired(error.detail)
    if error.code == StoreThrottled.code:
        return StoreThrottled()
    return StoreUnavailable(error.detail or error.code)
