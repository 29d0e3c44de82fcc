"""One node of the fleet: its parts, startup, serving and planned stop."""

from __future__ import annotations

import asyncio
import functools
import logging
import resource
import signal
from pathlib import Path
from random import Random
from typing import Any

import uvicorn

from hillstack import clock
from hillstack.answer_bodies import BodyReader
from hillstack.config.fleet_settings import FleetSettings, load_fleet_settings
from hillstack.core.bucket_holders import BucketHolders
from hillstack.core.freshness import Freshness
from hillstack.core.node_directory import NodeEntry
from hillstack.core.relay_choice import RelayChoice
from hillstack.core.rollout_judge import RolloutJudge
from hillstack.core.shared_retry_budget import SharedRetryBudget
from hillstack.core.token_buckets import TokenBuckets
from hillstack.core.token_leases import TokenLeases
from hillstack.core.version_exposure import VersionExposure
from hillstack.core.weights_versions import WeightsVersions
from hillstack.daemon.background_tasks import BackgroundTasks
from hillstack.daemon.cache_follower import CacheFollower
from hillstack.daemon.change_log import ChangeLog
from hillstack.daemon.connection_limiter import (
    ConnectionLimiter,
    max_caller_connections,
)
from hillstack.daemon.crash_checks import CrashChecks
from hillstack.daemon.duty_lease import DutyLease
from hillstack.daemon.early_listeners import EarlyListeners
from hillstack.daemon.limit_client import LEASE_SECONDS, LimitClient
from hillstack.daemon.limit_holder import LimitHolder
from hillstack.daemon.limit_scopes import RUNNER_START_SHARE, RUNNER_TOLERANCE, runner_scope
from hillstack.daemon.limited_calls import (
    RateLimitedCacheFeed,
    RateLimitedOrderSender,
    RateLimitedProbe,
)
from hillstack.daemon.loop_lag import LoopLag
from hillstack.daemon.metrics_page import MetricsPage
from hillstack.daemon.metrics_server import serve_metrics
from hillstack.daemon.node_registry import NodeRegistry
from hillstack.daemon.node_stop import NodeStop
from hillstack.daemon.peer_exchange import PeerExchange
from hillstack.daemon.peer_link import PeerLink
from hillstack.daemon.permit_services import make_permit_services
from hillstack.daemon.runner_access import RunnerAccess
from hillstack.daemon.runner_check import RunnerCheck
from hillstack.daemon.runner_monitor import RunnerMonitor
from hillstack.daemon.runner_places import RunnerPlaces
from hillstack.daemon.software_rollout_duty import SoftwareRolloutDuty
from hillstack.daemon.start_times import StartTimes
from hillstack.daemon.store_check import StoreCheck
from hillstack.daemon.store_relay import StoreRelay
from hillstack.daemon.store_sync import StoreSync
from hillstack.daemon.stream_services import make_stream_services
from hillstack.daemon.weights_rollout_duty import WeightsRolloutDuty
from hillstack.errors import SettingsError
from hillstack.http_server import make_server
from hillstack.logs import dropped_lines, error_fields
from hillstack.platform.answer_ends import AnswerEnds
from hillstack.platform.cache_feed import HttpCacheFeed
from hillstack.platform.connections import (
    idle_connections,
    make_store_session,
)
from hillstack.platform.crash_ledgers import CrashLedgers
from hillstack.platform.ingress import Ingress, Readiness
from hillstack.platform.names import DUTY_KEY, PART_LEDGERS_PREFIX
from hillstack.platform.path_probe import PathProbe
from hillstack.platform.rollouts import rollout_duty_key
from hillstack.platform.runners import HttpRunnerClient
from hillstack.platform.store import MetadataStore
from hillstack.serving.fleet_state import FleetState
from hillstack.serving.metrics import FleetMetrics
from hillstack.serving.pipeline import RequestPipeline
from hillstack.serving.placement import RunnerPlacement
from hillstack.serving.region_choice import RegionChoice
from hillstack.serving.rollout_observer import RolloutObserver
from hillstack.serving.runner_limits import RunnerLimits
from hillstack.serving.signal_receiver import SignalReceiver

logger = logging.getLogger(__name__)

