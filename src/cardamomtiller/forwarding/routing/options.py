"""Options of packet forwarding and their default values."""

from typing import NamedTuple

from cardamomtiller.forwarding.admission.control import AdmissionOptions
from cardamomtiller.forwarding.admission.limit import LimitOptions
from cardamomtiller.forwarding.admission.waitqueue import WaitOptions
from cardamomtiller.forwarding.link.options import LinkOptions
from cardamomtiller.forwarding.observation.flows import FlowOptions
from cardamomtiller.forwarding.observation.load import (
    MAX_REPORT_AGE_MS,
    SilenceOptions,
)
from cardamomtiller.forwarding.observation.outcomes import (
    DEFAULT_OUTCOMES,
    OutcomeOptions,
)
from cardamomtiller.forwarding.observation.reachability import (
    DEFAULT_REACHABILITY,
    ReachabilityOptions,
)
from cardamomtiller.forwarding.placement.selection import PlacementOptions
from cardamomtiller.forwarding.placement.staleload import SpreadOptions
from cardamomtiller.forwarding.telemetry.decisionlog import LogOptions
from cardamomtiller.forwarding.warmup.options import WarmupOptions


class ForwardingOptions(NamedTuple):
    """
    Options of the forwarding decisions.

    Attributes
    ----------
    missing_entry_grace_ms
        Time for which an upstream stays eligible after its entry has disappeared.
    departed_retention_ms
        Time for which a departed upstream still receives the packets of its flows.
    silent_flows_threshold
        Number of flows that retransmitted a request, without any evidence in between
        that the upstream is alive, at which the upstream is suspected.
    neighbour_silence_ms
        Time since the last evidence that an upstream is alive after which it is
        suspected because another upstream of its failure domain is unreachable.
    unanswered_threshold
        Unanswered requests reported by other instances at which an upstream is
        suspected.
    unknown_token_ms
        Time for which a token must be unknown before its upstream is considered gone.
    link
        Scheduling of the instance's own link, None if its rate is not stated.
    warmup
        Quota of upstreams in slow start, None if none is stated.
    """

    admission: AdmissionOptions
    placement: PlacementOptions
    reachability: ReachabilityOptions
    flows: FlowOptions
    outcomes: OutcomeOptions
    missing_entry_grace_ms: float
    departed_retention_ms: float
    silent_flows_threshold: int
    neighbour_silence_ms: float
    unanswered_threshold: float
    unknown_token_ms: float
    link: LinkOptions | None = None
    warmup: WarmupOptions | None = None


DEFAULT_SILENCE = SilenceOptions(
    unanswered_opens=2, retransmitting_flows=3, retry_ms=1000
)
DEFAULT_SPREAD = SpreadOptions(
    max_own_share=1 / 16,
    tolerance=0.15,
    prior_answers=5.0,
    correction_gain=0.3,
    min_correction_interval_ms=200,
    max_correction=8.0,
    max_credit=3.0,
    subset_size=8,
    rotating=1,
    spill_cost=0.5,
)
DEFAULT_PLACEMENT = PlacementOptions(
    idle_flow_weight=0.05,
    others_busy_weight=0.1,
    latency_weight=0.1,
    unanswered_weight=0.1,
    short_answers_cost=20.0,
    same_region_cost=0.34,
    other_region_cost=1.0,
    slow_start_cost=0.7,
    missing_entry_cost=2.0,
    silent_cost=8.0,
    silence=DEFAULT_SILENCE,
    max_candidates=32,
    spread=DEFAULT_SPREAD,
)
DEFAULT_FLOWS = FlowOptions(
    capacity=100_000, idle_ms=15_000, max_request_ms=600, max_handshake_ms=150
)
DEFAULT_ADMISSION = AdmissionOptions(
    limit=LimitOptions(
        requests_per_slot=3.0,
        initial_window=6,
        unqueued_latencies=1.5,
        counted_latencies=4.0,
        max_report_age_ms=MAX_REPORT_AGE_MS,
    ),
    wait=WaitOptions(
        max_waiting=500,
        max_age_ms=1000,
        # Clients send the copies at these ages, and give up at 1400 ms.
        copy_ages_ms=(0, 200, 600),
        copy_delay_ms=100,
        late_turn_interval=16,
    ),
)
DEFAULT_FORWARDING = ForwardingOptions(
    admission=DEFAULT_ADMISSION,
    placement=DEFAULT_PLACEMENT,
    reachability=DEFAULT_REACHABILITY,
    flows=DEFAULT_FLOWS,
    outcomes=DEFAULT_OUTCOMES,
    missing_entry_grace_ms=2000,
    departed_retention_ms=60_000,
    silent_flows_threshold=2,
    neighbour_silence_ms=300,
    unanswered_threshold=1.5,
    unknown_token_ms=2500,
)
DEFAULT_LOG = LogOptions(
    lines_per_s=500,
    milestones_per_s=100,
    max_buffer_entries=4000,
)
