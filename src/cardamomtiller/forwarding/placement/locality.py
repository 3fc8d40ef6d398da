"""Failure domain and region of an instance, and its distance to other domains."""

from collections.abc import Mapping
from enum import Enum
from typing import NamedTuple

from cardamomtiller.ids import DomainName, InstanceId, RegionName


class Distance(Enum):
    """Distance class of a failure domain as seen from an instance."""

    SAME_DOMAIN = 'same_domain'
    SAME_REGION = 'same_region'
    OTHER_REGION = 'other_region'


class Locality(NamedTuple):
    """
    Location of an instance.

    Attributes
    ----------
    domain
        Failure domain of the instance.
    regions
        Region of each failure domain that the settings assign to a region.
    instance
        The instance, whose preferred upstreams follow from its id.
    """

    domain: DomainName
    regions: Mapping[DomainName, RegionName]
    instance: InstanceId = InstanceId('')

    def distance(self, domain: DomainName) -> Distance:
        """Return the distance to a domain; an unknown region counts as the same."""
        if domain == self.domain:
            return Distance.SAME_DOMAIN
        local_region = self.regions.get(self.domain)
        other_region = self.regions.get(domain)
        if local_region is None or other_region is None or local_region == other_region:
            return Distance.SAME_REGION
        return Distance.OTHER_REGION
