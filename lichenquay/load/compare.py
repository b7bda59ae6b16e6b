"""Two sets of runs side by side: means and bootstrap intervals of their difference; free of I/O but for reading runs."""

import json
from pathlib import Path

import numpy as np
from pyarrow import parquet

from lichenquay.load.errors import ComparisonError

DRAWS, BLOCK_MS = 2000, 500.0
METRICS = ("finished share", "in time share", "p50 ms", "p90 ms", "p99 ms")


def runs_in(folder):
    """The runs of a folder: itself, or its sub-folders."""
    folder = Path(folder)
    found = [
        p.parent for p in sorted(folder.glob("queries.parquet")) or sorted(folder.glob("*/queries.parquet"))
    ]
    if not found:
        raise ComparisonError(f"{folder}: no run is kept there (queries.parquet)")
    runs = []
    for path in found:
        try:
            table = parquet.read_table(path / "queries.parquet")
            targets = json.loads((path / "targets.json").read_text())
        except (OSError, ValueError) as why:
            raise ComparisonError(f"{path}: cannot be read: {why}") from None
        c = {
            n: table.column(n).to_numpy(zero_copy_only=False)
            for n in ("at_ms", "answered_ms", "code", "left", "group")
        }
        stays = ~c["left"]
        took = np.where(np.isnan(c["answered_ms"]), np.inf, c["answered_ms"] - c["at_ms"])[stays]
        done = (c["code"] == 0)[stays]
        target = np.array([targets.get(g, np.inf) for g in c["group"]])[stays]
        runs.append(
            {"at_ms": c["at_ms"][stays], "took": took, "done": done, "timely": done & (took <= target)}
        )
    return runs


def metrics_of(took, done, timely):
    if not len(took):
        return np.full(len(METRICS), np.nan)
    answered = np.where(np.isfinite(took), took, 1e9)
    return np.array([done.mean(), timely.mean(), *np.percentile(answered, [50, 90, 99])])


def resample(runs, chance):
    """Runs drawn anew, and half-second blocks within each: queries near each other in time fare alike."""
    took, done, timely = [], [], []
    for i in chance.integers(0, len(runs), len(runs)):
        run = runs[i]
        blocks = run["blocks"]
        for j in chance.integers(0, len(blocks), len(blocks)):
            rows = blocks[j]
            took.append(run["took"][rows])
            done.append(run["done"][rows])
            timely.append(run["timely"][rows])
    return metrics_of(*(np.concatenate(x) for x in (took, done, timely)))


def with_blocks(runs):
    for run in runs:
        which = (run["at_ms"] // BLOCK_MS).astype(int)
        run["blocks"] = [np.flatnonzero(which == b) for b in np.unique(which)] or [np.zeros(0, int)]
    return runs


def compare(a, b, seed=1, draws=DRAWS):
    """[(metric, a, b, b - a, low, high)]: the interval holds 95 of 100 draws of the difference."""
    a, b, chance = with_blocks(a), with_blocks(b), np.random.default_rng(seed)

    def whole(runs):
        return metrics_of(*(np.concatenate([r[n] for r in runs]) for n in ("took", "done", "timely")))

    drawn = np.array([resample(b, chance) - resample(a, chance) for _ in range(draws)])
    low, high = np.nanpercentile(drawn, [2.5, 97.5], axis=0)
    mean_a, mean_b = whole(a), whole(b)
    return [
        (m, *(round(float(v), 4) for v in (x, y, y - x, lo, hi)))
        for m, x, y, lo, hi in zip(METRICS, mean_a, mean_b, low, high)
    ]
