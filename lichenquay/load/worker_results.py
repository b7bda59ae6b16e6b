"""The measurements of a worker process, and its result files OUTPUT.parquet and OUTPUT.json."""

import json
import os
import resource
from dataclasses import dataclass

from hdrh.histogram import HdrHistogram
from pyarrow import parquet

from lichenquay.load.client_query import ClientQuery, table_of_queries

MIN_RECORDED_US = 1
MAX_RECORDED_US = 120_000_000
SIGNIFICANT_DIGITS = 3
ALL_GROUPS = "all"


def new_histogram() -> HdrHistogram:
    """Returns an empty histogram of microseconds."""
    return HdrHistogram(MIN_RECORDED_US, MAX_RECORDED_US, SIGNIFICANT_DIGITS)


class LatencyRecorder:
    """Histograms of the latency, overall and by group, and of the generator's own lag."""

    def __init__(self, groups):
        """Initializes empty histograms for the given group names."""
        self.latency = {group: new_histogram() for group in (ALL_GROUPS, *groups)}
        self.lag = new_histogram()

    def record_latency(self, group, latency_ms):
        """Records the time from the intended send time of a query to its answer."""
        latency_us = max(MIN_RECORDED_US, min(MAX_RECORDED_US, int(latency_ms * 1000)))
        self.latency[ALL_GROUPS].record_value(latency_us)
        self.latency[group].record_value(latency_us)

    def record_lag(self, lag_ms):
        """Records the time from the intended send time of a query until the generator handled it."""
        self.lag.record_value(max(MIN_RECORDED_US, int(lag_ms * 1000)))


@dataclass(frozen=True)
class WorkerCounters:
    """The counters of a worker at its end."""

    unknown_answers: int
    notices: int
    failed_connects: int
    lost_connections: int
    cpu_s: float
    run_seconds: float


def write_table(output_path: str, queries: list[ClientQuery]) -> None:
    """Writes the table of queries atomically."""
    table_path = output_path + ".parquet"
    parquet.write_table(table_of_queries(queries), table_path + ".part")
    os.replace(table_path + ".part", table_path)


def write_facts(output_path: str, recorder: LatencyRecorder, counters: WorkerCounters) -> None:
    """Writes the counters and histograms atomically."""
    stored = {
        "strange": counters.unknown_answers,
        "told": counters.notices,
        "refused": counters.failed_connects,
        "lost_lines": counters.lost_connections,
        "cpu_s": counters.cpu_s,
        "seconds": counters.run_seconds,
        "lag": recorder.lag.encode().decode(),
        "memory_mb": resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024,
        "latency": {group: histogram.encode().decode() for group, histogram in recorder.latency.items()},
    }
    facts_path = output_path + ".json"
    with open(facts_path + ".part", "w", encoding="utf-8") as file:
        json.dump(stored, file)
    os.replace(facts_path + ".part", facts_path)
