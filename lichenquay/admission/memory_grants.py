"""Memory grants: how much memory an attempt is granted, learned from spills and reported costs."""

from collections.abc import Sequence

from lichenquay.admission.admission_slot import SlotKind
from lichenquay.admission.domain import EngineCapabilities, Query, ResourceGroup
from lichenquay.admission.engine_state import EngineState

MAX_ESTIMATE_FACTOR = 2.0
ESTIMATE_FACTOR_GROWTH = 1.03  # after a spill
ESTIMATE_FACTOR_DECAY = 0.997  # after a result without one
MEMORY_AVERAGE_RESULTS = 20  # results over which a group's mean memory is averaged
MINIMUM_GRANT_DIVISOR = 4  # a minimum slot grants a quarter
USABLE_MEMORY_SHARE = 0.9  # of our share of the memory; the rest is set aside


class MemoryGrants:
    """Grants by estimate, corrected for each group by what its queries turned out to need."""

    def __init__(
        self,
        capabilities: EngineCapabilities,
        groups: Sequence[ResourceGroup],
        interactive: frozenset[ResourceGroup],
    ):
        """Estimates count as right at first."""
        self.honours_grants = capabilities.honours_memory_grants
        self.max_grant_share = capabilities.max_grant_share
        self.interactive = interactive
        self.estimate_factor = dict.fromkeys(groups, 1.0)
        self.mean_memory_mb = dict.fromkeys(groups, 0.0)  # needed by a query, as far as engines reported it

    def full_grant_mb(self, query: Query, state: EngineState) -> float:
        """The grant of a maximum slot on the engine; 0: the engine decides.

        A query without an estimate gets its group's mean. No grant exceeds what engines accept.
        """
        if not self.honours_grants or query.group in self.interactive:
            return 0.0
        needed_mb = query.estimated_memory_mb * self.estimate_factor[query.group]
        needed_mb = needed_mb or self.mean_memory_mb[query.group]
        return min(needed_mb, self.max_grant_share * state.engine.memory_mb)

    def grant_mb(self, query: Query, state: EngineState, kind: SlotKind) -> float:
        """The grant of a slot of that kind on the engine; 0: the engine decides."""
        grant_mb = self.full_grant_mb(query, state)
        return grant_mb / MINIMUM_GRANT_DIVISOR if kind is SlotKind.MINIMUM else grant_mb

    def memory_use_mb(self, query: Query, state: EngineState) -> float:
        """Memory that the query is counted with on the engine: its full grant, else its estimate."""
        return self.full_grant_mb(query, state) or query.estimated_memory_mb

    def learn(self, group: ResourceGroup, was_short: bool, needed_mb: float) -> None:
        """A query of the group needed so much memory. `was_short`: more than it was granted.

        The factor on estimates climbs with each shortage and falls slowly without one: spills cost far more
        than memory that lies idle.
        """
        factor = self.estimate_factor[group]
        if was_short:
            self.estimate_factor[group] = min(MAX_ESTIMATE_FACTOR, factor * ESTIMATE_FACTOR_GROWTH)
        else:
            self.estimate_factor[group] = max(1.0, factor * ESTIMATE_FACTOR_DECAY)
        mean_mb = self.mean_memory_mb[group]
        if mean_mb:
            self.mean_memory_mb[group] += (needed_mb - mean_mb) / MEMORY_AVERAGE_RESULTS
        else:
            self.mean_memory_mb[group] += needed_mb


class MemoryShare:
    """This gateway's share of memory, of one engine or of the fleet."""

    def __init__(self, grants: MemoryGrants, gateway_share: float):
        """`gateway_share`: of the fleet, 0 to 1."""
        self.grants = grants
        self.gateway_share = gateway_share

    def usable_mb(self, memory_mb: float) -> float:
        """Our share of so much memory, less what is set aside."""
        return USABLE_MEMORY_SHARE * memory_mb * self.gateway_share

    def has_room(self, query: Query, state: EngineState, granted_mb: float, memory_mb: float) -> bool:
        """Whether the query fits into our share of `memory_mb`, of which `granted_mb` is granted."""
        return granted_mb + self.grants.memory_use_mb(query, state) <= self.usable_mb(memory_mb)

    def would_overcommit(self, query: Query, state: EngineState) -> bool:
        """Whether the query would exceed our share of the engine's memory.

        The only query of ours on an engine never does; otherwise one larger than the share would never run.
        """
        if not state.reservations:
            return False
        return not self.has_room(query, state, state.in_flight.granted_mb, state.memory_mb)
