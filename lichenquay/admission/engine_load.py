"""Engine load: what engines report of it, and what this gateway's own attempts add."""

from collections.abc import Sequence

from lichenquay.admission.domain import Query
from lichenquay.admission.engine_fleet import EngineFleet
from lichenquay.admission.engine_state import EngineState
from lichenquay.admission.load_report import LoadReport

THREADS_PER_CORE = 2.0  # the design's starting limit of threads on an engine
FULL_UTILISATION = 0.95  # an engine that reports more is full
THREADS_AVERAGE_QUERIES = 100  # queries over which the mean number of threads is averaged


def own_load(state: EngineState) -> float:
    """Load of this gateway's attempts on an engine, in threads a core.

    Granted memory counts like the threads that it serves: a query may hold much memory with one thread.
    """
    in_flight = state.in_flight
    threads = in_flight.threads + in_flight.interactive_threads
    return max(threads / state.cores, THREADS_PER_CORE * in_flight.granted_mb / state.memory_mb)


class EngineLoad:
    """Utilisation and load of engines by their reports; an engine without a fresh one counts as average."""

    def __init__(self, fleet: EngineFleet, report_lifetime_ms: float):
        """No report yet. `report_lifetime_ms`: for how long a report counts."""
        self.fleet = fleet
        self.report_lifetime_ms = report_lifetime_ms
        self.oldest_fresh_ms = 0.0  # reports older than this do not count
        self.mean_threads = 1.0  # of a query
        self.mean_utilisation = 0.0  # of engines with a fresh report
        self.mean_load = 0.0

    def record_query(self, query: Query) -> None:
        """A query was admitted: its threads enter the mean."""
        self.mean_threads += (query.group.threads - self.mean_threads) / THREADS_AVERAGE_QUERIES

    def record_report(self, state: EngineState, fields: dict[str, float] | None, now_ms: float) -> None:
        """An engine's load report arrived, by the fields of its columns; None or empty: there was none."""
        if not fields:
            return
        state.report = LoadReport.from_fields(fields)
        state.reported_ms = now_ms
        state.expire_weight()
        if state.engine in self.fleet.states:
            self.fleet.active[state] = True

    def _fresh_report(self, state: EngineState) -> LoadReport | None:
        return state.report if state.reported_ms >= self.oldest_fresh_ms else None

    def utilisation(self, state: EngineState) -> float | None:
        """Reported use of the engine, 1 where it is full; None without a fresh report.

        Where cores in use are not reported: the threads of its active queries, its disks, or a query that
        waits for memory, whichever gives the highest use.
        """
        report = self._fresh_report(state)
        if report is None or report.utilisation is not None:
            return report.utilisation if report is not None else None
        by_queries = report.active_queries * self.mean_threads / THREADS_PER_CORE / state.cores
        return max(by_queries, report.busy_disk_share, min(1.0, report.waiting_queries))

    def load(self, state: EngineState) -> float:
        """Reported load of the engine in threads a core, with its waiting queries and busy disks."""
        utilisation = self.utilisation(state)
        if utilisation is None:
            return self.mean_load
        report = state.report
        waiting = report.waiting_queries / state.cores
        busy_disks = report.busy_disk_share if report.utilisation is not None else 0.0
        return THREADS_PER_CORE * utilisation + busy_disks + waiting

    def is_full(self, state: EngineState) -> bool:
        """Whether the engine is full by its report; without a fresh one, whether engines are on average."""
        utilisation = self.utilisation(state)
        if utilisation is None:
            utilisation = self.mean_utilisation
        return utilisation >= FULL_UTILISATION

    def expire_reports(self, now_ms: float) -> None:
        """Reports that are too old count no more."""
        self.oldest_fresh_ms = now_ms - self.report_lifetime_ms

    def update_means(self, active: Sequence[EngineState]) -> None:
        """Averages over the engines with a fresh report; without any, the means stay."""
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
        """Share of the engines with a fresh report that are full; 0 without any."""
        utilisations = [self.utilisation(state) for state in states]
        is_full = [value >= FULL_UTILISATION for value in utilisations if value is not None]
        return sum(is_full) / len(is_full) if is_full else 0.0
