"""The interface that upstreams announce themselves at."""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qs

import msgspec

from jayswitch.fleet.records import Upstream, UpstreamState
from jayswitch.gate.local_upstream import Heartbeat
from jayswitch.http.reasons import status_line

if TYPE_CHECKING:
    from jayswitch.proxy.wsgi_request import StartResponse

HEARTBEAT_CALL = "instances.heartbeat"
DEREGISTER_CALL = "instances.deregister"
# "draining" is an upstream that leaves: it still serves, but takes no new work.
STATE_BY_NAME = {"ready": UpstreamState.READY, "draining": UpstreamState.LEAVING}
# A heartbeat's answer counts for a second; longer ones go to the next proxy.
MAX_BODY_BYTES = 64 * 1024

logger = logging.getLogger(__name__)


class HeartbeatBody(msgspec.Struct):
    """What an upstream says of itself.

    seq counts its calls; born is the Unix millisecond of its start;
    warmup_left_ms tells how much longer it is cold.
    """

    service: str
    address: str
    zone: str
    version: str
    slots: int
    state: str
    seq: int
    warmup_left_ms: float = 0.0
    born: int = 0


class DeregistrationBody(msgspec.Struct):
    """What comes with a deregistration, if anything does."""

    born: int = 0


class HeartbeatApplication:
    """Answers 200 once what an upstream said is known and, if need be, stored."""

    def __init__(
        self,
        on_heartbeat: Callable[[Heartbeat], bool],
        on_deregistration: Callable[[str, int], bool],
    ) -> None:
        """Takes functions that tell whether the call may be acknowledged."""
        self._on_heartbeat = on_heartbeat
        self._on_deregistration = on_deregistration

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Serves one call of an upstream."""
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
                decoded = msgspec.json.decode(body or b"{}", type=DeregistrationBody)
                return (
                    200 if self._on_deregistration(upstream_id, decoded.born) else 503
                )
            heartbeat = decode_heartbeat(upstream_id, body)
        except (msgspec.MsgspecError, KeyError) as error:
            logger.warning(
                "heartbeat unreadable",
                extra={"upstream": upstream_id, "reason": str(error)},
            )
            return 400
        return 200 if self._on_heartbeat(heartbeat) else 503


def decode_heartbeat(upstream_id: str, body: bytes) -> Heartbeat:
    """Returns a heartbeat in jayswitch's terms.

    Raises MsgspecError or KeyError where a field is missing or has no meaning.
    """
    decoded = msgspec.json.decode(body, type=HeartbeatBody)
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
