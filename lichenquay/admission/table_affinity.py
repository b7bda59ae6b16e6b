"""Table affinity: the engines that every gateway prefers for a set of tables, by hash.

Readers of the same tables meet on the same engines, whose caches stay warm for them; bulk loads of these
tables go to other engines, where they hold up no reader.
"""

from collections.abc import Callable
from dataclasses import dataclass
from zlib import crc32

from lichenquay.admission.engine_fleet import EngineFleet
from lichenquay.admission.engine_state import EngineState

ENGINES_PER_ROLE = 2  # preferred engines for readers, and as many for bulk loads
MAX_TABLE_GROUPS = 4096  # whose preferred engines are remembered
# Weights are multiplied by the number of engines over this: about a third of the draws, in any fleet.
PREFERRED_SHARE_DIVISOR = 5


def affinity_key(table_group: str) -> Callable[[EngineState], int]:
    """The key by which engines are ranked for a table group, the same at every gateway."""
    return lambda state: crc32(f"{table_group}:{state.engine.id}".encode())


@dataclass(frozen=True, slots=True)
class PreferredEngines:
    """The engines preferred for one table group."""

    readers: list[EngineState]
    bulk_loads: list[EngineState]

    def contains(self, state: EngineState) -> bool:
        """Whether the engine is one of them."""
        return state in self.readers or state in self.bulk_loads


class TableAffinity:
    """Preferred engines of each table group, kept as engines come and go."""

    def __init__(self, fleet: EngineFleet):
        """No table group yet."""
        self.fleet = fleet
        self.preferred: dict[str, PreferredEngines] = {}

    def preferred_engines(self, table_group: str) -> PreferredEngines:
        """The first engines of the group's ranking for readers, the last ones for bulk loads."""
        if table_group not in self.preferred:
            if len(self.preferred) >= MAX_TABLE_GROUPS:
                self.preferred.clear()
            ranked = sorted(self.fleet.states.values(), key=affinity_key(table_group))
            self.preferred[table_group] = PreferredEngines(
                ranked[:ENGINES_PER_ROLE], ranked[-ENGINES_PER_ROLE:]
            )
        return self.preferred[table_group]

    def raise_weights(
        self, table_group: str, is_bulk_load: bool, states: list[EngineState], weights: list[float]
    ) -> None:
        """Multiplies the weights of the preferred engines among `states`, in place."""
        preferred = self.preferred_engines(table_group)
        for state in preferred.bulk_loads if is_bulk_load else preferred.readers:
            if state in states:
                weights[states.index(state)] *= max(1.0, len(states) / PREFERRED_SHARE_DIVISOR)

    def add_engine(self, state: EngineState) -> None:
        """An engine joined: it takes its place in each ranking, without ranking all engines anew."""
        for table_group, preferred in self.preferred.items():
            key = affinity_key(table_group)
            self.preferred[table_group] = PreferredEngines(
                sorted([*preferred.readers, state], key=key)[:ENGINES_PER_ROLE],
                sorted([*preferred.bulk_loads, state], key=key)[-ENGINES_PER_ROLE:],
            )

    def remove_engine(self, state: EngineState) -> None:
        """An engine left: the table groups that preferred it are ranked anew when needed."""
        affected = [group for group, preferred in self.preferred.items() if preferred.contains(state)]
        for table_group in affected:
            del self.preferred[table_group]
