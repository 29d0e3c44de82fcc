"""How much of a service's traffic a node may send to a version that is not trusted yet.

Each node pays for its own sends: with a share of the requests that it took for the service since it
saw the order, and with its part of the slack. A right to send arises only at the node that has the
request and is used there or never, so the sum over all nodes keeps the bound whatever they know of
one another: cut off, paused, started anew, or all at once.

Rare routes get more than their share of the canaries: a request is taken with a probability that
falls with the square root of how common its route is. What common routes leave is kept for the next
request, so the whole exposure is used all the same.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from hillstack.core.store_revision import StoreRevision

# Part of the share that is used: the rest is for requests that were counted and that callers sent
# again to another node.
SHARE_SAFETY = 0.95
# Part of the slack that is used: the rest is for nodes that have started and that others do not
# know yet when they divide it.
SLACK_SAFETY = 0.8
# The slack is not used for so long after the order was seen: by then the nodes that started shortly
# before the order are known.
SLACK_SETTLE_SECONDS = 1.0
# Where all canaries together do not make one runner as busy as the others, they are sent in bursts:
# one every so many seconds, several within the time in which a rollout is decided (some 12 s).
BURST_PERIOD_SECONDS = 3.0
# The shortest part of a period in which canaries are sent: nodes see an order within half a second
# of each other, and their bursts must meet.
LEAST_BURST_PART = 0.25
# From so many unused sends on a request of any route is taken: rare routes alone would leave much
# of the exposure unused.
ANY_ROUTE_FROM_SENDS = 2.0


@dataclass(slots=True)
class _Account:
    """What one node took and sent under one order.

    Attributes:
        revision: That names the order.
        opened_at: When this node saw the order.
        earns_until: The order's deadline: requests that come later earn no sends.
        has_slack: Whether this process may use its part of the slack.
        node_count: Most nodes that were known to share the slack.
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
        share: Part of a service's requests that an untrusted version may get.
        slack: Requests that it may get beyond that, over all nodes.
    """

    def __init__(self, share: float, slack: float) -> None:
        self.share = share
        self._slack = slack
        self._node_count = 1
        self._accounts: dict[str, _Account] = {}

    def set_node_count(self, count: int) -> None:
        """Note how many nodes share the slack; a part that was given never grows."""
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
        """Begin the account of an order.

        A process that finds an order when it starts knows neither its age nor what its predecessor
        sent: it sends nothing to an untrusted version.

        Args:
            service: The service.
            revision: That names the order.
            over_seconds: Time from the order to its deadline.
            not_before: Earliest time at which the order can have been given; minus infinity if
                that is not known.
            now: When it was seen, on the node's clock.
        """
        known = self._accounts.get(service)
        if known is not None and known.revision >= revision:
            return
        has_slack = math.isfinite(not_before)
        earns_until = not_before + over_seconds
        account = _Account(revision, now, earns_until, has_slack, self._node_count)
        self._accounts[service] = account

    def on_request(self, service: str, route: str, arrived_at: float) -> None:
        """Note a request for a service, once, by when it came."""
        account = self._accounts.get(service)
        if account is None or not account.opened_at <= arrived_at <= account.earns_until:
            return
        account.requests += 1
        account.by_route[route] = account.by_route.get(route, 0) + 1

    def admits(self, service: str, route: str, draw: float, now: float) -> bool:
        """Return whether a request may go to the untrusted version.

        Args:
            service: Its service.
            route: Its route.
            draw: Random number from 0 up to 1; 0 if no other version takes the request.
            now: Time on the node's clock.
        """
        left = self.left(service, now)
        if left < 1.0:
            return False
        return left >= ANY_ROUTE_FROM_SENDS or draw < self._chance(service, route)

    def is_burst(self, service: str, part: float, now: float) -> bool:
        """Return whether canaries are sent now, if they are for a part of the time only.

        Args:
            service: The service.
            part: Part of the time in which canaries are sent, with the exposure that the whole time
                earns; from 1 on they are sent all the time.
            now: Time on the node's clock.
        """
        account = self._accounts.get(service)
        if account is None:
            return False
        # The first burst begins when the slack can be used.
        since = now - account.opened_at - SLACK_SETTLE_SECONDS
        return since % BURST_PERIOD_SECONDS < max(part, LEAST_BURST_PART) * BURST_PERIOD_SECONDS

    def on_send(self, service: str) -> int:
        """Note a send to the untrusted version, a refused one too; return how many that makes."""
        account = self._accounts.get(service)
        if account is None:
            return 0
        account.sends += 1
        return account.sends

    def left(self, service: str, now: float) -> float:
        """Return how many requests may still be sent to the untrusted version; 0 without order."""
        account = self._accounts.get(service)
        if account is None:
            return 0.0
        allowance = self.share * SHARE_SAFETY * account.requests
        if account.has_slack and now - account.opened_at >= SLACK_SETTLE_SECONDS:
            allowance += self._slack * SLACK_SAFETY / account.node_count
        return allowance - account.sends

    def _chance(self, service: str, route: str) -> float:
        """Return with which probability a request of a route is taken while there is exposure."""
        seen = self._accounts[service].by_route
        if not seen:
            return 1.0
        return math.sqrt(min(seen.values()) / max(1, seen.get(route, 1)))
