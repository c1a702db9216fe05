"""Announces a stand-in upstream to its local node."""

from __future__ import annotations

from typing import TYPE_CHECKING

import eventlet
import msgspec
import urllib3

from jayswitch.clock import MS_PER_S
from jayswitch.gate.upstream import Announcement

if TYPE_CHECKING:
    from jayswitch.clock import Clock

ANNOUNCE_INTERVAL_MS = 1000.0
ANNOUNCE_TIMEOUT_MS = 800.0


class Announcer:
    """Repeats an announcement periodically until it is stopped."""

    def __init__(
        self, announcement: Announcement, admin_address: str, token: str, clock: Clock
    ) -> None:
        """Takes the admin address of the node and the token of the upstream."""
        self.announcement = announcement
        self._url = f"{admin_address}/v1/announce"
        self._headers = {"Authorization": f"Bearer {token}"}
        self._clock = clock
        self._http = urllib3.PoolManager(maxsize=1, retries=False)
        self._stopped = False

    def start(self) -> None:
        """Starts the task that announces the upstream."""
        eventlet.spawn(self._run)

    def leave(self) -> None:
        """Announces immediately that the upstream accepts no new requests."""
        self.announcement = msgspec.structs.replace(self.announcement, leaving=True)
        self.announce()

    def stop(self) -> None:
        """Stops announcing the upstream."""
        self._stopped = True

    def announce(self) -> bool:
        """Sends one announcement; returns whether the node acknowledged it."""
        try:
            response = self._http.request(
                "POST",
                self._url,
                body=msgspec.json.encode(self.announcement),
                headers=self._headers,
                timeout=ANNOUNCE_TIMEOUT_MS / MS_PER_S,
                retries=False,
            )
            return response.status == 200
        except (urllib3.exceptions.HTTPError, OSError):
            return False

    def _run(self) -> None:
        while not self._stopped:
            acknowledged = self.announce()
            self._clock.sleep_ms(
                ANNOUNCE_INTERVAL_MS if acknowledged else ANNOUNCE_INTERVAL_MS / 4
            )
