"""Least-squares fits of a cost over sizes, with confidence intervals of the slope and prediction intervals.

The fit is ordinary least squares of `values` on one regressor computed from the size (see `Model`); a size
may be measured repeatedly. Intervals are 95%, by Student's t distribution (Draper and Smith, Applied
Regression Analysis, chapter 1).
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import StrEnum
from math import log, log10, sqrt

import numpy as np

CONFIDENCE = 0.95

# Quantile 0.975 of Student's t distribution, by degrees of freedom; 0 stands for infinity.
STUDENT_T = {
    **dict(enumerate((12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228), start=1)),
    **dict(enumerate((2.201, 2.179, 2.160, 2.145, 2.131, 2.120, 2.110, 2.101, 2.093, 2.086), start=11)),
    **dict(enumerate((2.080, 2.074, 2.069, 2.064, 2.060, 2.056, 2.052, 2.048, 2.045, 2.042), start=21)),
    **{40: 2.021, 60: 2.000, 120: 1.980, 0: 1.960},
}


class FitError(ValueError):
    """Raised where the measurements can't be fitted: too few, of one size only, or not finite."""


class Model(StrEnum):
    """Names how a value depends on the size n: a, a + b n, a + b n log n (natural), a + b n^2, or a + b log10
    n.
    """

    CONSTANT = "constant"
    LINEAR = "linear"
    N_LOG_N = "n log n"
    QUADRATIC = "quadratic"
    LOG10 = "log10"


REGRESSORS: dict[Model, Callable[[float], float]] = {
    Model.CONSTANT: lambda n: 0.0,
    Model.LINEAR: float,
    Model.N_LOG_N: lambda n: n * log(n),
    Model.QUADRATIC: lambda n: float(n) * n,
    Model.LOG10: log10,
}


@dataclass(frozen=True)
class Prediction:
    """Holds a value at a size, with the 95% interval in which one further measurement there is expected."""

    value: float
    low: float
    high: float

    def holds(self, measured: float) -> bool:
        """Whether a measurement lies within the interval."""
        return self.low <= measured <= self.high


@dataclass(frozen=True)
class Fit:
    """Holds a fitted model. `low` and `high` bound the slope (95%); for a constant, slope and bounds are 0.

    `intercept_low` and `intercept_high` bound the intercept; `residual` is the standard deviation of one
    measurement about the model; `largest` is the largest measured size: beyond it, the model is extrapolated.
    """

    model: Model
    intercept: float
    slope: float
    low: float
    high: float
    intercept_low: float
    intercept_high: float
    residual: float
    r_squared: float
    points: int
    smallest: float
    largest: float
    regressor_mean: float
    regressor_spread: float

    def at(self, size: float) -> float:
        """Returns the model's value at a size."""
        return self.intercept + self.slope * REGRESSORS[self.model](size)

    def predict(self, size: float) -> Prediction:
        """Returns the value at a size, with the prediction interval of one further measurement."""
        value = self.at(size)
        deviation = REGRESSORS[self.model](size) - self.regressor_mean
        leverage = deviation * deviation / self.regressor_spread if self.regressor_spread else 0.0
        half_width = (
            student_t(self.points - parameters(self.model))
            * self.residual
            * sqrt(1 + 1 / self.points + leverage)
        )
        return Prediction(value, value - half_width, value + half_width)

    def extrapolates(self, size: float) -> bool:
        """Whether a size is beyond the largest measured one."""
        return size > self.largest


def parameters(model: Model) -> int:
    """Returns the number of coefficients of a model."""
    return 1 if model is Model.CONSTANT else 2


def student_t(degrees: int) -> float:
    """Returns the 0.975 quantile of Student's t; between tabled degrees, interpolates in 1 / degrees."""
    if degrees < 1:
        raise FitError("no degree of freedom is left: measure more sizes or repeat them")
    if degrees in STUDENT_T:
        return STUDENT_T[degrees]
    below = max(d for d in STUDENT_T if 0 < d < degrees)
    above = min((d for d in STUDENT_T if d > degrees), default=0)
    inverse_above = 1 / above if above else 0.0
    share = (1 / below - 1 / degrees) / (1 / below - inverse_above)
    return STUDENT_T[below] + share * (STUDENT_T[above] - STUDENT_T[below])


def fit(sizes: Sequence[float], values: Sequence[float], model: Model | str) -> Fit:
    """Fits the model to values measured at sizes (of the same length). Raises FitError."""
    model = Model(model)
    x, y = regressors(sizes, model), np.asarray(values, dtype=float)
    if x.shape != y.shape or not (np.isfinite(x).all() and np.isfinite(y).all()):
        raise FitError("sizes and values differ in number, or are not finite")
    degrees = len(y) - parameters(model)
    quantile = student_t(degrees)
    x_mean, y_mean = float(x.mean()), float(y.mean())
    spread = float(((x - x_mean) ** 2).sum())
    if model is not Model.CONSTANT and not spread:
        raise FitError("all measurements are of one size")
    slope = float(((x - x_mean) * (y - y_mean)).sum()) / spread if spread else 0.0
    intercept = y_mean - slope * x_mean
    residual_sum = float(((y - intercept - slope * x) ** 2).sum())
    total_sum = float(((y - y_mean) ** 2).sum())
    residual = sqrt(residual_sum / degrees)
    slope_half_width = quantile * residual / sqrt(spread) if spread else 0.0
    intercept_half_width = quantile * residual * sqrt(1 / len(y) + (x_mean**2 / spread if spread else 0.0))
    return Fit(
        model=model,
        intercept=intercept,
        slope=slope,
        low=slope - slope_half_width,
        high=slope + slope_half_width,
        intercept_low=intercept - intercept_half_width,
        intercept_high=intercept + intercept_half_width,
        residual=residual,
        r_squared=1 - residual_sum / total_sum if total_sum else 1.0,
        points=len(y),
        smallest=float(min(sizes)),
        largest=float(max(sizes)),
        regressor_mean=x_mean,
        regressor_spread=spread,
    )


def regressors(sizes: Sequence[float], model: Model) -> np.ndarray:
    """Returns the regressor of each size. Raises FitError where a size has none (a logarithm of zero)."""
    try:
        return np.array([REGRESSORS[model](size) for size in sizes], dtype=float)
    except ValueError:
        raise FitError(f"a size has no regressor under {model.value}") from None
