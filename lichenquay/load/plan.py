"""Draws the queries of a run and their send times before the run starts. Does no I/O.

Times are milliseconds from the start of the run.
"""

import numpy as np

from lichenquay.config import lichenquay_pb2 as pb

INTEGRATION_STEPS = 20_000  # in the numeric integral of the rate over the run
PLAN_STREAM = 2  # index of the plan's random stream among those of a seed

MEMORY_SIGMA = 0.3  # standard deviation of the logarithm of a query's memory

# The shapes below are in shares of the run.
STEP_START = 0.5
SURGE_CENTER = 0.45
SURGE_WIDTH = 0.17
BURST_PERIOD = 0.25
BURST_START = 0.1  # offset from the start of each period
BURST_END = 0.15

COLUMNS = {
    "at_ms": float,
    "group": str,
    "tenant": str,
    "address": np.int64,
    "work_ms": float,
    "memory_mb": float,
    "effort_ms": float,
    "claim_mb": float,
    "tables": np.int64,
    "leave_ms": float,
}


def rate_multiplier(load: pb.Load, run_share: np.ndarray) -> np.ndarray:
    """Returns the factors on the base rate at the given shares (an array, 0 to 1) of the run."""
    peak = load.peak or 1.0
    if load.shape == pb.Load.STEP:
        return np.where(run_share < STEP_START, 1.0, peak)
    if load.shape == pb.Load.SURGE:
        return 1 + (peak - 1) * np.exp(-(((run_share - SURGE_CENTER) / SURGE_WIDTH) ** 2))
    if load.shape == pb.Load.DAILY:
        return 1 + (peak - 1) * 0.5 * (1 - np.cos(2 * np.pi * run_share))
    if load.shape == pb.Load.BURST:
        within_period = run_share % BURST_PERIOD
        return np.where((within_period > BURST_START) & (within_period < BURST_END), peak, 1.0)
    return np.ones_like(run_share)


def arrival_times_ms(load: pb.Load, random: np.random.Generator) -> np.ndarray:
    """Draws the intended send times in ascending order.

    The integral of the rate is inverted at unit steps (constant arrivals) or exponential steps (Poisson
    arrivals).
    """
    run_share = np.linspace(0.0, 1.0, INTEGRATION_STEPS + 1)
    rate = load.rate * rate_multiplier(load, run_share)
    increments = (rate[1:] + rate[:-1]) / 2 * load.seconds / INTEGRATION_STEPS
    expected_count = np.concatenate(([0.0], np.cumsum(increments)))
    total = expected_count[-1]
    if load.arrivals == pb.Load.CONSTANT:
        arrivals = np.arange(0.5, total, 1.0)
    else:
        # Six standard deviations above the mean, so that the arrivals reach the end of the run.
        draw_count = int(total + 6 * np.sqrt(total) + 20)
        arrivals = np.cumsum(random.exponential(1.0, draw_count))
        arrivals = arrivals[arrivals < total]
    return np.interp(arrivals, expected_count, run_share) * load.seconds * 1000


def draw_indices(items, count: int, random: np.random.Generator) -> np.ndarray:
    """Draws `count` indices into `items`, each weighted by its `share`."""
    shares = np.array([item.share for item in items], float)
    return random.choice(len(items), count, p=shares / shares.sum())


def draw_tables(load: pb.Load, count: int, random: np.random.Generator) -> np.ndarray:
    """Draws `count` table numbers, from 1, by a Zipf distribution with exponent `load.skew`."""
    weights = np.arange(1, load.tables + 1, dtype=float) ** -load.skew
    return 1 + random.choice(load.tables, count, p=weights / weights.sum())


def draw_plan(testbed: pb.Lab, seed: int | None = None) -> dict[str, np.ndarray]:
    """Draws the queries of a run as columns (`COLUMNS`) with one entry per query.

    The testbed gives the load, the groups and the tenants; `seed` overrides its seed.
    """
    plan_seed = testbed.seed if seed is None else seed
    random = np.random.default_rng(np.random.SeedSequence([plan_seed, PLAN_STREAM]))
    at_ms = arrival_times_ms(testbed.load, random)
    groups = draw_indices(testbed.groups, len(at_ms), random)
    tenants = draw_indices(testbed.tenants, len(at_ms), random)
    given_columns = {
        "at_ms": at_ms,
        "group": np.array([group.name for group in testbed.groups])[groups],
        "tenant": np.array([tenant.name for tenant in testbed.tenants])[tenants],
    }
    return fill_missing_columns(testbed, random, given_columns)


def fill_missing_columns(
    testbed: pb.Lab, random: np.random.Generator, given_columns: dict[str, np.ndarray]
) -> dict[str, np.ndarray]:
    """Returns all columns: the given ones, and the missing ones drawn by the group of each query.

    Given columns are drawn too, so that the draws of the others do not depend on which columns are given.
    """
    load = testbed.load
    count = len(given_columns["at_ms"])
    index_by_name = {group.name: index for index, group in enumerate(testbed.groups)}
    group_index = np.array([index_by_name[name] for name in given_columns["group"]], int)

    def of_group(setting):
        return np.array([float(getattr(group, setting)) for group in testbed.groups])[group_index]

    work_sigma = of_group("work_sigma")
    estimate_sigma = of_group("estimate_sigma")
    work_ms = of_group("work_ms") * np.exp(work_sigma * random.standard_normal(count) - work_sigma**2 / 2)
    memory_mb = of_group("memory_mb") * np.exp(MEMORY_SIGMA * random.standard_normal(count))
    leaves = random.random(count) < load.leave_share
    drawn_columns = {
        "tenant": np.full(count, testbed.tenants[0].name),
        "address": random.integers(0, load.addresses, count),
        "work_ms": work_ms,
        "memory_mb": memory_mb,
        "tables": draw_tables(load, count, random),
        "leave_ms": np.where(leaves, random.uniform(0, 1, count) * of_group("target_ms"), np.inf),
    }
    columns = {**drawn_columns, **given_columns}
    effort_error = np.exp(estimate_sigma * random.standard_normal(count))
    memory_error = np.exp(estimate_sigma * random.standard_normal(count))
    return {
        "effort_ms": columns["work_ms"] * effort_error,
        "claim_mb": columns["memory_mb"] * memory_error,
        **columns,
    }
