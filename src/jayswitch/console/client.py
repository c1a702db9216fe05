"""Client for the administration API of a node."""

from __future__ import annotations

from typing import Any

import msgspec
import urllib3
from returns.result import Failure, Result, Success

from jayswitch.console.exceptions import ApiError, NodeUnreachable

TIMEOUT_S = 30.0
STATUS_ASK_RELAY = 421


class AdminClient:
    """Sends requests to the given nodes in order and to relays that a node names."""

    def __init__(self, addresses: list[str], token: str, author: str) -> None:
        """Initializes the client with node addresses, the operator's token and name."""
        self._addresses = [address.rstrip("/") for address in addresses]
        self._headers = {
            "Authorization": f"Bearer {token}",
            "X-Jayswitch-Author": author,
        }
        self._http = urllib3.PoolManager(retries=False)

    def get(self, path: str) -> Result[Any, ApiError | NodeUnreachable]:
        """Sends a GET request; returns the decoded response or the error."""
        return self.request("GET", path)

    def request(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        expected_version: int = -1,
    ) -> Result[Any, ApiError | NodeUnreachable]:
        """Sends a request; returns the decoded response or the error.

        Only reads are retried on another node: the first node may have accepted a
        change even if its response was lost.
        """
        headers = dict(self._headers)
        if expected_version >= 0:
            headers["X-Jayswitch-Expected-Version"] = str(expected_version)
        last: Result[Any, ApiError | NodeUnreachable] = Failure(
            NodeUnreachable("none", "no node address given")
        )
        addresses = list(self._addresses)
        for address in addresses:
            last = self._request_one(address, method, path, body, headers)
            match last:
                case Failure(ApiError(http_status=status) as error):
                    if status != STATUS_ASK_RELAY:
                        return last
                    addresses.extend(a for a in error.relays if a not in addresses)
                case Failure(NodeUnreachable()) if method == "GET":
                    continue
                case _:
                    return last
        return last

    def _request_one(
        self,
        address: str,
        method: str,
        path: str,
        body: bytes,
        headers: dict[str, str],
    ) -> Result[Any, ApiError | NodeUnreachable]:
        try:
            response = self._http.request(
                method,
                f"{address}/v1/{path}",
                body=body or None,
                headers=headers,
                timeout=TIMEOUT_S,
                retries=False,
            )
            decoded = msgspec.json.decode(response.data)
        except (urllib3.exceptions.HTTPError, OSError, msgspec.DecodeError) as error:
            return Failure(NodeUnreachable(address, str(error)))
        if response.status != 200:
            return Failure(ApiError(response.status, decoded))
        return Success(decoded)
