"""Options of the scheduling of the instance's own link."""

from typing import NamedTuple

from cardamomtiller.forwarding.link.egress import DEFAULT_EGRESS, EgressOptions
from cardamomtiller.forwarding.link.evidence import (
    DEFAULT_EVIDENCE,
    EvidenceOptions,
)
from cardamomtiller.forwarding.link.rate import DEFAULT_RATE, RateOptions
from cardamomtiller.forwarding.link.transfers import (
    DEFAULT_TRANSFERS,
    TransferOptions,
)


class LinkOptions(NamedTuple):
    """
    The link as the settings state it, and how it is shared.

    Attributes
    ----------
    bytes_per_ms
        Rate of the link in each direction.
    """

    bytes_per_ms: float
    rate: RateOptions = DEFAULT_RATE
    egress: EgressOptions = DEFAULT_EGRESS
    evidence: EvidenceOptions = DEFAULT_EVIDENCE
    transfers: TransferOptions = DEFAULT_TRANSFERS
