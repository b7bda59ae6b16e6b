"""The valid range of each number in a settings file, by its path without list indices."""

from lichenquay.config.control_settings import RANGES as CONTROL_RANGES
from lichenquay.config.fleet_settings import RANGES as FLEET_RANGES

SHARE_RANGE = (0.0, 1.0)
NON_NEGATIVE_RANGE = (0.0, 1e9)
COUNT_RANGE = (1, 1_000_000)
DURATION_RANGE_MS = (0.0, 3.6e6)

CLIENT_LIMIT_RANGES = {
    "connections": (0, 1_000_000),
    "per_s": (0, 1e6),
    "burst": (0, 1e6),
    "queries": (0, 1_000_000),
    "held_bytes": (0, 1e12),
    "senseless_per_s": (0, 1e6),
}
CONNECTION_ADMISSION_RANGES = {
    "prefix4": (8, 32),
    "reserve": (0, 1_000_000),
    "most_queries": (0, 1_000_000),
    "most_seen": (2, 10_000_000),
    "again_ms": (1, 3.6e6),
    "lag_ms": (0, 10_000),
}
TESTBED_RANGES = {
    "engines.count": (1, 10_000),
    "engines.cores": (0.01, 1024),
    "engines.memory_mb": (1, 1e9),
    "engines.most_open": COUNT_RANGE,
    "engines.warm_tables": (0, 1_000_000),
    "engines.cold_table": (0, 1000),
    "engines.spill": (0, 1000),
    "engines.cold_share": (0.001, 1),
    "engines.cold_ms": DURATION_RANGE_MS,
    "engines.cold_multiple": (0.0, 1e6),
    "engines.fall_ms": DURATION_RANGE_MS,
    "engines.keepalive_ms": (1, 3.6e6),
    "groups.target_ms": (1, 3.6e6),
    "groups.stretch": (0, 1000),
    "groups.timeout_ms": (1, 3.6e6),
    "groups.value": NON_NEGATIVE_RANGE,
    "groups.late_value": SHARE_RANGE,
    "groups.threads": (1, 1024),
    "groups.share": (0.0, 1e6),
    "groups.work_ms": (0.01, 3.6e6),
    "groups.work_sigma": (0, 4),
    "groups.memory_mb": NON_NEGATIVE_RANGE,
    "groups.rows": (0, 4000),
    "groups.estimate_sigma": (0, 4),
    "tenants.share": SHARE_RANGE,
    "tenants.allowance_per_s": NON_NEGATIVE_RANGE,
    "faults.at_ms": DURATION_RANGE_MS,
    "faults.for_ms": DURATION_RANGE_MS,
    "faults.amount": NON_NEGATIVE_RANGE,
    "load.rate": (0.01, 1e6),
    "load.seconds": (0.1, 86_400),
    "load.peak": (0.01, 1000),
    "load.workers": (1, 64),
    "load.connections": (1, 20_000),
    "load.addresses": (1, 60_000),
    "load.tables": COUNT_RANGE,
    "load.skew": (0, 5),
    "load.repeats": (0, 10),
    "load.leave_share": SHARE_RANGE,
    "front.count": (1, 1000),
    "front.memory_mb": (40, 1e6),
    "front.sockets": (64, 1_000_000),
}


def _connection_admission_ranges(path):
    """Returns the ranges of a `Gate` message at `path`."""
    ranges = {f"{path}.{name}": bounds for name, bounds in CONNECTION_ADMISSION_RANGES.items()}
    for section in ("address", "prefix"):
        ranges |= {f"{path}.{section}.{name}": bounds for name, bounds in CLIENT_LIMIT_RANGES.items()}
    return ranges


RANGES = {
    **TESTBED_RANGES,
    **_connection_admission_ranges("gate"),
    **_connection_admission_ranges("front.gate"),
    **FLEET_RANGES,
    **CONTROL_RANGES,
}
