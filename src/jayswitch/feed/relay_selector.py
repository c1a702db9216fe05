"""Which proxies follow the store, and which of them each proxy follows."""

from __future__ import annotations

import math
import zlib
from collections.abc import Callable
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from jayswitch.clock import Clock
    from jayswitch.fleet.directory import Directory
    from jayswitch.fleet.records import NodeRecord

# Two relays in each data centre outlive the loss of one.
MIN_RELAYS = 2
# A relay of a large data centre feeds this many proxies.
PROXIES_PER_RELAY = 50
# A relay whose feed failed is not asked again for this time.
AVOID_RELAY_MS = 2000.0


class RelaySelector:
    """The relays of the fleet, as the directory has it.

    Of a data centre the proxies with the widest links are relays, so that all of the
    fleet agrees on them without a word.
    """

    def __init__(
        self, vm: str, data_centre: str, directory: Directory, clock: Clock
    ) -> None:
        """Takes the proxy that chooses."""
        self.is_suspected: Callable[[str], bool] = lambda vm: False
        self._vm = vm
        self._data_centre = data_centre
        self._directory = directory
        self._clock = clock
        self._avoided_until_ms: dict[str, float] = {}
        self._offset = zlib.crc32(vm.encode())

    def is_relay(self) -> bool:
        """Tells whether this proxy follows the store for others."""
        return any(r.vm == self._vm for r in self._relays()[self._data_centre])

    def is_usable(self, address: str) -> bool:
        """Tells whether a relay still has the address."""
        return any(
            record.address == address
            for records in self._relays().values()
            for record in records
        )

    def choose(self, prefer_remote: bool, excluded: set[str]) -> str | None:
        """Returns the address of a relay, of this data centre or of another one.

        None if there is none besides those that are taken and this proxy.
        """
        by_data_centre = self._relays()
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
        """Notes that a relay's feed has failed."""
        self._avoided_until_ms[address] = self._clock.now_ms() + AVOID_RELAY_MS

    def _is_eligible(self, record: NodeRecord) -> bool:
        if record.vm == self._vm:
            return False
        until_ms = self._avoided_until_ms.get(record.address, float("-inf"))
        return until_ms <= self._clock.now_ms()

    def _relays(self) -> dict[str, list[NodeRecord]]:
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
