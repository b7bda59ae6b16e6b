"""Fits over sizes: known lines are recovered, intervals have their coverage, and invalid input is
rejected.
"""

import random
from math import isclose, log, log10

import pytest

from lichenquay.testbed.scale.fit import FitError, Model, fit, student_t

pytestmark = pytest.mark.together

SIZES = (5, 20, 50, 200, 800)


@pytest.mark.parametrize(
    ("model", "shape"),
    [
        (Model.LINEAR, lambda n: 3 + 0.25 * n),
        (Model.N_LOG_N, lambda n: 3 + 0.25 * n * log(n)),
        (Model.QUADRATIC, lambda n: 3 + 0.25 * n * n),
        (Model.LOG10, lambda n: 3 + 0.25 * log10(n)),
    ],
)
def test_exact_values_recover_the_coefficients(model, shape):
    """Without noise the interval shrinks to the slope, and predictions at unmeasured sizes are exact."""
    found = fit(SIZES, [shape(n) for n in SIZES], model)
    assert isclose(found.intercept, 3, rel_tol=1e-9)
    assert isclose(found.slope, 0.25, rel_tol=1e-9)
    assert isclose(found.low, found.high, abs_tol=1e-6)
    assert isclose(found.predict(4400).value, shape(4400), rel_tol=1e-9)
    assert found.r_squared > 1 - 1e-9


def test_constant_is_the_mean_with_an_interval_of_the_mean():
    """Values 1, 2, 3: mean 2, standard deviation 1, half width 4.303 / sqrt 3."""
    found = fit((1, 10, 100), (1.0, 2.0, 3.0), "constant")
    assert (found.intercept, found.slope, found.low, found.high) == (2.0, 0.0, 0.0, 0.0)
    assert isclose(found.intercept_high - found.intercept, 4.303 / 3**0.5, rel_tol=1e-3)
    assert isclose(found.predict(5000).high - 2, 4.303 * (4 / 3) ** 0.5, rel_tol=1e-3)


def test_a_reference_data_set():
    """Anscombe's first data set: slope 0.5001, standard error 0.1179, intercept 3.0001, r squared 0.6665."""
    x = (10, 8, 13, 9, 11, 14, 6, 4, 12, 7, 5)
    y = (8.04, 6.95, 7.58, 8.81, 8.33, 9.96, 7.24, 4.26, 10.84, 4.82, 5.68)
    found = fit(x, y, Model.LINEAR)
    assert isclose(found.slope, 0.5001, abs_tol=1e-4)
    assert isclose(found.intercept, 3.0001, abs_tol=1e-4)
    assert isclose(found.r_squared, 0.6665, abs_tol=1e-4)
    assert isclose(found.high - found.slope, 2.262 * 0.1179, abs_tol=1e-3)
    assert isclose(found.residual, 1.237, abs_tol=1e-3)


def test_intervals_have_their_nominal_coverage():
    """Over 600 seeded lines with normal noise, about 95% of slopes and of held-out values lie within."""
    rng, slopes, values = random.Random(7), 0, 0
    for _ in range(600):
        found = fit(SIZES, [1 + 0.01 * n + rng.gauss(0, 1) for n in SIZES], Model.LINEAR)
        slopes += found.low <= 0.01 <= found.high
        values += found.predict(400).holds(1 + 0.01 * 400 + rng.gauss(0, 1))
    assert 0.92 < slopes / 600 < 0.98
    assert 0.92 < values / 600 < 0.98


def test_a_prediction_interval_widens_away_from_the_measured_sizes():
    """A size beyond the largest one counts as extrapolated."""
    found = fit(SIZES, (1.1, 2.2, 4.9, 20.3, 79.8), Model.LINEAR)
    near, far = found.predict(200), found.predict(4400)
    assert far.high - far.low > near.high - near.low
    assert found.extrapolates(4400) and not found.extrapolates(800)


def test_student_t_between_and_beyond_the_table():
    """Reference values: 2.010 at 49 degrees of freedom, 1.962 at 1000."""
    assert student_t(1) == 12.706
    assert isclose(student_t(49), 2.010, abs_tol=2e-3)
    assert isclose(student_t(1000), 1.962, abs_tol=2e-3)
    assert all(student_t(d) >= student_t(d + 1) for d in range(1, 300))


@pytest.mark.parametrize(
    ("sizes", "values", "model"),
    [
        ((1, 2), (1.0, 2.0), Model.LINEAR),
        ((5, 5, 5), (1.0, 2.0, 3.0), Model.LINEAR),
        ((1, 2, 3), (1.0, 2.0), Model.LINEAR),
        ((1, 2, 3), (1.0, float("nan"), 2.0), Model.LINEAR),
        ((0, 1, 2), (1.0, 2.0, 3.0), Model.LOG10),
        ((1,), (1.0,), Model.CONSTANT),
    ],
)
def test_input_that_cannot_be_fitted_is_rejected(sizes, values, model):
    """Too few points, one size only, different lengths, a NaN, a logarithm of zero."""
    with pytest.raises(FitError):
        fit(sizes, values, model)


def test_an_unknown_model_is_rejected():
    """The name is not one of the models."""
    with pytest.raises(ValueError):
        fit(SIZES, SIZES, "cubic")
