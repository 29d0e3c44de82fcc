"""A pool of connections to runners, some of which are relayed by peers."""

from __future__ import annotations

import asyncio
import functools
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler

from hillstack import clock
from hillstack.core.relayed_runs import LeftRelayedRuns
from hillstack.core.runner_paths import RunnerPaths
from hillstack.daemon.path_dialer import PathDialer
from hillstack.daemon.relayed_link import RelayRoute, open_relayed
from hillstack.platform.connection_log import ConnectionLog
from hillstack.platform.connections import (
    SilenceAwareConnector,
    make_socket,
)
from hillstack.platform.response_handler import (
    ConnectionObserver,
    SilentAddresses,
    StrictResponseHandler,
)


class RelayedResponseHandler(StrictResponseHandler):
    """The protocol of a relayed connection; it is not reused once the direct path works again.

    Args:
        loop: The event loop.
        silent: Records the addresses whose connections are silent.
        paths: Knows whether the direct path is lost; receives the contacts through the relay.
        relay_id: The peer that relays the connection.
        log: Records discarded answers and runs that were left.
        left_runs: Records the runs that only a silent relay can end.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        silent: SilentAddresses,
        paths: RunnerPaths,
        relay_id: str,
        log: ConnectionLog | None = None,
        left_runs: LeftRelayedRuns | None = None,
    ) -> None:
        super().__init__(loop, silent, log=log, relay_id=relay_id)
        self._paths = paths
        self._relay_node_id = relay_id
        self._is_relay_closing = False
        self._left_runs = left_runs or LeftRelayedRuns()

    def data_received(self, data: bytes) -> None:
        """Process received bytes, and record that the relay works."""
        self._paths.record_relayed_contact(self._relay_node_id, self._address, clock.seconds())
        super().data_received(data)

    def is_connected(self) -> bool:
        """Return whether the connection can take a request."""
        if self._is_relay_closing or not super().is_connected():
            return False
        return self._paths.is_lost(self._address)

    def close(self) -> None:
        """Close the connection; a run that only the relay can end is recorded."""
        request_id = self._expected_id
        if request_id is not None and self.transport is not None and self._is_left_to_relay():
            self._left_runs.add(request_id, self._address)
        super().close()

    def _is_left_to_relay(self) -> bool:
        """Return whether a run goes on, and its runner has sent bytes since the relay last did.

        The bytes came over this node's own connections.
        """
        if not self._is_answer_due() or self._paths.is_lost(self._address):
            return False
        return self._paths.contact_at(self._address) > self._received_at

    def retire(self) -> None:
        """Use the connection for no further request, because its relay is stopping."""
        self._is_relay_closing = True
        self.force_close()


class RunnerConnector(SilenceAwareConnector):
    """Opens connections to runners directly, or through peers if this node cannot reach them.

    Args:
        node_id: This node.
        dialer: Chooses how each connection is opened.
        observer: Observes the paths of direct connections.
        paths: Which paths are lost.
        log: Records discarded answers and runs that were left.
        left_runs: Records the runs that only a silent relay can end.
    """

    def __init__(
        self,
        node_id: str,
        dialer: PathDialer[ResponseHandler],
        observer: ConnectionObserver,
        paths: RunnerPaths,
        log: ConnectionLog | None = None,
        left_runs: LeftRelayedRuns | None = None,
    ) -> None:
        super().__init__(observer, log)
        self._log = log
        self._left_runs = left_runs or LeftRelayedRuns()
        self._node_id = node_id
        self._dialer = dialer
        self._paths = paths

    async def _create_connection(
        self, req: Any, traces: Any, timeout: aiohttp.ClientTimeout
    ) -> Any:
        """Open the connection for a request."""
        address = f"{req.url.host}:{req.url.port}"
        return await self._dialer.dial(
            address,
            functools.partial(super()._create_connection, req, traces, timeout),
            self._open_relayed,
            ResponseHandler.close,
        )

    async def _open_relayed(self, route: RelayRoute) -> StrictResponseHandler:
        handler = RelayedResponseHandler(
            self._loop, self.silent, self._paths, route.node_id, self._log, self._left_runs
        )

        def retire() -> None:
            handler.retire()
            self.close_if_idle(handler)

        await open_relayed(route, self._node_id, make_socket, handler, retire)
        return handler
