"""Routing table of the active profile and directory of known upstreams."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from jayswitch.config.state import FULL_PERCENT, target_of

if TYPE_CHECKING:
    from jayswitch.config.state import ConfigState, Move
    from jayswitch.membership.member import Member
    from jayswitch.profiles.generated import Profile, Route

DEADLINE_GRACE_MS = 2000


class VersionSplit:
    """Traffic split between the versions of a service.

    move is None unless a move to a new version is in progress.
    """

    __slots__ = ("move", "proved_version")

    def __init__(self, proved_version: str, move: Move | None) -> None:
        """Takes the version that gets the calls not covered by the move."""
        self.proved_version = proved_version
        self.move = move

    def choose(self, point: float) -> str:
        """Returns the version for a value from 0 to 100."""
        if self.move is not None and point < self.move.percent:
            return self.move.to_version
        return self.proved_version


class RoutingTable:
    """Immutable table built from one version of the configuration."""

    __slots__ = ("config", "profile", "routes", "_split_by_service")

    def __init__(self, config: ConfigState, profile: Profile | None) -> None:
        """Takes the configuration and this node's profile."""
        self.config = config
        self.profile = profile
        self.routes: list[Route] = []
        self._split_by_service: dict[str, VersionSplit] = {}
        if profile is None:
            return
        self.routes = sorted(profile.routes, key=lambda r: len(r.prefix), reverse=True)
        for target in profile.targets:
            move = config.active_move(profile.name, target.service)
            version = move.from_version if move is not None else target.version
            self._split_by_service[target.service] = VersionSplit(version, move)

    @property
    def profile_name(self) -> str:
        """Returns the profile's name, empty if there is none."""
        return self.profile.name if self.profile is not None else ""

    def route_for(self, path: str) -> Route | None:
        """Returns the route with the longest prefix that matches whole segments."""
        for route in self.routes:
            prefix = route.prefix
            if path == prefix or path.startswith(prefix.rstrip("/") + "/"):
                return route
            if path.startswith(prefix + "?"):
                return route
        return None

    def split_for(self, service: str, wall_ms: int) -> VersionSplit:
        """Returns the traffic split of a service.

        A move gets no calls once its deadline has passed by DEADLINE_GRACE_MS, even if
        no node can end it.
        """
        split = self._split_by_service[service]
        move = split.move
        if move is None or wall_ms <= move.deadline_ms + DEADLINE_GRACE_MS:
            return split
        return VersionSplit(split.proved_version, None)

    def retry_percent(self, service: str) -> int:
        """Returns the maximum retries as a percentage of the calls to a service."""
        target = target_of(self.profile, service) if self.profile else None
        return target.max_retry_percent if target is not None else 0


def random_split_point(rng: random.Random) -> float:
    """Returns a random value for VersionSplit.choose."""
    return rng.random() * FULL_PERCENT


class UpstreamDirectory:
    """Known members, by service and version."""

    def __init__(self) -> None:
        """Starts empty."""
        self.by_node: dict[str, Member] = {}
        self._by_service_version: dict[tuple[str, str], dict[str, Member]] = {}

    def put(self, member: Member) -> None:
        """Adds or replaces a member."""
        self.remove(member.node)
        self.by_node[member.node] = member
        if member.service:
            key = (member.service, member.version)
            self._by_service_version.setdefault(key, {})[member.node] = member

    def remove(self, node: str) -> None:
        """Removes a member."""
        member = self.by_node.pop(node, None)
        if member is None or not member.service:
            return
        key = (member.service, member.version)
        members = self._by_service_version.get(key, {})
        members.pop(node, None)
        if not members:
            self._by_service_version.pop(key, None)

    def usable(self, service: str, version: str, config: ConfigState) -> list[Member]:
        """Returns the upstreams that may get new calls."""
        members = self._by_service_version.get((service, version), {})
        return [
            member
            for member in members.values()
            if member.state == "up" and not config.is_out_of_service(member.data_centre)
        ]

    def has_version(self, service: str, version: str) -> bool:
        """Returns whether any upstream of the version is up."""
        members = self._by_service_version.get((service, version), {})
        return any(member.state == "up" for member in members.values())
