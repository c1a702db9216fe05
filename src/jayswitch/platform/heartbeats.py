"""WSGI application that receives heartbeats and deregistrations of upstreams."""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING, Annotated, Any
from urllib.parse import parse_qs

import msgspec

from jayswitch.fleet.records import Upstream, UpstreamState
from jayswitch.gate.local_upstream import Heartbeat
from jayswitch.http.status_lines import status_line
from jayswitch.store.documents import (
    MAX_JSON_INTEGER,
    InvalidDocument,
    decode_document,
)

if TYPE_CHECKING:
    from jayswitch.proxy.wsgi_request import StartResponse

HEARTBEAT_CALL = "instances.heartbeat"
DEREGISTER_CALL = "instances.deregister"
# A draining upstream finishes its requests but accepts no new ones.
STATE_BY_NAME = {"ready": UpstreamState.READY, "draining": UpstreamState.LEAVING}
MAX_BODY_BYTES = 64 * 1024
# Far above what any upstream has; larger values are mistakes of their writer.
MAX_SLOTS = 100_000
MAX_COLD_MS = 3_600_000

Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_JSON_INTEGER)]

logger = logging.getLogger(__name__)


class HeartbeatBody(msgspec.Struct):
    """Body of a heartbeat.

    seq is the sequence number of the call, born the start time of the upstream in
    Unix milliseconds, and warmup_left_ms the time until it has warmed up.
    """

    service: str
    address: str
    zone: str
    version: str
    slots: Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]
    state: str
    seq: Count
    warmup_left_ms: Annotated[float, msgspec.Meta(ge=0, le=MAX_COLD_MS)] = 0.0
    born: Count = 0


class DeregistrationBody(msgspec.Struct):
    """Optional body of a deregistration."""

    born: Count = 0


class HeartbeatApplication:
    """Responds 200 once a call has been processed and, if necessary, persisted.

    An upstream waits one second for the response, then calls the next proxy.
    """

    def __init__(
        self,
        on_heartbeat: Callable[[Heartbeat], bool],
        on_deregistration: Callable[[str, int], bool],
    ) -> None:
        """Takes handlers that return whether the call may be acknowledged."""
        self._on_heartbeat = on_heartbeat
        self._on_deregistration = on_deregistration

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Handles one call of an upstream."""
        query = parse_qs(environ.get("QUERY_STRING", ""))
        call = query.get("call", [""])[0]
        upstream_id = query.get("of", [""])[0]
        body = environ["wsgi.input"].read(MAX_BODY_BYTES)
        status = self._serve(call, upstream_id, body)
        headers = [("Content-Type", "application/json"), ("Content-Length", "2")]
        start_response(status_line(status), headers)
        return [b"{}"]

    def _serve(self, call: str, upstream_id: str, body: bytes) -> int:
        if not upstream_id or call not in (HEARTBEAT_CALL, DEREGISTER_CALL):
            return 404
        try:
            if call == DEREGISTER_CALL:
                decoded = decode_document(body or b"{}", DeregistrationBody)
                return (
                    200 if self._on_deregistration(upstream_id, decoded.born) else 503
                )
            heartbeat = decode_heartbeat(upstream_id, body)
        except (InvalidDocument, KeyError) as error:
            logger.warning(
                "invalid heartbeat or deregistration",
                extra={"upstream": upstream_id, "reason": str(error)},
            )
            return 400
        return 200 if self._on_heartbeat(heartbeat) else 503


def decode_heartbeat(upstream_id: str, body: bytes) -> Heartbeat:
    """Decodes a heartbeat into jayswitch's own type.

    Raises InvalidDocument or KeyError if a field is missing or invalid.
    """
    decoded = decode_document(body, HeartbeatBody)
    upstream = Upstream(
        id=upstream_id,
        started_ms=decoded.born,
        service=decoded.service,
        version=decoded.version,
        slots=decoded.slots,
        state=STATE_BY_NAME[decoded.state],
        sequence=decoded.seq,
    )
    return Heartbeat(upstream, decoded.warmup_left_ms)
