"""The engines on the endpoint list, with orders and sums that are updated incrementally.

No single change iterates over all engines: with tens of thousands of engines, such a pass at each event would
take more than one core.
"""

from bisect import bisect_left, insort
from operator import attrgetter
from zlib import crc32

from lichenquay.admission.domain import Engine
from lichenquay.admission.engine_state import EngineState

BY_JOIN_NUMBER = attrgetter("join_number")
BY_RANK = attrgetter("rank")


class EngineRegistry:
    """Engine states by engine and in this gateway's own order, and the sums of their cores and memory."""

    def __init__(self, seed: int):
        """Starts with no engine. `seed`: this gateway's, which determines its order of engines."""
        self.seed = seed
        self.states: dict[Engine, EngineState] = {}
        self.by_rank: list[EngineState] = []
        self.joined_count = 0  # number of engines that ever joined
        self.cores = 0.0
        self.memory_mb = 0.0
        self.constrained_cores = 0.0  # sum over engines that groups with placement constraints may use
        # Both are used as ordered sets. Engines that are warming up, draining, or removed but still in use:
        self.not_fully_usable: dict[EngineState, bool] = {}
        # Engines that this gateway has used or has a load report of:
        self.active: dict[EngineState, bool] = {}

    def add(self, state: EngineState) -> None:
        """Adds an engine that joined the endpoint list."""
        self.states[state.engine] = state
        state.rank = crc32(f"{self.seed}:{state.engine.id}".encode())
        self.joined_count += 1
        state.join_number = self.joined_count
        insort(self.by_rank, state, key=BY_RANK)
        self._add_to_sums(state, 1)

    def remove(self, state: EngineState) -> None:
        """Removes an engine that left the endpoint list and runs no attempt of this gateway."""
        del self.states[state.engine]
        del self.by_rank[self.by_rank.index(state, bisect_left(self.by_rank, state.rank, key=BY_RANK))]
        self._add_to_sums(state, -1)
        self.not_fully_usable.pop(state, None)
        self.active.pop(state, None)

    def representative(self) -> EngineState | None:
        """Returns the engine that joined first, which stands for all engines where slots are pooled.

        None if there is no engine.
        """
        return next(iter(self.states.values()), None)

    def active_in_join_order(self) -> list[EngineState]:
        """Returns the engines that this gateway has used or has a report of, oldest first."""
        return sorted(self.active, key=BY_JOIN_NUMBER)

    def _add_to_sums(self, state: EngineState, sign: int) -> None:
        self.cores += sign * state.cores
        self.memory_mb += sign * state.memory_mb
        self.constrained_cores += sign * state.cores * state.serves_constrained_group
