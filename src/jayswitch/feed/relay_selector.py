"""Selects the relays of the fleet and those that each proxy follows."""

from __future__ import annotations

import math
import zlib
from collections.abc import Callable
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from jayswitch.clock import Clock
    from jayswitch.fleet.directory import Directory
    from jayswitch.fleet.records import NodeRecord

# With two relays, a data centre tolerates the loss of one.
MIN_RELAYS = 2
# Number of proxies that each relay of a large data centre serves.
PROXIES_PER_RELAY = 50
# The relays are worked out again after this time, as suspicions come and go.
RELAYS_VALID_MS = 250.0


class RelaySelector:
    """Selects relays from the directory of the fleet.

    The proxies with the highest link bandwidth in each data centre are its relays, so
    that the whole fleet agrees on them without communication. Root relays watch the
    store, each in a data centre of its own; the other relays follow them.
    """

    def __init__(
        self,
        vm: str,
        data_centre: str,
        directory: Directory,
        clock: Clock,
        root_count: int | None = None,
    ) -> None:
        """Initializes the selector for one proxy.

        root_count limits the root relays; without it, every relay is one.
        """
        self._root_count = root_count
        self.is_suspected: Callable[[str], bool] = lambda vm: False
        self._vm = vm
        self._data_centre = data_centre
        self._directory = directory
        self._clock = clock
        self._avoided_until_ms: dict[str, float] = {}
        self._offset = zlib.crc32(vm.encode())
        self._relays: dict[str, list[NodeRecord]] = {}
        self._roots: list[NodeRecord] = []
        self._relays_valid_until_ms = float("-inf")
        self._relays_generation = -1

    def is_root(self) -> bool:
        """Returns whether this proxy watches the store on behalf of others."""
        self._refresh()
        return any(record.vm == self._vm for record in self._roots)

    def is_relay(self) -> bool:
        """Returns whether other proxies of the data centre follow this proxy."""
        local = self._relays_by_data_centre()[self._data_centre]
        return any(record.vm == self._vm for record in local)

    def has_relays(self) -> bool:
        """Returns whether there is any relay other than this proxy."""
        return any(
            record.vm != self._vm
            for records in self._relays_by_data_centre().values()
            for record in records
        )

    def is_relay_address(self, address: str) -> bool:
        """Returns whether the address belongs to a current relay."""
        return any(
            record.address == address
            for records in self._relays_by_data_centre().values()
            for record in records
        )

    def is_root_address(self, address: str) -> bool:
        """Returns whether the address belongs to a current root relay."""
        self._refresh()
        return any(record.address == address for record in self._roots)

    def choose(self, prefer_remote: bool, excluded: set[str]) -> str | None:
        """Returns the address of a relay, preferably local or preferably remote.

        A relay follows only root relays. Returns None if there is no relay to follow
        other than this proxy and those excluded.
        """
        relays = (
            self._roots
            if self.is_relay()
            else [r for records in self._relays.values() for r in records]
        )
        local = [r for r in relays if r.data_centre == self._data_centre]
        remote = [r for r in relays if r.data_centre != self._data_centre]
        for group in [remote, local] if prefer_remote else [local, remote]:
            address = self._choose_among(group, excluded)
            if address is not None:
                return address
        return None

    def _choose_among(
        self, records: list[NodeRecord], excluded: set[str]
    ) -> str | None:
        usable = [
            record
            for record in records
            if record.address not in excluded and self._is_eligible(record)
        ]
        return usable[self._offset % len(usable)].address if usable else None

    def avoid(self, address: str, duration_ms: float) -> None:
        """Excludes a relay for a while after its feed has failed."""
        self._avoided_until_ms[address] = self._clock.now_ms() + duration_ms

    def _is_eligible(self, record: NodeRecord) -> bool:
        if record.vm == self._vm:
            return False
        until_ms = self._avoided_until_ms.get(record.address, float("-inf"))
        return until_ms <= self._clock.now_ms()

    def _relays_by_data_centre(self) -> dict[str, list[NodeRecord]]:
        self._refresh()
        return self._relays

    def _refresh(self) -> None:
        now_ms = self._clock.now_ms()
        generation = self._directory.generation
        if (
            generation != self._relays_generation
            or now_ms >= self._relays_valid_until_ms
        ):
            self._relays = self._select()
            self._roots = self._select_roots()
            self._relays_generation = generation
            self._relays_valid_until_ms = now_ms + RELAYS_VALID_MS

    def _select_roots(self) -> list[NodeRecord]:
        groups = self._relays.values()
        if self._root_count is None:
            return [record for records in groups for record in records]
        first_relays = [records[0] for records in groups if records]
        return sorted(first_relays, key=_rank)[: self._root_count]

    def _select(self) -> dict[str, list[NodeRecord]]:
        records_by_data_centre: dict[str, list[NodeRecord]] = {self._data_centre: []}
        for record in self._directory.record_by_vm.values():
            if record.draining or record.vm in self._directory.unlisted:
                continue
            if record.vm != self._vm and self.is_suspected(record.vm):
                continue
            records_by_data_centre.setdefault(record.data_centre, []).append(record)
        for data_centre, records in records_by_data_centre.items():
            count = max(MIN_RELAYS, math.ceil(len(records) / PROXIES_PER_RELAY))
            records.sort(key=_rank)
            records_by_data_centre[data_centre] = records[:count]
        return records_by_data_centre


def _rank(record: NodeRecord) -> tuple[float, str]:
    return -record.link_mbit_per_s, record.vm
