"""Selects the relays, which follow the store, and those that each proxy follows."""

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
# A relay whose feed failed is not used again for this time.
AVOID_RELAY_MS = 2000.0
# The relays are worked out again after this time, as suspicions come and go.
RELAYS_VALID_MS = 250.0


class RelaySelector:
    """Selects relays from the directory of the fleet.

    The proxies with the highest link bandwidth in each data centre are its relays, so
    that the whole fleet agrees on them without communication.
    """

    def __init__(
        self, vm: str, data_centre: str, directory: Directory, clock: Clock
    ) -> None:
        """Initializes the selector for one proxy."""
        self.is_suspected: Callable[[str], bool] = lambda vm: False
        self._vm = vm
        self._data_centre = data_centre
        self._directory = directory
        self._clock = clock
        self._avoided_until_ms: dict[str, float] = {}
        self._offset = zlib.crc32(vm.encode())
        self._relays: dict[str, list[NodeRecord]] = {}
        self._relays_valid_until_ms = float("-inf")
        self._relays_generation = -1

    def is_relay(self) -> bool:
        """Returns whether this proxy follows the store on behalf of others."""
        local = self._relays_by_data_centre()[self._data_centre]
        return any(record.vm == self._vm for record in local)

    def is_relay_address(self, address: str) -> bool:
        """Returns whether the address belongs to a current relay."""
        return any(
            record.address == address
            for records in self._relays_by_data_centre().values()
            for record in records
        )

    def choose(self, prefer_remote: bool, excluded: set[str]) -> str | None:
        """Returns the address of a relay, preferably local or preferably remote.

        Returns None if there is no relay other than this proxy and those excluded.
        """
        by_data_centre = dict(self._relays_by_data_centre())
        local = by_data_centre.pop(self._data_centre)
        remote = [record for records in by_data_centre.values() for record in records]
        for group in [remote, local] if prefer_remote else [local, remote]:
            usable = [
                r for r in group if r.address not in excluded and self._is_eligible(r)
            ]
            if usable:
                return usable[self._offset % len(usable)].address
        return None

    def avoid(self, address: str) -> None:
        """Excludes a relay for a while after its feed has failed."""
        self._avoided_until_ms[address] = self._clock.now_ms() + AVOID_RELAY_MS

    def _is_eligible(self, record: NodeRecord) -> bool:
        if record.vm == self._vm:
            return False
        until_ms = self._avoided_until_ms.get(record.address, float("-inf"))
        return until_ms <= self._clock.now_ms()

    def _relays_by_data_centre(self) -> dict[str, list[NodeRecord]]:
        now_ms = self._clock.now_ms()
        generation = self._directory.generation
        if (
            generation != self._relays_generation
            or now_ms >= self._relays_valid_until_ms
        ):
            self._relays = self._select()
            self._relays_generation = generation
            self._relays_valid_until_ms = now_ms + RELAYS_VALID_MS
        return self._relays

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
            records.sort(key=lambda record: (-record.link_mbit_per_s, record.vm))
            records_by_data_centre[data_centre] = records[:count]
        return records_by_data_centre
