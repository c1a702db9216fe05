"""Directory of the fleet's proxies and of the upstreams that accept new requests.

The directory of a node is in routing/table.py.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import TYPE_CHECKING

from jayswitch.fleet.records import (
    NODE_PREFIX,
    Incarnation,
    NodeRecord,
    UpstreamState,
)
from jayswitch.membership.member import Member
from jayswitch.store.documents import InvalidDocument, decode_document

if TYPE_CHECKING:
    from jayswitch.store.interface import WatchEvent

# Departures that are kept; more than a fleet has VMs.
MAX_DEPARTURES = 4096

logger = logging.getLogger(__name__)


class Directory:
    """Upstreams by service, as their proxies have published them.

    A lease can expire because the proxy cannot reach the store, although it still
    serves requests. Its record is therefore kept until an attempt to reach it fails.
    """

    def __init__(self, vm: str = "") -> None:
        """Takes the local VM, whose upstream stays a member while its proxy drains."""
        self._vm = vm
        self.record_by_vm: dict[str, NodeRecord] = {}
        # VMs whose record has been removed from the store but is kept here.
        self.unlisted: set[str] = set()
        self.is_suspected: Callable[[str], bool] = lambda vm: False
        # Increases with each change of the records.
        self.generation = 0
        # Upstreams whose responses have announced that they are leaving. A record can
        # be older than that, also if it is published later, by a restarted proxy.
        self._departing_by_vm: dict[str, Incarnation] = {}
        self._members_by_service: dict[str, list[Member]] | None = None

    def apply(self, event: WatchEvent) -> None:
        """Applies a change of a proxy's record; ignores undecodable records."""
        vm = event.key.removeprefix(NODE_PREFIX)
        if event.value is None:
            self._handle_removal(vm)
            return
        try:
            record = decode_document(event.value, NodeRecord)
        except InvalidDocument as error:
            logger.warning(
                "cannot decode proxy record", extra={"proxy": vm, "reason": str(error)}
            )
            return
        if record.vm != vm:
            logger.warning(
                "proxy record is of another proxy",
                extra={"proxy": vm, "reason": f"it names {record.vm[:80]}"},
            )
            return
        self.unlisted.discard(vm)
        self._log_record(vm, record)
        self.record_by_vm[vm] = record
        self._members_by_service = None
        self.generation += 1

    def address_of(self, vm: str) -> str:
        """Returns the address of the proxy on a VM; empty if the VM is unknown."""
        record = self.record_by_vm.get(vm)
        return record.address if record is not None else ""

    def members(self, service: str) -> list[Member]:
        """Returns a service's upstreams of any version that accept new requests."""
        if self._members_by_service is None:
            self._members_by_service = self._group_by_service()
        return self._members_by_service.get(service, [])

    @property
    def size(self) -> int:
        """Returns the number of known proxies."""
        return len(self.record_by_vm)

    def at_least_half_accept_callers(self, data_centre: str) -> bool:
        """Returns whether at least half of a data centre's proxies accept callers.

        Otherwise the platform keeps callers at proxies that are not ready.
        """
        records = [
            r for r in self.record_by_vm.values() if r.data_centre == data_centre
        ]
        accepting = [r for r in records if not r.draining and r.vm not in self.unlisted]
        return 2 * len(accepting) >= len(records)

    def _group_by_service(self) -> dict[str, list[Member]]:
        grouped: dict[str, list[Member]] = {}
        for record in self.record_by_vm.values():
            upstream = record.upstream
            if upstream is None or (record.draining and record.vm != self._vm):
                continue
            if upstream.state is not UpstreamState.READY:
                continue
            if upstream.incarnation == self._departing_by_vm.get(record.vm):
                continue
            grouped.setdefault(upstream.service, []).append(_member(record))
        return grouped

    def report_departure(self, vm: str, incarnation: Incarnation) -> None:
        """Excludes an upstream that has announced that it is leaving, for good."""
        known = self._departing_by_vm.get(vm)
        if known is not None and known.started_ms >= incarnation.started_ms:
            return
        self._departing_by_vm[vm] = incarnation
        if len(self._departing_by_vm) > MAX_DEPARTURES:
            del self._departing_by_vm[next(iter(self._departing_by_vm))]
        self._members_by_service = None
        logger.info(
            "upstream announces its departure",
            extra={"proxy": vm, "upstream": incarnation.id},
        )

    def report_unreachable(self, vm: str) -> None:
        """Reports a failed attempt to reach a proxy; removes it if it is unlisted."""
        if vm in self.unlisted:
            self._drop(vm, "unlisted and unreachable")

    def _handle_removal(self, vm: str) -> None:
        record = self.record_by_vm.get(vm)
        if record is None:
            return
        upstream = record.upstream
        ready = upstream is not None and upstream.state is UpstreamState.READY
        if record.draining or not ready:
            self._drop(vm, "planned stop")
        elif self.is_suspected(vm):
            self._drop(vm, "lease expired and proxy unreachable")
        else:
            self.unlisted.add(vm)
            self.generation += 1
            logger.info("proxy unlisted", extra={"proxy": vm})

    def _drop(self, vm: str, reason: str) -> None:
        self.unlisted.discard(vm)
        self.record_by_vm.pop(vm, None)
        self._members_by_service = None
        self.generation += 1
        logger.info("proxy dropped", extra={"proxy": vm, "reason": reason})

    def _log_record(self, vm: str, record: NodeRecord) -> None:
        upstream = record.upstream
        logger.info(
            "proxy record changed",
            extra={
                "proxy": vm,
                "upstream": upstream.id if upstream else "",
                "service": upstream.service if upstream else "",
                "version": upstream.version if upstream else "",
                "state": upstream.state.value if upstream else "",
                "draining": record.draining,
            },
        )


def _member(record: NodeRecord) -> Member:
    upstream = record.upstream
    assert upstream is not None
    return Member(
        node=record.vm,
        data_centre=record.data_centre,
        region=record.region,
        data_address=record.address,
        control_address="",
        admin_address="",
        service=upstream.service,
        version=upstream.version,
        state="up",
        slots=upstream.slots,
        since_ms=upstream.started_ms,
    )
