"""Runs the probes, fits slopes, predicts the largest size before it is measured, ranks needs by their
budgets.
"""

import time
from collections.abc import Sequence
from dataclasses import asdict, dataclass

from lichenquay.testbed.scale.catalogue import CapacityProbe
from lichenquay.testbed.scale.fit import Fit, FitError, Model, Prediction, fit
from lichenquay.testbed.scale.rows import MEASURED, NONE_TODAY, NOT_IMPLEMENTED, Row
from lichenquay.testbed.scale.sample import Progress, Sample


@dataclass(frozen=True)
class HeldOut:
    """Holds what the smaller sizes predict for the largest size, and what was then measured there."""

    size: int
    predicted: Prediction | None
    measured: tuple[float, ...]

    @property
    def within(self) -> bool | None:
        """Whether the mean of the measurements lies in the prediction interval; None where either
        is missing.
        """
        if self.predicted is None or not self.measured:
            return None
        return self.predicted.holds(sum(self.measured) / len(self.measured))


@dataclass(frozen=True)
class Slope:
    """Holds one quantity: its samples at all sizes, the fit of all of them, and the check of the held-out
    size.
    """

    quantity: str
    unit: str
    size_of: str
    samples: tuple[Sample, ...]
    fit: Fit | None
    held_out: HeldOut


@dataclass(frozen=True)
class Ranked:
    """Holds a row with its need at the planned size and the 95% bounds of that need."""

    row: Row
    need: float | None
    low: float | None
    high: float | None

    @property
    def ratio(self) -> float | None:
        """Returns need divided by budget; None where either is missing."""
        return self.need / self.row.budget if self.need is not None and self.row.budget else None


@dataclass(frozen=True)
class Capacity:
    """Holds the results of one run."""

    full: bool
    seed: int
    processor_s: float
    slopes: dict[str, Slope]
    ranked: tuple[Ranked, ...]


def run(full: bool, seed: int, progress: Progress, probes: Sequence[CapacityProbe]) -> Capacity:
    """Runs the probes, the largest size of each last, and ranks the rows."""
    started_s, slopes = time.process_time(), {}
    probes = [probe for probe in probes if probe.sizes(full)]
    for done, probe in enumerate(probes):
        slopes |= run_probe(probe, full, seed, lambda part, d=done: progress((d + part) / len(probes)))
    ranked = tuple(sorted((rank(row, slopes) for row in (*NOT_IMPLEMENTED, *MEASURED)), key=sort_key))
    return Capacity(full, seed, time.process_time() - started_s, slopes, ranked)


def run_probe(probe: CapacityProbe, full: bool, seed: int, progress: Progress) -> dict[str, Slope]:
    """Measures the smaller sizes, fits them, and only then measures the largest size."""
    *smaller, largest = probe.sizes(full)
    first = probe.measure(smaller, seed, lambda part: progress(part / 2))
    predicted = {
        quantity: predict_largest(first, quantity, model, largest) for quantity, model in probe.models.items()
    }
    last = probe.measure([largest], seed, lambda part: progress((1 + part) / 2))
    slopes = {}
    for quantity, model in probe.models.items():
        samples = tuple(s for s in (*first, *last) if s.quantity == quantity)
        measured = tuple(v for s in last if s.quantity == quantity for v in s.values)
        held_out = HeldOut(largest, predicted[quantity], measured)
        slopes[quantity] = Slope(
            quantity, samples[0].unit, probe.size_of, samples, fitted(samples, model), held_out
        )
    return slopes


def fitted(samples: Sequence[Sample], model: Model) -> Fit | None:
    """Returns the fit of all values of these samples; None where they are too few for it."""
    points = [(sample.size, value) for sample in samples for value in sample.values]
    try:
        return fit([size for size, _ in points], [value for _, value in points], model)
    except FitError:
        return None


def predict_largest(samples: Sequence[Sample], quantity: str, model: Model, size: int) -> Prediction | None:
    """Returns the prediction for a larger size from the samples of one quantity."""
    found = fitted([s for s in samples if s.quantity == quantity], model)
    return found and found.predict(size)


def rank(row: Row, slopes: dict[str, Slope]) -> Ranked:
    """Returns the row with its need by the fits, and by the low and high ends of their prediction
    intervals.
    """
    if row.need is None:
        return Ranked(row, None, None, None)

    def need_at_bound(end: str) -> float | None:
        def quantity_at(quantity: str, size: float) -> float:
            found = slopes[quantity].fit
            if found is None:
                raise FitError(quantity)
            return max(0.0, getattr(found.predict(size), end))

        try:
            return row.need(quantity_at)
        except (KeyError, FitError):
            return None

    return Ranked(row, need_at_bound("value"), need_at_bound("low"), need_at_bound("high"))


def sort_key(ranked: Ranked) -> tuple[bool, bool, float]:
    """Orders rows without a mechanism first, then by need over budget, rows without a budget last."""
    return ranked.row.mechanism != NONE_TODAY, ranked.ratio is None, -(ranked.ratio or 0.0)


def as_json(capacity: Capacity) -> dict:
    """Returns the whole run as plain values."""
    return {
        "form": "full" if capacity.full else "short",
        "seed": capacity.seed,
        "processor_s": capacity.processor_s,
        "rows": [row_json(ranked, capacity.slopes) for ranked in capacity.ranked],
        "slopes": [slope_json(slope) for slope in capacity.slopes.values()],
    }


def row_json(ranked: Ranked, slopes: dict[str, Slope]) -> dict:
    """Returns one row of the table as plain values."""
    row, slope = ranked.row, slopes.get(ranked.row.quantity or "")
    extrapolated = bool(slope and slope.fit and row.size and slope.fit.extrapolates(row.size))
    return {
        "role": row.role,
        "title": row.title,
        "quantity": row.quantity,
        "at_size": row.size,
        "extrapolated": extrapolated,
        "largest_run": slope.fit.largest if slope and slope.fit else None,
        "need": ranked.need,
        "need_low": ranked.low,
        "need_high": ranked.high,
        "unit": row.unit,
        "budget": row.budget,
        "ratio": ranked.ratio,
        "mechanism": row.mechanism,
    }


def slope_json(slope: Slope) -> dict:
    """Returns one quantity with its samples and fit as plain values."""
    held_out = slope.held_out
    return {
        "what": slope.quantity,
        "unit": slope.unit,
        "size_of": slope.size_of,
        "sizes": sorted({s.size for s in slope.samples}),
        "fit": asdict(slope.fit) if slope.fit else None,
        "held_out": {
            "size": held_out.size,
            "predicted": asdict(held_out.predicted) if held_out.predicted else None,
            "measured": held_out.measured,
            "within": held_out.within,
        },
        "samples": [{"size": s.size, "values": s.values} for s in slope.samples],
    }
