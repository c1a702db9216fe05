"""The proxy process of one VM: components, servers and graceful shutdown."""

from __future__ import annotations

import logging
import random
import time
from collections import Counter
from collections.abc import Callable, Iterable
from functools import partial
from typing import TYPE_CHECKING, Any

import eventlet
import msgspec

from jayswitch.catalog.orders import Orders
from jayswitch.clock import Clock
from jayswitch.feed.client import FeedClient
from jayswitch.fleet.directory import Directory
from jayswitch.fleet.publisher import RecordPublisher
from jayswitch.fleet.records import (
    NODE_PREFIX,
    NodeRecord,
    Upstream,
    UpstreamState,
    node_key,
)
from jayswitch.gate.cold_rate_limiter import ColdRateAllowance, ColdRateLimiter
from jayswitch.gate.local_upstream import Heartbeat, HeartbeatResult, LocalUpstream
from jayswitch.gate.upstream_gate import UpstreamGate
from jayswitch.http.server import HttpServer
from jayswitch.http.status_lines import status_line
from jayswitch.proxy.attempts import AttemptRunner, RetryBudgetSettings
from jayswitch.proxy.followers import StateFollowers
from jayswitch.proxy.hop import HopClient
from jayswitch.proxy.http_client import HttpClient
from jayswitch.proxy.inbound import InboundApplication
from jayswitch.proxy.link_pacer import LinkPacer
from jayswitch.proxy.outbound import OutboundApplication
from jayswitch.proxy.planned_stop import PlannedStop
from jayswitch.proxy.protocol import StrictProtocol
from jayswitch.proxy.sockets import apply_options
from jayswitch.proxy.status import LatencyMetrics, StatusApplication
from jayswitch.rollout.coordinator import MoveCoordinator
from jayswitch.rollout.trial import RouteAverages, TrialEvaluator
from jayswitch.rollout.versions import VersionRules
from jayswitch.routing.balancer import Balancer

if TYPE_CHECKING:
    from jayswitch.logs import BoundedLogHandler
    from jayswitch.proxy.generated import ProxySettings
    from jayswitch.proxy.headers import HeaderNames
    from jayswitch.proxy.outcome import ForwardedRequest
    from jayswitch.proxy.wsgi_request import StartResponse
    from jayswitch.rollout.coordinator import StatusWriter
    from jayswitch.store.interface import Store, WatchEvent

UPSTREAM_CONNECT_TIMEOUT_MS = 300.0
# The latency between data centres is 1.4 ms, and a lost SYN is retransmitted only
# after 1 s, so waiting longer, but less than that, would not help.
HOP_CONNECT_TIMEOUT_MS = 250.0
# The response to a heartbeat has to be sent within 1 s.
ACKNOWLEDGE_TIMEOUT_MS = 800.0
MAINTENANCE_INTERVAL_MS = 500.0
COUNTS_LOG_INTERVAL_MS = 5000.0
# Minimum interval between publications of the trial counts.
TRIAL_PUBLISH_INTERVAL_MS = 1500.0
STATUS_OK = 200
STATUS_UNAVAILABLE = 503

logger = logging.getLogger(__name__)


