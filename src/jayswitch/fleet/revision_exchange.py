"""Exchange of store revisions between proxies in the headers of each request."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from jayswitch.store.follower import PrefixFollower


class RevisionExchange:
    """Compares the newest store revisions of this proxy with those of its peers.

    A watch can stop delivering events without an error. Peers that report a newer
    revision reveal that this proxy has fallen behind.
    """

    __slots__ = ("_address_of", "_followers")

    def __init__(
        self,
        followers: list[PrefixFollower],
        address_of: Callable[[str], str] = lambda vm: "",
    ) -> None:
        """Takes the followers, in the same order on every proxy.

        address_of returns the address of the proxy on a VM, or an empty string.
        """
        self._followers = followers
        self._address_of = address_of

    def header_value(self) -> str:
        """Returns the newest revision of each prefix as a header value."""
        return ",".join(
            str(follower.latest_change_revision) for follower in self._followers
        )

    def compare_with_vm(self, value: str, vm: str) -> None:
        """Compares the revisions with the header value of the proxy on a VM."""
        self.compare(value, self._address_of(vm))

    def compare(self, value: str, address: str) -> None:
        """Compares the revisions with a peer's header value.

        Values that cannot be parsed are ignored.
        """
        revisions = value.split(",")
        if len(revisions) != len(self._followers):
            return
        for follower, revision in zip(self._followers, revisions, strict=True):
            if revision.isdigit():
                follower.report_newer_revision(int(revision), address)
