"""Mesh in one process: store, nodes and upstreams on loopback addresses."""

from __future__ import annotations

from typing import TYPE_CHECKING

import eventlet
import msgspec

from jayswitch.clock import Clock
from jayswitch.config.generated import ProfileSet, ServiceSet
from jayswitch.gate.upstream import Announcement
from jayswitch.http.server import HttpServer
from jayswitch.node.process import NodeProcess
from jayswitch.profiles.generated import Profile
from jayswitch.settings.generated import NodeSettings
from jayswitch.standins.announcer import Announcer
from jayswitch.standins.memory_store import MemoryStore
from jayswitch.standins.upstream import StandInUpstream, UpstreamBehaviour

if TYPE_CHECKING:
    from jayswitch.embedded.deployments import Deployment, ServiceSpec

UPSTREAM_PORT = 8080
ADMIN_TOKEN = "demo-operator"
UPSTREAM_TOKEN = "demo-upstream"
PROFILE_NAME = "everyday"
MOVE_WITHIN_MS = 30_000
WARM_UP_MS = 2000
READY_POLL_MS = 50.0


class EmbeddedUpstream:
    """A stand-in upstream and the node beside it."""

    __slots__ = ("announcer", "process", "server", "standin")

    def __init__(
        self,
        process: NodeProcess,
        standin: StandInUpstream,
        server: HttpServer,
        announcer: Announcer,
    ) -> None:
        """Takes the four parts, which are not started yet."""
        self.process = process
        self.standin = standin
        self.server = server
        self.announcer = announcer

    def start(self) -> None:
        """Starts the upstream and its node."""
        self.server.start()
        self.process.start()
        self.announcer.start()

    def stop(self) -> bool:
        """Leaves, drains and stops; returns False if requests were still in flight."""
        self.announcer.leave()
        self.announcer.stop()
        drained = self.process.stop()
        self.server.stop()
        return drained


class EmbeddedMesh:
    """A small deployment in which each VM has its own loopback address."""

    def __init__(self, deployment: Deployment, upstreams_per_service: int) -> None:
        """Takes the deployment and the maximum number of upstreams per service."""
        self.clock = Clock()
        self.store = MemoryStore(self.clock)
        self.deployment = deployment
        self.upstreams: list[EmbeddedUpstream] = []
        for service in deployment.services:
            for _ in range(min(service.upstreams, upstreams_per_service)):
                self.add_upstream(service, "v1")

    def add_upstream(self, service: ServiceSpec, version: str) -> EmbeddedUpstream:
        """Adds an upstream with its node; the caller has to start it."""
        number = len(self.upstreams)
        settings = NodeSettings(
            vm=f"{service.name}-{number}",
            data_centre=self.deployment.data_centre_of(number),
            region=self.deployment.region,
            bind_ip=f"127.20.0.{number + 10}",
            store="http://127.0.0.1:1",
            admin_token=ADMIN_TOKEN,
            upstream_token=UPSTREAM_TOKEN,
            warm_up_ms=WARM_UP_MS,
            drain_grace_ms=300,
        )
        process = NodeProcess.from_settings(settings, self.store)
        behaviour = UpstreamBehaviour(
            slots=service.slots,
            connections=service.connections,
            latency_ms=5.0,
            warm_up_ms=WARM_UP_MS,
        )
        standin = StandInUpstream(settings.vm, version, behaviour, self.clock)
        server = HttpServer(settings.bind_ip, UPSTREAM_PORT, standin)
        announcement = Announcement(
            service=service.name,
            version=version,
            address=server.address,
            slots=service.slots,
            connections=service.connections,
        )
        announcer = Announcer(
            announcement, process.admin.address, UPSTREAM_TOKEN, self.clock
        )
        upstream = EmbeddedUpstream(process, standin, server, announcer)
        self.upstreams.append(upstream)
        return upstream

    def start(self) -> None:
        """Starts every upstream and node, and configures services and profile."""
        for upstream in self.upstreams:
            upstream.start()
        self._configure()

    def stop(self) -> bool:
        """Stops every node gracefully; returns False if requests were in flight."""
        pool = eventlet.GreenPool(len(self.upstreams))
        return all(list(pool.imap(EmbeddedUpstream.stop, self.upstreams)))

    def wait_until_ready(self, timeout_ms: float) -> bool:
        """Waits until every node uses the newest version and knows its upstreams."""
        deadline_ms = self.clock.now_ms() + timeout_ms
        while self.clock.now_ms() < deadline_ms:
            if all(self._is_ready(upstream) for upstream in self.upstreams):
                return True
            self.clock.sleep_ms(READY_POLL_MS)
        return False

    def versions_in_force(self) -> list[int]:
        """Returns the configuration version that each node uses for routing."""
        return [
            upstream.process.node.parts.router.table.config.version
            for upstream in self.upstreams
        ]

    def newest_version(self) -> int:
        """Returns the newest configuration version of all nodes."""
        return max(
            upstream.process.node.parts.replica.version for upstream in self.upstreams
        )

    def _is_ready(self, upstream: EmbeddedUpstream) -> bool:
        parts = upstream.process.node.parts
        table = parts.router.table
        has_newest_version = table.config.version == self.newest_version()
        if table.profile is None:
            return False
        services = {target.service for target in table.profile.targets}
        knows_upstreams = all(
            parts.directory.has_version(service, "v1") for service in services
        )
        return has_newest_version and knows_upstreams

    def _configure(self) -> None:
        log = self.upstreams[0].process.node.parts.log
        for service in self.deployment.services:
            log.append(ServiceSet(service=service.name), "demo").unwrap()
        document = self.deployment.profile(PROFILE_NAME, "v1", MOVE_WITHIN_MS)
        profile = msgspec.convert(document, Profile)
        log.append(ProfileSet(profile=profile), "demo").unwrap()
        for service in self.deployment.services:
            change = ServiceSet(service=service.name, profile=PROFILE_NAME)
            log.append(change, "demo").unwrap()