class ProxyProcess:
    """Serves the callers and the upstream of one VM, and other proxies."""

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
        """Takes the platform adapters; ports are bound by start()."""
        self.settings = settings
        self.orders = orders
        self.draining = False
        self._store = store
        self.clock = clock
        self._rng = random.Random(f"{settings.vm} {time.monotonic()}")
        self._build_gate(names)
        self.directory = Directory(settings.vm)
        self.publisher = RecordPublisher(
            store, settings.vm, self._build_record, self._current_upstream, clock
        )
        self.publisher.is_fleet_starting = settings.first_start
        self.hop_client = HttpClient(clock, HOP_CONNECT_TIMEOUT_MS)
        self.balancer = Balancer(
            settings.data_centre, settings.region, clock, self._rng, settings.vm
        )
        self.directory.is_suspected = self.balancer.is_suspected
        self.followers = StateFollowers(
            store,
            settings,
            self.directory,
            operator_prefix,
            apply_order,
            self._apply_shared,
            FeedClient(self.hop_client),
            self.balancer.is_suspected,
            clock,
        )
        self.publisher.known_record_revision = partial(
            self.followers.record_revision, settings.vm
        )
        self.gate.notices.on_departure = self.publisher.publish
        self.gate.is_informed = lambda: self.followers.have_synced
        self._build_forwarding(names)
        self._build_rollout(status)
        orders.on_change(self._apply_orders)
        self._started_ms = clock.wall_ms()
        self._servers: list[HttpServer] = []
        self._logged_store_calls: Counter[str] = Counter()

    def _build_gate(self, names: HeaderNames) -> None:
        settings, clock = self.settings, self.clock
        self.cold_limiter = ColdRateLimiter(clock)
        self.local_upstream = LocalUpstream(
            settings.service, settings.heartbeat_ms, clock, self.cold_limiter.set_cold
        )
        self.upstream_client = HttpClient(clock, UPSTREAM_CONNECT_TIMEOUT_MS)
        self.gate = UpstreamGate(
            settings.upstream_address,
            self.local_upstream,
            self.cold_limiter,
            self.upstream_client,
            names,
            clock,
            ColdRateAllowance(settings.cold_factor, settings.cold_slack),
        )

    def _build_forwarding(self, names: HeaderNames) -> None:
        settings, clock = self.settings, self.clock
        budget_settings = RetryBudgetSettings(
            settings.retry_ratio, settings.retry_slack, settings.retry_window_s
        )
        self.runner = AttemptRunner(
            settings.vm,
            self.gate,
            HopClient(self.hop_client, self.followers.revision_exchange, names, clock),
            self.directory,
            self.balancer,
            budget_settings,
            clock,
            self._rng,
        )
        self.runner.is_evacuated = self.orders.evacuated.__contains__
        self.inbound = InboundApplication(
            self.gate,
            self.followers.feed_server,
            self.followers.revision_exchange,
            names,
            LinkPacer(settings.link_mbit_per_s, clock),
            clock,
        )
        self.outbound = OutboundApplication(
            settings.vm, settings.service, self.runner, names, clock
        )
        self.latency = LatencyMetrics()
        self.outbound.on_response = self.latency.observe_request

    def _build_rollout(self, status: StatusWriter) -> None:
        self.rules = VersionRules(self._rng)
        self.trial = TrialEvaluator()
        self._trial_published_ms = float("-inf")
        self.coordinator = MoveCoordinator(
            self.settings.vm,
            self._store,
            self.orders,
            self.rules,
            self.directory,
            status,
            self.clock,
        )
        self.runner.select_members = self.rules.choose_members
        self.runner.members_of_proved_version = self.rules.members_of_proved_version
        self.runner.on_withdrawn = self.rules.withdraw
        self.runner.is_on_trial = self.rules.is_on_trial
        self.gate.is_version_allowed = self._is_version_allowed
        self.gate.on_upstream_response = self._record_trial_response

    def start(
        self,
        heartbeats: Callable[..., Iterable[bytes]],
        logs: BoundedLogHandler | None = None,
    ) -> None:
        """Binds all ports and starts all background tasks."""
        settings = self.settings
        ip = settings.callers_address.rpartition(":")[0]
        status = StatusApplication(self, logs)
        self._serve(f"{ip}:{settings.metrics_port}", status)
        self._serve(settings.callers_address, self.outbound, StrictProtocol)
        self._serve(settings.proxies_address, self.inbound, StrictProtocol)
        self._serve(settings.heartbeats_address, heartbeats)
        self._serve(settings.readiness_address, self._serve_readiness)
        self.publisher.start(self._restore)
        self.followers.start()
        self.coordinator.start()
        eventlet.spawn(self._run_maintenance)
        logger.info("started", extra={"first_start": settings.first_start})

    @property
    def ready(self) -> bool:
        """Returns whether callers can be served."""
        return (
            not self.draining
            and self.orders.catalog is not None
            and self.followers.have_synced
            and self.publisher.restored
        )

    def stop(self) -> bool:
        """Drains and stops the servers; returns False if requests were cut off."""
        return PlannedStop(self).run()

    def stop_accepting(self) -> None:
        """Refuses new connections at every server; open ones are still served."""
        for server in self._servers:
            server.stop_accepting()

    @property
    def has_upstream(self) -> bool:
        """Whether the local upstream accepts requests, as far as is known."""
        current = self.local_upstream.current
        return current is not None and current.state is UpstreamState.READY

    @property
    def store_calls(self) -> Counter[str]:
        """Returns the number of calls to the store by kind."""
        return self._store.calls_by_kind

    @property
    def in_flight(self) -> int:
        """Returns the number of requests of callers and other proxies in progress."""
        return self.outbound.in_flight + self.inbound.in_flight

    # Local upstream

    def handle_heartbeat(self, heartbeat: Heartbeat) -> bool:
        """Applies a heartbeat; returns whether it may be acknowledged."""
        if not self.publisher.restored:
            return False
        previous = self.local_upstream.current
        result = self.local_upstream.handle_heartbeat(heartbeat)
        if result is HeartbeatResult.CHANGED:
            current = self.local_upstream.current
            assert current is not None
            if previous is None or not previous.same_incarnation(current):
                self.gate.restart()
                self.trial = TrialEvaluator()
            self.publisher.publish()
        self.gate.resize()
        if heartbeat.upstream.state is UpstreamState.READY:
            return result is not HeartbeatResult.FOREIGN
        return self._wait_until_stored(heartbeat.upstream.id)

    def handle_deregistration(self, upstream_id: str, started_ms: int) -> bool:
        """Applies a deregistration; returns whether it may be acknowledged."""
        if not self.publisher.restored:
            return False
        current = self.local_upstream.current
        if current is not None and started_ms and started_ms < current.started_ms:
            return True
        if self.local_upstream.deregister(upstream_id):
            self.publisher.publish()
        return self._wait_until_stored(upstream_id)

    def _wait_until_stored(self, upstream_id: str) -> bool:
        """Waits until the state is stored, so that it survives this process."""
        stored = self.publisher.wait_until_stored(ACKNOWLEDGE_TIMEOUT_MS)
        logger.info(
            (
                "leaving upstream acknowledged"
                if stored
                else "upstream state not stored in time; not acknowledged"
            ),
            extra={"upstream": upstream_id},
        )
        return stored

    def _restore(self, upstream: Upstream | None) -> None:
        if upstream is None:
            return
        self.local_upstream.restore(upstream)
        self.cold_limiter.reserve_window()
        self.gate.notices.probe()
        logger.info(
            "stored upstream state restored",
            extra={"upstream": upstream.id, "state": upstream.state.value},
        )
        if upstream.state is UpstreamState.READY:
            eventlet.spawn_n(self._confirm_restored)

    def _confirm_restored(self) -> None:
        if self.gate.health.confirms_current() and self.local_upstream.usable is None:
            self.local_upstream.confirm()
            self.gate.resize()
            logger.info("restored upstream confirmed by its health check")
            self.publisher.publish()

    def _build_record(self) -> NodeRecord:
        settings = self.settings
        current = self.local_upstream.current
        published_upstream = None
        ready = self.has_upstream
        if current is not None:
            # Other proxies need only know whether it accepts requests, not why.
            state = UpstreamState.READY if ready else UpstreamState.LEAVING
            published_upstream = msgspec.structs.replace(
                current, state=state, sequence=0
            )
        return NodeRecord(
            vm=settings.vm,
            data_centre=settings.data_centre,
            region=settings.region,
            address=settings.proxies_address,
            link_mbit_per_s=settings.link_mbit_per_s,
            started_ms=self._started_ms,
            upstream=published_upstream,
            draining=self.draining,
            trial=self.trial.counts if self._is_on_trial() else None,
        )

    def _current_upstream(self) -> Upstream | None:
        return self.local_upstream.current

    # Fleet records

    def _apply_shared(self, event: WatchEvent) -> None:
        if event.key.startswith(NODE_PREFIX):
            self.directory.apply(event)
            if event.value is None and event.key == node_key(self.settings.vm):
                self.publisher.handle_removal()
        else:
            self.rules.apply(event)

    # Rollout

    def _is_on_trial(self) -> bool:
        current = self.local_upstream.current
        service = self.settings.service
        return current is not None and self.rules.is_on_trial(service, current.version)

    def _is_version_allowed(self, version: str) -> bool:
        service = self.settings.service
        return self.rules.may_receive_requests(
            service, version, self.directory.members(service)
        )

    def _record_trial_response(
        self, request: ForwardedRequest, failed: bool, latency_ms: float
    ) -> None:
        """Records a response of the upstream, and evaluates its version if on trial."""
        self.latency.observe_upstream(latency_ms)
        current = self.local_upstream.current
        if current is None or not self._is_on_trial():
            return
        proved_averages = request.proved_averages
        if self.cold_limiter.is_cold:
            # A cold upstream is slow whatever its version, so latency is not compared.
            proved_averages = RouteAverages(0.0, proved_averages.failures)
        self.trial.observe(request.route, failed, latency_ms, proved_averages)
        service = self.settings.service
        if self.trial.is_bad and self.rules.withdraw(service, current.version):
            self.coordinator.roll_back(service, self.trial.reason)
        self._publish_trial()

    def _publish_trial(self) -> None:
        now_ms = self.clock.now_ms()
        if now_ms - self._trial_published_ms >= TRIAL_PUBLISH_INTERVAL_MS:
            self._trial_published_ms = now_ms
            self.publisher.publish()

    def _apply_orders(self) -> None:
        catalog = self.orders.catalog
        self.outbound.catalog = catalog
        is_local_data_centre_evacuated = (
            self.settings.data_centre in self.orders.evacuated
        )
        self.gate.data_centre_evacuated = is_local_data_centre_evacuated
        if catalog is not None:
            service = catalog.service_by_name.get(self.settings.service)
            if service is not None:
                self.gate.set_service(service)

    # Servers and maintenance

    def _serve(self, address: str, application: Any, protocol: Any = None) -> None:
        ip, _, port = address.rpartition(":")
        options = {"protocol": protocol} if protocol is not None else {}
        server = HttpServer(
            ip, int(port), application, on_accept=apply_options, **options
        )
        server.start()
        self._servers.append(server)

    def _serve_readiness(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        status = STATUS_OK if self.ready else STATUS_UNAVAILABLE
        start_response(status_line(status), [("Content-Length", "0")])
        return [b""]

    def _run_maintenance(self) -> None:
        counts_logged_ms = self.clock.now_ms()
        while True:
            self.clock.sleep_ms(MAINTENANCE_INTERVAL_MS)
            self.upstream_client.close_expired()
            self.hop_client.close_expired()
            if self.clock.now_ms() - counts_logged_ms >= COUNTS_LOG_INTERVAL_MS:
                counts_logged_ms = self.clock.now_ms()
                self.log_store_calls()
                self.gate.notices.log_rate(self.gate.counts["sent"])

    def log_store_calls(self) -> None:
        """Logs the calls to the store since the previous line, by kind."""
        calls = Counter(self.store_calls)
        recent = calls - self._logged_store_calls
        self._logged_store_calls = calls
        if recent:
            logger.info("store calls", extra={"calls_by_kind": dict(recent)})
