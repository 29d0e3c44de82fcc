"""Admits a request before its first attempt: checks the configuration, the route and the key."""

from __future__ import annotations

from collections.abc import Callable

from hillstack.core.routing_table import Route, RoutingTable, TenantEntry
from hillstack.serving.event_framing import EventFraming
from hillstack.serving.fleet_state import FleetState
from hillstack.serving.job import STOPPING_RETRY_SECONDS, Job
from hillstack.serving.types import RejectedError, ServingRequest, Verdict

# A node with stale data usually has fresh data after its next poll of the store.
STALE_RETRY_SECONDS = 1.0
# A node that has just started has read the whole store within a second.
NOT_READY_RETRY_SECONDS = 1.0


class RequestAdmission:
    """Turns requests into jobs, or rejects them.

    Args:
        state: State of the node.
        clock: Monotonic seconds.
    """

    def __init__(self, state: FleetState, clock: Callable[[], float]) -> None:
        self._state = state
        self._clock = clock
        self._accepting = True

    @property
    def is_accepting(self) -> bool:
        """Whether requests are accepted."""
        return self._accepting

    def stop_accepting(self) -> None:
        """Reject all further requests, because the node is shutting down."""
        self._accepting = False
        # Requests that wait at the gate are rejected now, not when the process ends.
        self._state.start_gate.open()

    def admit(self, request: ServingRequest) -> Job:
        """Return the job for a request.

        Raises:
            RejectedError: The router answers the request itself.
        """
        if not self._accepting:
            raise RejectedError(
                Verdict.UNAVAILABLE, "stopping", step="admit", retry_after=STOPPING_RETRY_SECONDS
            )
        table = self._state.table
        if table is None or not self._state.directory_known:
            text = "no configuration yet" if table is None else "runners are not known yet"
            raise RejectedError(
                Verdict.UNAVAILABLE, text, step="admit", retry_after=NOT_READY_RETRY_SECONDS
            )
        route = table.match(request.host, request.path)
        if route is None:
            raise RejectedError(Verdict.NO_ROUTE, "no route", step="route")
        tenant = self._authenticate(request, route, table)
        patience = request.patience_seconds
        limit = route.timeout_seconds
        limit = limit if patience is None else min(limit, patience)
        service = self._state.split.choose(route)
        self._state.budget.on_request(service, self._clock())
        priority = route.priority
        if tenant is not None and tenant.priority is not None:
            priority = tenant.priority
        framing = EventFraming(request.last_event_id)
        deadline = request.arrived_at + limit
        return Job(request, route, service, tenant, priority, deadline, framing)

    def _authenticate(
        self, request: ServingRequest, route: Route, table: RoutingTable
    ) -> TenantEntry | None:
        if table.tenants_by_key is None or route.public:
            return None
        if not self._state.freshness.is_fresh(self._clock()):
            text = "keys can't be checked: the store has not answered"
            raise RejectedError(
                Verdict.UNAVAILABLE, text, step="authenticate", retry_after=STALE_RETRY_SECONDS
            )
        tenant = table.tenants_by_key.get(request.key) if request.key is not None else None
        if tenant is None:
            raise RejectedError(Verdict.UNAUTHENTICATED, "unknown key", step="authenticate")
        return tenant
