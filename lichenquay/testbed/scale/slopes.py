"""Fits each role's cost over the number of gateways, and predicts the held-out size."""

from dataclasses import dataclass

from lichenquay.testbed.scale.fit import Fit, FitError, Model, fit
from lichenquay.testbed.scale.roles import COST_DIGITS, Role, RoleCost

FITTED_ROLES = (Role.GATEWAY, Role.RELAY, Role.PUBLISHER)


@dataclass(frozen=True)
class SizeSample:
    """Holds one window of measurement at one number of gateways."""

    fronts: int
    costs: dict[Role, RoleCost]


@dataclass(frozen=True)
class PredictionOutcome:
    """Holds a prediction and the later measurement of one metric at the held-out size."""

    value: float
    low: float
    high: float
    measured: float | None = None

    @property
    def holds(self) -> bool | None:
        """Whether the measurement lies within the interval."""
        return None if self.measured is None else self.low <= self.measured <= self.high


def metric_of(role: Role, cost: str) -> str:
    """Returns the name of a metric, which sums over all members of the role."""
    return f"{role.value}_{cost}_total"


def values_of(sample: SizeSample) -> dict[str, float]:
    """Returns every metric of a sample."""
    values = {}
    for role in FITTED_ROLES:
        if role in sample.costs:
            for cost in COST_DIGITS:
                values[metric_of(role, cost)] = getattr(sample.costs[role], cost)
    return values


def fits_of(samples: list[SizeSample]) -> dict[str, Fit]:
    """Returns a linear fit over the sizes for each metric that every sample has."""
    measured = [values_of(sample) for sample in samples]
    shared = [name for name in measured[0] if all(name in values for values in measured)] if measured else []
    fits = {}
    for name in shared:
        try:
            fits[name] = fit([s.fronts for s in samples], [values[name] for values in measured], Model.LINEAR)
        except FitError:  # Too few sizes for a fit of this metric.
            continue
    return fits


def predictions_of(fits: dict[str, Fit], gateways: int) -> dict[str, PredictionOutcome]:
    """Returns the prediction of each metric at a size."""
    outcomes = {}
    for name, fitted in fits.items():
        prediction = fitted.predict(gateways)
        outcomes[name] = PredictionOutcome(prediction.value, prediction.low, prediction.high)
    return outcomes


def outcomes_of(
    predictions: dict[str, PredictionOutcome], samples: list[SizeSample]
) -> dict[str, PredictionOutcome]:
    """Returns the predictions with the mean of the measurements."""
    measured = [values_of(sample) for sample in samples]
    outcomes = {}
    for name, prediction in predictions.items():
        values = [metrics[name] for metrics in measured if name in metrics]
        mean = sum(values) / len(values) if values else None
        outcomes[name] = PredictionOutcome(prediction.value, prediction.low, prediction.high, mean)
    return outcomes
