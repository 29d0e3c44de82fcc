"""Limits how much of a service's traffic a node sends to a version that is not trusted yet.

Each node has its own allowance: a share of the requests that it received for the service since it
saw the order, and its part of the slack. The allowance is earned and used on the same node, never
transferred. The sum over all nodes therefore stays within the bound whatever the nodes know of one
another, also while they are partitioned, paused, restarted, or all of these at once.

Rare routes get more than their share of the canary requests: a request is selected with a
probability that falls with the square root of how common its route is. Allowance that common routes
don't use remains for later requests, so the whole exposure is still used.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from hillstack.core.store_revision import StoreRevision

# Fraction of the share that is used. The rest allows for requests that were counted here and that
# callers retried at another node.
SHARE_SAFETY = 0.95
# Fraction of the slack that is used. The rest allows for started nodes that other nodes don't know
# yet when they divide the slack.
SLACK_SAFETY = 0.8
# The slack is not used until this time after the order was seen. By then the nodes that started
# shortly before the order are known.
SLACK_SETTLE_SECONDS = 1.0
# If all canary requests together can't make one runner as busy as the others, they are sent in
# bursts with this period. Several bursts fit into the time in which a rollout is decided (about
# 12 s).
BURST_PERIOD_SECONDS = 3.0
# Shortest fraction of a period in which canary requests are sent. Nodes see an order within half a
# second of each other, and their bursts must overlap.
MIN_BURST_PART = 0.25
# Unused sends from which requests of any route are selected. Selecting by route alone would leave
# much of the exposure unused.
ANY_ROUTE_FROM_SENDS = 2.0


@dataclass(slots=True)
class _Account:
    """Requests received and sends made by one node under one order.

    Attributes:
        revision: Revision that identifies the order.
        opened_at: When this node saw the order.
        earns_until: The order's deadline; later requests earn no sends.
        has_slack: Whether this process may use its part of the slack.
        node_count: Greatest known number of nodes that share the slack.
        requests: Requests received.
        sends: Requests sent to the untrusted version.
        by_route: Requests received, by route.
    """

    revision: StoreRevision
    opened_at: float
    earns_until: float
    has_slack: bool
    node_count: int
    requests: int = 0
    sends: int = 0
    by_route: dict[str, int] = field(default_factory=dict)


class VersionExposure:
    """This node's part of the exposure of the target versions of all services.

    Args:
        share: Fraction of a service's requests that an untrusted version may get.
        slack: Requests that an untrusted version may get in addition, over all nodes.
    """

    def __init__(self, share: float, slack: float) -> None:
        self.share = share
        self._slack = slack
        self._node_count = 1
        self._accounts: dict[str, _Account] = {}

    def set_node_count(self, count: int) -> None:
        """Set the number of nodes that share the slack; an open account's slack never grows."""
        self._node_count = max(1, count)
        for account in self._accounts.values():
            account.node_count = max(account.node_count, self._node_count)

    def open(
        self,
        service: str,
        revision: StoreRevision,
        over_seconds: float,
        not_before: float,
        now: float,
    ) -> None:
        """Open the account of an order.

        A process that finds an order when it starts knows neither the age of the order nor how much
        the previous process of the node sent. It sends nothing to an untrusted version.

        Args:
            service: The service.
            revision: Revision that identifies the order.
            over_seconds: Time from the order to its deadline.
            not_before: Earliest time at which the order can have been given; minus infinity if
                unknown.
            now: When the order was seen, on the node's clock.
        """
        known = self._accounts.get(service)
        if known is not None and known.revision >= revision:
            return
        has_slack = math.isfinite(not_before)
        earns_until = not_before + over_seconds
        account = _Account(revision, now, earns_until, has_slack, self._node_count)
        self._accounts[service] = account

    def on_request(self, service: str, route: str, arrived_at: float) -> None:
        """Count a request for a service, once per request, by its time of arrival."""
        account = self._accounts.get(service)
        if account is None or not account.opened_at <= arrived_at <= account.earns_until:
            return
        account.requests += 1
        account.by_route[route] = account.by_route.get(route, 0) + 1

    def admits(self, service: str, route: str, draw: float, now: float) -> bool:
        """Return whether a request may go to the untrusted version.

        Args:
            service: The request's service.
            route: The request's route.
            draw: Random number in [0, 1); 0 if no other version can serve the request.
            now: Time on the node's clock.
        """
        left = self.left(service, now)
        if left < 1.0:
            return False
        return left >= ANY_ROUTE_FROM_SENDS or draw < self._selection_probability(service, route)

    def is_burst(self, service: str, part: float, now: float) -> bool:
        """Return whether canary requests are sent now, if they are sent in bursts.

        Args:
            service: The service.
            part: Number of target runners that the canary requests make as busy as the trusted
                runners. Below 1 it is also the fraction of the time in which they are sent, using
                the exposure that the whole time earns; with 1 or more they are sent all the time.
            now: Time on the node's clock.
        """
        account = self._accounts.get(service)
        if account is None:
            return False
        # The first burst begins as soon as the slack may be used.
        since = now - account.opened_at - SLACK_SETTLE_SECONDS
        return since % BURST_PERIOD_SECONDS < max(part, MIN_BURST_PART) * BURST_PERIOD_SECONDS

    def on_send(self, service: str) -> int:
        """Count a send to the untrusted version, even if refused; return the number of sends."""
        account = self._accounts.get(service)
        if account is None:
            return 0
        account.sends += 1
        return account.sends

    def left(self, service: str, now: float) -> float:
        """Return how many more requests the untrusted version may get; 0 without an order."""
        account = self._accounts.get(service)
        if account is None:
            return 0.0
        allowance = self.share * SHARE_SAFETY * account.requests
        if account.has_slack and now - account.opened_at >= SLACK_SETTLE_SECONDS:
            allowance += self._slack * SLACK_SAFETY / account.node_count
        return allowance - account.sends

    def _selection_probability(self, service: str, route: str) -> float:
        """Return the probability of selecting a request of a route while exposure is left."""
        seen = self._accounts[service].by_route
        if not seen:
            return 1.0
        return math.sqrt(min(seen.values()) / max(1, seen.get(route, 1)))
