"""Table affinity: the engines that every gateway prefers for a set of tables, by hash.

Readers of the same tables are sent to the same engines, whose caches stay warm for them; bulk loads of these
tables go to other engines, where they delay no reader.
"""

from collections.abc import Callable
from dataclasses import dataclass
from zlib import crc32

from lichenquay.admission.engine_registry import EngineRegistry
from lichenquay.admission.engine_state import EngineState

ENGINES_PER_ROLE = 2  # number of preferred engines for readers, and for bulk loads
MAX_TABLE_GROUPS = 4096  # limit on table groups whose preferred engines are cached
MAX_CACHED_LENGTH = 32  # of a table group, in characters; clients may name longer ones
# Weights are multiplied by the number of engines over this divisor. Whatever their number, the preferred
# engines then get about a third of the draws.
PREFERRED_SHARE_DIVISOR = 5


def affinity_key(table_group: str) -> Callable[[EngineState], int]:
    """Returns the key by which all gateways rank engines for a table group."""
    return lambda state: crc32(f"{table_group}:{state.engine.id}".encode())


@dataclass(frozen=True, slots=True)
class PreferredEngines:
    """The engines preferred for one table group."""

    readers: list[EngineState]
    bulk_loads: list[EngineState]

    def contains(self, state: EngineState) -> bool:
        """Returns whether the engine is preferred for readers or for bulk loads."""
        return state in self.readers or state in self.bulk_loads


class TableAffinity:
    """The preferred engines of each table group, updated as engines join and leave."""

    def __init__(self, registry: EngineRegistry):
        """Starts with no table group."""
        self.registry = registry
        self.preferred: dict[str, PreferredEngines] = {}

    def preferred_engines(self, table_group: str) -> PreferredEngines:
        """Returns the first engines of the group's ranking for readers, and the last for bulk loads."""
        preferred = self.preferred.get(table_group)
        if preferred is not None:
            return preferred
        ranked = sorted(self.registry.states.values(), key=affinity_key(table_group))
        preferred = PreferredEngines(ranked[:ENGINES_PER_ROLE], ranked[-ENGINES_PER_ROLE:])
        if len(table_group) <= MAX_CACHED_LENGTH:
            if len(self.preferred) >= MAX_TABLE_GROUPS:
                self.preferred.clear()
            self.preferred[table_group] = preferred
        return preferred

    def raise_weights(
        self, table_group: str, is_bulk_load: bool, states: list[EngineState], weights: list[float]
    ) -> None:
        """Multiplies the weights of the preferred engines among `states`, in place."""
        preferred = self.preferred_engines(table_group)
        for state in preferred.bulk_loads if is_bulk_load else preferred.readers:
            if state in states:
                weights[states.index(state)] *= max(1.0, len(states) / PREFERRED_SHARE_DIVISOR)

    def add_engine(self, state: EngineState) -> None:
        """Adds a joined engine to each cached ranking, without ranking all engines again."""
        for table_group, preferred in self.preferred.items():
            key = affinity_key(table_group)
            self.preferred[table_group] = PreferredEngines(
                sorted([*preferred.readers, state], key=key)[:ENGINES_PER_ROLE],
                sorted([*preferred.bulk_loads, state], key=key)[-ENGINES_PER_ROLE:],
            )

    def remove_engine(self, state: EngineState) -> None:
        """Discards the cached rankings that hold an engine that left."""
        affected = [group for group, preferred in self.preferred.items() if preferred.contains(state)]
        for table_group in affected:
            del self.preferred[table_group]
