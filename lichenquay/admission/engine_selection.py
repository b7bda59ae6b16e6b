"""Engine selection: a weighted random draw of engines without replacement.

Random choice by weight keeps gateways with the same reports from all choosing the same engine.
"""

from collections.abc import Iterator

from lichenquay.admission.constrained_groups import ConstrainedGroups
from lichenquay.admission.domain import Query
from lichenquay.admission.engine_load import EngineLoad, own_load
from lichenquay.admission.engine_registry import EngineRegistry
from lichenquay.admission.engine_state import EngineState
from lichenquay.admission.engine_subset import EngineSubset
from lichenquay.admission.hash_random import HashRandom
from lichenquay.admission.outlier_detection import OutlierDetection
from lichenquay.admission.slow_start import SlowStart
from lichenquay.admission.table_affinity import TableAffinity

OWN_ZONE_FACTOR = 2.0  # a query to another zone incurs the cost of the link, and fails if the link does
IDLE_LOAD = 0.3  # threads per core added to the load; bounds the weight of an idle engine
LOAD_EXPONENT = 3


def _index_at(weights: list[float], position: float) -> int:
    """Returns the index of the weight in which a position from 0 to the sum of weights falls.

    Returns the last index if rounding puts the position beyond the sum.
    """
    for index, weight in enumerate(weights):
        position -= weight
        if position < 0:
            return index
    return len(weights) - 1


class EngineSelection:
    """Draws engines for a query, weighted by load, speed relative to peers, warm-up and zone."""

    def __init__(
        self,
        zone: str,
        random: HashRandom,
        weight_lifetime_ms: float,
        registry: EngineRegistry,
        slow_start: SlowStart,
        engine_load: EngineLoad,
        outliers: OutlierDetection,
        subset: EngineSubset,
        constrained_groups: ConstrainedGroups,
        table_affinity: TableAffinity,
    ):
        """Takes this gateway's `zone`, and `weight_lifetime_ms`: how long a computed weight is used."""
        self.zone = zone
        self.random = random
        self.weight_lifetime_ms = weight_lifetime_ms
        self.registry = registry
        self.slow_start = slow_start
        self.engine_load = engine_load
        self.outliers = outliers
        self.subset = subset
        self.constrained_groups = constrained_groups
        self.table_affinity = table_affinity

    def update_weight(self, state: EngineState, now_ms: float) -> float:
        """Computes, stores and returns the engine's weight in the draw.

        Weights are kept until the engine is used or reports, or until they expire: recomputing all weights
        for each query costs more than it gains.
        """
        warm_share = self.slow_start.warm_share(state.engine, now_ms)
        load = (self.engine_load.load(state) + own_load(state)) / warm_share
        weight = warm_share / (IDLE_LOAD + load) ** LOAD_EXPONENT
        if state.engine.zone == self.zone:
            weight *= OWN_ZONE_FACTOR
        weight *= self.outliers.slowdown_weight(state)
        state.weight = weight
        state.weight_expires_ms = now_ms + self.weight_lifetime_ms
        return weight

    def draw(self, query: Query, now_ms: float) -> Iterator[EngineState]:
        """Yields all engines, each drawn by weight from the remaining engines of its list.

        The lists are this gateway's subset and then the other engines. For a group without placement
        constraint, the engines that constrained groups may use can come last (see
        `ConstrainedGroups.draw_avoidance`).
        """
        first = self.subset.first_choice()
        if self.constrained_groups.draw_avoidance(query):
            yield from self._draw_from([s for s in first if not s.serves_constrained_group], query, now_ms)
            tried = set(first)
            states = self.registry.states.values()
            others = [s for s in states if not s.serves_constrained_group and s not in tried]
            yield from self._draw_from(others, query, now_ms)
            yield from self._draw_from([s for s in states if s.serves_constrained_group], query, now_ms)
        else:
            yield from self._draw_from(list(first), query, now_ms)
            tried = set(first)
            others = [s for s in self.registry.states.values() if s not in tried]
            yield from self._draw_from(others, query, now_ms)

    def _draw_from(self, states: list[EngineState], query: Query, now_ms: float) -> Iterator[EngineState]:
        """Yields the engines of a list, each drawn by weight from the remaining ones; empties the list."""
        weights = [
            state.weight if state.weight_expires_ms > now_ms else self.update_weight(state, now_ms)
            for state in states
        ]
        if query.table_group:
            is_bulk_load = query.group.is_bulk_load
            self.table_affinity.raise_weights(query.table_group, is_bulk_load, states, weights)
        draw = self.random.draw
        total = sum(weights)
        while states:
            index = _index_at(weights, draw() * total)
            yield states.pop(index)
            total -= weights.pop(index)