# How long a failed holder blocks the duty: a quarter of the shortest time allowed for new weights
# (8 s).
LEASE_TTL_SECONDS = 2.0
# Part of the platform's time limits for the use of older weights that this node leaves unused:
# assumed maximum time between sending a request to a runner and its start there. Placement stops
# using older weights ``placement.VERSION_MARGIN_SECONDS`` before the shortened limit.
VERSION_MARGIN_SECONDS = 0.4
# Longer than the operator's limits allow callers to reuse an idle connection.
KEEP_ALIVE_SECONDS = 120
# Message of the event loop when no descriptor is left to accept a connection. The loop reports it
# once for each place of the backlog, and tries again after a second.
ACCEPT_FAILED = "socket.accept() out of system resource"
# Descriptor limit assumed if the system sets none: the lowest usual default.
DEFAULT_DESCRIPTORS = 1_024
STORE_SYNC_TASK = "store_sync"


class FleetNode:
    """A node of the fleet; must be created inside a running event loop.

    Args:
        settings: Settings of the node.
        listeners: Sockets that are already listening; closed when the node stops.
        times: When the startup phases so far ended.
        settings_path: Settings file that SIGHUP reloads. Only the grace period takes effect; all
            other settings apply from the next start.
    """

    def __init__(
        self,
        settings: FleetSettings,
        listeners: EarlyListeners,
        times: StartTimes,
        settings_path: Path | None = None,
    ) -> None:
        self._settings = settings
        self._listeners = listeners
        self._times = times
        self._settings_path = settings_path
        self._clock = clock.seconds
        self._lag = LoopLag(self._clock)
        self._stopping = False
        self._stop = asyncio.Event()
        rng = Random()
        bounds = settings.bounds
        self._state = FleetState(
            settings.node.id,
            Freshness(settings.freshness_bound()),
            WeightsVersions(bounds.version_ms / 1000 - VERSION_MARGIN_SECONDS),
            SharedRetryBudget(
                bounds.retry_ratio,
                bounds.retry_slack,
                bounds.retry_window_seconds,
                times.entered_at,
            ),
            VersionExposure(bounds.canary_share, bounds.canary_slack),
            settings.topology(),
        )
        contact = bounds.contact_ms / 1000 - VERSION_MARGIN_SECONDS
        # Counted from the start of the process, not from the end of loading its libraries: loading
        # takes up to a second on a busy machine, and older weights would stay in use that much
        # longer.
        self._state.bounds_enforced_from = times.entered_at + contact
        self._store_session = make_store_session()
        self._metrics = FleetMetrics()
        self._tasks = BackgroundTasks(self._clock, self._metrics.count_task_failure)
        self._state.store_era.handle_new(lambda _: self._metrics.store_restores.inc())
        store = MetadataStore(
            settings.store.address,
            self._store_session,
            self._metrics.unreadable_items.inc,
            self._state.store_era,
        )
        zone = settings.node.zone
        self._link = PeerLink()
        choice = RelayChoice(settings.node.id, self._state.nodes, self._state.topology)
        self._peers = PeerExchange(self._state, self._link, choice, zone, self._clock, rng)
        signals = SignalReceiver(
            self._state.pool,
            self._metrics,
            self._clock,
            self._peers.leaving,
            self._peers.limit_changed,
        )
        self._shared_runner_limits = self._share_runner_limits(choice, rng)
        self._places = RunnerPlaces(self._state, self._link, self._clock, rng)
        self._peers.handle_load_changes(self._places.report_change)
        runner_limits = RunnerLimits(
            self._state.pool, self._shared_runner_limits, self._metrics, self._clock, self._places
        )
        path_probe = PathProbe(settings.node.id, signals)
        probe = RateLimitedProbe(path_probe, runner_limits)
        self._access = RunnerAccess(
            self._state,
            zone,
            self._link,
            probe,
            self._metrics,
            self._descriptors(),
            self._clock,
            rng,
        )
        self._runner_session = self._access.session
        self._state.handle_restarted(lambda runner: self._access.record_silent(runner.address))
        bodies = BodyReader(settings.answers.max_bytes, settings.answers.max_total_bytes)
        monitor, dialer = self._access.monitor, self._access.dialer
        check = RunnerCheck(path_probe, runner_limits, dialer, monitor.is_lost)
        ends = AnswerEnds(check, self._metrics)
        runners = HttpRunnerClient(self._runner_session, signals, bodies, ends=ends)
        orders = HttpRunnerClient(
            self._access.direct_session, signals, order_session=self._access.order_session
        )
        self._changes = ChangeLog()
        store_relay = StoreRelay(self._state, self._changes, self._link, self._clock)
        placement = RunnerPlacement(
            self._state,
            self._peers,
            zone,
            rng,
            idle_connections(self._runner_session),
            RegionChoice(self._state, settings.node.region_link_megabits),
        )
        self._peers.handle_placements(placement.observe_placement, placement.observe_prefilled)
        feed = RateLimitedCacheFeed(
            HttpCacheFeed(self._runner_session, signals),
            runner_limits,
            self._state.pool,
            self._clock,
        )
        self._follower = CacheFollower(self._state, feed, self._peers, self._clock)
        self._observer = RolloutObserver(
            self._state,
            self._peers,
            lambda order, ordered_at: RolloutJudge(order.target, ordered_at, order.over_seconds),
            placement.median_answer_seconds,
            self._metrics,
            self._clock,
            rng,
        )
        self._peers.handle_rollouts(self._observer.add_report)
        placement.versions.handle_canaries(self._metrics.count_canary)
        holders = BucketHolders(settings.node.id, self._state.nodes, choice, zone)
        self._buckets = TokenBuckets(bounds.limit_tolerance(), LEASE_SECONDS)
        limit_holder = LimitHolder(
            self._state, self._buckets, holders, self._link, self._clock, rng
        )
        leases = TokenLeases(self._clock())
        self._limits = LimitClient(
            self._state, leases, holders, limit_holder, self._link, self._clock, rng
        )
        own_address = f"{settings.node.address}:{settings.listen.peers_port}"
        self._streams = make_stream_services(
            self._state, store, self._link, placement.versions, own_address, self._clock, rng
        )
        self._pipeline = RequestPipeline(
            self._state,
            runners,
            placement,
            self._clock,
            self._limits,
            self._metrics,
            self._observer,
            runner_limits,
            self._streams.versions,
        )
        crashes = self._pipeline.runner_crashes
        crashes.set_lag_source(self._lag.lag_free_since)
        self._permits = make_permit_services(
            self._state,
            CrashLedgers(store, self._clock),
            CrashLedgers(store, self._clock, PART_LEDGERS_PREFIX, is_leased=False),
            self._link,
            probe,
            self._peers.is_isolated,
            self._clock,
        )
        crashes.set_permits(self._permits)
        self._crash_checks = CrashChecks(self._state, crashes, check, self._clock)
        self._peers.handle_runner_crashes(self._crash_checks.observe)
        self._access.monitor.handle_answered(crashes.refute)
        # The order matters: the cache contents open the start gate of the new peer (``StartGate``),
        # so everything else that it decides from has to arrive before them.
        self._peers.handle_new_peers(crashes.send_initial_state)
        self._peers.handle_new_peers(self._peers.send_initial_state)
        self._peers.handle_new_peers(self._follower.send_initial_state)
        own = NodeEntry(
            settings.node.id, own_address, zone, link_megabits=settings.node.link_megabits
        )
        self._sync = StoreSync(
            store,
            self._state,
            self._changes,
            store_relay,
            choice,
            own,
            settings.store_poll_interval(),
            self._clock,
            rng,
            self._lag.is_lagging,
        )
        self._check = StoreCheck(
            store,
            self._state,
            self._changes,
            self._sync.request_reload,
            self._clock,
            rng,
            store_relay,
            self._sync.nearer_peers,
        )
        self._registry = NodeRegistry(store, self._state, self._peers.silent_nodes, self._clock)
        lease = DutyLease(
            store,
            DUTY_KEY,
            settings.node.id,
            LEASE_TTL_SECONDS,
            self._clock,
            lambda: self._state.highest_fence,
        )
        self._duty = WeightsRolloutDuty(
            self._state,
            lease,
            RateLimitedOrderSender(orders, runner_limits),
            self._access.monitor,
            self._peers,
            bounds.lease_ms / 1000,
            self._clock,
            rng,
        )
        self._rollouts = SoftwareRolloutDuty(
            self._state,
            store,
            rollout_duty_key,
            self._observer,
            lambda: self._peers.live_zones().keys(),
            bounds.config_apply_ms / 1000,
            self._clock,
            rng,
        )

    def _share_runner_limits(self, choice: RelayChoice, rng: Random) -> LimitClient:
        """Return the client for the request limits that runners set for all nodes together."""
        node = self._settings.node
        # Not shared with the tenants' limits: a holder of an earlier build answers for tenants but
        # not for runners, and would be marked as silent for both.
        holders = BucketHolders(node.id, self._state.nodes, choice, node.zone)
        scope = runner_scope(self._state.pool, self._clock)
        buckets = TokenBuckets(
            RUNNER_TOLERANCE, LEASE_SECONDS, start_share=RUNNER_START_SHARE, requires_full_cost=True
        )
        holder = LimitHolder(self._state, buckets, holders, self._link, self._clock, rng, scope)
        leases = TokenLeases(self._clock())
        return LimitClient(
            self._state, leases, holders, holder, self._link, self._clock, rng, scope
        )

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT."""
        self._handle_signals()
        settings = self._settings
        await self._link.open(settings.node.address, settings.listen.peers_port)
        await self._access.listen(settings.node.address, settings.listen.peers_port)
        callers = make_server(
            Ingress(
                self._pipeline,
                self._clock,
                self._max_body_bytes,
                self._should_close,
                self._lag.is_lagging,
            ),
            settings.listen.callers,
            keep_alive_seconds=KEEP_ALIVE_SECONDS,
            date_header=False,
        )
        self._connection_limiter = ConnectionLimiter(
            max_caller_connections(self._descriptors()),
            lambda: callers.server_state.connections,
            self._clock,
            lambda: self._access.relay.open_count,
        )
        readiness = make_server(
            Readiness(self._is_ready), settings.listen.readiness, date_header=False
        )
        listening = [
            (callers, [self._listeners.callers]),
            (readiness, [self._listeners.readiness]),
        ]
        if settings.listen.metrics_port is not None:
            self._add_gauges()
            address = f"{settings.node.address}:{settings.listen.metrics_port}"
            work = functools.partial(serve_metrics, MetricsPage(self._metrics), address)
            self._tasks.start("metrics", work, is_required=False)
        asyncio.get_running_loop().set_exception_handler(self._handle_loop_error)
        # Unlike ``serve``, ``_serve`` installs no signal handlers: the node decides when to stop.
        serving = [asyncio.create_task(server._serve(sockets)) for server, sockets in listening]
        monitor = RunnerMonitor(
            self._state,
            self._peers,
            self._clock,
            self._lag,
            self._access.monitor,
            self._metrics.suspended.inc,
        )
        for name, run in (
            (STORE_SYNC_TASK, self._sync.run),
            ("store_check", self._check.run),
            ("peers", self._peers.run),
            ("peer_relay", self._peers.relay),
            ("caches", self._follower.run),
            ("tenant_limits", self._limits.run),
            ("runner_limits", self._shared_runner_limits.run),
            ("runner_crashes", self._pipeline.runner_crashes.run),
            ("crash_checks", self._crash_checks.run),
            ("registry", self._registry.run),
            ("runner_access", self._access.run),
            ("runner_places", self._places.run),
            ("stream_versions", self._streams.versions.run),
            ("stream_records", self._streams.recorder.run),
            ("weights_lease", self._duty.maintain_lease),
            ("weights", self._duty.run),
            ("rollout_reports", self._observer.run),
            ("rollouts", self._rollouts.run),
            ("runner_monitor", monitor.run),
        ):
            # Without the others, requests are still served by the configuration in force.
            self._tasks.start(name, run, is_required=name == STORE_SYNC_TASK)
        self._note_started()
        await self._stop.wait()
        await self._drain(callers)
        for server, _ in listening:
            server.should_exit = True
            server.force_exit = True
        await asyncio.gather(*serving, return_exceptions=True)
        await self._close()
        logger.info("stopped")

    def _note_started(self) -> None:
        phases = self._times.phases(self._clock())
        fields: dict[str, object] = {
            "zone": self._settings.node.zone,
            "callers": self._settings.listen.callers,
        }
        fields |= {f"{phase}_seconds": seconds for phase, seconds in phases.items()}
        logger.info("started", extra=fields)
        for phase, seconds in phases.items():
            self._metrics.start.labels(phase).set(seconds)

    def _add_gauges(self) -> None:
        state, metrics = self._state, self._metrics

        def accepting() -> float:
            now = self._clock()
            return sum(1 for runner in state.pool.all() if runner.accepts(now))

        def version() -> float:
            return state.table.version if state.table is not None else 0

        metrics.gauge("configuration_version", "Configuration in force.", version)
        metrics.gauge(
            "store_age_seconds",
            "Age of what is known of the store.",
            lambda: state.freshness.age(self._clock()),
        )
        metrics.gauge(
            "store_revision",
            "Revision of the store up to which all is known.",
            lambda: self._changes.revision.number,
        )
        metrics.gauge(
            "store_era",
            "Era of the store: how often it was restored from an older copy.",
            lambda: state.store_era.current,
        )
        metrics.gauge("runners_listed", "Runners known.", lambda: len(state.pool.all()))
        metrics.gauge("runners_accepting", "Runners that may get new work.", accepting)
        metrics.gauge(
            "believed_parts", "Prompt parts believed cached.", lambda: state.index.part_count()
        )
        metrics.gauge(
            "watched_caches",
            "Holders of cached parts that this node watches.",
            lambda: len(self._follower.watched()),
        )
        metrics.gauge(
            "limit_share",
            "Part of all nodes that hand their time for tenants' limits to this one.",
            self._buckets.share,
        )
        retries = state.budget.use
        metrics.gauge(
            "retries_from_requests",
            "Further attempts that the service's requests covered.",
            lambda: retries.from_requests,
        )
        metrics.gauge(
            "retries_from_slack",
            "Further attempts that the slack of the retry budget covered.",
            lambda: retries.from_slack,
        )
        metrics.gauge(
            "retries_refused",
            "Further attempts that the retry budget did not allow.",
            lambda: retries.refused,
        )
        metrics.gauge("active_requests", "Requests being served.", lambda: self._pipeline.active)
        metrics.gauge("log_lines_dropped", "Log lines over the rate.", dropped_lines)

    def _is_ready(self) -> bool:
        return self._connection_limiter.can_accept() and not self._should_leave()

    def _should_close(self) -> bool:
        """Return whether a caller's connection should end after its answer."""
        return self._connection_limiter.is_full() or self._should_leave()

    def _should_leave(self) -> bool:
        """Return whether callers should go to another node."""
        is_sound = self._state.can_serve(self._clock()) and not self._tasks.failing()
        return self._stopping or not is_sound

    def _max_body_bytes(self) -> int:
        """Return the maximum size of a request's body; 4 MiB until the configuration is known."""
        table = self._state.table
        # Until the table is known, the default of its limit (``LimitsBody``).
        return table.limits.max_body_bytes if table is not None else 4_194_304

    def _descriptors(self) -> int:
        """Return how many file descriptors this process may have open."""
        limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        configured = self._settings.node.descriptors
        if limit == resource.RLIM_INFINITY:
            limit = DEFAULT_DESCRIPTORS
        return limit if configured is None else min(limit, configured)

    def _handle_loop_error(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """Handle failed accepts of connections; log all other errors as usual."""
        if context.get("message") == ACCEPT_FAILED:
            self._connection_limiter.note_exhausted()
            return
        loop.default_exception_handler(context)

    def _handle_signals(self) -> None:
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._stop.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        # Blocked since the start of the process (``run_node``).
        signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})

    def _reload(self) -> None:
        """Read the settings again; only the grace period of a planned stop takes effect."""
        if self._settings_path is None:
            return
        try:
            self._settings = load_fleet_settings(self._settings_path)
        except SettingsError as error:
            logger.error("settings kept: " + error.message, extra=error_fields(error))
            return
        logger.info("settings read again")

    async def _drain(self, callers: uvicorn.Server) -> None:
        """Serve for a fixed time and until all requests are answered, then release the leases."""
        self._stopping = True
        self._duty.stop_acquiring()
        self._rollouts.stop_acquiring()

        async def release_duties() -> None:
            await asyncio.gather(self._duty.release_on_stop(), self._rollouts.release_on_stop())

        stop = NodeStop(
            self._pipeline,
            self._access.relay,
            lambda: callers.server_state.connections,
            release_duties,
            self._clock,
        )
        await stop.run(self._settings.bounds.grace_seconds)

    async def _close(self) -> None:
        self._permits.close()
        await self._tasks.cancel()
        self._link.close()
        await self._access.close()
        await self._store_session.close()
