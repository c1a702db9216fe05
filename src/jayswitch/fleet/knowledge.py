"""How far proxies have followed the store, told along with each request."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from jayswitch.store.follower import PrefixFollower


class Knowledge:
    """Compares the newest change that this proxy knows with that of others.

    A watch can fall silent without a sign; a proxy that talks to others learns so.
    """

    __slots__ = ("_address_of", "_followers")

    def __init__(
        self,
        followers: list[PrefixFollower],
        address_of: Callable[[str], str] = lambda vm: "",
    ) -> None:
        """Takes the followers in an order that all proxies share.

        The function returns the address of the proxy on a VM, or nothing.
        """
        self._followers = followers
        self._address_of = address_of

    def describe(self) -> str:
        """Returns the newest change of each prefix as a header value."""
        return ",".join(
            str(follower.latest_change_revision) for follower in self._followers
        )

    def compare_with_vm(self, text: str, vm: str) -> None:
        """Takes the description of the proxy on a VM."""
        self.compare(text, self._address_of(vm))

    def compare(self, text: str, address: str) -> None:
        """Takes another proxy's description; what cannot be read says nothing."""
        revisions = text.split(",")
        if len(revisions) != len(self._followers):
            return
        for follower, revision in zip(self._followers, revisions, strict=True):
            if revision.isdigit():
                follower.report_newer_revision(int(revision), address)
