"""One proxy beside an upstream: its parts, its servers and its planned stop."""

from __future__ import annotations

import logging
import random
import time
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING, Any

import eventlet
import msgspec

from jayswitch.catalog.orders import Orders
from jayswitch.clock import MS_PER_S, Clock
from jayswitch.feed.client import FeedClient
from jayswitch.feed.follower import FeedFollower
from jayswitch.feed.relays import Relays
from jayswitch.feed.server import FeedServer
from jayswitch.fleet.directory import Directory
from jayswitch.fleet.knowledge import Knowledge
from jayswitch.fleet.publisher import RecordPublisher
from jayswitch.fleet.records import (
    NODE_PREFIX,
    SHARED_PREFIX,
    NodeRecord,
    Upstream,
    UpstreamState,
)
from jayswitch.gate.cold_rate_limiter import ColdRateLimiter
from jayswitch.gate.local_upstream import Heartbeat, HeartbeatResult, LocalUpstream
from jayswitch.gate.upstream_gate import ColdRateAllowance, UpstreamGate
from jayswitch.http.server import HttpServer
from jayswitch.http.status_lines import status_line
from jayswitch.proxy.attempts import AttemptRunner, BudgetTerms
from jayswitch.proxy.hop import HopClient
from jayswitch.proxy.http_client import HttpClient
from jayswitch.proxy.inbound import InboundApplication
from jayswitch.proxy.outbound import OutboundApplication
from jayswitch.proxy.protocol import StrictProtocol
from jayswitch.proxy.sockets import apply_options
from jayswitch.proxy.status import LatencyMetrics, StatusApplication
from jayswitch.rollout.coordinator import MoveCoordinator
from jayswitch.rollout.trial import TrialJudge, Usual
from jayswitch.rollout.versions import VersionRules
from jayswitch.routing.balancer import Balancer
from jayswitch.store.follower import Pause, PrefixFollower, carried_bytes

if TYPE_CHECKING:
    from jayswitch.logs import BoundedLogHandler
    from jayswitch.proxy.generated import ProxySettings
    from jayswitch.proxy.headers import HeaderNames
    from jayswitch.proxy.outcome import ForwardedRequest
    from jayswitch.proxy.wsgi_request import StartResponse
    from jayswitch.rollout.coordinator import StatusWriter
    from jayswitch.store.interface import Store, WatchEvent

UPSTREAM_CONNECT_TIMEOUT_MS = 300.0
# Between data centres a packet takes 1.4 ms; a lost first packet is sent again
# after a second, so that waiting longer gains nothing.
HOP_CONNECT_TIMEOUT_MS = 250.0
# A heartbeat must be answered within a second.
ACKNOWLEDGE_MS = 800.0
UPKEEP_MS = 500.0
# Counts of a version on trial are published at this interval while they change.
TRIAL_REPORT_MS = 1500.0
# Readiness is asked for each second, and two misses end new work.
LEAVE_MS = 2300.0
# From this part of the grace period on, requests whose time ends later than this
# process are refused, and from the second one on all that still come.
REFUSE_LONG_FROM_PART = 0.5
REFUSE_FROM_PART = 0.75
# Kept of the grace period for closing down.
EXIT_MARGIN_MS = 350.0
DRAIN_POLL_MS = 50.0
# A record that is not withdrawn lapses with its lease.
WITHDRAW_MS = 250.0
# Callers that have gone elsewhere send nothing for this long.
QUIET_MS = 1000.0
# A configuration has two seconds to be in force; up to half a second of that brings
# the changes of a quick succession with fewer calls.
ORDERS_PAUSE = Pause(250.0, 500.0)
# Gates enforce what records say at once, so that others may learn it later.
FLEET_PAUSE = Pause(300.0, 900.0)
STATUS_OK = 200
STATUS_UNAVAILABLE = 503

logger = logging.getLogger(__name__)


