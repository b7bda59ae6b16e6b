"""Memory grants: the memory that an attempt is granted, learned from spills and reported costs."""

from collections.abc import Sequence

from lichenquay.admission.admission_slot import SlotKind
from lichenquay.admission.domain import EngineCapabilities, Query, ResourceGroup
from lichenquay.admission.engine_state import EngineState

MAX_ESTIMATE_FACTOR = 2.0
ESTIMATE_FACTOR_GROWTH = 1.03  # after a spill
ESTIMATE_FACTOR_DECAY = 0.997  # after a result without one
MEMORY_AVERAGE_RESULTS = 20  # number of results over which a group's mean memory is averaged
MINIMUM_GRANT_DIVISOR = 4  # a minimum slot grants 1/4 of the full grant
USABLE_MEMORY_SHARE = 0.9  # share of this gateway's memory share; the rest is a reserve


class MemoryGrants:
    """Computes grants from estimates, corrected for each group by the memory that its queries needed."""

    def __init__(
        self,
        capabilities: EngineCapabilities,
        groups: Sequence[ResourceGroup],
        interactive: frozenset[ResourceGroup],
    ):
        """Starts without correction: all estimates count as accurate."""
        self.honours_grants = capabilities.honours_memory_grants
        self.max_grant_share = capabilities.max_grant_share
        self.interactive = interactive
        self.estimate_factor = dict.fromkeys(groups, 1.0)
        # Mean memory needed by a query, where engines report it:
        self.mean_memory_mb = dict.fromkeys(groups, 0.0)

    def full_grant_mb(self, query: Query, state: EngineState) -> float:
        """Returns the grant of a maximum slot on the engine; 0: the engine chooses.

        A query without an estimate gets its group's mean. No grant exceeds the largest that engines accept.
        """
        if not self.honours_grants or query.group in self.interactive:
            return 0.0
        needed_mb = query.estimated_memory_mb * self.estimate_factor[query.group]
        needed_mb = needed_mb or self.mean_memory_mb[query.group]
        return min(needed_mb, self.max_grant_share * state.engine.memory_mb)

    def grant_mb(self, query: Query, state: EngineState, kind: SlotKind) -> float:
        """Returns the grant of a slot of the given kind on the engine; 0: the engine chooses."""
        grant_mb = self.full_grant_mb(query, state)
        return grant_mb / MINIMUM_GRANT_DIVISOR if kind is SlotKind.MINIMUM else grant_mb

    def memory_use_mb(self, query: Query, state: EngineState) -> float:
        """Returns the memory charged for the query on the engine: its full grant, else its estimate."""
        return self.full_grant_mb(query, state) or query.estimated_memory_mb

    def record_memory_need(self, group: ResourceGroup, exceeded_grant: bool, needed_mb: float) -> None:
        """Records the memory that a query of the group needed.

        `exceeded_grant`: it needed more than it was granted. The factor on estimates rises with each such
        result and falls slowly otherwise, because a spill costs far more than idle memory.
        """
        factor = self.estimate_factor[group]
        if exceeded_grant:
            self.estimate_factor[group] = min(MAX_ESTIMATE_FACTOR, factor * ESTIMATE_FACTOR_GROWTH)
        else:
            self.estimate_factor[group] = max(1.0, factor * ESTIMATE_FACTOR_DECAY)
        mean_mb = self.mean_memory_mb[group]
        if mean_mb:
            self.mean_memory_mb[group] += (needed_mb - mean_mb) / MEMORY_AVERAGE_RESULTS
        else:
            self.mean_memory_mb[group] += needed_mb


class MemoryShare:
    """This gateway's share of the memory of one engine or of all engines."""

    def __init__(self, grants: MemoryGrants, gateway_share: float):
        """Takes `gateway_share`: this gateway's share of all engines, 0 to 1."""
        self.grants = grants
        self.gateway_share = gateway_share

    def usable_mb(self, memory_mb: float) -> float:
        """Returns this gateway's share of `memory_mb`, less the reserve."""
        return USABLE_MEMORY_SHARE * memory_mb * self.gateway_share

    def has_room(self, query: Query, state: EngineState, granted_mb: float, memory_mb: float) -> bool:
        """Returns whether the query fits into this gateway's share of `memory_mb` besides `granted_mb`."""
        return granted_mb + self.grants.memory_use_mb(query, state) <= self.usable_mb(memory_mb)

    def would_overcommit(self, query: Query, state: EngineState) -> bool:
        """Returns whether the query would exceed this gateway's share of the engine's memory.

        The gateway's only query on an engine never does; otherwise a query larger than the share would never
        run.
        """
        if not state.reservations:
            return False
        return not self.has_room(query, state, state.in_flight.granted_mb, state.memory_mb)
