"""Engine load: the load that engines report, and the load of this gateway's own attempts."""

from collections.abc import Sequence

from lichenquay.admission.domain import Query
from lichenquay.admission.engine_registry import EngineRegistry
from lichenquay.admission.engine_state import EngineState
from lichenquay.admission.load_report import LoadReport

THREADS_PER_CORE = 2.0  # initial limit of the design on the threads of an engine
FULL_UTILISATION = 0.95  # an engine that reports this or more is full
THREADS_AVERAGE_QUERIES = 100  # number of queries over which the mean thread count is averaged


def own_load(state: EngineState) -> float:
    """Returns the load of this gateway's attempts on an engine, in threads per core.

    Granted memory counts as the threads that it is meant for: a query may hold much memory with one thread.
    """
    in_flight = state.in_flight
    threads = in_flight.threads + in_flight.interactive_threads
    return max(threads / state.cores, THREADS_PER_CORE * in_flight.granted_mb / state.memory_mb)


class EngineLoad:
    """Reported utilisation and load of engines; an engine without a fresh report counts as average."""

    def __init__(self, registry: EngineRegistry, report_lifetime_ms: float):
        """Starts with no report. `report_lifetime_ms`: how long a report is valid."""
        self.registry = registry
        self.report_lifetime_ms = report_lifetime_ms
        self.oldest_fresh_ms = 0.0  # reports older than this are ignored
        self.mean_threads = 1.0  # of a query
        self.mean_utilisation = 0.0  # over engines with a fresh report
        self.mean_load = 0.0

    def record_query(self, query: Query) -> None:
        """Adds the threads of an admitted query to the mean."""
        self.mean_threads += (query.group.threads - self.mean_threads) / THREADS_AVERAGE_QUERIES

    def record_report(self, state: EngineState, fields: dict[str, float] | None, now_ms: float) -> None:
        """Stores an engine's load report, given as numbers by column.

        None or empty: the engine sent no report.
        """
        if not fields:
            return
        state.report = LoadReport.from_fields(fields)
        state.reported_ms = now_ms
        state.expire_weight()
        if state.engine in self.registry.states:
            self.registry.active[state] = True

    def _fresh_report(self, state: EngineState) -> LoadReport | None:
        return state.report if state.reported_ms >= self.oldest_fresh_ms else None

    def utilisation(self, state: EngineState) -> float | None:
        """Returns the reported utilisation of the engine, 1 where it is full; None without a fresh report.

        Where the cores in use are not reported, it is the highest of the threads of the active queries, the
        busy share of the disks, and whether a query waits for memory.
        """
        report = self._fresh_report(state)
        if report is None or report.utilisation is not None:
            return report.utilisation if report is not None else None
        by_queries = report.active_queries * self.mean_threads / THREADS_PER_CORE / state.cores
        return max(by_queries, report.busy_disk_share, min(1.0, report.waiting_queries))

    def load(self, state: EngineState) -> float:
        """Returns the reported load in threads per core, including waiting queries and busy disks."""
        utilisation = self.utilisation(state)
        if utilisation is None:
            return self.mean_load
        report = state.report
        waiting = report.waiting_queries / state.cores
        busy_disks = report.busy_disk_share if report.utilisation is not None else 0.0
        return THREADS_PER_CORE * utilisation + busy_disks + waiting

    def is_full(self, state: EngineState) -> bool:
        """Returns whether the engine is full by its report, or by the mean report if it has no fresh one."""
        utilisation = self.utilisation(state)
        if utilisation is None:
            utilisation = self.mean_utilisation
        return utilisation >= FULL_UTILISATION

    def expire_reports(self, now_ms: float) -> None:
        """Invalidates reports that are older than the report lifetime."""
        self.oldest_fresh_ms = now_ms - self.report_lifetime_ms

    def update_means(self, active: Sequence[EngineState]) -> None:
        """Recomputes the means over the engines with a fresh report; without any, the means stay."""
        utilisations = []
        loads = []
        for state in active:
            utilisation = self.utilisation(state)
            if utilisation is not None:
                utilisations.append(utilisation)
                loads.append(self.load(state))
        if utilisations:
            self.mean_utilisation = sum(utilisations) / len(utilisations)
            self.mean_load = sum(loads) / len(loads)

    def full_share(self, states: Sequence[EngineState]) -> float:
        """Returns the share of the engines with a fresh report that are full; 0 without any."""
        utilisations = [self.utilisation(state) for state in states]
        is_full = [value >= FULL_UTILISATION for value in utilisations if value is not None]
        return sum(is_full) / len(is_full) if is_full else 0.0
