"""Settings of a fleet node, read from a TOML file.

Unknown keys are ignored, because the platform that writes the file may add some.
"""

from __future__ import annotations

import math
import tomllib
from pathlib import Path
from typing import Annotated, Literal

import msgspec

from hillstack.addresses import split_address
from hillstack.answer_limits import MAX_ANSWER_BYTES, MAX_TOTAL_BYTES
from hillstack.core.tenant_limits import LimitTolerance
from hillstack.core.topology import Topology
from hillstack.errors import SettingsError

PositiveInt = Annotated[int, msgspec.Meta(gt=0)]
Port = Annotated[int, msgspec.Meta(gt=0, lt=65_536)]
PositiveFloat = Annotated[float, msgspec.Meta(gt=0)]
NonNegativeFloat = Annotated[float, msgspec.Meta(ge=0)]
NonEmptyText = Annotated[str, msgspec.Meta(min_length=1)]

# Keys become untrusted at this part of revoke_ms, before the bound itself has passed.
FRESHNESS_FRACTION = 0.9
# Part of the bound that lies between two polls. A change arrives after up to two poll intervals:
# the relay polls the store, and this node polls the relay. The other half of the bound is left for
# the store, lost datagrams and one failed poll.
POLL_FRACTION = 0.25


class NodeSection(msgspec.Struct, frozen=True):
    """Who this node is.

    Attributes:
        id: Name of the node, unique in the deployment.
        zone: Zone of the node.
        region: Region of the node; none where a deployment has one region only.
        address: IP number at which peers reach it.
        link_megabits: What its network link carries in a second, in Mbit; those with the fastest
            links relay for the others. 0 if it is not known.
        region_link_megabits: What the link between regions carries each way in a second, in Mbit;
            requests for another region's runners take up to half of it. The default is the
            narrowest seen.
        descriptors: Most descriptors that the process may have open; none for the system's limit.
    """

    id: NonEmptyText
    zone: NonEmptyText
    address: NonEmptyText
    region: str = ""
    link_megabits: NonNegativeFloat = 0.0
    region_link_megabits: PositiveFloat = 30.0
    descriptors: PositiveInt | None = None


class ListenSection(msgspec.Struct, frozen=True):
    """Where this node listens.

    Attributes:
        callers: ``IP:PORT`` for callers.
        readiness: ``IP:PORT`` for the readiness question.
        peers_port: UDP port for other nodes.
        metrics_port: TCP port for metrics; none by default.
    """

    callers: NonEmptyText
    readiness: NonEmptyText
    peers_port: Port
    metrics_port: Port | None = None


class StoreSection(msgspec.Struct, frozen=True):
    """Where the metadata store is.

    Attributes:
        address: ``IP:PORT``.
    """

    address: NonEmptyText


class BoundsSection(msgspec.Struct, frozen=True):
    """Bounds that the operator sets, in the unit that the name says.

    Attributes:
        fail_closed: Whether requests with a key are refused when the store has not answered lately.
        revoke_ms: Time after which a removed key must not be served any more.
        contact_ms: Time after a start in which a node is not held to bounds.
        lease_ms: Time that must lie between the orders of two holders of a duty to one runner.
        version_ms: Time after which a version of weights that was named must be in use.
        config_apply_ms: Time after which a configuration must be in force.
        drain_ms: Time after which a leaving runner must get no new work.
        grace_seconds: Time between SIGTERM and the end of the process.
        retry_ratio: Further attempts allowed for each request to a service.
        retry_slack: Further attempts allowed in a window beyond the ratio, over all nodes.
        retry_window_seconds: Length of that window.
        limit_overshoot: Part of what a tenant's limit allows in a window that may come on top.
        limit_slack: What may come on top of that, over all nodes, in the unit of the limit.
        limit_window_seconds: Length of that window.
        canary_share: Part of a service's requests that a version of its software may get before it
            is trusted.
        canary_slack: Requests that it may get beyond that, over all nodes.
        rollback_ms: Time after which a version that has proved bad must get no new work.
    """

    fail_closed: bool = False
    revoke_ms: PositiveFloat = 5_000.0
    contact_ms: PositiveFloat = 3_000.0
    lease_ms: PositiveFloat = 3_000.0
    version_ms: PositiveFloat = 8_000.0
    config_apply_ms: PositiveFloat = 2_000.0
    drain_ms: PositiveFloat = 2_000.0
    grace_seconds: PositiveFloat = 8.0
    retry_ratio: NonNegativeFloat = 0.1
    retry_slack: NonNegativeFloat = 10.0
    retry_window_seconds: PositiveFloat = 10.0
    limit_overshoot: NonNegativeFloat = 0.0
    limit_slack: NonNegativeFloat = 0.0
    limit_window_seconds: PositiveFloat = 10.0
    canary_share: NonNegativeFloat = 0.1
    canary_slack: NonNegativeFloat = 0.0
    rollback_ms: PositiveFloat = 5_000.0

    def limit_tolerance(self) -> LimitTolerance:
        """Return by how much tenants may exceed their limits."""
        return LimitTolerance(self.limit_window_seconds, self.limit_overshoot, self.limit_slack)


class AnswersSection(msgspec.Struct, frozen=True):
    """Bounds on the answers of runners that are no streams.

    Attributes:
        max_bytes: Largest body of an answer; a longer one is cut, and counts as a failure of its
            runner.
        max_total_bytes: Bytes of all answers that the node is reading at a time. If they are
            exceeded, answers of more than the average size are cut.
    """

    max_bytes: PositiveInt = MAX_ANSWER_BYTES
    max_total_bytes: PositiveInt = MAX_TOTAL_BYTES


class LogSection(msgspec.Struct, frozen=True):
    """Logs.

    Attributes:
        level: Least severe level that is logged.
        lines_per_second: Most lines written in a second; more are dropped and counted.
    """

    level: Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"
    lines_per_second: PositiveInt = 300


class FleetSettings(msgspec.Struct, frozen=True):
    """All settings of ``hillstack fleet run``."""

    node: NodeSection
    listen: ListenSection
    store: StoreSection
    bounds: BoundsSection = BoundsSection()
    answers: AnswersSection = AnswersSection()
    log: LogSection = LogSection()
    # Region of each zone.
    zones: dict[str, str] = msgspec.field(default_factory=dict)

    def topology(self) -> Topology:
        """Return the location of this node and the region of each zone."""
        return Topology(self.node.zone, self.node.region, self.zones)

    def freshness_bound(self) -> float:
        """Return the age in seconds from which keys are no longer trusted."""
        if not self.bounds.fail_closed:
            return math.inf
        return self.bounds.revoke_ms / 1000 * FRESHNESS_FRACTION

    def store_poll_interval(self) -> float:
        """Return the seconds between two polls for changes: a quarter of the shorter bound."""
        return POLL_FRACTION * min(self.bounds.config_apply_ms, self.bounds.drain_ms) / 1000


def load_fleet_settings(path: Path) -> FleetSettings:
    """Read and check a settings file.

    Raises:
        SettingsError: The file can't be read or is invalid; the message gives the reason.
    """
    try:
        content = tomllib.loads(path.read_text())
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}", step="read settings") from error
    except (ValueError, RecursionError) as error:
        raise SettingsError(f"{path}: not TOML: {error}", step="read settings") from error
    try:
        settings = msgspec.convert(content, FleetSettings, strict=False)
        for address in (
            settings.listen.callers,
            settings.listen.readiness,
            settings.store.address,
        ):
            split_address(address)
    except (msgspec.ValidationError, ValueError) as error:
        raise SettingsError(f"{path}: {error}", step="check settings") from error
    return settings
