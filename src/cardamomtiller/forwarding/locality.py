"""Where an instance is, and how far away the upstreams of a failure domain are."""

from collections.abc import Mapping
from enum import Enum
from typing import NamedTuple

from cardamomtiller.ids import DomainName, RegionName


class Distance(Enum):
    """How far a failure domain is away."""

    SAME_DOMAIN = 'same_domain'
    SAME_REGION = 'same_region'
    OTHER_REGION = 'other_region'


class Locality(NamedTuple):
    """
    Place of an instance.

    Attributes
    ----------
    domain
        Its failure domain.
    regions
        Region of each failure domain, as far as the settings name it.
    """

    domain: DomainName
    regions: Mapping[DomainName, RegionName]

    def distance(self, domain: DomainName) -> Distance:
        """Return the distance to a failure domain; one without a region is near."""
        if domain == self.domain:
            return Distance.SAME_DOMAIN
        own_region = self.regions.get(self.domain)
        other_region = self.regions.get(domain)
        if own_region is None or other_region is None or own_region == other_region:
            return Distance.SAME_REGION
        return Distance.OTHER_REGION
