"""How far proxies have followed the store, told along with each request."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from jayswitch.store.follower import PrefixFollower


class Knowledge:
    """Compares the newest change that this proxy knows with that of others.

    A watch can fall silent without a sign; a proxy that talks to others learns so.
    """

    __slots__ = ("_followers",)

    def __init__(self, followers: list[PrefixFollower]) -> None:
        """Takes the followers in an order that all proxies share."""
        self._followers = followers

    def describe(self) -> str:
        """Returns the newest change of each prefix as a header value."""
        return ",".join(str(follower.newest_change) for follower in self._followers)

    def compare(self, text: str | None) -> None:
        """Takes another proxy's description; what cannot be read says nothing."""
        revisions = (text or "").split(",")
        if len(revisions) != len(self._followers):
            return
        for follower, revision in zip(self._followers, revisions, strict=True):
            if revision.isdigit():
                follower.note_newer(int(revision))
