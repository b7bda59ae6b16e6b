"""Reserves engines for resource groups with placement constraints while other engines have capacity.

Otherwise these engines fill with queries that could run elsewhere, and the constrained groups wait while
other engines are idle.
"""

from collections.abc import Sequence
from random import Random

from lichenquay.admission.domain import Engine, Query, ResourceGroup
from lichenquay.admission.engine_load import EngineLoad
from lichenquay.admission.engine_registry import EngineRegistry
from lichenquay.admission.engine_state import EngineState
from lichenquay.admission.placement import has_placement_constraint, satisfies_placement
from lichenquay.admission.query_size import expected_work_ms

WORK_AVERAGE_QUERIES = 100  # number of queries over which the mean work is averaged


class ConstrainedGroups:
    """The share of the constrained groups' engines that the other groups may use."""

    def __init__(self, groups: Sequence[ResourceGroup], seed: int):
        """Starts with no query seen; until then, all work counts as that of constrained groups."""
        self.groups = [group for group in groups if has_placement_constraint(group)]
        self.random = Random(seed).random  # independent of the weighted draw of engines
        self.mean_work_ms = 0.0  # of a query
        self.mean_constrained_work_ms = 0.0  # of a query; a query of another group counts as 0
        self.spare_share = 0.0  # probability that another group's query may use their engines

    def may_use(self, engine: Engine) -> bool:
        """Returns whether a constrained group may use the engine."""
        return any(satisfies_placement(group, engine) for group in self.groups)

    def record_query(self, query: Query) -> None:
        """Adds the work of an admitted query to the means."""
        work_ms = expected_work_ms(query)
        constrained_ms = work_ms * (query.group in self.groups)
        others = WORK_AVERAGE_QUERIES - 1
        self.mean_work_ms = (others * (self.mean_work_ms or work_ms) + work_ms) / WORK_AVERAGE_QUERIES
        self.mean_constrained_work_ms = (
            others * (self.mean_constrained_work_ms or work_ms) + constrained_ms
        ) / WORK_AVERAGE_QUERIES

    def draw_avoidance(self, query: Query) -> bool:
        """Draws whether this query is offered the constrained groups' engines last.

        Each call draws a new random number, except for queries of the constrained groups.
        """
        if not self.groups or query.group in self.groups:
            return False
        return self.random() >= self.spare_share

    def update_spare_share(
        self, registry: EngineRegistry, engine_load: EngineLoad, active: Sequence[EngineState]
    ) -> None:
        """Recomputes the spare share: what the constrained groups do not need of their engines.

        The part of the cores that these groups do not need is multiplied by itself, or by the share of the
        other engines that are full if that is larger: the fuller the other engines are, the more of the spare
        part is used.
        """
        work_ms = self.mean_work_ms * registry.constrained_cores or 1.0
        needed_share = self.mean_constrained_work_ms * registry.cores / work_ms
        other_engines = [state for state in active if not state.serves_constrained_group]
        full_share = engine_load.full_share(other_engines)
        self.spare_share = max(0.0, 1 - needed_share) * max(1 - needed_share, full_share)
