"""What is to be sent and when, drawn before the run; free of I/O. Times are milliseconds from the run's start."""

import numpy as np

from lichenquay.config import lichenquay_pb2 as pb

STEPS = 20_000  # of the shape's integral
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


def shape_of(load, x):
    """Times the base rate, at parts `x` (0 to 1) of the run."""
    peak, kind = load.peak or 1.0, pb.Load
    if load.shape == kind.STEP:
        return np.where(x < 0.5, 1.0, peak)
    if load.shape == kind.SURGE:  # a morning: it rises, stands high for a while and falls
        return 1 + (peak - 1) * np.exp(-(((x - 0.45) / 0.17) ** 2))
    if load.shape == kind.DAILY:
        return 1 + (peak - 1) * 0.5 * (1 - np.cos(2 * np.pi * x))
    if load.shape == kind.BURST:  # four, each a twentieth of the run
        return np.where((x % 0.25 > 0.1) & (x % 0.25 < 0.15), peak, 1.0)
    return np.ones_like(x)


def arrivals(load, chance):
    """Intended send times, ascending: by the inverse of the rate's integral, of unit steps or exponential ones."""
    x = np.linspace(0.0, 1.0, STEPS + 1)
    rate = load.rate * shape_of(load, x)
    total = np.concatenate(([0.0], np.cumsum((rate[1:] + rate[:-1]) / 2 * load.seconds / STEPS)))
    if load.arrivals == pb.Load.CONSTANT:
        marks = np.arange(0.5, total[-1], 1.0)
    else:
        n = int(total[-1] + 6 * np.sqrt(total[-1]) + 20)
        marks = np.cumsum(chance.exponential(1.0, n))
        marks = marks[marks < total[-1]]
    return np.interp(marks, total, x) * load.seconds * 1000


def draw(items, n, chance):
    shares = np.array([x.share for x in items], float)
    return chance.choice(len(items), n, p=shares / shares.sum())


def tables_of(load, n, chance):
    ranks = np.arange(1, load.tables + 1, dtype=float) ** -load.skew
    return 1 + chance.choice(load.tables, n, p=ranks / ranks.sum())


def plan_of(lab, seed=None):
    """A run's queries as columns (`COLUMNS`), one entry a query, by the world's load, groups and tenants."""
    load, chance = (
        lab.load,
        np.random.default_rng(np.random.SeedSequence([lab.seed if seed is None else seed, 2])),
    )
    at = arrivals(load, chance)
    n = len(at)
    group, tenant = draw(lab.groups, n, chance), draw(lab.tenants, n, chance)
    return fill(
        lab,
        chance,
        {
            "at_ms": at,
            "group": np.array([g.name for g in lab.groups])[group],
            "tenant": np.array([t.name for t in lab.tenants])[tenant],
        },
    )


def fill(lab, chance, said):
    """The columns that are missing, drawn by each query's group."""
    n, load = len(said["at_ms"]), lab.load
    index = {g.name: i for i, g in enumerate(lab.groups)}
    which = np.array([index[g] for g in said["group"]], int) if n else np.zeros(0, int)

    def of(name):
        return np.array([float(getattr(g, name)) for g in lab.groups])[which]

    sigma, error = of("work_sigma"), of("estimate_sigma")
    work = of("work_ms") * np.exp(sigma * chance.standard_normal(n) - sigma**2 / 2)
    memory = of("memory_mb") * np.exp(0.3 * chance.standard_normal(n))
    leaves = chance.random(n) < load.leave_share
    usual = {
        "tenant": np.full(n, lab.tenants[0].name),
        "address": chance.integers(0, load.addresses, n),
        "work_ms": work,
        "memory_mb": memory,
        "tables": tables_of(load, n, chance),
        "leave_ms": np.where(leaves, chance.uniform(0, 1, n) * of("target_ms"), np.inf),
    }
    got = {**usual, **said}
    wrong = np.exp(error * chance.standard_normal(n)), np.exp(error * chance.standard_normal(n))
    return {"effort_ms": got["work_ms"] * wrong[0], "claim_mb": got["memory_mb"] * wrong[1], **got}
