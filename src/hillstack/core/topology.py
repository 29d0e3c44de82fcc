"""Zones and regions of a deployment, and the distance between zones."""

from __future__ import annotations

import enum
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field


class Distance(enum.IntEnum):
    """The distance between two zones."""

    SAME_ZONE = 0
    SAME_REGION = 1
    OTHER_REGION = 2


@dataclass(frozen=True, slots=True)
class Topology:
    """The zone and region of this node, and the region of each zone.

    A zone whose region is not known counts as part of this node's region, so that a deployment
    without configured regions is one region.

    Attributes:
        zone: Zone of this node.
        region: Region of this node; empty if the deployment has no regions.
        regions_by_zone: Region of each zone whose region is known.
    """

    zone: str
    region: str = ""
    regions_by_zone: Mapping[str, str] = field(default_factory=dict)

    def region_of(self, zone: str) -> str:
        """Return the region of a zone."""
        return self.regions_by_zone.get(zone, self.region)

    def is_own_region(self, zone: str) -> bool:
        """Return whether a zone is in this node's region."""
        return self.region_of(zone) == self.region

    def are_same_region(self, first: str, second: str) -> bool:
        """Return whether two zones are in one region."""
        known = self.regions_by_zone
        return not known or known.get(first, self.region) == known.get(second, self.region)

    def distance(self, first: str, second: str) -> Distance:
        """Return the distance between two zones."""
        if first == second:
            return Distance.SAME_ZONE
        if self.are_same_region(first, second):
            return Distance.SAME_REGION
        return Distance.OTHER_REGION

    def other_zones(self) -> frozenset[str]:
        """Return the known zones that are not in this node's region."""
        return frozenset(zone for zone in self.regions_by_zone if not self.is_own_region(zone))

    def has_regions(self) -> bool:
        """Return whether the deployment spans more than one region."""
        return len({self.region, *self.regions_by_zone.values()}) > 1

    def zones_of_region(self, region: str, zones: Iterable[str]) -> list[str]:
        """Return the zones that are in a region, sorted by name."""
        return sorted(zone for zone in zones if self.region_of(zone) == region)


# Topology of a deployment without regions.
ONE_REGION = Topology(zone="")
