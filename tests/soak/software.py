"""Versions of the runners' software, and the rollout states that are reported to the operator."""

from __future__ import annotations

import math
import time
from dataclasses import dataclass, field

import msgspec

from hillstack.emulator.fleet_runner import SoftwareFaults
from hillstack.emulator.fleet_store import FleetStore
from hillstack.platform import names
from hillstack.platform.bodies import RolloutStatusBody
from tests.soak.observations import Rollout

CANARY_SHARE = 0.1
CANARY_SLACK = 10.0
FIRST_VERSION = "v1"


@dataclass(slots=True)
class Software:
    """The current, ordered and faulty versions of each service.

    Attributes:
        ordered: Target version of the current rollout, by service.
        beside: Versions whose runners serve beside the others with no order.
    """

    ordered: dict[str, str] = field(default_factory=dict)
    beside: set[str] = field(default_factory=set)
    _current: dict[str, str] = field(default_factory=dict)
    _bad: dict[str, SoftwareFaults] = field(default_factory=dict)
    _count: int = 1

    def order(self, service: str, faults: SoftwareFaults) -> str:
        """Begin a rollout to a new version that has the given faults; return the version."""
        self._count += 1
        target = f"v{self._count}"
        self.ordered[service] = target
        self._bad[target] = faults
        return target

    def finish_rollout(self, service: str, *, complete: bool) -> None:
        """End a service's rollout; if it is complete, its target becomes the current version."""
        target = self.ordered.pop(service)
        if complete:
            self._current[service] = target

    def current_version(self, service: str) -> str:
        """Return the version of a service from which a rollout, if any, starts."""
        return self._current.get(service, FIRST_VERSION)

    def version_for_start(self, service: str, software: str) -> str:
        """Return ``software`` if its runners may start now, else the current version."""
        if software in self.beside or software == self.ordered.get(service):
            return software
        return self.current_version(service)

    def faults(self, software: str) -> SoftwareFaults:
        """Return the faults of a version."""
        return self._bad.get(software, SoftwareFaults())


class StatusRecordingStore(FleetStore):
    """A store that records the rollout states written for the operator, by target version."""

    def __init__(self, rollouts: dict[str, Rollout]) -> None:
        super().__init__()
        self._rollouts = rollouts

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write an item, record it if it is a rollout's status, and return its revision."""
        if key.startswith(names.ROLLOUT_STATUS_PREFIX):
            status = msgspec.json.decode(value, type=RolloutStatusBody)
            rollout = self._rollouts[status.target_version]
            rollout.states.append(status.state)
            if status.state != "running":
                rollout.decided_at = min(rollout.decided_at, time.monotonic())
        return super().put(key, value, lease)


def is_decided(rollout: Rollout) -> bool:
    """Return whether an outcome was reported to the operator."""
    return rollout.decided_at < math.inf
