"""How far apart availability zones are, by the regions that the settings give them."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import IntEnum, unique


@unique
class Distance(IntEnum):
    """The distance between two availability zones, the smaller the nearer.

    OTHER_ZONE is that of zones of which it is not known whether they share a region.
    """

    SAME_ZONE = 0
    SAME_REGION = 1
    OTHER_ZONE = 2
    OTHER_REGION = 3


@dataclass(frozen=True, slots=True)
class Regions:
    """The regions of the availability zones, by zone; empty if there are none.

    With a single region the distances are as without any.

    >>> regions = Regions({"a": "north", "b": "north", "c": "south"})
    >>> regions.distance("a", "b"), regions.distance("a", "c")
    (<Distance.SAME_REGION: 1>, <Distance.OTHER_REGION: 3>)
    >>> Regions({"a": "north", "b": "north"}).distance("a", "b")
    <Distance.OTHER_ZONE: 2>
    """

    by_zone: Mapping[str, str] = field(default_factory=dict)

    @property
    def are_several(self) -> bool:
        """Return True if the zones are in more than one region."""
        return len(set(self.by_zone.values())) > 1

    def of(self, zone: str) -> str:
        """Return the region of an availability zone.

        Zones that the settings do not name form one region, without a name.
        """
        return self.by_zone.get(zone, "")

    def count_zones(self, zone: str) -> int:
        """Return how many zones the region of a zone has, at least one."""
        region = self.of(zone)
        return max(1, sum(each == region for each in self.by_zone.values()))

    def distance(self, zone: str, other_zone: str) -> Distance:
        """Return how far apart two availability zones are."""
        if zone == other_zone:
            return Distance.SAME_ZONE
        region, other_region = self.by_zone.get(zone), self.by_zone.get(other_zone)
        if region is None or other_region is None or not self.are_several:
            return Distance.OTHER_ZONE
        if region == other_region:
            return Distance.SAME_REGION
        return Distance.OTHER_REGION


NO_REGIONS = Regions()
