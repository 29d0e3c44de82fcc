"""Probes whether a runner answers, over a new connection that is used for nothing else."""

from __future__ import annotations

import errno
from typing import Any

import aiohttp

from hillstack.daemon.path_monitor import ProbeResult
from hillstack.daemon.relayed_link import RelayRoute, open_relayed
from hillstack.errors import (
    BackendError,
    BackendStatusError,
    OtherProcessError,
    RelayError,
    RunnerRestartedError,
    UnreadableAnswerError,
)
from hillstack.platform.connections import (
    SilenceAwareConnector,
    make_runner_session,
    make_socket,
)
from hillstack.platform.response_handler import (
    StrictResponseHandler,
)
from hillstack.platform.runner_signals import SignalListener
from hillstack.platform.runners import HttpRunnerClient


class _RouteConnector(SilenceAwareConnector):
    """Opens all connections through one peer."""

    def __init__(self, route: RelayRoute, node_id: str) -> None:
        super().__init__()
        self._route = route
        self._node_id = node_id

    async def _create_connection(self, req: Any, traces: Any, timeout: Any) -> Any:
        handler = StrictResponseHandler(self._loop, self.silent)
        try:
            await open_relayed(self._route, self._node_id, make_socket, handler)
        except RelayError as error:
            raise aiohttp.ClientConnectionError(str(error)) from error
        return handler


class PathProbe:
    """Probes paths to runners with report calls.

    Args:
        node_id: This node.
        listener: Receives the signals in the answers.
    """

    def __init__(self, node_id: str, listener: SignalListener | None = None) -> None:
        self._node_id = node_id
        self._listener = listener

    async def probe(
        self, target_id: str, address: str, route: RelayRoute | None = None
    ) -> ProbeResult:
        """Call a runner over a new connection.

        Args:
            target_id: The process that should answer.
            address: Its address.
            route: The route through a peer; None for a direct connection.
        """
        connector = None if route is None else _RouteConnector(route, self._node_id)
        async with make_runner_session(connector) as session:
            client = HttpRunnerClient(session, self._listener)
            try:
                await client.report(target_id, address)
            except (RunnerRestartedError, OtherProcessError):
                return ProbeResult.OTHER_PROCESS
            except (BackendStatusError, UnreadableAnswerError):
                return ProbeResult.OTHER
            except BackendError as error:
                return ProbeResult.REFUSED if _is_refused(error) else ProbeResult.SILENT
        return ProbeResult.ANSWERED


def _is_refused(error: BackendError) -> bool:
    """Return whether a call failed because nothing listens on the address."""
    cause = error.__cause__
    return isinstance(cause, OSError) and cause.errno == errno.ECONNREFUSED
