"""Compares the metrics of two sets of runs, with bootstrap intervals of their differences."""

import json
from dataclasses import dataclass
from functools import cached_property
from pathlib import Path
from typing import NamedTuple

import numpy as np
from pyarrow import parquet

from lichenquay.gateway.frames import AnswerCode
from lichenquay.load.errors import ComparisonError

RESAMPLE_COUNT = 2000
RESAMPLING_BLOCK_MS = 500.0
INTERVAL_PERCENTILES = (2.5, 97.5)
NOT_ANSWERED_MS = 1e9  # the latency of a query without an answer, so that percentiles stay finite
METRICS = ("finished share", "in time share", "p50 ms", "p90 ms", "p99 ms")

QUERIES_FILE = "queries.parquet"
TARGETS_FILE = "targets.json"
COLUMNS = ("at_ms", "answered_ms", "code", "left", "group")


class MetricComparison(NamedTuple):
    """A metric of two sets of runs, with the 95% bootstrap interval of the difference."""

    metric: str
    first: float
    second: float
    difference: float  # second - first
    low: float
    high: float


@dataclass(frozen=True)
class QuerySample:
    """Parallel arrays of the outcomes of queries; the latency of a query without an answer is infinite."""

    latency_ms: np.ndarray
    finished: np.ndarray
    in_time: np.ndarray

    def rows(self, indices):
        """Returns the queries at the given indices."""
        return QuerySample(self.latency_ms[indices], self.finished[indices], self.in_time[indices])

    @classmethod
    def join(cls, samples):
        """Returns a sample with the queries of all samples."""
        return cls(
            np.concatenate([sample.latency_ms for sample in samples]),
            np.concatenate([sample.finished for sample in samples]),
            np.concatenate([sample.in_time for sample in samples]),
        )

    def metrics(self):
        """Returns the values of `METRICS`, NaN if there are no queries."""
        if not len(self.latency_ms):
            return np.full(len(METRICS), np.nan)
        latency_ms = np.where(np.isfinite(self.latency_ms), self.latency_ms, NOT_ANSWERED_MS)
        percentiles = np.percentile(latency_ms, [50, 90, 99])
        return np.array([self.finished.mean(), self.in_time.mean(), *percentiles])


@dataclass(frozen=True)
class ComparedRun:
    """The queries of a run, with their intended send times in `at_ms`."""

    at_ms: np.ndarray
    queries: QuerySample

    @cached_property
    def blocks(self):
        """The indices of the queries in each time block that has queries."""
        block_numbers = (self.at_ms // RESAMPLING_BLOCK_MS).astype(int)
        blocks = [np.flatnonzero(block_numbers == number) for number in np.unique(block_numbers)]
        return blocks or [np.zeros(0, int)]


def read_runs(folder: str | Path) -> list[ComparedRun]:
    """Returns the run stored in a folder, or else those in its subfolders. Raises ComparisonError."""
    folder = Path(folder)
    paths = sorted(folder.glob(QUERIES_FILE)) or sorted(folder.glob(f"*/{QUERIES_FILE}"))
    if not paths:
        raise ComparisonError(f"{folder}: no runs; expected {QUERIES_FILE} there or in its subfolders")
    return [_read_run(path.parent) for path in paths]


def compare(
    first_runs: list[ComparedRun],
    second_runs: list[ComparedRun],
    seed: int = 1,
    resamples: int = RESAMPLE_COUNT,
) -> list[MetricComparison]:
    """Returns the comparison of each of `METRICS`."""
    random = np.random.default_rng(seed)
    differences = [
        _resample(second_runs, random).metrics() - _resample(first_runs, random).metrics()
        for _ in range(resamples)
    ]
    low, high = np.nanpercentile(np.array(differences), INTERVAL_PERCENTILES, axis=0)
    first = QuerySample.join([run.queries for run in first_runs]).metrics()
    second = QuerySample.join([run.queries for run in second_runs]).metrics()
    columns = (first, second, second - first, low, high)
    return [
        MetricComparison(metric, *(round(float(column[index]), 4) for column in columns))
        for index, metric in enumerate(METRICS)
    ]


def _read_run(folder):
    try:
        table = parquet.read_table(folder / QUERIES_FILE)
        targets_ms = json.loads((folder / TARGETS_FILE).read_text())
    except (OSError, ValueError) as error:
        raise ComparisonError(f"{folder}: cannot read the run: {error}") from None
    columns = {name: table.column(name).to_numpy(zero_copy_only=False) for name in COLUMNS}
    # A client that cancelled its query did not wait for the outcome.
    compared = ~columns["left"]
    is_answered = ~np.isnan(columns["answered_ms"])
    latency_ms = np.where(is_answered, columns["answered_ms"] - columns["at_ms"], np.inf)[compared]
    finished = (columns["code"] == AnswerCode.COMPLETED)[compared]
    target_ms = np.array([targets_ms.get(group, np.inf) for group in columns["group"]])[compared]
    in_time = finished & (latency_ms <= target_ms)
    return ComparedRun(columns["at_ms"][compared], QuerySample(latency_ms, finished, in_time))


def _resample(runs, random):
    """Draws runs with replacement, and time blocks in each: queries close in time are not independent."""
    samples = []
    for run_index in random.integers(0, len(runs), len(runs)):
        run = runs[run_index]
        for block_index in random.integers(0, len(run.blocks), len(run.blocks)):
            samples.append(run.queries.rows(run.blocks[block_index]))
    return QuerySample.join(samples)