class ProxyProcess:
    """Serves callers, other proxies and the upstream of one VM."""

    def __init__(
        self,
        settings: ProxySettings,
        store: Store,
        orders: Orders,
        operator_prefix: str,
        apply_order: Callable[[WatchEvent], None],
        status: StatusWriter,
        names: HeaderNames,
        clock: Clock,
    ) -> None:
        """Takes the adapters to the platform; binds nothing yet."""
        self.settings = settings
        self.orders = orders
        self.draining = False
        self._store = store
        self._clock = clock
        self._rng = random.Random(f"{settings.vm} {time.monotonic()}")
        self._build_gate(names)
        self.directory = Directory(settings.vm)
        self.publisher = RecordPublisher(
            store, settings.vm, self._describe, self._last_state, clock
        )
        self.orders_follower = PrefixFollower(
            store, operator_prefix, apply_order, clock, ORDERS_PAUSE
        )
        self.fleet_follower = PrefixFollower(
            store, SHARED_PREFIX, self._apply_shared, clock, FLEET_PAUSE
        )
        self.knowledge = Knowledge(
            [self.orders_follower, self.fleet_follower], self.directory.address_of
        )
        self._build_forwarding(names)
        self._build_feeds(operator_prefix)
        self._build_moves(status)
        orders.on_change(self._apply_orders)
        self._started_ms = clock.wall_ms()
        self._servers: list[HttpServer] = []

    def _build_gate(self, names: HeaderNames) -> None:
        settings, clock = self.settings, self._clock
        self.rate = ColdRateLimiter(clock)
        self.local = LocalUpstream(
            settings.service, settings.heartbeat_ms, clock, self.rate.set_cold
        )
        self.upstream_client = HttpClient(clock, UPSTREAM_CONNECT_TIMEOUT_MS)
        self.gate = UpstreamGate(
            settings.upstream_address,
            self.local,
            self.rate,
            self.upstream_client,
            names,
            clock,
            ColdRateAllowance(settings.cold_factor, settings.cold_slack),
        )

    def _build_forwarding(self, names: HeaderNames) -> None:
        settings, clock = self.settings, self._clock
        self.hop_client = HttpClient(clock, HOP_CONNECT_TIMEOUT_MS)
        self.balancer = Balancer(
            settings.data_centre, settings.region, clock, self._rng, settings.vm
        )
        self.directory.is_suspected = self.balancer.is_suspected
        terms = BudgetTerms(
            settings.retry_ratio, settings.retry_slack, settings.retry_window_s
        )
        self.runner = AttemptRunner(
            settings.vm,
            self.gate,
            HopClient(self.hop_client, self.knowledge, names, clock),
            self.directory,
            self.balancer,
            terms,
            clock,
            self._rng,
        )
        self.runner.is_evacuated = self.orders.evacuated.__contains__
        self.feed_server = FeedServer()
        self.inbound = InboundApplication(
            self.gate, self.feed_server, self.knowledge, names, clock
        )
        self.outbound = OutboundApplication(
            settings.vm, settings.service, self.runner, names, clock
        )
        self.latency = LatencyMetrics()
        self.outbound.on_answer = self.latency.observe_request

    def _build_feeds(self, operator_prefix: str) -> None:
        settings, clock = self.settings, self._clock
        self.feed_server.serve(operator_prefix, self.orders_follower.state)
        if settings.link_mbit_per_s:
            self.orders_follower.slow_bytes = carried_bytes(
                settings.link_mbit_per_s, ORDERS_PAUSE.shortest_ms
            )
        relays = Relays(settings.vm, settings.data_centre, self.directory, clock)
        relays.is_suspected = self.balancer.is_suspected
        self.orders_feed = FeedFollower(
            operator_prefix,
            self.orders_follower,
            relays,
            FeedClient(self.hop_client),
            clock,
        )

    def _build_moves(self, status: StatusWriter) -> None:
        self.rules = VersionRules(self._rng)
        self.trial = TrialJudge()
        self._trial_published_ms = float("-inf")
        self.coordinator = MoveCoordinator(
            self.settings.vm,
            self._store,
            self.orders,
            self.rules,
            self.directory,
            status,
            self._clock,
        )
        self.runner.choose_versions = self.rules.choose
        self.runner.only_proved = self.rules.only_proved
        self.runner.on_withdrawn = self.rules.withdraw
        self.runner.is_on_trial = self.rules.is_on_trial
        self.gate.is_version_allowed = self._may_run
        self.gate.on_answer = self._judge

    def start(
        self,
        heartbeats: Callable[..., Iterable[bytes]],
        logs: BoundedLogHandler | None = None,
    ) -> None:
        """Binds every port and starts every task."""
        settings = self.settings
        ip = settings.callers_address.rpartition(":")[0]
        status = StatusApplication(self, logs)
        self._serve(f"{ip}:{settings.metrics_port}", status)
        self._serve(settings.callers_address, self.outbound, StrictProtocol)
        self._serve(settings.proxies_address, self.inbound, StrictProtocol)
        self._serve(settings.heartbeats_address, heartbeats)
        self._serve(settings.readiness_address, self._readiness)
        self.publisher.start(self._restore)
        self.orders_follower.start()
        self.orders_feed.start()
        self.fleet_follower.start()
        self.coordinator.start()
        eventlet.spawn(self._keep_up)
        logger.info("started", extra={"first_start": settings.first_start})

    @property
    def ready(self) -> bool:
        """Tells whether callers can be served."""
        return (
            not self.draining
            and self.orders.catalog is not None
            and self.fleet_follower.synced
            and self.publisher.restored
        )

    def stop(self) -> bool:
        """Stops without cutting a request; False if some were still in flight."""
        started_ms = self._clock.now_ms()
        grace_ms = self.settings.grace_s * MS_PER_S
        logger.info("draining", extra={"in_flight": self.in_flight})
        self.draining = True
        self.inbound.draining = True
        self.outbound.draining = True
        self.publisher.publish()
        self._clock.sleep_ms(LEAVE_MS)
        self._wait_while(self._is_in_use, started_ms + grace_ms * REFUSE_LONG_FROM_PART)
        ends_ms = started_ms + grace_ms - EXIT_MARGIN_MS
        self.inbound.ends_ms = self.outbound.ends_ms = ends_ms
        self._wait_while(self._is_in_use, started_ms + grace_ms * REFUSE_FROM_PART)
        # Whatever still comes would be cut by the end of the process.
        self.inbound.refusing = True
        self.outbound.refusing = True
        for server in self._servers:
            server.stop_accepting()
        with eventlet.Timeout(WITHDRAW_MS / MS_PER_S, False):
            self.publisher.withdraw()
        self._wait_while(lambda: bool(self.in_flight), ends_ms)
        drained = not self.in_flight
        logger.info("stopped", extra={"drained": drained})
        return drained

    def _wait_while(self, condition: Callable[[], bool], until_ms: float) -> None:
        while condition() and self._clock.now_ms() < until_ms:
            self._clock.sleep_ms(DRAIN_POLL_MS)

    def _is_in_use(self) -> bool:
        if self._callers_may_return():
            return True
        quiet_ms = self._clock.now_ms() - self.outbound.last_request_ms
        return bool(self.in_flight) or quiet_ms < QUIET_MS

    def _callers_may_return(self) -> bool:
        """Tells whether callers may still be sent to this VM after it was quiet.

        They are while few other proxies of the data centre are ready. A VM that
        goes away with its upstream gains nothing by ending sooner.
        """
        if not self.directory.most_take_callers(self.settings.data_centre):
            return True
        current = self.local.current
        return current is not None and current.state is not UpstreamState.READY

    @property
    def in_flight(self) -> int:
        """Returns the requests that callers or other proxies wait for."""
        return self.outbound.in_flight + self.inbound.in_flight

    # The upstream

    def hear(self, heartbeat: Heartbeat) -> bool:
        """Takes a heartbeat; tells whether it may be acknowledged."""
        if not self.publisher.restored:
            return False
        previous = self.local.current
        verdict = self.local.handle_heartbeat(heartbeat)
        if verdict is HeartbeatResult.CHANGED:
            current = self.local.current
            assert current is not None
            if previous is None or not previous.same_incarnation(current):
                self.gate.restart()
                self.trial = TrialJudge()
            self.publisher.publish()
        self.gate.resize()
        if heartbeat.upstream.state is UpstreamState.READY:
            return verdict is not HeartbeatResult.FOREIGN
        return self._acknowledge(heartbeat.upstream.id)

    def leave(self, upstream_id: str, started_ms: int) -> bool:
        """Takes a deregistration; tells whether it may be acknowledged."""
        if not self.publisher.restored:
            return False
        current = self.local.current
        if current is not None and started_ms and started_ms < current.started_ms:
            return True
        if self.local.deregister(upstream_id):
            self.publisher.publish()
        return self._acknowledge(upstream_id)

    def _acknowledge(self, upstream_id: str) -> bool:
        """Waits until the state is stored: an acknowledgement outlives this process."""
        stored = self.publisher.wait_until_stored(ACKNOWLEDGE_MS)
        logger.info(
            "leaving upstream acknowledged" if stored else "leaving not yet stored",
            extra={"upstream": upstream_id},
        )
        return stored

    def _restore(self, upstream: Upstream | None) -> None:
        if upstream is None:
            return
        self.local.restore(upstream)
        self.rate.reserve_window()
        logger.info(
            "last state restored",
            extra={"upstream": upstream.id, "state": upstream.state.value},
        )
        if upstream.state is UpstreamState.READY:
            eventlet.spawn_n(self._confirm_restored)

    def _confirm_restored(self) -> None:
        if self.gate.confirm_restored() and self.local.usable is None:
            self.local.confirm()
            self.gate.resize()
            logger.info("restored upstream confirmed by its health check")
            self.publisher.publish()

    def _describe(self) -> NodeRecord:
        settings = self.settings
        current = self.local.current
        shown = None
        ready = current is not None and current.state is UpstreamState.READY
        if current is not None:
            # Others need to know whether it takes work, not how it ended.
            state = UpstreamState.READY if ready else UpstreamState.LEAVING
            shown = msgspec.structs.replace(current, state=state, sequence=0)
        return NodeRecord(
            vm=settings.vm,
            data_centre=settings.data_centre,
            region=settings.region,
            address=settings.proxies_address,
            link_mbit_per_s=settings.link_mbit_per_s,
            started_ms=self._started_ms,
            upstream=shown,
            draining=self.draining,
            trial=self.trial.counts if self._is_on_trial() else None,
        )

    def _last_state(self) -> Upstream | None:
        return self.local.current

    # The fleet

    def _apply_shared(self, event: WatchEvent) -> None:
        if event.key.startswith(NODE_PREFIX):
            self.directory.apply(event)
        else:
            self.rules.apply(event)

    # Moves

    def _is_on_trial(self) -> bool:
        current = self.local.current
        service = self.settings.service
        return current is not None and self.rules.is_on_trial(service, current.version)

    def _may_run(self, version: str) -> bool:
        service = self.settings.service
        return self.rules.may_run(service, version, self.directory.members(service))

    def _judge(
        self, request: ForwardedRequest, failed: bool, latency_ms: float
    ) -> None:
        """Judges the answers of an upstream whose version is on trial."""
        self.latency.observe_upstream(latency_ms)
        current = self.local.current
        if current is None or not self._is_on_trial():
            return
        usual = request.usual
        if self.rate.is_cold:
            # A cold upstream of any version is slow.
            usual = Usual(0.0, usual.failures)
        self.trial.observe(request.route, failed, latency_ms, usual)
        service = self.settings.service
        if self.trial.is_bad and self.rules.withdraw(service, current.version):
            self.coordinator.roll_back(service, self.trial.reason)
        self._publish_trial()

    def _publish_trial(self) -> None:
        now_ms = self._clock.now_ms()
        if now_ms - self._trial_published_ms >= TRIAL_REPORT_MS:
            self._trial_published_ms = now_ms
            self.publisher.publish()

    def _apply_orders(self) -> None:
        catalog = self.orders.catalog
        self.outbound.catalog = catalog
        out = self.settings.data_centre in self.orders.evacuated
        self.gate.out_of_service = out
        if catalog is not None:
            service = catalog.service_by_name.get(self.settings.service)
            if service is not None:
                self.gate.set_service(service)

    # Servers and upkeep

    def _serve(self, address: str, application: Any, protocol: Any = None) -> None:
        ip, _, port = address.rpartition(":")
        options = {"protocol": protocol} if protocol is not None else {}
        server = HttpServer(
            ip, int(port), application, on_accept=apply_options, **options
        )
        server.start()
        self._servers.append(server)

    def _readiness(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        status = STATUS_OK if self.ready else STATUS_UNAVAILABLE
        start_response(status_line(status), [("Content-Length", "0")])
        return [b""]

    def _keep_up(self) -> None:
        while True:
            self._clock.sleep_ms(UPKEEP_MS)
            self.upstream_client.close_expired()
            self.hop_client.close_expired()

    def dump(self) -> bytes:
        """Returns the state of this process as JSON."""
        catalog = self.orders.catalog
        return msgspec.json.encode(
            {
                "vm": self.settings.vm,
                "ready": self.ready,
                "draining": self.draining,
                "config": catalog.version if catalog else 0,
                "upstream": self.local.current,
                "load": self.gate.load,
                "evacuated": sorted(self.orders.evacuated),
                "fleet": list(self.directory.record_by_vm.values()),
                "counts": {
                    "outbound": self.outbound.counts,
                    "attempts": self.runner.counts,
                    "gate": self.gate.counts,
                },
            }
        )
