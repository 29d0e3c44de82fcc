"""Connects this node to runners, directly or through peers, and relays connections for peers.

Requests and cache feeds use ``session``, whose connections a peer may relay. Weights orders and the
reports that precede them use ``direct_session``, because a runner takes orders that arrive from two
machines for the orders of two holders.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random

import aiohttp
from aiohttp.client_proto import ResponseHandler

from hillstack.core.runner_paths import RunnerPaths
from hillstack.daemon.connection_relay import ConnectionRelay, max_relayed_connections
from hillstack.daemon.path_dialer import PathDialer
from hillstack.daemon.path_monitor import PathMonitor, TargetProbe
from hillstack.daemon.peer_link import PeerLink
from hillstack.daemon.reach_exchange import ReachExchange
from hillstack.daemon.relay_targets import RelayTargets
from hillstack.platform.connection_log import ConnectionLog
from hillstack.platform.connections import (
    SilenceAwareConnector,
    make_runner_session,
    make_socket,
    record_silent_address,
)
from hillstack.platform.runner_connector import RunnerConnector
from hillstack.serving.fleet_state import FleetState
from hillstack.serving.metrics import FleetMetrics


class RunnerAccess:
    """The parts that choose and open the connections to runners.

    Args:
        state: State of this node.
        zone: Zone of this node.
        link: Sends and receives datagrams.
        probe: Calls runners over new connections.
        metrics: Counts relayed connections.
        descriptors: How many file descriptors the process may have open.
        clock: Monotonic seconds.
        rng: Source of randomness.

    Attributes:
        session: Session for calls to runners and KV cache stores.
        direct_session: Session for calls that must reach runners from this node itself.
        order_session: Session for orders, each over a direct connection of its own. An answer to
            a call names no call, so a late one over a used connection could pass for the order's.
        relay: Relays connections for other nodes.
        monitor: Finds out which paths are lost.
        dialer: Opens connections to runners, and finds routes through peers.
    """

    def __init__(
        self,
        state: FleetState,
        zone: str,
        link: PeerLink,
        probe: TargetProbe,
        metrics: FleetMetrics,
        descriptors: int,
        clock: Callable[[], float],
        rng: Random,
    ) -> None:
        self._paths = paths = RunnerPaths(state.node_id, zone)
        targets = RelayTargets(state)
        self.relay = ConnectionRelay(
            state,
            paths,
            targets,
            metrics,
            make_socket,
            max_relayed_connections(descriptors),
            clock,
        )
        reach = ReachExchange(state, paths, targets, link, clock, rng, lambda: self.relay.accepts)
        dialer: PathDialer[ResponseHandler] = PathDialer(
            state, paths, targets, reach, metrics, clock, rng
        )
        self.monitor = PathMonitor(state, paths, targets, dialer, probe, self.record_silent, clock)
        self.dialer = dialer
        log = ConnectionLog(metrics)
        connector = RunnerConnector(
            state.node_id, dialer, self.monitor, paths, log, state.left_relayed_runs
        )
        self.session: aiohttp.ClientSession = make_runner_session(connector)
        self.direct_session: aiohttp.ClientSession = make_runner_session(
            SilenceAwareConnector(self.monitor, log)
        )
        self.order_session: aiohttp.ClientSession = make_runner_session(
            SilenceAwareConnector(self.monitor, log, single_use=True)
        )
        metrics.gauge(
            "runners_reached_by_peers_only",
            "Runners and KV cache stores that this node reaches only through peers.",
            lambda: len(paths.lost),
        )
        metrics.gauge(
            "relayed_connections_open",
            "Connections to runners that this node relays for others.",
            lambda: self.relay.open_count,
        )

    def record_silent(self, address: str) -> None:
        """Record that the open connections to an address must not be reused."""
        for session in (self.session, self.direct_session, self.order_session):
            record_silent_address(session, address)

    async def run(self) -> None:
        """Probe lost paths until cancelled."""
        await self.monitor.run()

    async def listen(self, host: str, port: int) -> None:
        """Start to relay connections for other nodes."""
        await self.relay.listen(host, port)

    async def close(self) -> None:
        """Close all connections."""
        self.relay.close()
        await self.session.close()
        await self.direct_session.close()
        await self.order_session.close()
        # The transports close in the next iteration of the event loop.
        await asyncio.sleep(0)
