"""Tests of odd documents that other writers have left in the store or have sent.

One entry that is deeply nested, holds a number too large or names an invalid port must
not end a task that reads all entries, nor stop it from reading the others.
"""

from __future__ import annotations

import io
import random

import eventlet
import msgspec
import pytest

from jayswitch.catalog.orders import Orders
from jayswitch.clock import VirtualClock
from jayswitch.fleet.directory import Directory
from jayswitch.fleet.publisher import RecordPublisher
from jayswitch.fleet.records import (
    NodeRecord,
    Upstream,
    UpstreamState,
    last_state_key,
    node_key,
)
from jayswitch.platform.heartbeats import HEARTBEAT_CALL, HeartbeatApplication
from jayswitch.platform.operator import CONFIG_KEY, OperatorKeyHandler
from jayswitch.proxy.exceptions import RequestNotSent
from jayswitch.proxy.http_client import HttpClient
from jayswitch.rollout.versions import VersionRules
from jayswitch.standins.memory_store import MemoryStore
from jayswitch.store.interface import WatchEvent, Write

SERVICE = "herdview"
DEEP = b'{"unknown":' + b"[" * 100_000 + b"]" * 100_000 + b"}"
TOO_LARGE = 10**400
HEARTBEAT = {
    "service": SERVICE,
    "address": "127.0.0.1:1",
    "zone": "bunbury",
    "version": "v1",
    "slots": 6,
    "state": "ready",
    "seq": 1,
    "warmup_left_ms": 0,
    "born": 1000,
}


def _json_with(document: dict[str, object], **large: int) -> bytes:
    """Returns the document with integers that msgspec does not encode."""
    text = msgspec.json.encode({**document, **dict.fromkeys(large, "@")}).decode()
    for key, value in large.items():
        text = text.replace(f'"{key}":"@"', f'"{key}":{value}')
    return text.encode()


def _record(vm: str, address: str = "127.0.0.1:1") -> NodeRecord:
    upstream = Upstream("i-1", 1, SERVICE, "v1", 6, UpstreamState.READY)
    return NodeRecord(vm, "bunbury", "swwa", address, 0, upstream)


def _odd_records() -> list[bytes]:
    record = msgspec.to_builtins(_record("odd"))
    upstream = {**record["upstream"], "slots": "@"}
    nested = msgspec.json.encode({**record, "upstream": upstream})
    return [
        DEEP,
        _json_with(record, started_ms=TOO_LARGE),
        nested.replace(b'"@"', str(TOO_LARGE).encode()),
        msgspec.json.encode(_record("vm-1", "127.0.0.1:9")),
    ]


class TestFleetRecords:
    """The directory leaves out odd records and keeps the others."""

    @pytest.mark.parametrize("index", range(4))
    def test_odd_record_names_no_upstream(self, index: int) -> None:
        directory = Directory()
        good = msgspec.json.encode(_record("vm-1"))
        directory.apply(WatchEvent(node_key("vm-1"), good, 1))
        directory.apply(WatchEvent(node_key("odd"), _odd_records()[index], 2))
        assert [member.node for member in directory.members(SERVICE)] == ["vm-1"]
        assert directory.members(SERVICE)[0].data_address == "127.0.0.1:1"

    @pytest.mark.parametrize("value", [DEEP, b"[" * 100_000])
    def test_odd_move_or_baseline_changes_nothing(self, value: bytes) -> None:
        rules = VersionRules(random.Random(1))
        rules.apply(WatchEvent(f"jayswitch/moves/{SERVICE}", value, 1))
        rules.apply(WatchEvent(f"jayswitch/baselines/{SERVICE}", value, 2))
        assert not rules.move_by_service

    def test_odd_operators_key_changes_nothing(self) -> None:
        orders = Orders()
        handler = OperatorKeyHandler(orders, VirtualClock())
        handler.apply(WatchEvent(CONFIG_KEY, DEEP, 1))
        assert orders.catalog is None


class TestLastState:
    """A proxy starts whatever the last state of its upstream looks like."""

    # Guards against a proxy that never becomes ready because of one odd entry.
    @pytest.mark.parametrize("large", [False, True])
    def test_odd_last_state_restores_nothing(self, large: bool) -> None:
        clock = VirtualClock()
        store = MemoryStore(clock)
        upstream = msgspec.to_builtins(_record("vm-1"))["upstream"]
        value = _json_with(upstream, slots=TOO_LARGE) if large else DEEP
        store.commit([Write(last_state_key("vm-1"), value)]).unwrap()
        restored: list[Upstream | None] = []
        publisher = RecordPublisher(
            store, "vm-1", lambda: _record("vm-1"), lambda: None, clock
        )
        publisher.start(restored.append)
        clock.sleep_ms(100)
        publisher.publish()
        clock.sleep_ms(100)
        assert restored == [None]
        assert publisher.restored
        assert store.get(node_key("vm-1")).unwrap() is not None


class TestHeartbeats:
    """An odd heartbeat is rejected before it changes what the proxy believes."""

    @pytest.mark.parametrize(
        "body",
        [
            DEEP,
            b'{"service":' + b"[" * 60_000,
            _json_with(HEARTBEAT, seq=TOO_LARGE),
            _json_with(HEARTBEAT, slots=TOO_LARGE),
            _json_with(HEARTBEAT, born=TOO_LARGE),
            _json_with(HEARTBEAT, slots=-3),
            _json_with(HEARTBEAT, warmup_left_ms=10**300),
        ],
    )
    def test_odd_heartbeat_is_rejected(self, body: bytes) -> None:
        handled: list[object] = []

        def handle(heartbeat: object) -> bool:
            handled.append(heartbeat)
            return True

        application = HeartbeatApplication(handle, lambda upstream_id, started: True)
        statuses: list[str] = []
        environ = {
            "QUERY_STRING": f"call={HEARTBEAT_CALL}&of=i-1",
            "wsgi.input": io.BytesIO(body),
        }
        application(environ, lambda status, headers: statuses.append(status))
        assert statuses[0].startswith("400")
        assert handled == []


class TestAddresses:
    """An invalid address counts as unreachable, so that others are tried."""

    @pytest.mark.parametrize(
        "address",
        [
            "127.0.0.1:99999",
            "127.0.0.1:-1",
            "127.0.0.1:",
            "127.0.0.1",
            ":80",
            "a b:80",
            "127.0.0.1:" + "9" * 5000,
            "127.0.0.1:1e3",
            "",
        ],
    )
    def test_invalid_address_is_not_reached(self, address: str) -> None:
        client = HttpClient(VirtualClock(), 50.0)
        with eventlet.Timeout(5), pytest.raises(RequestNotSent):
            client.send(address, "GET", "/", [], None)
